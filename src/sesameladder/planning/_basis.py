"""What the planner works out from rows and keeps while they are unchanged."""

from collections.abc import Set
from dataclasses import dataclass, field, replace

from sesameladder.model import FleetState
from sesameladder.planning._buffer import PoolCapacity, survive_of
from sesameladder.planning._draft_rows import PoolTally, count_pools
from sesameladder.planning._plan import RegionPlan
from sesameladder.planning._rows import Phase, VmRow
from sesameladder.planning._settings import PlannerSettings
from sesameladder.planning._survey import Survey

REBOOT_PHASES = (Phase.REBOOTING, Phase.CHECKING)
LOST_PHASES = (Phase.FAILED, Phase.SET_ASIDE)


@dataclass(slots=True)
class Availability:
    """Pool figures that depend on the rows and on the VMs that are down."""

    down: Set[str]
    """VMs that are failed, suspected, unreachable or cut off."""

    tallies: dict[str, PoolTally]
    """Members and available VMs by pool."""

    strengths: dict[str, PoolCapacity] = field(default_factory=dict)
    """Slots of the VMs that a pool has or gets, by pool, filled on demand."""

    def copy_tallies(self) -> dict[str, PoolTally]:
        """Return tallies that a draft may change."""
        return {pool: replace(tally) for pool, tally in self.tallies.items()}

    def find_strength(
        self, survey: Survey, state: FleetState, pool: str
    ) -> PoolCapacity:
        """Return the slots of a pool; not to be changed.

        VMs that a planned stop will return count, failed ones do not.
        """
        if pool not in self.strengths:
            self.strengths[pool] = PoolCapacity.from_vms(
                survive_of(state, pool),
                (
                    state.vms[row.vm]
                    for row in survey.destined.get(pool, [])
                    if self._is_lasting(row)
                ),
            )
        return self.strengths[pool]

    def _is_lasting(self, row: VmRow) -> bool:
        if row.phase in REBOOT_PHASES:
            return True
        return row.phase not in LOST_PHASES and row.vm not in self.down


class BasisCache:
    """Keeps the survey of a plan and its pool figures between steps.

    A plan is known by the identity of its rows, which are never changed in
    place, and a configuration by its number.
    """

    __slots__ = ("availability", "limited", "number", "rows", "survey")

    def __init__(self) -> None:
        self.rows: dict[str, VmRow] | None = None
        self.number = 0
        self.limited: FleetState | None = None
        self.survey = Survey()
        self.availability = Availability(frozenset(), {})

    def limit_state(self, state: FleetState, zones: Set[str]) -> FleetState:
        """Return a configuration without the VMs of other regions' zones."""
        if self.limited is None or self.limited.number != state.number:
            vms = {name: vm for name, vm in state.vms.items() if vm.zone in zones}
            is_whole = not zones or len(vms) == len(state.vms)
            self.limited = state if is_whole else replace(state, vms=vms)
        return self.limited

    def find_survey(
        self, plan: RegionPlan, state: FleetState, settings: PlannerSettings
    ) -> Survey:
        """Return the survey of a plan under a configuration."""
        if self.rows is not plan.rows or self.number != state.number:
            self.survey = Survey.from_plan(plan, state, settings)
            self.rows = plan.rows
            self.number = state.number
            self.availability = Availability(frozenset(), {})
        return self.survey

    def find_availability(self, plan: RegionPlan, down: Set[str]) -> Availability:
        """Return the pool figures of the plan that was surveyed last."""
        is_filled = bool(self.availability.tallies)
        if not is_filled or self.availability.down != down:
            tallies = count_pools(plan.rows.values(), down)
            self.availability = Availability(down, tallies)
        return self.availability
