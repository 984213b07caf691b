"""Simulated time, process failures, and lost, duplicated or delayed messages."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from sesameladder.environment import (
    FakeStore,
    StoreEntry,
    StoreOutcomeUnknown,
    StoreUnavailable,
    SwapOutcome,
)
from sesameladder.idempotency import PeerIdentity

CALL_TIMEOUT_SECONDS = 1.0
SHORT_DELAY_SECONDS = 0.01
LONG_DELAY_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class FaultRates:
    """Probabilities of the faults of a schedule, per message or store call."""

    message_loss: float
    """A request or a response is lost."""

    duplication: float
    """A request is delivered twice."""

    long_delay: float
    """A message is delayed by up to ``LONG_DELAY_SECONDS``."""

    store_failure: float
    """A store call fails or its response is lost."""

    refusal: float
    """A queue or a worker refuses the request without running it."""


class SimulatedProcess:
    """A process that is running, paused or ended."""

    __slots__ = ("alive", "paused_until")

    def __init__(self) -> None:
        self.alive = True
        self.paused_until = 0.0


ProcessT = TypeVar("ProcessT", bound=SimulatedProcess)
ResponseT = TypeVar("ResponseT")


class Schedule:
    """Event queue in simulated time; a seed determines the whole schedule."""

    __slots__ = ("_events", "_number", "now", "random", "rates")

    def __init__(self, source: random.Random, rates: FaultRates) -> None:
        self.random = source
        self.rates = rates
        self.now = 0.0
        self._events: list[
            tuple[float, int, SimulatedProcess | None, Callable[[], None]]
        ] = []
        self._number = 0

    def call_later(
        self, delay: float, process: SimulatedProcess | None, action: Callable[[], None]
    ) -> None:
        """Run an action of a process after a delay in seconds.

        A paused process runs it when the pause ends; an ended one never does.
        """
        self._number += 1
        event = (self.now + delay, self._number, process, action)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, process, action = heapq.heappop(self._events)
            if process is None:
                action()
            elif process.alive and process.paused_until > self.now:
                self.call_later(process.paused_until - self.now, process, action)
            elif process.alive:
                action()

    def draw_bool(self, probability: float) -> bool:
        """Return True with the given probability."""
        return self.random.random() < probability

    def draw_message_delay(self) -> float:
        """Return a random message delay in seconds."""
        is_slow = self.draw_bool(self.rates.long_delay)
        return self.random.uniform(
            0.0, LONG_DELAY_SECONDS if is_slow else SHORT_DELAY_SECONDS
        )


class Network(Generic[ProcessT]):
    """Calls between processes, which are addressed by instance id."""

    __slots__ = ("processes", "schedule")

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.processes: dict[str, tuple[PeerIdentity, ProcessT]] = {}

    def find(self, target: PeerIdentity) -> ProcessT | None:
        """Return the running process of an instance, or None.

        A message to a process that ended reaches the process that replaced it.
        """
        _, process = self.processes.get(target.instance, (None, None))
        return process if process is not None and process.alive else None

    def call(
        self,
        source: SimulatedProcess,
        target: PeerIdentity,
        request: Callable[[ProcessT, Callable[[ResponseT], None]], None],
        on_reply: Callable[[ResponseT], None],
        on_failure: Callable[[bool], None],
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Send a request; call ``on_reply`` or ``on_failure`` once.

        The argument of ``on_failure`` tells whether the request may have arrived.
        The timeout is in seconds.
        """
        schedule = self.schedule
        ended = [False]

        def end(action: Callable[[], None]) -> None:
            if not ended[0]:
                ended[0] = True
                action()

        def reply(value: ResponseT) -> None:
            if not schedule.draw_bool(schedule.rates.message_loss):
                schedule.call_later(
                    schedule.draw_message_delay(),
                    source,
                    lambda: end(lambda: on_reply(value)),
                )

        process = self.find(target)
        if process is None:
            schedule.call_later(0.0, source, lambda: end(lambda: on_failure(False)))
            return
        for _ in range(self._draw_copy_count()):
            schedule.call_later(
                schedule.draw_message_delay(), process, lambda: request(process, reply)
            )
        schedule.call_later(timeout, source, lambda: end(lambda: on_failure(True)))

    def _draw_copy_count(self) -> int:
        if self.schedule.draw_bool(self.schedule.rates.message_loss):
            return 0
        return 2 if self.schedule.draw_bool(self.schedule.rates.duplication) else 1


class ScheduleStore(FakeStore):
    """A store with failing calls, lost responses and writes that take effect late."""

    schedule: Schedule

    @classmethod
    def from_schedule(cls, schedule: Schedule) -> "ScheduleStore":
        """Return an empty store that uses a schedule's clock."""
        store = cls(clock=lambda: schedule.now)
        store.schedule = schedule
        return store

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry of a key, or raise an injected fault."""
        if self._draw_failure():
            raise StoreUnavailable("injected fault: the read failed")
        return super().get(key)

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease: int | None = None,
    ) -> SwapOutcome:
        """Write, or apply the write now, later or never and lose its response."""
        if not self._draw_failure():
            return super().compare_and_swap(key, expected_revision, value, lease)

        def apply() -> None:
            FakeStore.compare_and_swap(self, key, expected_revision, value, lease)

        if self.schedule.draw_bool(0.5) and self.available:
            apply()
        elif self.available:
            self.schedule.call_later(
                self.schedule.draw_message_delay(), None, self._build_late_write(apply)
            )
        raise StoreOutcomeUnknown("injected fault: the response to a write was lost")

    def _build_late_write(self, apply: Callable[[], None]) -> Callable[[], None]:
        def apply_if_up() -> None:
            if self.available:
                apply()

        return apply_if_up

    def _draw_failure(self) -> bool:
        return self.schedule.draw_bool(self.schedule.rates.store_failure)
