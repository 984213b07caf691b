"""Tests of what failed runs say about workers and about long-running subtasks."""

from collections import defaultdict
from itertools import pairwise

import pytest

from sesameladder.jobs import (
    EndReason,
    JobSpec,
    JobState,
    Resources,
    RunEnd,
    StartCommand,
    StepSpec,
    Submission,
    SubtaskId,
)
from sesameladder.jobs._failures import MAX_PAUSE_S, SETTLED_RUN_S
from sesameladder.jobs.tests.test_probation import STEP_S, Pool
from sesameladder.standins.system import SimulatedWork

WORKERS = 6
FAILING_JOBS = 20
FAILING_WIDTH = 8
SOUND_JOBS = 30
SOUND_WIDTH = 4
START_LIMIT_S = 3.0  # rule LOST: a job with nothing running beside capacity
RESTART_LIMIT_S = 6.0  # rule LOST: a long-running subtask after its last run
REPORT_DELAY_S = 0.02


class FailingPool(Pool):
    """A pool in which subtasks of failing jobs, and all on bad workers, end failed."""

    def __init__(self, workers: int = WORKERS) -> None:
        super().__init__(workers)
        self.failing: set[str] = set()
        self.bad: set[str] = set()
        self.turns_bad = False
        """Whether the next worker that starts a sound subtask becomes a bad one."""

        self.sound_s = 0.1
        """How long a run of a sound subtask takes that isn't long-running."""

        self.lasting: set[str] = set()
        self.started: dict[SubtaskId, list[float]] = defaultdict(list)
        self.ends: list[tuple[float, str, SubtaskId, int, EndReason]] = []

    def add_work(
        self, job: str, lasts: bool, width: int = 1, fails: bool = False
    ) -> None:
        spec = StepSpec(width, Resources(100, 10), 100, is_long_running=lasts)
        payload = SimulatedWork(lasts=lasts).to_text()
        submission = Submission(job, "queue", JobSpec(payload, (spec,)), max_attempts=9)
        self.submissions[job] = submission
        if fails:
            self.failing.add(job)
        if lasts:
            self.lasting.add(job)
        self.scheduler.add_job(submission, None, self.now)

    def start(self, command: StartCommand) -> None:
        subtask, name = command.order.subtask, command.worker
        self.started[subtask].append(self.now)
        super().start(command)
        if self.turns_bad and subtask.job not in self.failing:
            self.bad.add(name)
            self.turns_bad = False
        reason, after_s = EndReason.DONE, self.sound_s
        if subtask.job in self.failing or name in self.bad:
            reason, after_s = EndReason.FAILED, REPORT_DELAY_S
        elif subtask.job in self.lasting:
            return
        run = command.order.run
        self.ends.append((self.now + after_s, name, subtask, run, reason))

    def run_for(self, seconds: float) -> None:
        """Play the pool, with each end reported as soon as it is due."""
        until = self.now + seconds
        while self.now < until:
            self.step(STEP_S)
            due = [row for row in self.ends if row[0] <= self.now]
            self.ends = [row for row in self.ends if row[0] > self.now]
            for _, name, subtask, run, reason in due:
                if self.runs[name].get(subtask) != run:
                    continue
                del self.runs[name][subtask]
                number = self.end_numbers[name] = self.end_numbers.get(name, 0) + 1
                self.report(name, RunEnd(number, subtask, run, reason, ""))

    def list_ejected(self) -> set[str]:
        """Return the workers that are ejected now."""
        return {
            view.id
            for view in self.scheduler.workers.values()
            if view.ejected_until > self.now
        }


def name_job(kind: int, number: int) -> str:
    return f"{kind:08x}{number:08x}"


@pytest.mark.parametrize("sound_lasts", [False, True], ids=["jobs", "long-running"])
@pytest.mark.parametrize(
    ("has_bad_worker", "failing_width"),
    [(True, 0), (False, 1), (False, FAILING_WIDTH), (True, 1), (True, FAILING_WIDTH)],
    ids=["bad worker", "narrow failing", "wide failing", "bad, narrow", "bad, wide"],
)
def test_only_the_worker_at_fault_is_ejected(
    has_bad_worker: bool, failing_width: int, sound_lasts: bool
) -> None:
    """Guards against sound workers without starts, and bad ones that get them."""
    pool = FailingPool()
    if failing_width:
        for number in range(FAILING_JOBS):
            pool.add_work(name_job(1, number), True, failing_width, fails=True)
            pool.run_for(0.15)
        pool.run_for(START_LIMIT_S)
    pool.turns_bad = has_bad_worker
    ejected: set[str] = set()
    sound_jobs = [name_job(2, number) for number in range(SOUND_JOBS)]
    added_at = pool.now
    for job in sound_jobs:
        pool.add_work(job, sound_lasts, SOUND_WIDTH)
    while pool.now < added_at + START_LIMIT_S:
        pool.run_for(STEP_S)
        ejected |= pool.list_ejected()
    assert len(pool.bad) == has_bad_worker
    assert ejected == pool.bad
    for job in sound_jobs:
        assert pool.started[SubtaskId(job, 0, 0, 0)][0] < added_at + START_LIMIT_S
    pool.run_for(START_LIMIT_S)
    running = {
        key
        for name in pool.records.keys() - pool.bad
        for key in pool.runs[name]
        if key.job not in pool.failing
    }
    assert len(running) == (SOUND_JOBS * SOUND_WIDTH if sound_lasts else 0)
    state = JobState.RUNNING if sound_lasts else JobState.DONE
    assert {pool.get_state(job) for job in sound_jobs} == {state}


def test_failing_subtask_is_started_ever_more_rarely_within_the_bound() -> None:
    """Guards against failing subtasks that use all starts, or that wait too long."""
    pool = FailingPool()
    pool.add_work(name_job(1, 0), lasts=True, fails=True)
    pool.run_for(30.0)
    (times,) = pool.started.values()
    gaps_s = [later - time for time, later in pairwise(times)]
    assert max(gaps_s) < MAX_PAUSE_S + 0.2 < RESTART_LIMIT_S / 2
    assert 30 / RESTART_LIMIT_S < len(times) <= 30 / MAX_PAUSE_S + 5
    assert gaps_s[0] < 0.2


def test_next_owner_starts_a_failing_subtask_at_once_and_backs_off_anew() -> None:
    """Guards against a change of owner that brings a flood, or a longer pause."""
    pool = FailingPool()
    pool.add_work(name_job(1, 0), lasts=True, fails=True)
    pool.run_for(10.0)
    pool.take_over()
    taken_at = pool.now
    pool.run_for(20.0)
    (times,) = pool.started.values()
    after = [time for time in times if time > taken_at]
    assert after[0] - taken_at < 1.0
    assert len(after) <= 20 / MAX_PAUSE_S + 5
    assert pool.list_ejected() == set()


def test_subtask_that_had_settled_is_started_again_at_once() -> None:
    """Guards against long waits of sound work after earlier failures."""
    pool = FailingPool()
    job = name_job(1, 0)
    pool.add_work(job, lasts=True, fails=True)
    pool.run_for(10.0)
    pool.failing.clear()
    pool.run_for(MAX_PAUSE_S + SETTLED_RUN_S + 1.0)
    worker = pool.find_worker(job)
    assert worker is not None
    subtask = SubtaskId(job, 0, 0, 0)
    pool.ends.append(
        (pool.now, worker, subtask, pool.runs[worker][subtask], EndReason.FAILED)
    )
    failed_at = pool.now
    pool.run_for(0.5)
    assert failed_at < pool.started[subtask][-1] < failed_at + 0.2
