"""The ticket log: filing, reading, snapshots and compaction of tickets."""

import time
from collections.abc import Callable

from sesameladder.environment import Store
from sesameladder.model import FleetState
from sesameladder.tickets._access import StoreAccess
from sesameladder.tickets._compaction import Compactor
from sesameladder.tickets._filing import Filer
from sesameladder.tickets._outcomes import FilingOutcome
from sesameladder.tickets._reader import LogReader
from sesameladder.tickets._records import (
    SNAPSHOT_INTERVAL_TICKETS,
    Head,
    build_snapshot_key,
)
from sesameladder.tickets._state_codec import encode_state
from sesameladder.tickets._ticket import Ticket


class TicketLog:
    """The log of accepted tickets in a store.

    Reads raise ``TicketLogUnavailable`` while the store can't be reached and
    ``TicketLogCorrupt`` when a stored value is missing or malformed.
    """

    __slots__ = ("access", "compactor", "filer", "reader")

    def __init__(
        self, store: Store, pause: Callable[[float], None] = time.sleep
    ) -> None:
        self.access = StoreAccess(store, pause)
        self.reader = LogReader(self.access)
        self.filer = Filer(self.reader, self.access)
        self.compactor = Compactor(self.reader, self.access)

    def file_ticket(self, ticket: Ticket) -> FilingOutcome:
        """File a ticket under its number; store failures are returned, not raised."""
        return self.filer.file_ticket(ticket)

    def read_head(self) -> Head:
        """Return the head; its number is 0 before the first ticket."""
        return self.reader.read_head()

    def read_ticket(self, number: int) -> Ticket | None:
        """Return the accepted ticket of a number; None when there is none."""
        return self.reader.read_ticket(number)

    def list_history(self, start: int, count: int) -> list[Ticket]:
        """Return up to ``count`` tickets in order, from number ``start``.

        At most ``MAX_HISTORY_TICKETS`` are returned.
        """
        return self.reader.list_history(start, count)

    def load_state(self) -> FleetState:
        """Return the state after the latest accepted ticket."""
        head = self.reader.read_head()
        return self.reader.load_state(head, head.number)

    def write_snapshot(self) -> int:
        """Write the latest due snapshot if it is absent; returns its number.

        Returns 0 when no snapshot is due yet.
        """
        head = self.reader.read_head()
        number = head.number // SNAPSHOT_INTERVAL_TICKETS * SNAPSHOT_INTERVAL_TICKETS
        key = build_snapshot_key(number)
        if number and self.access.read(key) is None:
            state = self.reader.load_state(head, number)
            self.access.create_if_absent(key, encode_state(state))
        return number

    def compact(self) -> int:
        """Bundle old archived tickets; returns how many were bundled."""
        return self.compactor.compact()
