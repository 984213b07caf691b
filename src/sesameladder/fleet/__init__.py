"""VMs, pools and upkeep: decisions without sockets or clocks."""

from sesameladder.fleet._model import (
    EndedLife,
    PoolOrders,
    PoolSummary,
    Vm,
    VmPhase,
    Wave,
)
from sesameladder.fleet._upkeep import UpkeepPlan, UpkeepPlanner

__all__ = [
    "EndedLife",
    "PoolOrders",
    "PoolSummary",
    "UpkeepPlan",
    "UpkeepPlanner",
    "Vm",
    "VmPhase",
    "Wave",
]
