"""Tests of the time until tickets take effect, with faults of store and relays."""

from dataclasses import replace
from random import Random

import pytest

from sesameladder.measure._configuration_instance import FakeDeployment
from sesameladder.measure._configuration_network import StoreMode
from sesameladder.measure.configuration import (
    LAYOUTS,
    MAX_BYTES_PER_S,
    SCENARIOS,
    TICKETS_PER_RUN,
    build_ticket,
    find_percentile,
    measure_costs,
    measure_in_force_times,
)

SMALL = replace(LAYOUTS["target-size"], name="small", zones_by_region=(2, 1, 1))


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.suffix or "_up")
def test_in_force_within_limit(scenario, monkeypatch) -> None:
    """Guards against instances that miss a ticket, or apply it late, during a fault."""
    monkeypatch.setitem(TICKETS_PER_RUN, "small", 3)
    times = measure_in_force_times(SMALL, scenario, 7)
    assert max(times) <= SMALL.in_force_limit_s
    assert times == measure_in_force_times(SMALL, scenario, 7)


def test_relay_traffic_stays_within_the_limit() -> None:
    """Guards against relay traffic above 3 KB/s in zones of 15 instances."""
    sent, _ = measure_costs(replace(SMALL, zones_by_region=(3,)), 5_900, 7)
    assert max(sent) <= MAX_BYTES_PER_S


def test_instances_poll_again_after_a_store_outage() -> None:
    """Guards against instances that stop polling after a store outage.

    The store fails before any watch reports the ticket, and no relay is alive.
    """
    deployment = FakeDeployment(LAYOUTS["coral-strand"], Random(3))
    deployment.timeline.run_until(30.0)
    deployment.store.watchers.clear()
    for instance in deployment.instances.values():
        instance.rules.is_relay = False
    deployment.store.accept(build_ticket(1), StoreMode.UP)
    deployment.store.mode = StoreMode.GONE
    deployment.timeline.run_until(90.0)
    assert not deployment.applied_at[1]
    deployment.store.mode = StoreMode.UP
    deployment.timeline.run_until(103.0)
    assert len(deployment.applied_at[1]) == 9


def test_percentile_includes_the_worst_value() -> None:
    """Guards against a percentile that leaves out the worst value."""
    values = [float(n) for n in range(1, 101)]
    assert [find_percentile(values, s) for s in (0.5, 0.99, 1.0)] == [50, 99, 100]
    assert find_percentile([3.0], 0.5) == 3.0
