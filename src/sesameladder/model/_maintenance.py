"""Maintenance waves: planned reboots of the VMs of some pools."""

from dataclasses import dataclass

DEFAULT_REBOOT_LIMIT_S = 600
DEFAULT_STRAGGLER_LIMIT_S = 900


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """One planned reboot of every VM of the named pools."""

    id: str
    """Unique name of the wave."""

    pools: tuple[str, ...]
    """Names of the pools whose VMs are rebooted."""

    start_s: float
    """Earliest start, in seconds since the Unix epoch."""

    deadline_s: float
    """Latest end, in seconds since the Unix epoch."""

    reboot_limit_s: float = DEFAULT_REBOOT_LIMIT_S
    """Time in seconds after which a VM that did not return is set aside."""

    straggler_limit_s: float = DEFAULT_STRAGGLER_LIMIT_S
    """Time in seconds that a stop waits for running tasks."""

    concurrency: int = 0
    """VMs rebooted at the same time over all pools; 0 leaves it to the budgets."""
