"""Region plans as immutable values that a protocol state can contain.

They leave out times and versions: every rule runs at time 0 on a plan of version
``PLAN_VERSION``.
"""

from collections.abc import Callable
from typing import NamedTuple

from sesameladder.model import (
    AvailabilityBudget,
    FleetState,
    Pool,
    VirtualMachine,
)
from sesameladder.planning import (
    Phase,
    PlanRefusal,
    RegionPlan,
    RuleContext,
    RuleOutcome,
    VmRow,
)

PLAN_VERSION = 1
REGION = "r"
ZONE = "z"
HOME_POOL = "home"
OTHER_POOL = "other"


class CompactRow(NamedTuple):
    """The fields of a VM's row on which the rules depend."""

    vm: str
    """Name of the VM."""

    pool: str | None = HOME_POOL
    """Pool that the VM belongs to."""

    phase: str = Phase.SERVING
    """Phase of the VM."""

    target_pool: str | None = None
    """Destination pool of a move, or None."""

    permit: str | None = None
    """Permit under which the VM is stopped, or None."""

    @property
    def is_serving(self) -> bool:
        """Whether the plan lets the VM receive work."""
        return self.phase == Phase.SERVING


class CompactPlan(NamedTuple):
    """The rows of a region's plan and its fence."""

    rows: tuple[CompactRow, ...]
    """One row for each VM."""

    fence: int = 1
    """Fence of the last writer."""

    def find_row(self, vm: str) -> CompactRow:
        """Return the row of a VM."""
        return next(row for row in self.rows if row.vm == vm)


def build_fleet(
    vms: tuple[str, ...], min_available: int, max_unavailable: int
) -> FleetState:
    """Return a fleet whose home pool has a budget; the other pool has none."""
    return FleetState(
        number=1,
        pools={name: Pool(name, service=name) for name in (HOME_POOL, OTHER_POOL)},
        vms={
            vm: VirtualMachine(vm, HOME_POOL, ZONE, "rack", f"10.0.0.1:{port}")
            for port, vm in enumerate(vms, 1)
        },
        budgets={
            HOME_POOL: AvailabilityBudget(
                HOME_POOL, min_available=min_available, max_unavailable=max_unavailable
            )
        },
    )


def apply_rule(
    plan: CompactPlan,
    rule: Callable[[RegionPlan, RuleContext], RuleOutcome],
    fleet: FleetState,
    down_vms: frozenset[str] = frozenset(),
) -> CompactPlan | None:
    """Return the plan after a planner rule, or None if the rule refuses."""
    outcome = rule(_to_region_plan(plan), RuleContext(fleet, down_vms, 0.0))
    return None if isinstance(outcome, PlanRefusal) else _to_compact_plan(outcome)


def _to_region_plan(plan: CompactPlan) -> RegionPlan:
    rows = {
        row.vm: VmRow(
            vm=row.vm,
            pool=row.pool,
            phase=Phase(row.phase),
            phase_started_at=0.0,
            target_pool=row.target_pool,
            permit=row.permit,
            zone=ZONE,
            version=PLAN_VERSION,
        )
        for row in plan.rows
    }
    return RegionPlan(
        REGION, PLAN_VERSION, plan.fence, configuration_number=1, rows=rows
    )


def _to_compact_plan(plan: RegionPlan) -> CompactPlan:
    rows = tuple(
        CompactRow(row.vm, row.pool, row.phase, row.target_pool, row.permit)
        for row in plan.rows.values()
    )
    return CompactPlan(rows, plan.fence)
