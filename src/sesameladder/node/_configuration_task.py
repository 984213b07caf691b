"""Follows the newest configuration and the maintenance waves in the store."""

from dataclasses import dataclass
from threading import Event

from sesameladder.fleet import Wave
from sesameladder.jobs import Configuration
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._dependency import DependencyState
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import log_event, log_warning
from sesameladder.platform import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    WAVE_PREFIX,
    PlatformCallError,
    RecordInvalid,
    RevisionExpired,
    StoreClient,
    decode_configuration,
    decode_wave,
)

WATCH_WAIT_MS = 700  # with 0.7 s of slack, a lost watch fails in 1.4 of 2 s allowed
RETRY_PAUSE_S = 0.15


@dataclass(frozen=True, slots=True)
class ConfirmedConfiguration:
    """A configuration with the time at which it was the newest one."""

    configuration: Configuration
    confirmed_at: float
    """Steady time in seconds at which the latest call that confirmed it was sent."""


class ConfigurationTask:
    """Thread that reads what the operators write to the store.

    A configuration is replaced only by one with a higher version.
    """

    __slots__ = (
        "confirmed",
        "current",
        "dependency",
        "stopping",
        "store",
        "thread",
        "waves",
    )

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.current: Configuration | None = None
        self.confirmed: ConfirmedConfiguration | None = None
        self.waves: dict[int, Wave] = {}
        self.dependency = DependencyState("store:configuration")
        self.stopping = Event()
        self.thread = build_thread("configuration", self._run, self.stopping)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self.stopping.set()

    def read(self) -> ConfirmedConfiguration | None:
        """Return the configuration and the time at which it was confirmed."""
        return self.confirmed

    def _run(self) -> None:
        revision: int | None = None
        while not self.stopping.is_set():
            try:
                revision = self._fetch_changes(revision)
            except RevisionExpired:
                revision = None
            except PlatformCallError as error:
                self.dependency.record_failure(error)
                # Changes may have been missed without a sign from the store; a full
                # read takes one call.
                revision = None
                self.stopping.wait(RETRY_PAUSE_S)
            else:
                self.dependency.record_success()

    def _fetch_changes(self, revision: int | None) -> int:
        sent_at = read_steady_clock()
        if revision is None:
            page = self.store.read_range(OPERATOR_PREFIX)
            for item in page.items:
                self._apply(item.key, item.value)
            self._confirm(sent_at)
            return page.revision
        batch = self.store.watch(OPERATOR_PREFIX, revision, WATCH_WAIT_MS)
        for change in batch.changes:
            if change.value is not None:
                self._apply(change.key, change.value)
        self._confirm(sent_at)
        return batch.revision

    def _confirm(self, sent_at: float) -> None:
        """Record that the current configuration was the newest at a steady time."""
        if self.current is not None:
            self.confirmed = ConfirmedConfiguration(self.current, sent_at)

    def _apply(self, key: str, value: bytes) -> None:
        try:
            if key == CONFIGURATION_KEY:
                self._apply_configuration(decode_configuration(value))
            elif key.startswith(WAVE_PREFIX):
                wave = decode_wave(value)
                if wave.number not in self.waves:
                    log_event("wave_ordered", wave=wave.number, vms=len(wave.vms))
                self.waves[wave.number] = wave
        except RecordInvalid as error:
            log_warning("operator_record_refused", key=key, error=str(error))

    def _apply_configuration(self, configuration: Configuration) -> None:
        current = self.current
        if current is not None and configuration.version <= current.version:
            return
        self.current = configuration
        log_event("configuration_applied", version=configuration.version)
