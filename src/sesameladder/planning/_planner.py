"""The planner, which derives the next plan and actions from an observation."""

from collections.abc import Callable

from sesameladder.environment import VmState, VmStatus
from sesameladder.planning._actions import Action, WritePlan
from sesameladder.planning._cells import assign_cells, report_silent_owners
from sesameladder.planning._draft import PlanDraft
from sesameladder.planning._draft_rows import RuleContext
from sesameladder.planning._estimates import StopEstimates
from sesameladder.planning._lending import lend_and_return, update_mean_demand
from sesameladder.planning._membership import (
    add_missing,
    mark_failures,
    move_misplaced,
    stop_unconfigured,
)
from sesameladder.planning._observation import Observation
from sesameladder.planning._plan import RegionPlan
from sesameladder.planning._plan_cache import PlanCache
from sesameladder.planning._plan_index import PlanIndex
from sesameladder.planning._rows import Phase, VmRow
from sesameladder.planning._settings import PlannerSettings
from sesameladder.planning._step import PlannerMemory, PlannerStep
from sesameladder.planning._stops import advance_stops
from sesameladder.planning._waves import start_routine_reboots, start_waves

STAGES: tuple[Callable[[PlannerStep], None], ...] = (
    update_mean_demand,
    mark_failures,
    advance_stops,
    add_missing,
    lend_and_return,
    stop_unconfigured,
    move_misplaced,
    start_waves,
    start_routine_reboots,
    assign_cells,
    report_silent_owners,
)


class Planner:
    """Plans one region while its instance holds the planner role.

    A planner keeps only estimates and timers in memory. Everything that a
    successor needs is stored in the plan.
    """

    __slots__ = ("cache", "fence", "memory", "region", "settings")

    def __init__(self, region: str, fence: int, settings: PlannerSettings) -> None:
        self.region = region
        self.fence = fence
        self.settings = settings
        self.cache = PlanCache()
        self.memory = PlannerMemory(
            StopEstimates(settings.drain_prior_s, settings.reboot_prior_s)
        )

    def step(
        self, observation: Observation, plan: RegionPlan, now: float
    ) -> list[Action]:
        """Return the actions that follow from the plan in the store.

        The list is empty if the plan has a higher fence or a newer configuration.
        One ``WritePlan`` contains all row changes. Raises ``ValueError`` for the
        plan of another region.
        """
        if plan.region != self.region:
            raise ValueError(
                f"plan of region {plan.region} passed to planner of {self.region}"
            )
        observation.now = now
        step = self._begin_step(observation, plan)
        if step.draft.refuse_outdated_writer() is not None:
            return []
        for stage in STAGES:
            stage(step)
        if step.draft.changed or plan.fence < self.fence:
            step.actions.append(WritePlan(step.draft.finish()))
        return step.actions

    def _begin_step(self, observation: Observation, plan: RegionPlan) -> PlannerStep:
        state = self.cache.limit_to_region(
            observation.configuration, self.settings.instances.keys()
        )
        index = self.cache.find_index(plan, state, self.settings)
        gone, absent = _find_absent(observation, plan)
        down = absent | observation.suspected | _find_unreported(observation, index)
        availability = self.cache.find_availability(plan, down)
        context = RuleContext(state, down, observation.now)
        tallies = availability.copy_tallies()
        return PlannerStep(
            observation,
            PlanDraft(plan, context, self.fence, tallies),
            index,
            availability,
            self.settings,
            self.memory,
            gone,
            absent,
        )


def _find_absent(
    observation: Observation, plan: RegionPlan
) -> tuple[set[str], set[str]]:
    """Return the VMs listed as gone, and those that are unreachable or not live.

    The VM list lags behind and may still show the state from before a finished
    reboot; such entries are ignored.
    """
    gone: set[str] = set()
    absent = set(observation.unreachable)
    for status in observation.vms:
        if status.state is VmState.LIVE:
            continue
        row = plan.rows.get(status.name)
        if row is not None and _is_outdated(row, status):
            continue
        absent.add(status.name)
        if status.state is VmState.GONE:
            gone.add(status.name)
    return gone, absent


def _is_outdated(row: VmRow, status: VmStatus) -> bool:
    return row.phase is Phase.SERVING and row.maintained_at > status.changed_at


def _find_unreported(observation: Observation, index: PlanIndex) -> set[str]:
    """Return the VMs of cells whose dispatcher sends no reports."""
    unreported: set[str] = set()
    for key, (pool, zone) in index.cells.items():
        report = observation.cells.get(key)
        if report is None or not report.alive:
            rows = index.members.get(pool, [])
            unreported.update(row.vm for row in rows if row.zone == zone)
    return unreported
