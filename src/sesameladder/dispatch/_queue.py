"""Queues of waiting demands by class and team, ordered by expected run time."""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from sesameladder.dispatch._types import Demand, WorkClass
from sesameladder.fairness import VirtualTimes

COMPACTION_SLACK_ENTRIES = 64  # keeps small heaps from being rebuilt often


@dataclass(slots=True)
class WaitingDemand:
    """Demand in the queue, with its position and expiry."""

    demand: Demand
    """Demand as it was submitted."""

    enqueued_at: float
    """Time in seconds at which the demand was queued."""

    submitted_at: float
    """Time in seconds at which the request was first submitted."""

    expected_ms: float
    """Expected remaining run time in milliseconds."""

    work_class: WorkClass
    """Class whose queue holds the demand."""

    order_key: float
    """Sort key in the team's queue, in seconds; the lowest is next."""

    expires_at: float
    """Time in seconds at which the demand is refused; infinity for resumed jobs."""

    sequence: int = 0
    """Number in the order of insertion; breaks ties between equal keys."""

    is_waiting: bool = True
    """False once the demand was removed; heaps delete such entries lazily."""


@dataclass(slots=True)
class TeamQueue:
    """Waiting demands of one team in one class."""

    heap: list[tuple[float, int, WaitingDemand]] = field(default_factory=list)
    """Demands by sort key; may contain removed demands."""

    count: int = 0
    """Number of waiting demands."""

    expected_ms: float = 0.0
    """Sum of the expected run times of the waiting demands, in milliseconds."""

    def head(self) -> WaitingDemand | None:
        """Return the next demand without removing it; None if none waits."""
        while self.heap and not self.heap[0][2].is_waiting:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


@dataclass(slots=True)
class TeamDemands:
    """Waiting demands of one team in all classes, for displacement."""

    heap: list[tuple[float, int, WaitingDemand]] = field(default_factory=list)
    """Demands that may be displaced, by descending expected run time, latest first."""

    count: int = 0
    """Number of waiting demands, urgent and resumed ones included."""

    def add(self, item: WaitingDemand) -> None:
        """Add a demand; urgent and resumed demands are counted but never displaced."""
        self.count += 1
        if not (item.demand.urgent or item.demand.resumed):
            entry = (-item.expected_ms, -item.sequence, item)
            heapq.heappush(self.heap, entry)

    def discard(self) -> None:
        """Reduce the count after a removal.

        The caller must set ``is_waiting`` of the demand to False first.
        """
        self.count -= 1
        if len(self.heap) > COMPACTION_SLACK_ENTRIES + 2 * self.count:
            self.heap = [entry for entry in self.heap if entry[2].is_waiting]
            heapq.heapify(self.heap)

    def longest_expected(self) -> WaitingDemand | None:
        """Return the displaceable demand with the longest expected run time.

        None if no demand of the team may be displaced.
        """
        while self.heap and not self.heap[0][2].is_waiting:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class ClassQueue:
    """Waiting demands of one class, scheduled by weighted fair queueing.

    The team with the lowest virtual time is next; teams whose virtual time is
    within ``slack_ms`` of it compete by the sort keys of their demands. Virtual
    times are in granted slot milliseconds, divided by the team's weight.
    """

    __slots__ = (
        "active",
        "count",
        "expected_ms",
        "slack_ms",
        "teams",
        "virtual_times",
    )

    def __init__(self) -> None:
        self.teams: dict[str, TeamQueue] = {}
        self.active: dict[str, TeamQueue] = {}
        self.count = 0
        self.expected_ms = 0.0
        self.slack_ms = 0.0
        self.virtual_times = VirtualTimes()

    def push(self, item: WaitingDemand) -> None:
        """Add a demand."""
        name = item.demand.team
        team = self.teams.setdefault(name, TeamQueue())
        if team.count == 0:
            self.virtual_times.activate(name)
            self.active[name] = team
        heapq.heappush(team.heap, (item.order_key, item.sequence, item))
        team.count += 1
        team.expected_ms += item.expected_ms
        self.count += 1
        self.expected_ms += item.expected_ms

    def discard(self, item: WaitingDemand) -> None:
        """Remove a demand.

        The caller must set ``is_waiting`` of the demand to False first.
        """
        team = self.teams[item.demand.team]
        team.count -= 1
        team.expected_ms -= item.expected_ms
        self.count -= 1
        self.expected_ms = self.expected_ms - item.expected_ms if self.count else 0.0
        if team.count == 0:
            del self.active[item.demand.team]
            team.heap.clear()
            team.expected_ms = 0.0
        elif len(team.heap) > COMPACTION_SLACK_ENTRIES + 2 * team.count:
            team.heap = [entry for entry in team.heap if entry[2].is_waiting]
            heapq.heapify(team.heap)

    def head(self, is_skipped: Callable[[str], bool]) -> WaitingDemand | None:
        """Return the next demand without removing it.

        Teams for which ``is_skipped`` returns True are left out. None if no other
        team waits.
        """
        names = [name for name in self.active if not is_skipped(name)]
        if not names:
            return None
        times = self.virtual_times
        latest = times.find_latest(names, self.slack_ms)
        heads = [
            self.active[name].head() for name in names if times.get(name) <= latest
        ]
        return min(
            (item for item in heads if item is not None),
            key=lambda item: (item.order_key, item.sequence),
            default=None,
        )

    def heads(self) -> list[WaitingDemand]:
        """Return the next demand of each team, without removing it."""
        heads = [team.head() for team in self.active.values()]
        return [item for item in heads if item is not None]

    def expected_ms_of(self, team: str) -> float:
        """Return the total expected run time of a team's demands, in milliseconds."""
        queue = self.active.get(team)
        return queue.expected_ms if queue is not None else 0.0

    def charge(self, team: str, slot_ms: float, weight: float) -> None:
        """Advance a team's virtual time for granted slot time.

        A negative ``slot_ms`` takes back an earlier charge.
        """
        self.virtual_times.charge(team, slot_ms, weight)


class WaitingQueue:
    """All waiting demands of the cell, by class, team, identifier and expiry."""

    __slots__ = ("by_class", "by_id", "by_team", "expiries", "sequence")

    def __init__(self) -> None:
        self.by_class = {name: ClassQueue() for name in WorkClass}
        self.by_id: dict[str, WaitingDemand] = {}
        self.by_team: dict[str, TeamDemands] = {}
        self.expiries: list[tuple[float, int, WaitingDemand]] = []
        self.sequence = 0

    def __len__(self) -> int:
        return len(self.by_id)

    def push(self, item: WaitingDemand) -> None:
        """Add a demand."""
        self.sequence += 1
        item.sequence = self.sequence
        demand = item.demand
        self.by_id[demand.demand_id] = item
        self.by_team.setdefault(demand.team, TeamDemands()).add(item)
        self.by_class[item.work_class].push(item)
        if item.expires_at < float("inf"):
            heapq.heappush(self.expiries, (item.expires_at, item.sequence, item))

    def remove(self, demand_id: str) -> WaitingDemand | None:
        """Remove and return a demand; None if it doesn't wait."""
        item = self.by_id.pop(demand_id, None)
        if item is None:
            return None
        item.is_waiting = False
        team = self.by_team[item.demand.team]
        team.discard()
        if team.count == 0:
            del self.by_team[item.demand.team]
        self.by_class[item.work_class].discard(item)
        self._compact_expiries()
        return item

    def move(self, item: WaitingDemand, work_class: WorkClass) -> None:
        """Move a demand to the queue of another class, with its sort key and expiry."""
        if self.remove(item.demand.demand_id) is not None:
            self.restore(replace(item, work_class=work_class))

    def restore(self, item: WaitingDemand) -> None:
        """Put a removed demand back, with its sort key and expiry."""
        self.push(replace(item, is_waiting=True))

    def take_expired(self, now: float) -> Iterator[WaitingDemand]:
        """Remove and yield the demands whose expiry has passed."""
        while self.expiries and self.expiries[0][0] <= now:
            item = heapq.heappop(self.expiries)[2]
            if item.is_waiting:
                self.remove(item.demand.demand_id)
                yield item

    def next_expiry(self) -> float | None:
        """Return the time in seconds of the next expiry; None if there is none."""
        while self.expiries and not self.expiries[0][2].is_waiting:
            heapq.heappop(self.expiries)
        return self.expiries[0][0] if self.expiries else None

    def count(self, *classes: WorkClass) -> int:
        """Return the number of waiting demands of the given classes."""
        return sum(self.by_class[name].count for name in classes)

    def _compact_expiries(self) -> None:
        if len(self.expiries) > COMPACTION_SLACK_ENTRIES + 2 * len(self.by_id):
            self.expiries = [entry for entry in self.expiries if entry[2].is_waiting]
            heapq.heapify(self.expiries)
