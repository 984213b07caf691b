"""Command line of ``sesameladder-entry``."""

import logging
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from threading import Event
from typing import Annotated

import cappa

from sesameladder.entry._process import EntryProcess
from sesameladder.observability import configure_logging
from sesameladder.settings import EntrySettings, SettingsInvalid

EXIT_OK = 0
EXIT_REQUESTS_UNFINISHED = 1
EXIT_SETTINGS_INVALID = 2
EXIT_ADDRESS_UNAVAILABLE = 3


@cappa.command(
    name="sesameladder-entry",
    help="Serve callers on an entry VM.",
    description=(
        "Exit codes: 0 stopped gracefully, 1 requests were left at the shutdown "
        "limit, 2 the settings are invalid, 3 an address can't be bound."
    ),
)
@dataclass(frozen=True, slots=True)
class EntryCommand:
    """Command-line arguments of ``sesameladder-entry``."""

    settings: Annotated[
        Path, cappa.Arg(short=True, long=True, help="Settings file, JSON with comments")
    ]
    check: Annotated[bool, cappa.Arg(long=True, help="Check the settings and exit")] = (
        False
    )


def main(arguments: list[str] | None = None) -> None:
    """Parse the arguments, run the program and exit with its exit code."""
    sys.exit(run(cappa.parse(EntryCommand, argv=arguments)))


def run(command: EntryCommand) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code.

    With ``--check`` only the settings file is validated.
    """
    try:
        settings = EntrySettings.from_file(command.settings)
    except SettingsInvalid as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_SETTINGS_INVALID
    if command.check:
        sys.stdout.write(f"{command.settings}: ok\n")
        return EXIT_OK
    configure_logging(settings.log_level, "sesameladder-entry", settings.instance)
    # Connections beyond the idle limit are closed intentionally; urllib3 logs a
    # warning for each of them.
    logging.getLogger("urllib3.connectionpool").setLevel(logging.ERROR)
    return _serve(settings)


def _serve(settings: EntrySettings) -> int:
    stop = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    try:
        process = EntryProcess(settings)
        process.start()
    except OSError as error:
        sys.stderr.write(f"an address can't be bound: {error}\n")
        return EXIT_ADDRESS_UNAVAILABLE
    stop.wait()
    return EXIT_OK if process.shut_down() else EXIT_REQUESTS_UNFINISHED
