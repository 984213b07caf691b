"""Follows the newest configuration and the maintenance waves in the store."""

from dataclasses import dataclass
from math import inf
from threading import Event

from sesameladder.fleet import Wave
from sesameladder.jobs import Configuration
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._dependency import DependencyState
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import log_event, log_warning
from sesameladder.organisations import KeyRefusal, OrganisationRefusal
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
MAX_LOGGED_REFUSALS = 100  # of one configuration; the log's queue holds 5,000 lines


@dataclass(frozen=True, slots=True)
class ConfirmedConfiguration:
    """A configuration with the time at which it was the newest one."""

    configuration: Configuration
    confirmed_at: float
    """Steady time in seconds at which the latest call that confirmed it was sent.

    The configuration holds each change that the store had acknowledged by then. It is
    minus infinity if no call has confirmed any configuration.
    """


class ConfigurationTask:
    """Thread that reads what the operators write to the store.

    A configuration is replaced only by one with a higher version. The latest one that
    the store holds may be unreadable; then nothing confirms the configuration in force,
    since the unreadable one may withdraw a key.
    """

    __slots__ = (
        "confirmed",
        "current",
        "dependency",
        "is_readable",
        "stopping",
        "store",
        "thread",
        "waves",
    )

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.current: Configuration | None = None
        self.confirmed: ConfirmedConfiguration | None = None
        self.is_readable = False
        """Whether the latest configuration that the store is known to hold is readable.

        False too if the store holds none.
        """

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
                self.stopping.wait(self.dependency.draw_pause())
            else:
                self.dependency.record_success()

    def _fetch_changes(self, revision: int | None) -> int:
        sent_at = read_steady_clock()
        if revision is None:
            page = self.store.read_range(OPERATOR_PREFIX)
            if all(item.key != CONFIGURATION_KEY for item in page.items):
                self.is_readable = False
            for item in page.items:
                self._apply(item.key, item.value)
            self._confirm(sent_at)
            return page.revision
        batch = self.store.watch(OPERATOR_PREFIX, revision, WATCH_WAIT_MS)
        for change in batch.changes:
            if change.value is not None:
                self._apply(change.key, change.value)
            elif change.key == CONFIGURATION_KEY:
                self.is_readable = False
        self._confirm(sent_at)
        return batch.revision

    def _confirm(self, sent_at: float) -> None:
        """Record that the current configuration was the newest at a steady time.

        If the store holds an unreadable one, the time stays that of the latest answer
        before it.
        """
        if self.current is None:
            return
        if not self.is_readable:
            previous = self.confirmed
            sent_at = previous.confirmed_at if previous is not None else -inf
        self.confirmed = ConfirmedConfiguration(self.current, sent_at)

    def _apply(self, key: str, value: bytes) -> None:
        try:
            if key == CONFIGURATION_KEY:
                self.is_readable = False
                self._apply_configuration(decode_configuration(value))
                self.is_readable = True
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
        if configuration.organisations is not None:
            _log_refusals(configuration.organisations.refusals)


def _log_refusals(refusals: tuple[OrganisationRefusal | KeyRefusal, ...]) -> None:
    """Log the rows and keys that a configuration names and nobody can use."""
    for refusal in refusals[:MAX_LOGGED_REFUSALS]:
        if isinstance(refusal, OrganisationRefusal):
            log_warning(
                "organisation_refused", position=refusal.position, error=refusal.reason
            )
        else:
            log_warning(
                "key_refused",
                positions=refusal.positions[:MAX_LOGGED_REFUSALS],
                error=refusal.reason,
            )
    further = len(refusals) - MAX_LOGGED_REFUSALS
    if further > 0:
        log_warning("further_rows_refused", count=further)
