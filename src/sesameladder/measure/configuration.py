"""Measures how fast tickets take effect everywhere, and the traffic that this costs.

The replica, relay rules and poll schedule run on a simulated clock and fake links.
Times are measured from the response to the operator until the last instance has
applied the ticket. In the baseline each instance polls the store every 2 s.
"""

from dataclasses import dataclass
from random import Random

from sesameladder.measure._configuration_instance import FakeDeployment
from sesameladder.measure._configuration_network import (
    MAX_STORE_RESPONSE_S,
    MIN_STORE_RESPONSE_S,
    Layout,
    StoreMode,
)
from sesameladder.measure._entry import MeasureEntry
from sesameladder.model import VirtualMachine
from sesameladder.tickets import Ticket

WARM_UP_S = 30.0
TICKET_SPACING_S = 5.5
OUTAGE_S = 4.0
RELAY_SILENCE_S = 4.0
COST_PERIOD_S = 60.0
BASELINE_POLL_INTERVAL_S = 2.0
TICKETS_PER_DAY = 5_900
DAY_S = 86_400
MAX_BYTES_PER_S = 3_000.0
TICKETS_PER_RUN = {"target-size": 12}
DEFAULT_TICKETS_PER_RUN = 60

LAYOUTS = {
    "coral-strand": Layout("coral-strand", (3,), 3, 0.0005, 0.0005, 2.0),
    "pfennigblatt": Layout("pfennigblatt", (3,), 3, 0.0015, 0.0015, 2.0),
    "target-size": Layout("target-size", (3, 3, 2, 2, 2), 15, 0.0015, 0.040, 4.0),
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """Faults that start when a ticket is accepted."""

    suffix: str
    """Suffix of the names of the scenario's entries."""

    mode: StoreMode = StoreMode.UP
    """State of the store."""

    relays_lost: bool = False
    """Whether the relays of the first region stop for ``RELAY_SILENCE_S``."""


SCENARIOS = (
    Scenario(""),
    Scenario("_store_slow", StoreMode.SLOW),
    Scenario("_store_gone", StoreMode.GONE),
    Scenario("_relays_lost", relays_lost=True),
)


def measure(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the entries of a deployment."""
    layout = LAYOUTS[deployment]
    entries: list[MeasureEntry] = []
    for scenario in SCENARIOS:
        times = measure_in_force_times(layout, scenario, seed)
        baseline = compute_baseline(layout, scenario, seed, len(times))
        entries += _report_times(layout, scenario, times, baseline)
    for suffix, tickets_per_day in (("_idle", 0), ("_busy", TICKETS_PER_DAY)):
        entries += _report_costs(layout, suffix, tickets_per_day, seed)
    return entries


def measure_in_force_times(
    layout: Layout, scenario: Scenario, seed: int
) -> list[float]:
    """Return for each ticket of a run the seconds until all instances applied it."""
    random = Random(seed)
    deployment = FakeDeployment(layout, random)
    deployment.timeline.run_until(WARM_UP_S)
    count = TICKETS_PER_RUN.get(layout.name, DEFAULT_TICKETS_PER_RUN)
    response_times: list[float] = []
    for number in range(1, count + 1):
        start = deployment.timeline.now + random.uniform(0.0, 1.0)
        deployment.timeline.run_until(start)
        _inject_faults(deployment, scenario)
        response_times.append(
            deployment.store.accept(build_ticket(number), scenario.mode)
        )
        deployment.timeline.run_until(start + OUTAGE_S)
        deployment.store.mode = StoreMode.UP
        deployment.timeline.run_until(start + TICKET_SPACING_S)
    return [
        compute_in_force_time(deployment, number, responded_at)
        for number, responded_at in enumerate(response_times, 1)
    ]


def compute_in_force_time(
    deployment: FakeDeployment, number: int, responded_at: float
) -> float:
    """Return the seconds from the operator's response until all instances applied it.

    Instances that a scenario stops are left out. The time is infinite if another
    instance never applied the ticket.
    """
    applied = deployment.applied_at[number]
    silent = {name for name, item in deployment.instances.items() if item.silent_until}
    running = [name for name in deployment.instances if name not in silent]
    times = [applied.get(name, float("inf")) for name in running]
    return max(0.0, max(times) - responded_at)


def build_ticket(number: int) -> Ticket:
    """Return a ticket of typical size, which changes one VM."""
    vm = VirtualMachine("worker-0001", "blends", "zone-0a", "rack-1", "10.0.0.1:8080")
    reason = f"replace worker-0001 after a failed check, case {number}"
    return Ticket(number, "duty operator", reason, vms={vm.name: vm})


def compute_baseline(
    layout: Layout, scenario: Scenario, seed: int, count: int
) -> list[float]:
    """Return the times in seconds if each instance polls the store every 2 s.

    A slow store delays polls and the operator's response equally, so this delay
    cancels out.
    """
    random = Random(seed)
    instances = len(layout.list_instances())
    outage = OUTAGE_S if scenario.mode is StoreMode.GONE else 0.0
    return [
        outage
        + max(
            random.uniform(0.0, BASELINE_POLL_INTERVAL_S)
            + random.uniform(MIN_STORE_RESPONSE_S, MAX_STORE_RESPONSE_S)
            for _ in range(instances)
        )
        for _ in range(count)
    ]


def measure_costs(
    layout: Layout, tickets_per_day: int, seed: int
) -> tuple[list[float], list[float]]:
    """Return the bytes sent and the platform calls per second of each instance."""
    deployment = FakeDeployment(layout, Random(seed))
    deployment.timeline.run_until(WARM_UP_S)
    deployment.network.sent_bytes.clear()
    deployment.store.calls.clear()
    number = 0
    spacing = DAY_S / tickets_per_day if tickets_per_day else COST_PERIOD_S
    for _ in range(round(COST_PERIOD_S / spacing)):
        if tickets_per_day:
            number += 1
            deployment.store.accept(build_ticket(number), StoreMode.UP)
        deployment.timeline.run_until(deployment.timeline.now + spacing)
    seconds = deployment.timeline.now - WARM_UP_S
    sent = [
        deployment.network.sent_bytes[name] / seconds for name in deployment.instances
    ]
    calls = [deployment.store.calls[name] / seconds for name in deployment.instances]
    return sent, calls


def find_percentile(values: list[float], share: float) -> float:
    """Return the smallest value that at least a share of the values doesn't exceed."""
    ordered = sorted(values)
    return ordered[max(0, -int(-share * len(ordered) // 1) - 1)]


def _inject_faults(deployment: FakeDeployment, scenario: Scenario) -> None:
    if not scenario.relays_lost:
        return
    regions = deployment.network.region_by_zone
    for instance in deployment.instances.values():
        if instance.rules.is_relay and regions[instance.zone] == 0:
            instance.silent_until = deployment.timeline.now + RELAY_SILENCE_S


def _report_times(
    layout: Layout, scenario: Scenario, times: list[float], baseline: list[float]
) -> list[MeasureEntry]:
    delays = (layout.inter_zone_delay_s, layout.inter_region_delay_s)
    bound = MIN_STORE_RESPONSE_S + (delays[len(layout.zones_by_region) > 1])
    return [
        MeasureEntry(
            name=f"ticket_in_force_{label}{scenario.suffix}",
            deployment=layout.name,
            unit="s",
            value=find_percentile(times, share),
            baseline=find_percentile(baseline, share),
            bound=bound,
            target=f"value <= {layout.in_force_limit_s:g}",
            met=find_percentile(times, share) <= layout.in_force_limit_s,
        )
        for label, share in (("p50", 0.5), ("p99", 0.99), ("max", 1.0))
    ]


def _report_costs(
    layout: Layout, suffix: str, tickets_per_day: int, seed: int
) -> list[MeasureEntry]:
    sent, calls = measure_costs(layout, tickets_per_day, seed)
    polls = 1 / BASELINE_POLL_INTERVAL_S
    figures = [
        (f"bytes_per_s{suffix}_mean", "B/s", sum(sent) / len(sent), MAX_BYTES_PER_S),
        (f"bytes_per_s{suffix}_max", "B/s", max(sent), MAX_BYTES_PER_S),
        (f"platform_calls_per_s{suffix}_mean", "1/s", sum(calls) / len(calls), None),
        (f"platform_calls_per_s{suffix}_max", "1/s", max(calls), None),
    ]
    return [
        MeasureEntry(
            name=name,
            deployment=layout.name,
            unit=unit,
            value=value,
            baseline=None if limit else polls,
            bound=None,
            target=f"value <= {limit:g}" if limit else "",
            met=value <= limit if limit else None,
        )
        for name, unit, value, limit in figures
    ]
