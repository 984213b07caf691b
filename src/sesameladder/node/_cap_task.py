"""Keeps the caps of organisations for the pools that this process owns.

One thread follows the records in the store, another writes the rows of the owned
pools: a raise must not wait for the end of a watch, since short jobs last 0.7 s.
"""

from collections.abc import Callable, Iterable
from threading import Event, Lock

from sesameladder.jobs import CappedStarts
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._configuration_task import ConfirmedConfiguration
from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import (
    CAP_PREFIX,
    cap_key,
    pool_role,
    role_key,
    submission_key,
)
from sesameladder.node._records import decode_cap_record, encode_cap_record
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import (
    CAP_GRANTED,
    CAP_USED,
    CAP_WAITING,
    log_event,
    log_warning,
)
from sesameladder.organisations import (
    NOTHING,
    Amounts,
    CapLedger,
    CapPass,
    CapRecord,
    RecordWrite,
    add,
)
from sesameladder.platform import (
    Conflict,
    PlatformCallError,
    Put,
    RecordInvalid,
    RevisionExpired,
    StoreClient,
)

WATCH_WAIT_MS = 400  # with 0.7 s of slack, a lost watch fails within the 1.5 s allowed
# With 55 owners, watches that return with each change would exceed the store's reads.
CHANGE_PAUSE_S = 0.05
IDLE_PAUSE_S = 0.25  # while no organisation has a cap or no pool is owned
PLAN_INTERVAL_S = 0.1  # resolution of the ledger's timers
WRITE_PAUSE_S = 0.02  # bounds the plans of a busy process to 50 a second
METRICS_INTERVAL_S = 1.0
# An owner's runs end within 7.5 s of its loss; twice that is allowed for.
GONE_POOL_CHECK_INTERVAL_S = 15.0
MAX_WRITES_IN_A_ROW = 32


class SharedPoolCaps:
    """One pool's access to the ledger, which several threads use."""

    __slots__ = ("fence", "pool", "task")

    def __init__(self, task: "CapTask", pool: str, fence: int) -> None:
        self.task = task
        self.pool = pool
        self.fence = fence

    def begin_pass(
        self,
        names: Iterable[str],
        present: dict[str, Amounts],
        own: dict[str, Amounts],
        is_settled: bool,
        free_cpu_millis: int,
        now: float,
    ) -> CapPass:
        """Return what a pass may start."""
        with self.task.lock:
            return self.task.ledger.begin_pass(
                self.pool,
                self.fence,
                names,
                present,
                own,
                is_settled,
                free_cpu_millis,
                now,
            )

    def end_pass(self, result: CapPass, now: float) -> None:
        """Apply what the pass has started, and have rows changed if that is due."""
        with self.task.lock:
            is_urgent = self.task.ledger.end_pass(self.pool, self.fence, result, now)
        if is_urgent:
            self.task.wake.set()


class CapTask:
    """Threads that follow and write the records while a cap has to be kept."""

    __slots__ = (
        "capped_starts",
        "dependency",
        "gone_pools",
        "last_gone_check_at",
        "last_metrics_at",
        "ledger",
        "lock",
        "read_configuration",
        "stopping",
        "store",
        "wake",
        "wake_pool",
        "watch_thread",
        "write_thread",
    )

    def __init__(
        self,
        store: StoreClient,
        read_configuration: Callable[[], ConfirmedConfiguration | None],
        wake_pool: Callable[[str], None],
    ) -> None:
        self.store = store
        self.read_configuration = read_configuration
        self.wake_pool = wake_pool
        """Has the task of a pool make a pass."""

        self.lock = Lock()
        self.ledger = CapLedger(log_event)
        self.capped_starts: dict[str, CappedStarts] = {}
        self.wake = Event()
        self.dependency = DependencyState("store:caps")
        self.gone_pools: set[str] = set()
        """Pools that were found to be gone at the latest check."""

        self.last_gone_check_at = self.last_metrics_at = read_steady_clock()
        self.stopping = Event()
        self.watch_thread = build_thread("cap watch", self._watch, self.stopping)
        self.write_thread = build_thread("cap writer", self._write, self.stopping)

    def start(self) -> None:
        """Start the threads."""
        self.watch_thread.start()
        self.write_thread.start()

    def stop(self) -> None:
        """Ask the threads to end."""
        self.stopping.set()
        self.wake.set()

    def add_pool(self, pool: str, fence: int) -> None:
        """Keep the caps of a pool that this process owns from now on."""
        with self.lock:
            self.ledger.add_pool(pool, fence, read_steady_clock())
            self.capped_starts[pool] = CappedStarts(SharedPoolCaps(self, pool, fence))

    def remove_pool(self, pool: str, fence: int) -> None:
        """Leave a pool's rows to its next owner."""
        with self.lock:
            self.ledger.remove_pool(pool, fence)
            if pool not in self.ledger.pools:
                self.capped_starts.pop(pool, None)
        for gauge in (CAP_GRANTED, CAP_USED, CAP_WAITING):
            if pool not in self.capped_starts:
                gauge.clear()  # the other pools' values are set within a second

    def get_capped_starts(self, pool: str) -> CappedStarts | None:
        """Return what answers for a pool; None while no organisation has a cap."""
        self._apply_configuration()
        return self.capped_starts.get(pool) if self.ledger.caps else None

    def _apply_configuration(self) -> None:
        confirmed = self.read_configuration()
        if confirmed is None or confirmed.confirmed_at <= self.ledger.caps_confirmed_at:
            return
        table = confirmed.configuration.organisations
        caps = {row.name: row.cap for row in table.by_name.values()} if table else {}
        with self.lock:
            self.ledger.set_caps(caps, confirmed.confirmed_at, read_steady_clock())

    # Following -------------------------------------------------------------

    def _watch(self) -> None:
        revision: int | None = None
        while not self.stopping.is_set():
            if not (self.ledger.caps and self.ledger.pools):
                revision = None
                self._apply_configuration()
                self.stopping.wait(IDLE_PAUSE_S)
                continue
            try:
                revision = self._follow(revision)
            except RevisionExpired:
                revision = None
            except PlatformCallError as error:
                self.dependency.record_failure(error)
                revision = None
                self.stopping.wait(self.dependency.draw_pause())
            else:
                self.dependency.record_success()

    def _follow(self, revision: int | None) -> int:
        sent_at = read_steady_clock()
        changes: list[tuple[str, bytes | None, int]]
        if revision is None:
            page = self.store.read_range(CAP_PREFIX)
            changes = [(item.key, item.value, item.revision) for item in page.items]
            found = {item.key for item in page.items}
            with self.lock:
                known = {cap_key(name) for name in self.ledger.records}
            changes += [(key, None, page.revision) for key in known - found]
            next_revision = page.revision
        else:
            batch = self.store.watch(CAP_PREFIX, revision, WATCH_WAIT_MS)
            changes = [(c.key, c.value, c.revision) for c in batch.changes]
            next_revision = batch.revision
        self._apply_configuration()
        with self.lock:
            for key, value, changed_at in changes:
                self._apply_record(key, value, changed_at)
            self.ledger.confirm_records(sent_at)
        if changes:
            self.wake.set()
            self._wake_waiting_pools()
            self.stopping.wait(CHANGE_PAUSE_S)
        return next_revision

    def _apply_record(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply a change of a record; the caller holds the lock."""
        ledger = self.ledger
        if value is not None:
            try:
                name, rows = decode_cap_record(key, value)
                ledger.apply_record(name, CapRecord(rows, revision))
                return
            except RecordInvalid as error:
                log_warning("cap_record_refused", key=key, error=str(error))
        for name in {*ledger.caps, *ledger.records}:
            if cap_key(name) != key:
                continue
            if value is None:
                ledger.apply_removal(name, revision, read_steady_clock())
            else:
                # What is granted is not known, so nothing of it may start.
                ledger.apply_record(name, CapRecord({}, revision, is_readable=False))

    def _wake_waiting_pools(self) -> None:
        with self.lock:
            waiting = [name for name, row in self.ledger.pools.items() if row.wants]
        for pool in waiting:
            self.wake_pool(pool)

    # Writing ---------------------------------------------------------------

    def _write(self) -> None:
        while not self.stopping.is_set():
            self.wake.wait(PLAN_INTERVAL_S)
            self.wake.clear()
            if not (self.ledger.caps and self.ledger.pools):
                self.stopping.wait(IDLE_PAUSE_S)
                continue
            for _ in range(MAX_WRITES_IN_A_ROW):
                write = self._take_write(self.ledger.plan, read_steady_clock())
                if write is None or not self._store(write):
                    break
            now = read_steady_clock()
            if now - self.last_metrics_at >= METRICS_INTERVAL_S:
                self.last_metrics_at = now
                self._publish_metrics()
            if now - self.last_gone_check_at >= GONE_POOL_CHECK_INTERVAL_S:
                self.last_gone_check_at = now
                self._remove_gone_pools()
            self.stopping.wait(WRITE_PAUSE_S)

    def _take_write(
        self, plan: Callable[..., RecordWrite | None], *arguments: object
    ) -> RecordWrite | None:
        """Plan a write and count it as sent before a pass can start work by its row."""
        with self.lock:
            write = plan(*arguments)
            if write is not None:
                self.ledger.record_sent(write, read_steady_clock())
        return write

    def _store(self, write: RecordWrite) -> bool:
        """Write a record; returns whether it was stored or may be planned anew."""
        key = cap_key(write.organisation)
        preconditions = [
            (key, write.revision),
            (role_key(pool_role(write.pool)), write.fence),
        ]
        if write.ownerless_pool:
            preconditions.append((role_key(pool_role(write.ownerless_pool)), 0))
        puts = (Put(key, encode_cap_record(write.organisation, write.rows)),)
        try:
            if write.removes_record:
                outcome = self.store.commit((), (key,), tuple(preconditions))
            else:
                outcome = self.store.commit(puts, (), tuple(preconditions))
        except PlatformCallError as error:
            self.dependency.record_failure(error)
            self.stopping.wait(self.dependency.draw_pause())
            return False
        if isinstance(outcome, Conflict):
            self._apply_conflict(write, outcome)
            return False
        with self.lock:
            self.ledger.record_stored(write, outcome.revision, read_steady_clock())
        for event in write.events:
            log_event(event, **write.fields)
        if "cap_granted" in write.events:
            self.wake_pool(write.pool)
        return True

    def _apply_conflict(self, write: RecordWrite, conflict: Conflict) -> None:
        key = cap_key(write.organisation)
        is_outdated = False
        with self.lock:
            self.ledger.record_refused(write)
            for item in conflict.items:
                if item.key == key and item.revision != write.revision:
                    is_outdated = True
                    self._apply_record(key, item.value, item.revision)
        if is_outdated:
            self.wake.set()  # planned anew on the version that another owner wrote
        else:
            # The role is lost, or the record is gone.
            self.stopping.wait(self.dependency.draw_pause())

    def _remove_gone_pools(self) -> None:
        """Remove the rows of pools that exist no more, after two checks.

        No configuration names such a pool, it has no owner and no open jobs.
        """
        confirmed = self.read_configuration()
        if confirmed is None:
            return
        configuration = confirmed.configuration
        named = {*configuration.pools, *(queue.pool for queue in configuration.queues)}
        with self.lock:
            rows = {
                (name, pool)
                for name, record in self.ledger.records.items()
                for pool in record.rows
                if pool not in named and pool not in self.ledger.pools
            }
        try:
            gone = {pool for pool in {p for _, p in rows} if self._is_unused(pool)}
        except PlatformCallError as error:
            self.dependency.record_failure(error)
            return
        previous, self.gone_pools = self.gone_pools, gone
        for name, pool in rows:
            if pool in gone & previous:
                write = self._take_write(self.ledger.plan_row_removal, name, pool)
                if write is not None:
                    self._store(write)

    def _is_unused(self, pool: str) -> bool:
        """Return whether a pool has no owner and no open jobs."""
        if self.store.read(role_key(pool_role(pool))) is not None:
            return False
        # One page tells whether there are any; all may not fit into memory.
        return not next(self.store.read_pages(submission_key(pool, ""))).items

    def _publish_metrics(self) -> None:
        with self.lock:
            rows = []
            for pool, owned in self.ledger.pools.items():
                granted = used = NOTHING
                for name, amounts in self.ledger.list_rows(pool).items():
                    if name in self.ledger.caps:
                        granted = add(granted, amounts)
                        used = add(used, owned.present.get(name, NOTHING))
                rows.append((pool, granted, used, owned.waiting))
        for pool, granted, used, waiting in rows:
            for gauge, amounts in ((CAP_GRANTED, granted), (CAP_USED, used)):
                gauge.labels(pool, "cores").set(amounts.cpu_millis / 1000)
                gauge.labels(pool, "memory_mb").set(amounts.memory_mb)
                gauge.labels(pool, "gpus").set(amounts.gpus)
            CAP_WAITING.labels(pool).set(waiting)
