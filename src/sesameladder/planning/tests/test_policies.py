"""Policies of the planner: lending, routine reboots, cell owners and estimates."""

from dataclasses import replace
from random import Random

import pytest

from sesameladder.measure._planning_driver import start_driver
from sesameladder.measure._planning_fleet import (
    build_entry_instances,
    build_fleet,
    build_wave,
)
from sesameladder.measure._planning_region import FakeRegion
from sesameladder.planning import (
    Phase,
    Planner,
    PlannerSettings,
    PlanRefusal,
    RefusalReason,
    RegionPlan,
)
from sesameladder.planning._cell_table import DispatcherTable
from sesameladder.planning._estimates import DurationEstimate

FOUR_WEEKS_S = 28 * 86_400.0


def test_spare_pool_lends_and_takes_back():
    """Guards against a pool below budget while spare VMs are idle.

    Also guards against lent VMs that are not returned after the repair.
    """
    driver = start_driver(build_fleet(30, 5), Random(1))
    lost = driver.region.state.list_pool_vms("pool00")[0].name
    driver.region.fail([lost])
    driver.run(120.0)
    lent = [row for row in driver.plan.rows.values() if row.lender == "pool04"]
    assert [row.pool for row in lent] == ["pool00"]
    driver.region.repair([lost])
    driver.run(300.0)
    assert driver.moves_completed == 1
    driver.run(1_200.0, driver.is_settled)
    assert driver.is_settled()
    assert driver.moves_completed == 2
    assert driver.region.violations == []


@pytest.mark.parametrize(("burst_factor", "idle_factor"), [(5.0, 0.05), (1.0, 1.0)])
def test_demand_with_an_unchanged_mean_moves_no_vm(burst_factor, idle_factor):
    """Guards against moves in response to bursts that leave the mean unchanged."""
    driver = start_driver(build_fleet(30, 5), Random(1))
    for _ in range(25):
        for seconds, factor in ((6.0, burst_factor), (25.0, idle_factor)):
            driver.region.demand = {
                f"pool00/z{zone}": 8.0 * factor for zone in (1, 2, 3)
            }
            driver.run(seconds)
    assert driver.moves_started == 0


def test_sustained_demand_starts_lending():
    """Guards against lending that ignores a sustained rise of the demand."""
    driver = start_driver(build_fleet(30, 5), Random(1))
    driver.region.demand = {f"pool00/z{zone}": 17.0 for zone in (1, 2, 3)}
    driver.run(700.0)
    assert driver.moves_completed >= 1


def test_every_vm_is_maintained_within_four_weeks():
    """Guards against VMs that are never rebooted because no wave covers them."""
    driver = start_driver(build_fleet(30, 5), Random(1))
    start = driver.region.now
    while driver.region.now - start < FOUR_WEEKS_S:
        driver.region.now += 3_600.0
        driver.run(3_600.0, driver.is_settled)
    assert all(row.maintained_at > start for row in driver.plan.rows.values())
    assert driver.region.violations == []


@pytest.mark.parametrize(
    ("share", "min_vms_per_rack"),
    [(1 / 6, 1), (1 / 3, 1), (1 / 2, 2)],
)
def test_wave_uses_the_whole_budget(share, min_vms_per_rack):
    """Guards against waves that use less than the budget or spread over many racks.

    Stopping VMs that share a rack costs no more capacity than the loss of that rack.
    """
    state = build_fleet(120, 2, max_unavailable_share=share, floor_share=0.1)
    driver = start_driver(state, Random(1))
    wave = build_wave(state, driver.region.now, 7_200.0)
    driver.region.state = replace(state, number=2, waves={wave.id: wave})
    driver.run(2.0)
    stopped = [
        row
        for row in driver.plan.rows.values()
        if row.pool == "pool00" and row.phase is Phase.LEAVING
    ]
    assert len(stopped) == state.budgets["pool00"].max_unavailable
    used = {state.vms[row.vm].rack for row in stopped}
    per_rack = max(1, len(stopped) // len(used))
    assert per_rack >= min_vms_per_rack


OWNER_CHANGES = [
    # Each step is a new owner and the instances known to be gone.
    ("new cell", [("a", "")], ("a", None, False, 1)),
    ("handover", [("a", ""), ("b", "")], ("b", "a", False, 2)),
    ("owner gone", [("a", ""), ("b", "a")], ("b", "a", True, 2)),
    ("gone later", [("a", ""), ("b", ""), ("b", "a")], ("b", "a", True, 2)),
    ("successor gone", [("a", ""), ("b", ""), ("c", "b")], ("c", "a", False, 3)),
    ("both gone", [("a", ""), ("b", ""), ("c", "ab")], ("c", "b", True, 3)),
    ("third owner", [("a", ""), ("b", ""), ("c", "")], None),
]


@pytest.mark.parametrize(
    ("steps", "expected"),
    [case[1:] for case in OWNER_CHANGES],
    ids=[case[0] for case in OWNER_CHANGES],
)
def test_change_of_a_cells_owner(steps, expected):
    """Guards against two instances that may grant slots of the same cell."""
    table = DispatcherTable({})
    outcome = None
    for instance, gone in steps:
        outcome = table.assign("p", "z", instance, set(gone))
    if expected is None:
        assert isinstance(outcome, PlanRefusal)
        assert outcome.reason is RefusalReason.DISPATCHER_BUSY
        return
    row = table.rows["p/z"]
    assert (
        row.instance,
        row.previous_owner,
        row.previous_owner_gone,
        row.epoch,
    ) == expected


def test_graceful_stop_of_an_entry_hands_its_cells_over():
    """Guards against cells that stay with an instance that is shutting down."""
    driver = start_driver(build_fleet(30, 5), Random(1))
    driver.region.leaving_entries = {"z1-e0", "z1-e1"}
    driver.run(10.0)
    rows = [row for row in driver.plan.dispatchers.values() if row.zone == "z1"]
    assert {row.instance for row in rows} == {"z1-e2"}
    assert all(row.previous_owner is None for row in rows)


def test_silent_owner_is_reported():
    """Guards against cells that stay without a dispatcher and without an alarm."""
    driver = start_driver(build_fleet(30, 5), Random(1))
    driver.region.partitioned_zones = {"z1"}
    driver.run(50.0)
    assert "owner_silent" not in {alarm.kind for alarm in driver.region.alarms}
    driver.run(50.0)
    silent = [alarm for alarm in driver.region.alarms if alarm.kind == "owner_silent"]
    owners = driver.plan.dispatchers.values()
    assert {alarm.subject for alarm in silent} == {
        row.instance for row in owners if row.zone == "z1"
    }


def test_vms_of_other_regions_are_left_alone():
    """Guards against planners of two regions that both write rows of the same VM."""
    state = build_fleet(30, 5)
    settings = PlannerSettings(instances={"z1": ("z1-e0",)})
    planner = Planner("north", 1, settings)
    region = FakeRegion(state, Random(1), build_entry_instances(state))
    plan = RegionPlan.empty("north")
    actions = planner.step(region.observe(plan), plan, region.now)
    assert {row.zone for row in actions[-1].plan.rows.values()} == {"z1"}
    with pytest.raises(ValueError):
        planner.step(region.observe(plan), RegionPlan.empty("south"), region.now)


def test_one_outlier_does_not_stop_a_wave():
    """Guards against an estimate that one extremely long stop dominates."""
    estimate = DurationEstimate(100.0)
    for seconds in [90.0, 110.0, 95.0, 105.0, 100_000.0]:
        estimate.observe(seconds)
    assert 95.0 <= estimate.upper_s <= 150.0
