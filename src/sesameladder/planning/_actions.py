"""What the planner asks the entry process to do after a step.

``WritePlan`` comes last in a step's list. The other actions depend only on the
plan that the step was given, so they hold whether the write succeeds or not.
Before each VM action the caller checks that it still holds the planner's role.
"""

from dataclasses import dataclass

from sesameladder.planning._plan import RegionPlan


@dataclass(frozen=True, slots=True)
class WritePlan:
    """Replace the region's plan by compare-and-swap."""

    plan: RegionPlan
    """The next plan."""


@dataclass(frozen=True, slots=True)
class DrainVm:
    """Ask the platform to let a VM accept no new task."""

    vm: str
    """Name of the VM."""


@dataclass(frozen=True, slots=True)
class RebootVm:
    """Ask the platform to reboot a drained VM."""

    vm: str
    """Name of the VM."""


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask a worker whether it accepts tasks."""

    vm: str
    """Name of the VM."""


@dataclass(frozen=True, slots=True)
class RequestCheckpoint:
    """Ask a VM's dispatcher to checkpoint the VM's running stragglers."""

    vm: str
    """Name of the VM."""


@dataclass(frozen=True, slots=True)
class RaiseAlarm:
    """Tell the operators about something that needs their attention."""

    kind: str
    """Stable name of the alarm, for example ``set_aside``."""

    subject: str
    """VM, pool, wave or cell that the alarm is about."""

    text: str
    """Message for the operators."""


Action = WritePlan | DrainVm | RebootVm | CheckHealth | RequestCheckpoint | RaiseAlarm
