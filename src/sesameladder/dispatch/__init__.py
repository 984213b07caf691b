"""The dispatcher of one cell: slots, queue, estimates, fairness and retries.

Plain objects with an injected clock value and random source; no sockets and
no threads.
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
