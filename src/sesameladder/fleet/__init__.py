"""VMs, pools and upkeep: decisions without sockets or clocks."""

from sesameladder.fleet._lending import LendingPlan, LendingPlanner
from sesameladder.fleet._lives import LifeTracker
from sesameladder.fleet._model import (
    CORE_STEP,
    EndedLife,
    PoolOrders,
    PoolSummary,
    Vm,
    VmPhase,
    Wave,
)
from sesameladder.fleet._upkeep import UpkeepPlan, UpkeepPlanner

__all__ = [
    "CORE_STEP",
    "EndedLife",
    "LendingPlan",
    "LendingPlanner",
    "LifeTracker",
    "PoolOrders",
    "PoolSummary",
    "UpkeepPlan",
    "UpkeepPlanner",
    "Vm",
    "VmPhase",
    "Wave",
]
