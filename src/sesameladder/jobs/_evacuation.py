"""Chooses the runs to move off workers that drain.

A worker drains if the list of workers shows it as draining, or by order of the fleet
role, before maintenance or a move of its VM. Long-running subtasks, and checkpointable
ones that have run longer than the mean subtask, are stopped and started on another
worker; all others are left to end. For an order of the fleet role, no more subtasks of
a long-running step are stopped than may be unavailable at once, but at least one. A
run that an earlier owner has started may be under a stop of that owner.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from sesameladder.jobs._model import SubtaskId
from sesameladder.jobs._runs import Run, WorkerView

READY_PERCENT = 100  # progress at which a long-running subtask is ready
STOP_REPORT_S = 0.3  # from the end of a stopped run to the report that shows it
SHORT_SUBTASK_S = 1.5  # the mean subtask takes 0.5 to 1.4 s; older runs are moved


def choose_evacuations(
    workers: Iterable[WorkerView],
    runs: Mapping[SubtaskId, Run],
    stop_grace_s: float,
    now: float,
    copies: Mapping[SubtaskId, Run] = MappingProxyType({}),
) -> list[Run]:
    """Return the runs to stop now, in the order of the workers.

    ``stop_grace_s`` is the longest time that a stop takes. ``copies`` are second
    current runs, which are stopped like the first ones.
    """
    settled_before = now - stop_grace_s - STOP_REPORT_S
    chosen: list[Run] = []
    unavailable: dict[tuple[str, int, int], int] = {}
    for worker in workers:
        is_leaving = worker.record.is_draining
        if not is_leaving and not worker.drain_reason:
            continue
        for run in list(worker.runs.values()):
            key = run.subtask.id
            is_current = runs.get(key) is run or copies.get(key) is run
            if run.stopping_since is not None or not is_current:
                continue
            step = run.subtask.step
            if not step.spec.is_long_running:
                if now - run.sent_at > SHORT_SUBTASK_S and step.spec.is_checkpointable:
                    chosen.append(run)
                continue
            if not is_leaving and step.key not in unavailable:
                unavailable[step.key] = _count_unavailable(run, runs, settled_before)
            if is_leaving or unavailable[step.key] < max(1, step.spec.max_unavailable):
                chosen.append(run)
                unavailable[step.key] = unavailable.get(step.key, 0) + 1
    return chosen


def _count_unavailable(
    run: Run, runs: Mapping[SubtaskId, Run], settled_before: float
) -> int:
    """Return how many subtasks of the run's step are not ready.

    A subtask whose worker did not respond to the last request for a report counts as
    not ready. So does one that an earlier owner may have stopped: a run that was
    adopted at ``settled_before`` or later.
    """
    step = run.subtask.step
    count = step.remaining_subtasks - len(step.known)
    for subtask in step.known.values():
        other = runs.get(subtask.id)
        is_ready = (
            other is not None
            and other.progress_percent >= READY_PERCENT
            and other.stopping_since is None
            and not other.worker.failed_reports
            and not (other.is_adopted and other.sent_at >= settled_before)
        )
        count += not is_ready
    return count
