"""Plans the lending and maintenance of VMs, without I/O or clocks."""

from sesameladder.fleet._incarnations import IncarnationTracker
from sesameladder.fleet._lending import LendingPlan, LendingPlanner
from sesameladder.fleet._maintenance import MaintenancePlan, MaintenancePlanner
from sesameladder.fleet._model import (
    DEMAND_ROUNDING_CORES,
    EndedIncarnation,
    OrderedVm,
    PoolOrders,
    PoolSummary,
    Vm,
    VmPhase,
    Wave,
)
from sesameladder.fleet._order_gap import OrderGap

__all__ = [
    "DEMAND_ROUNDING_CORES",
    "EndedIncarnation",
    "IncarnationTracker",
    "LendingPlan",
    "LendingPlanner",
    "MaintenancePlan",
    "MaintenancePlanner",
    "OrderGap",
    "OrderedVm",
    "PoolOrders",
    "PoolSummary",
    "Vm",
    "VmPhase",
    "Wave",
]
