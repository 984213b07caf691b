"""Options that every subcommand has."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Annotated

from cappa import Arg

from sesameladder.client._context import SETTINGS_ENVIRONMENT_VARIABLE, Context
from sesameladder.client._exit_codes import ExitCode


@dataclass(kw_only=True)
class CommonOptions(ABC):
    """Options of every subcommand."""

    settings: Annotated[
        str | None,
        Arg(
            long="--settings",
            value_name="PATH",
            help="Client settings, JSON with comments; "
            f"else ${SETTINGS_ENVIRONMENT_VARIABLE}.",
        ),
    ] = None
    as_json: Annotated[
        bool,
        Arg(long="--json", help="Print JSON values, one a line, instead of text."),
    ] = False

    @abstractmethod
    def run(self, context: Context) -> ExitCode:
        """Run the subcommand; raises ``CommandFailed`` and errors of the ticket log."""
