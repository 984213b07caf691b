"""The invariants that a session checks after every step detect violations."""

from dataclasses import replace

import pytest

from sesameladder.planning import Phase, RegionPlan
from tests.sessions._checks import check_region, check_stops
from tests.sessions._day import Day
from tests.sessions._example import read_example

START_S = 1_800_000_000.0


@pytest.fixture(name="day")
def start_day() -> Day:
    """Return a day 10 s after its first ticket, with the first plan published."""
    example = read_example("coral-strand")
    day = Day(example, START_S)
    day.file("operator", example.tickets[0])
    day.run(10)
    return day


def stop_vms(plan: RegionPlan, pool: str, count: int) -> RegionPlan:
    """Return the next version of a plan, which stops some VMs of a pool."""
    names = sorted(name for name, row in plan.rows.items() if row.pool == pool)
    stopped = {
        name: replace(plan.rows[name], phase=Phase.LEAVING) for name in names[:count]
    }
    return replace(plan, version=plan.version + 1, rows=plan.rows | stopped)


def test_stop_within_budget_passes(day: Day) -> None:
    """Guards against a check that fails for a stop which the budget allows."""
    check_stops(day.region, day.plan, stop_vms(day.plan, "orders", 1))


def test_stop_beyond_budget_fails(day: Day) -> None:
    """Guards against sessions that pass although a stop exceeds a budget."""
    plan = stop_vms(day.plan, "orders", 2)
    with pytest.raises(AssertionError, match="orders"):
        check_stops(day.region, day.plan, plan)


def test_vm_in_two_cells_fails(day: Day) -> None:
    """Guards against sessions that pass although two cells serve the same VM."""
    key = "base-caps/reef-a"
    moved = replace(day.plan.rows["coral-01"], pool="base-caps")
    day.region.applied[key] = replace(
        day.plan, rows=day.plan.rows | {"coral-01": moved}
    )
    with pytest.raises(AssertionError, match="coral-01 is in base-caps/reef-a"):
        check_region(day.region)
