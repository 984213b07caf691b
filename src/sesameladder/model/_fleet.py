"""The fleet's configuration after a sequence of tickets."""

from dataclasses import dataclass, field

from sesameladder.model._budget import AvailabilityBudget
from sesameladder.model._maintenance import MaintenanceWave
from sesameladder.model._pool import Pool
from sesameladder.model._team import Team
from sesameladder.model._vm import VirtualMachine


@dataclass(frozen=True, slots=True)
class FleetState:
    """Configuration after ticket ``number``; its dictionaries must not be changed."""

    number: int = 0
    """Number of the last ticket that was applied; 0 before the first."""

    pools: dict[str, Pool] = field(default_factory=dict)
    """Pools by name."""

    vms: dict[str, VirtualMachine] = field(default_factory=dict)
    """VMs by name."""

    budgets: dict[str, AvailabilityBudget] = field(default_factory=dict)
    """Availability budgets by pool name."""

    teams: dict[str, Team] = field(default_factory=dict)
    """Teams by name."""

    waves: dict[str, MaintenanceWave] = field(default_factory=dict)
    """Maintenance waves by id."""

    def list_pool_vms(self, pool: str) -> list[VirtualMachine]:
        """Return the VMs that the configuration assigns to a pool, sorted by name."""
        members = [vm for vm in self.vms.values() if vm.pool == pool]
        return sorted(members, key=lambda vm: vm.name)
