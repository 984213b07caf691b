"""Scheduler of one pool: decides which subtask runs on which worker.

The scheduler has no sockets, threads or clock: its methods take events with the
time, and ``schedule`` returns the commands. A subtask has at most one current run
that may be present on a worker, or two if its step allows copies (``_copies.py``); it
waits only without any. A run is given up only when the worker has reported
its end, has blocked its start or has been replaced by another incarnation, or when
the lease of the worker has certainly expired.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

from sesameladder.jobs._advice import AdviceBook
from sesameladder.jobs._capped_starts import CappedStarts
from sesameladder.jobs._commands import Command, StartCommand, StopCommand
from sesameladder.jobs._copies import Copies
from sesameladder.jobs._crashes import CrashRecorder, name_run
from sesameladder.jobs._demand import CoreDemand, estimate_demand
from sesameladder.jobs._durations import DurationTable
from sesameladder.jobs._evacuation import choose_evacuations
from sesameladder.jobs._failures import record_failure
from sesameladder.jobs._gang_placement import plan_gang
from sesameladder.jobs._job import Job, Step, Submission, Subtask
from sesameladder.jobs._job_table import JobTable
from sesameladder.jobs._load import PoolLoad, measure_load
from sesameladder.jobs._model import (
    EndReason,
    JobRecord,
    JobSpec,
    JobState,
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
from sesameladder.jobs._offered_load import OfferedLoad
from sesameladder.jobs._ordering import StepRanking, Urgency
from sesameladder.jobs._pacing import Pacer
from sesameladder.jobs._placement import choose_worker
from sesameladder.jobs._probation import Probation, must_give_up
from sesameladder.jobs._runs import Run, WorkerView, find_max_free_cpu
from sesameladder.jobs._start_window import StartWindow
from sesameladder.jobs._tracking import TrackedWorker, UnreadWorkers

RUNS_PER_TERM = 1000  # run numbers reserved for each owner of a pool
START_RETRY_S = 0.1  # the call without a response has already waited for its timeout
STOP_RETRY_S = 0.6  # a response takes a few ms
NO_ROOM_PAUSE_S = 0.1  # about the time until the next report of the worker
UNREACHABLE_PAUSE_S = 0.5
# An invalid start stays so; without a pause it uses 100 run numbers a second.
INVALID_PAUSE_S = 0.5
# Orders arrive up to 12 s late, and after a network partition has ended.
UNRESOLVED_START_LIMIT_S = 60.0
SET_ASIDE_S = 5.0  # bounds the log lines of an error that persists
MAX_ERROR_CHARACTERS = 200
WAIT_LOG_S = 1.0  # the workers of a pool are read within a second
MAX_LOGGED_WORKERS = 20
MAX_LOGGED_CRASHES = 20

EventLogger = Callable[..., None]


@dataclass(slots=True, eq=False)
class PoolScheduler:
    """State of a pool and the decisions of its owner.

    Times are in seconds of the steady clock, except for ``wall_ms``.
    """

    term: int
    """Number of this period of ownership; rises with each owner."""

    log_event: EventLogger
    """Logs a decision; takes the event name and the fields as keywords."""

    stop_grace_s: float = 0.9
    """Longest time, in seconds, from a stop to the end of its run."""

    job_table: JobTable = field(default_factory=JobTable)
    workers: dict[str, WorkerView] = field(default_factory=dict)
    runs: dict[SubtaskId, Run] = field(default_factory=dict)
    """Current run by subtask, for subtasks that have one.

    A subtask with a copy has a second one in ``copies``.
    """

    copies: Copies = field(default_factory=Copies)

    obsolete_runs: list[Run] = field(default_factory=list)
    """Runs of ended jobs and superseded runs that may still be present."""

    start_window: StartWindow = field(default_factory=StartWindow)
    unanswered_starts: list[Run] = field(default_factory=list)
    """Runs whose start is queued or under way."""

    durations: DurationTable = field(default_factory=DurationTable)
    ranking: StepRanking = field(init=False)
    offered_load: OfferedLoad = field(default_factory=OfferedLoad)
    pacer: Pacer = field(default_factory=Pacer)
    probation: Probation = field(default_factory=Probation)
    crashes: CrashRecorder = field(init=False)
    commands: list[Command] = field(default_factory=list)
    dirty_jobs: dict[str, Job] = field(default_factory=dict)
    """Jobs with changed progress since the last ``take_dirty_jobs``, by identifier."""

    advice: AdviceBook = field(init=False)
    set_aside_until: dict[str, float] = field(default_factory=dict)
    """Time until which nothing of a job is started after an error, by job."""

    subtasks_lost_by_restart: dict[str, list[Subtask]] = field(default_factory=dict)
    """Subtasks whose run may be on a worker's next incarnation, by worker.

    Until the restart was noticed, starts reached that incarnation. The subtasks wait
    for its first report, or until the leases granted to it have expired.
    """

    fence: int = 0
    """Store revision at which this owner took over; the fencing token."""

    unread_workers: UnreadWorkers = field(default_factory=UnreadWorkers)
    """Workers of earlier owners that starts of earlier work wait for."""

    wait_began_at: float | None = None
    """Time since which earlier work waits for workers; None if it does not wait."""

    is_wait_logged: bool = False
    """Whether the log names the workers that earlier work waits for."""

    workers_to_drain: set[str] = field(default_factory=set)
    """Workers that the fleet role ordered to drain, before maintenance or a move."""

    longest_lease_s: float = 0.0
    """Time after which any lease of a worker has certainly expired, in seconds.

    A restarted worker may have one that was meant for its earlier incarnation.
    """

    can_expire_leases: bool = True
    """Whether runs may be given up when leases expire.

    False while a newer owner may have extended the leases of silent workers.
    """

    capped_starts: CappedStarts | None = None
    """What the caps of organisations allow; None while no organisation has one."""

    is_paused: bool = False
    """Whether starts are suspended.

    The store has not confirmed the owner or the list of workers for too long.
    """

    def __post_init__(self) -> None:
        """Create the parts that share the learned durations and other state."""
        self.ranking = StepRanking(self.durations)
        self.advice = AdviceBook(
            lambda event, **fields: self.log_event(event, **fields)
        )
        self.crashes = CrashRecorder(
            self.job_table,
            self.durations,
            self.probation,
            self.dirty_jobs,
            self._is_current,
            lambda event, **fields: self.log_event(event, **fields),
        )

    # Events ----------------------------------------------------------------

    def add_job(
        self, submission: Submission, record: JobRecord | None, now: float
    ) -> None:
        """Add an accepted job with its progress under earlier owners.

        Jobs that are known already are ignored.
        """
        if self.job_table.knows(submission.job):
            return
        if record is not None and record.state.is_final:
            self.job_table.ended[submission.job] = (record.state, now)
            return
        job = self.job_table.add(submission, record, now)
        for subtask in job.iterate_known():
            if any(crash.is_suspected for crash in subtask.crashes.values()):
                self.probation.add(subtask)
        is_inherited = submission.revision < self.fence
        core_s = self.ranking.record_arrival(job, now, is_inherited)
        is_short = not job.is_long_running and not submission.spec.occurrences
        # A new owner reads all earlier jobs at once, which is no demand peak.
        if is_short and job.is_within_rate and not is_inherited:
            self.offered_load.record(core_s, now)
        queue = submission.queue
        self.log_event("job_taken", job=job.id, queue=queue, core_s=round(core_s, 2))
        self._end_if_finished(job, now)

    def end_unstarted_job(
        self, job: str, queue: str, state: JobState, now: float
    ) -> None:
        """End a job that was accepted and has not been taken up."""
        if not self.job_table.knows(job):
            submission = Submission(job, queue, JobSpec("", ()))
            self._end_job(self.job_table.add(submission, None, now), state, now)

    def cancel_job(self, job_id: str, now: float) -> None:
        """Cancel a job and stop its runs."""
        job = self.job_table.jobs.get(job_id)
        if job is not None:
            self._end_job(job, JobState.CANCELLED, now)

    def update_workers(self, records: list[WorkerRecord], now: float) -> None:
        """Apply a new version of the list of this pool's workers."""
        listed = {record.worker for record in records}
        for worker_id in listed:
            self.unread_workers.forget(worker_id)
        for record in records:
            view = self.workers.get(record.worker)
            if view is not None and view.record.born_ms != record.born_ms:
                self._remove_worker(view, now, "worker_reborn")
                view = None
            if view is None:
                view = self.workers[record.worker] = WorkerView(record)
                view.drain_reason = "upkeep" if view.id in self.workers_to_drain else ""
                self.log_event("worker_seen", worker=record.worker)
            else:
                if record.is_draining and not view.record.is_draining:
                    self.log_event("worker_draining", worker=record.worker)
                view.record = record
                view.is_listed = True
        for view in list(self.workers.values()):
            if view.id not in listed:
                if view.is_listed:
                    self.log_event("worker_unlisted", worker=view.id)
                view.is_listed = False

    def apply_report(
        self,
        worker_id: str,
        report: WorkerReport,
        sent_at: float,
        now: float,
        received_at: float | None = None,
    ) -> None:
        """Apply a worker's report of its runs and of the runs that ended.

        ``sent_at`` is the time at which the report was requested, ``received_at``
        that of its arrival if it is applied later.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if report.born_ms and report.born_ms != worker.record.born_ms:
            self._remove_worker(worker, now, "worker_reborn")
            return
        if worker.failed_reports:
            self.log_event(
                "worker_regained",
                worker=worker_id,
                ghosts=len(worker.unresolved_starts),
            )
            self.crashes.withdraw(worker)
        worker.failed_reports = 0
        worker.reset_at = None
        worker.has_new_report = True
        for subtask_id, number in worker.unresolved_starts:
            self.commands.append(StopCommand(worker_id, subtask_id, number))
        for end in report.ended:
            if end.number > worker.last_applied_end:
                self._apply_end(worker, end, now)
        for status in report.running:
            self._apply_status(worker, status, received_at or now, now)
        if report.has_more_ends and not worker.has_unread_ends:
            self.log_event("ends_unread", worker=worker_id, listed=len(report.ended))
        worker.has_unread_ends = report.has_more_ends
        if not report.has_more_ends:
            self._apply_complete_report(worker, report, sent_at, now)
        self.commands.extend(self.pacer.adjust(worker, now))

    def _apply_complete_report(
        self, worker: WorkerView, report: WorkerReport, sent_at: float, now: float
    ) -> None:
        """Apply what follows from a report that leaves out no run and no end."""
        running = {(status.subtask, status.run) for status in report.running}
        ended = {(end.subtask, end.run) for end in report.ended}
        self._release_missing(worker, running | ended, sent_at, now)
        if not worker.has_reported:
            worker.has_reported = True
            for subtask in self.subtasks_lost_by_restart.pop(worker.id, ()):
                subtask.not_before = min(subtask.not_before, now)
            self.log_event("worker_learned", worker=worker.id, running=len(running))

    def apply_report_failure(
        self, worker_id: str, now: float, was_reset: bool = False
    ) -> None:
        """Record that a worker did not respond to the request for a report.

        ``was_reset`` tells whether its connection has ended, as opposed to silence.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if was_reset and worker.reset_at is None:
            worker.reset_at = now
        worker.failed_reports += 1
        if worker.failed_reports == 1:
            self.log_event("worker_silent", worker=worker_id)
        self._release_expired(worker, now)

    def apply_worker_replacement(self, worker_id: str, now: float) -> None:
        """Release the runs of a worker that another incarnation has replaced."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            self._remove_worker(worker, now, "worker_replaced")

    def apply_incarnation_end(
        self, worker_id: str, born_ms: int, now: float, is_planned: bool = False
    ) -> None:
        """Release the runs of an incarnation that has ended.

        A ``born_ms`` of 0 stands for the incarnation that is known here.
        ``is_planned`` tells that maintenance or a move of its VM has ended it.
        """
        self.apply_incarnation_ends([(worker_id, born_ms, is_planned)], now)

    def apply_incarnation_ends(
        self, incarnations: Iterable[tuple[str, int, bool]], now: float
    ) -> None:
        """Release the runs of incarnations that were noticed to have ended together.

        Each is given by its worker, its ``born_ms`` and whether the end was planned.
        """
        ended = []
        for worker_id, born_ms, is_planned in incarnations:
            worker = self.workers.get(worker_id)
            if worker is not None and born_ms in (0, worker.record.born_ms):
                ended.append((worker, is_planned))
            self.unread_workers.record_end(worker_id, born_ms)
        for worker, is_planned in ended:
            if not is_planned and not worker.is_draining:
                self.probation.record_crash(worker, worker.get_noticed_at(now))
        for worker, is_planned in ended:
            self._remove_worker(worker, now, "worker_ended", is_planned)

    def apply_start_outcome(
        self,
        worker_id: str,
        subtask_id: SubtaskId,
        number: int,
        outcome: StartOutcome,
        now: float,
        response_age_s: float | None = None,
    ) -> None:
        """Apply the outcome of an order to start a run.

        ``response_age_s`` is the age of the worker's latest response when the order
        was sent, in seconds.
        """
        run = self._find_run(worker_id, subtask_id, number)
        if run is None:
            return
        if not run.was_unanswered and outcome is not StartOutcome.WITHDRAWN:
            is_full = len(self.unanswered_starts) >= self.start_window.limit
            self.start_window.record_response(now - run.sent_at, is_full, now)
        if outcome is StartOutcome.STARTED:
            run.worker.latest_started_at = max(
                run.worker.latest_started_at, run.sent_at
            )
            run.confirmed_at = run.confirmed_at or now
            run.progress_at = now
            run.retry_at = None
            return
        if run.confirmed_at is not None:
            return
        if outcome is StartOutcome.NOT_SENT and run.was_unanswered:
            # A copy sent before may have started the run: the next one will tell.
            run.retry_at = now + UNREACHABLE_PAUSE_S
            return
        has_response = outcome is not StartOutcome.UNANSWERED
        self.log_event(
            "start_refused" if has_response else "start_unanswered",
            job=subtask_id.job,
            subtask=subtask_id[1:],
            run=number,
            worker=worker_id,
            reason=outcome.value,
        )
        if outcome is StartOutcome.UNANSWERED:
            run.was_unanswered = True
            run.retry_at = now + START_RETRY_S
            if response_age_s is not None:
                known_s = run.response_age_s
                run.response_age_s = (
                    response_age_s if known_s is None else min(response_age_s, known_s)
                )
            run.unanswered_at = now
            return
        if outcome is StartOutcome.SUPERSEDED:
            # The run may have ended as done; the next report of the worker shows it.
            run.was_unanswered = run.is_superseded = True
            run.confirmed_at = now
            run.retry_at = None
            return
        worker = run.worker
        if outcome is StartOutcome.NO_ROOM:
            worker.full_until = now + NO_ROOM_PAUSE_S
        elif outcome in (StartOutcome.NOT_SENT, StartOutcome.UNHEALTHY):
            worker.ejected_until = max(worker.ejected_until, now + UNREACHABLE_PAUSE_S)
        elif outcome is StartOutcome.NO_TICKET:
            self.advice.reject_ticket(run.subtask.step.key, worker_id, now)
        elif outcome is StartOutcome.OTHER_INCARNATION:
            if not run.was_unanswered:
                self._release(run, now)
            self._remove_worker(worker, now, "worker_replaced")
            return
        if run.was_unanswered:
            # A copy of the start may still reach the worker; only a stop blocks it.
            run.is_rejected = True
            run.retry_at = None
            self._stop(run, now)
        else:
            is_invalid = outcome is StartOutcome.INVALID
            self._release(run, now, INVALID_PAUSE_S if is_invalid else 0.0)

    def apply_stop_response(
        self, worker_id: str, subtask_id: SubtaskId, number: int, now: float
    ) -> None:
        """Record that a worker has responded to a stop."""
        run = self._find_run(worker_id, subtask_id, number)
        if run is not None and run.stop_confirmed_at is None:
            run.stop_confirmed_at = now
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.unresolved_starts.pop((subtask_id, number), None)

    def apply_advice(
        self,
        step: tuple[str, int, int],
        tickets: dict[str, str] | None,
        valid_s: float,
        now: float,
    ) -> None:
        """Apply an answer of the advice service; ``AdviceBook.apply`` explains it."""
        self.advice.apply(step, tickets, valid_s, now)

    def set_workers_to_drain(self, workers: set[str]) -> None:
        """Set the workers to drain before their VM's maintenance or move."""
        self.workers_to_drain = workers
        for view in self.workers.values():
            view.drain_reason = "upkeep" if view.id in workers else ""

    # Decisions -------------------------------------------------------------

    def schedule(self, now: float, wall_ms: float) -> list[Command]:
        """Return the commands that follow from the events since the last call."""
        self.job_table.open_due(wall_ms)
        for worker in list(self.workers.values()):
            if worker.failed_reports:
                self._release_expired(worker, now)
        if self.capped_starts is not None:
            self._begin_capped_pass(self.capped_starts, now)
        self._repeat_orders(now)
        for run in choose_evacuations(
            self.workers.values(), self.runs, self.stop_grace_s, now, self.copies.runs
        ):
            self.log_event(
                "subtask_evacuated",
                job=run.subtask.id.job,
                subtask=run.subtask.id[1:],
                worker=run.worker.id,
            )
            self._stop(run, now)
        if not self.is_paused:
            self._place(now)
            self._place_copies(now)
        if self.capped_starts is not None:
            self.capped_starts.end_pass(now)
        for worker in self.workers.values():
            worker.has_new_report = False
        commands, self.commands = self.commands, []
        return commands + self.advice.take_requests()

    def _begin_capped_pass(self, capped_starts: CappedStarts, now: float) -> None:
        views = self.workers.values()
        is_sized = not any(view.unsized_runs for view in views)
        capped_starts.begin_pass(
            self.job_table.open_steps.values(),
            views,
            (row for rows in self.subtasks_lost_by_restart.values() for row in rows),
            (self.term - 1) * RUNS_PER_TERM,
            is_sized and self.knows_earlier_runs(now),
            now,
        )

    def knows_earlier_runs(self, now: float) -> bool:
        """Return whether all runs of earlier owners are known or have expired."""
        if self.unread_workers.has_unlisted(now):
            return False
        unread = [view for view in self.workers.values() if not view.has_reported]
        return not any(self._may_have_unread_runs(view, now) for view in unread)

    def _log_wait(self, now: float, is_over: bool) -> None:
        """Log once which workers earlier work waits for, and the end of the wait."""
        if self.wait_began_at is None:
            if is_over:
                return
            self.wait_began_at = now
        waited_s = now - self.wait_began_at
        if is_over:
            self.wait_began_at, self.is_wait_logged = None, False
            self.log_event("earlier_work_resumed", waited_s=round(waited_s, 3))
        elif waited_s >= WAIT_LOG_S and not self.is_wait_logged:
            self.is_wait_logged = True
            unread = [
                view.id
                for view in self.workers.values()
                if self._may_have_unread_runs(view, now)
            ]
            self.log_event(
                "earlier_work_waits",
                unread=unread[:MAX_LOGGED_WORKERS],
                unlisted=list(self.unread_workers.unlisted)[:MAX_LOGGED_WORKERS],
            )

    def list_tracked_workers(self, now: float) -> tuple[TrackedWorker, ...]:
        """Return the workers on which runs of the pool may be present."""
        views = self.workers.values()
        contacted = {
            view.id for view in views if view.has_reported or view.has_unread_ends
        }
        contacted.update(self.subtasks_lost_by_restart)
        return self.unread_workers.list_tracked(views, contacted, now)

    def _may_have_unread_runs(self, worker: WorkerView, now: float) -> bool:
        """Return whether runs of earlier owners may be present and are not known."""
        deadline = self.unread_workers.get_deadline(worker.id)
        is_unread = worker.has_unread_ends or now < deadline
        return not worker.has_reported and is_unread

    def take_dirty_jobs(self) -> list[Job]:
        """Return the jobs whose progress has to be stored, and clear the set."""
        jobs = list(self.dirty_jobs.values())
        self.dirty_jobs.clear()
        for job in jobs:
            self.record_encoded(job)
        return jobs

    def get_applied_ends(self) -> dict[tuple[str, int], int]:
        """Return the number of the last applied end, by worker and its start time.

        Each incarnation numbers its ends anew.
        """
        return {
            (worker.id, worker.record.born_ms): worker.last_applied_end
            for worker in self.workers.values()
        }

    def record_encoded(self, job: Job) -> None:
        """Record that the progress of a job is about to be stored as it is now."""
        for subtask in self.probation.suspects.values():
            if subtask.step.job is job:
                subtask.encoded_run = subtask.announced_run

    def record_stored(self, job: Job) -> None:
        """Record that the progress of a job, as last encoded, is in the store."""
        for subtask in self.probation.suspects.values():
            is_encoded = subtask.encoded_run == subtask.announced_run
            if subtask.step.job is job and subtask.announced_run and is_encoded:
                subtask.is_announcement_stored = True

    def has_unstored_announcements(self) -> bool:
        """Return whether suspects wait until their start is announced in the store."""
        return any(
            subtask.announced_run and not subtask.is_announcement_stored
            for subtask in self.probation.suspects.values()
        )

    def list_watched_workers(self) -> set[str]:
        """Return the workers whose reports are to come often.

        Reports show soon that a suspect runs on, and which worker can be tried.
        """
        return self.probation.list_watched(self.runs)

    def measure_load(self, now: float) -> PoolLoad:
        """Return how much the owner and the workers have to do."""
        return measure_load(
            self.job_table.open_steps.values(),
            [*self.runs.values(), *self.copies.runs.values()],
            self.workers.values(),
            now,
            self.copies.count_cpu_millis() / 1000,
        )

    def estimate_demand(self, now: float) -> CoreDemand:
        """Return the cores that the pool's jobs need."""
        # Obsolete runs use cores until they end. Copies only use what is left over.
        runs = [run for view in self.workers.values() for run in view.runs.values()]
        if self.copies.runs:
            copies = set(self.copies.runs.values())
            runs = [run for run in runs if run not in copies]
        limit = self.capped_starts.limit_demand() if self.capped_starts else None
        return estimate_demand(
            self.job_table.open_steps.values(),
            runs,
            self.durations,
            self.offered_load.compute_cores(now),
            limit,
        )

    # Placement -------------------------------------------------------------

    def _place(self, now: float) -> None:
        self.advice.forget_other_workers(self.workers.values())
        accepting = [view for view in self.workers.values() if view.accepts_work(now)]
        for subtask in self.probation.begin_pass(accepting, self.runs, now):
            self.dirty_jobs[subtask.step.job.id] = subtask.step.job
            self.log_event(
                "subtask_cleared", job=subtask.id.job, subtask=subtask.id[1:]
            )
        self.unanswered_starts = list(
            filter(self._is_unanswered, self.unanswered_starts)
        )
        self.ranking.start_delay_s = self.start_window.delay_s
        steps = [
            step
            for step in self.job_table.open_steps.values()
            if now >= self.set_aside_until.get(step.job.id, 0.0)
        ]
        ranked = self.ranking.sort(steps, now, self._set_aside)
        for rank, step in ranked:
            step.urgency = rank[0]
        can_start_earlier_jobs = self.knows_earlier_runs(now)
        self._log_wait(now, can_start_earlier_jobs)
        max_free_cpu_millis = find_max_free_cpu(accepting)
        for _, step in ranked:
            if not accepting or not self._has_place_for_start():
                return
            needs_free_cpu = not step.spec.is_best_effort and not step.spec.gang
            if needs_free_cpu and step.spec.needs.cpu_millis > max_free_cpu_millis:
                continue
            # An earlier owner may have started these jobs on a worker that has not
            # reported yet.
            if not can_start_earlier_jobs and step.job.submission.revision < self.fence:
                continue
            # A gang that has lost a member is stopped even if its cap is reached.
            if not step.spec.gang and not self._may_start_step(step):
                continue
            try:
                if not self.advice.consult(step, accepting, now):
                    continue
                if step.spec.gang:
                    self._place_gang(step, now)
                else:
                    self._place_step(step, now)
            except Exception as error:
                self._set_aside(step, error, now)
            max_free_cpu_millis = find_max_free_cpu(accepting)

    def _set_aside(self, step: Step, error: Exception, now: float) -> None:
        """Start nothing of a job for a while, after an unexpected error about it.

        The other jobs of the pool go on.
        """
        self.set_aside_until[step.job.id] = now + SET_ASIDE_S
        self.log_event(
            "job_set_aside",
            job=step.job.id,
            step=step.number,
            error=repr(error)[:MAX_ERROR_CHARACTERS],
        )

    def _place_step(self, step: Step, now: float) -> None:
        tickets = self.advice.get_tickets(step)
        placed = []
        for subtask in step.iterate_waiting(self.job_table.may_build):
            if subtask.not_before > now:
                continue
            if not self._has_place_for_start():
                break
            if self.capped_starts and not self.capped_starts.may_start(subtask):
                break
            needs_reserved_worker = self.probation.needs_reserved_worker(subtask, now)
            if needs_reserved_worker:
                worker = self.probation.choose_worker(subtask, tickets, now)
                if worker is None:
                    continue
            else:
                worker = choose_worker(subtask, self.probation.open_workers, tickets)
                if worker is None:
                    break
            if not self._is_announced(subtask, subtask.last_run + 1):
                continue
            if needs_reserved_worker and not worker.has_new_report:
                continue
            self._start(subtask, worker, subtask.last_run + 1, now)
            placed.append(worker.id)
        if placed:
            self.log_event(
                "subtasks_placed",
                job=step.job.id,
                step=step.number,
                workers=placed,
                waiting=step.waiting_count,
            )

    def _may_start_step(self, step: Step) -> bool:
        return not self.capped_starts or self.capped_starts.may_start_step(step)

    def _place_gang(self, step: Step, now: float) -> None:
        plan = plan_gang(
            step,
            self.probation.open_workers,
            self.runs,
            self.advice.get_tickets(step),
            self._is_announced,
            self._may_start_step,
            now,
        )
        for run in plan.runs_to_stop:
            self._stop(run, now)
        for subtask, worker in plan.starts:
            self._start(subtask, worker, plan.number, now)
        if plan.starts:
            self.log_event(
                "gang_placed", job=step.job.id, step=step.number, rack=plan.rack
            )

    def _has_place_for_start(self) -> bool:
        return len(self.unanswered_starts) < self.start_window.limit

    def _is_unanswered(self, run: Run) -> bool:
        """Return whether the first response to a run's start is still expected."""
        return (
            self._is_current(run)
            and run.confirmed_at is None
            and not run.was_unanswered
            and run.stopping_since is None
        )

    def _place_copies(self, now: float) -> None:
        """Start copies of slow runs, after all first runs."""
        chosen = self.copies.choose(
            self.runs, self.obsolete_runs, self.start_window.delay_s, now
        )
        open_steps = self.job_table.open_steps.values()
        if not chosen or any(step.urgency <= Urgency.IN_TIME for step in open_steps):
            return
        knows_earlier_runs = self.knows_earlier_runs(now)
        limit, has_changed = 0.0, True
        for saved_s, first in chosen:
            step = first.subtask.step
            if not self._has_place_for_start():
                return
            if has_changed:
                free_cpu_millis = find_max_free_cpu(self.probation.open_workers)
                budget = self.copies.compute_budget(self.workers.values())
                limit = min(free_cpu_millis, budget)
            is_known = knows_earlier_runs or step.job.submission.revision >= self.fence
            has_changed = (
                is_known
                and step.spec.needs.cpu_millis <= limit
                and self._may_start_copy(first.subtask, now)
            )
            if has_changed:
                try:
                    self._place_copy(first, saved_s, now)
                except Exception as error:
                    self._set_aside(step, error, now)

    def _may_start_copy(self, subtask: Subtask, now: float) -> bool:
        """Return whether a copy may start, by what limits first runs too."""
        if self.capped_starts and not self.capped_starts.has_room(subtask):
            return False
        return now >= self.set_aside_until.get(subtask.id.job, 0.0)

    def _place_copy(self, first: Run, saved_s: float, now: float) -> None:
        subtask, step = first.subtask, first.subtask.step
        others = [
            view for view in self.probation.open_workers if view.id != first.worker.id
        ]
        if not self.advice.consult(step, others, now):
            return
        worker = choose_worker(subtask, others, self.advice.get_tickets(step))
        if worker is None:
            return
        self._start(subtask, worker, subtask.last_run + 1, now, is_copy=True)
        self.log_event(
            "copy_started",
            job=step.job.id,
            subtask=subtask.id[1:],
            first_run=first.number,
            copy_run=subtask.last_run,
            first_worker=first.worker.id,
            worker=worker.id,
            age_s=round(now - (first.confirmed_at or now), 3),
            saved_s=round(saved_s, 3),
        )

    def _start(
        self,
        subtask: Subtask,
        worker: WorkerView,
        number: int,
        now: float,
        is_copy: bool = False,
    ) -> None:
        run = Run(subtask, self._limit_run_number(number), worker, now)
        subtask.last_run = run.number
        (self.copies.runs if is_copy else self.runs)[subtask.id] = run
        self.copies.watch(run, self.durations)
        self.unanswered_starts.append(run)
        worker.add(run)
        self.job_table.set_placed(subtask)
        if self.capped_starts is not None:
            self.capped_starts.record_start(subtask)
        job = subtask.step.job
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.dirty_jobs[job.id] = job
            self.ranking.record_begin(job, now)
        self.ranking.record_start(run)
        self._send_start(run)

    def _limit_run_number(self, number: int) -> int:
        """Return a run number that no earlier owner has used."""
        return max(number, (self.term - 1) * RUNS_PER_TERM + 1)

    def _is_announced(self, subtask: Subtask, number: int) -> bool:
        """Return whether a run may start now; announces the run of a suspect first."""
        if subtask.id not in self.probation.suspects:
            return True
        number = self._limit_run_number(number)
        if subtask.announced_run != number:
            subtask.announce_run(number)
            self.dirty_jobs[subtask.step.job.id] = subtask.step.job
        return subtask.is_announcement_stored

    def _send_start(self, run: Run) -> None:
        subtask = run.subtask
        step = subtask.step
        tickets = self.advice.get_tickets(step) or {}
        checkpoint = step.checkpoint if step.spec.gang else subtask.checkpoint
        order = StartOrder(
            subtask.id,
            run.number,
            step.job.submission.spec.payload,
            checkpoint,
            tickets.get(run.worker.id, ""),
        )
        caps = self.capped_starts
        deadline = caps.get_start_deadline(run) if caps is not None else inf
        self.commands.append(StartCommand(run.worker.id, order, deadline))

    # Runs ------------------------------------------------------------------

    def _is_current(self, run: Run) -> bool:
        """Return whether a run is the first run of its subtask or its copy."""
        key = run.subtask.id
        return self.runs.get(key) is run or self.copies.runs.get(key) is run

    def _find_run(self, worker: str, subtask: SubtaskId, number: int) -> Run | None:
        for run in (self.runs.get(subtask), self.copies.runs.get(subtask)):
            if run is not None and run.worker.id == worker and run.number == number:
                return run
        for obsolete_run in self.obsolete_runs:
            is_same_run = (
                obsolete_run.subtask.id == subtask and obsolete_run.number == number
            )
            if is_same_run and obsolete_run.worker.id == worker:
                return obsolete_run
        return None

    def _stop(self, run: Run, now: float) -> None:
        if run.stopping_since is None:
            run.stopping_since = now
        run.retry_at = None
        run.stop_sent_at = now
        run.stop_confirmed_at = None
        self.commands.append(StopCommand(run.worker.id, run.subtask.id, run.number))

    def _release(self, run: Run, now: float, pause_s: float = 0.0) -> None:
        """Remove a run that is certainly not present.

        If it was the only current run of its subtask, the subtask waits again. The
        subtask is not started for ``pause_s``, nor before an earlier pause has ended
        if it had another run meanwhile.
        """
        run.worker.remove(run)
        self.ranking.record_end(run, now)
        if run.number == run.subtask.announced_run:
            run.subtask.retract_announcement()
        if run in self.obsolete_runs:
            self.obsolete_runs.remove(run)
            return
        if self._is_current(run):
            subtask = run.subtask
            is_paused = subtask.step.spec.allows_copies and subtask.not_before > now
            earliest = subtask.not_before if is_paused else now
            subtask.not_before = max(earliest, now + pause_s)
            self._remove_current(run, "lost", now)
            if subtask.id not in self.runs:
                self.job_table.set_waiting(subtask)

    def _remove_current(self, run: Run, outcome: str, now: float) -> None:
        """Remove a current run; ``Copies.remove`` explains the outcomes."""
        fields = self.copies.remove(run, self.runs, outcome, now)
        if fields is not None:
            self.log_event("copy_ended", **fields)

    def _repeat_orders(self, now: float) -> None:
        copies = self.copies.runs.values()
        for run in [*self.runs.values(), *copies, *self.obsolete_runs]:
            is_due = run.retry_at is not None and now >= run.retry_at
            if run.stopping_since is not None:
                if now - run.stop_sent_at >= STOP_RETRY_S:
                    self._stop(run, now)
            elif (is_due or run.is_overdue(now)) and (
                run.worker.is_overcommitted_by(run)
                or (self.capped_starts and self.capped_starts.must_block(run))
            ):
                # The worker or the cap has shrunk since the start was first sent.
                self._stop(run, now)
            elif is_due and (
                not self.capped_starts or self.capped_starts.may_repeat(run)
            ):
                run.retry_at = None
                self._send_start(run)

    # Reports ---------------------------------------------------------------

    def _apply_end(self, worker: WorkerView, end: RunEnd, now: float) -> None:
        worker.last_applied_end = end.number
        subtask = self.job_table.find(end.subtask)
        run = self._find_run(worker.id, end.subtask, end.run)
        if subtask is None:
            if run is not None:
                self._release(run, now)
            return
        subtask.last_run = max(subtask.last_run, end.run)
        is_copy = run is not None and self.copies.runs.get(subtask.id) is run
        if end.checkpoint and not is_copy:
            subtask.checkpoint = subtask.step.checkpoint = end.checkpoint
        if end.reason is EndReason.DONE:
            self._apply_done(worker, subtask, run, now)
        elif end.reason is EndReason.FAILED:
            self._apply_failure(worker, subtask, run, end, now)
        elif run is not None:
            self._release(run, now)
        if end.reason not in (EndReason.DONE, EndReason.STOPPED):
            self.log_event(
                "run_ended",
                job=end.subtask.job,
                subtask=end.subtask[1:],
                worker=worker.id,
                reason=end.reason.value,
                failures=subtask.failures,
            )

    def _apply_done(
        self, worker: WorkerView, subtask: Subtask, run: Run | None, now: float
    ) -> None:
        worker.record_success()
        step = subtask.step
        if run is not None:
            # If the start got no response, the time at which the run began is unknown.
            started_at = None if run.was_unanswered else run.confirmed_at
            if started_at is not None and not step.spec.is_long_running:
                self.durations.add(step, max(0.001, now - started_at))
                self.copies.record_done(run, now - started_at)
            copy = self.copies.find_other(run, self.runs)
            if copy is not None:
                self._make_obsolete(copy, now, "done")
            self._release(run, now)
        if step.spec.is_long_running:
            return
        members = step.subtasks if step.spec.gang else [subtask]
        is_job_done = False
        for member in members:
            is_job_done |= self.job_table.set_done(member)
            while member.id in self.runs and not step.spec.gang:
                self._make_obsolete(self.runs[member.id], now)
        self.dirty_jobs[step.job.id] = step.job
        if is_job_done:
            self._end_job(step.job, JobState.DONE, now)

    def _apply_failure(
        self,
        worker: WorkerView,
        subtask: Subtask,
        run: Run | None,
        end: RunEnd,
        now: float,
    ) -> None:
        step = subtask.step
        if record_failure(self.workers, worker, subtask, run, now):
            self.log_event(
                "worker_ejected", worker=worker.id, until=worker.ejected_until
            )
        if not step.spec.is_long_running and not subtask.is_done:
            subtask.failed_runs.add(end.run)
        subtask.failed_workers.add(worker.id)
        self.dirty_jobs[step.job.id] = step.job
        if run is not None:
            self._release(run, now, subtask.restart_pause_s)
        if (
            not step.spec.is_long_running
            and not subtask.is_done
            and step.count_failures(subtask) >= step.job.submission.max_attempts
        ):
            self._fail_job(subtask, now)

    def _apply_status(
        self, worker: WorkerView, status: RunStatus, received_at: float, now: float
    ) -> None:
        run = self._find_run(worker.id, status.subtask, status.run)
        if run is None:
            run = self._adopt(worker, status, now)
        run.confirmed_at = min(run.confirmed_at or received_at, received_at)
        run.reported_at = received_at
        run.retry_at = None
        if status.progress_percent > run.progress_percent:
            run.progress_at = now
        run.progress_percent = status.progress_percent
        run.load = status.load
        is_copy = self.copies.runs.get(status.subtask) is run
        if status.checkpoint and not run.is_rejected and not is_copy:
            run.subtask.checkpoint = run.subtask.step.checkpoint = status.checkpoint

    def _adopt(self, worker: WorkerView, status: RunStatus, now: float) -> Run:
        """Add a run that an earlier owner or a late order has started."""
        subtask = self.job_table.find(status.subtask)
        if subtask is None:
            run = self._adopt_obsolete(
                _build_placeholder(status), worker, status.run, now, is_unsized=True
            )
            self.log_event(
                "run_unwanted",
                job=status.subtask.job,
                subtask=status.subtask[1:],
                worker=worker.id,
            )
            return run
        subtask.last_run = max(subtask.last_run, status.run)
        current = self.runs.get(subtask.id)
        is_pair = current is not None and self.copies.may_adopt(current, worker)
        if subtask.is_done or (
            current is not None and current.confirmed_at is not None and not is_pair
        ):
            return self._adopt_obsolete(subtask, worker, status.run, now)
        if current is not None and not is_pair:
            self._make_obsolete(current, now)
        run = Run(
            subtask,
            status.run,
            worker,
            now,
            confirmed_at=now,
            progress_at=now,
            is_adopted=True,
        )
        worker.add(run)
        if is_pair:
            self.copies.adopt(run, self.runs)
        else:
            self.runs[subtask.id] = run
        self.copies.watch(run, self.durations)
        self.job_table.set_placed(subtask)
        if subtask.step.job.state is JobState.QUEUED:
            subtask.step.job.state = JobState.RUNNING
        self.log_event(
            "run_adopted",
            job=status.subtask.job,
            subtask=status.subtask[1:],
            worker=worker.id,
        )
        return run

    def _adopt_obsolete(
        self,
        subtask: Subtask,
        worker: WorkerView,
        number: int,
        now: float,
        is_unsized: bool = False,
    ) -> Run:
        run = Run(subtask, number, worker, now, confirmed_at=now, progress_at=now)
        run.is_unsized = is_unsized
        worker.add(run)
        self.obsolete_runs.append(run)
        self._stop(run, now)
        return run

    def _make_obsolete(self, run: Run, now: float, outcome: str = "dropped") -> None:
        """Stop a run that is no longer a current run of its subtask."""
        if self._is_current(run):
            self._remove_current(run, outcome, now)
        self.obsolete_runs.append(run)
        self._stop(run, now)

    def _release_missing(
        self,
        worker: WorkerView,
        reported: set[tuple[SubtaskId, int]],
        sent_at: float,
        now: float,
    ) -> None:
        """Release runs that the report would contain if they were still present.

        Only complete reports requested after the worker was known to have the run, or
        after it responded to the stop, are conclusive.
        """
        for run in list(worker.runs.values()):
            if (run.subtask.id, run.number) in reported:
                continue
            if sent_at > run.unanswered_at:
                run.response_age_s = None
            known_at = run.stop_confirmed_at or run.confirmed_at
            if known_at is not None and sent_at > known_at:
                self._release(run, now)

    def _release_expired(self, worker: WorkerView, now: float) -> None:
        """Release all runs of a silent worker once its leases have expired."""
        if now < worker.lease_expires_at or not self.can_expire_leases:
            return
        worker.has_unread_ends = False
        if self._may_have_unread_runs(worker, now):
            return
        given_up = self.crashes.record(worker, now, has_ended=False)
        for run in list(worker.runs.values()):
            if run.confirmed_at is None:
                worker.unresolved_starts[run.subtask.id, run.number] = now
            self.log_event(
                "run_lapsed",
                job=run.subtask.id.job,
                subtask=run.subtask.id[1:],
                worker=worker.id,
            )
            self._release(run, now)
            worker.lapsed_runs.append(run)
        self._fail_jobs(given_up, now)
        for start, given_up_at in list(worker.unresolved_starts.items()):
            if now - given_up_at > UNRESOLVED_START_LIMIT_S:
                del worker.unresolved_starts[start]
        if not worker.is_listed and not worker.unresolved_starts:
            self.workers.pop(worker.id, None)
            self.log_event("worker_gone", worker=worker.id)

    def _remove_worker(
        self, worker: WorkerView, now: float, event: str, is_planned: bool = False
    ) -> None:
        """Release all runs of an incarnation that has ended, and remove it."""
        self.log_event(
            event,
            worker=worker.id,
            runs=len(worker.runs),
            young_runs=[name_run(run) for run in worker.runs.values() if run.is_young],
            is_planned=is_planned or worker.is_draining,
        )
        given_up = []
        if not is_planned:
            given_up = self.crashes.record(worker, now, has_ended=True)
        pause_s = 0.0
        if event == "worker_reborn":
            pause_s = max(self.longest_lease_s, worker.lease_expires_at - now)
            subtasks = [run.subtask for run in worker.runs.values()]
            self.subtasks_lost_by_restart[worker.id] = subtasks
        for run in list(worker.runs.values()):
            self._release(run, now, pause_s)
        if self.workers.get(worker.id) is worker:
            del self.workers[worker.id]
        self._fail_jobs(given_up, now)

    # Failed jobs -----------------------------------------------------------

    def _fail_jobs(self, given_up: list[Subtask], now: float) -> None:
        """End the jobs of subtasks under which too many workers have crashed."""
        for subtask in given_up:
            job = self.job_table.jobs.get(subtask.id.job)
            if job is not None:
                self._fail_job(subtask, now)

    def _fail_job(self, subtask: Subtask, now: float) -> None:
        """End the job of a subtask as failed, and log what decided it."""
        step = subtask.step
        members = step.subtasks if step.spec.gang else [subtask]
        crashes = [row for member in members for row in member.crashes.items()]
        self.log_event(
            "job_failed",
            job=subtask.id.job,
            subtask=subtask.id[1:],
            failed_runs=sorted({run for row in members for run in row.failed_runs}),
            max_attempts=step.job.submission.max_attempts,
            crashes=len(crashes),
            crash_runs=[
                [run, *crash.describe()] for run, crash in crashes[:MAX_LOGGED_CRASHES]
            ],
        )
        self._end_job(step.job, JobState.FAILED, now)

    # Jobs ------------------------------------------------------------------

    def _end_if_finished(self, job: Job, now: float) -> None:
        """End a job whose stored progress shows that it is done or has failed."""
        if job.is_finished:
            self._end_job(job, JobState.DONE, now)
            return
        limit = job.submission.max_attempts
        for subtask in job.iterate_known():
            # What became of an announced start shows in the reports of the workers.
            if must_give_up(subtask, counts_unknown=False):
                self._fail_jobs([subtask], now)
                return
            step = subtask.step
            if step.spec.is_long_running:
                continue
            if step.count_failures(subtask) >= limit:
                self._fail_job(subtask, now)
                return

    def _end_job(self, job: Job, state: JobState, now: float) -> None:
        self.job_table.end(job, state, now)
        self.dirty_jobs[job.id] = job
        age_s = round(now - job.accepted_at, 3)
        self.log_event("job_ended", job=job.id, state=state.value, age_s=age_s)
        self.probation.forget_job(job.id)
        self.set_aside_until.pop(job.id, None)
        # Members of a gang that is done may still have their run.
        current = [*self.runs.values(), *self.copies.runs.values()]
        for run in [run for run in current if run.subtask.id.job == job.id]:
            self._make_obsolete(run, now)
        for step in job.steps.values():
            self.advice.forget_step(step.key)


def _build_placeholder(status: RunStatus) -> Subtask:
    """Return a subtask for a reported run whose job is not open."""
    submission = Submission(status.subtask.job, "", JobSpec("", ()))
    step = Step(
        Job(submission, 0.0),
        status.subtask.occurrence,
        status.subtask.step,
        StepSpec(1, Resources()),
    )
    return Subtask(status.subtask, step)
