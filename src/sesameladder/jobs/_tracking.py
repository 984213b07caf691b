"""Workers on which runs of a pool may be present, as one owner leaves them to the next.

A worker that drains and runs nothing is left out before it leaves, so a later owner
does not wait for it. How long to wait for a worker is handed on as a duration, since
processes have no clock in common.
"""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import ceil
from operator import attrgetter
from types import MappingProxyType

from sesameladder.jobs._runs import WorkerView

WAIT_STEP_S = 0.5  # bounds how often the remaining time is stored


@dataclass(slots=True)
class TrackedWorker:
    """A worker that may have runs of the pool."""

    worker: str
    born_ms: int = 0
    """Start of the incarnation in Unix milliseconds; 0 if unknown."""

    wait_s: float | None = None
    """Time after which runs of earlier owners have expired, if the worker stays away.

    None if the worker has responded to the latest owner, which may have started runs.
    """


@dataclass(slots=True, eq=False)
class UnreadWorkers:
    """What an owner knows of the workers of earlier owners before they report.

    Times are in seconds of the steady clock.
    """

    deadline: float = 0.0
    """Time by which runs of earlier owners have expired on a worker that stays away."""

    deadlines: dict[str, float] = field(default_factory=dict)
    """The same by worker, where earlier owners have waited or leases last longer."""

    tracked: dict[str, TrackedWorker] = field(default_factory=dict)
    """Workers as the last owner left them."""

    unlisted: dict[str, TrackedWorker] = field(default_factory=dict)
    """Workers of earlier owners that are not in the list of workers."""

    @classmethod
    def from_tracked(
        cls,
        tracked: Iterable[TrackedWorker],
        wait_s: float,
        now: float,
        longer_waits_s: Mapping[str, float] = MappingProxyType({}),
    ) -> "UnreadWorkers":
        """Return the state of an owner that takes over now.

        ``wait_s`` is the time to wait for a worker that no owner has waited for yet,
        except for those with a longer one.
        """
        by_name = {worker.worker: worker for worker in tracked}
        unread = cls(now + wait_s, {}, by_name, dict(by_name))
        for name, worker in by_name.items():
            longest_s = longer_waits_s.get(name, wait_s)
            left_s = longest_s if worker.wait_s is None else worker.wait_s
            unread.deadlines[name] = now + min(left_s, longest_s)
        return unread

    def get_deadline(self, worker: str) -> float:
        """Return the time by which runs of earlier owners have expired on a worker."""
        return self.deadlines.get(worker, self.deadline)

    def forget(self, worker: str) -> None:
        """Count a worker no longer as one that is in no list."""
        self.unlisted.pop(worker, None)

    def extend(self, worker: str, deadline: float) -> None:
        """Wait longer for a worker whose leases may last longer."""
        self.deadlines[worker] = max(self.get_deadline(worker), deadline)

    def record_end(self, worker: str, born_ms: int) -> None:
        """Record that an incarnation has ended; 0 stands for an unknown one."""
        tracked = self.unlisted.get(worker)
        if tracked is not None and born_ms and tracked.born_ms == born_ms:
            del self.unlisted[worker]

    def has_unlisted(self, now: float) -> bool:
        """Return whether runs may be present on workers that are in no list."""
        return any(now < self.get_deadline(worker) for worker in self.unlisted)

    def list_tracked(
        self, views: Iterable[WorkerView], contacted: Container[str], now: float
    ) -> tuple[TrackedWorker, ...]:
        """Return the workers that may have runs, in the order of their names.

        Runs of this owner may be present on the ``contacted`` workers.
        """
        tracked = []
        for view in views:
            if view.may_have_runs:
                wait_s = None
                if now < self.get_deadline(view.id) and view.id not in contacted:
                    wait_s = self._compute_wait(view.id, now)
                tracked.append(TrackedWorker(view.id, view.record.born_ms, wait_s))
        for name, worker in self.unlisted.items():
            if now < self.get_deadline(name):
                tracked.append(replace(worker, wait_s=self._compute_wait(name, now)))
        tracked.sort(key=attrgetter("worker"))
        return tuple(tracked)

    def _compute_wait(self, worker: str, now: float) -> float:
        left_s = self.get_deadline(worker) - now
        return ceil(left_s / WAIT_STEP_S) * WAIT_STEP_S
