"""Simulated network and store for the measurement of configuration changes."""

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
    """State of the store after the acceptance of a ticket."""

    UP = "up"
    SLOW = "slow"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Layout:
    """Zones, instances and one-way link delays of a deployment."""

    name: str
    """Name of the deployment."""

    zones_by_region: tuple[int, ...]
    """Number of zones of each region; tickets are accepted in the first region."""

    instances_per_zone: int
    """Number of entry instances of each zone."""

    inter_zone_delay_s: float
    """One-way delay between two zones of a region, in seconds."""

    inter_region_delay_s: float
    """One-way delay between two regions, in seconds."""

    in_force_limit_s: float
    """Target for the time until all instances have applied a ticket, in seconds."""

    def list_zones(self) -> list[tuple[str, int]]:
        """Return the name and the region index of each zone."""
        return [
            (f"south-{region}{letter}", region)
            for region, zones in enumerate(self.zones_by_region)
            for letter in "abcdefgh"[:zones]
        ]

    def list_instances(self) -> dict[str, str]:
        """Return the zone of each instance by instance id."""
        return {
            f"entry-{zone}-{number:02}": zone
            for zone, _ in self.list_zones()
            for number in range(self.instances_per_zone)
        }


class Timeline:
    """Event queue with a simulated clock."""

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
        """Run all events up to a time in seconds and set the clock to it."""
        while self.events and self.events[0][0] <= end:
            self.now, _, event = heappop(self.events)
            event()
        self.now = end


@dataclass(slots=True)
class Network:
    """Network with fixed link delays that counts the bytes sent by each instance."""

    timeline: Timeline
    """Clock and event queue."""

    layout: Layout
    """Link delays."""

    region_by_zone: dict[str, int]
    """Region index of each zone."""

    sent_bytes: Counter[str] = field(default_factory=Counter)
    """Bytes sent, by instance id."""

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
        """Count the bytes of a message and run its event after the link delay."""
        self.sent_bytes[sender] += size
        self.timeline.schedule(self.find_delay(*zones), event)


@dataclass(slots=True)
class FakeTicketStore:
    """Store of the first region, reduced to the head of the ticket log."""

    timeline: Timeline
    """Clock and event queue."""

    random: Random
    """Random source of response times."""

    mode: StoreMode = StoreMode.UP
    """Current state of the store."""

    head: Ticket | None = None
    """Latest accepted ticket."""

    watchers: list[Callable[[Ticket], None]] = field(default_factory=list)
    """Callbacks of the relays that watch the head."""

    calls: Counter[str] = field(default_factory=Counter)
    """Platform calls by instance id."""

    def accept(self, ticket: Ticket, mode: StoreMode) -> float:
        """Accept a ticket; return the time of the response to the operator.

        With ``StoreMode.GONE`` the store fails right after the acceptance and
        notifies only one watcher, chosen at random.
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
        """Respond to a poll with the head, or with None if the store is gone."""
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
