"""The command tree, and the functions that run a command line."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import cappa

from sesameladder.client._check import CheckTicket
from sesameladder.client._config import CheckConfig
from sesameladder.client._context import (
    Context,
    find_settings_path,
    load_client_settings,
    open_context,
)
from sesameladder.client._dump import DumpInstance
from sesameladder.client._errors import CommandFailed
from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.client._file import FileTicket
from sesameladder.client._follow import FollowRollout
from sesameladder.client._history import ShowHistory
from sesameladder.client._load import PlayLoad
from sesameladder.client._options import CommonOptions
from sesameladder.client._show import ShowTicket
from sesameladder.client._status import ShowStatus
from sesameladder.client._wording import encode_problems, format_problems
from sesameladder.environment import PlatformError
from sesameladder.settings import ClientSettings
from sesameladder.tickets import (
    TicketInvalid,
    TicketLogCorrupt,
    TicketLogError,
)


@cappa.command(name="ticket", help="File, check and read tickets.")
@dataclass
class TicketGroup:
    """File, check and read tickets."""

    command: cappa.Subcommands[FileTicket | CheckTicket | ShowTicket | ShowHistory]


@cappa.command(name="rollout", help="Follow maintenance waves.")
@dataclass
class RolloutGroup:
    """Follow maintenance waves."""

    command: cappa.Subcommands[FollowRollout]


@cappa.command(name="config", help="Check the command's own settings.")
@dataclass
class ConfigGroup:
    """Check the command's own settings."""

    command: cappa.Subcommands[CheckConfig]


@cappa.command(
    name="sesameladder",
    help="Manage fleet capacity and maintenance by numbered tickets.",
    description=EXIT_CODE_HELP,
)
@dataclass
class Sesameladder:
    """Manage fleet capacity and maintenance by numbered tickets."""

    command: cappa.Subcommands[
        TicketGroup | ShowStatus | RolloutGroup | DumpInstance | ConfigGroup | PlayLoad
    ]


def parse_arguments(arguments: list[str] | None) -> CommonOptions | PlayLoad:
    """Return the chosen subcommand; exits with code 2 if the command line is wrong."""
    command: Any = cappa.parse(Sesameladder, argv=arguments, completion=False)
    while not isinstance(command, CommonOptions | PlayLoad):
        command = command.command
    return command


def run_command(command: CommonOptions, context: Context) -> ExitCode:
    """Run a subcommand and convert its errors to messages and exit codes."""
    context.as_json = command.as_json
    try:
        return command.run(context)
    except CommandFailed as error:
        return context.print_failure(error)
    except TicketInvalid as error:
        lines = [
            "ticket refused, nothing was changed:",
            *format_problems(error.problems),
        ]
        details = {"outcome": "rejected", "problems": encode_problems(error.problems)}
        failure = CommandFailed(ExitCode.REFUSED, "\n".join(lines), **details)
    except TicketLogCorrupt as error:
        failure = CommandFailed(ExitCode.CORRUPT, f"stored data unreadable: {error}")
    except (TicketLogError, PlatformError) as error:
        failure = CommandFailed(ExitCode.NOT_REACHED, f"platform not reached: {error}")
    return context.print_failure(failure)


def run(
    arguments: list[str] | None,
    load_settings: Callable[[Path], ClientSettings] = load_client_settings,
    context_factory: Callable[[ClientSettings], Context] = open_context,
) -> ExitCode:
    """Run a command line; tests pass other functions for settings and context."""
    command = parse_arguments(arguments)
    if isinstance(command, PlayLoad):
        return command.run_locally()
    try:
        settings = load_settings(find_settings_path(command.settings))
    except CommandFailed as error:
        print(error.message, file=sys.stderr)
        return error.code
    return run_command(command, context_factory(settings))


def main(arguments: list[str] | None = None) -> int:
    """Run the operators' command; returns its exit code."""
    return int(run(arguments))
