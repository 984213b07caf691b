"""Results of callers' requests."""

from dataclasses import dataclass

from sesameladder.jobs import JobState


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""

    is_new: bool
    """Whether this request stored it, rather than an earlier one."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request has had no effect and will have none later."""

    reason: str
    retry_after_s: int


@dataclass(frozen=True, slots=True)
class Unknown:
    """The effect of the request or the state of the job can't be determined."""

    reason: str


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """The request is malformed."""

    reason: str
    is_new_job: bool = True
    """Whether the queue's pools are known to have no job of this identifier."""


@dataclass(frozen=True, slots=True)
class TooLarge:
    """The request asks for more than the system carries."""

    reason: str
    is_new_job: bool = True
    """As for ``InvalidRequest``."""


@dataclass(frozen=True, slots=True)
class NotFound:
    """The job does not exist."""


@dataclass(frozen=True, slots=True)
class Found:
    """The state of a job."""

    state: JobState


@dataclass(frozen=True, slots=True)
class PendingCount:
    """Number of a queue's jobs that haven't started."""

    count: int


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The cancellation is stored, or the job had ended."""


class CancelledFirst:
    """The job was cancelled before it was accepted, and is not accepted any more."""

    __slots__ = ()


Result = (
    Accepted
    | Rejected
    | Unknown
    | InvalidRequest
    | TooLarge
    | NotFound
    | Found
    | PendingCount
    | Cancelled
    | CancelledFirst
)
