"""Pacing of work that fills, before it harms work that serves.

Answers workers on which fill work drives the response times of serving work over
their target. The disturbance changes within seconds and differs by image, so the
pace follows what is measured: it is cut fast and raised slowly.
"""

from collections.abc import Callable

from sesameladder.jobs._commands import PaceCommand
from sesameladder.jobs._runs import Run, WorkerView

DECREASE_FACTOR = 0.5  # two cuts a second leave a tenth within the harm bound of 4 s
INCREASE_PERCENT = 10  # percent points
DECREASE_INTERVAL_S = 0.6  # the measured tail covers the last half second
INCREASE_INTERVAL_S = 1.5
INCREASE_BELOW_RATIO = 0.85  # of the target; below it the pace is raised
MIN_PACE_PERCENT = 15  # percent; less than this is not worth its disturbance


class Pacer:
    """Decides the pace of the runs that fill."""

    __slots__ = ("changed_at",)

    def __init__(self) -> None:
        self.changed_at: dict[str, float] = {}
        """Time of the last change, by worker."""

    def adjust(self, worker: WorkerView, now: float) -> list[PaceCommand]:
        """Return the pace changes of one worker after a new report."""
        best_effort_runs = [
            run for run in worker.runs.values() if run.subtask.step.spec.is_best_effort
        ]
        if not best_effort_runs:
            return []
        max_latency_ratio = max(
            map(_compute_latency_ratio, worker.runs.values()), default=0.0
        )
        elapsed_s = now - self.changed_at.get(worker.id, 0.0)
        if max_latency_ratio > 1.0 and elapsed_s >= DECREASE_INTERVAL_S:
            return self._change_paces(worker, best_effort_runs, now, _decrease_pace)
        if (
            max_latency_ratio < INCREASE_BELOW_RATIO
            and elapsed_s >= INCREASE_INTERVAL_S
        ):
            return self._change_paces(worker, best_effort_runs, now, _increase_pace)
        return []

    def _change_paces(
        self,
        worker: WorkerView,
        best_effort_runs: list[Run],
        now: float,
        change_pace: Callable[[int], int],
    ) -> list[PaceCommand]:
        commands = []
        for run in best_effort_runs:
            pace_percent = change_pace(run.pace_percent)
            if pace_percent != run.pace_percent and run.confirmed_at is not None:
                run.pace_percent = pace_percent
                self.changed_at[worker.id] = now
                commands.append(
                    PaceCommand(worker.id, run.subtask.id, run.number, pace_percent)
                )
        return commands


def _compute_latency_ratio(run: Run) -> float:
    target_ms = run.subtask.step.spec.tail_latency_target_ms
    return run.load / target_ms if target_ms else 0.0


def _decrease_pace(pace_percent: int) -> int:
    reduced = int(pace_percent * DECREASE_FACTOR)
    return reduced if reduced >= MIN_PACE_PERCENT else 0


def _increase_pace(pace_percent: int) -> int:
    return min(100, max(MIN_PACE_PERCENT, pace_percent + INCREASE_PERCENT))
