"""Operations and results of the platform's key-value store."""

from dataclasses import dataclass
from typing import Protocol

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key with its value and revision."""

    key: str
    """Key, with ``/`` between its parts."""

    value: bytes
    """Value, at most ``MAX_VALUE_BYTES`` bytes."""

    revision: int
    """The store's global revision at the last write of this key."""


@dataclass(frozen=True, slots=True)
class Swapped:
    """The write or deletion took effect."""

    revision: int
    """The store's global revision after the write or deletion."""


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """The key did not have the expected revision; nothing was changed."""

    current: StoreEntry | None
    """The key's current entry, or None when the key is absent."""


SwapOutcome = Swapped | SwapConflict


class Store(Protocol):
    """Operations of the store.

    Each raises ``StoreUnavailable`` when the call took no effect because the store
    was not reached, ``StoreOutcomeUnknown`` when the call may have taken effect,
    and ``StoreCallRejected`` when the store rejects the call as invalid.
    """

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry of a key, or None when it is absent."""

    def list_entries(self, prefix: str) -> list[StoreEntry]:
        """Return the entries whose keys start with a prefix, sorted by key."""

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease: int | None = None,
    ) -> SwapOutcome:
        """Write a value if the key has the expected revision; 0 expects no key."""

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete a key if it has the expected revision."""

    def grant_lease(self, seconds: float) -> int:
        """Create a lease and return its number; its keys are deleted at its expiry."""

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease for its duration; returns False if it has expired."""

    def watch(self, key: str, after_revision: int, timeout: float) -> StoreEntry | None:
        """Wait up to ``timeout`` seconds for a write of a key after a revision."""
