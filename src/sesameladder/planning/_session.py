"""The body of the planner's loop, which connects role, plan store and planner."""

from collections.abc import Callable

from sesameladder.environment import Store
from sesameladder.planning._actions import Action, RaiseAlarm, WritePlan
from sesameladder.planning._observation import Observation
from sesameladder.planning._plan import PlanMalformed, RegionPlan
from sesameladder.planning._plan_store import (
    PlanNotWritten,
    PlanStore,
    PlanStoreError,
    PlanSuperseded,
    PlanWritten,
    StoredPlan,
)
from sesameladder.planning._planner import Planner
from sesameladder.planning._role import RoleLease
from sesameladder.planning._settings import PlannerSettings


class PlannerSession:
    """Runs the planner of a region on one instance while it holds the role.

    ``clock`` times the role's lease and should be monotonic. ``wall_clock`` returns
    the time for the plan, in seconds since the Unix epoch, and defaults to
    ``clock``. The caller calls ``run`` about once a second and carries out the
    actions that it returns, checking ``role.lost`` before each.
    """

    __slots__ = (
        "plan_store",
        "planner",
        "region",
        "role",
        "settings",
        "stored",
        "wall_clock",
    )

    def __init__(
        self,
        store: Store,
        region: str,
        instance: str,
        clock: Callable[[], float],
        settings: PlannerSettings,
        wall_clock: Callable[[], float] | None = None,
    ) -> None:
        self.region = region
        self.wall_clock = wall_clock or clock
        self.settings = settings
        self.role = RoleLease(store, f"roles/planner/{region}", instance, clock)
        self.plan_store = PlanStore(store, region)
        self.planner: Planner | None = None
        self.stored: StoredPlan | None = None

    def run(self, observe: Callable[[RegionPlan], Observation]) -> list[Action]:
        """Renew or acquire the role, run one planner step and write the plan.

        Returns the actions that the caller has to carry out. The list is empty
        without the role or if the plan can't be read. After a superseded or unsettled
        write, or if the role is lost meanwhile, it holds only alarms.

        Raises ``PlanMalformed`` if the stored plan can't be decoded.
        """
        planner = self._ensure_role()
        stored = self._read() if planner is not None else None
        if planner is None or stored is None:
            return []
        actions = planner.step(observe(stored.plan), stored.plan, self.wall_clock())
        writes = [action for action in actions if isinstance(action, WritePlan)]
        is_current = not writes or self._write(writes[0].plan, stored)
        if is_current and not self.role.lost:
            return [action for action in actions if not isinstance(action, WritePlan)]
        return [action for action in actions if isinstance(action, RaiseAlarm)]

    def _ensure_role(self) -> Planner | None:
        if self.role.renew():
            return self.planner
        self.planner = None
        self.stored = None
        if self.role.acquire_if_vacant():
            self.planner = Planner(self.region, self.role.fence, self.settings)
        return self.planner

    def _read(self) -> StoredPlan | None:
        if self.stored is None:
            try:
                self.stored = self.plan_store.read()
            except PlanStoreError:
                return None
        return self.stored

    def _write(self, plan: RegionPlan, stored: StoredPlan) -> bool:
        """Write a plan; False if the plan that it is based on may be outdated."""
        try:
            outcome = self.plan_store.write(plan, stored.revision)
        except PlanMalformed:
            self.stored = None
            raise
        if isinstance(outcome, PlanWritten):
            self.stored = StoredPlan(plan, outcome.revision)
        elif isinstance(outcome, PlanSuperseded):
            self.stored = outcome.current
        elif not isinstance(outcome, PlanNotWritten):
            self.stored = None
        return isinstance(outcome, PlanWritten | PlanNotWritten)
