"""The operators' command ``sesameladder``."""

from sesameladder.client._exit_codes import ExitCode
from sesameladder.client._main import main

__all__ = ["ExitCode", "main"]
