"""Thread-safe store of the platform stand-in, with watches that block."""

import threading
from collections.abc import Callable
from typing import TypeVar

from sesameladder.environment import FakeStore, StoreEntry
from sesameladder.standins._clock import Clock

T = TypeVar("T")

IsInterrupted = Callable[[], bool]


class SharedStore:
    """Serializes calls to a ``FakeStore`` and wakes waiting calls after each one."""

    __slots__ = ("clock", "condition", "store", "waiter_entered", "waiting_calls")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store = FakeStore(clock.now)
        lock = threading.RLock()
        self.condition = threading.Condition(lock)
        self.waiter_entered = threading.Condition(lock)
        self.waiting_calls = 0

    def call(self, operation: Callable[[FakeStore], T]) -> T:
        """Run one operation under the lock and wake all waiting calls."""
        with self.condition:
            result = operation(self.store)
            self.condition.notify_all()
            return result

    def watch(
        self,
        key: str,
        after_revision: int,
        timeout_s: float,
        is_interrupted: IsInterrupted,
    ) -> StoreEntry | None:
        """Wait for a write after a revision; returns None on timeout.

        Also returns None when the key is deleted while the watch waits, or when
        ``is_interrupted`` returns true.
        """
        end_time = self.clock.now() + timeout_s
        key_existed = False
        with self.condition:
            while True:
                entry = self.store.watch(key, after_revision, 0)
                key_deleted = key_existed and key not in self.store.entries
                has_timed_out = self.clock.now() >= end_time
                if (
                    entry is not None
                    or key_deleted
                    or has_timed_out
                    or is_interrupted()
                ):
                    return entry
                key_existed = key in self.store.entries
                expiry_times = [
                    expiry_time for expiry_time, _ in self.store.leases.values()
                ]
                self._wait_until(min([end_time, *expiry_times]))

    def delay(self, duration_s: float, is_interrupted: IsInterrupted) -> None:
        """Wait for a duration, or until ``is_interrupted`` returns true."""
        end_time = self.clock.now() + duration_s
        with self.condition:
            while self.clock.now() < end_time and not is_interrupted():
                self._wait_until(end_time)

    def wake_all(self) -> None:
        """Wake every waiting call so that it checks ``is_interrupted`` again."""
        with self.condition:
            self.condition.notify_all()

    def wait_for_waiting_calls(self, count: int) -> None:
        """Block until at least ``count`` calls are waiting; for tests."""
        with self.waiter_entered:
            self.waiter_entered.wait_for(lambda: self.waiting_calls >= count)

    def _wait_until(self, deadline: float) -> None:
        """Wait for a change of the store or for the deadline.

        The start of a wait is signalled on ``waiter_entered``, not on ``condition``:
        otherwise each waiter would wake the others, which would wake it in turn,
        in an endless loop.
        """
        self.waiting_calls += 1
        self.waiter_entered.notify_all()
        self.clock.wait_until(self.condition, deadline)
        self.waiting_calls -= 1
