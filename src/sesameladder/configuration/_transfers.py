"""Responses to pulls of lagging peers, with a rate limit on their bytes."""

from collections.abc import Callable
from dataclasses import dataclass

from sesameladder.configuration._recent import RecentTicket
from sesameladder.configuration._replica import ConfigurationReplica

# A peer frame holds 2 MiB, which leaves room for the message envelope.
MAX_TRANSFER_BYTES = 1_500_000
TRANSFER_BURST_BYTES = 8_000_000
TRANSFER_BYTES_PER_S = 2_000


@dataclass(frozen=True, slots=True)
class SendTickets:
    """Tickets to send; more may exist after the last one."""

    tickets: tuple[RecentTicket, ...]
    """Consecutive tickets; empty when the peer already has all."""


@dataclass(frozen=True, slots=True)
class SendSnapshot:
    """A snapshot of the state to send."""

    number: int
    """Number of the last ticket in the state."""

    digest: str
    """Digest of that ticket; empty if it is unknown."""

    state_bytes: bytes
    """Encoded state."""


@dataclass(frozen=True, slots=True)
class RateLimited:
    """Nothing is sent, since the rate limit is reached."""

    retry_after_s: float
    """Seconds until enough bytes are available."""


Transfer = SendTickets | SendSnapshot | RateLimited


class TransferRateLimiter:
    """Builds responses to pulls and limits their bytes with a token bucket.

    The bucket holds up to ``TRANSFER_BURST_BYTES`` and refills at
    ``TRANSFER_BYTES_PER_S``.
    """

    __slots__ = ("available_bytes", "clock", "refilled_at")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.available_bytes: float = TRANSFER_BURST_BYTES
        self.refilled_at = clock()

    def answer_pull(self, after: int, replica: ConfigurationReplica) -> Transfer:
        """Return the response to a pull of the tickets after a number.

        The response is a snapshot when some of these tickets aren't kept.
        """
        tickets = replica.tickets_after(after)
        if tickets is None:
            return self._answer_with_snapshot(replica)
        to_send = self._choose_tickets(tickets)
        if tickets and not to_send:
            return self._build_rate_limited(len(tickets[0].raw))
        return SendTickets(tuple(to_send))

    def try_consume(self, byte_count: int) -> bool:
        """Take bytes from the bucket; False, with none taken, if too few are left."""
        self._refill()
        if byte_count > self.available_bytes:
            return False
        self.available_bytes -= byte_count
        return True

    def _choose_tickets(self, tickets: list[RecentTicket]) -> list[RecentTicket]:
        to_send: list[RecentTicket] = []
        byte_count = 0
        for ticket in tickets:
            byte_count += len(ticket.raw)
            if to_send and byte_count > MAX_TRANSFER_BYTES:
                break
            if not self.try_consume(len(ticket.raw)):
                break
            to_send.append(ticket)
        return to_send

    def _answer_with_snapshot(self, replica: ConfigurationReplica) -> Transfer:
        state_bytes = replica.build_snapshot()
        if not self.try_consume(len(state_bytes)):
            return self._build_rate_limited(len(state_bytes))
        return SendSnapshot(replica.number, replica.digest, state_bytes)

    def _build_rate_limited(self, byte_count: int) -> RateLimited:
        return RateLimited((byte_count - self.available_bytes) / TRANSFER_BYTES_PER_S)

    def _refill(self) -> None:
        now = self.clock()
        refilled_bytes = (now - self.refilled_at) * TRANSFER_BYTES_PER_S
        self.available_bytes = min(
            TRANSFER_BURST_BYTES, self.available_bytes + refilled_bytes
        )
        self.refilled_at = now
