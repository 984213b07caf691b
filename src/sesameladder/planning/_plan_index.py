"""Index of a plan's rows by what the planner has to do with them."""

from dataclasses import dataclass, field
from hashlib import blake2b

from sesameladder.model import FleetState
from sesameladder.planning._plan import RegionPlan, cell_key
from sesameladder.planning._rows import Phase, VmRow
from sesameladder.planning._settings import PlannerSettings


@dataclass(slots=True)
class PlanIndex:
    """Rows of a plan, grouped by what the planner has to do with them."""

    not_serving: list[VmRow] = field(default_factory=list)
    """Rows in any phase other than serving."""

    unconfigured: list[VmRow] = field(default_factory=list)
    """Serving rows whose VM is no longer in the configuration."""

    misplaced: list[VmRow] = field(default_factory=list)
    """Serving rows that are in another pool than their destination."""

    missing: list[str] = field(default_factory=list)
    """Configured VMs that have no row."""

    members: dict[str, list[VmRow]] = field(default_factory=dict)
    """Rows by pool; released rows belong to no pool."""

    cells: dict[str, tuple[str, str]] = field(default_factory=dict)
    """Pool and zone of each cell that has VMs or will get some, by ``pool/zone``."""

    by_destination: dict[str, list[VmRow]] = field(default_factory=dict)
    """Rows of configured VMs by destination pool, whichever pool they are in."""

    lent: list[VmRow] = field(default_factory=list)
    """Rows of VMs that a spare pool has lent."""

    routine_reboots: list[tuple[float, VmRow]] = field(default_factory=list)
    """Due time of the next routine reboot of each serving row, earliest first."""

    @classmethod
    def from_plan(
        cls, plan: RegionPlan, state: FleetState, settings: PlannerSettings
    ) -> "PlanIndex":
        """Index the rows of a plan."""
        index = cls()
        for row in plan.rows.values():
            index.add(row, state)
            if row.phase is Phase.SERVING:
                due_at = row.maintained_at + routine_reboot_interval_s(row.vm, settings)
                index.routine_reboots.append((due_at, row))
        index.routine_reboots.sort(key=lambda pair: (pair[0], pair[1].vm))
        index.missing = [vm for vm in state.vms if vm not in plan.rows]
        places = {(row.pool, row.zone) for row in plan.rows.values()}
        places |= {(row.target_pool, row.zone) for row in index.not_serving}
        places |= {(state.vms[vm].pool, state.vms[vm].zone) for vm in index.missing}
        index.cells = {
            cell_key(pool, zone): (pool, zone)
            for pool, zone in sorted(
                (pool, zone) for pool, zone in places if pool is not None
            )
        }
        return index

    def add(self, row: VmRow, state: FleetState) -> None:
        """Add one row to the groups that it belongs to."""
        if row.pool is not None:
            self.members.setdefault(row.pool, []).append(row)
        if row.lender is not None:
            self.lent.append(row)
        spec = state.vms.get(row.vm)
        is_serving = row.phase is Phase.SERVING
        if not is_serving:
            self.not_serving.append(row)
        if spec is not None and spec.zone == row.zone:
            destination = find_destination(row, state)
            self.by_destination.setdefault(destination, []).append(row)
            if is_serving and destination != row.pool:
                self.misplaced.append(row)
        elif is_serving:
            self.unconfigured.append(row)


def find_destination(row: VmRow, state: FleetState) -> str:
    """Return the pool that a configured VM should be in.

    This is the borrowing pool while the VM is lent, otherwise its configured pool.
    """
    configured = state.vms[row.vm].pool
    if row.lender != configured or not state.pools[configured].spare:
        return configured
    borrower = row.target_pool or row.pool
    return borrower if borrower in state.pools else configured


def hash_to_fraction(text: str) -> float:
    """Return a number from 0 (inclusive) to 1 (exclusive) derived from a text."""
    digest = blake2b(text.encode(), digest_size=6).digest()
    return int.from_bytes(digest, "big") / 2**48


def routine_reboot_interval_s(vm: str, settings: PlannerSettings) -> float:
    """Return the time between two routine reboots of a VM, in seconds.

    It differs between VMs, so that their reboots spread out again after a wave
    has rebooted all of them together.
    """
    width = settings.reboot_interval_max_s - settings.reboot_interval_min_s
    return settings.reboot_interval_min_s + hash_to_fraction(vm) * width
