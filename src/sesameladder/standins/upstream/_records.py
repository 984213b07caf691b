"""What a worker is asked to do, and what it did."""

from collections import Counter
from dataclasses import dataclass, field, fields
from enum import StrEnum

from sesameladder.standins.upstream._faults import FaultMode
from sesameladder.standins.upstream._task import Checkpoint, Task


class WorkerState(StrEnum):
    """Whether the worker accepts work."""

    SERVING = "serving"
    LEAVING = "leaving"
    REBOOTING = "rebooting"


class Refusal(StrEnum):
    """Why work was refused without running."""

    LEAVING = "leaving"
    FULL = "full"
    DUPLICATE = "duplicate"
    """A task of the same identity is running."""


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """A piece of work as a caller sends it."""

    task_id: str
    """Identity that the forwarder gave the task."""

    request_id: str
    """Identity of the attempt."""

    key: str | None
    """Idempotency key or token, if any."""

    work_s: float
    """Run time in seconds."""

    lease_s: float
    """Length of the task's lease in seconds."""

    resume: Checkpoint | None = None
    """Checkpoint from which the task continues."""


@dataclass(frozen=True, slots=True)
class CompletedWork:
    """Work that was started and has ended."""

    task: Task
    """The task in its final state."""

    fault: FaultMode
    """Fault that struck the task."""

    fault_generation: int
    """The worker's fault generation at the start of the task."""


@dataclass(slots=True)
class WorkerCounters:
    """What the worker did, for the checks of tests and trials."""

    runs_by_key: Counter[str] = field(default_factory=Counter)
    """Starts per idempotency key; a resumed task is no new start."""

    runs_by_request: Counter[str] = field(default_factory=Counter)
    """Starts per request id."""

    resumes: Counter[str] = field(default_factory=Counter)
    """Starts per checkpoint."""

    ends: Counter[str] = field(default_factory=Counter)
    """Ended tasks by reason."""

    refused: Counter[str] = field(default_factory=Counter)
    """Refused work by reason."""

    peak_slots: int = 0
    """Most tasks that ran at the same time."""

    work_after_leaving: int = 0
    """Work that started while the worker was leaving."""

    late_attempts: int = 0
    """Work offered more than the grace time after the worker began to leave."""

    cut_requests: int = 0
    """Tasks that were running when the worker rebooted."""

    def to_json(self) -> dict[str, object]:
        """Return the counts as a JSON object."""
        values = {row.name: getattr(self, row.name) for row in fields(self)}
        return {
            name: dict(value) if isinstance(value, Counter) else value
            for name, value in values.items()
        }
