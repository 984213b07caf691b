"""Bounds of the work that has been accepted and not ended.

A pool's owner keeps its jobs in memory, and the next owner takes over what lies in the
store. ``WorkBudget`` bounds what one process holds, ``WaitingJobs`` orders the jobs
that stay in the store until there is room, and ``RoomAccount`` lets intakes refuse
what goes beyond it. The package decides only: it opens no sockets and reads no clocks.
"""

from sesameladder.accepted_work._account import (
    RETRY_SPREAD,
    RoomAccount,
    RoomShortage,
    ShortageCause,
)
from sesameladder.accepted_work._budget import WorkBudget
from sesameladder.accepted_work._room import PoolRoom, ReleaseMeter
from sesameladder.accepted_work._waiting import LoadSelection, WaitingJob, WaitingJobs

__all__ = [
    "RETRY_SPREAD",
    "LoadSelection",
    "PoolRoom",
    "ReleaseMeter",
    "RoomAccount",
    "RoomShortage",
    "ShortageCause",
    "WaitingJob",
    "WaitingJobs",
    "WorkBudget",
]
