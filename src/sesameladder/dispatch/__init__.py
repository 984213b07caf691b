"""The dispatcher of one cell, which is one pool in one availability zone.

It queues demands, grants worker slots, shares them fairly between teams, learns
run times and limits retries. The package opens no sockets and starts no threads;
callers pass in the current time and the source of randomness.
"""

from sesameladder.dispatch._config import DispatcherConfig
from sesameladder.dispatch._dispatcher import Dispatcher, HandOver
from sesameladder.dispatch._types import (
    Decision,
    Demand,
    Granted,
    GrantOutcome,
    LeavingSource,
    OutcomeKind,
    OutstandingGrant,
    Preempt,
    Queued,
    RefusalReason,
    Refused,
    Throttle,
    WorkClass,
    WorkerSpec,
)

__all__ = [
    "Decision",
    "Demand",
    "Dispatcher",
    "DispatcherConfig",
    "GrantOutcome",
    "Granted",
    "HandOver",
    "LeavingSource",
    "OutcomeKind",
    "OutstandingGrant",
    "Preempt",
    "Queued",
    "RefusalReason",
    "Refused",
    "Throttle",
    "WorkClass",
    "WorkerSpec",
]
