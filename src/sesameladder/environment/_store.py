"""The platform's key-value store, as the project uses it."""

from dataclasses import dataclass
from typing import Protocol

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key with its value."""

    key: str
    """Key, with ``/`` between its parts."""

    value: bytes
    """Value, at most ``MAX_VALUE_BYTES`` bytes."""

    revision: int
    """The store's global revision at the last write of this key."""


@dataclass(frozen=True, slots=True)
class Swapped:
    """The write took effect."""

    revision: int
    """The store's global revision of the write."""


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """The key did not have the expected revision; nothing was written."""

    current: StoreEntry | None
    """The entry that stands there, or None when the key is absent."""


SwapOutcome = Swapped | SwapConflict


class Store(Protocol):
    """Operations of the store.

    Each raises ``StoreUnavailable`` when the call was not sent,
    ``StoreOutcomeUnknown`` when it may have taken effect, and ``StoreCallRejected``
    when the store rejects the call.
    """

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry of a key, or None when it is absent."""

    def list_entries(self, prefix: str) -> list[StoreEntry]:
        """Return the entries whose keys start with a prefix, by key."""

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease: int | None = None,
    ) -> SwapOutcome:
        """Write a value if the key has a revision; 0 expects an absent key."""

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete a key if it has a revision."""

    def grant_lease(self, seconds: float) -> int:
        """Create a lease; keys attached to it vanish when it lapses."""

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease; returns False when it has lapsed."""

    def watch(self, key: str, after_revision: int, timeout: float) -> StoreEntry | None:
        """Wait up to ``timeout`` seconds for a write after a revision."""
