"""An in-memory store that can inject faults, for tests and measurements."""

from collections.abc import Callable
from dataclasses import dataclass, field

from sesameladder.environment._errors import (
    StoreCallRejected,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from sesameladder.environment._store import (
    MAX_VALUE_BYTES,
    StoreEntry,
    SwapConflict,
    SwapOutcome,
    Swapped,
)


@dataclass(slots=True)
class FakeStore:
    """Keeps entries and leases in dictionaries; leases expire by an injected clock."""

    clock: Callable[[], float]
    """Returns the current time in seconds."""

    entries: dict[str, StoreEntry] = field(default_factory=dict)
    """Entries by key."""

    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    """Expiry time and duration, both in seconds, by lease number."""

    lease_by_key: dict[str, int] = field(default_factory=dict)
    """Number of the lease that a key is attached to, by key."""

    revision: int = 0
    """Global revision; each write, deletion or new lease increases it by one."""

    available: bool = True
    """Whether calls reach the store; otherwise they raise ``StoreUnavailable``."""

    responses_to_drop: int = 0
    """Number of the next successful writes and deletions whose response is lost."""

    calls: dict[str, int] = field(default_factory=dict)
    """Number of calls by operation, including those that fail."""

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry of a key, or None when it is absent."""
        self._begin_call("get")
        return self.entries.get(key)

    def list_entries(self, prefix: str) -> list[StoreEntry]:
        """Return the entries whose keys start with a prefix, sorted by key."""
        self._begin_call("list")
        keys = sorted(key for key in self.entries if key.startswith(prefix))
        return [self.entries[key] for key in keys]

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease: int | None = None,
    ) -> SwapOutcome:
        """Write a value if the key has the expected revision; 0 expects no key."""
        self._begin_call("compare_and_swap")
        if len(value) > MAX_VALUE_BYTES:
            raise StoreCallRejected(
                f"value of {key} has {len(value)} bytes, more than {MAX_VALUE_BYTES}"
            )
        if lease is not None and lease not in self.leases:
            raise StoreCallRejected(f"lease {lease} does not exist")
        current = self.entries.get(key)
        if (current.revision if current else 0) != expected_revision:
            return SwapConflict(current)
        self.revision += 1
        self.entries[key] = StoreEntry(key, value, self.revision)
        self.lease_by_key.pop(key, None)
        if lease is not None:
            self.lease_by_key[key] = lease
        return self._respond(Swapped(self.revision))

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete a key if it has the expected revision."""
        self._begin_call("delete")
        current = self.entries.get(key)
        if current is None or current.revision != expected_revision:
            return SwapConflict(current)
        self._remove(key)
        return self._respond(Swapped(self.revision))

    def grant_lease(self, seconds: float) -> int:
        """Create a lease and return its number; its keys are deleted at its expiry."""
        self._begin_call("grant_lease")
        self.revision += 1
        self.leases[self.revision] = (self.clock() + seconds, seconds)
        return self.revision

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease for its duration; returns False if it has expired."""
        self._begin_call("keep_alive")
        if lease not in self.leases:
            return False
        seconds = self.leases[lease][1]
        self.leases[lease] = (self.clock() + seconds, seconds)
        return True

    def watch(self, key: str, after_revision: int, timeout: float) -> StoreEntry | None:
        """Return the entry if it was written after a revision, without waiting."""
        del timeout
        self._begin_call("watch")
        entry = self.entries.get(key)
        if entry is not None and entry.revision > after_revision:
            return entry
        return None

    def _begin_call(self, operation: str) -> None:
        self.calls[operation] = self.calls.get(operation, 0) + 1
        if not self.available:
            raise StoreUnavailable("the store is down")
        self._expire_leases()

    def _respond(self, outcome: SwapOutcome) -> SwapOutcome:
        if self.responses_to_drop > 0:
            self.responses_to_drop -= 1
            raise StoreOutcomeUnknown("the response to the write was lost")
        return outcome

    def _expire_leases(self) -> None:
        now = self.clock()
        expired = {lease for lease, (end, _) in self.leases.items() if end <= now}
        for key in [
            key for key, lease in self.lease_by_key.items() if lease in expired
        ]:
            self._remove(key)
        for lease in expired:
            del self.leases[lease]

    def _remove(self, key: str) -> None:
        self.revision += 1
        del self.entries[key]
        self.lease_by_key.pop(key, None)
