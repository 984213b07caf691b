"""Data derived from the rows of a plan, cached while the rows are unchanged."""

from collections.abc import Set
from dataclasses import dataclass, field, replace

from sesameladder.model import FleetState
from sesameladder.planning._buffer import PoolCapacity, find_survived_domain
from sesameladder.planning._draft_rows import PoolTally, count_pools
from sesameladder.planning._plan import RegionPlan
from sesameladder.planning._plan_index import PlanIndex
from sesameladder.planning._rows import Phase, VmRow
from sesameladder.planning._settings import PlannerSettings

REBOOT_PHASES = (Phase.REBOOTING, Phase.CHECKING)
FAILED_PHASES = (Phase.FAILED, Phase.SET_ASIDE)


@dataclass(slots=True)
class Availability:
    """Tallies and capacities of the pools, given the rows and the VMs that are down."""

    down: Set[str]
    """VMs that count as unavailable, as in ``RuleContext.down``."""

    tallies: dict[str, PoolTally]
    """Members and available VMs by pool."""

    capacities: dict[str, PoolCapacity] = field(default_factory=dict)
    """Capacity of the VMs destined for each pool, by pool; filled on demand."""

    def copy_tallies(self) -> dict[str, PoolTally]:
        """Return a copy of the tallies, which a draft may modify."""
        return {pool: replace(tally) for pool, tally in self.tallies.items()}

    def find_capacity(
        self, index: PlanIndex, state: FleetState, pool: str
    ) -> PoolCapacity:
        """Return the cached capacity of a pool; the caller must not modify it.

        Rebooting VMs count, although they are down. VMs that failed, were set aside
        or are down for another reason don't.
        """
        if pool not in self.capacities:
            self.capacities[pool] = PoolCapacity.from_vms(
                find_survived_domain(state, pool),
                (
                    state.vms[row.vm]
                    for row in index.by_destination.get(pool, [])
                    if self._counts_as_capacity(row)
                ),
            )
        return self.capacities[pool]

    def _counts_as_capacity(self, row: VmRow) -> bool:
        if row.phase in REBOOT_PHASES:
            return True
        return row.phase not in FAILED_PHASES and row.vm not in self.down


class PlanCache:
    """Keeps the index of a plan and the availability of its pools between steps.

    A plan is identified by its ``rows`` object, which is never changed in place,
    and a configuration by its number.
    """

    __slots__ = (
        "availability",
        "configuration_number",
        "index",
        "regional_state",
        "rows",
    )

    def __init__(self) -> None:
        self.rows: dict[str, VmRow] | None = None
        self.configuration_number = 0
        self.regional_state: FleetState | None = None
        self.index = PlanIndex()
        self.availability = Availability(frozenset(), {})

    def limit_to_region(self, state: FleetState, zones: Set[str]) -> FleetState:
        """Return a configuration with only the VMs of some zones; empty means all."""
        if self.regional_state is None or self.regional_state.number != state.number:
            vms = {name: vm for name, vm in state.vms.items() if vm.zone in zones}
            is_complete = not zones or len(vms) == len(state.vms)
            self.regional_state = state if is_complete else replace(state, vms=vms)
        return self.regional_state

    def find_index(
        self, plan: RegionPlan, state: FleetState, settings: PlannerSettings
    ) -> PlanIndex:
        """Return the index of a plan under a configuration."""
        if self.rows is not plan.rows or self.configuration_number != state.number:
            self.index = PlanIndex.from_plan(plan, state, settings)
            self.rows = plan.rows
            self.configuration_number = state.number
            self.availability = Availability(frozenset(), {})
        return self.index

    def find_availability(self, plan: RegionPlan, down: Set[str]) -> Availability:
        """Return the availability of the pools of the plan that was indexed last."""
        is_filled = bool(self.availability.tallies)
        if not is_filled or self.availability.down != down:
            tallies = count_pools(plan.rows.values(), down)
            self.availability = Availability(down, tallies)
        return self.availability
