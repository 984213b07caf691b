"""State dumps: each part of a process tells its state on request."""

import json
import logging
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, wait

from sesameladder.eventlog._logging import log_event

DEFAULT_TIMEOUT_S = 1.0

LOGGER = logging.getLogger(__name__)

ReadState = Callable[[], object]
"""Returns a part's state as JSON-ready data."""

WaitForFutures = Callable[[Iterable[Future[object]], float], object]
"""Waits for futures, at most a time in seconds."""


def wait_for_futures(futures: Iterable[Future[object]], seconds: float) -> None:
    """Wait for all futures, at most a time in seconds."""
    wait(list(futures), seconds)


class StateDump:
    """Collects the states of registered parts without delaying any of them.

    Each part is read on a thread of its own. A part that does not answer in time
    is reported as such, and is not asked again before it has answered.
    """

    __slots__ = ("lock", "parts", "pending_reads", "wait")

    def __init__(self, wait: WaitForFutures = wait_for_futures) -> None:
        self.lock = threading.Lock()
        self.parts: dict[str, ReadState] = {}
        self.pending_reads: dict[str, Future[object]] = {}
        self.wait = wait

    def register(self, name: str, read: ReadState) -> None:
        """Add a part; raises ValueError when the name is taken."""
        with self.lock:
            if name in self.parts:
                raise ValueError(f"part {name!r} is registered already")
            self.parts[name] = read

    def collect(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> dict[str, object]:
        """Return the state by part; ``{"error": ...}`` for a part that has none."""
        with self.lock:
            futures = {name: self._start_read(name) for name in self.parts}
        self.wait(futures.values(), timeout_s)
        return {
            name: self._get_result(name, future, timeout_s)
            for name, future in futures.items()
        }

    def _start_read(self, name: str) -> Future[object]:
        """Return the pending read of a part, or start one."""
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
    """Read a part and copy its state, so that later changes don't show."""
    try:
        future.set_result(json.loads(json.dumps(read(), default=repr)))
    except Exception as error:
        future.set_exception(error)
