"""Errors of the operators' command."""

from typing import Any

from sesameladder.client._exit_codes import ExitCode


class CommandFailed(Exception):
    """Ends a command with an exit code and a message."""

    def __init__(self, code: ExitCode, message: str, **details: Any) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.details = details


class InstanceUnreachable(Exception):
    """An entry instance's admin endpoint gave no usable response."""
