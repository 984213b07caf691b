"""Bundles: compressed store values, each of which holds several old tickets.

Ticket numbers are divided into blocks of ``SNAPSHOT_INTERVAL_TICKETS``, and the
tickets of a block are stored in one or more bundles. The key of a bundle ends with
its first number; the next bundle of the block starts after its last number.
"""

import json
import zlib
from dataclasses import dataclass

from sesameladder.environment import MAX_VALUE_BYTES
from sesameladder.tickets._access import StoreAccess
from sesameladder.tickets._json import encode_json
from sesameladder.tickets._records import (
    BUNDLE_PREFIX,
    SNAPSHOT_INTERVAL_TICKETS,
    TicketLogCorrupt,
)
from sesameladder.tickets._state_codec import decompress

# Bounds the tickets before compression, so that the split into bundles doesn't
# depend on the version of zlib and every bundle stays under the store's 1 MB.
MAX_BUNDLE_TICKETS_BYTES = 900_000
MAX_DECOMPRESSED_BUNDLE_BYTES = 2 * MAX_VALUE_BYTES


@dataclass(frozen=True, slots=True)
class Bundle:
    """Consecutive tickets of one block."""

    tickets: dict[int, bytes]
    """Canonical JSON of each ticket by number, in order and without a gap."""

    @property
    def last_number(self) -> int:
        """Number of the last ticket."""
        return max(self.tickets)

    def to_bytes(self) -> bytes:
        """Return the zlib-compressed JSON of the tickets."""
        texts = [raw.decode() for raw in self.tickets.values()]
        document = {"first": min(self.tickets), "tickets": texts}
        return zlib.compress(encode_json(document))

    @classmethod
    def from_bytes(cls, key: str, first: int, value: bytes) -> "Bundle":
        """Return the bundle of a stored value.

        Raises ``TicketLogCorrupt`` when the value is malformed, doesn't start at
        ``first``, holds no ticket or holds more than the rest of the block.
        """
        try:
            document = json.loads(decompress(value, MAX_DECOMPRESSED_BUNDLE_BYTES))
            texts = [str(text).encode() for text in document["tickets"]]
            stored_first = document["first"]
        except (zlib.error, ValueError, KeyError, TypeError, RecursionError) as error:
            raise TicketLogCorrupt(f"{key}: {error!r}") from error
        if (
            stored_first != first
            or not 1 <= len(texts) <= find_block_end(first) - first + 1
        ):
            raise TicketLogCorrupt(
                f"{key}: holds {len(texts)} tickets from {stored_first}, expected "
                f"at least 1 from {first} up to {find_block_end(first)}"
            )
        return cls(dict(enumerate(texts, first)))


@dataclass(slots=True)
class BundleReader:
    """Reads single tickets from bundles and caches the bundle that it read last."""

    access: StoreAccess
    """Access to the store."""

    latest_bundle: Bundle | None = None
    """Bundle that was read last; None before the first."""

    def read(self, number: int) -> bytes:
        """Return a ticket's JSON; raises ``TicketLogCorrupt`` if no bundle has it."""
        if self.latest_bundle is None or number not in self.latest_bundle.tickets:
            self.latest_bundle = self._find_bundle(number)
        return self.latest_bundle.tickets[number]

    def _find_bundle(self, number: int) -> Bundle:
        first = find_block_start(number)
        while True:
            bundle = read_bundle(self.access, first)
            if bundle is None:
                raise TicketLogCorrupt(
                    f"ticket {number} is neither archived nor in a bundle"
                )
            if number <= bundle.last_number:
                return bundle
            first = bundle.last_number + 1


def read_bundle(access: StoreAccess, first: int) -> Bundle | None:
    """Return the bundle whose first number is given; None when it is absent."""
    key = build_bundle_key(first)
    entry = access.read(key)
    return None if entry is None else Bundle.from_bytes(key, first, entry.value)


def build_bundle_key(first: int) -> str:
    """Return the store key of the bundle with a first number."""
    return f"{BUNDLE_PREFIX}{first}"


def find_block_start(number: int) -> int:
    """Return the first number of the block that contains a number."""
    return (number - 1) // SNAPSHOT_INTERVAL_TICKETS * SNAPSHOT_INTERVAL_TICKETS + 1


def find_block_end(number: int) -> int:
    """Return the last number of the block that contains a number."""
    return find_block_start(number) + SNAPSHOT_INTERVAL_TICKETS - 1
