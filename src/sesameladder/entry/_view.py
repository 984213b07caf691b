"""The configuration, plan and VM list in effect in this process."""

from collections.abc import Callable
from dataclasses import dataclass, field

from sesameladder.environment import VmState
from sesameladder.model import FleetState
from sesameladder.planning import DispatcherRow, RegionPlan, cell_key


@dataclass(slots=True)
class FleetView:
    """Current configuration, plan and VM list, shared between threads.

    Only the configuration task writes. It replaces whole values and never
    changes a value in place, so that other threads can read without a lock.
    """

    region: str
    """Region of this instance."""

    state: FleetState = field(default_factory=FleetState)
    """Configuration after the latest applied ticket."""

    plan: RegionPlan | None = None
    """The region's plan, or None until one has been received."""

    vm_states: dict[str, VmState] = field(default_factory=dict)
    """States of the VMs that the platform lists as leaving or gone, by name."""

    vm_list_sequence: int = 0
    """Sequence number of the VM list that ``vm_states`` comes from."""

    listeners: list[Callable[[], None]] = field(default_factory=list)
    """Callbacks that the configuration task calls after each change."""

    def notify(self) -> None:
        """Call all listeners after a value changed."""
        for listener in self.listeners:
            listener()

    def find_dispatcher(self, pool: str, zone: str) -> DispatcherRow | None:
        """Return the plan's dispatcher row of a cell, or None if there is none."""
        if self.plan is None:
            return None
        return self.plan.dispatchers.get(cell_key(pool, zone))

    def list_cell_zones(self, pool: str) -> list[str]:
        """Return the sorted zones in which a pool has a dispatcher."""
        if self.plan is None:
            return []
        rows = self.plan.dispatchers.values()
        return sorted(row.zone for row in rows if row.pool == pool)
