"""Jobs, steps, subtasks and workers as the scheduler knows them."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class SubtaskId(NamedTuple):
    """Names one subtask; a tuple, since it is the key of every table."""

    job: str
    occurrence: int
    step: int
    position: int

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Return job, occurrence and step."""
        return self.job, self.occurrence, self.step


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts that a subtask asks for or a worker has."""

    cpu_millis: int = 0
    """Thousandths of a core."""

    memory_mb: int = 0
    gpus: int = 0


@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job."""

    count: int
    """Number of subtasks."""

    needs: Resources
    estimate_ms: int = 0
    """The client's rough guess at a subtask's duration."""

    after: tuple[int, ...] = ()
    """Earlier steps whose subtasks must all be done first."""

    is_checkpointable: bool = False
    gang: bool = False
    """Whether the subtasks work only all together."""

    same_rack: bool = False
    label: str = ""
    """Label that the worker must have; empty for any worker."""

    data_rack: str = ""
    max_per_worker: int = 0
    """Most subtasks of the step on one worker; 0 for no limit."""

    allows_copies: bool = False
    is_long_running: bool = False
    """Whether subtasks run until the job is cancelled."""

    image: str = ""
    tail_latency_target_ms: int = 0
    """Bound for the tail of a serving subtask's response times; 0 for none."""

    is_best_effort: bool = False
    """Whether the step lives on capacity that other subtasks leave unused."""

    max_unavailable: int = 0
    """Subtasks that planned work may take away at the same time."""


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a client asked for."""

    payload: str
    """Text that each start hands to the worker."""

    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    """Number of scheduled runs; 0 for a job that runs once, at once."""

    first_due_ms: int = 0
    """Due time of occurrence 0, in milliseconds since the Unix epoch."""

    interval_ms: int = 0


class JobState(StrEnum):
    """State of a job as clients see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the state never changes again."""
        return self in FINAL_STATES


FINAL_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


class EndReason(StrEnum):
    """Why a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    """Another member of the gang ended."""

    ALONE = "alone"
    """The gang's other members did not arrive in time."""


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """How the advice service decides on a queue's steps."""

    decision_ms: int
    per_worker_ms: int
    valid_ms: int


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """What the configuration says of a queue."""

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int
    """0 comes first."""

    max_attempts: int
    """Failed runs of one subtask after which its job has failed."""

    stretch: float
    """Target duration as a multiple of the longest chain of work."""

    target_offset_ms: int
    """Time added to the stretched chain of work for the target duration."""

    timeout_ms: int
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class PoolPolicy:
    """What the configuration says of a pool."""

    name: str
    enforces_capacity: bool
    """Whether workers refuse what does not fit."""

    is_spare: bool
    """Whether the VMs of the pool are switched off and free."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration in force."""

    version: int
    queues: tuple[QueuePolicy, ...]
    pools: dict[str, PoolPolicy]
    max_body_bytes: int

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue with the longest prefix that matches, if any."""
        best: QueuePolicy | None = None
        for queue in self.queues:
            matches = queue.host == host and path.startswith(queue.path_prefix)
            longer = best is None or len(queue.path_prefix) > len(best.path_prefix)
            if matches and longer:
                best = queue
        return best


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """What a worker says of itself in the list of workers."""

    worker: str
    """Identifier of this life of the worker."""

    born_ms: int
    """Start of the worker in Unix milliseconds; tells its lives apart."""

    pool: str
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    is_draining: bool
    remaining_ms: int | None = None
    """Least time left while it drains."""


@dataclass(frozen=True, slots=True)
class RunStatus:
    """One run that a worker reports as present."""

    subtask: SubtaskId
    run: int
    checkpoint: str
    progress_percent: int
    """Progress; 100 means at work for a subtask that lasts."""

    load: int = 0
    """Tail in ms of a serving subtask, used millicores of any other."""


@dataclass(frozen=True, slots=True)
class RunEnd:
    """One ended run that a worker lists."""

    number: int
    """Position in the worker's list of ends."""

    subtask: SubtaskId
    run: int
    reason: EndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker runs and what has ended since the last acknowledged end."""

    clock_ms: int
    """The worker's own steady clock."""

    born_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunEnd, ...]


class StartOutcome(StrEnum):
    """Answer of a worker to a start."""

    STARTED = "started"
    FENCED = "fenced"
    """A newer owner has given this worker orders."""

    SUPERSEDED = "superseded"
    """The worker has seen this run or a later one end."""

    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other_life"
    """Another life of the worker answered."""

    NOT_SENT = "not_sent"
    WITHDRAWN = "withdrawn"
    """Not sent, since the stop of its run came first."""

    UNANSWERED = "unanswered"
    """May have been executed, or be executed seconds later."""


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start one run."""

    subtask: SubtaskId
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@dataclass(slots=True)
class JobRecord:
    """A stored job with what is known of its progress."""

    job: str
    queue: str
    spec: JobSpec
    cancelled: bool = False
    state: JobState = JobState.QUEUED
    done_subtasks: set[SubtaskId] = field(default_factory=set)
    failed_runs: dict[SubtaskId, set[int]] = field(default_factory=dict)
