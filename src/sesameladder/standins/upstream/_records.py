"""Work requests to a worker, their results and the worker's counters."""

from collections import Counter
from dataclasses import dataclass, field, fields
from enum import StrEnum

from sesameladder.standins.upstream._faults import FaultMode
from sesameladder.standins.upstream._task import Checkpoint, Task


class WorkerState(StrEnum):
    """State of the worker; it accepts work only while it is serving."""

    SERVING = "serving"
    LEAVING = "leaving"
    REBOOTING = "rebooting"


class Refusal(StrEnum):
    """Reason for refusing work without running it."""

    LEAVING = "leaving"
    FULL = "full"
    DUPLICATE = "duplicate"
    """A task with the same id is running."""


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """A piece of work that a caller sent."""

    task_id: str
    """Task id that the forwarder chose."""

    request_id: str
    """Request id of the attempt."""

    key: str | None
    """Idempotency key or token, if any."""

    work_s: float
    """Run time in seconds."""

    lease_s: float
    """Initial duration of the task's lease in seconds."""

    resume: Checkpoint | None = None
    """Checkpoint from which the task continues."""


@dataclass(frozen=True, slots=True)
class CompletedWork:
    """Work that ran and has ended."""

    task: Task
    """The task in its final state."""

    fault: FaultMode
    """Fault mode that applied to the task."""

    fault_generation: int
    """Value of ``Worker.fault_generation`` at the start of the task."""


@dataclass(slots=True)
class WorkerCounters:
    """Counts of what the worker did, which tests and trials check."""

    runs_by_key: Counter[str] = field(default_factory=Counter)
    """Starts per idempotency key, without resumed tasks."""

    runs_by_request: Counter[str] = field(default_factory=Counter)
    """Starts per request id, without resumed tasks."""

    resumes: Counter[str] = field(default_factory=Counter)
    """Resumed tasks per checkpoint id."""

    ends: Counter[str] = field(default_factory=Counter)
    """Ended tasks by reason."""

    refused: Counter[str] = field(default_factory=Counter)
    """Refused work by reason."""

    peak_slots: int = 0
    """Highest number of tasks that ran at the same time."""

    work_after_leaving: int = 0
    """Tasks that started while the worker was leaving."""

    late_attempts: int = 0
    """Requests more than ``LEAVING_GRACE_S`` after the worker began to leave."""

    cut_requests: int = 0
    """Tasks that a reboot or a shutdown interrupted."""

    def to_json(self) -> dict[str, object]:
        """Return the counts as a JSON object."""
        values = {row.name: getattr(self, row.name) for row in fields(self)}
        return {
            name: dict(value) if isinstance(value, Counter) else value
            for name, value in values.items()
        }
