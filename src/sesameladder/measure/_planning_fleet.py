"""Synthetic fleet configurations of any size."""

from sesameladder.model import (
    AvailabilityBudget,
    FleetState,
    MaintenanceWave,
    Pool,
    VirtualMachine,
)

WORKERS_PER_RACK = 4
SLOTS = 8


def build_fleet(
    workers: int,
    pools: int,
    zones: int = 3,
    max_unavailable_share: float = 1 / 6,
    floor_share: float = 0.5,
) -> FleetState:
    """Return a fleet whose racks contain VMs of several pools.

    The last pool is the spare pool; half of its VMs may be unavailable.
    """
    pool_names = [f"pool{index:02d}" for index in range(pools)]
    zone_names = [f"z{index + 1}" for index in range(zones)]
    vms: dict[str, VirtualMachine] = {}
    for index in range(workers):
        zone = zone_names[index % zones]
        place = index // zones
        pool = pool_names[(place + index % zones) % pools]
        rack = f"{zone}-r{place // WORKERS_PER_RACK}"
        name = f"w{index:05d}"
        address = f"10.{index // 65536}.{index // 256 % 256}.{index % 256}:8000"
        vms[name] = VirtualMachine(name, pool, zone, rack, address, SLOTS)
    sizes = dict.fromkeys(pool_names, 0)
    for vm in vms.values():
        sizes[vm.pool] += 1
    return FleetState(
        number=1,
        pools={
            name: Pool(
                name,
                name,
                floor_slots=int(sizes[name] * SLOTS * floor_share),
                spare=name == pool_names[-1],
            )
            for name in pool_names
        },
        vms=vms,
        budgets={
            name: _build_budget(
                name, size, 0.5 if name == pool_names[-1] else max_unavailable_share
            )
            for name, size in sizes.items()
        },
    )


def _build_budget(pool: str, size: int, share: float) -> AvailabilityBudget:
    """Return a budget that allows a share of a pool, at least 1 VM, to be down."""
    unavailable = max(1, int(size * share))
    return AvailabilityBudget(pool, size - unavailable, unavailable)


def build_wave(state: FleetState, start_s: float, length_s: float) -> MaintenanceWave:
    """Return a maintenance wave that covers every pool."""
    return MaintenanceWave("w1", tuple(state.pools), start_s, start_s + length_s)


def build_entry_instances(
    state: FleetState, per_zone: int = 3
) -> dict[str, tuple[str, ...]]:
    """Return the ids of entry instances by zone."""
    zones = sorted({vm.zone for vm in state.vms.values()})
    return {
        zone: tuple(f"{zone}-e{index}" for index in range(per_zone)) for zone in zones
    }
