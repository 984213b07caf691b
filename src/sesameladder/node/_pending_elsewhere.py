"""Pending jobs of a queue in pools that its route no longer leads to.

A queue keeps the jobs that it accepted before its route was led to another service.
They are in the summary of the pool that accepted them, under the queue's name. No
process has to know of earlier routes: one read tells the counts of all pools. While a
pool has no owner, as after a restart of all processes, it has no summary, and its
records are counted.
"""

from collections.abc import Callable, Iterable
from threading import Lock

from sesameladder.node._client_store import ClientStore
from sesameladder.node._keys import SUMMARY_PREFIX
from sesameladder.node._pending_records import count_pending_records
from sesameladder.node._records import decode_pending
from sesameladder.node._telemetry import log_warning
from sesameladder.platform import CallRejected, RecordInvalid
from sesameladder.service_calls import Caller

# A summary is at most a second old, and a count may be two seconds old.
MAX_AGE_S = 0.8
MAX_WAIT_S = 0.6  # for another caller's read; a call of the store takes no longer


class PendingElsewhere:
    """Counts of all pools as last read; thread-safe.

    However many callers ask, the store is read once in ``MAX_AGE_S``.
    """

    __slots__ = (
        "counts",
        "list_open_pools",
        "lock",
        "read_at",
        "read_clock",
        "store",
        "uncounted",
    )

    def __init__(
        self,
        store: ClientStore,
        read_clock: Callable[[], float],
        list_open_pools: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self.store = store
        self.read_clock = read_clock
        self.list_open_pools = list_open_pools
        """Returns the pools that may have pending jobs."""

        self.lock = Lock()
        self.read_at: float | None = None
        """Steady time, in seconds, before which the counts were still current."""

        self.counts: dict[str, dict[str, int]] = {}
        """Pending jobs by queue and pool; pools without any are left out."""

        self.uncounted: set[str] = set()
        """Pools without a summary whose records have not been counted yet."""

    def count(self, queue: str, own_pool: str, caller: Caller) -> int:
        """Return the pending jobs of a queue in all pools but its own.

        Raises ``PlatformCallError``.
        """
        if not self.lock.acquire(timeout=MAX_WAIT_S):
            raise CallRejected("the summaries are being read for another caller")
        try:
            now = self.read_clock()
            if self.read_at is None or now - self.read_at >= MAX_AGE_S:
                self.counts = self._read(caller)
                self.read_at = now
            for pool in sorted(self.uncounted - {own_pool}):
                records = count_pending_records(self.store, pool, caller)
                for name, number in records.items():
                    self.counts.setdefault(name, {})[pool] = number
                self.uncounted.discard(pool)
            by_pool = self.counts.get(queue, {})
        finally:
            self.lock.release()
        return sum(count for pool, count in by_pool.items() if pool != own_pool)

    def _read(self, caller: Caller) -> dict[str, dict[str, int]]:
        counts: dict[str, dict[str, int]] = {}
        self.uncounted = set(self.list_open_pools())
        for page in self.store.read_pages(SUMMARY_PREFIX, caller):
            for item in page.items:
                pool = item.key.removeprefix(SUMMARY_PREFIX)
                self.uncounted.discard(pool)
                try:
                    pending = decode_pending(item.value)
                except RecordInvalid as error:
                    log_warning("summary_refused", pool=pool, error=str(error))
                    continue
                for queue, count in pending.items():
                    if count:
                        counts.setdefault(queue, {})[pool] = count
        return counts
