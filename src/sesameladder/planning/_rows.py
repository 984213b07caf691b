"""Rows of a region's plan: one per VM and one per cell dispatcher."""

from dataclasses import dataclass
from enum import StrEnum


class Phase(StrEnum):
    """Phase of a VM in the region's plan.

    A planned stop takes a VM from serving to leaving (its worker drains), drained,
    rebooting (until the platform accepts the reboot), checking (until the worker is
    healthy) and back to serving. A move takes it from drained to released, in no
    pool, and to serving in the new pool. A VM that does not return from its reboot
    in time is set aside; one that is gone or stays suspected is failed.
    """

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
    """State of one VM in the plan; only a serving VM receives new work."""

    vm: str
    """Name of the VM."""

    pool: str | None
    """Pool that the VM belongs to; None after its release for a move."""

    phase: Phase
    """Current phase; any phase but serving is part of a stop, move or repair."""

    phase_started_at: float
    """Start of the phase, in seconds since the Unix epoch."""

    target_pool: str | None = None
    """Destination pool of the current move; None outside a move."""

    permit: str | None = None
    """Reason why the VM is stopped or failed, for example ``wave:<id>``."""

    zone: str = ""
    """Availability zone that the VM runs in."""

    version: int = 0
    """Plan version that set the phase; a drain report needs at least this version."""

    lender: str | None = None
    """Spare pool that lent the VM; None if the VM is not lent."""

    maintained_at: float = 0.0
    """End of the last reboot, in seconds since the Unix epoch."""

    attempts: int = 0
    """Consecutive stops that were abandoned because of stragglers."""

    retry_at: float = 0.0
    """Earliest time of the next planned stop, in seconds since the Unix epoch."""


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
    """Owner before the current change; None once the change is complete."""

    previous_owner_gone: bool = False
    """Whether the platform's VM list shows the previous owner as gone."""

    epoch: int = 1
    """Number of owners so far; increases by one with each change."""
