"""Role lease and plan store with expired leases, store outages and lost responses."""

import pytest

from sesameladder.environment import FakeStore
from sesameladder.planning import (
    ROLE_LEASE_S,
    PlanNotWritten,
    PlanStore,
    PlanSuperseded,
    PlanUnsettled,
    PlanWritten,
    RegionPlan,
    RoleLease,
)


class Clock:
    def __init__(self):
        self.seconds = 100.0

    def __call__(self):
        return self.seconds


def make_leases():
    clock = Clock()
    store = FakeStore(clock)
    key = "roles/planner/north"
    leases = [RoleLease(store, key, name, clock) for name in ("a", "b")]
    return clock, store, leases


def test_holder_counts_the_role_lost_before_the_lease_expires():
    """Guards against two instances that both consider themselves the holder."""
    clock, _, (first, second) = make_leases()
    assert first.acquire()
    for _ in range(200):
        clock.seconds += ROLE_LEASE_S / 100
        if second.acquire():
            break
        assert clock.seconds < 100.0 + ROLE_LEASE_S
    assert first.lost
    assert not first.renew()
    assert second.fence > 0


def test_fence_increases_with_each_holder():
    """Guards against a fence that does not order the holders of a role."""
    _, _, (first, second) = make_leases()
    assert first.acquire()
    fence = first.fence
    assert not second.acquire()
    first.release()
    assert second.acquire()
    assert second.fence > fence


@pytest.mark.parametrize(
    ("outage_s", "is_held"), [(1.0, True), (ROLE_LEASE_S + 1, False)]
)
def test_renewal_during_an_outage(outage_s, is_held):
    """Guards against giving up the role at once, and against keeping it too long."""
    clock, store, (first, _) = make_leases()
    first.acquire()
    store.available = False
    clock.seconds += outage_s
    assert first.renew() == is_held


def test_acquisition_with_a_lost_response():
    """Guards against a role that is held but unused until its lease expires.

    The store creates the key and the response is lost.
    """
    _, store, (first, _) = make_leases()
    store.responses_to_drop = 1
    assert first.acquire()
    assert first.fence == store.entries["roles/planner/north"].revision


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        ("none", PlanWritten),
        ("lost", PlanWritten),
        ("down", PlanNotWritten),
        ("conflict", PlanSuperseded),
        ("lost_then_down", PlanUnsettled),
    ],
)
def test_write_outcomes(fault, expected):
    """Guards against a write outcome that differs from the effect in the store."""
    store = FakeStore(Clock())
    plans = PlanStore(store, "north")
    if fault == "conflict":
        store.compare_and_swap("plan/north", 0, RegionPlan("north", 7).to_bytes())
    store.available = fault != "down"
    store.responses_to_drop = int(fault.startswith("lost"))
    if fault == "lost_then_down":
        plans.store = DownAfterWrite(store)
    outcome = plans.write(RegionPlan("north", 1), 0)
    assert isinstance(outcome, expected)
    if fault == "conflict":
        assert outcome.current.plan.version == 7


class DownAfterWrite:
    def __init__(self, store):
        self.store = store

    def compare_and_swap(self, *arguments):
        try:
            return self.store.compare_and_swap(*arguments)
        finally:
            self.store.available = False

    def get(self, key):
        return self.store.get(key)
