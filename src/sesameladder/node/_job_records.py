"""Reads the stored records of jobs for a pool's owner."""

from collections.abc import Callable

from sesameladder.jobs import (
    JobRecord,
    JobState,
    PoolScheduler,
    ProgressInvalid,
    decode_progress,
)
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._records import decode_submission
from sesameladder.node._take_up import TakeUp
from sesameladder.node._telemetry import log_event, log_warning
from sesameladder.platform import RecordInvalid, StoredItem


class JobRecords:
    """Decodes records of jobs and passes the jobs on; used by the owner's thread."""

    __slots__ = ("pool", "schedule_removal", "scheduler", "take_up", "undecided")

    def __init__(
        self,
        pool: str,
        scheduler: PoolScheduler,
        take_up: TakeUp,
        schedule_removal: Callable[[str], None],
    ) -> None:
        self.pool = pool
        self.scheduler = scheduler
        self.take_up = take_up
        self.schedule_removal = schedule_removal
        """Has the submission of an ended job removed from the store."""

        self.undecided: set[str] = set()
        """Jobs whose progress can't be read; another version may go on with them."""

    def add(
        self, job: str, value: bytes, revision: int, progress: bytes | None, now: float
    ) -> None:
        """Add a job from its submission and its progress; a known one is ignored."""
        if self.take_up.knows(job):
            return
        record: JobRecord | None = None
        try:
            submission = decode_submission(job, value, revision)
            if progress is not None:
                record = decode_progress(job, progress, submission.spec)
        except RecordInvalid as error:
            self._log_refusal(job, error)
            self._fail_unreadable(job, progress, now)
            return
        except ProgressInvalid as error:
            # What has run isn't known, so neither a start nor a final state is right.
            self._log_refusal(job, error)
            self.undecided.add(job)
            return
        if record is None:
            self.take_up.offer(submission, now)
            return
        if record.state.is_final:
            self.schedule_removal(job)
        self.scheduler.add_job(submission, record, now)

    def add_read(self, item: StoredItem, job: str) -> None:
        """Add a job that has waited in the store; room for it has been taken."""
        now = read_steady_clock()
        try:
            submission = decode_submission(job, item.value, item.revision)
        except RecordInvalid as error:
            self._log_refusal(job, error)
            self._fail_unreadable(job, None, now)
            return
        self.scheduler.add_job(submission, None, now)

    def _fail_unreadable(self, job: str, progress: bytes | None, now: float) -> None:
        """End a job whose submission can't be read, so that its caller is told.

        An older version may have accepted what this one refuses.
        """
        queue = ""
        if progress is not None:
            try:
                record = decode_progress(job, progress, None)
            except ProgressInvalid as error:
                log_event(
                    "job_state_unknown", pool=self.pool, job=job, error=str(error)
                )
                self.undecided.add(job)
                return
            if record.state.is_final:
                self.scheduler.job_table.ended[job] = record.state, now
                self.schedule_removal(job)
                return
            queue = record.queue
        self.scheduler.end_unstarted_job(job, queue, JobState.FAILED, now)

    def _log_refusal(self, job: str, error: Exception) -> None:
        log_warning("job_record_refused", pool=self.pool, job=job, error=str(error))
