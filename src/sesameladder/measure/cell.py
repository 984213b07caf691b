"""Measurements of one cell's dispatcher against reference schedules.

All figures come from discrete-event simulations of seeded traces: 6 workers with
8 slots each; 1 % of the requests run 50 times as long, and half of these share a
kind with short work; declared run times are wrong by a factor of up to 10. Half
of the long work can be checkpointed, or none where the name of the entry ends in
``no_checkpoint``. A refused request counts as having waited for the wait limit.
"""

import operator
from collections.abc import Callable
from dataclasses import dataclass, replace

from sesameladder.dispatch import DispatcherConfig
from sesameladder.measure._cell_baselines import (
    run_first_in_first_out,
    run_shortest_remaining_first,
)
from sesameladder.measure._cell_run import (
    SLOTS_PER_WORKER,
    TRACE_START_S,
    WORKERS,
    CellResult,
    CellRun,
)
from sesameladder.measure._entry import MeasureEntry
from sesameladder.measure._trace import TEAMS, TraceRequest, TraceShape, generate_trace
from sesameladder.model import Team

SLOTS = WORKERS * SLOTS_PER_WORKER
BASE_RUN_S = {"coral-strand": 0.2, "pfennigblatt": 0.1}
REQUESTS = 24_000
FAULT_REQUESTS = 6_000
FAULT_LOAD = 0.5
FAULT_START_S = 5.0
CHECKPOINTABLE_SHARE = 0.5
ALTERNATING_LOAD = 0.3
PEAK_S = 4.0
OVERLOAD_FACTOR = 1.5
OVERLOAD_TEAM_SHARES = (0.6, 0.4)
OVERLOAD_WEIGHTS = (3, 1)
EJECTION_FAILURES = 3
URGENT_START_LIMIT_S = 2.3
ATTEMPTS_WITHOUT_RETRY_BUDGET = 3.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and demand pattern of a measurement."""

    name: str
    """Suffix of the names of the scenario's entries."""

    load: float
    """Mean offered load as a share of the slots."""

    peak_s: float
    """Length of the peaks in seconds; 0 for steady demand."""


SCENARIOS = (
    Scenario("load_70", 0.7, 0.0),
    Scenario("load_90", 0.9, 0.0),
    Scenario("alternating", ALTERNATING_LOAD, PEAK_S),
)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Results of the dispatcher and of both reference schedules on one trace."""

    trace: list[TraceRequest]
    """Requests in the order of arrival."""

    dispatcher_result: CellResult
    """Result of the dispatcher."""

    fifo: list[float]
    """Completion times in seconds of first-in-first-out, by number."""

    clairvoyant: list[float]
    """Completion times in seconds of shortest-remaining-first, by number."""

    def find_dispatcher_end(self, request: TraceRequest) -> float:
        """Return the completion time in seconds; a refused one waits for the limit."""
        end = self.dispatcher_result.completed.get(request.number)
        limit_s = DispatcherConfig().wait_limit_s
        return request.arrival_s + request.run_s + limit_s if end is None else end

    def find_max_urgent_wait_s(self) -> float:
        """Return the longest wait of an urgent request for its first grant."""
        started = self.dispatcher_result.started
        limit_s = DispatcherConfig().wait_limit_s
        return max(
            started.get(request.number, request.arrival_s + limit_s) - request.arrival_s
            for request in self.trace
            if request.urgent
        )

    def find_max_urgent_wait_fifo_s(self) -> float:
        """Return the longest wait of an urgent request under first-in-first-out."""
        return max(
            self.fifo[request.number] - request.run_s - request.arrival_s
            for request in self.trace
            if request.urgent
        )


def measure(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the entries of one deployment."""
    base_run_s = BASE_RUN_S[deployment]
    entries = []
    for scenario in SCENARIOS:
        for share in (CHECKPOINTABLE_SHARE, 0.0):
            shape = TraceShape(
                REQUESTS, SLOTS, scenario.load, base_run_s, share, scenario.peak_s
            )
            suffix = scenario.name if share else f"{scenario.name}_no_checkpoint"
            entries += _compare_schedules(deployment, suffix, shape, seed)
    fault = TraceShape(FAULT_REQUESTS, SLOTS, FAULT_LOAD, base_run_s, 0.0)
    entries.append(_measure_outage(deployment, fault, seed))
    entries.append(_measure_failing_worker(deployment, fault, seed))
    entries.append(_measure_team_share(deployment, base_run_s, seed))
    return entries


def compare(shape: TraceShape, seed: int) -> Comparison:
    """Run one trace under the dispatcher and both reference schedules."""
    trace = generate_trace(shape, seed)
    return Comparison(
        trace=trace,
        dispatcher_result=run_dispatcher(trace, seed),
        fifo=run_first_in_first_out(trace, SLOTS),
        clairvoyant=run_shortest_remaining_first(trace, SLOTS),
    )


def run_dispatcher(
    trace: list[TraceRequest], seed: int, teams: list[Team] | None = None
) -> CellResult:
    """Run a trace under the dispatcher with its default configuration."""
    trace_teams = teams or [Team(name, urgent_allowed=True) for name in TEAMS]
    return CellRun(trace, DispatcherConfig(), trace_teams, seed).run()


def percentile_99(values: list[float]) -> float:
    """Return the 99th percentile (nearest rank)."""
    ordered = sorted(values)
    return ordered[max(0, -(-len(ordered) * 99 // 100) - 1)]


def _compare_schedules(
    deployment: str, suffix: str, shape: TraceShape, seed: int
) -> list[MeasureEntry]:
    run = compare(shape, seed)
    ends: list[Callable[[TraceRequest], float]] = [
        run.find_dispatcher_end,
        lambda request: run.fifo[request.number],
        lambda request: run.clairvoyant[request.number],
    ]
    short = [_short_wait_p99_ms(run.trace, end) for end in ends]
    long = [_long_completion_p99_s(run.trace, end) for end in ends]
    idle = run.dispatcher_result.idle_slot_s / (
        SLOTS * run.dispatcher_result.duration_s
    )
    urgent, urgent_fifo = (
        run.find_max_urgent_wait_s(),
        run.find_max_urgent_wait_fifo_s(),
    )

    def entry(
        name: str,
        unit: str,
        figures: tuple[float, float | None, float | None],
        target: str,
        met: bool,
    ) -> MeasureEntry:
        value, baseline, bound = figures
        return MeasureEntry(
            f"{name}.{suffix}", deployment, unit, value, baseline, bound, target, met
        )

    short_figures = (short[0], short[1], short[2])
    return [
        entry(
            "short_wait_p99",
            "ms",
            short_figures,
            "value <= 0.1 * baseline",
            short[0] <= 0.1 * short[1],
        ),
        entry(
            "short_wait_p99_to_bound",
            "ms",
            short_figures,
            "value <= 1.5 * bound",
            short[0] <= 1.5 * short[2],
        ),
        entry(
            "long_completion_p99",
            "s",
            (long[0], long[1], None),
            "value <= 1.5 * baseline",
            long[0] <= 1.5 * long[1],
        ),
        entry(
            "idle_slot_share", "ratio", (idle, None, 0.0), "value < 0.01", idle < 0.01
        ),
        entry(
            "urgent_start_max",
            "s",
            (urgent, urgent_fifo, None),
            f"value <= {URGENT_START_LIMIT_S}",
            urgent <= URGENT_START_LIMIT_S,
        ),
    ]


def _short_wait_p99_ms(
    trace: list[TraceRequest], end: Callable[[TraceRequest], float]
) -> float:
    waits = [
        end(request) - request.arrival_s - request.run_s
        for request in trace
        if not request.is_long
    ]
    # Differences of times can be slightly negative due to rounding.
    return round(1000 * max(0.0, percentile_99(waits)), 6)


def _long_completion_p99_s(
    trace: list[TraceRequest], end: Callable[[TraceRequest], float]
) -> float:
    return percentile_99(
        [end(request) - request.arrival_s for request in trace if request.is_long]
    )


def _measure_outage(deployment: str, shape: TraceShape, seed: int) -> MeasureEntry:
    """Measure the mean attempts of requests that arrive while every worker fails."""
    trace = generate_trace(shape, seed)
    result = CellRun(
        trace,
        DispatcherConfig(),
        [],
        seed,
        lambda _vm, _request, now: now >= TRACE_START_S + FAULT_START_S,
    ).run()
    affected = [request for request in trace if request.arrival_s >= FAULT_START_S]
    value = sum(result.attempts[request.number] for request in affected) / len(affected)
    return MeasureEntry(
        "attempts_per_request.full_outage",
        deployment,
        "ratio",
        value,
        ATTEMPTS_WITHOUT_RETRY_BUDGET,
        1.0,
        "value <= 1.1",
        value <= 1.1,
    )


def _measure_failing_worker(
    deployment: str, shape: TraceShape, seed: int
) -> MeasureEntry:
    """Count the requests that fail on a faulty worker before it is ejected."""
    trace = generate_trace(shape, seed)
    failing_vm = "w2"

    def run(config: DispatcherConfig) -> int:
        result = CellRun(
            trace,
            config,
            [],
            seed,
            lambda vm, _request, now: (
                vm == failing_vm and now >= TRACE_START_S + FAULT_START_S
            ),
        ).run()
        return result.failures_in_service[failing_vm]

    value = run(DispatcherConfig())
    no_ejection = replace(DispatcherConfig(), ejection_failures=len(trace))
    # When the last of these failures is reported, the worker's other slots may run
    # requests that also fail.
    max_requests = EJECTION_FAILURES + SLOTS_PER_WORKER - 1
    return MeasureEntry(
        "failing_worker_requests",
        deployment,
        "requests",
        value,
        run(no_ejection),
        EJECTION_FAILURES,
        f"value <= {max_requests}",
        value <= max_requests,
    )


def _measure_team_share(deployment: str, base_run_s: float, seed: int) -> MeasureEntry:
    """Measure how closely two teams' slot time follows their weights under overload."""
    shape = TraceShape(
        REQUESTS // 2,
        SLOTS,
        OVERLOAD_FACTOR,
        base_run_s,
        0.0,
        0.0,
        OVERLOAD_TEAM_SHARES,
    )
    trace = generate_trace(shape, seed)
    teams = [
        Team(name, weight) for name, weight in zip(TEAMS, OVERLOAD_WEIGHTS, strict=True)
    ]
    result = run_dispatcher(trace, seed, teams)
    value = _find_min_team_share(
        trace, lambda request: request.number in result.completed
    )
    fifo = run_first_in_first_out(trace, SLOTS)
    limit_s = DispatcherConfig().wait_limit_s
    baseline = _find_min_team_share(
        trace,
        lambda request: (
            fifo[request.number] - request.run_s - request.arrival_s <= limit_s
        ),
    )
    return MeasureEntry(
        "team_share.overload",
        deployment,
        "ratio",
        value,
        baseline,
        1.0,
        "value >= 0.9",
        operator.ge(value, 0.9),
    )


def _find_min_team_share(
    trace: list[TraceRequest], served: Callable[[TraceRequest], bool]
) -> float:
    """Return the smallest ratio of received slot time to fair share over the teams.

    The fair shares are proportional to the weights, since both teams demand more
    than that. Long work is left out: one long request outweighs 50 short ones.
    """
    work = [request for request in trace if not request.is_long]
    received = {
        team: sum(
            request.run_s
            for request in work
            if request.team == team and served(request)
        )
        for team in TEAMS
    }
    total = sum(received.values())
    weights = dict(zip(TEAMS, OVERLOAD_WEIGHTS, strict=True))
    return min(
        received[team] / total / (weights[team] / sum(OVERLOAD_WEIGHTS))
        for team in TEAMS
    )
