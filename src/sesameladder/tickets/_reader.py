"""Reading of the ticket log: head, single tickets, history and state."""

from contextlib import suppress
from dataclasses import dataclass

from sesameladder.model import FleetState
from sesameladder.tickets._access import StoreAccess
from sesameladder.tickets._apply import apply_ticket
from sesameladder.tickets._bundles import BundleReader
from sesameladder.tickets._records import (
    HEAD_KEY,
    SNAPSHOT_INTERVAL_TICKETS,
    Head,
    TicketLogCorrupt,
    build_snapshot_key,
    build_ticket_key,
    decode_head,
    decode_ticket,
)
from sesameladder.tickets._state_codec import StateMalformed, decode_state
from sesameladder.tickets._ticket import Ticket

MAX_HISTORY_TICKETS = 1_000


@dataclass(frozen=True, slots=True)
class LogReader:
    """Reads the log; raises ``TicketLogUnavailable`` or ``TicketLogCorrupt``."""

    access: StoreAccess
    """Access to the store."""

    def read_head(self) -> Head:
        """Return the head; its number is 0 before the first ticket."""
        return decode_head(self.access.read(HEAD_KEY))

    def read_ticket(self, number: int) -> Ticket | None:
        """Return the accepted ticket of a number; None when there is none."""
        head = self.read_head()
        if not 1 <= number <= head.number:
            return None
        return self.read_accepted(head, number, BundleReader(self.access))

    def read_accepted(self, head: Head, number: int, bundles: BundleReader) -> Ticket:
        """Return the ticket of a number from 1 to the head's."""
        if number == head.number and head.ticket is not None:
            return head.ticket
        key = build_ticket_key(number)
        entry = self.access.read(key)
        raw = entry.value if entry else bundles.read(number)
        ticket = decode_ticket(raw, key)
        if ticket.number != number:
            raise TicketLogCorrupt(
                f"{key}: holds ticket {ticket.number}, expected {number}"
            )
        return ticket

    def list_history(self, start: int, count: int) -> list[Ticket]:
        """Return up to ``count`` tickets in order, from number ``start``.

        At most ``MAX_HISTORY_TICKETS`` are returned.
        """
        head = self.read_head()
        first = max(1, start)
        last = min(head.number, first + min(count, MAX_HISTORY_TICKETS) - 1)
        bundles = BundleReader(self.access)
        return [self.read_accepted(head, n, bundles) for n in range(first, last + 1)]

    def load_state(self, head: Head, number: int) -> FleetState:
        """Return the state after the ticket of a number from 0 to the head's."""
        state = self.load_latest_snapshot(number)
        bundles = BundleReader(self.access)
        for next_number in range(state.number + 1, number + 1):
            state = apply_ticket(state, self.read_accepted(head, next_number, bundles))
        return state

    def load_latest_snapshot(self, number: int) -> FleetState:
        """Return the state of the latest readable snapshot up to a number.

        A malformed snapshot is skipped, since earlier snapshots and tickets give
        the same state. Without any snapshot the empty state is returned.
        """
        for candidate in list_snapshot_numbers(number):
            with suppress(TicketLogCorrupt):
                state = self.read_snapshot(candidate)
                if state is not None:
                    return state
        return FleetState()

    def find_latest_snapshot_number(self, number: int) -> int:
        """Return the number of the latest snapshot up to a number, or 0."""
        for candidate in list_snapshot_numbers(number):
            if self.access.read(build_snapshot_key(candidate)) is not None:
                return candidate
        return 0

    def read_snapshot(self, number: int) -> FleetState | None:
        """Return the state of a snapshot; None when it is absent."""
        key = build_snapshot_key(number)
        entry = self.access.read(key)
        if entry is None:
            return None
        try:
            state = decode_state(entry.value)
        except StateMalformed as error:
            raise TicketLogCorrupt(f"{key}: {error}") from error
        if state.number != number:
            raise TicketLogCorrupt(
                f"{key}: holds the state after ticket {state.number}, expected {number}"
            )
        return state


def list_snapshot_numbers(number: int) -> range:
    """Return the numbers up to the given one with a due snapshot, highest first."""
    latest = number // SNAPSHOT_INTERVAL_TICKETS * SNAPSHOT_INTERVAL_TICKETS
    return range(latest, 0, -SNAPSHOT_INTERVAL_TICKETS)
