"""The store of the platform stand-in: shared by threads, with waiting watches."""

import threading
from collections.abc import Callable
from typing import TypeVar

from sesameladder.environment import FakeStore, StoreEntry
from sesameladder.standins._clock import Clock

T = TypeVar("T")

Interrupted = Callable[[], bool]


class SharedStore:
    """Serializes calls to a ``FakeStore`` and wakes its watches."""

    __slots__ = ("clock", "condition", "entered", "store", "waiting")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store = FakeStore(clock.now)
        lock = threading.RLock()
        self.condition = threading.Condition(lock)
        self.entered = threading.Condition(lock)
        self.waiting = 0

    def call(self, operation: Callable[[FakeStore], T]) -> T:
        """Run one operation alone and wake the watches."""
        with self.condition:
            result = operation(self.store)
            self.condition.notify_all()
            return result

    def watch(
        self, key: str, after: int, seconds: float, interrupted: Interrupted
    ) -> StoreEntry | None:
        """Wait for a write after a revision; None when the time has passed.

        Also returns None when the key vanishes while the watch waits, or when
        ``interrupted`` is true.
        """
        end = self.clock.now() + seconds
        seen = False
        with self.condition:
            while True:
                entry = self.store.watch(key, after, 0)
                vanished = seen and key not in self.store.entries
                expired = self.clock.now() >= end
                if entry is not None or vanished or expired or interrupted():
                    return entry
                seen = key in self.store.entries
                lapses = [lapse for lapse, _ in self.store.leases.values()]
                self._wait_until(min([end, *lapses]))

    def delay(self, seconds: float, interrupted: Interrupted) -> None:
        """Wait for a time, or until ``interrupted`` is true."""
        end = self.clock.now() + seconds
        with self.condition:
            while self.clock.now() < end and not interrupted():
                self._wait_until(end)

    def wake(self) -> None:
        """Wake every waiting call so that it looks at ``interrupted`` again."""
        with self.condition:
            self.condition.notify_all()

    def await_waiting(self, count: int) -> None:
        """Return once at least a number of calls wait; for tests."""
        with self.entered:
            self.entered.wait_for(lambda: self.waiting >= count)

    def _wait_until(self, deadline: float) -> None:
        """Wait for a change or for a time.

        ``entered`` is a condition of its own: a waiter that woke the other
        waiters would be woken by them in turn, without end.
        """
        self.waiting += 1
        self.entered.notify_all()
        self.clock.wait_until(self.condition, deadline)
        self.waiting -= 1
