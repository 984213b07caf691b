"""Rows of a region's plan: one per VM and one per cell dispatcher."""

from dataclasses import dataclass
from enum import StrEnum


class Phase(StrEnum):
    """Phase of a VM in the region's plan."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    CHECKING = "checking"
    SET_ASIDE = "set_aside"
    RELEASED = "released"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class VmRow:
    """State of one VM; only a VM in phase ``serving`` receives new work."""

    vm: str
    """Name of the VM."""

    pool: str | None
    """Pool that the VM belongs to; None while it is between two pools."""

    phase: Phase
    """Phase of the VM's stop, move or repair."""

    phase_started_at: float
    """Start of the phase, in seconds since the Unix epoch."""

    target_pool: str | None = None
    """Pool that a move leads to; None outside a move."""

    permit: str | None = None
    """Reason why the VM counts as stopped, for example ``wave:<id>``."""

    zone: str = ""
    """Availability zone that the VM runs in."""

    version: int = 0
    """Plan version that wrote the phase; a drain report has to cover it."""

    lender: str | None = None
    """Spare pool that lent the VM; None when the VM is not lent."""

    maintained_at: float = 0.0
    """End of the last reboot, in seconds since the Unix epoch."""

    attempts: int = 0
    """Stops in a row that were abandoned because of stragglers."""

    retry_at: float = 0.0
    """Earliest next planned stop, in seconds since the Unix epoch."""


@dataclass(frozen=True, slots=True)
class DispatcherRow:
    """The entry instance that dispatches one cell."""

    pool: str
    """Pool of the cell."""

    zone: str
    """Availability zone of the cell."""

    instance: str
    """Entry instance that owns the cell."""

    previous_owner: str | None = None
    """Owner before a change; None once the change is complete."""

    previous_owner_gone: bool = False
    """Whether the platform's VM list shows the previous owner as gone."""

    epoch: int = 1
    """Number of owners so far; increases with each change."""
