"""The working state of one planner step and the planner's memory."""

from collections.abc import Set
from dataclasses import dataclass, field

from sesameladder.planning._actions import (
    Action,
    CheckHealth,
    RaiseAlarm,
)
from sesameladder.planning._basis import Availability
from sesameladder.planning._draft import PlanDraft
from sesameladder.planning._draft_rows import DrainReport
from sesameladder.planning._estimates import StopEstimates
from sesameladder.planning._observation import CellReport, Observation
from sesameladder.planning._plan import cell_key
from sesameladder.planning._rows import VmRow
from sesameladder.planning._settings import PlannerSettings
from sesameladder.planning._survey import PlanIndex


@dataclass(slots=True)
class PlannerMemory:
    """What a planner remembers between steps; a new planner starts without it."""

    estimates: StopEstimates
    """Seen drain and reboot times."""

    suspected_since: dict[str, float] = field(default_factory=dict)
    """Start of the current suspicion by VM."""

    failure_counts: dict[str, int] = field(default_factory=dict)
    """Failures in a row by VM; each doubles the time until it returns."""

    last_action_at: dict[tuple[str, str], float] = field(default_factory=dict)
    """Time of the last action by kind and VM."""

    raised_alarms: set[tuple[str, str]] = field(default_factory=set)
    """Alarms that were raised, by kind and subject."""

    reboot_started_at: dict[str, float] = field(default_factory=dict)
    """Start of the current reboot by VM."""

    mean_demand: dict[str, float] = field(default_factory=dict)
    """Smoothed mean demand by pool, in slots."""

    first_demand_at: float | None = None
    """Time of the first demand reports."""

    last_demand_at: float = 0.0
    """Time of the last demand reports."""

    silent_since: dict[str, float] = field(default_factory=dict)
    """Time since when an owner of cells does not report, by instance."""

    shortage_since: dict[str, float] = field(default_factory=dict)
    """Time since when a pool lacks VMs."""

    surplus_since: dict[str, float] = field(default_factory=dict)
    """Time since when a pool could do without a lent VM."""


@dataclass(slots=True)
class PlannerStep:
    """What the parts of one planner step read and change."""

    observation: Observation
    """What the planner sees."""

    draft: PlanDraft
    """The next plan."""

    index: PlanIndex
    """Rows of the plan that the step was given."""

    availability: Availability
    """Pool figures of the plan that the step was given."""

    settings: PlannerSettings
    """Times and limits."""

    memory: PlannerMemory
    """What earlier steps left."""

    gone: Set[str]
    """VMs and entry instances that the platform lists as gone."""

    absent: Set[str]
    """VMs that are unreachable or that the platform does not list as live."""

    actions: list[Action] = field(default_factory=list)
    """Actions so far."""

    @property
    def now(self) -> float:
        """Time of the step, in seconds since the Unix epoch."""
        return self.observation.now

    def find_owner_report(self, row: VmRow) -> CellReport | None:
        """Return the report of the dispatcher that owns a VM's cell, if alive."""
        key = cell_key(row.pool or "", row.zone)
        owner = self.draft.base.dispatchers.get(key)
        report = self.observation.cells.get(key)
        if owner is None or report is None or not report.alive or not report.granting:
            return None
        return report if report.instance == owner.instance else None

    def find_drain_report(self, row: VmRow) -> DrainReport | None:
        """Return what the dispatcher of a VM states about its grants."""
        report = self.find_owner_report(row)
        if report is None:
            return None
        outstanding = report.outstanding.get(row.vm, 0)
        return DrainReport(report.applied_plan_version, outstanding)

    def mark_action_if_due(self, kind: str, vm: str, interval_s: float) -> bool:
        """Tell whether an action is due again, and if so, note it as done."""
        last = self.memory.last_action_at.get((kind, vm))
        if last is not None and self.now - last < interval_s:
            return False
        self.memory.last_action_at[(kind, vm)] = self.now
        return True

    def check_health(self, row: VmRow, interval_s: float) -> bool:
        """Ask for a health check; True when the VM was healthy in this phase."""
        result = self.observation.health.get(row.vm)
        is_recent = result is not None and result.checked_at > row.phase_started_at
        if is_recent and result is not None and result.healthy:
            return row.vm not in self.absent
        if self.mark_action_if_due("health", row.vm, interval_s):
            self.actions.append(CheckHealth(row.vm))
        return False

    def raise_alarm(self, kind: str, subject: str, text: str) -> None:
        """Raise an alarm unless it was raised and not cleared."""
        if (kind, subject) not in self.memory.raised_alarms:
            self.memory.raised_alarms.add((kind, subject))
            self.actions.append(RaiseAlarm(kind, subject, text))

    def clear_alarm(self, kind: str, subject: str) -> None:
        """Let an alarm be raised again."""
        self.memory.raised_alarms.discard((kind, subject))
