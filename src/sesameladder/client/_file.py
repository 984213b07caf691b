"""``sesameladder ticket file``: file a ticket and report the outcome."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from sesameladder.client._context import Context
from sesameladder.client._errors import CommandFailed
from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.client._options import CommonOptions
from sesameladder.client._ticket_source import load_ticket
from sesameladder.client._wording import describe_outcome
from sesameladder.tickets import TicketLog, TicketLogError


@cappa.command(
    name="file",
    help="File a ticket.",
    description="Checks a ticket on the configuration in force and files it. If the "
    "answer of the write is lost, the ticket is read back. " + EXIT_CODE_HELP,
)
@dataclass
class FileTicket(CommonOptions):
    """File a ticket."""

    file: Annotated[
        str,
        cappa.Arg(
            help="Ticket, JSON with comments; without a number it gets the next one."
        ),
    ]
    number: Annotated[
        int | None,
        cappa.Arg(long=True, help="Number to file under, to repeat a filing safely."),
    ] = None

    def run(self, context: Context) -> ExitCode:
        """File the ticket, then write a due snapshot and compact the log."""
        ticket_log = context.ticket_log
        ticket = load_ticket(
            self.file,
            self.number,
            context.settings.author,
            lambda: ticket_log.read_head().number + 1,
        )
        outcome = ticket_log.file_ticket(ticket)
        code, lines, document = describe_outcome(outcome, ticket)
        if code is not ExitCode.DONE:
            raise CommandFailed(
                code, "\n".join(lines), number=ticket.number, **document
            )
        context.print_result(lines, {"number": ticket.number, **document})
        _maintain_log(context, ticket_log)
        return code


def _maintain_log(context: Context, ticket_log: TicketLog) -> None:
    """Write a due snapshot and compact the log; a failure is only a warning."""
    try:
        ticket_log.write_snapshot()
        ticket_log.compact()
    except TicketLogError as error:
        context.print_warning(
            f"the ticket is accepted, but a snapshot or compaction failed: {error}"
        )
