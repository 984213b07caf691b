"""Pacing of work that fills, before it harms work that serves.

Answers workers on which fill work drives the response times of serving work over
their target. The disturbance changes within seconds and differs by image, so the
pace follows what is measured: it is cut fast and raised slowly.
"""

from collections.abc import Callable

from sesameladder.jobs._commands import PaceCommand
from sesameladder.jobs._runs import Run, WorkerView

CUT_FACTOR = 0.5  # two cuts a second leave a tenth within the harm bound of 4 s
RAISE_STEP = 10  # percent points
CUT_INTERVAL_S = 0.6  # the measured tail covers the last half second
RAISE_INTERVAL_S = 1.5
SAFE_SHARE = 0.85  # of the target; below it the pace is raised
STOP_BELOW = 15  # percent; less than this is not worth its disturbance


class Pacer:
    """Decides the pace of the runs that fill."""

    __slots__ = ("changed_at",)

    def __init__(self) -> None:
        self.changed_at: dict[str, float] = {}
        """Time of the last change, by worker."""

    def adjust(self, worker: WorkerView, now: float) -> list[PaceCommand]:
        """Return the pace changes of one worker after a new report."""
        filling = [
            run for run in worker.runs.values() if run.subtask.step.spec.is_best_effort
        ]
        if not filling:
            return []
        share = max(map(_share_of_target, worker.runs.values()), default=0.0)
        since = now - self.changed_at.get(worker.id, 0.0)
        if share > 1.0 and since >= CUT_INTERVAL_S:
            return self._set_paces(worker, filling, now, _cut)
        if share < SAFE_SHARE and since >= RAISE_INTERVAL_S:
            return self._set_paces(worker, filling, now, _raise)
        return []

    def _set_paces(
        self,
        worker: WorkerView,
        filling: list[Run],
        now: float,
        change: Callable[[int], int],
    ) -> list[PaceCommand]:
        commands = []
        for run in filling:
            pace = change(run.pace)
            if pace != run.pace and run.confirmed_at is not None:
                run.pace = pace
                self.changed_at[worker.id] = now
                commands.append(
                    PaceCommand(worker.id, run.subtask.id, run.number, pace)
                )
        return commands


def _share_of_target(run: Run) -> float:
    target = run.subtask.step.spec.tail_latency_target_ms
    return run.load / target if target else 0.0


def _cut(pace: int) -> int:
    reduced = int(pace * CUT_FACTOR)
    return reduced if reduced >= STOP_BELOW else 0


def _raise(pace: int) -> int:
    return min(100, max(STOP_BELOW, pace + RAISE_STEP))
