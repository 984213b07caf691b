"""The working state of one planner step and the planner's memory."""

from collections.abc import Set
from dataclasses import dataclass, field

from sesameladder.planning._actions import (
    Action,
    CheckHealth,
    RaiseAlarm,
)
from sesameladder.planning._draft import PlanDraft
from sesameladder.planning._draft_rows import DrainReport
from sesameladder.planning._estimates import StopEstimates
from sesameladder.planning._observation import CellReport, Observation
from sesameladder.planning._plan import cell_key
from sesameladder.planning._plan_cache import Availability
from sesameladder.planning._plan_index import PlanIndex
from sesameladder.planning._rows import VmRow
from sesameladder.planning._settings import PlannerSettings


@dataclass(slots=True)
class PlannerMemory:
    """Estimates and timers that a planner keeps between steps; not stored."""

    estimates: StopEstimates
    """Estimates from observed drain and reboot times."""

    suspected_since: dict[str, float] = field(default_factory=dict)
    """Time since when a VM has been suspected, by VM."""

    failure_counts: dict[str, int] = field(default_factory=dict)
    """Consecutive failures by VM; each doubles the delay before its return."""

    last_action_at: dict[tuple[str, str], float] = field(default_factory=dict)
    """Time of the last action, by kind and VM."""

    raised_alarms: set[tuple[str, str]] = field(default_factory=set)
    """Kind and subject of the alarms that are raised and not cleared."""

    reboot_started_at: dict[str, float] = field(default_factory=dict)
    """Start of the current reboot, by VM."""

    mean_demand: dict[str, float] = field(default_factory=dict)
    """Smoothed demand by pool, in slots."""

    first_demand_at: float | None = None
    """Time of the first demand reports."""

    last_demand_at: float = 0.0
    """Time of the last demand reports."""

    silent_since: dict[str, float] = field(default_factory=dict)
    """Time since when an owner of cells has sent no report, by instance."""

    shortage_since: dict[str, float] = field(default_factory=dict)
    """Time since when a pool has been short of capacity, by pool."""

    surplus_since: dict[str, float] = field(default_factory=dict)
    """Time since when a pool has had a surplus of lent VMs, by pool."""


@dataclass(slots=True)
class PlannerStep:
    """Inputs, draft and actions that the stages of one planner step share."""

    observation: Observation
    """State of the region that the step reacts to."""

    draft: PlanDraft
    """The next plan under construction."""

    index: PlanIndex
    """Index of the plan that the step was given."""

    availability: Availability
    """Availability of the pools in the plan that the step was given."""

    settings: PlannerSettings
    """Times and limits of the planner."""

    memory: PlannerMemory
    """Estimates and timers from earlier steps."""

    gone: Set[str]
    """VMs and entry instances that the platform lists as gone."""

    absent: Set[str]
    """VMs that are unreachable or that the platform does not list as live."""

    actions: list[Action] = field(default_factory=list)
    """Actions collected so far."""

    @property
    def now(self) -> float:
        """Time of the step, in seconds since the Unix epoch."""
        return self.observation.now

    def find_owner_report(self, row: VmRow) -> CellReport | None:
        """Return the report on a VM's cell if its owner is alive and grants slots."""
        key = cell_key(row.pool or "", row.zone)
        owner = self.draft.base.dispatchers.get(key)
        report = self.observation.cells.get(key)
        if owner is None or report is None or not report.alive or not report.granting:
            return None
        return report if report.instance == owner.instance else None

    def find_drain_report(self, row: VmRow) -> DrainReport | None:
        """Return the outstanding grants of a VM as its dispatcher reports them."""
        report = self.find_owner_report(row)
        if report is None:
            return None
        outstanding = report.outstanding.get(row.vm, 0)
        return DrainReport(report.applied_plan_version, outstanding)

    def mark_action_if_due(self, kind: str, vm: str, interval_s: float) -> bool:
        """Return whether an action is due again, and record its time if it is."""
        last = self.memory.last_action_at.get((kind, vm))
        if last is not None and self.now - last < interval_s:
            return False
        self.memory.last_action_at[(kind, vm)] = self.now
        return True

    def check_health(self, row: VmRow, interval_s: float) -> bool:
        """Return whether a check in the current phase found the VM healthy.

        False if the VM is absent. Without a healthy result, a check is requested if
        one is due.
        """
        result = self.observation.health.get(row.vm)
        is_recent = result is not None and result.checked_at > row.phase_started_at
        if is_recent and result is not None and result.healthy:
            return row.vm not in self.absent
        if self.mark_action_if_due("health", row.vm, interval_s):
            self.actions.append(CheckHealth(row.vm))
        return False

    def raise_alarm(self, kind: str, subject: str, text: str) -> None:
        """Raise an alarm unless it is raised already."""
        if (kind, subject) not in self.memory.raised_alarms:
            self.memory.raised_alarms.add((kind, subject))
            self.actions.append(RaiseAlarm(kind, subject, text))

    def clear_alarm(self, kind: str, subject: str) -> None:
        """Clear an alarm so that it can be raised again."""
        self.memory.raised_alarms.discard((kind, subject))
