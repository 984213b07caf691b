"""Filing of a ticket: a compare-and-swap of the log's head accepts it."""

from dataclasses import dataclass

from sesameladder.environment import (
    PlatformError,
    StoreCallRejected,
    StoreOutcomeUnknown,
    StoreUnavailable,
    SwapOutcome,
    Swapped,
)
from sesameladder.tickets._access import MAX_WRITE_ATTEMPTS, StoreAccess
from sesameladder.tickets._check import check_ticket
from sesameladder.tickets._outcomes import (
    Accepted,
    AlreadyAccepted,
    FilingOutcome,
    LostRace,
    NotFiled,
    Rejected,
    Unsettled,
)
from sesameladder.tickets._problems import Problem
from sesameladder.tickets._reader import LogReader
from sesameladder.tickets._records import (
    HEAD_KEY,
    Head,
    TicketLogCorrupt,
    TicketLogError,
    TicketLogUnavailable,
    build_ticket_key,
    decode_ticket,
    encode_head,
)
from sesameladder.tickets._ticket import Ticket


@dataclass(frozen=True, slots=True)
class Filer:
    """Files tickets; store failures are returned as outcomes, not raised."""

    reader: LogReader
    """Reads the ticket log."""

    access: StoreAccess
    """Access to the store."""

    def file_ticket(self, ticket: Ticket) -> FilingOutcome:
        """Validate a ticket against the current state and write it as the head."""
        try:
            head = self.reader.read_head()
            if ticket.number <= head.number:
                return self._compare_winner(ticket, AlreadyAccepted(ticket.number))
            state = self.reader.load_state(head, head.number)
            problems = check_ticket(state, ticket)
            if problems:
                return Rejected(tuple(problems))
            self._archive_head(head)
        except TicketLogError as error:
            return NotFiled(str(error))
        return self._swap_head(head, ticket)

    def _archive_head(self, head: Head) -> None:
        if head.ticket is None:
            return
        key = build_ticket_key(head.number)
        archived = self.access.create_if_absent(key, head.ticket.to_bytes())
        if decode_ticket(archived, key).digest != head.digest:
            raise TicketLogCorrupt(f"{key}: differs from the accepted ticket")

    def _swap_head(self, head: Head, ticket: Ticket) -> FilingOutcome:
        try:
            outcome = self._write_head(head, ticket)
        except StoreCallRejected as error:
            return Rejected((Problem("ticket", str(error), "what the store takes"),))
        except StoreUnavailable as error:
            return NotFiled(str(error))
        except StoreOutcomeUnknown as error:
            return self._settle(head, ticket, str(error))
        if isinstance(outcome, Swapped):
            return Accepted(ticket.number)
        try:
            return self._compare_winner(ticket, AlreadyAccepted(ticket.number))
        except TicketLogError as error:
            return NotFiled(
                f"the number is taken, but its ticket can't be read: {error}"
            )

    def _settle(self, head: Head, ticket: Ticket, reason: str) -> FilingOutcome:
        """Return the outcome of a write whose response was lost.

        While the head is unchanged, the write may still take effect late.
        Repeating the same conditional write resolves that: either it succeeds,
        or the head has changed.
        """
        accepted = Accepted(ticket.number, read_back=True)
        for attempt in range(MAX_WRITE_ATTEMPTS):
            self.access.back_off(attempt)
            try:
                if self.reader.read_head().number >= ticket.number:
                    return self._compare_winner(ticket, accepted)
                if isinstance(self._write_head(head, ticket), Swapped):
                    return accepted
            except (TicketLogError, PlatformError) as error:
                reason = str(error)
        return Unsettled(reason)

    def _write_head(self, head: Head, ticket: Ticket) -> SwapOutcome:
        return self.access.store.compare_and_swap(
            HEAD_KEY, head.revision, encode_head(ticket)
        )

    def _compare_winner(
        self, ticket: Ticket, outcome_if_equal: FilingOutcome
    ) -> FilingOutcome:
        winner = self.reader.read_ticket(ticket.number)
        if winner is None:
            raise TicketLogUnavailable(f"ticket {ticket.number} can't be read back")
        return outcome_if_equal if winner.digest == ticket.digest else LostRace(winner)
