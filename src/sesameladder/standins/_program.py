"""Runs a stand-in as a program until SIGTERM or SIGINT."""

import logging
import signal
import sys
import threading
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from sesameladder.observability import configure_logging, log_event
from sesameladder.settings import SettingsInvalid

SETTINGS_EXIT_CODE = 2
LOG_LEVEL = "INFO"

LOGGER = logging.getLogger(__name__)

T = TypeVar("T")


class Startable(Protocol):
    """A server that can be started and stopped."""

    @property
    def address(self) -> str:
        """The ``ip:port`` in use."""

    def start(self) -> None:
        """Bind the address and start serving."""

    def stop(self) -> None:
        """Stop serving and release the address."""


def load_or_exit(load: Callable[[], T]) -> T:
    """Return loaded settings; if invalid, print the problems and exit with status 2."""
    try:
        return load()
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(SETTINGS_EXIT_CODE)


def run_until_signal(program: str, servers: Sequence[Startable]) -> None:
    """Start the servers and stop them on SIGTERM or SIGINT."""
    configure_logging(LOG_LEVEL, program, "standin")
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    for server in servers:
        server.start()
        log_event(LOGGER, logging.INFO, "started", address=server.address)
    stop.wait()
    log_event(LOGGER, logging.INFO, "shutdown_started")
    for server in servers:
        server.stop()
    log_event(LOGGER, logging.INFO, "shutdown_finished", clean=True)
