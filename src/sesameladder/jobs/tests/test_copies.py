"""Tests of the decision to copy slow subtasks, and of subtasks with two runs."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from sesameladder.jobs import (
    EndReason,
    JobSpec,
    JobState,
    PoolScheduler,
    Resources,
    Run,
    RunEnd,
    RunStatus,
    StartCommand,
    StartOutcome,
    StepSpec,
    StopCommand,
    Submission,
    SubtaskId,
    WorkerRecord,
    WorkerReport,
)
from sesameladder.jobs._copies import MAX_KINDS, MIN_SAMPLES, TailStatistics, WatchedRun
from sesameladder.jobs._model import Crash

JOB, OTHER = "00000000000000aa", "00000000000000bb"
SUBTASK = SubtaskId(JOB, 0, 0, 0)
SPEC = StepSpec(
    1, Resources(1000, 10), estimate_ms=1000, allows_copies=True, is_checkpointable=True
)
BODY = [1.0] * 57
TAIL = [3.0, 5.0, 7.0]
COPY_AT = 1.5  # half a second over the expected second
CORES = 10


def at(seconds: float) -> float:
    """Return a time on the steady clock; the first run of a test starts at 0 s."""
    return 100.0 + seconds


class Pool:
    """A scheduler with workers that answer every order.

    Times are in seconds after the first start.
    """

    def __init__(
        self, workers: int = 3, term: int = 1, cores: int = CORES, fence: int = 0
    ) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []
        self.scheduler = PoolScheduler(
            term, lambda event, **f: self.events.append((event, f)), fence=fence
        )
        self.names = [f"i-{number}" for number in range(workers)]
        self.list_workers(cores)
        tail = self.scheduler.copies.tails.setdefault(("q", ""), TailStatistics())
        for ratio in BODY + TAIL:
            tail.add(ratio)
        self.ends = 0

    def list_workers(self, cores: int, draining: str = "", reborn: str = "") -> None:
        records = [
            WorkerRecord(
                name,
                2 if name == reborn else 1,
                "pool",
                f"10.0.0.{number}:1",
                "zone-a",
                Resources(cores * 1000, 8000),
                ("a", "r1-1"),
                is_draining=name == draining,
            )
            for number, name in enumerate(self.names)
        ]
        self.scheduler.update_workers(records, at(0.0))

    def submit(self, job: str = JOB, spec: StepSpec = SPEC, attempts: int = 3) -> None:
        submission = Submission(
            job, "q", JobSpec("", (spec,)), max_attempts=attempts, stretch=10.0
        )
        self.scheduler.add_job(submission, None, at(0.0))

    def read_workers(self, now: float = 0.0) -> None:
        for name in self.names:
            self.report(name, now)

    def report(self, worker: str, now: float, *running: RunStatus) -> None:
        report = WorkerReport(0, 1, running, ())
        self.scheduler.apply_report(worker, report, at(now), at(now))

    def report_runs(self, now: float) -> None:
        """Report the runs of all workers as they are known."""
        for view in self.scheduler.workers.values():
            rows = [RunStatus(key, run, "", 10) for key, run in view.runs]
            self.report(view.id, now, *rows)

    def end(
        self, run: Run, reason: EndReason, now: float, checkpoint: str = ""
    ) -> None:
        self.ends += 1
        end = RunEnd(self.ends, run.subtask.id, run.number, reason, checkpoint)
        report = WorkerReport(0, 1, (), (end,), has_more_ends=True)
        self.scheduler.apply_report(run.worker.id, report, at(now), at(now))

    def step(self, now: float, answers: bool = True) -> list[StartCommand]:
        commands = self.scheduler.schedule(at(now), now * 1000)
        starts = [row for row in commands if isinstance(row, StartCommand)]
        self.stops = [row for row in commands if isinstance(row, StopCommand)]
        outcome = StartOutcome.STARTED if answers else StartOutcome.UNANSWERED
        for row in starts:
            order = row.order
            self.scheduler.apply_start_outcome(
                row.worker, order.subtask, order.run, outcome, at(now)
            )
        return starts

    @property
    def first(self) -> Run:
        return self.scheduler.runs[SUBTASK]

    @property
    def copy(self) -> Run:
        return self.scheduler.copies.runs[SUBTASK]

    def list_outcomes(self) -> list[object]:
        return [f["outcome"] for name, f in self.events if name == "copy_ended"]


def build_pool(spec: StepSpec = SPEC, attempts: int = 3, workers: int = 3) -> Pool:
    """Return a pool with one run that began at 0."""
    pool = Pool(workers)
    pool.read_workers()
    pool.submit(JOB, spec, attempts)
    assert len(pool.step(0.0)) == 1
    pool.report_runs(0.5)
    return pool


def build_pair() -> Pool:
    """Return a pool with a subtask that has two runs."""
    pool = build_pool()
    assert len(pool.step(COPY_AT)) == 1
    return pool


@pytest.mark.parametrize(
    ("ratios", "age", "expected"),
    [
        ([1.0, 1.0, 1.0], 0.5, 0.5),  # none is slow: the mean is left
        ([1.0, 1.0, 4.0], 0.5, 1.5),
        ([1.0, 1.0, 4.0], 1.5, 2.5),  # only the slow one is left
        ([1.0, 1.0, 4.0], 3.5, 0.5),  # a slow one that is nearly done
        ([1.0, 1.0, 4.0], 5.0, 5.0),  # beyond all: as long again
        ([1.0, 3.0, 7.0], 3.0, 4.0),  # a sample of the same age has ended
        ([9.0] + [1.0] * 200, 1.5, 1.5),  # only the latest 200 count
    ],
)
def test_remaining_time_follows_the_tail(
    ratios: list[float], age: float, expected: float
) -> None:
    """Guards against a fixed factor in place of the tail of the finished runs."""
    tail = TailStatistics()
    for ratio in ratios:
        tail.add(ratio)
    assert tail.estimate_remaining(age) == pytest.approx(expected)


def stop_first(pool: Pool) -> None:
    pool.scheduler._stop(pool.first, at(1.0))


def set_crash(pool: Pool) -> None:
    pool.first.subtask.crashes[9] = Crash("10.0.0.9", False, False)


def set_failures(pool: Pool) -> None:
    pool.first.subtask.failed_runs.update({8, 9})


def set_unconfirmed(pool: Pool) -> None:
    pool.first.confirmed_at = None
    pool.first.was_unanswered = True


def set_silent(pool: Pool) -> None:
    pool.first.reported_at = 0.0
    pool.first.worker.failed_reports = 1


def set_few_samples(pool: Pool) -> None:
    tail = pool.scheduler.copies.tails["q", ""] = TailStatistics()
    for ratio in (BODY + TAIL)[1 - MIN_SAMPLES :]:
        tail.add(ratio)


def add_obsolete(pool: Pool) -> None:
    subtask, worker = pool.first.subtask, pool.scheduler.workers["i-2"]
    pool.scheduler._adopt_obsolete(subtask, worker, 9, at(1.0))


def add_waiting_job(pool: Pool) -> None:
    pool.submit(OTHER, replace(SPEC, label="none", allows_copies=False))


def add_late_waiting_job(pool: Pool) -> None:
    add_waiting_job(pool)
    pool.scheduler.job_table.jobs[OTHER].submission.stretch = 0.1


def eject_others(pool: Pool) -> None:
    for view in pool.scheduler.workers.values():
        if view is not pool.first.worker:
            view.ejected_until = at(10.0)


def shrink_pool(pool: Pool) -> None:
    pool.list_workers(3)


def set_aside(pool: Pool) -> None:
    pool.scheduler.set_aside_until[JOB] = at(10.0)


def pause_restart(pool: Pool) -> None:
    pool.first.subtask.not_before = at(10.0)


def do_nothing(pool: Pool) -> None:
    pass


@pytest.mark.parametrize(
    ("change", "age", "has_copy"),
    [
        (do_nothing, COPY_AT, True),
        (do_nothing, 0.9, False),  # as expected
        (do_nothing, 6.5, False),  # nearly done: a fresh run takes longer
        (do_nothing, 8.0, True),  # longer than any known one
        (stop_first, COPY_AT, False),
        (set_crash, COPY_AT, False),  # may be what crashed the worker
        (set_failures, COPY_AT, False),  # a failure under way uses up the attempts
        (set_unconfirmed, COPY_AT, False),
        (set_silent, COPY_AT, False),  # its worker may have crashed
        (set_few_samples, COPY_AT, False),
        (add_obsolete, COPY_AT, False),
        (add_waiting_job, COPY_AT, False),  # in time, and it fits on no worker
        (add_late_waiting_job, COPY_AT, True),
        (eject_others, COPY_AT, False),  # only the worker of the first run is left
        (shrink_pool, COPY_AT, False),  # a core is over a tenth of nine
        (set_aside, COPY_AT, False),
        (pause_restart, COPY_AT, False),  # a reborn worker may have an earlier run
    ],
)
def test_slow_run_gets_a_copy(
    change: Callable[[Pool], None], age: float, has_copy: bool
) -> None:
    """Guards against copies that can't help, harm others or break a limit."""
    pool = build_pool()
    change(pool)
    pool.step(age)
    assert (SUBTASK in pool.scheduler.copies.runs) is has_copy
    if has_copy:
        assert pool.copy.number == pool.first.number + 1
        assert pool.copy.worker is not pool.first.worker


@pytest.mark.parametrize(
    "change",
    [
        {"allows_copies": False},
        {"gang": True},
        {"is_long_running": True},
        {"is_best_effort": True},
    ],
)
def test_other_steps_get_no_copies(change: dict[str, bool]) -> None:
    """Guards against copies of gangs, services and best-effort work."""
    pool = build_pool(replace(SPEC, **change))  # type: ignore[arg-type]
    pool.step(COPY_AT)
    assert not pool.scheduler.copies.runs
    assert not pool.scheduler.copies.watched


def test_copies_use_a_tenth_of_the_cores() -> None:
    """Guards against copies beyond their share, counting stopped runs of pairs."""
    pool = Pool(workers=4)
    pool.read_workers()
    pool.submit(JOB, replace(SPEC, count=8))
    assert len(pool.step(0.0)) == 8
    pool.report_runs(0.5)
    assert len(pool.step(COPY_AT)) == 4
    copies = pool.scheduler.copies
    assert copies.count_cpu_millis() == 4000
    pool.end(next(iter(copies.runs.values())), EndReason.DONE, 2.0)
    assert copies.count_cpu_millis() == 4000
    assert pool.step(2.1) == []


@pytest.mark.parametrize(
    ("is_copy", "reason", "outcome"),
    [
        (False, EndReason.DONE, "first_done"),
        (True, EndReason.DONE, "copy_done"),
        (False, EndReason.FAILED, "first_lost"),
        (True, EndReason.FAILED, "copy_lost"),
        (False, EndReason.EXPIRED, "first_lost"),
        (True, EndReason.STOPPED, "copy_lost"),
    ],
)
def test_end_of_one_run(is_copy: bool, reason: EndReason, outcome: str) -> None:
    """Guards against a lost second run, or one that goes on after the end."""
    pool = build_pair()
    runs = [pool.copy, pool.first] if is_copy else [pool.first, pool.copy]
    ended, other = runs
    pool.end(ended, reason, 2.0)
    assert pool.list_outcomes() == [outcome]
    assert not pool.scheduler.copies.runs
    assert pool.step(2.1) == []
    if reason is EndReason.DONE:
        expected = [StopCommand(other.worker.id, SUBTASK, other.number)]
        assert pool.stops == expected
        assert pool.scheduler.job_table.ended[JOB][0] is JobState.DONE
    else:
        assert pool.stops == []
        assert pool.first is other
        assert not other.subtask.step.waiting_count
        pool.end(other, EndReason.STOPPED, 2.2)
        assert other.subtask.step.waiting_count == 1


def test_failures_of_both_runs_count() -> None:
    """Guards against a start after as many failures as the job has attempts."""
    pool = build_pair()
    pool.end(pool.first, EndReason.FAILED, 2.0)
    pool.end(pool.first, EndReason.FAILED, 2.1)
    assert len(pool.step(2.2)) == 1
    pool.report_runs(3.0)
    assert pool.step(5.0) == []  # no copy: its start could follow the third failure
    pool.end(pool.first, EndReason.FAILED, 5.1)
    assert pool.scheduler.job_table.ended[JOB][0] is JobState.FAILED


def test_crash_of_either_worker_leaves_the_other_run() -> None:
    """Guards against a subtask that waits while one of its runs is present."""
    for ends_copy in (False, True):
        pool = build_pair()
        ended = pool.copy if ends_copy else pool.first
        other = pool.first if ends_copy else pool.copy
        pool.scheduler.apply_incarnation_end(ended.worker.id, 1, at(1.7))
        assert pool.first is other
        assert SUBTASK not in pool.scheduler.copies.runs
        assert pool.step(1.8) == []
        assert pool.step(8.0) == []  # a subtask with a crash gets no other copy


def test_restarted_worker_may_still_have_the_first_run() -> None:
    """Guards against a start beside a run that the next incarnation may have.

    The end of the copy had taken back the wait for that incarnation's first report.
    """
    pool = build_pair()
    first, copy = pool.first, pool.copy
    pool.scheduler.longest_lease_s = 12.0
    pool.list_workers(CORES, reborn=first.worker.id)
    assert pool.first is copy
    pool.end(copy, EndReason.STOPPED, 2.0)
    assert pool.step(2.5) == []
    report = WorkerReport(0, 2, (), ())
    pool.scheduler.apply_report(first.worker.id, report, at(3.0), at(3.0))
    assert len(pool.step(3.1)) == 1


def test_silent_worker_leaves_the_copy() -> None:
    """Guards against a start of a subtask whose copy goes on, when a lease lapses."""
    pool = build_pair()
    first, copy = pool.first, pool.copy
    first.worker.lease_expires_at = at(1.6)
    pool.scheduler.apply_report_failure(first.worker.id, at(1.7))
    assert pool.first is copy
    assert pool.step(1.8) == []


def test_unanswered_copy_is_repeated_to_its_worker() -> None:
    """Guards against a second number or worker for a start without an answer."""
    pool = build_pool()
    (sent,) = pool.step(COPY_AT, answers=False)
    (repeated,) = pool.step(COPY_AT + 0.2)
    assert repeated == sent
    assert SUBTASK in pool.scheduler.copies.runs


def test_refused_copy_leaves_the_first_run_and_pauses() -> None:
    """Guards against run numbers used up by a copy that is always refused."""
    pool = build_pool()
    first = pool.first
    numbers = []
    for tick in range(20):
        now = at(COPY_AT + tick / 10)
        for row in pool.scheduler.schedule(now, now * 1000):
            assert isinstance(row, StartCommand)
            numbers.append(row.order.run)
            pool.scheduler.apply_start_outcome(
                row.worker, SUBTASK, row.order.run, StartOutcome.INVALID, now
            )
    assert numbers == [2, 3, 4, 5]
    assert pool.first is first


def test_cancel_stops_both_runs() -> None:
    """Guards against a copy that outlives its cancelled job."""
    pool = build_pair()
    runs = {pool.first.number, pool.copy.number}
    pool.scheduler.cancel_job(JOB, at(2.0))
    pool.step(2.1)
    assert {row.run for row in pool.stops} == runs
    assert not pool.scheduler.runs
    assert not pool.scheduler.copies.runs
    assert not pool.scheduler.copies.watched


@pytest.mark.parametrize("numbers", [(1, 2), (2, 1)])
@pytest.mark.parametrize("allows_copies", [True, False])
def test_new_owner_finds_two_runs(
    numbers: tuple[int, int], allows_copies: bool
) -> None:
    """Guards against a new owner that stops a copy, or keeps two runs elsewhere."""
    pool = Pool(term=2, fence=1)
    pool.submit(JOB, replace(SPEC, allows_copies=allows_copies))
    for name, number in zip(pool.names, numbers, strict=False):
        pool.report(name, 0.1, RunStatus(SUBTASK, number, "", 10))
    assert pool.step(0.2) == []
    if allows_copies:
        assert (pool.first.number, pool.copy.number) == (1, 2)
        assert pool.stops == []
    else:
        assert pool.first.number == numbers[0]
        assert [row.run for row in pool.stops] == [numbers[1]]
    pool.report(pool.names[2], 0.3, RunStatus(SUBTASK, 3, "", 10))
    pool.step(0.4)
    assert StopCommand(pool.names[2], SUBTASK, 3) in pool.stops


def test_second_run_on_the_same_worker_is_no_copy() -> None:
    """Guards against a pair on one worker, which has one run of a subtask at a time."""
    pool = Pool(term=2, fence=1)
    pool.submit()
    pool.report(pool.names[0], 0.1, RunStatus(SUBTASK, 1, "", 10))
    pool.report(pool.names[0], 0.2, RunStatus(SUBTASK, 2, "", 10))
    assert not pool.scheduler.copies.runs
    pool.step(0.3)
    assert pool.stops == [StopCommand(pool.names[0], SUBTASK, 2)]


def test_new_owner_copies_only_once_it_knows_earlier_runs() -> None:
    """Guards against a third run: a copy may be on a worker that was not read."""
    pool = Pool(term=2, fence=1)
    pool.submit()
    pool.scheduler.unread_workers.deadline = at(7.5)
    pool.report(pool.names[0], 0.1, RunStatus(SUBTASK, 1, "", 10))
    pool.report(pool.names[0], 0.6, RunStatus(SUBTASK, 1, "", 20))
    pool.report(pool.names[1], 0.1)
    assert pool.step(2.0) == []
    pool.report(pool.names[2], 2.1)
    (start,) = pool.step(2.2)
    assert start.order.run == 1001


def test_copy_starts_from_the_checkpoint_of_the_first_run() -> None:
    """Guards against a copy that begins anew, or overwrites later checkpoints."""
    pool = build_pool()
    first = pool.first
    pool.report(first.worker.id, 1.4, RunStatus(SUBTASK, 1, "half", 50))
    (start,) = pool.step(COPY_AT)
    assert start.order.checkpoint == "half"
    pool.report(first.worker.id, 1.6, RunStatus(SUBTASK, 1, "most", 70))
    copy = pool.copy
    pool.report(copy.worker.id, 1.7, RunStatus(SUBTASK, 2, "half", 51))
    assert first.subtask.checkpoint == "most"
    pool.end(copy, EndReason.STOPPED, 1.8, "half")
    assert first.subtask.checkpoint == "most"


def test_runs_on_a_draining_worker_are_evacuated() -> None:
    """Guards against a copy that holds up the drain of its worker."""
    pool = build_pair()
    pool.list_workers(CORES, draining=pool.copy.worker.id)
    pool.step(COPY_AT + 1.6)
    assert [row.run for row in pool.stops] == [pool.copy.number]
    assert not pool.first.subtask.step.waiting_count


def test_stopped_slow_runs_stay_in_the_statistics() -> None:
    """Guards against statistics without slow runs, since copies replace them."""
    pool = build_pair()
    tail = pool.scheduler.copies.tails["q", ""]
    pool.report(pool.first.worker.id, 2.0, RunStatus(SUBTASK, 1, "", 40))
    pool.end(pool.copy, EndReason.DONE, 2.5)
    assert list(tail.ratios)[-2:] == pytest.approx([1.0, 5.0])


def test_copies_do_not_count_as_demand() -> None:
    """Guards against VMs that move to a pool for the sake of copies."""
    pool = build_pair()
    assert pool.scheduler.estimate_demand(0.0).used == 1.0
    assert pool.scheduler.measure_load(at(COPY_AT)).copy_cores == 1.0


@pytest.mark.parametrize(
    ("wins", "tried_at", "copies"),
    [
        ([False] * 19, 1.5, 2),  # too few pairs to tell
        ([False] * 18 + [True] * 2, 1.5, 2),
        ([False] * 19 + [True], 1.5, 0),  # the pause has not ended
        ([False] * 20, 6.5, 1),  # one copy tries
        ([False] * 20 + [True] * 2, 6.5, 2),
    ],
)
def test_copies_that_rarely_win_are_paused(
    wins: list[bool], tried_at: float, copies: int
) -> None:
    """Guards against copies of subtasks that are slow on every worker."""
    pool = Pool(workers=3)
    pool.read_workers()
    pool.submit(JOB, replace(SPEC, count=2, estimate_ms=round(tried_at * 1000 / 1.5)))
    pool.step(0.0)
    pool.report_runs(0.5)
    tail = pool.scheduler.copies.tails["q", ""]
    for has_won in wins:
        tail.record_pair(has_won, at(1.0))
    pool.step(tried_at)
    pool.step(tried_at + 0.2)
    assert len(pool.scheduler.copies.runs) == copies


def test_statistics_are_bounded() -> None:
    """Guards against memory that grows with the names of images."""
    pool = build_pair()
    copies = pool.scheduler.copies
    for number in range(2 * MAX_KINDS):
        copies._add_sample(WatchedRun(("q", f"image-{number}"), 1.0), 1.0)
    assert len(copies.tails) == MAX_KINDS
