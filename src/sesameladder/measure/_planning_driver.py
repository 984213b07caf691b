"""Runs planners on the fake region, one step per second."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from sesameladder.environment import FakeStore
from sesameladder.measure._planning_fleet import build_entry_instances
from sesameladder.measure._planning_region import FakeRegion, RegionTimes
from sesameladder.model import FleetState
from sesameladder.planning import (
    Phase,
    Planner,
    PlannerSession,
    PlannerSettings,
    RegionPlan,
    VmRow,
    WritePlan,
)

STEP_S = 1.0
FIRST_PLAN_S = 10.0


@dataclass(slots=True)
class PlannerDriver:
    """Runs one planner without a store, for measurements."""

    region: FakeRegion
    """Region that the planner manages."""

    planner: Planner
    """Planner that is measured."""

    plan: RegionPlan
    """Plan after the latest step."""

    moves_started: int = 0
    """Number of moves started so far, including those cancelled later."""

    moves_completed: int = 0
    """Number of moves so far whose VM was released by its old pool."""

    def run(self, seconds: float, is_done: Callable[[], bool] | None = None) -> float:
        """Run for some seconds or until a condition holds; return the time passed."""
        start = self.region.now
        while self.region.now - start < seconds:
            self.region.advance(STEP_S)
            self.step()
            if is_done is not None and is_done():
                break
        return self.region.now - start

    def step(self) -> None:
        """Run one planner step and apply its actions to the region."""
        region = self.region
        actions = self.planner.step(region.observe(self.plan), self.plan, region.now)
        for action in actions:
            if isinstance(action, WritePlan):
                self.moves_started += _count_new(self.plan, action.plan, _is_moving)
                self.moves_completed += _count_new(self.plan, action.plan, _is_released)
                self.plan = action.plan
        region.publish(self.plan)
        region.carry_out(actions)

    def is_settled(self) -> bool:
        """Return whether every VM serves the pool of its configuration."""
        vms = self.region.state.vms
        return all(
            row.phase is Phase.SERVING
            and row.vm in vms
            and vms[row.vm].pool == row.pool
            for row in self.plan.rows.values()
        )


def start_driver(
    state: FleetState, random: Random, times: RegionTimes | None = None
) -> PlannerDriver:
    """Return a driver whose region has applied its first plan."""
    entries = build_entry_instances(state)
    region = FakeRegion(state, random, entries, times or RegionTimes())
    planner = Planner("north", 1, PlannerSettings(instances=entries))
    driver = PlannerDriver(region, planner, RegionPlan.empty("north"))
    driver.run(FIRST_PLAN_S)
    return driver


def _is_moving(row: VmRow | None) -> bool:
    return row is not None and row.target_pool is not None


def _is_released(row: VmRow | None) -> bool:
    return row is not None and row.phase is Phase.RELEASED


def _count_new(
    old: RegionPlan, new: RegionPlan, is_counted: Callable[[VmRow | None], bool]
) -> int:
    """Return how many rows have a property that they lacked in the old plan."""
    return sum(
        is_counted(row) and not is_counted(old.rows.get(row.vm))
        for row in new.rows.values()
    )


@dataclass(slots=True)
class SessionDriver:
    """Runs planner sessions with a fake store, for tests of failures."""

    region: FakeRegion
    """Region that the sessions manage."""

    store: FakeStore
    """Store that holds the plan and the planner role."""

    revisions: list[int] = field(default_factory=list)
    """Store revisions of the published plans, oldest first."""

    @property
    def plan(self) -> RegionPlan:
        """Plan in the store; empty before the first write."""
        entry = self.store.entries.get("plan/north")
        return (
            RegionPlan.from_bytes(entry.value) if entry else RegionPlan.empty("north")
        )

    def run(
        self,
        session: PlannerSession,
        seconds: float,
        is_done: Callable[[RegionPlan], bool] | None = None,
    ) -> bool:
        """Run a session for some seconds; return whether the condition became true."""
        end = self.region.now + seconds
        while self.region.now < end:
            self.region.advance(STEP_S)
            self.step(session)
            if is_done is not None and is_done(self.plan):
                return True
        return False

    def step(self, session: PlannerSession) -> None:
        """Run one step of a session and apply its actions to the region."""
        actions = session.run(self.region.observe)
        self.publish()
        if not session.role.lost:
            self.region.carry_out(actions)

    def publish(self) -> None:
        """Publish the plan in the store to the dispatchers if it has a new revision."""
        entry = self.store.entries.get("plan/north")
        if entry is not None and entry.revision not in self.revisions[-1:]:
            self.revisions.append(entry.revision)
            self.region.publish(RegionPlan.from_bytes(entry.value))
