"""Model of the fleet: VMs, racks, zones, pools, budgets, teams and waves."""

from sesameladder.model._budget import AvailabilityBudget, FailureDomain
from sesameladder.model._fleet import FleetState
from sesameladder.model._identity import PeerIdentity
from sesameladder.model._maintenance import MaintenanceWave
from sesameladder.model._pool import Pool
from sesameladder.model._team import Team
from sesameladder.model._vm import VirtualMachine
from sesameladder.model._zone import AvailabilityZone, Link, Rack, Region

__all__ = [
    "AvailabilityBudget",
    "AvailabilityZone",
    "FailureDomain",
    "FleetState",
    "Link",
    "MaintenanceWave",
    "PeerIdentity",
    "Pool",
    "Rack",
    "Region",
    "Team",
    "VirtualMachine",
]
