"""Updates of estimates and health from the outcomes of grants."""

from collections import OrderedDict
from dataclasses import dataclass

from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._grants import Grant
from sesameladder.dispatch._shares import correct_share
from sesameladder.dispatch._types import (
    Demand,
    GrantOutcome,
    LeavingSource,
    OutcomeKind,
)

MAX_PROGRESS_ENTRIES = 4096
FAILURE_KINDS = (OutcomeKind.FAILED, OutcomeKind.CONNECTION_FAILED)


@dataclass(frozen=True, slots=True)
class JobProgress:
    """Progress of a checkpointed job."""

    ran_ms: float
    """Run time up to the last checkpoint, in milliseconds."""

    submitted_at: float
    """Time in seconds at which the request was first submitted."""


class OutcomeRecorder:
    """Passes outcomes on to estimates, outlier detection and fair shares."""

    __slots__ = ("cell", "progress")

    def __init__(self, cell: CellState) -> None:
        self.cell = cell
        self.progress: OrderedDict[str, JobProgress] = OrderedDict()

    def record(self, grant: Grant, outcome: GrantOutcome, now: float) -> None:
        """Apply the outcome of a grant to everything that depends on it."""
        ran_ms = outcome.ran_ms
        correct_share(self.cell, grant, ran_ms)
        if outcome.kind == OutcomeKind.SUCCEEDED:
            self._record_success(grant, ran_ms, now)
        elif outcome.kind in FAILURE_KINDS:
            self._record_failure(grant, outcome.kind, now)
        elif outcome.kind == OutcomeKind.CHECKPOINTED:
            self._record_progress(grant, ran_ms)
        elif outcome.kind == OutcomeKind.NOT_RUN_LEAVING:
            self.cell.leaving.mark_leaving(grant.vm, LeavingSource.WORKER, now)
        elif outcome.kind == OutcomeKind.NOT_RUN_FULL:
            self._block_full_worker(grant, now)
        if grant.is_probe:
            self._end_probe(grant, outcome.kind, now)

    def expected_remaining_ms(self, demand: Demand) -> float:
        """Return the expected remaining run time of a demand, in milliseconds.

        It is at least a tenth of the expected total, also for a job that has run
        longer than expected.
        """
        expected_ms = self.cell.estimates.expected_ms(demand.kind, demand.expected_ms)
        progress = self._progress_of(demand)
        ran_ms = progress.ran_ms if progress is not None else 0.0
        return max(expected_ms - ran_ms, 0.1 * expected_ms)

    def submitted_at(self, demand: Demand, now: float) -> float:
        """Return the time in seconds at which the request was first submitted."""
        progress = self._progress_of(demand)
        return progress.submitted_at if progress is not None else now

    def _progress_of(self, demand: Demand) -> JobProgress | None:
        return self.progress.get(demand.demand_id) if demand.resumed else None

    def _record_success(self, grant: Grant, ran_ms: float, now: float) -> None:
        previous = self.progress.pop(grant.demand_id, None)
        if previous is not None:
            self.cell.estimates.observe(grant.kind, previous.ran_ms + ran_ms)
        elif not grant.resumed:
            self.cell.estimates.observe(grant.kind, ran_ms)
        self.cell.unrunnable_jobs.record_success(grant.kind)
        self.cell.outliers.record_success(grant.vm, now)

    def _record_failure(self, grant: Grant, kind: OutcomeKind, now: float) -> None:
        self.progress.pop(grant.demand_id, None)
        unrunnable_jobs = self.cell.unrunnable_jobs
        is_job_at_fault = unrunnable_jobs.fails_elsewhere(grant.kind, grant.vm)
        is_connection_failure = kind == OutcomeKind.CONNECTION_FAILED
        counts_against_worker = is_connection_failure or not (
            grant.failed_before or is_job_at_fault
        )
        if not is_connection_failure:
            is_first_attempt = not grant.failed_before
            unrunnable_jobs.record_failure(grant.kind, grant.vm, is_first_attempt, now)
        self.cell.outliers.record_failure(grant.vm, counts_against_worker)

    def _record_progress(self, grant: Grant, ran_ms: float) -> None:
        previous = self.progress.pop(grant.demand_id, None)
        total_ms = ran_ms + (previous.ran_ms if previous is not None else 0.0)
        self.progress[grant.demand_id] = JobProgress(total_ms, grant.submitted_at)
        if len(self.progress) > MAX_PROGRESS_ENTRIES:
            self.progress.popitem(last=False)

    def _block_full_worker(self, grant: Grant, now: float) -> None:
        worker = self.cell.workers.by_vm.get(grant.vm)
        if worker is not None:
            worker.blocked_until = now + self.cell.config.full_refusal_backoff_s
            self.cell.workers.schedule_refresh(worker, worker.blocked_until)

    def _end_probe(self, grant: Grant, kind: OutcomeKind, now: float) -> None:
        succeeded: bool | None = None
        if kind == OutcomeKind.SUCCEEDED:
            succeeded = True
        elif kind in FAILURE_KINDS:
            succeeded = False
        self.cell.outliers.end_probe(grant.vm, succeeded, now)
