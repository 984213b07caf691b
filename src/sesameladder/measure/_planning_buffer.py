"""VM-hours lent so that pools keep their floor if a failure domain is lost."""

from dataclasses import replace
from random import Random

from sesameladder.measure._entry import MeasureEntry
from sesameladder.measure._planning_driver import start_driver
from sesameladder.measure._planning_fleet import SLOTS, build_fleet
from sesameladder.model import AvailabilityBudget, FleetState

HOURS = 1
SPARE_POOL = "pool04"
# VMs that each pool needs for its floor_slots.
FLOOR_VMS = {"pool00": 3, "pool01": 2, "pool02": 4, "pool03": 3}
ZONES = 3


def measure_buffer(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the VM-hours beyond the floor demand in the steady state."""
    state = build_floor_fleet()
    driver = start_driver(state, Random(seed))
    driver.run(20_000.0, driver.is_settled)
    driver.run(600.0)
    vm_seconds = 0.0
    for _ in range(HOURS * 3_600):
        driver.run(1.0)
        pool_vms = sum(row.pool != SPARE_POOL for row in driver.plan.rows.values())
        vm_seconds += pool_vms - sum(FLOOR_VMS.values())
    value = vm_seconds / 3_600
    racks = len({vm.rack for vm in state.vms.values()})
    bound = HOURS * sum(
        find_min_buffer(required, racks) for required in FLOOR_VMS.values()
    )
    baseline = HOURS * sum(
        find_min_buffer(required, ZONES) for required in FLOOR_VMS.values()
    )
    return [
        MeasureEntry(
            "buffer_vm_hours",
            deployment,
            "VM h",
            value,
            baseline,
            bound,
            "value <= 1.1 * bound",
            value <= 1.1 * bound and not driver.region.violations,
        )
    ]


def build_floor_fleet() -> FleetState:
    """Return a fleet of 30 VMs whose pools have only the VMs of their floor."""
    state = build_fleet(30, 5)
    vms = dict(state.vms)
    for pool, required in FLOOR_VMS.items():
        for vm in state.list_pool_vms(pool)[required:]:
            vms[vm.name] = replace(vm, pool=SPARE_POOL)
    pools = {
        name: replace(pool, floor_slots=FLOOR_VMS.get(name, 0) * SLOTS)
        for name, pool in state.pools.items()
    }
    budgets = {
        name: AvailabilityBudget(name, required - 1, 1)
        for name, required in FLOOR_VMS.items()
    }
    budgets[SPARE_POOL] = AvailabilityBudget(SPARE_POOL, 0, 4)
    return replace(state, vms=vms, pools=pools, budgets=budgets)


def find_min_buffer(required: int, domains: int) -> int:
    """Return the fewest additional VMs with which a pool survives the loss of a domain.

    Without the largest failure domain, ``required`` VMs remain. The VMs are spread
    evenly over the domains, as if any VM of the fleet could join the pool.
    """
    count = required
    while count - -(-count // domains) < required:
        count += 1
    return count - required
