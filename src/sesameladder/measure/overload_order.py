"""Trial of orders in which an overloaded cell serves its queue.

Compares first-in-first-out, shortest-first, and greedy choice by benefit per
cost with the product's dispatcher on one trace of 1.5 times the cell's
capacity. The benefit of a request is its team's weight, times four if it is
urgent; its cost is the expected slot time, learned by kind. Run with
``python -m sesameladder.measure.overload_order``; docs/decisions/
overload-order.md has the outcome.
"""

import heapq
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from sesameladder.dispatch import DispatcherConfig
from sesameladder.dispatch._estimates import RunTimeEstimates
from sesameladder.measure._trace import TEAMS, TraceRequest, TraceShape, generate_trace
from sesameladder.measure.cell import (
    BASE_RUN_S,
    OVERLOAD_FACTOR,
    OVERLOAD_TEAM_SHARES,
    OVERLOAD_WEIGHTS,
    SLOTS,
    run_product,
)
from sesameladder.model import Team

REQUESTS = 12_000
URGENT_BENEFIT = 4.0
WEIGHTS = dict(zip(TEAMS, OVERLOAD_WEIGHTS, strict=True))

Rank = Callable[[TraceRequest, float], float]
"""Returns the rank of a request from its expected time; the lowest is first."""


def compute_benefit(request: TraceRequest) -> float:
    """Return what it is worth to serve a request."""
    return WEIGHTS[request.team] * (URGENT_BENEFIT if request.urgent else 1.0)


ORDERS: dict[str, Rank] = {
    "first_in_first_out": lambda request, _: request.arrival_s,
    "shortest_first": lambda _, expected_ms: expected_ms,
    "benefit_per_cost": lambda one, expected_ms: -compute_benefit(one) / expected_ms,
}


@dataclass(slots=True)
class OrderedRun:
    """A cell without preemption that serves its queue by rank."""

    rank: Rank
    """Order of the queue."""

    config: DispatcherConfig = field(default_factory=DispatcherConfig)
    """Queue limit and wait limit."""

    estimates: RunTimeEstimates = field(init=False)
    """Run times learned during the run."""

    waiting: list[tuple[float, int, TraceRequest]] = field(default_factory=list)
    """Queue by rank."""

    running: list[tuple[float, int, TraceRequest]] = field(default_factory=list)
    """Running requests by end."""

    served: dict[int, float] = field(default_factory=dict)
    """Waits in seconds of the requests that ran, by number."""

    def __post_init__(self) -> None:
        self.estimates = RunTimeEstimates(self.config)

    def run(self, trace: list[TraceRequest]) -> dict[int, float]:
        """Return the waits of the requests that ran, by number."""
        for request in trace:
            self._complete_until(request.arrival_s)
            self._enqueue(request)
            self._start_waiting(request.arrival_s)
        self._complete_until(float("inf"))
        return self.served

    def _enqueue(self, request: TraceRequest) -> None:
        expected_ms = self.estimates.expected_ms(request.kind, request.declared_ms)
        rank = self.rank(request, expected_ms)
        heapq.heappush(self.waiting, (rank, request.number, request))
        if len(self.waiting) > self.config.queue_limit:
            self.waiting.remove(max(self.waiting))
            heapq.heapify(self.waiting)

    def _start_waiting(self, now: float) -> None:
        while self.waiting and len(self.running) < SLOTS:
            request = heapq.heappop(self.waiting)[2]
            wait_s = now - request.arrival_s
            if wait_s <= self.config.wait_limit_s:
                self.served[request.number] = wait_s
                end = now + request.run_s
                heapq.heappush(self.running, (end, request.number, request))

    def _complete_until(self, time: float) -> None:
        while self.running and self.running[0][0] <= time:
            end, _, request = heapq.heappop(self.running)
            self.estimates.observe(request.kind, request.run_s * 1000)
            self._start_waiting(end)


def compare_orders(deployment: str, seed: int) -> dict[str, dict[str, float]]:
    """Return the figures of each order, as shares of what was asked for."""
    shape = TraceShape(
        REQUESTS,
        SLOTS,
        OVERLOAD_FACTOR,
        BASE_RUN_S[deployment],
        0.0,
        0.0,
        OVERLOAD_TEAM_SHARES,
    )
    trace = generate_trace(shape, seed)
    runs = {name: set(OrderedRun(rank).run(trace)) for name, rank in ORDERS.items()}
    teams = [Team(name, WEIGHTS[name], urgent_allowed=True) for name in TEAMS]
    runs["product"] = set(run_product(trace, seed, teams).completed)
    return {name: _summarise(trace, served) for name, served in runs.items()}


def _summarise(trace: list[TraceRequest], served: set[int]) -> dict[str, float]:
    def share(
        chosen: Callable[[TraceRequest], bool], value: Callable[[TraceRequest], float]
    ) -> float:
        asked = [one for one in trace if chosen(one)]
        got = sum(value(one) for one in asked if one.number in served)
        return round(got / sum(value(one) for one in asked), 3)

    result = {
        "benefit": share(lambda _: True, compute_benefit),
        "requests": share(lambda _: True, lambda _: 1.0),
        "urgent": share(lambda one: one.urgent, lambda _: 1.0),
        "long": share(lambda one: one.is_long, lambda _: 1.0),
    }
    for team in TEAMS:
        result[team] = share(lambda one, team=team: one.team == team, lambda _: 1.0)  # type: ignore[misc]
    return result


def main() -> None:
    """Print the figures of three seeds as JSON lines."""
    for seed in (1, 2, 3):
        for name, figures in compare_orders("coral-strand", seed).items():
            print(json.dumps({"seed": seed, "order": name} | figures))


if __name__ == "__main__":
    main()
