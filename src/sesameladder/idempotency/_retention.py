"""Token records bounded by bytes and age, which know what they dropped."""

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
    """A record with what its removal needs."""

    record: R
    size_bytes: int
    retained_since: float


class RetainedRecords(Generic[R]):
    """Records by token; drops the oldest and remembers a floor per home.

    A token at or below its home's floor may have had a record. Its state is
    unknown for good: nobody may start it or call it not run. The floor is a
    pair (incarnation, sequence), so it takes one entry per instance id. A
    dropped record therefore also hides older tokens that were never used.
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
        """Return the record of a token, or None."""
        entry = self._entries.get(token)
        return entry.record if entry else None

    def items(self) -> Iterator[tuple[Token, R]]:
        """Return tokens and records, the oldest first."""
        return ((token, entry.record) for token, entry in self._entries.items())

    def put(
        self, token: Token, record: R, payload_bytes: int, now: float | None = None
    ) -> None:
        """Keep a record as the newest and drop what exceeds the bounds.

        Without ``now`` the latest time that the records have seen counts.
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
        """Remove a record that its owner keeps elsewhere; sets no floor."""
        entry = self._entries.pop(token, None)
        if entry is None:
            return None
        self.total_bytes -= entry.size_bytes
        return entry.record

    def _evict_excess(self) -> None:
        """Drop the oldest records that are over age or over the byte limit."""
        while self._entries:
            token, entry = next(iter(self._entries.items()))
            is_expired = self.latest_time - entry.retained_since > self.retention_s
            if not is_expired and self.total_bytes <= self.max_bytes:
                return
            self.pop(token)
            self.raise_floor(token.home, token.home_incarnation, token.sequence)

    def raise_floor(self, home: str, incarnation: int, sequence: int) -> None:
        """Treat a home's tokens up to a number as possibly recorded once."""
        floor = (incarnation, sequence)
        self._floors[home] = max(floor, self._floors.get(home, floor))

    def floors(self) -> dict[str, tuple[int, int]]:
        """Return the floors (incarnation, sequence) by instance id."""
        return dict(self._floors)

    def may_have_evicted(self, token: Token) -> bool:
        """Return whether a token without a record may have had one."""
        floor = self._floors.get(token.home)
        if floor is None or token in self._entries:
            return False
        return (token.home_incarnation, token.sequence) <= floor
