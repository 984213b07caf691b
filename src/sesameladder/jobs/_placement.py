"""Choice of the worker for a subtask."""

from collections.abc import Iterable
from math import ceil

from sesameladder.jobs._job import Step, Subtask
from sesameladder.jobs._model import StepSpec
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
    best: WorkerView | None = None
    best_score: tuple[float, ...] = ()
    for worker in accepting:
        if rack and worker.rack != rack:
            continue
        if tickets is not None and worker.id not in tickets:
            continue
        if not can_take(subtask.step, worker):
            continue
        # Workers on which the subtask has not failed come first.
        has_failed = worker.id in subtask.failed_workers
        score = has_failed, *score_for_step(subtask.step, worker)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def can_take(step: Step, worker: WorkerView) -> bool:
    """Return whether a worker has room for a subtask of a step and suits it."""
    spec = step.spec
    if not worker.has_room(spec.needs, spec.is_best_effort):
        return False
    if spec.label and spec.label not in worker.record.labels:
        return False
    limit = spec.max_per_worker
    return not limit or _count_step_runs(step, worker) < limit


def count_places(step: Step, worker: WorkerView, limit: int) -> int:
    """Return how many subtasks of a step a worker has room for, up to a limit."""
    spec, needs, capacity = step.spec, step.spec.needs, worker.capacity
    places = limit
    if spec.max_per_worker:
        places = min(places, spec.max_per_worker - _count_step_runs(step, worker))
    if needs.cpu_millis and not spec.is_best_effort:
        places = min(places, worker.free_cpu_millis // needs.cpu_millis)
    if needs.memory_mb:
        free_mb = capacity.memory_mb - worker.used_memory_mb
        places = min(places, free_mb // needs.memory_mb)
    if needs.gpus:
        places = min(places, (capacity.gpus - worker.used_gpus) // needs.gpus)
    return max(0, places)


def score_for_step(step: Step, worker: WorkerView) -> tuple[float, ...]:
    """Return a sort key of the workers for a step; the lowest is the best."""
    spec = step.spec
    is_far = bool(spec.data_rack) and spec.data_rack not in worker.record.labels
    # Best-effort runs slow down serving runs on the same worker.
    interfering_runs = _count_interfering_runs(spec, worker)
    return (
        is_far,
        interfering_runs,
        round(worker.slowness),
        *_score_long_running(step, worker),
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


def _count_interfering_runs(spec: StepSpec, worker: WorkerView) -> int:
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
