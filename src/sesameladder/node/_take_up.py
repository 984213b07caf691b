"""Takes the jobs of a pool up as the process has room for them.

What is accepted beyond that waits in the store, and this process keeps one small entry
for each such job. Nothing of it has been started by any owner: jobs with progress are
taken up at once, and a job with a run that only a worker's report shows is read before
the report is applied.
"""

from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Event

from sesameladder.accepted_work import (
    LoadSelection,
    PoolRoom,
    ReleaseMeter,
    WaitingJob,
    WaitingJobs,
    WorkBudget,
)
from sesameladder.jobs import (
    SUBTASK_BYTES,
    JobSpec,
    JobState,
    PoolScheduler,
    Submission,
    WorkerReport,
    estimate_held_bytes,
)
from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import submission_key
from sesameladder.node._supervision import build_thread
from sesameladder.node._telemetry import (
    ACCEPTED_WORK_BYTES,
    ACCEPTED_WORK_LIMIT_BYTES,
    JOBS_IN_STORE,
    log_event,
    log_failure,
    log_warning,
)
from sesameladder.platform import PlatformCallError, StoreClient, StoredItem

CHECK_INTERVAL_S = 0.1  # visits all open jobs; a job is read in some milliseconds
ROOM_INTERVAL_S = 1.0  # sums the open jobs by organisation
MAX_READS = 16  # of waiting jobs at a time; they take some 4 ms each
CANDIDATES = 64  # the first ones may be too large for the room that there is
FREE_SHARE = 1 / 64  # of the limit, from which on waiting jobs are taken up
LOOK_INTERVAL_S = 0.15  # for the end of the process


class StoredJobsRead:
    """Submissions of waiting jobs as read from the store."""

    __slots__ = ("items", "missing")

    def __init__(self, items: list[StoredItem], missing: list[str]) -> None:
        self.items = items
        self.missing = missing
        """Jobs whose submission the store doesn't have any more."""


class StoredJobReader:
    """Thread that reads submissions, so that the owner's thread waits for none."""

    __slots__ = (
        "dependency",
        "pool",
        "post",
        "requests",
        "stopping",
        "store",
        "thread",
    )

    def __init__(
        self,
        pool: str,
        store: StoreClient,
        post: Callable[[StoredJobsRead], None],
        stopping: Event,
    ) -> None:
        self.pool = pool
        self.store = store
        self.post = post
        self.stopping = stopping
        self.requests: SimpleQueue[list[str]] = SimpleQueue()
        self.dependency = DependencyState(f"store:waiting jobs {pool}")
        self.thread = build_thread(f"waiting jobs {pool}", self._run, stopping)

    def request(self, jobs: list[str]) -> None:
        """Read the submissions of some jobs; a ``StoredJobsRead`` message follows."""
        if self.thread.ident is None:
            self.thread.start()
        self.requests.put(jobs)

    def _run(self) -> None:
        while not self.stopping.is_set():
            try:
                jobs = self.requests.get(timeout=LOOK_INTERVAL_S)
            except Empty:
                continue
            self._read(jobs)

    def _read(self, jobs: list[str]) -> None:
        items: list[StoredItem] = []
        missing: list[str] = []
        unread = list(jobs)
        while unread and not self.stopping.is_set():
            try:
                item = self.store.read(submission_key(self.pool, unread[0]))
            except PlatformCallError as error:
                self.dependency.record_failure(error)
                self.stopping.wait(self.dependency.draw_pause())
                continue
            except Exception:
                # Without a message, the job would never be taken up.
                log_failure("waiting_job_unread", pool=self.pool, job=unread[0])
                unread.append(unread.pop(0))
                self.stopping.wait(self.dependency.draw_pause())
                continue
            self.dependency.record_success()
            job = unread.pop(0)
            if item is None:
                log_warning("waiting_job_gone", pool=self.pool, job=job)
                missing.append(job)
            else:
                items.append(item)
        self.post(StoredJobsRead(items, missing))


class TakeUp:
    """Decides which jobs of one pool are in memory; used by the owner's thread only."""

    __slots__ = (
        "budget",
        "checked_at",
        "held_by_organisation",
        "max_built_subtasks",
        "owner",
        "pool",
        "reader",
        "reading",
        "release",
        "released_from_bytes",
        "room_at",
        "scheduler",
        "selection",
        "waiting",
    )

    def __init__(
        self,
        pool: str,
        scheduler: PoolScheduler,
        budget: WorkBudget,
        reader: StoredJobReader,
        now: float,
    ) -> None:
        self.pool = pool
        self.scheduler = scheduler
        self.budget = budget
        self.owner = f"{pool} {scheduler.fence}"
        """Name of this holding of the pool in the budget."""

        budget.add(self.owner)
        self.reader = reader
        self.waiting = WaitingJobs()
        self.reading: dict[str, WaitingJob] = {}
        """Jobs that are being read, with room taken for them."""

        self.selection: LoadSelection | None = None
        """The jobs to take up, while a new owner reads all of them."""

        self.checked_at = self.room_at = -ROOM_INTERVAL_S
        self.held_by_organisation: dict[str, int] = {}
        self.release = ReleaseMeter(now)
        self.released_from_bytes = 0
        """Memory of the ended jobs that ``release`` has counted."""

        self.max_built_subtasks = budget.built_bytes // SUBTASK_BYTES

    # Jobs ------------------------------------------------------------------

    def knows(self, job: str) -> bool:
        """Return whether a job has been taken up, has ended, or waits."""
        is_waiting = job in self.waiting.by_job or job in self.reading
        return is_waiting or self.scheduler.job_table.knows(job)

    def begin_load(self, now: float) -> None:
        """Choose among all jobs in the store from now on, rather than in turn."""
        limit_bytes = self.budget.compute_limit(self.owner)
        self.selection = LoadSelection(limit_bytes, now)

    def end_load(self, now: float) -> None:
        """Take up the chosen jobs; the others wait."""
        selection, self.selection = self.selection, None
        if selection is None:
            return
        for waiting, content in selection.take():
            assert isinstance(content, Submission)
            try:
                if self.budget.try_take(self.owner, waiting.job_bytes):
                    self.scheduler.add_job(content, None, now)
                else:
                    self.waiting.add(waiting)
            except Exception:
                # The other jobs are not read again.
                log_failure("job_take_up_failed", pool=self.pool, job=waiting.job)
        if self.waiting.by_job:
            self._log_waiting("jobs_left_in_store")

    def offer(self, submission: Submission, now: float) -> None:
        """Take a job up of which nothing has been started, or let it wait."""
        waiting = self._describe(submission, now)
        if self.selection is not None:
            for other in self.selection.offer(waiting, submission):
                self.waiting.add(other)
            return
        self._take_or_wait(submission, waiting, now)

    def cancel(self, job: str, now: float) -> bool:
        """Cancel a job that has been taken up or waits; return whether there is one."""
        waiting = self.waiting.remove(job) or self.reading.pop(job, None)
        if waiting is not None:
            self.scheduler.end_unstarted_job(
                job, waiting.queue, JobState.CANCELLED, now
            )
            return True
        is_open = job in self.scheduler.job_table.jobs
        self.scheduler.cancel_job(job, now)
        return is_open

    def is_held_back(self, report: WorkerReport) -> bool:
        """Return whether a report has to wait for jobs that are read first.

        An earlier owner has started them and has not stored that. Applied now, the
        report would have their runs stopped as runs of unknown jobs.
        """
        if not self.waiting.by_job and not self.reading:
            return False
        jobs = {status.subtask.job for status in report.running}
        jobs.update(end.subtask.job for end in report.ended)
        late = jobs & self.waiting.by_job.keys()
        if late:
            self._read([self.waiting.by_job[job] for job in late])
        return bool(late) or not jobs.isdisjoint(self.reading)

    def apply(
        self, message: StoredJobsRead, add: Callable[[StoredItem, str], None]
    ) -> None:
        """Take up the jobs that were read; ``add`` gets each item and its job."""
        prefix = submission_key(self.pool, "")
        for job in message.missing:
            self.reading.pop(job, None)
        for item in message.items:
            job = item.key.removeprefix(prefix)
            # It may have been cancelled meanwhile.
            waiting = self.reading.pop(job, None)
            if waiting is None:
                continue
            try:
                add(item, job)
                taken = self.scheduler.job_table.jobs.get(job)
                if taken is not None:
                    taken.accepted_at = waiting.accepted_at
            except Exception:
                log_failure("job_take_up_failed", pool=self.pool, job=job)

    # Room ------------------------------------------------------------------

    def step(self, now: float) -> None:
        """Measure what is held, and read waiting jobs for which there is room."""
        if now - self.checked_at < CHECK_INTERVAL_S:
            return
        self.checked_at = now
        held_bytes = self._measure_held()
        self.budget.update(self.owner, held_bytes)
        table = self.scheduler.job_table
        table.may_build = table.built_subtasks < self.max_built_subtasks
        if not self.waiting.by_job:
            return
        limit_bytes = self.budget.compute_limit(self.owner)
        if held_bytes and limit_bytes - held_bytes < FREE_SHARE * limit_bytes:
            return
        places = MAX_READS - len(self.reading)
        if places <= 0:
            return
        chosen = []
        for waiting in self.waiting.list_next(CANDIDATES, now):
            if self.budget.try_take(self.owner, waiting.job_bytes):
                chosen.append(waiting)
            if len(chosen) >= places:
                break
        if chosen:
            self._read(chosen)

    def build_room(self, now: float) -> PoolRoom:
        """Return the room to publish, and set the gauges once a second."""
        limit_bytes = self.budget.compute_limit(self.owner)
        held_bytes = self._measure_held()
        table = self.scheduler.job_table
        if now - self.room_at >= ROOM_INTERVAL_S:
            self.room_at = now
            ended_bytes = table.ended_bytes
            self.release.record(ended_bytes - self.released_from_bytes, now)
            self.released_from_bytes = ended_bytes
            self.held_by_organisation = self._sum_by_organisation()
            ACCEPTED_WORK_BYTES.labels(self.pool).set(held_bytes)
            ACCEPTED_WORK_LIMIT_BYTES.labels(self.pool).set(limit_bytes)
            JOBS_IN_STORE.labels(self.pool).set(len(self.waiting.by_job))
        return PoolRoom.from_counts(
            self.budget.limit_bytes,
            limit_bytes,
            held_bytes + self.waiting.waiting_bytes,
            self.release.bytes_per_s,
            self.held_by_organisation,
        )

    def describe_load(self) -> dict[str, int]:
        """Return what is held and what waits in the store, for the log."""
        return {
            "accepted_bytes": self._measure_held(),
            "accepted_limit_bytes": self.budget.compute_limit(self.owner),
            "left_in_store": len(self.waiting.by_job) + len(self.reading),
        }

    def close(self) -> None:
        """Give the room back; the pool has another owner."""
        self.budget.remove(self.owner)

    def count_pending(self) -> dict[str, int]:
        """Return the number of jobs that wait in the store, by queue."""
        counts = self.waiting.count_by_queue()
        for waiting in self.reading.values():
            counts[waiting.queue] = counts.get(waiting.queue, 0) + 1
        return counts

    def _take_or_wait(
        self, submission: Submission, waiting: WaitingJob, now: float
    ) -> None:
        # While others wait, a new job takes its place among them.
        if not self.waiting.by_job and self.budget.try_take(
            self.owner, waiting.job_bytes
        ):
            self.scheduler.add_job(submission, None, now)
            return
        if not self.waiting.by_job and self.selection is None:
            self._log_waiting("jobs_left_in_store", submission.job)
        self.waiting.add(waiting)

    def _describe(self, submission: Submission, now: float) -> WaitingJob:
        durations = self.scheduler.durations
        path_s = durations.estimate_path(submission)
        return WaitingJob(
            submission.job,
            submission.queue,
            submission.organisation,
            submission.revision,
            estimate_held_bytes(submission.spec),
            submission.priority,
            durations.estimate_work(submission),
            path_s,
            submission.stretch * path_s + submission.target_offset_ms / 1000,
            is_long_running(submission.spec),
            now,
        )

    def _read(self, rows: list[WaitingJob]) -> None:
        self.reader.request([waiting.job for waiting in rows])
        for waiting in rows:
            self.waiting.remove(waiting.job)
            self.reading[waiting.job] = waiting

    def _measure_held(self) -> int:
        reading_bytes = sum(waiting.job_bytes for waiting in self.reading.values())
        return self.scheduler.job_table.held_bytes + reading_bytes

    def _sum_by_organisation(self) -> dict[str, int]:
        sums: dict[str, int] = {}
        for job in self.scheduler.job_table.jobs.values():
            name = job.submission.organisation
            if name:
                sums[name] = sums.get(name, 0) + job.waiting_bytes
        for waiting in self.waiting.by_job.values():
            name = waiting.organisation
            if name:
                sums[name] = sums.get(name, 0) + waiting.job_bytes
        return sums

    def _log_waiting(self, event: str, job: str = "") -> None:
        log_event(
            event,
            pool=self.pool,
            job=job,
            waiting_bytes=self.waiting.waiting_bytes,
            **self.describe_load(),
        )


def is_long_running(spec: JobSpec) -> bool:
    """Return whether any step runs until the job is cancelled."""
    return any(step.is_long_running for step in spec.steps)
