"""Invariants that a session checks after every step."""

from sesameladder.measure._planning_region import FakeRegion
from sesameladder.planning import Phase, RegionPlan


def check_region(region: FakeRegion) -> None:
    """Fail when the region recorded a violation or two cells serve the same VM."""
    assert region.violations == []
    cell_by_vm: dict[str, str] = {}
    for key, plan in sorted(region.applied.items()):
        for vm in _list_served(key, plan):
            assert vm not in cell_by_vm, f"{vm} is in {cell_by_vm[vm]} and {key}"
            cell_by_vm[vm] = key


def check_stops(region: FakeRegion, old: RegionPlan, new: RegionPlan) -> None:
    """Fail when a stop that the new plan adds exceeds its pool's budget."""
    for vm, row in new.rows.items():
        old_row = old.rows.get(vm)
        was_serving = old_row is not None and old_row.phase is Phase.SERVING
        if was_serving and row.phase is Phase.LEAVING and row.pool is not None:
            _check_budget(region, new, row.pool)


def _list_served(key: str, plan: RegionPlan) -> list[str]:
    return [
        row.vm
        for row in plan.rows.values()
        if f"{row.pool}/{row.zone}" == key and row.phase is Phase.SERVING
    ]


def _check_budget(region: FakeRegion, plan: RegionPlan, pool: str) -> None:
    rows = [row for row in plan.rows.values() if row.pool == pool]
    available = sum(
        row.phase is Phase.SERVING
        and region.vms[row.vm].up
        and row.zone not in region.partitioned_zones
        for row in rows
    )
    budget = region.state.budgets[pool]
    assert available >= budget.min_available, (
        f"{pool}: {available} available, expected at least {budget.min_available}"
    )
    assert len(rows) - available <= budget.max_unavailable, (
        f"{pool}: more than {budget.max_unavailable} unavailable: {rows}"
    )
