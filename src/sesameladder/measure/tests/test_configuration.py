"""Tickets come into force within the stated times under each store fault."""

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
    """Guards against instances that miss a ticket under a fault."""
    monkeypatch.setitem(TICKETS_PER_RUN, "small", 3)
    times = measure_in_force_times(SMALL, scenario, 7)
    assert max(times) <= SMALL.in_force_limit_s
    assert times == measure_in_force_times(SMALL, scenario, 7)


def test_relay_stays_under_the_bytes() -> None:
    """Guards against relay traffic over 3 KB/s in a zone of 15 instances."""
    sent, _ = measure_costs(replace(SMALL, zones_by_region=(3,)), 5_900, 7)
    assert max(sent) <= MAX_BYTES_PER_S


def test_store_gone_before_any_watch_answers() -> None:
    """Guards against instances that never ask again after an outage."""
    fleet = FakeDeployment(LAYOUTS["coral-strand"], Random(3))
    fleet.timeline.run_until(30.0)
    fleet.store.watchers.clear()
    for instance in fleet.instances.values():
        instance.rules.relay = False
    fleet.store.accept(build_ticket(1), StoreMode.UP)
    fleet.store.mode = StoreMode.GONE
    fleet.timeline.run_until(90.0)
    assert not fleet.applied_at[1]
    fleet.store.mode = StoreMode.UP
    fleet.timeline.run_until(103.0)
    assert len(fleet.applied_at[1]) == 9


def test_percentile() -> None:
    """Guards against a percentile that leaves out the worst value."""
    values = [float(n) for n in range(1, 101)]
    assert [find_percentile(values, s) for s in (0.5, 0.99, 1.0)] == [50, 99, 100]
    assert find_percentile([3.0], 0.5) == 3.0
