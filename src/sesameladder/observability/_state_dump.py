"""State dumps: the state of each part of a process, read on request."""

import json
import logging
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, wait

from sesameladder.eventlog._logging import log_event

DEFAULT_TIMEOUT_S = 1.0

LOGGER = logging.getLogger(__name__)

ReadState = Callable[[], object]
"""Returns a part's state; values that JSON lacks are dumped as their ``repr``."""

WaitForFutures = Callable[[Iterable[Future[object]], float], object]
"""Waits until all futures are done, at most a number of seconds."""


def wait_for_futures(futures: Iterable[Future[object]], seconds: float) -> None:
    """Wait until all futures are done, at most a number of seconds."""
    wait(list(futures), seconds)


class StateDump:
    """Collects the states of registered parts.

    Each part is read on a thread of its own, so a blocked part does not delay the
    others. A part whose read exceeds the timeout is reported with an error. While
    that read runs, later dumps wait for it and start no second read of the part.
    """

    __slots__ = ("lock", "parts", "pending_reads", "wait")

    def __init__(self, wait: WaitForFutures = wait_for_futures) -> None:
        self.lock = threading.Lock()
        self.parts: dict[str, ReadState] = {}
        self.pending_reads: dict[str, Future[object]] = {}
        self.wait = wait

    def register(self, name: str, read: ReadState) -> None:
        """Add a part; raises ValueError if a part of that name is registered."""
        with self.lock:
            if name in self.parts:
                raise ValueError(f"part {name!r} is registered already")
            self.parts[name] = read

    def collect(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> dict[str, object]:
        """Return the state by part, or ``{"error": reason}`` if its read failed."""
        with self.lock:
            futures = {name: self._get_or_start_read(name) for name in self.parts}
        self.wait(futures.values(), timeout_s)
        return {
            name: self._get_result(name, future, timeout_s)
            for name, future in futures.items()
        }

    def _get_or_start_read(self, name: str) -> Future[object]:
        """Return the future of a part's unfinished read, or start a new read."""
        pending = self.pending_reads.get(name)
        if pending is not None and not pending.done():
            return pending
        future: Future[object] = Future()
        self.pending_reads[name] = future
        thread_arguments = (self.parts[name], future)
        threading.Thread(target=_read_state, args=thread_arguments, daemon=True).start()
        return future

    def _get_result(
        self, name: str, future: Future[object], timeout_s: float
    ) -> object:
        if not future.done():
            return self._log_failure(name, f"no answer within {timeout_s} s")
        error = future.exception()
        if error is not None:
            return self._log_failure(name, f"{type(error).__name__}: {error}")
        return future.result()

    def _log_failure(self, name: str, reason: str) -> dict[str, str]:
        log_event(LOGGER, logging.WARNING, "dump_part_failed", part=name, reason=reason)
        return {"error": reason}


def _read_state(read: ReadState, future: Future[object]) -> None:
    """Read a part and copy its state, so later changes don't alter the dump."""
    try:
        future.set_result(json.loads(json.dumps(read(), default=repr)))
    except Exception as error:
        future.set_exception(error)
