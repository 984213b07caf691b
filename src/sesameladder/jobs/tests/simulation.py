"""Simulation of a pool's owners and workers on a virtual clock, with faults.

Orders and reports pass between real schedulers and simulated workers in the
encodings of the platform adapter. A checker that sees every start and end on the
workers records violations of the scheduling rules.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from sesameladder.jobs import (
    Command,
    EndReason,
    JobSpec,
    JobState,
    PaceCommand,
    PoolScheduler,
    ProgressInvalid,
    Resources,
    StartCommand,
    StartOrder,
    StartOutcome,
    StepSpec,
    StopCommand,
    Submission,
    SubtaskId,
    TrackedWorker,
    UnreadWorkers,
    WorkerRecord,
    decode_progress,
    encode_progress,
)
from sesameladder.jobs._copies import TailStatistics
from sesameladder.jobs.tests.capacity_checker import CapacityChecker
from sesameladder.node._pool_task import (
    ROLE_CONFIRMATION_TIMEOUT_S,
    UNREAD_WORKER_WAIT_S,
)
from sesameladder.node._worker_link import (
    CLOCK_DRIFT_FACTOR,
    LEASE_EXPIRY_SLACK_S,
    REPORT_WAIT_MS,
    WATCHED_REPORT_WAIT_MS,
    WORKER_LEASE_MS,
)
from sesameladder.platform._workers import (
    START_REJECTIONS,
    _decode_report,
    decode_subtask,
    encode_subtask,
)
from sesameladder.standins.system import SimulatedWork, SimulatedWorker

TICK_S = 0.02
LEASE_S = WORKER_LEASE_MS / 1000
CRASH_NOTICE_S = 0.4  # one read of the list of VMs, one write and one watch event
LIST_EXPIRY_S = 4.5
"""Time after which the list of workers drops a worker that does not report to it."""

REPORT_GAP_S = 0.1  # shorter than the product's, so that faults meet more reports
LIST_INTERVAL_S = 0.7  # time between two reads of the list of workers
WORKERS_PER_RACK = 4
RESPONSE_DELAY_S = 0.002
RESTART_DELAY_S = (1.0, 4.0)
"""Shortest and longest time until a worker that a run has crashed is back."""

CRASHES_UNTIL_KNOWN = 3  # rule BUDGET: "after three workers have crashed under it"
STARTS_AFTER_KNOWN = 2  # rule BUDGET: broken by the third more
LATE_FACTOR = 3.0  # rule Payoff: up to three times the objective is late
LOST_AFTER_S = 3.0  # rule LOST: time for which a job may have nothing running
LONGEST_GAP_S = 6.0 + LOST_AFTER_S
"""Time for which a long-running subtask may be away; rule LOST, "from 6 s after"."""

LATE_ORDERS_S = 9.0  # ``Simulation.late_share`` delays orders by up to 8 s
LAPSE_S = LEASE_S * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_SLACK_S
"""Time until the runs of a silent worker may be given up."""


@dataclass(slots=True)
class JobHistory:
    """What callers and workers saw of a job; times in seconds of the simulation."""

    submission: Submission
    work: SimulatedWork
    accepted_at: float
    state: JobState | None = None
    """Final state that the store shows; None before."""

    ended_at: float | None = None
    short_s: float = 0.0
    """Time from its acceptance to its end in which the pool was short of workers."""

    lost_runs: set[tuple[str, int]] = field(default_factory=set)
    """Runs that were lost with a worker, or whose end was, by subtask and number.

    Includes runs that were ordered of a worker that was down.
    """

    @property
    def is_crashing(self) -> bool:
        """Return whether any subtask crashes the workers that start it."""
        return self.work.crash_after_ms is not None

    @property
    def is_long_running(self) -> bool:
        """Return whether any step runs until the job is cancelled."""
        return any(step.is_long_running for step in self.submission.spec.steps)

    @property
    def objective_s(self) -> float:
        """Return the time in which the job earns in full, from its acceptance on."""
        submission = self.submission
        chain_s = self.work.duration_ms / 1000 * len(submission.spec.steps)
        return submission.stretch * chain_s + submission.target_offset_ms / 1000

    @property
    def latest_s(self) -> float:
        """Return the time until which the job still earns, from its acceptance on.

        Each loss of runs adds the time until a silent worker's runs may be given up
        and the time for which a job may have nothing running. The rule LOST leaves out
        times without capacity for twice what waits.
        """
        loss_s = len(self.lost_runs) * (LAPSE_S + LOST_AFTER_S)
        return LATE_FACTOR * self.objective_s + loss_s + self.short_s


class InvariantChecker:
    """Checks every start against the runs that really exist or have ended."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.active: dict[str, str] = {}
        self.second_active: dict[str, str] = {}
        """Worker of the second active run, of subtasks that may have two."""

        self.begun_runs: set[tuple[str, int]] = set()
        """Subtask and number of the runs that have begun."""

        self.pairs = 0
        """Number of starts beside another active run."""

        self.sender_knows_done: set[str] = set()
        """Subtasks that the sender of a start knew as done when it sent the start.

        Only these may not get a second run: the end of the first one reaches the owner
        while the start of the copy is under way.
        """

        self.done_at: dict[str, float] = {}
        self.unacknowledged: set[str] = set()
        """Tasks that ended as done without any owner having to learn of it.

        The worker crashed, or its lease expired, before the end was acknowledged.
        Such a task may be started again.
        """

        self.failed: dict[str, int] = {}
        self.lost: dict[str, int] = {}
        """Number of runs that were lost with their worker, by subtask."""

        self.crashes_that_excuse: int | None = None
        """Crashes under a subtask after which its sound job may fail; None for never.

        A run that ended before the crash, or never began, counts for none.
        """

        self.cancelled: dict[str, float] = {}
        self.jobs: dict[str, JobHistory] = {}
        self.crashes_under: dict[str, int] = {}
        """Number of workers that crashed while they ran a crashing subtask.

        Includes those that crashed by themselves or by another subtask.
        """

        self.crashes_by: dict[str, int] = {}
        """Number of workers that a subtask has crashed, by subtask."""

        self.starts_after_known: dict[str, int] = {}
        """Number of starts of a crashing subtask after the crashes that suffice."""

        self.ended_runs: dict[str, float] = {}
        """Time at which the last run of a long-running subtask ended, by subtask."""

        self.longest_gap_s = 0.0
        """Longest time between two runs of a long-running subtask."""

        self.is_sender_deposed = False
        """Whether the start under way was sent by an owner that has a successor."""

        self.starts = 0
        self.capacity = CapacityChecker(now)
        self.order_sent_at = 0.0
        """Time at which the start that a worker is executing was sent."""

        self.violations: list[str] = []

    def record_submission(self, submission: Submission) -> None:
        work = SimulatedWork.from_text(submission.spec.payload)
        self.jobs[submission.job] = JobHistory(submission, work, self.now())

    def record_start(self, worker: SimulatedWorker, task: str, run: int) -> None:
        self.starts += 1
        subtask = decode_subtask(task)
        history = self.jobs.get(subtask.job)
        where = f"{self.now():.2f} {task} run {run} on {worker.name}"
        excess = self.capacity.find_excess(worker, self.order_sent_at)
        if excess is not None:
            self.violations.append(f"{excess}: {where}")
        if history is None:
            self.violations.append(f"not requested: {where}")
            return
        submission = history.submission
        step = submission.spec.steps[subtask.step]
        # The members of a gang share a number, also those that are started again.
        if (task, run) in self.begun_runs and not step.gang:
            self.violations.append(f"run number used twice: {where}")
        self.begun_runs.add((task, run))
        others = {self.active.get(task), self.second_active.get(task)} - {None}
        is_pair = step.allows_copies and len(others) == 1 and worker.name not in others
        if others and not is_pair:
            self.violations.append(f"started twice: {where}, active on {others}")
        if (
            task in self.done_at
            and task not in self.unacknowledged
            and not step.is_long_running
            and (not step.allows_copies or task in self.sender_knows_done)
        ):
            self.violations.append(
                f"started twice: {where}, done at {self.done_at[task]:.2f}"
            )
        for before in step.after:
            for position in range(submission.spec.steps[before].count):
                earlier = SubtaskId(subtask.job, subtask.occurrence, before, position)
                if encode_subtask(earlier) not in self.done_at:
                    self.violations.append(
                        f"out of order: {where}, {earlier} is not done"
                    )
        limit = submission.max_attempts
        if not step.is_long_running and self.failed.get(task, 0) >= limit:
            self.violations.append(f"too many attempts: {where}")
        if self.now() - self.cancelled.get(subtask.job, 1e9) > 3.0:
            self.violations.append(f"not requested: {where}, cancelled")
        if others and is_pair:
            self.pairs += 1
            self.second_active[task] = worker.name
        else:
            self.active[task] = worker.name
        if history.work.crashes(task):
            self._record_crashing_start(task, where)
        if step.is_long_running:
            ended_at = self.ended_runs.pop(task, self.now())
            self.longest_gap_s = max(self.longest_gap_s, self.now() - ended_at)

    def record_end(
        self, worker: SimulatedWorker, task: str, run: int, reason: str
    ) -> None:
        if self.second_active.get(task) == worker.name:
            del self.second_active[task]
        elif self.active.get(task) == worker.name:
            del self.active[task]
            if task in self.second_active:
                self.active[task] = self.second_active.pop(task)
        if reason == "done":
            self.done_at.setdefault(task, self.now())
        if reason == "failed":
            self.failed[task] = self.failed.get(task, 0) + 1
        subtask = decode_subtask(task)
        history = self.jobs.get(subtask.job)
        if history is None:
            return
        if history.submission.spec.steps[subtask.step].is_long_running:
            self.ended_runs[task] = self.now()
        if reason == "lost":
            self.record_lost_run(task, run)
            self.lost[task] = self.lost.get(task, 0) + 1
            if history.work.crashes(task):
                self.crashes_under[task] = self.crashes_under.get(task, 0) + 1

    def record_unread_end(self, task: str, run: int) -> None:
        """Record that a run has ended as done and no owner need learn of it."""
        self.unacknowledged.add(task)
        self.record_lost_run(task, run)

    def record_gang_done(self, member: SubtaskId) -> None:
        """Record that all members of a gang are done, as one of them is."""
        step = self.jobs[member.job].submission.spec.steps[member.step]
        for position in range(step.count):
            task = encode_subtask(member._replace(position=position))
            self.done_at.setdefault(task, self.now())

    def record_lost_run(self, task: str, run: int) -> None:
        """Record a run that its owner has to give up and to start again."""
        history = self.jobs.get(decode_subtask(task).job)
        if history is not None:
            history.lost_runs.add((task, run))

    def record_crash(self, worker: SimulatedWorker, task: str, run: int) -> None:
        """Record that a run has crashed its worker; ``record_end`` came before."""
        self.crashes_by[task] = self.crashes_by.get(task, 0) + 1

    def record_shortage(self, seconds: float) -> None:
        """Record that the pool has just been short of workers for some seconds."""
        for history in self.jobs.values():
            if history.state is None:
                history.short_s += seconds

    def record_state(self, job: str, state: JobState) -> None:
        """Record the state of a job that the store shows from now on."""
        history = self.jobs[job]
        if history.state is not None and state is not history.state:
            self.violations.append(
                f"{self.now():.2f} {job} was shown as {history.state}, now {state}"
            )
        if not state.is_final or history.state is not None:
            return
        history.state, history.ended_at = state, self.now()
        limit = history.submission.max_attempts
        has_failed = any(
            count >= limit and decode_subtask(task).job == job
            for task, count in self.failed.items()
        )
        if self.crashes_that_excuse is not None:
            has_failed |= any(
                count >= self.crashes_that_excuse and decode_subtask(task).job == job
                for task, count in self.lost.items()
            )
        if state is JobState.FAILED and not history.is_crashing and not has_failed:
            self.violations.append(
                f"failed without cause: {self.now():.2f} {job},"
                f" {len(history.lost_runs)} runs lost"
            )

    def list_unfinished(self) -> list[str]:
        """Return the jobs that are not as they must be once all faults are over.

        A sound job is done, or all its subtasks run if it is long-running. A job with
        a crashing subtask has failed.
        """
        rows = []
        for job, history in self.jobs.items():
            state = history.state
            if job in self.cancelled or (
                state is JobState.FAILED and not history.is_crashing
            ):
                continue  # ``record_state`` judges the failures of sound jobs
            if history.is_crashing:
                is_right = state is JobState.FAILED
            elif history.is_long_running:
                is_right = all(task in self.active for task in _list_tasks(history))
            else:
                is_right = state is JobState.DONE
            if not is_right:
                kind = "crashing" if history.is_crashing else "sound"
                rows.append(f"{kind} job {job} is {state}")
        return rows

    def list_late_jobs(self) -> list[str]:
        """Return the sound jobs that ended later than the crashes may delay them."""
        rows = []
        for job, history in self.jobs.items():
            if history.state is not JobState.DONE:
                continue
            assert history.ended_at is not None
            took_s = history.ended_at - history.accepted_at
            if took_s > history.latest_s:
                rows.append(
                    f"{job} took {took_s:.1f} s, at most {history.latest_s:.1f} s,"
                    f" {len(history.lost_runs)} runs lost"
                )
        return rows

    def _record_crashing_start(self, task: str, where: str) -> None:
        crashes = self.crashes_under.get(task, 0)
        if crashes < CRASHES_UNTIL_KNOWN or self.is_sender_deposed:
            return
        starts = self.starts_after_known.get(task, 0) + 1
        self.starts_after_known[task] = starts
        if starts > STARTS_AFTER_KNOWN:
            self.violations.append(
                f"started though it crashes workers: {where}, start {starts} after"
                f" {CRASHES_UNTIL_KNOWN} crashes, {crashes} under it,"
                f" {self.crashes_by.get(task, 0)} by it"
            )


def _list_tasks(history: JobHistory) -> list[str]:
    submission = history.submission
    return [
        encode_subtask(SubtaskId(submission.job, 0, number, position))
        for number, step in enumerate(submission.spec.steps)
        for position in range(step.count)
    ]


@dataclass(eq=False)
class Owner:
    """An owner of the pool, with the leases and acknowledgements of its workers."""

    scheduler: PoolScheduler
    fence: int
    confirmed_at: float
    silent_workers: set[str] = field(default_factory=set)
    lease_until_ms: dict[str, float] = field(default_factory=dict)
    lease_expires_at: dict[str, float] = field(default_factory=dict)
    acknowledged: dict[str, int] = field(default_factory=dict)
    next_report_at: dict[str, float] = field(default_factory=dict)
    responded_at: dict[str, float] = field(default_factory=dict)
    known_done: set[str] = field(default_factory=set)
    """Subtasks whose end as done this owner has read, or an earlier one has stored."""

    is_deposed: bool = False
    is_partitioned_from_store: bool = False


class Simulation:
    """Simulation of one pool."""

    def __init__(self, seed: int, workers: int = 4, trace: bool = False) -> None:
        self.random = random.Random(seed)
        self.time = 0.0
        self.trace = trace
        self.checker = InvariantChecker(lambda: self.time)
        self.workers = [self._build_worker(number) for number in range(workers)]
        self.last_contact_at = {worker.name: 0.0 for worker in self.workers}
        self.partitioned: set[str] = set()
        """Names of the workers behind a network partition.

        Only an owner behind the same partition reaches them.
        """

        self.reachable_by_old_owner: set[str] = set()
        """Names of the workers that a deposed owner still reaches."""

        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.submissions: dict[str, Submission] = {}
        self.cancels: set[str] = set()
        self.progress: dict[str, bytes] = {}
        self.tracked: tuple[TrackedWorker, ...] = ()
        self.revision = 10
        self.owners: list[Owner] = []
        self.delayed_orders: list[Callable[[], None]] = []
        """Orders that arrive shortly after the end of the partition."""

        self.loss_share = 0.0
        """Share of orders whose response is lost; the worker executes them."""

        self.late_share = 0.0
        """Share of orders that arrive seconds late and whose response is lost."""

        self.report_gap_s: tuple[float, float] | None = None
        """Shortest and longest time between two reports of a worker to an owner.

        None for one every ``REPORT_GAP_S``, of all workers at the same time.
        """

        self.report_random = random.Random(seed)

        self.slow_share = 0.0
        """Share of runs that take 2 to 7 times as long as their work says."""

        self.fail_share = 0.0
        """Share of runs that end as failed."""

        self.run_random = random.Random(seed)
        self.copy_ratios: tuple[float, ...] = ()
        """Ratios of actual to expected time that each new owner begins with."""

        self.stored_done: set[str] = set()
        """Subtasks whose end as done an owner has acknowledged to the worker."""

        self.after_tick: Callable[[], None] | None = None

        self.restart_delay_s = RESTART_DELAY_S
        self.started_at: dict[str, float] = {}
        """Time of the latest restart after a crash, by worker."""

        self.on_crash: Callable[[str, int], None] | None = None
        """Called after a subtask has crashed its ``n``-th worker: subtask, ``n``."""

        self.ended_gangs: dict[tuple[str, int], str] = {}
        """How a member's run has ended, by step and run number of gangs."""

        self.events: list[tuple[float, str, dict[str, object]]] = []
        self.take_over()

    @property
    def owner(self) -> Owner:
        """Return the current owner."""
        return self.owners[-1]

    def submit(self, submission: Submission) -> None:
        """Accept a job."""
        self.revision += 1
        submission.revision = self.revision
        self.submissions[submission.job] = submission
        self.checker.record_submission(submission)
        self._call_owner(lambda o: o.scheduler.add_job(submission, None, self.time))

    def cancel(self, job: str) -> None:
        """Cancel a job."""
        self.cancels.add(job)
        self.checker.cancelled[job] = self.time
        self._call_owner(lambda o: o.scheduler.cancel_job(job, self.time))

    def crash(
        self, worker: SimulatedWorker, restart_after_s: float | None = None
    ) -> None:
        """End a worker's incarnation; ends without an acknowledgement are lost.

        For every second worker the list of VMs shows the crash soon after, and the
        owner learns which incarnation ended. The runs of the other workers are given
        up when the lease expires, or once the start time of the next incarnation
        shows. Without ``restart_after_s`` the worker stays down.
        """
        self._mark_unacknowledged(worker)
        worker.crash()
        self._announce_crash(worker)
        if restart_after_s is not None:
            self._restart_later(worker, restart_after_s)

    def take_over(self, partitions_old_owner: bool = False) -> None:
        """Make another process the owner of the pool."""
        if self.owners:
            self.owner.is_deposed = True
            self.owner.is_partitioned_from_store = partitions_old_owner
            if not partitions_old_owner:
                self.owner.confirmed_at = -1e9
        self.revision += 1
        term = len(self.owners) + 1
        scheduler = PoolScheduler(term, self._log_event, fence=self.revision)
        scheduler.unread_workers = UnreadWorkers.from_tracked(
            self.tracked, UNREAD_WORKER_WAIT_S, self.time
        )
        owner = Owner(scheduler, self.revision, self.time)
        owner.known_done.update(self.stored_done)
        self._add_copy_ratios(scheduler)
        self.owners.append(owner)
        for job, submission in self.submissions.items():
            record = None
            if job in self.progress:
                try:
                    record = decode_progress(job, self.progress[job], submission.spec)
                except ProgressInvalid as error:  # pragma: no cover
                    raise AssertionError(error) from error
            scheduler.add_job(submission, record, self.time)
        for job in self.cancels:
            scheduler.cancel_job(job, self.time)
        scheduler.update_workers(self._list_workers(), self.time)

    def get_rack(self, number: int) -> list[SimulatedWorker]:
        """Return the workers in a rack; racks hold four and are counted from 1."""
        return [w for w in self.workers if self._find_rack(w) == f"r1-{number}"]

    def run_until_ended(self, limit_s: float) -> bool:
        """Advance until all jobs are as they must be; False if the limit passes."""
        until = self.time + limit_s
        while self.time < until:
            if not self.checker.list_unfinished():
                return True
            self.run(0.5)
        return False

    def run(self, seconds: float) -> None:
        """Advance the simulation by a number of seconds."""
        until = self.time + seconds
        while self.time < until:
            self.time = round(self.time + TICK_S, 6)
            while self.queue and self.queue[0][0] <= self.time:
                heapq.heappop(self.queue)[2]()
            self._run_gangs()  # a member of a gang that has broken can't be done now
            for worker in self.workers:
                if worker.is_up:
                    worker.advance()
                    if worker.now_ms() >= worker.lease_expires_at_ms:
                        self._mark_unacknowledged(worker)
                    if worker.name not in self.partitioned:
                        self.last_contact_at[worker.name] = self.time
            self._run_gangs()
            if self._is_short_of_workers():
                self.checker.record_shortage(TICK_S)
            for owner in self.owners[-2:]:
                self._run_owner(owner)
            if self.after_tick is not None:
                self.after_tick()

    def run_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call a function once a number of seconds has passed."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.time + delay_s, self.sequence, action))

    def end_partition(self) -> None:
        """End all partitions; delayed orders arrive within a second."""
        self.partitioned = self.reachable_by_old_owner = set()
        for action in self.delayed_orders:
            self.run_later(self.random.uniform(0.0, 1.0), action)
        self.delayed_orders.clear()

    def count_states(self) -> dict[JobState, int]:
        """Return the number of the owner's jobs, by state."""
        counts: dict[JobState, int] = {}
        job_table = self.owner.scheduler.job_table
        states = [state for state, _ in job_table.ended.values()]
        states.extend(job.state for job in job_table.jobs.values())
        for state in states:
            counts[state] = counts.get(state, 0) + 1
        return counts

    # Implementation --------------------------------------------------------

    def _build_worker(self, number: int) -> SimulatedWorker:
        rate = 0.98 if number % 2 else 1.0
        return SimulatedWorker(
            f"i-{number}",
            lambda: self.time * 1000 * rate + 1000,
            on_start=self._handle_start,
            on_end=self._handle_end,
            on_acknowledge=self._handle_acknowledgement,
            on_crash=self._handle_crash,
        )

    def _add_copy_ratios(self, scheduler: PoolScheduler) -> None:
        tail = scheduler.copies.tails.setdefault(("queue", ""), TailStatistics())
        for ratio in self.copy_ratios:
            tail.add(ratio)

    def _handle_start(self, worker: SimulatedWorker, task: str, run: int) -> None:
        self.checker.record_start(worker, task, run)
        active = worker.runs[task]
        if self.run_random.random() < self.slow_share:
            factor = self.run_random.uniform(2.0, 7.0)
            duration_ms = round(factor * active.work.duration_ms)
            active.work = replace(active.work, duration_ms=duration_ms)
        if self.run_random.random() < self.fail_share:
            active.work = replace(active.work, fails=True)

    def _handle_acknowledgement(
        self, worker: SimulatedWorker, task: str, run: int, reason: str
    ) -> None:
        if reason == "done":
            self.stored_done.add(task)

    def _handle_end(
        self, worker: SimulatedWorker, task: str, run: int, reason: str
    ) -> None:
        self.checker.record_end(worker, task, run, reason)
        subtask = decode_subtask(task)
        submission = self.submissions.get(subtask.job)
        if submission is not None and submission.spec.steps[subtask.step].gang:
            step = task.rpartition(".")[0]
            if self.ended_gangs.setdefault((step, run), reason) == "done":
                self.checker.record_gang_done(subtask)

    def _run_gangs(self) -> None:
        """Let complete gangs work, and end the members of those that broke.

        Members are done at the same time; a run that ends otherwise breaks the gang.
        """
        gangs: dict[tuple[str, int], list[tuple[SimulatedWorker, str]]] = {}
        for worker in self.workers:
            for active in worker.runs.values():
                if active.work.waits_for_gang:
                    key = active.task.rpartition(".")[0], active.run
                    gangs.setdefault(key, []).append((worker, active.task))
        for key, members in gangs.items():
            subtask = decode_subtask(members[0][1])
            size = self.submissions[subtask.job].spec.steps[subtask.step].count
            for worker, task in members:
                if key in self.ended_gangs:
                    is_done = self.ended_gangs[key] == "done"
                    worker.end_member(task, "done" if is_done else "broken")
                elif (
                    len(members) == size and worker.runs[task].working_since_ms is None
                ):
                    worker.begin_work(task)

    def _handle_crash(self, worker: SimulatedWorker, task: str, run: int) -> None:
        self.checker.record_crash(worker, task, run)
        self._mark_unacknowledged(worker)
        self._announce_crash(worker)
        self._restart_later(worker, self.random.uniform(*self.restart_delay_s))
        if self.on_crash is not None:
            self.on_crash(task, self.checker.crashes_by[task])

    def _announce_crash(self, worker: SimulatedWorker) -> None:
        if worker not in self.workers[::2]:
            return
        name, born_ms = worker.name, worker.born_ms
        self.run_later(
            CRASH_NOTICE_S,
            lambda: self._call_owner(
                lambda o: o.scheduler.apply_incarnation_end(name, born_ms, self.time)
            ),
        )

    def _is_short_of_workers(self) -> bool:
        """Return whether under half of the workers are up and have long been so."""
        usable = [
            worker
            for worker in self.workers
            if worker.is_up
            and self.time - self.started_at.get(worker.name, -1e9) >= LIST_INTERVAL_S
        ]
        return 2 * len(usable) < len(self.workers)

    def _is_time_for(self, interval_s: float) -> bool:
        """Return whether something that is done at an interval is due now."""
        return round(self.time / TICK_S) % round(interval_s / TICK_S) == 0

    def _restart_later(self, worker: SimulatedWorker, delay_s: float) -> None:
        born_ms = worker.born_ms

        def restart() -> None:
            if worker.born_ms == born_ms and not worker.is_up:
                worker.restart()
                self.started_at[worker.name] = self.time

        self.run_later(delay_s, restart)

    def _find_rack(self, worker: SimulatedWorker) -> str:
        return f"r1-{self.workers.index(worker) // WORKERS_PER_RACK + 1}"

    def _mark_unacknowledged(self, worker: SimulatedWorker) -> None:
        for _, task, run, reason in worker.ends:
            if reason == "done":
                self.checker.record_unread_end(task, run)

    def _log_event(self, event: str, /, **fields: object) -> None:
        self.events.append((self.time, event, fields))
        if self.trace:  # pragma: no cover
            print(f"{self.time:8.2f} {event} {fields}")

    def _call_owner(self, action: Callable[[Owner], None]) -> None:
        for owner in self.owners[-2:]:
            if not owner.is_deposed:
                action(owner)

    def _list_workers(self) -> list[WorkerRecord]:
        return [
            WorkerRecord(
                worker.name,
                worker.born_ms,
                "pool",
                worker.name,
                "zone-a",
                Resources(worker.capacity, 64_000),
                ("a", self._find_rack(worker)),
                is_draining=False,
            )
            for worker in self.workers
            if self.time - self.last_contact_at[worker.name] < LIST_EXPIRY_S
        ]

    def _run_owner(self, owner: Owner) -> None:
        scheduler = owner.scheduler
        if not owner.is_deposed:
            owner.confirmed_at = self.time
        age = self.time - owner.confirmed_at
        if age > ROLE_CONFIRMATION_TIMEOUT_S:
            return
        scheduler.can_expire_leases = age < 1.0
        scheduler.is_paused = False
        if not owner.is_deposed and self._is_time_for(LIST_INTERVAL_S):
            scheduler.update_workers(self._list_workers(), self.time)
        for command in scheduler.schedule(self.time, self.time * 1000):
            self._send(owner, command)
        for worker in self.workers:
            if self._is_report_due(owner, worker):
                self._report(owner, worker)
        if not owner.is_deposed and self._is_time_for(0.2):
            self._store(owner)

    def _store(self, owner: Owner) -> None:
        for job in owner.scheduler.take_dirty_jobs():
            self.progress[job.id] = encode_progress(job)
            owner.scheduler.record_stored(job)
            self.checker.record_state(job.id, job.state)
        self.tracked = owner.scheduler.list_tracked_workers(self.time)
        applied = owner.scheduler.get_applied_ends().items()
        owner.acknowledged.update({worker: end for (worker, _), end in applied})

    def _can_reach(self, owner: Owner, worker: SimulatedWorker) -> bool:
        if owner.is_partitioned_from_store:
            return worker.name in self.reachable_by_old_owner
        return worker.name not in self.partitioned

    def _extend_lease(self, owner: Owner, worker: SimulatedWorker) -> float:
        """Extend the lease unless the worker is silent; return its end.

        The end is in milliseconds of the worker's clock.
        """
        if worker.name not in owner.silent_workers:
            owner.lease_until_ms[worker.name] = worker.now_ms() + LEASE_S * 1000
            lease_expires_at = (
                self.time + LEASE_S * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_SLACK_S
            )
            owner.lease_expires_at[worker.name] = max(
                lease_expires_at, owner.lease_expires_at.get(worker.name, 0.0)
            )
            view = owner.scheduler.workers.get(worker.name)
            if view is not None:
                view.lease_expires_at = owner.lease_expires_at[worker.name]
        return owner.lease_until_ms.get(worker.name, 0.0)

    def _send(self, owner: Owner, command: Command) -> None:
        if isinstance(command, (StartCommand, StopCommand)):
            worker = next(w for w in self.workers if w.name == command.worker)
            if isinstance(command, StartCommand):
                self._send_start(owner, worker, command)
            else:
                self._send_stop(owner, worker, command)
        else:
            assert isinstance(command, PaceCommand)

    def _send_start(
        self, owner: Owner, worker: SimulatedWorker, command: StartCommand
    ) -> None:
        order = command.order
        body = {
            "task": encode_subtask(order.subtask),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": self._extend_lease(owner, worker),
            "fence": owner.fence,
        }
        born = owner.scheduler.workers[worker.name].record.born_ms
        sent_at = self.time

        known_done = set(owner.known_done)

        response_age_s = sent_at - owner.responded_at.get(worker.name, -1e9)

        def apply_outcome(outcome: StartOutcome) -> None:
            owner.scheduler.apply_start_outcome(
                worker.name,
                order.subtask,
                order.run,
                outcome,
                self.time,
                response_age_s,
            )

        def deliver(has_response: bool) -> None:
            worker.advance()
            if not worker.is_up:
                task = encode_subtask(order.subtask)
                self.checker.record_lost_run(task, order.run)
            if not worker.is_up or not self._can_reach(owner, worker):
                if has_response:
                    self.run_later(0.5, lambda: apply_outcome(StartOutcome.UNANSWERED))
                if worker.is_up:
                    self.delayed_orders.append(lambda: deliver(False))
                return
            if worker.born_ms != born:
                outcome = StartOutcome.OTHER_INCARNATION
            else:
                self.checker.order_sent_at = sent_at
                self.checker.is_sender_deposed = owner.is_deposed
                self.checker.sender_knows_done = known_done
                status, response = worker.start(body)
                outcome = (
                    StartOutcome.STARTED
                    if status == 200
                    else START_REJECTIONS[response["reason"]]
                )
                if status == 200 and self._crashes_before_response(worker, order):
                    outcome = StartOutcome.UNANSWERED
            if has_response:
                self.run_later(RESPONSE_DELAY_S, lambda: apply_outcome(outcome))

        self._deliver(deliver, lambda: apply_outcome(StartOutcome.UNANSWERED))

    def _crashes_before_response(
        self, worker: SimulatedWorker, order: StartOrder
    ) -> bool:
        """Return whether the run crashes the worker before the response has left."""
        active = worker.runs.get(encode_subtask(order.subtask))
        if active is None or not active.work.crashes(active.task):
            return False
        assert active.work.crash_after_ms is not None
        is_early = active.work.crash_after_ms <= RESPONSE_DELAY_S * 1000
        return is_early and self.random.random() < 0.5

    def _send_stop(
        self, owner: Owner, worker: SimulatedWorker, command: StopCommand
    ) -> None:
        task = encode_subtask(command.subtask)
        body = {"task": task, "run": command.run, "fence": owner.fence}
        view = owner.scheduler.workers.get(worker.name)
        born = view.record.born_ms if view is not None else 0

        def deliver(has_response: bool) -> None:
            worker.advance()
            if not worker.is_up or not self._can_reach(owner, worker):
                return
            if worker.born_ms == born:
                worker.stop(body)
            if has_response:
                self.run_later(
                    RESPONSE_DELAY_S,
                    lambda: owner.scheduler.apply_stop_response(
                        worker.name, command.subtask, command.run, self.time
                    ),
                )

        self._deliver(deliver, lambda: None)

    def _deliver(
        self, deliver: Callable[[bool], None], report_timeout: Callable[[], None]
    ) -> None:
        draw = self.random.random()
        if draw < self.loss_share:
            self.run_later(RESPONSE_DELAY_S, lambda: deliver(False))
            self.run_later(0.8, report_timeout)
        elif draw < self.loss_share + self.late_share:
            self.run_later(self.random.uniform(2.0, 8.0), lambda: deliver(False))
            self.run_later(0.8, report_timeout)
        else:
            self.run_later(RESPONSE_DELAY_S, lambda: deliver(True))

    def _is_report_due(self, owner: Owner, worker: SimulatedWorker) -> bool:
        if self.report_gap_s is None:
            return self._is_time_for(REPORT_GAP_S)
        if self.time < owner.next_report_at.get(worker.name, 0.0):
            return False
        gap_s = self.report_random.uniform(*self.report_gap_s)
        if worker.name in owner.scheduler.list_watched_workers():
            gap_s *= WATCHED_REPORT_WAIT_MS / REPORT_WAIT_MS
        owner.next_report_at[worker.name] = self.time + gap_s - TICK_S / 2
        return True

    def _report(self, owner: Owner, worker: SimulatedWorker) -> None:
        view = owner.scheduler.workers.get(worker.name)
        if view is None:
            return
        worker.advance()
        if not worker.is_up or not self._can_reach(owner, worker):
            owner.silent_workers.add(worker.name)
            has_ended = self._can_reach(owner, worker)
            owner.scheduler.apply_report_failure(worker.name, self.time, has_ended)
            return
        if worker.born_ms != view.record.born_ms:
            owner.scheduler.apply_worker_replacement(worker.name, self.time)
            owner.acknowledged.pop(worker.name, None)
            return
        body = {
            "fence": owner.fence,
            "lastSeen": min(
                owner.acknowledged.get(worker.name, 0), view.last_applied_end
            ),
        }
        body["deadlineMs"] = self._extend_lease(owner, worker)
        status, response = worker.report(body)
        if status != 200:
            owner.is_deposed = True
            owner.confirmed_at = -1e9
            return
        sent_at = owner.responded_at[worker.name] = self.time
        report = _decode_report(response)
        owner.known_done.update(
            encode_subtask(end.subtask)
            for end in report.ended
            if end.reason is EndReason.DONE
        )
        owner.scheduler.apply_report(worker.name, report, sent_at, self.time)
        if not view.unresolved_starts:
            owner.silent_workers.discard(worker.name)


def build_submission(
    job: str,
    steps: int = 2,
    width: int = 3,
    work: SimulatedWork | None = None,
    max_attempts: int = 3,
    allows_copies: bool = False,
) -> Submission:
    """Return a job whose steps depend on each other in sequence."""
    work = work or SimulatedWork()
    spec = StepSpec(width, Resources(work.cpu, 100), estimate_ms=work.duration_ms)
    rows = [
        StepSpec(
            spec.count,
            spec.needs,
            spec.estimate_ms,
            after=(number - 1,) if number else (),
            gang=work.waits_for_gang,
            is_long_running=work.lasts,
            allows_copies=allows_copies,
        )
        for number in range(steps)
    ]
    return Submission(
        job,
        "queue",
        JobSpec(work.to_text(), tuple(rows)),
        max_attempts=max_attempts,
        stretch=1.6,
        target_offset_ms=600,
    )


def play_jobs(
    simulation: Simulation, count: int, seconds: float, start: int = 0
) -> None:
    """Submit sound jobs of random shape, evenly spread over a number of seconds.

    The jobs are numbered from ``start``. At 3 jobs a second they need 14 cores in the
    mean; a worker has 8.
    """
    draw = simulation.random
    for number in range(start, start + count):
        work = SimulatedWork(duration_ms=draw.randint(50, 1500))
        width, steps = draw.randint(1, 5), draw.randint(1, 3)
        simulation.submit(build_submission(f"{number:016x}", steps, width, work))
        simulation.run(seconds / count)


def flap(simulation: Simulation, names: list[str], seconds: float) -> None:
    """Crash the named workers again and again, every 2 to 4 s, for some seconds."""
    until = simulation.time + seconds

    def crash(name: str) -> None:
        worker = next(w for w in simulation.workers if w.name == name)
        if simulation.time >= until:
            return
        if worker.is_up:
            simulation.crash(worker, simulation.random.uniform(0.3, 1.5))
        simulation.run_later(simulation.random.uniform(2.0, 4.0), lambda: crash(name))

    for name in names:
        simulation.run_later(
            simulation.random.uniform(0.0, 3.0), lambda n=name: crash(n)
        )


def crash_at_once(simulation: Simulation, names: list[str], times: int) -> None:
    """Crash the named workers at the same moment, several times 5 to 8 s apart."""

    def crash() -> None:
        for worker in simulation.workers:
            if worker.name in names and worker.is_up:
                delay_s = simulation.random.uniform(*simulation.restart_delay_s)
                simulation.crash(worker, delay_s)

    at = 1.0
    for _ in range(times):
        simulation.run_later(at, crash)
        at += simulation.random.uniform(5.0, 8.0)


def verify_outcome(
    simulation: Simulation, limit_s: float = 60.0, checks_delay: bool = True
) -> None:
    """Run on until all jobs have ended and assert what must hold then.

    Late orders that are under way have arrived before the end of the checks.
    """
    has_ended = simulation.run_until_ended(limit_s)
    simulation.run(LATE_ORDERS_S)
    checker = simulation.checker
    lasting = {
        task
        for history in checker.jobs.values()
        if history.is_long_running
        for task in _list_tasks(history)
    }
    found = [*checker.violations, *checker.list_unfinished()]
    found += [f"{task} still runs" for task in checker.active if task not in lasting]
    if not has_ended:
        found.append(f"jobs had not ended after {limit_s} s")
    if checks_delay:
        found += checker.list_late_jobs()
        if checker.longest_gap_s > LONGEST_GAP_S:
            gap_s = checker.longest_gap_s
            found.append(f"a long-running subtask was away for {gap_s:.1f} s")
    assert not found, "\n".join(found)
