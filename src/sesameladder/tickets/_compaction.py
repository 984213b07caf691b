"""Compaction: old archive entries move into bundles, old snapshots go.

A block's archive entries are deleted only after all its bundles stand, and
only if they equal what the bundles hold, so each number is readable after a
crash at any step. Bundles are created, never changed, from the same tickets
by all compactors, so racing compactors do no harm.
"""

from dataclasses import dataclass

from sesameladder.tickets._access import StoreAccess, read_counter
from sesameladder.tickets._bundles import (
    MAX_PLAIN_BYTES,
    Bundle,
    build_bundle_key,
    find_block_end,
    find_block_start,
    read_bundle,
)
from sesameladder.tickets._reader import LogReader
from sesameladder.tickets._records import (
    COMPACTED_KEY,
    SNAPSHOT_INTERVAL,
    TicketLogCorrupt,
    build_snapshot_key,
    build_ticket_key,
)

# Recent tickets stay single, because lagging instances read them one by one.
KEPT_TICKETS = 2 * SNAPSHOT_INTERVAL


@dataclass(frozen=True, slots=True)
class Compactor:
    """Bundles the tickets that are older than the latest snapshot."""

    reader: LogReader
    """Reads tickets and snapshots."""

    access: StoreAccess
    """Store calls."""

    def compact(self) -> int:
        """Bundle all old blocks; returns how many tickets were bundled."""
        head = self.reader.read_head()
        done = read_counter(self.access.read(COMPACTED_KEY))
        start = first = find_block_start(done + 1)
        if find_block_end(first) > head.number - KEPT_TICKETS:
            return 0
        # The state is loaded from the latest snapshot, so that block stays.
        newest = self.reader.find_snapshot_number(head.number)
        limit = min(head.number - KEPT_TICKETS, newest - 1)
        while find_block_end(first) <= limit:
            self._bundle_block(first)
            first = find_block_end(first) + 1
        return first - start

    def _bundle_block(self, first: int) -> None:
        last = find_block_end(first)
        bundled: dict[int, bytes] = {}
        while first + len(bundled) <= last:
            bundled |= self._ensure_bundle(first + len(bundled), last).tickets
        for number, raw in bundled.items():
            self.access.remove(build_ticket_key(number), raw)
        self.access.remove(build_snapshot_key(last))
        self.access.raise_counter(COMPACTED_KEY, last)

    def _ensure_bundle(self, first: int, last: int) -> Bundle:
        """Return the bundle that starts at a number, created if absent."""
        bundle = read_bundle(self.access, first)
        return self._create_bundle(first, last) if bundle is None else bundle

    def _create_bundle(self, first: int, last: int) -> Bundle:
        filled = self._fill_bundle(first, last)
        key = build_bundle_key(first)
        if filled is not None:
            value = self.access.create(key, filled.to_bytes())
            return Bundle.from_bytes(key, first, value)
        # Another compactor bundled the block after this one looked for it.
        bundle = read_bundle(self.access, first)
        if bundle is None:
            raise TicketLogCorrupt(f"a ticket from {first} to {last} is absent")
        return bundle

    def _fill_bundle(self, first: int, last: int) -> Bundle | None:
        """Return a bundle of archived tickets; None when one is absent."""
        tickets: dict[int, bytes] = {}
        size = 0
        for number in range(first, last + 1):
            entry = self.access.read(build_ticket_key(number))
            if entry is None:
                return None
            size += len(entry.value)
            if tickets and size > MAX_PLAIN_BYTES:
                break
            tickets[number] = entry.value
        return Bundle(tickets)
