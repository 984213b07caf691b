"""Which worker a subtask is sent to."""

from collections.abc import Iterable
from math import ceil

from sesameladder.jobs._book import Step, Subtask
from sesameladder.jobs._runs import WorkerView

LONG_RUNNING_GROUPS = (
    3  # one for each zone of today's users; the loss of one leaves two
)


def choose_worker(
    subtask: Subtask,
    accepting: Iterable[WorkerView],
    tickets: dict[str, str] | None,
    rack: str = "",
) -> WorkerView | None:
    """Return the best of the workers that accept work and have room, or None.

    ``tickets`` limits the choice to the workers that the queue's policy allows,
    ``rack`` to one rack. The fullest worker that fits is best, which leaves room
    for wide subtasks elsewhere; a worker near the data and one on which the
    subtask has not failed go before that.
    """
    step = subtask.step
    spec = step.spec
    best: WorkerView | None = None
    best_score: tuple[float, ...] = ()
    for worker in accepting:
        if not worker.has_room(spec.needs, spec.is_best_effort):
            continue
        if spec.label and spec.label not in worker.record.labels:
            continue
        if rack and worker.rack != rack:
            continue
        if tickets is not None and worker.id not in tickets:
            continue
        if (
            spec.max_per_worker
            and _count_step_runs(step, worker) >= spec.max_per_worker
        ):
            continue
        score = _score(subtask, worker)
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def _score(subtask: Subtask, worker: WorkerView) -> tuple[float, ...]:
    spec = subtask.step.spec
    is_far = bool(spec.data_rack) and spec.data_rack not in worker.record.labels
    # Work that fills disturbs work that serves on the same worker.
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
    """Return a key that gathers lasting work on a few workers, but not on one.

    The other workers are free to leave the pool between its turns of demand.
    """
    if not step.spec.is_long_running:
        return False, False
    group_size = ceil(step.spec.count / LONG_RUNNING_GROUPS)
    return _count_step_runs(step, worker) >= group_size, not worker.has_long_running()


def _count_step_runs(step: Step, worker: WorkerView) -> int:
    """Return the runs of the same step on a worker."""
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
