"""Clocks of the stand-ins: the system clock and one that tests advance."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for the stand-ins, with timed waits on conditions."""

    def now(self) -> float:
        """Return a monotonic time in seconds."""

    def unix_time(self) -> float:
        """Return the time in seconds since the Unix epoch."""

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        """Wait on a condition whose lock is held, until notified or the deadline.

        The deadline is a time of ``now``, in seconds.
        """


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def now(self) -> float:
        """Return the system's monotonic time in seconds."""
        return time.monotonic()

    def unix_time(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""
        return time.time()

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        """Wait on a condition whose lock is held, until notified or the deadline."""
        remaining_s = deadline - time.monotonic()
        condition.wait(min(max(remaining_s, 0.0), threading.TIMEOUT_MAX))


class ManualClock:
    """Clock that changes only when ``advance`` is called, which wakes all waiters."""

    __slots__ = ("conditions", "elapsed_s", "lock")

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        self.conditions: set[threading.Condition] = set()
        self.lock = threading.Lock()

    def now(self) -> float:
        """Return the time advanced so far, in seconds."""
        return self.elapsed_s

    def unix_time(self) -> float:
        """Return the same time as ``now``."""
        return self.elapsed_s

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        """Wait until notified, which ``advance`` does too.

        Returns at once when the deadline has passed already.
        """
        with self.lock:
            self.conditions.add(condition)
            if self.elapsed_s >= deadline:
                return
        condition.wait()

    def advance(self, seconds: float) -> None:
        """Move the clock forward and notify all conditions that were waited on."""
        with self.lock:
            self.elapsed_s += seconds
            conditions = list(self.conditions)
        for condition in conditions:
            with condition:
                condition.notify_all()
