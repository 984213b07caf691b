"""Clocks of the stand-ins: the system's, and one that tests advance by hand."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Tells the time and waits on conditions."""

    def now(self) -> float:
        """Return a time in seconds that never decreases."""

    def unix_time(self) -> float:
        """Return the time in seconds since the Unix epoch."""

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        """Wait on a held condition until notified or until a time is reached."""


class SystemClock:
    """The machine's clock."""

    __slots__ = ()

    def now(self) -> float:
        """Return the monotonic time."""
        return time.monotonic()

    def unix_time(self) -> float:
        """Return the wall-clock time."""
        return time.time()

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        """Wait on a held condition until notified or until a time is reached."""
        remaining_s = deadline - time.monotonic()
        condition.wait(min(max(remaining_s, 0.0), threading.TIMEOUT_MAX))


class ManualClock:
    """Stands still until ``advance`` is called, which wakes all waiters."""

    __slots__ = ("conditions", "elapsed_s", "lock")

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        self.conditions: set[threading.Condition] = set()
        self.lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds advanced so far."""
        return self.elapsed_s

    def unix_time(self) -> float:
        """Return the same time as ``now``."""
        return self.elapsed_s

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        """Wait on a held condition until it is notified, also by ``advance``."""
        with self.lock:
            self.conditions.add(condition)
            if self.elapsed_s >= deadline:
                return
        condition.wait()

    def advance(self, seconds: float) -> None:
        """Move the clock forward and wake every waiter."""
        with self.lock:
            self.elapsed_s += seconds
            conditions = list(self.conditions)
        for condition in conditions:
            with condition:
                condition.notify_all()
