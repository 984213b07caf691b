"""Keys and values of the ticket log in the platform's store."""

import json
from dataclasses import dataclass

from sesameladder.environment import StoreEntry
from sesameladder.tickets._json import encode_json
from sesameladder.tickets._problems import TicketInvalid
from sesameladder.tickets._ticket import Ticket

HEAD_KEY = "config/head"
TICKET_PREFIX = "config/tickets/"
SNAPSHOT_PREFIX = "config/snapshots/"
BUNDLE_PREFIX = "config/bundles/"
COMPACTED_KEY = "config/compacted"
SNAPSHOT_INTERVAL_TICKETS = 64


class TicketLogError(Exception):
    """Base class of the ticket log's errors."""


class TicketLogUnavailable(TicketLogError):
    """A store call failed, or whether it took effect stays unknown."""


class TicketLogRejected(TicketLogError):
    """The store rejected a write, for example one over its size limit."""


class TicketLogCorrupt(TicketLogError):
    """A stored value is missing, malformed or contradicts another one."""


@dataclass(frozen=True, slots=True)
class Head:
    """The latest accepted ticket, as the head of the log stores it."""

    number: int
    """Number of the ticket; 0 before the first."""

    digest: str
    """Digest of the ticket; empty before the first."""

    ticket: Ticket | None
    """The ticket; None before the first."""

    revision: int
    """Store revision of the head's key; 0 while it is absent."""


EMPTY_HEAD = Head(0, "", None, 0)


def encode_head(ticket: Ticket) -> bytes:
    """Return the value of the head's key for a ticket."""
    return encode_json(
        {"number": ticket.number, "digest": ticket.digest, "ticket": ticket.to_json()}
    )


def decode_head(entry: StoreEntry | None) -> Head:
    """Return the head of its store entry; raises ``TicketLogCorrupt``."""
    if entry is None:
        return EMPTY_HEAD
    number, digest, raw = _decode_head_fields(entry.value)
    ticket = decode_ticket(raw, HEAD_KEY)
    if ticket.number != number or ticket.digest != digest:
        raise TicketLogCorrupt(
            f"{HEAD_KEY}: number or digest differs from that of its ticket"
        )
    return Head(number, digest, ticket, entry.revision)


def decode_ticket(raw: bytes, key: str) -> Ticket:
    """Return the ticket of a stored value; raises ``TicketLogCorrupt``."""
    try:
        return Ticket.from_bytes(raw)
    except TicketInvalid as error:
        raise TicketLogCorrupt(f"{key}: {error}") from error


def build_ticket_key(number: int) -> str:
    """Return the store key of an archived ticket."""
    return f"{TICKET_PREFIX}{number}"


def build_snapshot_key(number: int) -> str:
    """Return the store key of the snapshot after a ticket."""
    return f"{SNAPSHOT_PREFIX}{number}"


def _decode_head_fields(value: bytes) -> tuple[object, object, bytes]:
    try:
        document = json.loads(value)
        return document["number"], document["digest"], encode_json(document["ticket"])
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise TicketLogCorrupt(f"{HEAD_KEY}: {error!r}") from error
