"""An instance's replica of the configuration, whose number never decreases."""

from hashlib import sha256
from typing import Any

from sesameladder.configuration._outcomes import (
    Applied,
    Conflicting,
    Gap,
    Malformed,
    OfferOutcome,
    Stale,
)
from sesameladder.configuration._recent import RecentTicket, RecentTickets
from sesameladder.model import FleetState
from sesameladder.tickets import (
    StateMalformed,
    Ticket,
    TicketInvalid,
    apply_ticket,
    decode_state,
    encode_state,
)


class ConfigurationReplica:
    """State after the tickets that were applied so far.

    Applies the next ticket, or a snapshot with a higher number. An offer that is
    malformed, old, out of order or contradictory changes nothing. Not
    thread-safe.

    ``chain`` is a hash over the digests of all tickets applied after number
    ``chain_start`` and, unless that is 0, over the snapshot with that number.
    """

    __slots__ = ("chain", "chain_start", "digest", "recent", "snapshot", "state")

    def __init__(self) -> None:
        self.state = FleetState()
        self.digest = ""
        self.chain = ""
        self.chain_start = 0
        self.recent = RecentTickets()
        self.snapshot: tuple[int, bytes] | None = None

    @property
    def number(self) -> int:
        """Number of the last applied ticket; 0 before the first."""
        return self.state.number

    def offer_bytes(self, number: int, raw: bytes, digest: str) -> OfferOutcome:
        """Apply a ticket from its JSON bytes if it is the next one."""
        if number <= self.number and self.recent.find_digest(number) == digest:
            return Stale(self.number)
        try:
            ticket = Ticket.from_bytes(raw)
        except TicketInvalid as error:
            return Malformed(str(error))
        return self.offer_ticket(number, ticket, digest)

    def offer_ticket(self, number: int, ticket: Ticket, digest: str) -> OfferOutcome:
        """Apply a ticket if it is the next one and has this number and digest."""
        raw = ticket.to_bytes()
        found = sha256(raw).hexdigest()
        if ticket.number != number or found != digest:
            return Conflicting(
                f"offered as number {number} with digest {digest[:12]}, but is "
                f"number {ticket.number} with digest {found[:12]}"
            )
        if number <= self.number:
            return self._compare_applied(number, digest)
        if number > self.number + 1:
            return Gap(self.number + 1)
        self._apply(ticket, RecentTicket(number, digest, raw))
        return Applied(number)

    def offer_snapshot(
        self, number: int, state_bytes: bytes, digest: str = ""
    ) -> OfferOutcome:
        """Replace the state with a snapshot if its number is higher.

        ``digest`` is the digest of the ticket with that number; empty if unknown.
        """
        if number <= self.number:
            return Stale(self.number)
        try:
            state = decode_state(state_bytes)
        except StateMalformed as error:
            return Malformed(str(error))
        if state.number != number:
            return Conflicting(
                f"offered as the state after ticket {number}, but is the state after "
                f"ticket {state.number}"
            )
        self._replace(state, state_bytes, digest)
        return Applied(number)

    def tickets_after(self, number: int) -> list[RecentTicket] | None:
        """Return the tickets after a number; None if some of them aren't kept."""
        return self.recent.list_after(number, self.number)

    def build_snapshot(self) -> bytes:
        """Return the encoded state, which is cached until the number changes."""
        if self.snapshot is None or self.snapshot[0] != self.number:
            self.snapshot = (self.number, encode_state(self.state))
        return self.snapshot[1]

    def dump(self) -> dict[str, Any]:
        """Return numbers, digests and counts as JSON values, without the objects."""
        state = self.state
        return {
            "number": self.number,
            "digest": self.digest,
            "chain": self.chain,
            "chain_start": self.chain_start,
            "pools": len(state.pools),
            "vms": len(state.vms),
            "budgets": len(state.budgets),
            "teams": len(state.teams),
            "waves": len(state.waves),
            "recent_tickets": len(self.recent.tickets),
            "recent_bytes": self.recent.total_bytes,
        }

    def _compare_applied(self, number: int, digest: str) -> OfferOutcome:
        applied = self.recent.find_digest(number)
        if applied is not None and applied != digest:
            return Conflicting(
                f"ticket {number} was applied with digest {applied[:12]}, "
                f"not {digest[:12]}"
            )
        return Stale(self.number)

    def _apply(self, ticket: Ticket, recent: RecentTicket) -> None:
        self.state = apply_ticket(self.state, ticket)
        self.digest = recent.digest
        self.chain = sha256((self.chain + recent.digest).encode()).hexdigest()
        self.recent.append(recent)

    def _replace(self, state: FleetState, state_bytes: bytes, digest: str) -> None:
        self.state = state
        self.digest = digest
        self.chain = sha256(encode_state(state)).hexdigest()
        self.chain_start = state.number
        self.recent.clear()
        self.snapshot = (state.number, state_bytes)
