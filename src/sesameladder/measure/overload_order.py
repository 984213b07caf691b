"""Comparison of queue orders for an overloaded cell.

Compares first-in-first-out, shortest-first, and a greedy order by benefit per cost
with the dispatcher, on a trace of 1.5 times the capacity of the cell. The benefit
of a request is the weight of its team, times 4 if the request is urgent. Its cost
is the expected slot time, estimated by kind. Run it with
``python -m sesameladder.measure.overload_order``; the results are in
docs/decisions/overload-order.md.
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
    run_dispatcher,
)
from sesameladder.model import Team

REQUESTS = 12_000
URGENT_BENEFIT = 4.0
WEIGHTS = dict(zip(TEAMS, OVERLOAD_WEIGHTS, strict=True))

Rank = Callable[[TraceRequest, float], float]
"""Returns the rank of a request from its expected run time in milliseconds.

The request with the lowest rank is served first.
"""


def compute_benefit(request: TraceRequest) -> float:
    """Return the benefit of serving a request."""
    return WEIGHTS[request.team] * (URGENT_BENEFIT if request.urgent else 1.0)


ORDERS: dict[str, Rank] = {
    "first_in_first_out": lambda request, _: request.arrival_s,
    "shortest_first": lambda _, expected_ms: expected_ms,
    "benefit_per_cost": lambda request, expected_ms: (
        -compute_benefit(request) / expected_ms
    ),
}


@dataclass(slots=True)
class OrderedRun:
    """Simulation of a cell that serves its queue by rank, without preemption."""

    rank: Rank
    """Function that ranks the waiting requests."""

    config: DispatcherConfig = field(default_factory=DispatcherConfig)
    """Queue limit, wait limit and parameters of the estimates."""

    estimates: RunTimeEstimates = field(init=False)
    """Run times estimated during the run."""

    waiting: list[tuple[float, int, TraceRequest]] = field(default_factory=list)
    """Heap of waiting requests with rank and number."""

    running: list[tuple[float, int, TraceRequest]] = field(default_factory=list)
    """Heap of running requests with end in seconds and number."""

    served: dict[int, float] = field(default_factory=dict)
    """Wait in seconds of each request that ran, by number."""

    def __post_init__(self) -> None:
        self.estimates = RunTimeEstimates(self.config)

    def run(self, trace: list[TraceRequest]) -> dict[int, float]:
        """Run a trace; return the wait in seconds of each request that ran."""
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
    """Return for each order the served shares of the demand, in total and by class."""
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
    runs["product"] = set(run_dispatcher(trace, seed, teams).completed)
    return {name: _summarise(trace, served) for name, served in runs.items()}


def _summarise(trace: list[TraceRequest], served: set[int]) -> dict[str, float]:
    def share(
        chosen: Callable[[TraceRequest], bool], value: Callable[[TraceRequest], float]
    ) -> float:
        requests = [request for request in trace if chosen(request)]
        served_value = sum(
            value(request) for request in requests if request.number in served
        )
        return round(served_value / sum(value(request) for request in requests), 3)

    result = {
        "benefit": share(lambda _: True, compute_benefit),
        "requests": share(lambda _: True, lambda _: 1.0),
        "urgent": share(lambda request: request.urgent, lambda _: 1.0),
        "long": share(lambda request: request.is_long, lambda _: 1.0),
    }
    for team in TEAMS:
        result[team] = share(
            lambda request, team=team: request.team == team,  # type: ignore[misc]
            lambda _: 1.0,
        )
    return result


def main() -> None:
    """Print the shares of three seeds as JSON lines."""
    for seed in (1, 2, 3):
        for name, figures in compare_orders("coral-strand", seed).items():
            print(json.dumps({"seed": seed, "order": name} | figures))


if __name__ == "__main__":
    main()
