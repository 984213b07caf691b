"""Virtual time, processes that fail, and messages that get lost or doubled."""

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
    """Probabilities of a schedule's faults, per message or store call."""

    lose: float
    """A request or an answer never arrives."""

    double: float
    """A request arrives a second time."""

    delay: float
    """A message takes up to ``LONG_DELAY_SECONDS``."""

    store: float
    """A store call fails or its answer is lost."""

    refuse: float
    """A queue or a worker refuses the request as not run."""


class Owner:
    """A process as the clock sees it: dead, paused or running."""

    __slots__ = ("alive", "paused_until")

    def __init__(self) -> None:
        self.alive = True
        self.paused_until = 0.0


O = TypeVar("O", bound=Owner)  # noqa: E741
R = TypeVar("R")


class Schedule:
    """Events in the order of virtual time; one seed gives one schedule."""

    __slots__ = ("_events", "_number", "now", "random", "rates")

    def __init__(self, source: random.Random, rates: FaultRates) -> None:
        self.random = source
        self.rates = rates
        self.now = 0.0
        self._events: list[tuple[float, int, Owner | None, Callable[[], None]]] = []
        self._number = 0

    def after(
        self, delay: float, owner: Owner | None, action: Callable[[], None]
    ) -> None:
        """Run an action later, unless its owner is dead by then."""
        self._number += 1
        event = (self.now + delay, self._number, owner, action)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, owner, action = heapq.heappop(self._events)
            if owner is None:
                action()
            elif owner.alive and owner.paused_until > self.now:
                self.after(owner.paused_until - self.now, owner, action)
            elif owner.alive:
                action()

    def chance(self, probability: float) -> bool:
        """Draw a fault."""
        return self.random.random() < probability

    def travel_time(self) -> float:
        """Draw the delay of a message in seconds."""
        slow = self.chance(self.rates.delay)
        return self.random.uniform(
            0.0, LONG_DELAY_SECONDS if slow else SHORT_DELAY_SECONDS
        )


class Network(Generic[O]):
    """Calls between processes, found by instance id."""

    __slots__ = ("processes", "schedule")

    def __init__(self, schedule: Schedule) -> None:
        self.schedule = schedule
        self.processes: dict[str, tuple[PeerIdentity, O]] = {}

    def find(self, target: PeerIdentity) -> O | None:
        """Return the live process at an instance's address, or None.

        A message for a process that ended reaches its replacement.
        """
        _, process = self.processes.get(target.instance, (None, None))
        return process if process is not None and process.alive else None

    def call(
        self,
        source: Owner,
        target: PeerIdentity,
        request: Callable[[O, Callable[[R], None]], None],
        on_answer: Callable[[R], None],
        on_failure: Callable[[bool], None],
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Send a request; ends with one answer or one failure.

        ``on_failure`` receives whether the request may have arrived.
        """
        schedule = self.schedule
        ended = [False]

        def end(action: Callable[[], None]) -> None:
            if not ended[0]:
                ended[0] = True
                action()

        def answer(value: R) -> None:
            if not schedule.chance(schedule.rates.lose):
                schedule.after(
                    schedule.travel_time(),
                    source,
                    lambda: end(lambda: on_answer(value)),
                )

        process = self.find(target)
        if process is None:
            schedule.after(0.0, source, lambda: end(lambda: on_failure(False)))
            return
        for _ in range(self._copies()):
            schedule.after(
                schedule.travel_time(), process, lambda: request(process, answer)
            )
        schedule.after(timeout, source, lambda: end(lambda: on_failure(True)))

    def _copies(self) -> int:
        if self.schedule.chance(self.schedule.rates.lose):
            return 0
        return 2 if self.schedule.chance(self.schedule.rates.double) else 1


class ScheduleStore(FakeStore):
    """A store whose calls fail, lose answers and take effect late."""

    schedule: Schedule

    @classmethod
    def from_schedule(cls, schedule: Schedule) -> "ScheduleStore":
        """Return an empty store on a schedule's clock."""
        store = cls(now=lambda: schedule.now)
        store.schedule = schedule
        return store

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry of a key, or fail."""
        if self._fails():
            raise StoreUnavailable("a read failed")
        return super().get(key)

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease: int | None = None,
    ) -> SwapOutcome:
        """Write, or lose the answer of a write that is applied now or later."""
        if not self._fails():
            return super().compare_and_swap(key, expected_revision, value, lease)

        def apply() -> None:
            FakeStore.compare_and_swap(self, key, expected_revision, value, lease)

        if self.schedule.chance(0.5) and self.available:
            apply()
        elif self.available:
            self.schedule.after(self.schedule.travel_time(), None, self._late(apply))
        raise StoreOutcomeUnknown("the answer of a write was lost")

    def _late(self, apply: Callable[[], None]) -> Callable[[], None]:
        def apply_if_up() -> None:
            if self.available:
                apply()

        return apply_if_up

    def _fails(self) -> bool:
        return self.schedule.chance(self.schedule.rates.store)
