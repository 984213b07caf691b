"""Throttling of best-effort runs that slow down serving runs.

On some workers best-effort runs raise the tail latency of serving runs over its
target. The interference changes within seconds and differs between images, so the
pace follows the measured latency: it is decreased by a factor and increased in
small steps.
"""

from collections.abc import Callable

from sesameladder.jobs._commands import PaceCommand
from sesameladder.jobs._runs import Run, WorkerView

# Halved every 0.6 s, the pace is below a tenth within 4 s, the limit for how long
# serving runs may be slowed down.
DECREASE_FACTOR = 0.5
INCREASE_PERCENT = 10  # percentage points
DECREASE_INTERVAL_S = 0.6  # the measured latency covers the last half second
INCREASE_INTERVAL_S = 1.5
INCREASE_BELOW_RATIO = 0.85  # ratio of measured latency to target
MIN_PACE_PERCENT = 15  # a run below this pace does too little for its interference


class Pacer:
    """Controls the pace of the best-effort runs of a pool."""

    __slots__ = ("changed_at",)

    def __init__(self) -> None:
        self.changed_at: dict[str, float] = {}
        """Time of the last change in steady seconds, by worker."""

    def adjust(self, worker: WorkerView, now: float) -> list[PaceCommand]:
        """Change the pace of a worker's best-effort runs after a new report.

        Returns the commands that set the new paces on the worker.
        """
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
