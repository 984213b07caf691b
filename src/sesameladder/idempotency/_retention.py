"""Token records with limits on total size and age that track evictions."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from sesameladder.idempotency._token import Token

RECORD_OVERHEAD_BYTES = 600
RETENTION_SECONDS = 25 * 3600.0

R = TypeVar("R")


@dataclass(slots=True)
class _RetainedRecord(Generic[R]):
    """A record with its size in bytes and the time in seconds it was stored."""

    record: R
    size_bytes: int
    retained_since: float


class RetainedRecords(Generic[R]):
    """Records by token; evicts the oldest and keeps an eviction floor per home.

    The floor of an instance id is the highest (incarnation, sequence) of its
    evicted records. A token at or below the floor may have had a record, so
    its state stays unknown: it must neither be started nor reported as not
    run. One pair per instance id bounds the memory, at the price that an
    eviction also makes the state of older, never used tokens unknown.

    ``max_bytes`` limits the total size, ``retention_s`` the age in seconds.
    """

    __slots__ = (
        "_entries",
        "_floors",
        "latest_time",
        "max_bytes",
        "retention_s",
        "total_bytes",
    )

    def __init__(self, max_bytes: int, retention_s: float = RETENTION_SECONDS) -> None:
        self.max_bytes = max_bytes
        self.retention_s = retention_s
        self.latest_time = 0.0
        self.total_bytes = 0
        self._entries: OrderedDict[Token, _RetainedRecord[R]] = OrderedDict()
        self._floors: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, token: Token) -> R | None:
        """Return the record of a token, or None if there is none."""
        entry = self._entries.get(token)
        return entry.record if entry else None

    def items(self) -> Iterator[tuple[Token, R]]:
        """Return pairs of token and record, the oldest record first."""
        return ((token, entry.record) for token, entry in self._entries.items())

    def put(
        self, token: Token, record: R, payload_bytes: int, now: float | None = None
    ) -> None:
        """Store a record as the newest and evict records over the limits.

        Without ``now``, the latest time passed to an earlier call is used.
        """
        self.latest_time = max(
            self.latest_time, self.latest_time if now is None else now
        )
        self.pop(token)
        size_bytes = RECORD_OVERHEAD_BYTES + payload_bytes
        self._entries[token] = _RetainedRecord(record, size_bytes, self.latest_time)
        self.total_bytes += size_bytes
        self._evict_excess()

    def pop(self, token: Token) -> R | None:
        """Remove and return a record without raising the home's floor.

        The caller must keep the token's state elsewhere. Returns None without a
        record.
        """
        entry = self._entries.pop(token, None)
        if entry is None:
            return None
        self.total_bytes -= entry.size_bytes
        return entry.record

    def _evict_excess(self) -> None:
        """Evict the oldest records while they exceed the age or byte limit."""
        while self._entries:
            token, entry = next(iter(self._entries.items()))
            is_expired = self.latest_time - entry.retained_since > self.retention_s
            if not is_expired and self.total_bytes <= self.max_bytes:
                return
            self.pop(token)
            self.raise_floor(token.home, token.home_incarnation, token.sequence)

    def raise_floor(self, home: str, incarnation: int, sequence: int) -> None:
        """Raise a home's floor to (incarnation, sequence) unless it is higher."""
        floor = (incarnation, sequence)
        self._floors[home] = max(floor, self._floors.get(home, floor))

    def floors(self) -> dict[str, tuple[int, int]]:
        """Return a copy of the floors (incarnation, sequence) by instance id."""
        return dict(self._floors)

    def may_have_evicted(self, token: Token) -> bool:
        """Return whether a token has no record but may have had one."""
        floor = self._floors.get(token.home)
        if floor is None or token in self._entries:
            return False
        return (token.home_incarnation, token.sequence) <= floor
