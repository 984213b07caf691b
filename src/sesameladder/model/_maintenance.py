"""Maintenance waves: planned reboots of the VMs of some pools."""

from dataclasses import dataclass

DEFAULT_REBOOT_LIMIT_S = 600
DEFAULT_STRAGGLER_LIMIT_S = 900


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """A planned reboot of each VM of some pools."""

    id: str
    """Unique id of the wave."""

    pools: tuple[str, ...]
    """Names of the pools whose VMs are rebooted."""

    start_s: float
    """Earliest start, in seconds since the Unix epoch."""

    deadline_s: float
    """Latest end, in seconds since the Unix epoch."""

    reboot_limit_s: float = DEFAULT_REBOOT_LIMIT_S
    """Longest reboot of a VM, in seconds; a VM that exceeds it is set aside."""

    straggler_limit_s: float = DEFAULT_STRAGGLER_LIMIT_S
    """Longest time, in seconds, that a stop waits for the VM's running tasks."""

    concurrency: int = 0
    """Maximum number of VMs rebooted at once over all pools.

    0 means that only the availability budgets limit it.
    """
