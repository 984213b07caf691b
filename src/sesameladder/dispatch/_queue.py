"""Demands that wait for a slot, ordered by class, team and expected time."""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from sesameladder.dispatch._types import Demand, WorkClass

COMPACTION_SLACK_ENTRIES = 64


@dataclass(slots=True)
class WaitingDemand:
    """A demand in the queue."""

    demand: Demand
    """The demand."""

    enqueued_at: float
    """Time of this submission in seconds."""

    submitted_at: float
    """Time in seconds at which the request was submitted first."""

    expected_ms: float
    """Expected remaining run time in milliseconds."""

    work_class: WorkClass
    """Class whose queue holds the demand."""

    order_key: float
    """Position in the team's queue; the lowest is next."""

    expires_at: float
    """Time in seconds at which the demand is refused."""

    sequence: int = 0
    """Order of submission."""

    is_waiting: bool = True
    """Whether the demand still waits; heaps drop the others lazily."""


@dataclass(slots=True)
class TeamQueue:
    """One team's waiting demands of one class."""

    heap: list[tuple[float, int, WaitingDemand]] = field(default_factory=list)
    """Demands by key; some may have left the queue."""

    count: int = 0
    """Demands that still wait."""

    expected_ms: float = 0.0
    """Expected run time of the demands that wait, in milliseconds."""

    virtual_time: float = 0.0
    """Slot milliseconds granted, divided by the team's weight."""

    def head(self) -> WaitingDemand | None:
        """Return the next demand."""
        while self.heap and not self.heap[0][2].is_waiting:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


@dataclass(slots=True)
class TeamDemands:
    """One team's waiting demands of all classes."""

    heap: list[tuple[float, int, WaitingDemand]] = field(default_factory=list)
    """Demands that may be displaced, the costliest and latest first."""

    count: int = 0
    """Demands that wait."""

    def add(self, item: WaitingDemand) -> None:
        """Add a demand; urgent and resumed ones are never displaced."""
        self.count += 1
        if not (item.demand.urgent or item.demand.resumed):
            entry = (-item.expected_ms, -item.sequence, item)
            heapq.heappush(self.heap, entry)

    def discard(self) -> None:
        """Count one demand less; its ``waits`` must be False already."""
        self.count -= 1
        if len(self.heap) > COMPACTION_SLACK_ENTRIES + 2 * self.count:
            self.heap = [entry for entry in self.heap if entry[2].is_waiting]
            heapq.heapify(self.heap)

    def longest_expected(self) -> WaitingDemand | None:
        """Return the demand with the longest expected time."""
        while self.heap and not self.heap[0][2].is_waiting:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


class ClassQueue:
    """Waiting demands of one class, shared fairly between teams.

    The team with the lowest virtual time is next (weighted fair queueing);
    teams within ``slack_ms`` of it compete by the order of their demands. A
    team that returns after a pause starts at the others' virtual time, so it
    can't claim slots for the time in which it did not wait.
    """

    __slots__ = (
        "active",
        "count",
        "expected_ms",
        "slack_ms",
        "teams",
        "virtual_clock",
    )

    def __init__(self) -> None:
        self.teams: dict[str, TeamQueue] = {}
        self.active: dict[str, TeamQueue] = {}
        self.count = 0
        self.expected_ms = 0.0
        self.slack_ms = 0.0
        self.virtual_clock = 0.0

    def push(self, item: WaitingDemand) -> None:
        """Add a demand."""
        name = item.demand.team
        team = self.teams.setdefault(name, TeamQueue())
        if team.count == 0:
            team.virtual_time = max(team.virtual_time, self.virtual_clock)
            self.active[name] = team
        heapq.heappush(team.heap, (item.order_key, item.sequence, item))
        team.count += 1
        team.expected_ms += item.expected_ms
        self.count += 1
        self.expected_ms += item.expected_ms

    def discard(self, item: WaitingDemand) -> None:
        """Remove a demand; its ``waits`` must be False already."""
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
        """Return the next demand of the teams that are not skipped."""
        teams = [team for name, team in self.active.items() if not is_skipped(name)]
        if not teams:
            return None
        latest = min(team.virtual_time for team in teams) + self.slack_ms
        heads = [team.head() for team in teams if team.virtual_time <= latest]
        return min(
            (item for item in heads if item is not None),
            key=lambda item: (item.order_key, item.sequence),
            default=None,
        )

    def heads(self) -> list[WaitingDemand]:
        """Return the next demand of each team."""
        heads = [team.head() for team in self.active.values()]
        return [item for item in heads if item is not None]

    def expected_ms_of(self, team: str) -> float:
        """Return the expected run time of a team's demands, in milliseconds."""
        queue = self.active.get(team)
        return queue.expected_ms if queue is not None else 0.0

    def charge(self, team: str, slot_ms: float, weight: float) -> None:
        """Charge a team for granted slot time; negative to give time back."""
        queue = self.teams.setdefault(team, TeamQueue())
        if slot_ms > 0:
            self.virtual_clock = max(self.virtual_clock, queue.virtual_time)
        queue.virtual_time += slot_ms / weight


class WaitingQueue:
    """All waiting demands of the cell."""

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
        """Remove a demand; None when it doesn't wait."""
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
        """Move a demand to a class's queue; it keeps its key and its expiry."""
        if self.remove(item.demand.demand_id) is not None:
            self.restore(replace(item, work_class=work_class))

    def restore(self, item: WaitingDemand) -> None:
        """Put a removed demand back; it keeps its key and its expiry."""
        self.push(replace(item, is_waiting=True))

    def take_expired(self, now: float) -> Iterator[WaitingDemand]:
        """Remove and yield the demands whose time is over."""
        while self.expiries and self.expiries[0][0] <= now:
            item = heapq.heappop(self.expiries)[2]
            if item.is_waiting:
                self.remove(item.demand.demand_id)
                yield item

    def next_expiry(self) -> float | None:
        """Return the next time at which a demand is refused."""
        while self.expiries and not self.expiries[0][2].is_waiting:
            heapq.heappop(self.expiries)
        return self.expiries[0][0] if self.expiries else None

    def count(self, *classes: WorkClass) -> int:
        """Return the number of waiting demands of some classes."""
        return sum(self.by_class[name].count for name in classes)

    def _compact_expiries(self) -> None:
        if len(self.expiries) > COMPACTION_SLACK_ENTRIES + 2 * len(self.by_id):
            self.expiries = [entry for entry in self.expiries if entry[2].is_waiting]
            heapq.heapify(self.expiries)
