"""``sesameladder ticket check``: say whether a ticket would be accepted."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from sesameladder.client._context import Context
from sesameladder.client._errors import CommandFailed
from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.client._options import CommonOptions
from sesameladder.client._ticket_source import load_ticket
from sesameladder.client._wording import describe_outcome, summarize_changes
from sesameladder.tickets import Rejected, check_ticket


@cappa.command(
    name="check",
    help="Check a ticket without filing it.",
    description="Reads the configuration in force and says whether the ticket would "
    "be accepted on it now. Writes nothing. " + EXIT_CODE_HELP,
)
@dataclass
class CheckTicket(CommonOptions):
    """Check a ticket without filing it."""

    file: Annotated[str, cappa.Arg(help="Ticket, JSON with comments.")]

    def run(self, context: Context) -> ExitCode:
        """Check the ticket against the configuration in force."""
        state = context.ticket_log.load_state()
        ticket = load_ticket(
            self.file, None, context.settings.author, lambda: state.number + 1
        )
        problems = check_ticket(state, ticket)
        if problems:
            code, lines, document = describe_outcome(Rejected(tuple(problems)), ticket)
            raise CommandFailed(
                code, "\n".join(lines), number=ticket.number, **document
            )
        line = f"ticket {ticket.number} would be accepted ({summarize_changes(ticket)})"
        context.print_result([line], {"number": ticket.number, "outcome": "acceptable"})
        return ExitCode.DONE
