"""The configuration, plan and VM list that are in force in this process."""

from collections.abc import Callable
from dataclasses import dataclass, field

from sesameladder.environment import VmState
from sesameladder.model import FleetState
from sesameladder.planning import DispatcherRow, RegionPlan, cell_key


@dataclass(slots=True)
class FleetView:
    """Immutable values, replaced whole by the configuration task only."""

    region: str
    """Region of this instance."""

    state: FleetState = field(default_factory=FleetState)
    """Folded configuration."""

    plan: RegionPlan | None = None
    """The region's plan, or None before the first."""

    vm_states: dict[str, VmState] = field(default_factory=dict)
    """VMs that the platform's list shows as not live, by name."""

    vm_list_sequence: int = 0
    """Number of the VM list that ``vm_states`` comes from."""

    listeners: list[Callable[[], None]] = field(default_factory=list)
    """Called after each change, from the configuration task."""

    def notify(self) -> None:
        """Tell all listeners that a value changed."""
        for listener in self.listeners:
            listener()

    def find_dispatcher(self, pool: str, zone: str) -> DispatcherRow | None:
        """Return the dispatcher row of a cell, or None without one."""
        if self.plan is None:
            return None
        return self.plan.dispatchers.get(cell_key(pool, zone))

    def list_cell_zones(self, pool: str) -> list[str]:
        """Return the zones in which a pool has a dispatcher."""
        if self.plan is None:
            return []
        rows = self.plan.dispatchers.values()
        return sorted(row.zone for row in rows if row.pool == pool)
