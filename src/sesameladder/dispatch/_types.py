"""Input and output types of the dispatcher: demands, grants and decisions."""

from dataclasses import dataclass
from enum import StrEnum


class LeavingSource(StrEnum):
    """Source that reports whether a VM is leaving or serving."""

    PLAN = "plan"
    VM_LIST = "vm_list"
    PEER = "peer"
    WORKER = "worker"


class OutcomeKind(StrEnum):
    """How the use of a grant ended.

    ``CANCELLED`` means that the caller's deadline passed or the forwarder was
    gone before the task ended. ``UNUSED`` means that the forwarder sent no request
    or does not hold the grant any more.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_RUN_LEAVING = "not_run_leaving"
    NOT_RUN_FULL = "not_run_full"
    CONNECTION_FAILED = "connection_failed"
    CHECKPOINTED = "checkpointed"
    CANCELLED = "cancelled"
    UNUSED = "unused"


class RefusalReason(StrEnum):
    """Why a demand gets no grant; the request did not run on this attempt."""

    QUEUE_FULL = "queue_full"
    WAIT_TOO_LONG = "wait_too_long"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry_budget"
    NEVER_RUNS = "never_runs"
    NO_WORKER = "no_worker"
    FORWARDER_GONE = "forwarder_gone"
    HANDED_OVER = "handed_over"


class WorkClass(StrEnum):
    """Scheduling class of a demand; each class has its own queue."""

    URGENT = "urgent"
    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Demand:
    """Request for a worker slot on behalf of one attempt of a caller's request."""

    demand_id: str
    """Identifier, unique among waiting demands; a resumed job keeps its request's."""

    forwarder: str
    """Entry instance that sends the request to the worker."""

    incarnation: int
    """Incarnation of the forwarder; increases with each restart of its process."""

    team: str
    """Team that the request is charged to."""

    kind: str
    """Kind of work; run times are estimated per kind."""

    urgent: bool
    """Whether the request is scheduled before short and long work."""

    repeatable: bool
    """Whether the request may safely run more than once."""

    attempt: int
    """1 for the first attempt, one more for each retry."""

    expected_ms: float | None
    """Declared run time in milliseconds, or None."""

    checkpointable: bool
    """Whether the job can save its state, end early and be resumed."""

    deadline: float
    """Time in seconds, on the dispatcher's clock, after which a start is useless."""

    tried_workers: tuple[str, ...]
    """VMs on which earlier attempts failed."""

    tried_racks: tuple[str, ...]
    """Racks on which earlier attempts failed."""

    resumed: bool
    """Whether the demand continues a checkpointed job.

    It counts as a retry only if the resumed job has failed on a worker since.
    """


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """Worker of the cell, with the capacity that the configuration gives it."""

    vm: str
    """Name of the VM."""

    rack: str
    """Name of the VM's rack."""

    address: str
    """``host:port`` of the worker."""

    slots: int
    """Number of tasks that the worker runs concurrently."""

    connections: int
    """Number of connections that the worker accepts concurrently."""


@dataclass(frozen=True, slots=True)
class GrantOutcome:
    """Result that the forwarder reports when it releases a grant."""

    kind: OutcomeKind
    """How the use of the grant ended."""

    ran_ms: float = 0.0
    """Run time of the task on the worker, in milliseconds."""


@dataclass(frozen=True, slots=True)
class OutstandingGrant:
    """Unreleased grant, as a forwarder or the previous dispatcher reports it."""

    grant_id: str
    """Identifier of the grant."""

    demand_id: str
    """Identifier of the demand that was granted."""

    forwarder: str
    """Entry instance that uses the grant."""

    incarnation: int
    """Incarnation of the forwarder."""

    vm: str
    """VM whose slot is held."""

    team: str
    """Team that the slot is charged to."""

    kind: str
    """Kind of work."""

    checkpointable: bool = False
    """Whether the job can be checkpointed and resumed."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The demand is queued; a later ``Dispatcher.poll`` returns the decision."""

    demand_id: str
    """Identifier of the demand."""

    estimated_wait_s: float
    """Estimated wait in seconds; 0 if the demand was queued or granted before."""


@dataclass(frozen=True, slots=True)
class Granted:
    """The forwarder may run the request on a worker."""

    demand_id: str
    """Identifier of the demand."""

    grant_id: str
    """Identifier of the grant, passed to ``Dispatcher.release``."""

    vm: str
    """Name of the worker's VM."""

    rack: str
    """Name of the worker's rack."""

    address: str
    """``host:port`` of the worker."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The demand gets no grant; the request did not run on this attempt."""

    demand_id: str
    """Identifier of the demand."""

    reason: RefusalReason
    """Why the demand is refused."""

    retry_after_s: float
    """Time in seconds after which the caller may try again."""


@dataclass(frozen=True, slots=True)
class Preempt:
    """Order to the forwarder to checkpoint the job and release the grant."""

    grant_id: str
    """Identifier of the grant."""

    vm: str
    """Name of the worker's VM."""


@dataclass(frozen=True, slots=True)
class Throttle:
    """Order to the forwarder to limit the task to a share of its slot."""

    grant_id: str
    """Identifier of the grant."""

    vm: str
    """Name of the worker's VM."""

    share: float
    """Share of the slot, greater than 0 and at most 1; 1 removes the limit."""


Decision = Granted | Refused | Preempt | Throttle
