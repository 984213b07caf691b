"""Fake links and a fake store for the measurement of configuration changes."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from heapq import heappop, heappush
from itertools import count
from random import Random

from sesameladder.tickets import Ticket

INTRA_ZONE_DELAY_S = 0.0001
MIN_STORE_RESPONSE_S = 0.001
MAX_STORE_RESPONSE_S = 0.010
SLOW_STORE_DELAY_S = 2.0


class StoreMode(StrEnum):
    """How the store behaves from the acceptance of a ticket on."""

    UP = "up"
    SLOW = "slow"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Layout:
    """Regions, zones, instances and one-way delays of a deployment."""

    name: str
    """Name of the deployment."""

    zones_by_region: tuple[int, ...]
    """Number of zones of each region; the first region accepts tickets."""

    instances_per_zone: int
    """Entry instances of each zone."""

    inter_zone_delay_s: float
    """One-way delay between two zones of a region."""

    inter_region_delay_s: float
    """One-way delay between two regions."""

    in_force_limit_s: float
    """Time within which a ticket has to be in force everywhere."""

    def list_zones(self) -> list[tuple[str, int]]:
        """Return the name and the region's index of each zone."""
        return [
            (f"south-{region}{letter}", region)
            for region, zones in enumerate(self.zones_by_region)
            for letter in "abcdefgh"[:zones]
        ]

    def list_instances(self) -> dict[str, str]:
        """Return the zone of each instance."""
        return {
            f"entry-{zone}-{number:02}": zone
            for zone, _ in self.list_zones()
            for number in range(self.instances_per_zone)
        }


class Timeline:
    """Runs events in the order of their times under a simulated clock."""

    __slots__ = ("event_numbers", "events", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = count()

    def clock(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def schedule(self, delay: float, event: Callable[[], None]) -> None:
        """Run an event after a delay in seconds."""
        heappush(self.events, (self.now + delay, next(self.event_numbers), event))

    def run_until(self, end: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= end:
            self.now, _, event = heappop(self.events)
            event()
        self.now = end


@dataclass(slots=True)
class Network:
    """Links with fixed delays that count the bytes that each instance sends."""

    timeline: Timeline
    """Clock and events."""

    layout: Layout
    """Delays."""

    region_by_zone: dict[str, int]
    """Region's index of each zone."""

    sent_bytes: Counter[str] = field(default_factory=Counter)
    """Bytes sent by each instance."""

    def find_delay(self, zone: str, other: str) -> float:
        """Return the one-way delay between two zones in seconds."""
        if zone == other:
            return INTRA_ZONE_DELAY_S
        if self.region_by_zone[zone] == self.region_by_zone[other]:
            return self.layout.inter_zone_delay_s
        return self.layout.inter_region_delay_s

    def send(
        self, sender: str, zones: tuple[str, str], size: int, event: Callable[[], None]
    ) -> None:
        """Deliver a message of some bytes between two zones."""
        self.sent_bytes[sender] += size
        self.timeline.schedule(self.find_delay(*zones), event)


@dataclass(slots=True)
class FakeTicketStore:
    """The store of the first region, as far as configuration changes need it."""

    timeline: Timeline
    """Clock and events."""

    random: Random
    """Draws answer times."""

    mode: StoreMode = StoreMode.UP
    """Behaviour at present."""

    head: Ticket | None = None
    """Latest accepted ticket."""

    watchers: list[Callable[[Ticket], None]] = field(default_factory=list)
    """Relays that watch the head."""

    calls: Counter[str] = field(default_factory=Counter)
    """Platform calls by instance."""

    def accept(self, ticket: Ticket, mode: StoreMode) -> float:
        """Accept a ticket; returns when the operator is answered.

        When the store is gone right after the acceptance, the answer to one
        watch was sent before; the other watches break.
        """
        self.head = ticket
        self.mode = mode
        notified_watchers = self.watchers
        if mode is StoreMode.GONE:
            notified_watchers = self.random.sample(self.watchers, 1)
        for watcher in notified_watchers:
            self.timeline.schedule(
                self._draw_response_delay_s(), _bind(watcher, ticket)
            )
        return self.timeline.now + (
            SLOW_STORE_DELAY_S if mode is StoreMode.SLOW else 0.0
        )

    def read_head(
        self, instance: str, on_response: Callable[[Ticket | None], None]
    ) -> None:
        """Answer a poll with the head, or with None when the store is gone."""
        self.calls[instance] += 1
        visible_head = None if self.mode is StoreMode.GONE else self.head
        self.timeline.schedule(
            self._draw_response_delay_s(), lambda: on_response(visible_head)
        )

    def _draw_response_delay_s(self) -> float:
        delay = self.random.uniform(MIN_STORE_RESPONSE_S, MAX_STORE_RESPONSE_S)
        return delay + (SLOW_STORE_DELAY_S if self.mode is StoreMode.SLOW else 0.0)


def _bind(watcher: Callable[[Ticket], None], ticket: Ticket) -> Callable[[], None]:
    return lambda: watcher(ticket)
