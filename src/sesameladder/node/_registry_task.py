"""Follows the list of workers for the pools that this process owns.

The list is read once and then watched: with hundreds of workers, reading it anew
several times a second saturates the network link of a small VM.
"""

from collections.abc import Callable
from threading import Event, Lock

from sesameladder.jobs import WorkerRecord
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._dependency import DependencyState
from sesameladder.node._refusals import RefusalLog
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import log_event
from sesameladder.platform import (
    WORKER_PREFIX,
    PlatformCallError,
    RecordInvalid,
    RevisionExpired,
    StoreClient,
    decode_worker,
)

UPDATE_INTERVAL_S = 0.25  # limits the calls; delays the use of a VM lent to a pool
WATCH_WAIT_MS = 1000

UpdateListener = Callable[[list[WorkerRecord] | None, float], None]
"""Takes the list, or None if it hasn't changed, and a steady time.

The list was current at that time or later.
"""


class RegistryTask:
    """Thread that follows the list while ``owns_pools`` returns True."""

    __slots__ = (
        "confirmed_at",
        "dependency",
        "lock",
        "on_update",
        "owns_pools",
        "record_pass",
        "records",
        "refusals",
        "revision",
        "stopping",
        "store",
        "thread",
        "wake",
    )

    def __init__(
        self,
        store: StoreClient,
        owns_pools: Callable[[], bool],
        on_update: UpdateListener,
        record_pass: Callable[[], None],
    ) -> None:
        self.store = store
        self.owns_pools = owns_pools
        self.on_update = on_update
        self.record_pass = record_pass
        self.records: dict[str, WorkerRecord] = {}
        """Entries by worker; never modified but replaced, since two threads read it."""

        self.revision: int | None = None
        """Store revision of ``records``; None if the list has to be read anew."""

        self.confirmed_at = 0.0
        """Steady time at which the latest successful call was sent."""

        self.lock = Lock()
        """Held while the list is passed on, so that no older one follows."""

        self.refusals = RefusalLog("worker_record_refused")
        self.dependency = DependencyState("store:workers")
        self.stopping = Event()
        self.wake = Event()
        self.thread = build_thread("registry", self._run, self.stopping)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self.stopping.set()
        self.wake.set()

    def publish(self) -> None:
        """Pass the list on now if it is known, and update it without delay."""
        if self.revision is not None:
            with self.lock:
                self.on_update(list(self.records.values()), self.confirmed_at)
        self.wake.set()

    def _run(self) -> None:
        self.revision = None
        while not self.stopping.is_set():
            pause_s = UPDATE_INTERVAL_S
            if not self.owns_pools():
                self.revision = None
            else:
                try:
                    self.update()
                    self.dependency.record_success()
                except PlatformCallError as error:
                    self.dependency.record_failure(error)
                    self.revision = None
                    pause_s = self.dependency.draw_pause()
                self.record_pass()
            self.wake.wait(pause_s)
            self.wake.clear()

    def update(self) -> None:
        """Update the list once, and pass it on or confirm it."""
        sent_at = read_steady_clock()
        has_changed = self.refresh()
        with self.lock:
            self.confirmed_at = sent_at
            records = list(self.records.values()) if has_changed else None
            self.on_update(records, sent_at)

    def refresh(self) -> bool:
        """Update the list; returns whether it was read anew or has changed."""
        if self.revision is None:
            page = self.store.read_range(WORKER_PREFIX)
            records: dict[str, WorkerRecord] = {}
            for item in page.items:
                self._apply(records, item.key, item.value)
            self.records, self.revision = records, page.revision
            return True
        try:
            batch = self.store.watch(WORKER_PREFIX, self.revision, WATCH_WAIT_MS)
        except RevisionExpired as error:
            log_event("worker_history_lost", error=str(error))
            self.revision = None
            return self.refresh()
        records = dict(self.records)
        for change in batch.changes:
            self._apply(records, change.key, change.value)
        has_changed = records != self.records
        self.records, self.revision = records, batch.revision
        return has_changed

    def _apply(
        self, records: dict[str, WorkerRecord], key: str, value: bytes | None
    ) -> None:
        worker = key.removeprefix(WORKER_PREFIX)
        records.pop(worker, None)
        if value is None:
            return
        try:
            records[worker] = decode_worker(worker, value)
            self.refusals.clear(worker)
        except RecordInvalid as error:
            self.refusals.record(worker, str(error), worker=worker)
        except Exception as error:
            # One entry must not keep the others from being followed.
            self.refusals.record_failure(worker, error, worker=worker)
