"""The loop of a task that takes its messages from one inbox."""

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
    """Take one step for each message until ``Stop`` arrives.

    ``wait_s`` gives the longest wait for a message in seconds; after it the
    step is taken with None. A step that fails is logged as ``error_event`` and
    ends no other step.
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
