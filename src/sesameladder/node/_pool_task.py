"""Owns one pool: passes events to its scheduler and executes the commands."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from queue import Empty, SimpleQueue
from threading import Event

from sesameladder.accepted_work import WorkBudget
from sesameladder.fleet import EndedIncarnation, PoolOrders
from sesameladder.jobs import (
    AdviceCommand,
    CappedStarts,
    Command,
    Job,
    PoolScheduler,
    TrackedWorker,
    UnreadWorkers,
    WorkerRecord,
    encode_progress,
)
from sesameladder.node._advice_calls import AdviceCalls, AdviceFinished
from sesameladder.node._clock import read_steady_clock, read_wall_clock_ms
from sesameladder.node._inbox_watch import (
    INBOX_THREAD,
    InboxChanges,
    InboxWatch,
    read_cancels,
    read_records,
)
from sesameladder.node._job_records import JobRecords
from sesameladder.node._keys import (
    accepted_key,
    cancel_key,
    inbox_prefix,
    progress_key,
    progress_prefix,
    submission_key,
    summary_key,
    tracked_workers_key,
)
from sesameladder.node._long_leases import UNREAD_WORKER_WAIT_S, LongLeases
from sesameladder.node._pool_summary import LoadReporter, SummaryBuilder
from sesameladder.node._pool_writer import PoolWriter, WriteBatch, WriteDone
from sesameladder.node._records import (
    TrackedWorkersRecord,
    decode_orders,
    decode_tracked_workers,
    encode_summary,
    encode_tracked_workers,
)
from sesameladder.node._refusals import RefusalLog
from sesameladder.node._roles import HeldRole
from sesameladder.node._supervision import build_thread
from sesameladder.node._take_up import StoredJobReader, StoredJobsRead, TakeUp
from sesameladder.node._telemetry import (
    REPORT_SECONDS,
    START_SECONDS,
    log_event,
    log_failure,
    log_warning,
)
from sesameladder.node._vm_load import VmLoadMeter, VmSize
from sesameladder.node._worker_link import (
    IncarnationReplaced,
    LinkMessage,
    OwnerSuperseded,
    ReportFailed,
    ReportReceived,
    StartFinished,
    StopConfirmed,
    WorkerLink,
    compute_lease_time,
)
from sesameladder.organisations import Organisations
from sesameladder.platform import (
    PlatformCallError,
    Put,
    RecordInvalid,
    StoreClient,
)

TICK_S = 0.1  # resolution of the scheduler's timers
PROGRESS_INTERVAL_S = 0.25  # ends are stored together this often and then acknowledged
TRACKING_CHECK_INTERVAL_S = 0.05  # visits all workers; a new list is checked at once
CLEANUP_INTERVAL_S = 8.0  # removing keys of ended jobs triggers the pool's own watch
MAX_BATCH_ENTRIES = 24  # the store accepts 32 entries in a transaction
ROLE_CONFIRMATION_TIMEOUT_S = 3.0  # running work goes on for one 4 s lease: 7 s in all
# A shrunk capacity counts 4.5 s after it is listed; an order waits for 1 s at most.
LIST_CONFIRMATION_TIMEOUT_S = 3.5
UNKNOWN_WORKER = ""  # no worker's identifier; stands for those that can't be read


@dataclass(frozen=True, slots=True)
class WorkersUpdated:
    """Contents of the list of workers, of all pools; None if they haven't changed."""

    records: list[WorkerRecord] | None
    confirmed_at: float
    """Steady time at which the list was current, or earlier than that."""


class CapsChanged:
    """Wakes the task's thread, since waiting work may start."""


class StopPool:
    """Wakes the task's thread, so that it ends."""


PoolMessage = (
    LinkMessage
    | InboxChanges
    | StoredJobsRead
    | WorkersUpdated
    | WriteDone
    | AdviceFinished
    | CapsChanged
    | StopPool
)


class PoolTask:
    """Thread that owns a pool's state; other threads send messages to it."""

    __slots__ = (
        "advice_calls",
        "ended_earlier",
        "ended_incarnations",
        "get_capped_starts",
        "get_organisations",
        "get_role_lease",
        "inbox_watch",
        "is_confirmed",
        "is_exclusive_holder",
        "is_loaded",
        "job_records",
        "job_state_retention_s",
        "keys_to_remove",
        "last_cleanup_at",
        "last_tracking_check_at",
        "last_write_at",
        "link_failures",
        "links",
        "load",
        "long_leases",
        "longest_pass_s",
        "max_worker_lease_ms",
        "messages",
        "on_role_lost",
        "orders_revision",
        "pool",
        "role",
        "scheduler",
        "stopping",
        "store",
        "summary",
        "take_up",
        "thread",
        "tracked_workers",
        "unapplied_changes",
        "worker_lease_ms",
        "workers_confirmed_at",
        "writer",
    )

    def __init__(
        self,
        pool: str,
        role: HeldRole,
        store: StoreClient,
        advice_calls: AdviceCalls,
        worker_lease_ms: int,
        max_worker_lease_ms: int,
        job_state_retention_s: float,
        stop_grace_s: float,
        is_confirmed: Callable[[float], bool],
        is_exclusive_holder: Callable[[], bool],
        get_role_lease: Callable[[], int | None],
        on_role_lost: Callable[[HeldRole, str], None],
        vm_size: VmSize,
        get_capped_starts: Callable[[], CappedStarts | None] = lambda: None,
        get_organisations: Callable[[], Organisations | None] = lambda: None,
        budget: WorkBudget | None = None,
    ) -> None:
        self.pool = pool
        self.role = role
        self.store = store
        self.advice_calls = advice_calls
        self.worker_lease_ms = worker_lease_ms
        self.max_worker_lease_ms = max_worker_lease_ms
        """Maximum to which workers shorten their leases, in milliseconds."""

        self.job_state_retention_s = job_state_retention_s
        self.is_confirmed = is_confirmed
        self.is_exclusive_holder = is_exclusive_holder
        self.get_role_lease = get_role_lease
        self.get_capped_starts = get_capped_starts
        self.on_role_lost = on_role_lost
        self.get_organisations = get_organisations
        self.messages: SimpleQueue[PoolMessage] = SimpleQueue()
        self.scheduler = PoolScheduler(role.term, self._log_event, fence=role.fence)
        self.scheduler.stop_grace_s = stop_grace_s
        self.scheduler.longest_lease_s = compute_lease_time(max_worker_lease_ms)
        self.links: dict[str, WorkerLink] = {}
        self.long_leases = LongLeases(worker_lease_ms, max_worker_lease_ms)
        self.link_failures = RefusalLog("worker_link_failed")
        self.writer = PoolWriter(
            pool, role, store, self.messages.put, self._give_up_role
        )
        self.stopping = Event()
        self.inbox_watch = InboxWatch(
            pool, role, store, self.messages.put, self.stopping
        )
        self.is_loaded = False
        self.unapplied_changes: list[InboxChanges] = []
        """Changes to apply once the role is known to be held exclusively."""

        self.ended_earlier: dict[str, float] = {}
        """Steady time of the loading, by job that ended under an earlier owner."""

        self.keys_to_remove: dict[str, None] = {}
        """Keys that a later write removes, in order."""

        self.last_cleanup_at = self.last_write_at = read_steady_clock()
        self.last_tracking_check_at = 0.0
        self.take_up = TakeUp(
            pool,
            self.scheduler,
            budget or WorkBudget.from_memory(0),
            StoredJobReader(pool, store, self.messages.put, self.stopping),
            self.last_write_at,
        )
        self.job_records = JobRecords(
            pool, self.scheduler, self.take_up, self._schedule_removal
        )
        self.summary = SummaryBuilder(self.scheduler, self.take_up, self.last_write_at)
        self.load = LoadReporter(
            pool, self.scheduler, self.take_up, VmLoadMeter(vm_size)
        )
        self.longest_pass_s = 0.0
        """Longest time between two readings of ``messages`` since the last log."""

        self.orders_revision = 0
        self.ended_incarnations: set[EndedIncarnation] = set()
        self.tracked_workers: tuple[TrackedWorker, ...] = ()
        """Contents of the stored list; an empty one is written anew."""

        self.workers_confirmed_at = 0.0
        """Steady time at which the scheduler's list of workers was still current."""

        self.thread = build_thread(f"pool {pool}", self._run, self.stopping)

    def start(self) -> None:
        """Start the thread, which loads the pool's state first."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the task to end; the next owner reads unstored ends from the workers.

        Its links and its writer end even if its own thread hangs.
        """
        self.stopping.set()
        self.messages.put(StopPool())
        self.writer.stop()
        self.advice_calls.withdraw(self.messages)
        self.take_up.close()
        for link in list(self.links.values()):
            link.stop()

    def _log_event(self, event: str, /, **fields: object) -> None:
        log_event(event, pool=self.pool, **fields)

    def _give_up_role(self, reason: str) -> None:
        self.on_role_lost(self.role, reason)

    # Loading ---------------------------------------------------------------

    def _run(self) -> None:
        if not self.is_loaded:
            self._load()
        self.role.begin_passes(INBOX_THREAD)
        for thread in (self.writer.thread, self.inbox_watch.thread):
            if thread.ident is None:
                thread.start()
        while not self.stopping.is_set():
            try:
                started_at = self._process_messages()
                self._step()
                self.role.record_pass()
                pass_s = read_steady_clock() - started_at
                self.longest_pass_s = max(self.longest_pass_s, pass_s)
            except Exception:
                # One malformed event must not stop the scheduling of the pool.
                log_failure("pool_step_failed", pool=self.pool)
        for link in self.links.values():
            link.stop()
        self.writer.stop()

    def _load(self) -> None:
        while not self.stopping.is_set():
            try:
                tracked_item = self.store.read(tracked_workers_key(self.pool))
                # Only the owner writes progress, so it stays as it is.
                progress_page = self.store.read_range(progress_prefix(self.pool))
                progress_by_job = {
                    item.key.removeprefix(progress_prefix(self.pool)): item.value
                    for item in progress_page.items
                }
                submitted, revision = self._load_jobs(progress_by_job)
                self.writer.load_sequence()
            except PlatformCallError as error:
                log_warning("pool_load_failed", pool=self.pool, error=str(error))
                self.role.record_pass()
                self.stopping.wait(self.writer.dependency.draw_pause())
                continue
            now = read_steady_clock()
            if tracked_item is not None:
                self._apply_tracked_workers(tracked_item.value, now)
            else:
                self.scheduler.unread_workers.deadline = now + UNREAD_WORKER_WAIT_S
            # The submission of a job is removed once the job has ended.
            self.ended_earlier = dict.fromkeys(progress_by_job.keys() - submitted, now)
            self._log_event(
                "pool_loaded",
                term=self.role.term,
                jobs=len(self.scheduler.job_table.jobs),
                left_in_store=len(self.take_up.waiting.by_job),
                tracked=len(self.tracked_workers),
            )
            self.inbox_watch.revision = revision
            self.is_loaded = True
            return

    def _load_jobs(self, progress_by_job: dict[str, bytes]) -> tuple[set[str], int]:
        """Read the jobs page by page; returns them and the revision to watch from.

        They are taken up after the last page, except for those that have begun. Then
        the cancelled ones end.
        """
        prefix = submission_key(self.pool, "")
        submitted: set[str] = set()
        revision = 0
        self.take_up.begin_load(read_steady_clock())
        for page_revision, changes in read_records(self.store, self.pool):
            revision = page_revision
            self._apply_inbox(changes, progress_by_job)
            submitted.update(key.removeprefix(prefix) for key, _, _ in changes)
            self.role.record_pass()
        self.take_up.end_load(read_steady_clock())
        for changes in read_cancels(self.store, self.pool, revision):
            self._apply_inbox(changes, progress_by_job)
            self.role.record_pass()
        return submitted, revision

    def _apply_cancel(self, key: str, now: float) -> None:
        """Cancel the job of a record; the record of a stored end is removed."""
        job = key.removeprefix(cancel_key(self.pool, ""))
        if self.take_up.cancel(job, now):
            return
        # With the end of a job that is not stored yet, its record is removed, too.
        is_stored = job not in self.scheduler.dirty_jobs
        if is_stored and job not in self.job_records.undecided:
            self.keys_to_remove[key] = None

    def _apply_tracked_workers(self, value: bytes, now: float) -> None:
        """Take over what the last owner has stored about workers."""
        try:
            record = decode_tracked_workers(value)
        except RecordInvalid as error:
            log_warning("tracked_refused", pool=self.pool, error=str(error))
            # Runs may be present on any worker, also on unlisted ones.
            record = TrackedWorkersRecord((TrackedWorker(UNKNOWN_WORKER),))
        self.tracked_workers = record.workers
        self.long_leases.take_over(record.long_leases_s, now)
        self.scheduler.unread_workers = UnreadWorkers.from_tracked(
            record.workers,
            UNREAD_WORKER_WAIT_S,
            now,
            dict.fromkeys(record.long_leases_s, self.long_leases.restarted_wait_s),
        )

    # Messages --------------------------------------------------------------

    def _process_messages(self) -> float:
        """Apply all messages; returns when the first one was there, or the wait ended.

        In seconds of the steady clock.
        """
        try:
            message = self.messages.get(timeout=TICK_S)
        except Empty:
            return read_steady_clock()
        started_at = read_steady_clock()
        while True:
            self._apply_message(message)
            try:
                message = self.messages.get_nowait()
            except Empty:
                return started_at

    def _apply_message(self, message: PoolMessage) -> None:
        now = read_steady_clock()
        scheduler = self.scheduler
        if self._is_outdated(message):
            return
        if isinstance(message, ReportReceived):
            if self.take_up.is_held_back(message.report):
                return
            REPORT_SECONDS.labels(self.pool).observe(now - message.sent_at)
            scheduler.apply_report(
                message.worker,
                message.report,
                message.sent_at,
                now,
                message.received_at,
            )
            self._resume_lease_extension(message.worker)
        elif isinstance(message, StartFinished):
            run = scheduler.runs.get(message.subtask)
            if run is not None and run.number == message.run:
                START_SECONDS.labels(self.pool).observe(now - run.sent_at)
            scheduler.apply_start_outcome(
                message.worker,
                message.subtask,
                message.run,
                message.outcome,
                now,
                message.response_age_s,
            )
        elif isinstance(message, StopConfirmed):
            scheduler.apply_stop_response(
                message.worker, message.subtask, message.run, now
            )
        elif isinstance(message, InboxChanges):
            self.unapplied_changes.append(message)
        elif isinstance(message, StoredJobsRead):
            self.take_up.apply(message, self.job_records.add_read)
        elif isinstance(message, WorkersUpdated):
            if message.records is not None:
                self._apply_workers(message.records, now)
            self.workers_confirmed_at = message.confirmed_at
        elif isinstance(message, WriteDone):
            self.writer.is_busy = False
            self._apply_write_result(message)
        elif isinstance(message, ReportFailed):
            scheduler.apply_report_failure(message.worker, now, message.was_reset)
        elif isinstance(message, IncarnationReplaced):
            scheduler.apply_worker_replacement(message.worker, now)
        elif isinstance(message, OwnerSuperseded):
            self._give_up_role(
                f"worker {message.worker} has accepted orders of a newer owner"
            )
        elif isinstance(message, AdviceFinished):
            scheduler.apply_advice(message.step, message.tickets, message.valid_s, now)

    def _is_outdated(self, message: PoolMessage) -> bool:
        """Return whether a message is about an earlier incarnation than the known one.

        The list of workers may be read before the last messages of a link.
        """
        if not isinstance(message, (ReportReceived, ReportFailed, IncarnationReplaced)):
            return False
        view = self.scheduler.workers.get(message.worker)
        return view is not None and view.record.born_ms != message.born_ms

    def _apply_changes(self) -> None:
        batches, self.unapplied_changes = self.unapplied_changes, []
        try:
            rows = tuple(row for batch in batches for row in batch.changes)
            self._apply_inbox(rows, {})
        finally:
            for batch in batches:
                if batch.applied is not None:
                    batch.applied.set()

    def _apply_inbox(
        self,
        changes: tuple[tuple[str, bytes | None, int], ...],
        progress_by_job: dict[str, bytes],
    ) -> None:
        now = read_steady_clock()
        prefix = inbox_prefix(self.pool)
        cancel_prefix = cancel_key(self.pool, "")
        for key, value, revision in sorted(
            changes, key=lambda change: change[0].startswith(cancel_prefix)
        ):
            kind, _, name = key.removeprefix(prefix).partition("/")
            try:
                if kind == "orders":
                    self._apply_orders(value, revision, now)
                elif value is not None and kind == "in":
                    self.job_records.add(
                        name, value, revision, progress_by_job.get(name), now
                    )
                elif value is not None and kind == "cancel":
                    self._apply_cancel(key, now)
            except Exception:
                # The other changes are not read again.
                log_failure("inbox_change_failed", pool=self.pool, key=key)

    def _apply_orders(self, value: bytes | None, revision: int, now: float) -> None:
        try:
            orders = decode_orders(value) if value is not None else PoolOrders()
        except RecordInvalid as error:
            log_warning("orders_refused", pool=self.pool, error=str(error))
            return
        # Each notice is applied once: read again, one without a start time would end
        # a later incarnation with the same identifier.
        previous, self.ended_incarnations = self.ended_incarnations, set(orders.ended)
        self.scheduler.apply_incarnation_ends(
            (
                (incarnation.worker, incarnation.born_ms, incarnation.is_planned)
                for incarnation in self.ended_incarnations - previous
            ),
            now,
        )
        # The orders that name a worker's end no longer name it as draining; until
        # then it drains, so that its end counts as planned.
        self.scheduler.set_workers_to_drain(set(orders.emptying))
        self.orders_revision = revision

    def _apply_workers(self, records: list[WorkerRecord], now: float) -> None:
        # Orders may be read before the list, and an ended incarnation stays listed
        # until its entry expires. Only a start time shows that it isn't a later one.
        ended = {(i.worker, i.born_ms) for i in self.ended_incarnations if i.born_ms}
        pool_records = []
        for record in records:
            if record.pool != self.pool:
                continue
            if (record.worker, record.born_ms) in ended:
                self.scheduler.unread_workers.forget(record.worker)
            else:
                pool_records.append(record)
        self.scheduler.update_workers(pool_records, now)
        self.last_tracking_check_at = 0.0

    def _resume_lease_extension(self, worker: str) -> None:
        """Extend the lease of a worker that responds again.

        The lease is not extended while late starts may still reach the worker.
        """
        link = self.links.get(worker)
        view = self.scheduler.workers.get(worker)
        if link is not None and view is not None and not view.unresolved_starts:
            link.is_lease_extension_suspended = False

    def _apply_write_result(self, done: WriteDone) -> None:
        if not done.is_stored:
            for job in done.batch.jobs:
                self.scheduler.dirty_jobs.setdefault(job.id, job)
            self.keys_to_remove |= dict.fromkeys(done.batch.removals)
            self.summary.stored = None
            self.tracked_workers = ()
            return
        for job in done.batch.jobs:
            self.scheduler.record_stored(job)
        for (worker, born_ms), end_number in done.batch.acknowledged_ends.items():
            link = self.links.get(worker)
            if link is not None and link.record.born_ms == born_ms:
                link.acknowledged_end = max(link.acknowledged_end, end_number)

    # Actions ---------------------------------------------------------------

    def _step(self) -> None:
        if not self.is_loaded or self.stopping.is_set():
            return
        now = read_steady_clock()
        self.scheduler.ranking.shares.organisations = self.get_organisations()
        self._update_links()
        # After a network partition, changes may be read before the loss of the role.
        if self.unapplied_changes and self.is_exclusive_holder():
            self._apply_changes()
        self.take_up.step(now)
        self.scheduler.can_expire_leases = self.is_exclusive_holder()
        is_list_old = now - self.workers_confirmed_at > LIST_CONFIRMATION_TIMEOUT_S
        self.scheduler.is_paused = is_list_old or not self.is_confirmed(
            ROLE_CONFIRMATION_TIMEOUT_S
        )
        for name, link in self.links.items():
            view = self.scheduler.workers.get(name)
            if view is not None:
                view.lease_expires_at = link.lease_expires_at
        self.scheduler.capped_starts = self.get_capped_starts()
        commands = self.scheduler.schedule(now, read_wall_clock_ms())
        for command in commands:
            self._execute(command)
        watched = self.scheduler.list_watched_workers()
        for name, link in self.links.items():
            link.is_watched = name in watched
        self._write(now)
        if self.load.report(self.longest_pass_s, now):
            self.longest_pass_s = 0.0

    def _update_links(self) -> None:
        views = self.scheduler.workers
        now = read_steady_clock()
        for name, link in list(self.links.items()):
            view = views.get(name)
            if view is None or view.record.born_ms != link.record.born_ms:
                link.stop()
                del self.links[name]
                self.long_leases.record_end(name, now)
        self.long_leases.expire(now)
        for name, view in views.items():
            if name in self.links:
                continue
            self.long_leases.check_restart(
                view.record, self.scheduler.unread_workers, now
            )
            try:
                link = WorkerLink(
                    view.record,
                    self.role.fence,
                    self.worker_lease_ms,
                    self.max_worker_lease_ms,
                    self._may_extend_leases,
                    self.messages.put,
                    self.long_leases.until.get(name, 0.0),
                )
                link.start()
            except Exception as error:
                # The orders to the other workers must not wait for this one.
                self.link_failures.record_failure(
                    name, error, pool=self.pool, worker=name
                )
                continue
            self.link_failures.clear(name)
            self.links[name] = link

    def _may_extend_leases(self) -> bool:
        """Return whether the role may still be held.

        The process's lease may be confirmed for other roles after this one was lost.
        """
        return not self.stopping.is_set() and self.is_confirmed(
            ROLE_CONFIRMATION_TIMEOUT_S
        )

    def _execute(self, command: Command) -> None:
        if isinstance(command, AdviceCommand):
            self.advice_calls.request(self.pool, command, self.messages)
            return
        link = self.links.get(command.worker)
        if link is not None:
            link.send(command)

    # Writing ---------------------------------------------------------------

    def _write(self, now: float) -> None:
        if self.writer.is_busy:
            return
        dirty_jobs = self.scheduler.dirty_jobs
        has_urgent_job = self.scheduler.has_unstored_announcements() or any(
            job.state.is_final for job in dirty_jobs.values()
        )
        is_due = now - self.last_write_at >= PROGRESS_INTERVAL_S
        puts = self._build_pool_puts(now)
        has_unacknowledged_ends = any(
            view.last_applied_end > self.links[name].acknowledged_end
            for name, view in self.scheduler.workers.items()
            if name in self.links
        )
        if not (
            puts
            or (dirty_jobs and has_urgent_job)
            or (is_due and (dirty_jobs or has_unacknowledged_ends))
        ):
            return
        jobs = sorted(dirty_jobs.values(), key=lambda job: not job.state.is_final)
        jobs = jobs[: MAX_BATCH_ENTRIES - len(puts)]
        for job in jobs:
            del dirty_jobs[job.id]
            self.scheduler.record_encoded(job)
            puts.append(self._build_progress_put(job))
            if job.state.is_final:
                self._schedule_removal(job.id)
        # Ends are acknowledged only with the batch that stores all remaining progress.
        applied_ends = self.scheduler.get_applied_ends() if not dirty_jobs else {}
        removals = self._take_removals(now, MAX_BATCH_ENTRIES - len(puts))
        if not puts and not removals:
            self._apply_write_result(
                WriteDone(WriteBatch((), (), (), applied_ends), True)
            )
            return
        self.last_write_at = now
        batch = WriteBatch(tuple(puts), tuple(removals), tuple(jobs), applied_ends)
        self.writer.write(batch)

    def _build_progress_put(self, job: Job) -> Put:
        return Put(progress_key(self.pool, job.id), encode_progress(job))

    def _build_pool_puts(self, now: float) -> list[Put]:
        puts = self._build_tracking_puts(now)
        lease = self.get_role_lease()
        if lease is not None:
            summary = self.summary.build_due(self.orders_revision, now)
            if summary is not None:
                puts.append(Put(summary_key(self.pool), encode_summary(summary), lease))
        return puts

    def _build_tracking_puts(self, now: float) -> list[Put]:
        """Return a put of the list of tracked workers if it has changed."""
        if now - self.last_tracking_check_at < TRACKING_CHECK_INTERVAL_S:
            return []
        self.last_tracking_check_at = now
        tracked_workers = self.scheduler.list_tracked_workers(now)
        # An unreadable list is kept until no run of an earlier owner can be left.
        is_readable = all(w.worker != UNKNOWN_WORKER for w in tracked_workers)
        if tracked_workers == self.tracked_workers or not is_readable:
            return []
        self.tracked_workers = tracked_workers
        record = TrackedWorkersRecord(tracked_workers, self.long_leases.describe(now))
        return [Put(tracked_workers_key(self.pool), encode_tracked_workers(record))]

    def _schedule_removal(self, job: str) -> None:
        self.keys_to_remove[submission_key(self.pool, job)] = None
        self.keys_to_remove[cancel_key(self.pool, job)] = None

    def _take_removals(self, now: float, limit: int) -> list[str]:
        """Return up to ``limit`` keys of ended jobs to remove, in rare batches."""
        if now - self.last_cleanup_at < CLEANUP_INTERVAL_S or limit <= 0:
            return []
        self._expire_progress(now)
        batch_keys = list(islice(self.keys_to_remove, limit))
        for key in batch_keys:
            del self.keys_to_remove[key]
        if not self.keys_to_remove:
            self.last_cleanup_at = now
        return batch_keys

    def _expire_progress(self, now: float) -> None:
        ended = self.scheduler.job_table.ended
        ended_at_by_job = self.ended_earlier | {
            job: ended_at for job, (_, ended_at) in ended.items()
        }
        for job, ended_at in ended_at_by_job.items():
            if now - ended_at > self.job_state_retention_s + CLEANUP_INTERVAL_S:
                ended.pop(job, None)
                self.ended_earlier.pop(job, None)
                self.keys_to_remove[progress_key(self.pool, job)] = None
                self.keys_to_remove[accepted_key(job)] = None
