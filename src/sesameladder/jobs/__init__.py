"""Jobs and their placement on workers.

The package decides only: it opens no sockets and reads no clocks.
"""

from sesameladder.jobs._advice import MAX_WORKERS_PER_REQUEST
from sesameladder.jobs._backlog import Backlog
from sesameladder.jobs._capped_starts import (
    CappedStarts,
    PoolCaps,
    explain_impossible_gang,
)
from sesameladder.jobs._commands import (
    AdviceCommand,
    Command,
    PaceCommand,
    StartCommand,
    StopCommand,
)
from sesameladder.jobs._demand import CoreDemand
from sesameladder.jobs._durations import DEFAULT_DURATION_S
from sesameladder.jobs._forecast import (
    BacklogForecast,
    DurationCorrection,
    Excess,
    OrganisationForecast,
    QueueForecast,
    find_excess,
)
from sesameladder.jobs._held_bytes import SUBTASK_BYTES, estimate_held_bytes
from sesameladder.jobs._job import Job, Step, Submission, Subtask
from sesameladder.jobs._job_table import JobTable
from sesameladder.jobs._load import PoolLoad
from sesameladder.jobs._model import (
    AdvicePolicy,
    Configuration,
    EndReason,
    JobRecord,
    JobSpec,
    JobState,
    PoolPolicy,
    QueuePolicy,
    RequestLimits,
    Resources,
    RunEnd,
    RunStatus,
    StartOrder,
    StartOutcome,
    StepSpec,
    SubtaskId,
    WorkerRecord,
    WorkerReport,
)
from sesameladder.jobs._ordering import OVERDUE_FACTOR
from sesameladder.jobs._progress import (
    ProgressInvalid,
    decode_progress,
    encode_progress,
)
from sesameladder.jobs._runs import Run, WorkerView
from sesameladder.jobs._scheduler import PoolScheduler
from sesameladder.jobs._tracking import TrackedWorker, UnreadWorkers

__all__ = [
    "DEFAULT_DURATION_S",
    "MAX_WORKERS_PER_REQUEST",
    "OVERDUE_FACTOR",
    "SUBTASK_BYTES",
    "AdviceCommand",
    "AdvicePolicy",
    "Backlog",
    "BacklogForecast",
    "CappedStarts",
    "Command",
    "Configuration",
    "CoreDemand",
    "DurationCorrection",
    "EndReason",
    "Excess",
    "Job",
    "JobRecord",
    "JobSpec",
    "JobState",
    "JobTable",
    "OrganisationForecast",
    "PaceCommand",
    "PoolCaps",
    "PoolLoad",
    "PoolPolicy",
    "PoolScheduler",
    "ProgressInvalid",
    "QueueForecast",
    "QueuePolicy",
    "RequestLimits",
    "Resources",
    "Run",
    "RunEnd",
    "RunStatus",
    "StartCommand",
    "StartOrder",
    "StartOutcome",
    "Step",
    "StepSpec",
    "StopCommand",
    "Submission",
    "Subtask",
    "SubtaskId",
    "TrackedWorker",
    "UnreadWorkers",
    "WorkerRecord",
    "WorkerReport",
    "WorkerView",
    "decode_progress",
    "encode_progress",
    "estimate_held_bytes",
    "explain_impossible_gang",
    "find_excess",
]
