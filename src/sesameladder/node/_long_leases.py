"""Workers that may hold a longer lease than the pool's owner has granted them.

An order to an earlier incarnation of a worker may still reach the next one and give it
a lease of the maximum.
"""

from collections.abc import Mapping

from sesameladder.jobs import UnreadWorkers, WorkerRecord
from sesameladder.node._worker_link import EARLIER_ORDERS_S, compute_lease_time

UNREAD_WORKER_WAIT_S = 7.5  # the role's confirmation timeout of 3 s and one lease


class LongLeases:
    """Steady time until which a worker may hold a lease of the maximum, by worker.

    Workers that are gone are kept for as long, since they may restart.
    """

    __slots__ = ("max_worker_lease_ms", "until", "worker_lease_ms")

    def __init__(self, worker_lease_ms: int, max_worker_lease_ms: int) -> None:
        self.worker_lease_ms = worker_lease_ms
        self.max_worker_lease_ms = max_worker_lease_ms
        """Maximum to which workers shorten their leases, in milliseconds."""

        self.until: dict[str, float] = {}

    @property
    def period_s(self) -> float:
        """Return for how long a worker may hold a long lease after a restart.

        Orders to the earlier incarnation arrive for a while, and each gives a lease.
        """
        return EARLIER_ORDERS_S + compute_lease_time(self.max_worker_lease_ms)

    @property
    def restarted_wait_s(self) -> float:
        """Return how long to wait for a silent worker that has restarted."""
        return (
            UNREAD_WORKER_WAIT_S
            + compute_lease_time(self.max_worker_lease_ms)
            - compute_lease_time(self.worker_lease_ms)
        )

    def take_over(self, left_s: Mapping[str, float], now: float) -> None:
        """Set the times that the last owner has stored, in seconds from then."""
        self.until = {
            worker: now + min(seconds, self.period_s)
            for worker, seconds in left_s.items()
        }

    def record_end(self, worker: str, now: float) -> None:
        """Record that an incarnation of a worker is gone."""
        self.until[worker] = now + self.period_s

    def expire(self, now: float) -> None:
        """Forget the workers whose time is over."""
        self.until = {name: until for name, until in self.until.items() if now < until}

    def check_restart(
        self, record: WorkerRecord, unread_workers: UnreadWorkers, now: float
    ) -> None:
        """Note a restart since the last owner stored the worker's start time."""
        tracked = unread_workers.tracked.get(record.worker)
        if tracked is None or now >= unread_workers.deadline:
            return
        if tracked.born_ms and tracked.born_ms != record.born_ms:
            self.record_end(record.worker, now)
            longer_s = self.restarted_wait_s - UNREAD_WORKER_WAIT_S
            unread_workers.extend(record.worker, unread_workers.deadline + longer_s)

    def describe(self, now: float) -> dict[str, float]:
        """Return the seconds that are left, by worker, for the next owner."""
        return {worker: round(until - now, 1) for worker, until in self.until.items()}
