"""Which runs leave a worker that is about to stop.

Answers upkeep waves and leaving workers: short work ends by itself, work that
lasts or outlives the worker is stopped and started elsewhere. Stops for planned
work leave enough of a step's subtasks at work.
"""

from collections.abc import Iterable, Mapping

from sesameladder.jobs._model import SubtaskId
from sesameladder.jobs._runs import Run, WorkerView

AT_WORK_PERCENT = 100
SHORT_WORK_S = 1.5  # a mean subtask takes 0.5 to 1.4 s; older ones are moved


def choose_evacuations(
    workers: Iterable[WorkerView], runs: Mapping[SubtaskId, Run], now: float
) -> list[Run]:
    """Return the runs to stop now."""
    chosen: list[Run] = []
    away: dict[tuple[str, int, int], int] = {}
    for worker in workers:
        leaves = worker.record.is_draining
        if not leaves and not worker.drain_reason:
            continue
        for run in list(worker.runs.values()):
            if run.stopping_since is not None or runs.get(run.subtask.id) is not run:
                continue
            step = run.subtask.step
            if not step.spec.is_long_running:
                if now - run.sent_at > SHORT_WORK_S and step.spec.is_checkpointable:
                    chosen.append(run)
                continue
            if not leaves and step.key not in away:
                away[step.key] = _count_away(run, runs)
            if leaves or away[step.key] < max(1, step.spec.max_unavailable):
                chosen.append(run)
                away[step.key] = away.get(step.key, 0) + 1
    return chosen


def _count_away(run: Run, runs: Mapping[SubtaskId, Run]) -> int:
    """Return the subtasks of a run's step that aren't at work."""
    count = 0
    for subtask in run.subtask.step.subtasks:
        other = runs.get(subtask.id)
        at_work = (
            other is not None
            and other.percent >= AT_WORK_PERCENT
            and other.stopping_since is None
            and not other.worker.failed_reports
        )
        count += not at_work
    return count
