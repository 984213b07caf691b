"""What a failed run says about its subtask and about its worker.

A worker that fails all it starts is ejected. A long-running subtask is started again
however often it fails, so one that always fails would have all workers ejected in
turn, and use the starts that others need.
"""

from collections.abc import Mapping

from sesameladder.jobs._job import Subtask
from sesameladder.jobs._runs import Run, WorkerView

SETTLED_RUN_S = 10.0  # longer than a faulty worker takes to recover
FIRST_PAUSE_S = 0.05  # a report of other failures on the worker may arrive first
PAUSE_FACTOR = 4.0  # few starts until the longest pause, also after a change of owner
MAX_PAUSE_S = 2.0  # rule LOST allows 3 s without a run beside capacity


def record_failure(
    workers: Mapping[str, WorkerView],
    worker: WorkerView,
    subtask: Subtask,
    run: Run | None,
    now: float,
) -> bool:
    """Count a failed run; returns True if its worker is ejected.

    Sets how long the subtask waits for its next start. ``run`` is None if this owner
    doesn't know it; ``now`` is in seconds of the steady clock. The early failures of a
    long-running step count once, against the worker of the first, and against none as
    soon as another worker fails the step too. Subtasks of other steps fail only as
    often as their job has attempts, so theirs all count.
    """
    step = subtask.step
    if not step.spec.is_long_running:
        subtask.restart_pause_s = FIRST_PAUSE_S
        return worker.record_failure(now)
    if run is None:
        return False
    if _has_settled(run, now):
        subtask.restart_pause_s = FIRST_PAUSE_S
        step.failed_workers.clear()
        return False
    longer_pause_s = max(FIRST_PAUSE_S, PAUSE_FACTOR * subtask.restart_pause_s)
    subtask.restart_pause_s = min(MAX_PAUSE_S, longer_pause_s)
    is_first = not step.failed_workers
    step.failed_workers.add(worker.id)
    if len(step.failed_workers) > 1:
        for worker_id in step.failed_workers & workers.keys():
            workers[worker_id].retract_failure(step.key, now)
    if not is_first or step.key in worker.doubtful_steps:
        return False
    worker.doubtful_steps.add(step.key)
    return worker.record_failure(now)


def _has_settled(run: Run, now: float) -> bool:
    """Return whether a run lasted so long that its start had succeeded."""
    return run.confirmed_at is not None and now - run.confirmed_at >= SETTLED_RUN_S
