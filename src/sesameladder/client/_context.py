"""Dependencies of subcommands: settings, store, instances, clock and output."""

import json
import os
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TextIO

from sesameladder.client._errors import CommandFailed
from sesameladder.client._exit_codes import ExitCode
from sesameladder.client._instances import fetch_json
from sesameladder.environment import PlatformClient, Store
from sesameladder.settings import ClientSettings, SettingsInvalid
from sesameladder.tickets import TicketLog

SETTINGS_ENVIRONMENT_VARIABLE = "SESAMELADDER_SETTINGS"


@dataclass(slots=True)
class Context:
    """Dependencies and output format of one run of the command."""

    settings: ClientSettings
    """Client settings."""

    store: Store
    """The platform's store."""

    fetch: Callable[[str, str], Any]
    """Returns the JSON at an admin address and path; raises InstanceUnreachable."""

    clock: Callable[[], float]
    """Returns the time in seconds since the Unix epoch."""

    sleep: Callable[[float], None]
    """Waits for a number of seconds."""

    output: TextIO
    """Stream for results, and for errors if ``as_json`` is set."""

    error_output: TextIO
    """Stream for warnings, and for errors unless ``as_json`` is set."""

    as_json: bool = False
    """Whether results and errors are printed as JSON values, one per line."""

    @property
    def ticket_log(self) -> TicketLog:
        """The ticket log of the store; it pauses with ``sleep``."""
        return TicketLog(self.store, self.sleep)

    def print_result(self, lines: Sequence[str], document: Any) -> None:
        """Print a result as lines of text, or as JSON if ``as_json`` is set."""
        if self.as_json:
            self._print_json(document)
            return
        for line in lines:
            print(line, file=self.output)

    def print_warning(self, line: str) -> None:
        """Print a warning that doesn't change the result."""
        print(f"warning: {line}", file=self.error_output)

    def print_failure(self, failure: CommandFailed) -> ExitCode:
        """Print why the command failed and return its exit code."""
        if self.as_json:
            self._print_json({"error": failure.message, **failure.details})
        else:
            print(failure.message, file=self.error_output)
        return failure.code

    def _print_json(self, document: Any) -> None:
        text = json.dumps(document, ensure_ascii=False, sort_keys=True)
        print(text, file=self.output)


def find_settings_path(option: str | None) -> Path:
    """Return the path of the settings file; raises ``CommandFailed`` if none is set."""
    text = option or os.environ.get(SETTINGS_ENVIRONMENT_VARIABLE)
    if not text:
        message = (
            f"no settings file: give --settings or set {SETTINGS_ENVIRONMENT_VARIABLE}"
        )
        raise CommandFailed(ExitCode.UNREADABLE, message)
    return Path(text)


def load_client_settings(path: Path) -> ClientSettings:
    """Return the settings in a file; raises ``CommandFailed`` if they are invalid."""
    try:
        return ClientSettings.from_file(path)
    except SettingsInvalid as error:
        message = f"settings refused:\n{error}"
        raise CommandFailed(ExitCode.UNREADABLE, message) from error


def open_context(settings: ClientSettings) -> Context:
    """Return a context with the settings' platform and the standard streams."""
    store = PlatformClient.from_address(settings.platform_address, settings.zone)
    return Context(
        settings, store, fetch_json, time.time, time.sleep, sys.stdout, sys.stderr
    )
