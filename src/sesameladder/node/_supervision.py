"""Threads that outlive an unexpected error.

The process renews the lease of its roles whatever happens to the threads that work
for them, so a thread that ends for good leaves a role that nobody works for.
"""

from collections.abc import Callable
from threading import Event, Thread

from sesameladder.node._telemetry import log_failure

RESTART_PAUSE_S = 0.25  # bounds the log lines of an error that persists


def build_thread(name: str, body: Callable[[], None], stopping: Event) -> Thread:
    """Return a thread that runs a body, again after each unexpected error.

    It ends when the body returns or ``stopping`` is set. The body starts from what it
    keeps in its task, so it must not rely on values read before the error.
    """
    return Thread(
        target=_run_until_done, args=(name, body, stopping), name=name, daemon=True
    )


def _run_until_done(name: str, body: Callable[[], None], stopping: Event) -> None:
    while not stopping.is_set():
        try:
            body()
            return
        except Exception:
            log_failure("thread_failed", thread=name)
            stopping.wait(RESTART_PAUSE_S)
