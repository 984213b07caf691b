"""Data types for jobs, steps, subtasks, workers and their reports."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from sesameladder.organisations import Organisations


class SubtaskId(NamedTuple):
    """Identifier of a subtask.

    A named tuple, since it serves as the key of most tables.
    """

    job: str
    occurrence: int
    step: int
    position: int

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Return the key of the step: job, occurrence and step number."""
        return self.job, self.occurrence, self.step


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a subtask requests or that a worker has."""

    cpu_millis: int = 0
    """Processor share in thousandths of a core."""

    memory_mb: int = 0
    gpus: int = 0


@dataclass(frozen=True, slots=True)
class StepSpec:
    """Specification of one step of a job, as the caller submitted it."""

    count: int
    """Number of subtasks."""

    needs: Resources
    estimate_ms: int = 0
    """The caller's rough estimate of a subtask's duration; 0 for none."""

    after: tuple[int, ...] = ()
    """Numbers of the earlier steps whose subtasks must all be done first."""

    is_checkpointable: bool = False
    """Whether a stopped subtask can resume from a checkpoint on another worker."""

    gang: bool = False
    """Whether the subtasks must run at the same time (gang scheduling)."""

    same_rack: bool = False
    """Whether all members of the gang must run in one rack."""

    label: str = ""
    """Label that a worker must have; empty for any worker."""

    data_rack: str = ""
    """Label of the rack that holds the data; workers there are preferred."""

    max_per_worker: int = 0
    """Maximum number of the step's subtasks on one worker; 0 for no limit."""

    allows_copies: bool = False
    is_long_running: bool = False
    """Whether the subtasks run until the job is cancelled."""

    image: str = ""
    tail_latency_target_ms: int = 0
    """Upper bound for the tail latency of a serving subtask; 0 for none."""

    is_best_effort: bool = False
    """Whether the step only uses processor time that other subtasks leave unused."""

    max_unavailable: int = 0
    """Number of subtasks that maintenance may make unavailable at the same time."""


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a job, as the caller submitted it."""

    payload: str
    """Text that every start of a subtask passes to the worker."""

    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    """Number of scheduled occurrences; 0 for a job that runs once, immediately."""

    first_due_ms: int = 0
    """Due time of occurrence 0 in Unix milliseconds."""

    interval_ms: int = 0
    """Time between the due times of two occurrences."""


class JobState(StrEnum):
    """State of a job, as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether a job in this state never changes its state again."""
        return self in FINAL_STATES


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


class EndReason(StrEnum):
    """Reason for the end of a run, as the worker reports it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    """The worker's lease expired."""

    BROKEN = "broken"
    """Another member of the gang had ended."""

    ALONE = "alone"
    """The other members of the gang did not start in time."""


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Time that the advice service takes for a decision, and its tickets' validity.

    A decision on a step takes ``decision_ms`` plus ``per_worker_ms`` for each worker
    in the request; its tickets are valid for ``valid_ms``.
    """

    decision_ms: int
    per_worker_ms: int
    valid_ms: int


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Configuration of a queue."""

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int
    """Priority of the queue's jobs; lower values come first."""

    max_attempts: int
    """Number of failed runs of one subtask after which its job fails."""

    stretch: float
    """Factor from the critical path of a job to its target duration."""

    target_offset_ms: int
    """Time added to the stretched critical path for the target duration."""

    timeout_ms: int
    advice: AdvicePolicy | None = None
    is_public: bool = False
    """Whether calls need no key of an organisation."""


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """Configuration of a pool."""

    name: str
    enforces_capacity: bool
    """Whether workers reject subtasks that exceed their capacity."""

    is_spare: bool
    """Whether the pool holds spare VMs, which are switched off and free."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of requests that the configuration names; None for those it doesn't."""

    header_bytes: int | None = None
    """Size of the request line and all header lines."""

    body_bytes: int | None = None
    header_timeout_s: float | None = None
    """Time from the first byte of a request to the end of its header."""

    idle_timeout_s: float | None = None
    """Time that a connection may stay open without a request."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration in effect."""

    version: int
    queues: tuple[QueuePolicy, ...]
    pools: dict[str, PoolPolicy]
    max_body_bytes: int
    organisations: Organisations | None = None
    """The organisations; None if the configuration has no such list.

    Without the list calls need no keys, and no caps and shares apply.
    """

    limits: RequestLimits = RequestLimits()

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue of a request, or None if no queue matches.

        Of several queues the one with the longest matching path prefix is taken.
        """
        best: QueuePolicy | None = None
        for queue in self.queues:
            matches = queue.host == host and path.startswith(queue.path_prefix)
            longer = best is None or len(queue.path_prefix) > len(best.path_prefix)
            if matches and longer:
                best = queue
        return best


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """Entry of a worker in the list of workers."""

    worker: str
    """Identifier of the worker; a later incarnation may have the same one."""

    born_ms: int
    """Start of the worker in Unix milliseconds; tells its incarnations apart."""

    pool: str
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    is_draining: bool
    remaining_ms: int | None = None
    """Minimum time until a draining worker stops; None if it is not known."""


@dataclass(frozen=True, slots=True)
class RunStatus:
    """State of a run that a worker reports as present."""

    subtask: SubtaskId
    run: int
    checkpoint: str
    progress_percent: int
    """Progress; for a long-running subtask, 100 means that it is ready."""

    load: int = 0
    """Tail latency in ms of a serving subtask, used millicores of any other."""


@dataclass(frozen=True, slots=True)
class RunEnd:
    """End of a run, as a worker reports it."""

    number: int
    """Position in the worker's list of ends; rises with each end."""

    subtask: SubtaskId
    run: int
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Runs that a worker has, and ends after the last acknowledged one."""

    clock_ms: int
    """Reading of the worker's steady clock."""

    born_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]
    has_more_ends: bool = False
    """Whether runs that are not in the report may have ended.

    The report holds a limited number of ends, the oldest first. The next ones follow
    once these are acknowledged.
    """


class StartOutcome(StrEnum):
    """Outcome of an order to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    """The worker has accepted orders of a newer owner."""

    SUPERSEDED = "superseded"
    """This run or a later run of the subtask has already ended on the worker."""

    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other_life"
    """Another incarnation of the worker responded."""

    NOT_SENT = "not_sent"
    WITHDRAWN = "withdrawn"
    """Not sent, since the run was stopped before the start was sent."""

    UNANSWERED = "unanswered"
    """No response; the start may have taken effect, or may do so seconds later."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run."""

    subtask: SubtaskId
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(slots=True)
class Crash:
    """A crash of a worker that had a run of a subtask."""

    address: str
    """Address of the worker; later workers on the same VM have the same one.

    Empty for a start whose owner ended before it knew the outcome.
    """

    is_suspected: bool
    """Whether the run may have been the cause."""

    is_conclusive: bool
    """Whether no run of another job may have been the cause."""

    has_begun: bool = False
    """Whether the run had begun on the worker, and the worker has ended by itself."""

    is_certain: bool = False
    """Whether the end of the worker has certainly ended the run."""

    age_ms: int | None = None
    """Time for which the worker is known to have had the run, in milliseconds.

    None if no response of the worker had confirmed the run.
    """

    def describe(self) -> tuple[str, str, int | None]:
        """Return address, kind and age in ms for log lines."""
        if not self.is_suspected:
            kind = "cleared"
        elif self.is_conclusive:
            kind = "conclusive"
        elif self.is_certain:
            kind = "certain"
        else:
            kind = "begun" if self.has_begun else "uncertain"
        return self.address, kind, self.age_ms


@dataclass(slots=True)
class JobRecord:
    """A stored job with its recorded progress."""

    job: str
    queue: str
    spec: JobSpec
    cancelled: bool = False
    state: JobState = JobState.QUEUED
    finished_occurrences: int = 0
    """Number of the first occurrences that are done and no longer named below."""

    done_masks: dict[tuple[int, int], int] = field(default_factory=dict)
    """Bit mask of the done subtasks by position, by occurrence and step number."""

    failed_runs: dict[SubtaskId, set[int]] = field(default_factory=dict)
    crashes: dict[SubtaskId, dict[int, Crash]] = field(default_factory=dict)
    """Crashes of workers under a subtask, by run number."""

    def list_named_occurrences(self) -> set[int]:
        """Return the occurrences of which a subtask is done, has failed or crashed."""
        named = {occurrence for occurrence, _ in self.done_masks}
        named.update(subtask.occurrence for subtask in self.failed_runs)
        named.update(subtask.occurrence for subtask in self.crashes)
        return named

    @property
    def has_begun(self) -> bool:
        """Return whether a run of the job is known to have ended."""
        return bool(
            self.finished_occurrences
            or self.done_masks
            or self.failed_runs
            or self.crashes
        )
