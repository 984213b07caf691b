"""Clients of the platform's store, VM list and VM actions, and of worker tasks."""

from sesameladder.environment._errors import (
    PlatformError,
    StoreCallRejected,
    StoreOutcomeUnknown,
    StoreUnavailable,
    WorkerUnavailable,
)
from sesameladder.environment._fake_store import FakeStore
from sesameladder.environment._fleet import Fleet, VmState, VmStatus
from sesameladder.environment._http_client import PlatformClient
from sesameladder.environment._store import (
    MAX_VALUE_BYTES,
    Store,
    StoreEntry,
    SwapConflict,
    SwapOutcome,
    Swapped,
)
from sesameladder.environment._tasks import HttpWorkerTasks, TaskReport, WorkerTasks

__all__ = [
    "MAX_VALUE_BYTES",
    "FakeStore",
    "Fleet",
    "HttpWorkerTasks",
    "PlatformClient",
    "PlatformError",
    "Store",
    "StoreCallRejected",
    "StoreEntry",
    "StoreOutcomeUnknown",
    "StoreUnavailable",
    "SwapConflict",
    "SwapOutcome",
    "Swapped",
    "TaskReport",
    "VmState",
    "VmStatus",
    "WorkerTasks",
    "WorkerUnavailable",
]
