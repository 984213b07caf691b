"""Shares of a full pool by organisation, and who sends more than its rate.

The load is a pool at which 20 organisations ask for more than there is, and of which
one sends 5 to 8 times its usual rate for some seconds. What a caller sends beyond its
rate costs the others nothing; capacity that others leave is not kept from it.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

from sesameladder.fairness import VirtualTimes
from sesameladder.organisations._model import Organisations

UNNAMED_WEIGHT = 1.0  # of work without an organisation, or of one no longer named
MIN_WEIGHT = 0.01  # a weight of 0 still gets what the others leave
MEAN_COST_WEIGHT = 0.05  # of the latest job; a demand peak brings over 20 a second
# Jobs of mean cost by which the virtual times of organisations in turn may differ. With
# less, the order by least work, which ends the most jobs, has nothing to choose from.
SLACK_JOBS = 4.0
# Jobs that arrive at random come in pairs; with one place in the window, a quarter of
# those of an organisation that sends half of its rate would be beyond it.
MIN_WINDOW_JOBS = 4
# The owner reads jobs some ms after they were accepted. Without a tolerance half of the
# jobs of a caller that sends exactly its rate would be early.
ARRIVAL_JITTER_S = 0.02
MAX_LOGGED_SHARES = 5
MAX_FLOWS = 2000  # about 200 KB; beyond that, those without work are forgotten


@dataclass(slots=True)
class RateWindow:
    """Recent jobs of an organisation that came within its rate."""

    arrivals: deque[float] = field(default_factory=deque)
    """Steady times of their arrivals in seconds, oldest first."""

    def has_place(self, now: float, weight: float) -> bool:
        """Return whether a job that arrives now is within ``weight`` jobs a second.

        The window is 1 s long. For a weight that is small or not whole it is longer,
        so that it holds a whole number of jobs and at least ``MIN_WINDOW_JOBS``. Who
        keeps to the shorter window keeps to the longer one too.
        """
        limit = max(MIN_WINDOW_JOBS, ceil(weight))
        window_s = limit / weight - ARRIVAL_JITTER_S
        while self.arrivals and now - self.arrivals[0] >= window_s:
            self.arrivals.popleft()
        return len(self.arrivals) < limit


@dataclass(frozen=True, slots=True)
class ShareRow:
    """What an organisation got of a pool since the latest log line."""

    organisation: str
    weight: float
    core_s: float
    share: float
    """Part of what all organisations got, from 0 to 1."""


class Shares:
    """Weighted shares of one pool; costs are in core-seconds."""

    __slots__ = (
        "beyond_rate",
        "charged_core_s",
        "in_turn",
        "is_in_force",
        "latest_in_turn",
        "mean_cost",
        "organisations",
        "virtual_times",
        "waiting",
        "windows",
    )

    def __init__(self) -> None:
        self.organisations: Organisations | None = None
        self.virtual_times = VirtualTimes()
        self.windows: dict[str, RateWindow] = {}
        self.waiting: set[str] = set()
        """Organisations with work that waited at the latest pass."""

        self.in_turn: set[str] = set()
        """Those of them that had not had more than their share."""

        self.latest_in_turn = 0.0
        """Highest virtual time of the organisations that are in turn."""

        self.mean_cost = 0.0
        """Mean work of recent jobs; 0 before the first."""

        self.charged_core_s: dict[str, float] = {}
        """Work charged since the latest log line, by organisation."""

        self.beyond_rate = 0
        """Number of jobs so far that came beyond their organisation's rate."""

        self.is_in_force = False
        """Whether the latest pass was ordered by shares."""

    @property
    def is_enabled(self) -> bool:
        """Return whether the configuration names organisations."""
        return self.organisations is not None

    def get_weight(self, organisation: str) -> float:
        """Return the weight that the configuration in force gives an organisation."""
        table = self.organisations.by_name if self.organisations is not None else {}
        row = table.get(organisation)
        return max(MIN_WEIGHT, row.weight) if row is not None else UNNAMED_WEIGHT

    def record_arrival(self, organisation: str, cost: float, now: float) -> bool:
        """Count a job and return whether it is within its organisation's rate.

        Jobs beyond the rate take no place in the window: whoever sends too much keeps
        what it is entitled to. Work without an organisation has no rate.
        """
        if not self.is_enabled:
            return True
        weight = MEAN_COST_WEIGHT if self.mean_cost else 1.0
        self.mean_cost += weight * (cost - self.mean_cost)
        if not organisation:
            return True
        window = self.windows.setdefault(organisation, RateWindow())
        if window.has_place(now, self.get_weight(organisation)):
            window.arrivals.append(now)
            return True
        self.beyond_rate += 1
        return False

    def charge(self, organisation: str, cost: float) -> None:
        """Charge work that starts; a negative cost corrects an earlier charge."""
        if not self.is_enabled:
            return
        is_in_turn = self.virtual_times.get(organisation) <= self.latest_in_turn
        self.virtual_times.charge(
            organisation, cost, self.get_weight(organisation), is_in_turn
        )
        charged = self.charged_core_s.get(organisation, 0.0)
        self.charged_core_s[organisation] = charged + cost

    def begin_pass(self, waiting: Iterable[str], is_in_force: bool) -> None:
        """Note the organisations with waiting work, and find those in turn."""
        self.is_in_force = is_in_force
        names = set(waiting)
        for name in names - self.waiting:
            self.virtual_times.activate(name)
        self.waiting = names
        if not names:
            self.in_turn = set()
            return
        weights = list(map(self.get_weight, names))
        slack = SLACK_JOBS * self.mean_cost * len(weights) / sum(weights)
        self.latest_in_turn = self.virtual_times.find_latest(names, slack)
        self.in_turn = set(filter(self.is_in_turn, names))
        if len(self.windows) > MAX_FLOWS or len(self.virtual_times.by_flow) > MAX_FLOWS:
            kept = dict.fromkeys(names)
            self.virtual_times.forget(kept)
            self.windows = {n: w for n, w in self.windows.items() if n in kept}

    def is_in_turn(self, organisation: str) -> bool:
        """Return whether an organisation has not had more than its share."""
        return self.virtual_times.get(organisation) <= self.latest_in_turn

    def take_rows(self) -> list[ShareRow]:
        """Return what each organisation got since the last call, most first.

        Organisations that wait and got nothing are included.
        """
        charged, self.charged_core_s = self.charged_core_s, {}
        for name in self.waiting:
            charged.setdefault(name, 0.0)
        total = sum(charged.values())
        rows = [
            ShareRow(
                name,
                self.get_weight(name),
                round(core_s, 2),
                round(core_s / total, 4) if total > 0 else 0.0,
            )
            for name, core_s in charged.items()
        ]
        return sorted(rows, key=lambda row: row.core_s, reverse=True)
