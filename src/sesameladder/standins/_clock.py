"""Clocks of the stand-ins: the system's, and one that tests advance by hand."""

import threading
import time
from typing import Protocol


class Clock(Protocol):
    """Tells the time and waits on conditions."""

    def now(self) -> float:
        """Return a time in seconds that never decreases."""

    def epoch(self) -> float:
        """Return the time in seconds since the Unix epoch."""

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        """Wait on a held condition until notified or until a time is reached."""


class SystemClock:
    """The machine's clock."""

    __slots__ = ()

    def now(self) -> float:
        """Return the monotonic time."""
        return time.monotonic()

    def epoch(self) -> float:
        """Return the wall-clock time."""
        return time.time()

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        """Wait on a held condition until notified or until a time is reached."""
        left = deadline - time.monotonic()
        condition.wait(min(max(left, 0.0), threading.TIMEOUT_MAX))


class ManualClock:
    """Stands still until ``advance`` is called, which wakes all waiters."""

    __slots__ = ("conditions", "lock", "seconds")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.conditions: set[threading.Condition] = set()
        self.lock = threading.Lock()

    def now(self) -> float:
        """Return the seconds advanced so far."""
        return self.seconds

    def epoch(self) -> float:
        """Return the same time as ``now``."""
        return self.seconds

    def wait_until(self, condition: threading.Condition, deadline: float) -> None:
        """Wait on a held condition until it is notified, also by ``advance``."""
        with self.lock:
            self.conditions.add(condition)
            if self.seconds >= deadline:
                return
        condition.wait()

    def advance(self, seconds: float) -> None:
        """Move the clock forward and wake every waiter."""
        with self.lock:
            self.seconds += seconds
            conditions = list(self.conditions)
        for condition in conditions:
            with condition:
                condition.notify_all()
