"""The latest tickets of a replica, kept for peers that lag behind."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_RECENT_TICKETS = 256
MAX_RECENT_BYTES = 4_000_000


@dataclass(frozen=True, slots=True)
class RecentTicket:
    """An applied ticket as peers exchange it."""

    number: int
    """Number of the ticket."""

    digest: str
    """SHA-256 of ``raw``, as 64 hexadecimal digits."""

    raw: bytes
    """Canonical JSON of the ticket."""


@dataclass(slots=True)
class RecentTickets:
    """Consecutive tickets up to the replica's number.

    Holds at most ``MAX_RECENT_TICKETS`` tickets and ``MAX_RECENT_BYTES``, but
    always keeps the newest ticket.
    """

    tickets: OrderedDict[int, RecentTicket] = field(default_factory=OrderedDict)
    """Tickets by number, in order."""

    total_bytes: int = 0
    """Sum of the lengths of the tickets' JSON."""

    def append(self, ticket: RecentTicket) -> None:
        """Add the next ticket and evict the oldest tickets over the limits."""
        self.tickets[ticket.number] = ticket
        self.total_bytes += len(ticket.raw)
        while len(self.tickets) > 1 and self._exceeds_limits():
            _, oldest = self.tickets.popitem(last=False)
            self.total_bytes -= len(oldest.raw)

    def clear(self) -> None:
        """Remove all tickets; needed after a snapshot, which leaves a gap."""
        self.tickets.clear()
        self.total_bytes = 0

    def find_digest(self, number: int) -> str | None:
        """Return the digest of a ticket; None when it isn't kept."""
        ticket = self.tickets.get(number)
        return ticket.digest if ticket else None

    def list_after(self, number: int, last: int) -> list[RecentTicket] | None:
        """Return the tickets after ``number`` to ``last``; None if one isn't kept."""
        numbers = range(number + 1, last + 1)
        if numbers and numbers[0] not in self.tickets:
            return None
        return [self.tickets[kept_number] for kept_number in numbers]

    def _exceeds_limits(self) -> bool:
        return (
            len(self.tickets) > MAX_RECENT_TICKETS
            or self.total_bytes > MAX_RECENT_BYTES
        )
