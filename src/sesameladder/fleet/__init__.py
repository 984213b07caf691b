"""Plans the lending and maintenance of VMs, without I/O or clocks."""

from sesameladder.fleet._lending import LendingPlan, LendingPlanner
from sesameladder.fleet._lives import IncarnationTracker
from sesameladder.fleet._model import (
    DEMAND_ROUNDING_CORES,
    EndedIncarnation,
    PoolOrders,
    PoolSummary,
    Vm,
    VmPhase,
    Wave,
)
from sesameladder.fleet._upkeep import MaintenancePlan, MaintenancePlanner

__all__ = [
    "DEMAND_ROUNDING_CORES",
    "EndedIncarnation",
    "IncarnationTracker",
    "LendingPlan",
    "LendingPlanner",
    "MaintenancePlan",
    "MaintenancePlanner",
    "PoolOrders",
    "PoolSummary",
    "Vm",
    "VmPhase",
    "Wave",
]
