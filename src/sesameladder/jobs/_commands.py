"""What the scheduler tells the tasks that own connections to do."""

from dataclasses import dataclass

from sesameladder.jobs._model import StartOrder, SubtaskId


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Send a start to a worker."""

    worker: str
    order: StartOrder


@dataclass(frozen=True, slots=True)
class StopCommand:
    """Stop a run, or bar it where it has not arrived."""

    worker: str
    subtask: SubtaskId
    run: int


@dataclass(frozen=True, slots=True)
class PaceCommand:
    """Let a run work at a share of its speed."""

    worker: str
    subtask: SubtaskId
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class AdviceCommand:
    """Ask which workers may run a step."""

    step: tuple[str, int, int]
    workers: tuple[str, ...]
    expected_s: float


Command = StartCommand | StopCommand | PaceCommand | AdviceCommand
