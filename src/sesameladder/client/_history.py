"""``sesameladder ticket history``: list accepted tickets."""

from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from sesameladder.client._context import Context
from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.client._options import CommonOptions
from sesameladder.client._wording import summarize_changes
from sesameladder.tickets import Ticket


@cappa.command(
    name="history",
    help="List accepted tickets.",
    description="Lists accepted tickets in the order of their numbers. "
    + EXIT_CODE_HELP,
)
@dataclass
class ShowHistory(CommonOptions):
    """List accepted tickets."""

    start: Annotated[
        int | None,
        cappa.Arg(long=True, help="First number; by default the latest are listed."),
    ] = None
    count: Annotated[
        int, cappa.Arg(long=True, help="Largest number of tickets to list.")
    ] = 20

    def run(self, context: Context) -> ExitCode:
        """List the tickets, one per line."""
        ticket_log = context.ticket_log
        start = self.start
        if start is None:
            start = ticket_log.read_head().number - self.count + 1
        tickets = ticket_log.list_history(start, self.count)
        lines = [_format_ticket(ticket) for ticket in tickets] or ["no tickets"]
        context.print_result(lines, [_encode_ticket(ticket) for ticket in tickets])
        return ExitCode.DONE


def _format_ticket(ticket: Ticket) -> str:
    changes = summarize_changes(ticket)
    return f"{ticket.number:>6}  {ticket.author}: {ticket.reason} [{changes}]"


def _encode_ticket(ticket: Ticket) -> dict[str, Any]:
    return {
        "number": ticket.number,
        "author": ticket.author,
        "reason": ticket.reason,
        "digest": ticket.digest,
        "changes": summarize_changes(ticket),
    }
