"""Running a stand-in as a program until it is told to stop."""

import signal
import sys
import threading
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from sesameladder.settings import SettingsInvalid

SETTINGS_EXIT_CODE = 2

T = TypeVar("T")


class Startable(Protocol):
    """A server that can be started and stopped."""

    def start(self) -> None:
        """Start serving."""

    def stop(self) -> None:
        """Stop serving."""


def load_or_exit(load: Callable[[], T]) -> T:
    """Return loaded settings; prints the problems and exits when they are invalid."""
    try:
        return load()
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(SETTINGS_EXIT_CODE)


def run_until_signal(servers: Sequence[Startable]) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    for server in servers:
        server.start()
    stop.wait()
    for server in servers:
        server.stop()
