"""Load of a pool as its owner sees it, for logs and metrics."""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameladder.jobs._job import Step
from sesameladder.jobs._runs import Run, WorkerView


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """What an owner has to do, and what its workers have left."""

    waiting: int
    """Subtasks that may be started and have no run."""

    running: int
    """Runs that a worker has confirmed."""

    unconfirmed: int
    """Starts without a response or report so far."""

    oldest_unconfirmed_s: float
    """Age of the oldest of these starts in seconds; 0 without any."""

    free_cores: float
    """Unused cores of the workers that accept work."""

    copy_cores: float = 0.0
    """Cores in use by copies of slow subtasks, and by runs stopped due to one."""

    @property
    def is_idle(self) -> bool:
        """Return whether nothing waits for the owner or for a worker."""
        return not self.waiting and not self.unconfirmed


def measure_load(
    open_steps: Iterable[Step],
    runs: Iterable[Run],
    workers: Iterable[WorkerView],
    now: float,
    copy_cores: float = 0.0,
) -> PoolLoad:
    """Return the load at the steady time ``now``, in seconds."""
    waiting = sum(step.waiting_count for step in open_steps)
    running = unconfirmed = 0
    oldest_s = 0.0
    for run in runs:
        if run.confirmed_at is not None:
            running += 1
        else:
            unconfirmed += 1
            oldest_s = max(oldest_s, now - run.sent_at)
    free_millis = sum(
        view.free_cpu_millis for view in workers if view.accepts_work(now)
    )
    return PoolLoad(
        waiting, running, unconfirmed, oldest_s, free_millis / 1000, copy_cores
    )
