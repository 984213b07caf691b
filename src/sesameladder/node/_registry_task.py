"""Reads the list of workers for the pools that this process owns."""

from collections.abc import Callable
from threading import Event, Thread

from sesameladder.jobs import WorkerRecord
from sesameladder.node._dependency import DependencyState
from sesameladder.node._telemetry import warn
from sesameladder.platform import (
    WORKER_PREFIX,
    PlatformCallError,
    RecordInvalid,
    StoreClient,
    decode_worker,
)

READ_INTERVAL_S = 0.25  # a VM lent to a pool counts from this reading on
RETRY_PAUSE_S = 0.2


class RegistryTask:
    """Reads the list at an interval while ``is_wanted`` says so."""

    __slots__ = (
        "dependency",
        "is_wanted",
        "on_read",
        "refused",
        "stopping",
        "store",
        "thread",
        "wake",
    )

    def __init__(
        self,
        store: StoreClient,
        is_wanted: Callable[[], bool],
        on_read: Callable[[list[WorkerRecord]], None],
    ) -> None:
        self.store = store
        self.is_wanted = is_wanted
        self.on_read = on_read
        self.refused: set[str] = set()
        self.dependency = DependencyState("store:workers")
        self.stopping = Event()
        self.wake = Event()
        self.thread = Thread(target=self._run, name="registry", daemon=True)

    def start(self) -> None:
        """Start reading."""
        self.thread.start()

    def stop(self) -> None:
        """Stop reading."""
        self.stopping.set()
        self.wake.set()

    def read_now(self) -> None:
        """Read the list without waiting for the interval."""
        self.wake.set()

    def _run(self) -> None:
        while not self.stopping.is_set():
            pause_s = READ_INTERVAL_S
            if self.is_wanted():
                try:
                    self.on_read(self._read())
                    self.dependency.note_success()
                except PlatformCallError as error:
                    self.dependency.note_failure(error)
                    pause_s = RETRY_PAUSE_S
            self.wake.wait(pause_s)
            self.wake.clear()

    def _read(self) -> list[WorkerRecord]:
        records = []
        for item in self.store.read_range(WORKER_PREFIX).items:
            worker = item.key.removeprefix(WORKER_PREFIX)
            try:
                records.append(decode_worker(worker, item.value))
            except RecordInvalid as error:
                if worker not in self.refused:
                    self.refused.add(worker)
                    warn("worker_record_refused", worker=worker, error=str(error))
        return records
