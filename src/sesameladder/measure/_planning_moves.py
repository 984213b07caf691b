"""Number of moves that tickets and alternating demand cause."""

from random import Random

from sesameladder.measure._entry import MeasureEntry
from sesameladder.measure._planning_driver import start_driver
from sesameladder.measure._planning_fleet import build_fleet
from sesameladder.measure._planning_region import reassign
from sesameladder.model import FleetState

TICKET_COUNT = 6
VMS_PER_TICKET = 3
TICKET_GAP_S = 5.0
SETTLE_LIMIT_S = 20_000.0
ALTERNATING_DEMAND_S = 3_600.0
BURST_S = 6.0
BURST_FACTOR = 5.0
LULL_FACTOR = 0.05
# Length of the lull with which the mean demand over a burst and a lull is unchanged.
LULL_S = BURST_S * (BURST_FACTOR - 1) / (1 - LULL_FACTOR)


def measure_moves(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the moves for rapid tickets and for alternating demand."""
    return [
        _measure_tickets(deployment, seed),
        _measure_alternating_demand(deployment, seed),
    ]


def _measure_tickets(deployment: str, seed: int) -> MeasureEntry:
    """Count the moves for tickets that arrive before earlier moves have ended."""
    state = build_fleet(30, 5)
    random = Random(seed)
    driver = start_driver(state, random)
    for _ in range(TICKET_COUNT):
        driver.region.state = _exchange_vms(driver.region.state, random)
        driver.run(TICKET_GAP_S)
    final = driver.region.state
    driver.run(SETTLE_LIMIT_S, driver.is_settled)
    if driver.region.violations or not driver.is_settled():
        raise AssertionError(
            f"VMs not settled or guarantees violated: {driver.region.violations}"
        )
    min_moves = sum(state.vms[name].pool != vm.pool for name, vm in final.vms.items())
    return MeasureEntry(
        "vm_moves",
        deployment,
        "moves",
        driver.moves_completed,
        _count_full_reassignment(state, final),
        min_moves,
        "value <= 1.2 * bound",
        driver.moves_completed <= 1.2 * min_moves,
    )


def _exchange_vms(state: FleetState, random: Random) -> FleetState:
    """Exchange VMs between two pools, so that pool sizes and budgets stay valid."""
    first, second = random.sample(sorted(state.pools), 2)
    pools = {}
    for source, target in ((first, second), (second, first)):
        vms = [vm.name for vm in state.list_pool_vms(source)]
        pools.update(dict.fromkeys(random.sample(vms, VMS_PER_TICKET), target))
    return reassign(state, pools)


def _count_full_reassignment(old: FleetState, new: FleetState) -> int:
    """Return the number of moves if all VMs were assigned to pools anew.

    The pools are filled to their new sizes one after another, with the VMs in the
    order of their names.
    """
    sizes = {pool: len(new.list_pool_vms(pool)) for pool in sorted(new.pools)}
    assigned_pools = [pool for pool, size in sizes.items() for _ in range(size)]
    return sum(
        old.vms[name].pool != pool
        for name, pool in zip(sorted(new.vms), assigned_pools, strict=True)
    )


def _measure_alternating_demand(deployment: str, seed: int) -> MeasureEntry:
    state = build_fleet(30, 5)
    driver = start_driver(state, Random(seed))
    cells = sorted({f"{vm.pool}/{vm.zone}" for vm in state.vms.values()})
    naive_moves = 0
    start = driver.region.now
    while driver.region.now - start < ALTERNATING_DEMAND_S:
        for length_s, factor in ((BURST_S, BURST_FACTOR), (LULL_S, LULL_FACTOR)):
            for cell in cells:
                pool = cell.split("/")[0]
                mean = state.pools[pool].floor_slots / 3
                driver.region.demand[cell] = mean * factor
            driver.run(length_s)
            # A planner that follows the demand moves one VM per pool in each phase.
            naive_moves += len(state.pools) - 1
    return MeasureEntry(
        "vm_moves_alternating",
        deployment,
        "moves",
        driver.moves_started,
        naive_moves,
        0.0,
        "value == 0",
        driver.moves_started == 0,
    )
