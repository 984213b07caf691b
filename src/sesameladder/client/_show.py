"""``sesameladder ticket show``: print an accepted ticket."""

import json
from dataclasses import dataclass
from typing import Annotated

import cappa

from sesameladder.client._context import Context
from sesameladder.client._errors import CommandFailed
from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.client._options import CommonOptions


@cappa.command(
    name="show",
    help="Print an accepted ticket.",
    description="Prints the whole ticket of a number, however old. " + EXIT_CODE_HELP,
)
@dataclass
class ShowTicket(CommonOptions):
    """Print an accepted ticket."""

    number: Annotated[int, cappa.Arg(help="Number of the ticket.")]

    def run(self, context: Context) -> ExitCode:
        """Print the ticket."""
        ticket = context.ticket_log.read_ticket(self.number)
        if ticket is None:
            message = f"no ticket {self.number} was accepted"
            raise CommandFailed(ExitCode.NOT_FOUND, message)
        document = ticket.to_json()
        text = json.dumps(document, indent=2, ensure_ascii=False)
        lines = [f"// ticket {ticket.number}, digest {ticket.digest}", text]
        context.print_result(lines, document)
        return ExitCode.DONE
