"""Messages of the cell dispatcher: demands, decisions, outcomes and grants."""

from dataclasses import dataclass
from enum import StrEnum


class LeavingSource(StrEnum):
    """Where the news comes from that a VM is leaving."""

    PLAN = "plan"
    VM_LIST = "vm_list"
    PEER = "peer"
    WORKER = "worker"


class OutcomeKind(StrEnum):
    """How the use of a grant ended."""

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
    """Order in which waiting work is considered."""

    URGENT = "urgent"
    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Demand:
    """One attempt of a request that asks for a slot."""

    demand_id: str
    """Unique while the demand waits; a resumed job keeps the id of its request."""

    forwarder: str
    """Entry instance that sends the request to the worker."""

    incarnation: int
    """Incarnation of the forwarder; it increases with each restart."""

    team: str
    """Team that the request is charged to."""

    kind: str
    """Kind of work; run times are learned by kind."""

    urgent: bool
    """Whether the request goes before other work."""

    repeatable: bool
    """Whether the request may run more than once."""

    attempt: int
    """1 for the first attempt, one more for each retry."""

    expected_ms: float | None
    """Declared run time in milliseconds, or None."""

    checkpointable: bool
    """Whether the job can save its state, end early and be resumed."""

    deadline: float
    """Latest useful start, in seconds of the dispatcher's clock."""

    tried_workers: tuple[str, ...]
    """VMs on which earlier attempts failed."""

    tried_racks: tuple[str, ...]
    """Racks on which earlier attempts failed."""

    resumed: bool
    """Whether the demand continues a checkpointed job.

    It is not a retry unless the resumed job has failed on a worker since.
    """


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """A worker of the cell as the plan lists it."""

    vm: str
    """Name of the VM."""

    rack: str
    """Name of the VM's rack."""

    address: str
    """``host:port`` of the worker."""

    slots: int
    """Tasks that the worker runs at the same time."""

    connections: int
    """Connections that the worker accepts at the same time."""


@dataclass(frozen=True, slots=True)
class GrantOutcome:
    """What the forwarder reports when it releases a grant."""

    kind: OutcomeKind
    """How the use of the grant ended."""

    ran_ms: float = 0.0
    """Time that the task ran on the worker, in milliseconds."""


@dataclass(frozen=True, slots=True)
class OutstandingGrant:
    """A grant that is not released yet, as forwarders and dispatchers report it."""

    grant_id: str
    """Identity of the grant."""

    demand_id: str
    """Identity of the demand that was granted."""

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
    """Whether the job can be checkpointed."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The demand waits; ``Dispatcher.poll`` decides on it."""

    demand_id: str
    """Identity of the demand."""

    estimated_wait_s: float
    """Estimated wait in seconds."""


@dataclass(frozen=True, slots=True)
class Granted:
    """The forwarder may run the request on a worker."""

    demand_id: str
    """Identity of the demand."""

    grant_id: str
    """Identity of the grant, also used to release it."""

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
    """Identity of the demand."""

    reason: RefusalReason
    """Why the demand is refused."""

    retry_after_s: float
    """Seconds after which the caller may try again."""


@dataclass(frozen=True, slots=True)
class Preempt:
    """The forwarder is to checkpoint the job and release the grant."""

    grant_id: str
    """Identity of the grant."""

    vm: str
    """Name of the worker's VM."""


@dataclass(frozen=True, slots=True)
class Throttle:
    """The forwarder is to limit the task to a share of its slot."""

    grant_id: str
    """Identity of the grant."""

    vm: str
    """Name of the worker's VM."""

    share: float
    """Share of the slot, above 0 up to 1; 1 lifts the limit."""


Decision = Granted | Refused | Preempt | Throttle
