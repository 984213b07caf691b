"""Message loop of a task with one inbox queue."""

import logging
from collections.abc import Callable
from queue import Empty, SimpleQueue
from typing import TypeVar

from sesameladder.entry._task_messages import Stop

MessageT = TypeVar("MessageT")

logger = logging.getLogger(__name__)


def run_inbox(
    inbox: "SimpleQueue[MessageT]",
    compute_wait_s: Callable[[], float],
    run_step: Callable[[MessageT | None], None],
    error_event: str,
) -> None:
    """Call ``run_step`` for each message until ``Stop`` arrives.

    ``compute_wait_s`` returns the maximum time in seconds to wait for a message;
    after it ``run_step`` is called with None. An exception in a step is logged
    as ``error_event``, and the loop continues with the next message.
    """
    while True:
        try:
            message = inbox.get(timeout=max(0.0, compute_wait_s()))
        except Empty:
            message = None
        if isinstance(message, Stop):
            return
        try:
            run_step(message)
        except Exception:
            logger.exception("task step failed", extra={"event": error_event})
