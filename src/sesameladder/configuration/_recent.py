"""The latest tickets of a replica, kept in order for lagging peers."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_RECENT_TICKETS = 256
MAX_RECENT_BYTES = 4_000_000


@dataclass(frozen=True, slots=True)
class RecentTicket:
    """One applied ticket in the form that peers exchange."""

    number: int
    """Number of the ticket."""

    digest: str
    """Digest of the ticket."""

    raw: bytes
    """Canonical bytes of the ticket."""


@dataclass(slots=True)
class RecentTickets:
    """Consecutive tickets up to the replica's number, bounded in count and bytes."""

    tickets: OrderedDict[int, RecentTicket] = field(default_factory=OrderedDict)
    """Tickets by number, in order."""

    total_bytes: int = 0
    """Sum of the tickets' bytes."""

    def append(self, ticket: RecentTicket) -> None:
        """Add the next ticket and drop the oldest ones over the bounds."""
        self.tickets[ticket.number] = ticket
        self.total_bytes += len(ticket.raw)
        while len(self.tickets) > 1 and self._exceeds_limits():
            _, oldest = self.tickets.popitem(last=False)
            self.total_bytes -= len(oldest.raw)

    def clear(self) -> None:
        """Forget all tickets, since a snapshot leaves a gap."""
        self.tickets.clear()
        self.total_bytes = 0

    def find_digest(self, number: int) -> str | None:
        """Return the digest of a kept ticket."""
        ticket = self.tickets.get(number)
        return ticket.digest if ticket else None

    def list_after(self, number: int, last: int) -> list[RecentTicket] | None:
        """Return the tickets after a number up to the last; None if some are gone."""
        numbers = range(number + 1, last + 1)
        if numbers and numbers[0] not in self.tickets:
            return None
        return [self.tickets[kept_number] for kept_number in numbers]

    def _exceeds_limits(self) -> bool:
        return (
            len(self.tickets) > MAX_RECENT_TICKETS
            or self.total_bytes > MAX_RECENT_BYTES
        )
