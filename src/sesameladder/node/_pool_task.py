"""Owns one pool: feeds events to its scheduler and carries out the commands."""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from queue import Empty, SimpleQueue
from threading import Event, Thread

from sesameladder.fleet import (
    DEMAND_ROUNDING_CORES,
    EndedIncarnation,
    PoolOrders,
    PoolSummary,
)
from sesameladder.jobs import (
    AdviceCommand,
    Command,
    Job,
    JobRecord,
    PoolScheduler,
    ProgressInvalid,
    WorkerRecord,
    decode_progress,
    encode_progress,
)
from sesameladder.node._clock import read_steady, read_wall_ms
from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import (
    cancel_key,
    inbox_prefix,
    progress_key,
    progress_prefix,
    submission_key,
    summary_key,
    tracked_key,
)
from sesameladder.node._pool_writer import PoolWriter, WriteBatch, WriteDone
from sesameladder.node._records import (
    decode_names,
    decode_orders,
    decode_submission,
    encode_names,
    encode_summary,
)
from sesameladder.node._roles import HeldRole
from sesameladder.node._telemetry import logger, note, warn
from sesameladder.node._worker_link import (
    FencedOff,
    LinkMessage,
    ReportArrived,
    ReportFailed,
    StartAnswered,
    StopAnswered,
    WorkerLink,
    WorkerLost,
)
from sesameladder.platform import (
    AdviceClient,
    PlatformCallError,
    Put,
    RecordInvalid,
    RevisionExpired,
    StoreClient,
)

TICK_S = 0.1  # timers of the scheduler have this resolution
PROGRESS_INTERVAL_S = 0.25  # ends wait this long for others, then are acknowledged
SUMMARY_INTERVAL_S = 1.0  # pending counts may be 2 s old
DEMAND_INTERVAL_S = 0.2  # a turn of demand builds up over 3 s; a move takes 1.5 s
SUMMARY_LOOK_S = 0.1  # half of the above; a summary goes through all open jobs
CLEAN_INTERVAL_S = 8.0  # removals of ended jobs wake the pool's own watch
MAX_BATCH_ENTRIES = 24  # of the 32 that a transaction takes
WATCH_WAIT_MS = 1000
RETRY_PAUSE_S = 0.15
ROLE_CONFIRMATION_TIMEOUT_S = 3.0  # running work outlives it by a lease, 7 s in all
UNREAD_WORKER_WAIT_S = 7.5  # the cutoff above and one lease of running work


@dataclass(frozen=True, slots=True)
class InboxChanges:
    """Changes under the pool's inbox: key, value or None, revision."""

    rows: tuple[tuple[str, bytes | None, int], ...]


@dataclass(frozen=True, slots=True)
class WorkersRead:
    """A new reading of the list of workers."""

    records: list[WorkerRecord]


@dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """Tickets for a step; None when the call failed."""

    step: tuple[str, int, int]
    tickets: dict[str, str] | None
    valid_s: float


class StopPool:
    """Ends the task."""


PoolMessage = (
    LinkMessage | InboxChanges | WorkersRead | WriteDone | AdviceAnswered | StopPool
)


class PoolTask:
    """One thread that owns a pool's state; links and writers talk to it."""

    __slots__ = (
        "advice",
        "cleaned_at",
        "ended_lives",
        "held_back",
        "inbox",
        "is_confirmed",
        "is_loaded",
        "is_sure",
        "lease_ms",
        "links",
        "on_fenced",
        "orders_revision",
        "pool",
        "removals",
        "role",
        "role_lease",
        "scheduler",
        "status_s",
        "stopping",
        "store",
        "summarized_at",
        "summary",
        "summary_at",
        "thread",
        "tracked",
        "watching",
        "writer",
        "written_at",
    )

    def __init__(
        self,
        pool: str,
        role: HeldRole,
        store: StoreClient,
        advice: AdviceClient | None,
        lease_ms: int,
        status_s: float,
        is_confirmed: Callable[[float], bool],
        is_sure: Callable[[], bool],
        role_lease: Callable[[], int | None],
        on_fenced: Callable[[HeldRole, str], None],
    ) -> None:
        self.pool = pool
        self.role = role
        self.store = store
        self.advice = advice
        self.lease_ms = lease_ms
        self.status_s = status_s
        self.is_confirmed = is_confirmed
        self.is_sure = is_sure
        self.role_lease = role_lease
        self.on_fenced = on_fenced
        self.inbox: SimpleQueue[PoolMessage] = SimpleQueue()
        self.scheduler = PoolScheduler(role.term, self._note, fence=role.fence)
        self.links: dict[str, WorkerLink] = {}
        self.writer = PoolWriter(pool, role, store, self.inbox.put, self._lose)
        self.watching = DependencyState(f"store:inbox {pool}")
        self.stopping = Event()
        self.is_loaded = False
        self.held_back: list[tuple[str, bytes | None, int]] = []
        """Changes of the inbox that wait for the role to be confirmed."""

        self.removals: list[str] = []
        self.cleaned_at = self.written_at = self.summary_at = read_steady()
        self.summarized_at = 0.0
        self.summary: PoolSummary | None = None
        self.orders_revision = 0
        self.ended_lives: set[EndedIncarnation] = set()
        self.tracked: tuple[str, ...] = ()
        self.thread = Thread(target=self._run, name=f"pool {pool}", daemon=True)

    def start(self) -> None:
        """Start to load the pool's state and to own it."""
        self.thread.start()

    def stop(self) -> None:
        """End the task; what it has not stored is learned anew by the next owner."""
        self.stopping.set()
        self.inbox.put(StopPool())

    def _note(self, event: str, /, **fields: object) -> None:
        note(event, pool=self.pool, **fields)

    def _lose(self, reason: str) -> None:
        self.on_fenced(self.role, reason)

    # Loading ---------------------------------------------------------------

    def _run(self) -> None:
        revision = self._load()
        if revision is None:
            return
        self.writer.start()
        Thread(
            target=self._watch_inbox,
            args=(revision,),
            name=f"inbox {self.pool}",
            daemon=True,
        ).start()
        while not self.stopping.is_set():
            try:
                self._take_messages()
                self._act()
            except Exception:
                # One malformed event must not end the pool's service.
                extra = {"event": "pool_step_failed", "pool": self.pool}
                logger.exception("pool step failed", extra=extra)
        for link in self.links.values():
            link.stop()
        self.writer.stop()

    def _load(self) -> int | None:
        while not self.stopping.is_set():
            try:
                tracked = self.store.read(tracked_key(self.pool))
                page = self.store.read_range(inbox_prefix(self.pool))
                progress = self.store.read_range(progress_prefix(self.pool))
                self.writer.load_sequence()
            except PlatformCallError as error:
                warn("pool_load_failed", pool=self.pool, error=str(error))
                self.stopping.wait(RETRY_PAUSE_S)
                continue
            now = read_steady()
            records = {
                item.key.removeprefix(progress_prefix(self.pool)): item.value
                for item in progress.items
            }
            self.scheduler.unread_worker_deadline = now + UNREAD_WORKER_WAIT_S
            if tracked is not None:
                self.tracked = decode_names(tracked.value)
                self.scheduler.unlisted_workers = set(self.tracked)
            rows = tuple((item.key, item.value, item.revision) for item in page.items)
            self._apply_inbox(rows, records)
            self._note(
                "pool_loaded",
                term=self.role.term,
                jobs=len(self.scheduler.job_table.jobs),
                tracked=len(self.tracked),
            )
            self.is_loaded = True
            return page.revision
        return None

    def _watch_inbox(self, revision: int | None) -> None:
        prefix = inbox_prefix(self.pool)
        rows: tuple[tuple[str, bytes | None, int], ...]
        while not self.stopping.is_set():
            try:
                if revision is None:
                    page = self.store.read_range(prefix)
                    rows = tuple((i.key, i.value, i.revision) for i in page.items)
                    revision = page.revision
                else:
                    batch = self.store.watch(prefix, revision, WATCH_WAIT_MS)
                    rows = tuple((c.key, c.value, c.revision) for c in batch.changes)
                    revision = batch.revision
            except RevisionExpired:
                revision = None
                continue
            except PlatformCallError as error:
                self.watching.note_failure(error)
                revision = None
                self.stopping.wait(RETRY_PAUSE_S)
                continue
            self.watching.note_success()
            if rows:
                self.inbox.put(InboxChanges(rows))

    # Messages --------------------------------------------------------------

    def _take_messages(self) -> None:
        try:
            message = self.inbox.get(timeout=TICK_S)
        except Empty:
            return
        while True:
            self._apply(message)
            try:
                message = self.inbox.get_nowait()
            except Empty:
                return

    def _apply(self, message: PoolMessage) -> None:
        now = read_steady()
        scheduler = self.scheduler
        if isinstance(message, ReportArrived):
            scheduler.apply_report(message.worker, message.report, message.sent_at, now)
            self._regain(message.worker)
        elif isinstance(message, StartAnswered):
            scheduler.apply_start_outcome(
                message.worker, message.subtask, message.run, message.outcome, now
            )
        elif isinstance(message, StopAnswered):
            scheduler.apply_stop_response(
                message.worker, message.subtask, message.run, now
            )
        elif isinstance(message, InboxChanges):
            self.held_back.extend(message.rows)
        elif isinstance(message, WorkersRead):
            self._apply_workers(message.records, now)
        elif isinstance(message, WriteDone):
            self._apply_write(message)
        elif isinstance(message, ReportFailed):
            scheduler.apply_report_failure(message.worker, now)
        elif isinstance(message, WorkerLost):
            scheduler.apply_worker_replacement(message.worker, now)
        elif isinstance(message, FencedOff):
            self._lose(f"worker {message.worker} obeys a newer owner")
        elif isinstance(message, AdviceAnswered):
            scheduler.apply_advice(message.step, message.tickets, message.valid_s, now)

    def _apply_inbox(
        self,
        rows: tuple[tuple[str, bytes | None, int], ...],
        progress: dict[str, bytes],
    ) -> None:
        now = read_steady()
        prefix = inbox_prefix(self.pool)
        cancelled = []
        for key, value, revision in rows:
            kind, _, name = key.removeprefix(prefix).partition("/")
            if kind == "orders":
                self._apply_orders(value, revision, now)
            elif value is None:
                continue
            elif kind == "in":
                self._add_job(name, value, revision, progress.get(name), now)
            elif kind == "cancel":
                cancelled.append(name)
        for job in cancelled:
            self.scheduler.cancel_job(job, now)

    def _add_job(
        self, job: str, value: bytes, revision: int, progress: bytes | None, now: float
    ) -> None:
        try:
            submission = decode_submission(job, value, revision)
            record: JobRecord | None = None
            if progress is not None:
                record = decode_progress(job, progress, submission.spec)
        except (RecordInvalid, ProgressInvalid) as error:
            warn("job_record_refused", pool=self.pool, job=job, error=str(error))
            return
        if record is not None and record.state.is_final:
            self._forget_later(job)
        self.scheduler.add_job(submission, record, now)

    def _apply_orders(self, value: bytes | None, revision: int, now: float) -> None:
        try:
            orders = decode_orders(value) if value is not None else PoolOrders()
        except RecordInvalid as error:
            warn("orders_refused", pool=self.pool, error=str(error))
            return
        self.orders_revision = revision
        self.scheduler.set_workers_to_drain(set(orders.emptying))
        # A notice that is read again must not end a later life of the same name.
        known, self.ended_lives = self.ended_lives, set(orders.ended)
        for life in self.ended_lives - known:
            self.scheduler.apply_incarnation_end(life.worker, life.born_ms, now)

    def _apply_workers(self, records: list[WorkerRecord], now: float) -> None:
        own = [record for record in records if record.pool == self.pool]
        self.scheduler.update_workers(own, now)

    def _regain(self, worker: str) -> None:
        """Let the lease of a worker that answers again be extended."""
        link = self.links.get(worker)
        view = self.scheduler.workers.get(worker)
        if link is not None and view is not None and not view.unresolved_starts:
            link.is_silent = False

    def _apply_write(self, done: WriteDone) -> None:
        if not done.is_stored:
            for job in done.batch.jobs:
                self.scheduler.dirty_jobs.setdefault(job.id, job)
            self.removals.extend(done.batch.removals)
            self.summary = None
            self.tracked = ()
            return
        for worker, number in done.batch.ends.items():
            link = self.links.get(worker)
            if link is not None:
                link.acknowledged = max(link.acknowledged, number)

    # Actions ---------------------------------------------------------------

    def _act(self) -> None:
        if not self.is_loaded:
            return
        now = read_steady()
        # After a cut, news may arrive before the loss of the role does.
        if self.held_back and self.is_sure():
            rows, self.held_back = tuple(self.held_back), []
            self._apply_inbox(rows, {})
        self.scheduler.can_expire_leases = self.is_sure()
        self.scheduler.is_paused = not self.is_confirmed(ROLE_CONFIRMATION_TIMEOUT_S)
        for name, link in self.links.items():
            view = self.scheduler.workers.get(name)
            if view is not None:
                view.lease_expires_at = link.lease_expires_at
        commands = self.scheduler.schedule(now, read_wall_ms())
        self._match_links()
        for command in commands:
            self._carry_out(command)
        self._write(now)

    def _match_links(self) -> None:
        views = self.scheduler.workers
        for name, link in list(self.links.items()):
            view = views.get(name)
            if view is None or view.record.born_ms != link.record.born_ms:
                link.stop()
                del self.links[name]
        for name, view in views.items():
            if name not in self.links:
                link = WorkerLink(
                    view.record,
                    self.role.fence,
                    self.lease_ms,
                    lambda: self.is_confirmed(ROLE_CONFIRMATION_TIMEOUT_S),
                    self.inbox.put,
                )
                view.lease_expires_at = link.lease_expires_at
                self.links[name] = link
                link.start()

    def _carry_out(self, command: Command) -> None:
        if isinstance(command, AdviceCommand):
            Thread(target=self._ask_advice, args=(command,), daemon=True).start()
            return
        link = self.links.get(command.worker)
        if link is not None:
            link.send(command)

    def _ask_advice(self, command: AdviceCommand) -> None:
        tickets: dict[str, str] | None = None
        valid_s = 0.0
        sent_at = read_steady()
        if self.advice is not None:
            try:
                advice = self.advice.advise(
                    command.step, list(command.workers), command.expected_s
                )
                tickets = advice.tickets
                # Counted from the sending, which is earlier than the issue.
                valid_s = advice.valid_ms / 1000 - (read_steady() - sent_at)
            except PlatformCallError as error:
                warn("advice_failed", pool=self.pool, error=str(error))
                self.stopping.wait(RETRY_PAUSE_S)
        self.inbox.put(AdviceAnswered(command.step, tickets, valid_s))

    # Writing ---------------------------------------------------------------

    def _write(self, now: float) -> None:
        if self.writer.is_busy:
            return
        dirty_jobs = self.scheduler.dirty_jobs
        has_ended = any(job.state.is_final for job in dirty_jobs.values())
        is_due = now - self.written_at >= PROGRESS_INTERVAL_S
        puts = self._list_pool_puts(now)
        unacknowledged = any(
            view.last_applied_end > self.links[name].acknowledged
            for name, view in self.scheduler.workers.items()
            if name in self.links
        )
        if not (puts or has_ended or (is_due and (dirty_jobs or unacknowledged))):
            return
        jobs = sorted(dirty_jobs.values(), key=lambda job: not job.state.is_final)
        jobs = jobs[: MAX_BATCH_ENTRIES - len(puts)]
        for job in jobs:
            del dirty_jobs[job.id]
            puts.append(self._put_progress(job))
            if job.state.is_final:
                self._forget_later(job.id)
        # Ends are acknowledged only when no progress is left to store.
        ends = self.scheduler.get_applied_ends() if not dirty_jobs else {}
        removals = self._take_removals(now, MAX_BATCH_ENTRIES - len(puts))
        if not puts and not removals:
            self._apply_write(WriteDone(WriteBatch((), (), (), ends), True))
            return
        self.written_at = now
        batch = WriteBatch(tuple(puts), tuple(removals), tuple(jobs), ends)
        self.writer.write(batch)

    def _put_progress(self, job: Job) -> Put:
        return Put(progress_key(self.pool, job.id), encode_progress(job))

    def _list_pool_puts(self, now: float) -> list[Put]:
        puts = []
        tracked = tuple(sorted(self.scheduler.workers))
        if tracked != self.tracked and not self.scheduler.unlisted_workers:
            self.tracked = tracked
            puts.append(Put(tracked_key(self.pool), encode_names(tracked)))
        lease = self.role_lease()
        if lease is None or now - self.summarized_at < SUMMARY_LOOK_S:
            return puts
        self.summarized_at = now
        summary = self._summarize()
        if summary == self.summary:
            return puts
        known = self.summary
        asks_anew = known is None or (
            (summary.used_cores, summary.waiting_cores)
            != (known.used_cores, known.waiting_cores)
        )
        interval_s = DEMAND_INTERVAL_S if asks_anew else SUMMARY_INTERVAL_S
        is_due = now - self.summary_at >= interval_s
        is_urgent = known is None or (
            (summary.drained, summary.stoppable, summary.orders_revision)
            != (known.drained, known.stoppable, known.orders_revision)
        )
        if is_due or is_urgent:
            self.summary, self.summary_at = summary, now
            puts.append(Put(summary_key(self.pool), encode_summary(summary), lease))
        return puts

    def _summarize(self) -> PoolSummary:
        views = self.scheduler.workers.values()
        used, waiting = self.scheduler.estimate_core_demand()
        emptying = [view for view in views if view.drain_reason and view.has_reported]
        drained = sorted(view.id for view in emptying if not view.runs)
        stoppable = sorted(view.id for view in emptying if not view.has_long_running())
        return PoolSummary(
            self.scheduler.job_table.count_pending(),
            tuple(drained),
            tuple(stoppable),
            self.orders_revision,
            tuple(sorted(view.id for view in views if view.has_long_running())),
            _round_up(used),
            _round_up(waiting),
        )

    def _forget_later(self, job: str) -> None:
        self.removals.append(submission_key(self.pool, job))
        self.removals.append(cancel_key(self.pool, job))

    def _take_removals(self, now: float, most: int) -> list[str]:
        """Return keys of ended jobs to remove, in rare batches."""
        if now - self.cleaned_at < CLEAN_INTERVAL_S or most <= 0:
            return []
        self._expire_progress(now)
        taken, self.removals = self.removals[:most], self.removals[most:]
        if not self.removals:
            self.cleaned_at = now
        return taken

    def _expire_progress(self, now: float) -> None:
        ended = self.scheduler.job_table.ended
        for job, (_, at) in list(ended.items()):
            if now - at > self.status_s + CLEAN_INTERVAL_S:
                del ended[job]
                self.removals.append(progress_key(self.pool, job))


def _round_up(cores: float) -> int:
    return ceil(cores / DEMAND_ROUNDING_CORES) * DEMAND_ROUNDING_CORES
