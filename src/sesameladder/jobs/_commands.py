"""Commands of the scheduler to the tasks that own the connections."""

from dataclasses import dataclass
from math import inf

from sesameladder.jobs._model import StartOrder, SubtaskId


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Send an order to start a run to a worker."""

    worker: str
    order: StartOrder
    send_before: float = inf
    """Steady time in seconds after which the order must not be sent any more."""


@dataclass(frozen=True, slots=True)
class StopCommand:
    """Stop a run, or block its start if that has not reached the worker."""

    worker: str
    subtask: SubtaskId
    run: int


@dataclass(frozen=True, slots=True)
class PaceCommand:
    """Throttle a run to ``percent`` of its full speed."""

    worker: str
    subtask: SubtaskId
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class AdviceCommand:
    """Ask the advice service which workers may run a step.

    ``step`` is a step key, ``expected_s`` the expected duration of the call in seconds.
    """

    step: tuple[str, int, int]
    workers: tuple[str, ...]
    expected_s: float
    queue: str = ""


Command = StartCommand | StopCommand | PaceCommand | AdviceCommand
