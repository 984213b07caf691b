"""Choice of the worker for a subtask."""

from collections.abc import Iterable
from math import ceil

from sesameladder.jobs._job import Step, Subtask
from sesameladder.jobs._runs import WorkerView

# Number of workers among which the subtasks of a long-running step are divided: one
# for each availability zone in use today, so that the loss of one leaves two.
LONG_RUNNING_GROUPS = 3


def choose_worker(
    subtask: Subtask,
    accepting: Iterable[WorkerView],
    tickets: dict[str, str] | None,
    rack: str = "",
) -> WorkerView | None:
    """Return the best worker with room for a subtask, or None if there is none.

    ``tickets`` limits the choice to the workers for which the advice service issued
    a ticket, ``rack`` to one rack. Workers on which the subtask has not failed are
    preferred, then workers in the rack of its data, then those with fewer interfering
    runs. Among equal workers the one with the fewest free cores is chosen, which
    leaves room for large subtasks on others.
    """
    step = subtask.step
    spec = step.spec
    best: WorkerView | None = None
    best_score: tuple[float, ...] = ()
    for worker in accepting:
        if not worker.has_room(spec.needs, spec.is_best_effort):
            continue
        if rack and worker.rack != rack:
            continue
        if not is_eligible(step, worker, tickets):
            continue
        score = _score(subtask, worker)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def is_eligible(step: Step, worker: WorkerView, tickets: dict[str, str] | None) -> bool:
    """Return whether a worker may get a subtask of a step, if it has room."""
    spec = step.spec
    if spec.label and spec.label not in worker.record.labels:
        return False
    if tickets is not None and worker.id not in tickets:
        return False
    return (
        not spec.max_per_worker or _count_step_runs(step, worker) < spec.max_per_worker
    )


def _score(subtask: Subtask, worker: WorkerView) -> tuple[float, ...]:
    spec = subtask.step.spec
    is_far = bool(spec.data_rack) and spec.data_rack not in worker.record.labels
    # Best-effort runs slow down serving runs on the same worker.
    interfering_runs = _count_interfering_runs(subtask, worker)
    return (
        worker.id in subtask.failed_workers,
        is_far,
        interfering_runs,
        round(worker.slowness),
        *_score_long_running(subtask.step, worker),
        worker.free_cpu_millis,
    )


def _score_long_running(step: Step, worker: WorkerView) -> tuple[bool, bool]:
    """Return a sort key that gathers long-running subtasks on few workers.

    The subtasks of one step are still divided among ``LONG_RUNNING_GROUPS`` workers.
    The other workers stay free to leave the pool between demand peaks.
    """
    if not step.spec.is_long_running:
        return False, False
    group_size = ceil(step.spec.count / LONG_RUNNING_GROUPS)
    return _count_step_runs(step, worker) >= group_size, not worker.has_long_running()


def _count_step_runs(step: Step, worker: WorkerView) -> int:
    """Return the number of runs of a step on a worker."""
    return sum(1 for run in worker.runs.values() if run.subtask.step is step)


def _count_interfering_runs(subtask: Subtask, worker: WorkerView) -> int:
    spec = subtask.step.spec
    if spec.is_best_effort:
        return sum(
            1
            for run in worker.runs.values()
            if run.subtask.step.spec.tail_latency_target_ms
        )
    if spec.tail_latency_target_ms:
        return sum(
            1 for run in worker.runs.values() if run.subtask.step.spec.is_best_effort
        )
    return 0
