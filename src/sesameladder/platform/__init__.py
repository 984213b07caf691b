"""Interfaces to the platform: store, VM list, VM actions and worker tasks."""

from sesameladder.platform._errors import (
    PlatformError,
    StoreAnswerLost,
    StoreRefused,
    StoreUnavailable,
    WorkerUnavailable,
)
from sesameladder.platform._fake_store import FakeStore
from sesameladder.platform._fleet import Fleet, VmState, VmStatus
from sesameladder.platform._http_client import PlatformClient
from sesameladder.platform._store import (
    MAX_VALUE_BYTES,
    Store,
    StoreEntry,
    SwapConflict,
    SwapOutcome,
    Swapped,
)
from sesameladder.platform._tasks import HttpWorkerTasks, TaskReport, WorkerTasks

__all__ = [
    "MAX_VALUE_BYTES",
    "FakeStore",
    "Fleet",
    "HttpWorkerTasks",
    "PlatformClient",
    "PlatformError",
    "Store",
    "StoreAnswerLost",
    "StoreEntry",
    "StoreRefused",
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
