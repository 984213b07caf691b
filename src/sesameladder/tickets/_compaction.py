"""Compaction: moves old archived tickets into bundles and deletes old snapshots.

A block's archive entries are deleted only after all its bundles are written,
and only if they equal the bundled tickets, so every number stays readable
after a crash at any step. Bundles are never changed once created, and all
compactors create them from the same tickets, so concurrent compactors are safe.
"""

from dataclasses import dataclass

from sesameladder.tickets._access import StoreAccess, read_counter
from sesameladder.tickets._bundles import (
    MAX_BUNDLE_TICKETS_BYTES,
    Bundle,
    build_bundle_key,
    find_block_end,
    find_block_start,
    read_bundle,
)
from sesameladder.tickets._reader import LogReader
from sesameladder.tickets._records import (
    COMPACTED_KEY,
    SNAPSHOT_INTERVAL_TICKETS,
    TicketLogCorrupt,
    build_snapshot_key,
    build_ticket_key,
)

# Recent tickets stay unbundled, because lagging instances read them one by one.
MIN_UNBUNDLED_TICKETS = 2 * SNAPSHOT_INTERVAL_TICKETS


@dataclass(frozen=True, slots=True)
class Compactor:
    """Bundles tickets older than the latest snapshot, block by block."""

    reader: LogReader
    """Reads the head and snapshots."""

    access: StoreAccess
    """Access to the store."""

    def compact(self) -> int:
        """Bundle all blocks that are old enough; returns the number of tickets."""
        head = self.reader.read_head()
        last_bundled = read_counter(self.access.read(COMPACTED_KEY))
        start = first = find_block_start(last_bundled + 1)
        if find_block_end(first) > head.number - MIN_UNBUNDLED_TICKETS:
            return 0
        # The state is loaded from the latest snapshot, so its block isn't bundled.
        latest_snapshot = self.reader.find_latest_snapshot_number(head.number)
        limit = min(head.number - MIN_UNBUNDLED_TICKETS, latest_snapshot - 1)
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
            self.access.delete_if_present(build_ticket_key(number), raw)
        self.access.delete_if_present(build_snapshot_key(last))
        self.access.advance_counter(COMPACTED_KEY, last)

    def _ensure_bundle(self, first: int, last: int) -> Bundle:
        """Return the bundle that starts at ``first``; creates it if it is absent."""
        bundle = read_bundle(self.access, first)
        return self._create_bundle(first, last) if bundle is None else bundle

    def _create_bundle(self, first: int, last: int) -> Bundle:
        new_bundle = self._fill_bundle(first, last)
        key = build_bundle_key(first)
        if new_bundle is not None:
            value = self.access.create_if_absent(key, new_bundle.to_bytes())
            return Bundle.from_bytes(key, first, value)
        # A ticket isn't archived: another compactor may have bundled it meanwhile.
        bundle = read_bundle(self.access, first)
        if bundle is None:
            raise TicketLogCorrupt(
                f"a ticket from {first} to {last} is neither archived nor in a bundle"
            )
        return bundle

    def _fill_bundle(self, first: int, last: int) -> Bundle | None:
        """Return a bundle of archived tickets, as many as fit.

        None when a ticket isn't archived.
        """
        tickets: dict[int, bytes] = {}
        total_bytes = 0
        for number in range(first, last + 1):
            entry = self.access.read(build_ticket_key(number))
            if entry is None:
                return None
            total_bytes += len(entry.value)
            if tickets and total_bytes > MAX_BUNDLE_TICKETS_BYTES:
                break
            tickets[number] = entry.value
        return Bundle(tickets)
