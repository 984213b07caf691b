"""Store calls of the ticket log.

When the response to a write is lost, the key is read to find out whether the
write took effect.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesameladder.environment import (
    PlatformError,
    Store,
    StoreCallRejected,
    StoreEntry,
    StoreOutcomeUnknown,
    Swapped,
)
from sesameladder.tickets._records import (
    TicketLogCorrupt,
    TicketLogRejected,
    TicketLogUnavailable,
)

MAX_WRITE_ATTEMPTS = 4
INITIAL_BACKOFF_S = 0.05  # doubles with each attempt


@dataclass(frozen=True, slots=True)
class StoreAccess:
    """Reads and conditional writes that raise the ticket log's errors."""

    store: Store
    """The platform's store."""

    pause: Callable[[float], None]
    """Sleeps for a number of seconds before a write is tried again."""

    def read(self, key: str) -> StoreEntry | None:
        """Return the entry of a key, or None when it is absent.

        Raises ``TicketLogUnavailable`` when the store call fails.
        """
        try:
            return self.store.get(key)
        except PlatformError as error:
            raise TicketLogUnavailable(f"reading {key}: {error}") from error

    def create_if_absent(self, key: str, value: bytes) -> bytes:
        """Create a key if it is absent and return the value that it then has.

        Raises ``TicketLogRejected`` when the store rejects the write and
        ``TicketLogUnavailable`` when the call fails or its effect stays unknown.
        """
        for attempt in range(MAX_WRITE_ATTEMPTS):
            try:
                outcome = self.store.compare_and_swap(key, 0, value)
            except StoreOutcomeUnknown:
                current = self.read(key)
                if current is not None:
                    return current.value
                self.back_off(attempt)
                continue
            except StoreCallRejected as error:
                raise TicketLogRejected(str(error)) from error
            except PlatformError as error:
                raise TicketLogUnavailable(f"creating {key}: {error}") from error
            if isinstance(outcome, Swapped):
                return value
            if outcome.current is not None:
                return outcome.current.value
        raise TicketLogUnavailable(f"creating {key}: whether it took effect is unknown")

    def delete_if_present(self, key: str, expected_value: bytes | None = None) -> None:
        """Delete a key at its current revision; does nothing when it is absent.

        ``expected_value`` is a value that is also stored elsewhere. If it is given
        and the key has another value, the key is not deleted and
        ``TicketLogCorrupt`` is raised.
        """
        for attempt in range(MAX_WRITE_ATTEMPTS):
            current = self.read(key)
            if current is None:
                return
            if expected_value is not None and current.value != expected_value:
                raise TicketLogCorrupt(f"{key}: differs from its bundle")
            try:
                self.store.delete(key, current.revision)
            except StoreOutcomeUnknown:
                self.back_off(attempt)
            except PlatformError as error:
                raise TicketLogUnavailable(f"deleting {key}: {error}") from error
        if self.read(key) is not None:
            raise TicketLogUnavailable(f"deleting {key}: the key still exists")

    def advance_counter(self, key: str, number: int) -> None:
        """Raise the number under a key to at least the given one.

        Returns without an error when no write takes effect within
        ``MAX_WRITE_ATTEMPTS`` attempts.
        """
        for attempt in range(MAX_WRITE_ATTEMPTS):
            current = self.read(key)
            if current is not None and read_counter(current) >= number:
                return
            revision = current.revision if current else 0
            try:
                self.store.compare_and_swap(key, revision, str(number).encode())
            except StoreOutcomeUnknown:
                self.back_off(attempt)
            except PlatformError as error:
                raise TicketLogUnavailable(f"writing {key}: {error}") from error

    def back_off(self, attempt: int) -> None:
        """Pause before the next attempt, twice as long each time."""
        self.pause(INITIAL_BACKOFF_S * 2**attempt)


def read_counter(entry: StoreEntry | None) -> int:
    """Return the number in a counter's entry; 0 when it is absent or malformed."""
    if entry is None or not (entry.value.isdigit() and len(entry.value) < 20):
        return 0
    return int(entry.value)
