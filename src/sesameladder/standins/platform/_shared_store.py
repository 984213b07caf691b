"""The store of the platform stand-in: shared by threads, with waiting watches."""

import threading
from collections.abc import Callable
from typing import TypeVar

from sesameladder.platform import FakeStore, StoreEntry
from sesameladder.standins._clock import Clock

T = TypeVar("T")

MAX_WAIT_S = 0.5
"""Longest wait between two looks at lapsing leases, in seconds."""


class SharedStore:
    """Serializes calls to a ``FakeStore`` and wakes its watches."""

    __slots__ = ("clock", "condition", "store")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store = FakeStore(clock.now)
        self.condition = threading.Condition()

    def call(self, operation: Callable[[FakeStore], T]) -> T:
        """Run one operation alone and wake the watches."""
        with self.condition:
            result = operation(self.store)
            self.condition.notify_all()
            return result

    def watch(
        self, key: str, after: int, seconds: float, interrupted: Callable[[], bool]
    ) -> StoreEntry | None:
        """Wait for a write after a revision; None when the time has passed.

        Also returns None when the key vanishes, or when ``interrupted`` is true.
        """
        end = self.clock.now() + seconds
        seen = False
        with self.condition:
            while True:
                entry = self.store.watch(key, after, 0)
                vanished = seen and key not in self.store.entries
                left = end - self.clock.now()
                if entry is not None or vanished or left <= 0 or interrupted():
                    return entry
                seen = key in self.store.entries
                self.clock.wait(self.condition, min(left, MAX_WAIT_S))

    def wake(self) -> None:
        """Wake every watch so that it looks at ``interrupted`` again."""
        with self.condition:
            self.condition.notify_all()
