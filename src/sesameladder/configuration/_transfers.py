"""What a lagging peer is sent, within an allowance of bytes."""

from collections.abc import Callable
from dataclasses import dataclass

from sesameladder.configuration._recent import RecentTicket
from sesameladder.configuration._replica import ConfigurationReplica

# A frame holds 2 MiB; the rest is room for the envelope.
MAX_TRANSFER_BYTES = 1_500_000
TRANSFER_BURST_BYTES = 8_000_000
TRANSFER_BYTES_PER_S = 2_000


@dataclass(frozen=True, slots=True)
class SendTickets:
    """Tickets to send; more may follow after the last one."""

    tickets: tuple[RecentTicket, ...]
    """Consecutive tickets; empty when the peer has all."""


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """A folded state to send."""

    number: int
    """Number of the state."""

    digest: str
    """Digest of the ticket of that number; empty if it is unknown."""

    state_bytes: bytes
    """Byte form of the state."""


@dataclass(frozen=True, slots=True)
class RateLimited:
    """Nothing to send, since the byte allowance is used up."""

    retry_after_s: float
    """Seconds after which the allowance suffices."""


Transfer = SendTickets | SendSnapshot | RateLimited


class TransferAllowance:
    """Decides what a pull is answered with; bounds the bytes over time."""

    __slots__ = ("available", "clock", "filled_at")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.available: float = TRANSFER_BURST_BYTES
        self.filled_at = clock()

    def answer_pull(self, after: int, replica: ConfigurationReplica) -> Transfer:
        """Return what a peer with a number is sent."""
        tickets = replica.tickets_after(after)
        if tickets is None:
            return self._answer_with_snapshot(replica)
        chosen = self._take_tickets(tickets)
        if tickets and not chosen:
            return self._decline(len(tickets[0].raw))
        return SendTickets(tuple(chosen))

    def take(self, size: int) -> bool:
        """Use up some bytes; False, and nothing used, when they don't suffice."""
        self._refill()
        if size > self.available:
            return False
        self.available -= size
        return True

    def _take_tickets(self, tickets: list[RecentTicket]) -> list[RecentTicket]:
        chosen: list[RecentTicket] = []
        size = 0
        for ticket in tickets:
            size += len(ticket.raw)
            if chosen and size > MAX_TRANSFER_BYTES:
                break
            if not self.take(len(ticket.raw)):
                break
            chosen.append(ticket)
        return chosen

    def _answer_with_snapshot(self, replica: ConfigurationReplica) -> Transfer:
        state_bytes = replica.build_snapshot()
        if not self.take(len(state_bytes)):
            return self._decline(len(state_bytes))
        return SendSnapshot(replica.number, replica.digest, state_bytes)

    def _decline(self, size: int) -> RateLimited:
        return RateLimited((size - self.available) / TRANSFER_BYTES_PER_S)

    def _refill(self) -> None:
        now = self.clock()
        gained = (now - self.filled_at) * TRANSFER_BYTES_PER_S
        self.available = min(TRANSFER_BURST_BYTES, self.available + gained)
        self.filled_at = now
