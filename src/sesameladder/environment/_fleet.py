"""The platform's VM list and VM actions."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


class VmState(StrEnum):
    """State of a VM in the platform's VM list, which lags behind the VM."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class VmStatus:
    """One row of the platform's VM list."""

    name: str
    """Name of the VM; entry VMs are listed too."""

    zone: str
    """Name of the availability zone."""

    state: VmState
    """State that the platform last recorded."""

    changed_at: float
    """Time of the last change, in seconds since the Unix epoch."""


class Fleet(Protocol):
    """Operations on VMs; each raises ``PlatformError`` when it fails."""

    def list_vms(self) -> list[VmStatus]:
        """Return the VM list, which lags behind the state of the VMs."""

    def drain(self, vm: str) -> None:
        """Ask a VM to accept no new tasks; idempotent."""

    def reboot(self, vm: str) -> None:
        """Reboot a VM; idempotent while the reboot is running."""
