"""Actions that the planner asks the entry process to carry out after a step.

``WritePlan`` is the last action of a step. The other actions depend only on the
plan that the step was given, so they are valid whether or not the write succeeds.
Before each VM action the caller checks that it still holds the planner role.
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
    """Ask the platform to make a VM's worker refuse new tasks."""

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
    """Report a condition that needs the operators' attention."""

    kind: str
    """Stable name of the kind of alarm, for example ``set_aside``."""

    subject: str
    """VM, pool, wave, cell or entry instance that the alarm is about."""

    text: str
    """Message for the operators."""


Action = WritePlan | DrainVm | RebootVm | CheckHealth | RequestCheckpoint | RaiseAlarm
