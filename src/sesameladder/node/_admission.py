"""Admission of new jobs by what a pool's owner publishes: a forecast, and its room.

The load is a demand peak of several times what a pool holds, or a crowd that submits
more than an owner can hold in memory. A job that is refused at once costs its caller
little; one that is accepted and has no value when it ends costs the pool's cores as
well. Whatever is uncertain is accepted.
"""

from collections.abc import Callable
from dataclasses import dataclass
from queue import SimpleQueue
from random import Random
from threading import Event, Lock

from sesameladder.accepted_work import RETRY_SPREAD as ROOM_RETRY_SPREAD
from sesameladder.accepted_work import RoomAccount, RoomShortage
from sesameladder.jobs import (
    DEFAULT_DURATION_S,
    OVERDUE_FACTOR,
    BacklogForecast,
    Excess,
    JobSpec,
    QueuePolicy,
    find_excess,
)
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import summary_key
from sesameladder.node._records import decode_summary
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import (
    ADMISSION_REFUSALS,
    ROOM_REFUSALS,
    log_event,
    log_warning,
)
from sesameladder.platform import PlatformCallError, RecordInvalid, StoreClient

READ_INTERVAL_S = 1.0  # 42 reads a second of a busy pool with 42 VMs
FORECAST_VALID_S = 2.0  # a demand peak lasts 4 to 6 s and ends within one
LOG_INTERVAL_S = 1.0
# Around this multiple of the time by which a job would be too late, callers are told to
# come again; without the spread they would all come at once.
RETRY_SPREAD = (0.5, 1.5)


@dataclass(slots=True)
class CachedForecast:
    """The forecast of a pool as this process last read it."""

    requested_at: float = -READ_INTERVAL_S
    """Steady time of the latest request to read it."""

    forecast: BacklogForecast | None = None
    read_sent_at: float | None = None
    """Steady time at which the latest successful read was sent."""

    not_before: float | None = None
    """Steady time after which the forecast was written; None if it is not known.

    An earlier read, sent at this time, still showed another forecast of the same owner.
    """

    clock_offset_s: float = 0.0
    """Least time seen between the owner's clock and this one's at a read."""

    def apply(
        self, forecast: BacklogForecast | None, sent_at: float, now: float
    ) -> None:
        """Take over what a read has returned."""
        previous, earlier_sent_at = self.forecast, self.read_sent_at
        self.forecast, self.read_sent_at = forecast, sent_at
        if forecast is None:
            self.not_before = None
            return
        offset_s = now - forecast.computed_ms / 1000
        if previous is None or previous.fence != forecast.fence:
            self.not_before, self.clock_offset_s = None, offset_s
            return
        self.clock_offset_s = min(self.clock_offset_s, offset_s)
        if previous.computed_ms != forecast.computed_ms:
            self.not_before = earlier_sent_at

    def get_age_s(self, now: float) -> float | None:
        """Return the most that the forecast's age can be; None if it is not known.

        No two VMs have the same clock. A forecast that an earlier read did not show was
        written after that read, and one that was long under way shows by the owner's
        clock.
        """
        if self.forecast is None or self.not_before is None:
            return None
        by_clock_s = now - self.forecast.computed_ms / 1000 - self.clock_offset_s
        return max(now - self.not_before, by_clock_s)


@dataclass(slots=True)
class RefusalCount:
    """Refusals of a queue that are not logged yet."""

    count: int = 0
    logged_at: float = -LOG_INTERVAL_S


class AdmissionControl:
    """Decides which new jobs are refused; thread-safe.

    Summaries are read by a thread of its own, so no submission waits for a read.
    """

    __slots__ = (
        "by_pool",
        "dependency",
        "get_owner_fence",
        "is_enabled",
        "lock",
        "random",
        "read_clock",
        "refusals",
        "requests",
        "room_refusals",
        "rooms",
        "stopping",
        "store",
        "thread",
    )

    def __init__(
        self,
        store: StoreClient,
        is_enabled: Callable[[], bool],
        get_owner_fence: Callable[[str], int | None],
        random: Random | None = None,
        read_clock: Callable[[], float] = read_steady_clock,
    ) -> None:
        self.store = store
        self.is_enabled = is_enabled
        """Whether the configuration in force names organisations."""

        self.get_owner_fence = get_owner_fence
        """Returns the fencing token of a pool's owner as last read, or None."""

        self.random = random or Random()
        self.read_clock = read_clock
        self.lock = Lock()
        self.by_pool: dict[str, CachedForecast] = {}
        self.refusals: dict[str, RefusalCount] = {}
        """Refusals not logged yet, by queue."""

        self.rooms: dict[str, RoomAccount] = {}
        self.room_refusals: dict[str, RefusalCount] = {}
        """Refusals for want of room not logged yet, by pool."""

        self.requests: SimpleQueue[str | None] = SimpleQueue()
        """Pools whose summary is to be read."""

        self.dependency = DependencyState("store:admission")
        self.stopping = Event()
        self.thread = build_thread("admission", self._run, self.stopping)

    def start(self) -> None:
        """Start the thread that reads the summaries."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self.stopping.set()
        self.requests.put(None)

    def find_excess(
        self, queue: QueuePolicy, organisation: str, spec: JobSpec
    ) -> Excess | None:
        """Return by how much a job would be too late; None to accept it."""
        if not self.is_enabled():
            return None
        now = self.read_clock()
        with self.lock:
            cached = self.by_pool.setdefault(queue.pool, CachedForecast())
            if now - cached.requested_at >= READ_INTERVAL_S:
                cached.requested_at = now
                self.requests.put(queue.pool)
            forecast, age_s = cached.forecast, cached.get_age_s(now)
        if forecast is None or age_s is None or age_s > FORECAST_VALID_S:
            return None
        if self.get_owner_fence(queue.pool) != forecast.fence:
            return None
        return find_excess(
            forecast,
            queue.name,
            organisation,
            spec,
            queue.stretch,
            queue.target_offset_ms / 1000,
            OVERDUE_FACTOR,
            DEFAULT_DURATION_S,
            self.random.random(),
        )

    def find_shortage(
        self, pool: str, organisation: str, job_bytes: int
    ) -> RoomShortage | None:
        """Return why the pool's owner has no room for a job; None to accept it.

        A job without a shortage is counted as accepted.
        """
        now = self.read_clock()
        with self.lock:
            account = self.rooms.setdefault(pool, RoomAccount())
            shortage = account.admit(job_bytes, organisation, now)
            if account.take_reading(now):
                self.requests.put(pool)
        return shortage

    def record_shortage(
        self, pool: str, organisation: str, shortage: RoomShortage
    ) -> int:
        """Count and log a refusal, and return when to come again, in whole seconds."""
        ROOM_REFUSALS.labels(pool, shortage.cause.value).inc()
        count = self._count_refusal(self.room_refusals, pool)
        if count:
            log_event(
                "room_refused",
                pool=pool,
                count=count,
                cause=shortage.cause.value,
                organisation=organisation,
                job_bytes=shortage.job_bytes,
                free_bytes=shortage.free_bytes,
                limit_bytes=shortage.limit_bytes,
            )
        spread = self.random.uniform(*ROOM_RETRY_SPREAD)
        return max(1, round(shortage.retry_after_s * spread))

    def _count_refusal(self, refusals: dict[str, RefusalCount], name: str) -> int:
        """Count a refusal; returns how many to log now, 0 shortly after a line."""
        now = self.read_clock()
        with self.lock:
            row = refusals.setdefault(name, RefusalCount())
            row.count += 1
            if now - row.logged_at < LOG_INTERVAL_S:
                return 0
            count, row.count, row.logged_at = row.count, 0, now
            return count

    def record_refusal(
        self, queue: QueuePolicy, organisation: str, excess: Excess
    ) -> int:
        """Count and log a refusal, and return when to come again, in whole seconds."""
        ADMISSION_REFUSALS.labels(queue.pool).inc()
        count = self._count_refusal(self.refusals, queue.name)
        if count:
            log_event(
                "admission_refused",
                queue=queue.name,
                pool=queue.pool,
                count=count,
                organisation=organisation,
                wait_s=round(excess.wait_s, 2),
                path_s=round(excess.path_s, 2),
                limit_s=round(excess.limit_s, 2),
            )
        return max(1, round(excess.excess_s * self.random.uniform(*RETRY_SPREAD)))

    def _run(self) -> None:
        while not self.stopping.is_set():
            pool = self.requests.get()
            if pool is not None:
                self.read_summary(pool)

    def read_summary(self, pool: str) -> None:
        """Read the summary of a pool; without it, jobs of the pool are accepted."""
        sent_at = self.read_clock()
        forecast, room = None, None
        try:
            item = self.store.read(summary_key(pool))
            if item is not None:
                summary = decode_summary(item.value)
                forecast, room = summary.forecast, summary.room
        except PlatformCallError as error:
            self.dependency.record_failure(error)
            return
        except RecordInvalid as error:
            log_warning("summary_refused", pool=pool, error=str(error))
        self.dependency.record_success()
        with self.lock:
            cached = self.by_pool.setdefault(pool, CachedForecast())
            cached.apply(forecast, sent_at, self.read_clock())
            self.rooms.setdefault(pool, RoomAccount()).apply(room, sent_at)
