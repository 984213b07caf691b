"""A demand peak on an owner whose VM sends fewer starts than the pool could run."""

import heapq
import random
from collections import deque
from collections.abc import Callable

import pytest

from sesameladder.jobs import (
    EndReason,
    JobSpec,
    JobState,
    PoolScheduler,
    Resources,
    RunEnd,
    StartCommand,
    StartOutcome,
    StepSpec,
    Submission,
    WorkerRecord,
    WorkerReport,
)
from sesameladder.jobs._start_window import INITIAL_LIMIT, START_DELAY_TARGET_S

WORKERS = 60
CORES = 32
SUBTASKS = 10
DURATION_S = 0.5
TARGET_S = 1.6 * DURATION_S + 0.6
LATEST_S = 3 * TARGET_S
PEAK_S = 6.0
TICK_S = 0.01
REPORT_DELAY_S = 0.05
# Of the jobs that the link could start in time, if it sent starts for them alone.
LEAST_SHARE_IN_TIME = 0.7


class SlowOwner:
    """An owner that sends its starts in order, a limited number a second."""

    def __init__(self, starts_per_s: float, seed: int, workers: int = WORKERS) -> None:
        self.starts_per_s = starts_per_s
        self.random = random.Random(seed)
        self.now = 0.0
        self.scheduler = PoolScheduler(1, lambda event, **fields: None)
        records = [
            WorkerRecord(
                f"i-{number}",
                1,
                "pool",
                "10.0.0.1:1",
                "zone-a",
                Resources(CORES * 1000, 64_000),
                ("a", "r1-1"),
                is_draining=False,
            )
            for number in range(workers)
        ]
        self.scheduler.update_workers(records, 0.0)
        for record in records:
            self.scheduler.apply_report(
                record.worker, WorkerReport(0, 1, (), ()), 0.0, 0.0
            )
        self.unsent: deque[StartCommand] = deque()
        self.sendable = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.longest_delay_s = 0.0
        """Longest time from the decision to start a subtask to its delivery."""

        self.deliveries = 0
        self.ends: dict[str, int] = {}
        self.submitted_at: dict[str, float] = {}
        self.peak_s = PEAK_S

    def run(self, jobs_per_s: float, seconds: float) -> None:
        next_job_at = 0.0
        while self.now < seconds:
            self.now = round(self.now + TICK_S, 6)
            while next_job_at < min(self.now, self.peak_s):
                self.submit()
                next_job_at += self.random.expovariate(jobs_per_s)
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            commands = self.scheduler.schedule(self.now, self.now * 1000)
            self.unsent.extend(c for c in commands if isinstance(c, StartCommand))
            self.sendable += self.starts_per_s * TICK_S
            while self.unsent and self.sendable >= 1:
                self.sendable -= 1
                self.deliver(self.unsent.popleft())
            if not self.unsent:
                self.sendable = 0.0

    def submit(self) -> None:
        job = f"{len(self.submitted_at):016x}"
        step = StepSpec(SUBTASKS, Resources(1000, 1), estimate_ms=500)
        submission = Submission(
            job, "queue", JobSpec("", (step,)), stretch=1.6, target_offset_ms=600
        )
        self.submitted_at[job] = self.now
        self.scheduler.add_job(submission, None, self.now)

    def deliver(self, command: StartCommand) -> None:
        order, worker = command.order, command.worker
        run = self.scheduler.runs[order.subtask]
        self.longest_delay_s = max(self.longest_delay_s, self.now - run.sent_at)
        self.scheduler.apply_start_outcome(
            worker, order.subtask, order.run, StartOutcome.STARTED, self.now
        )

        def end() -> None:
            number = self.ends[worker] = self.ends.get(worker, 0) + 1
            run_end = RunEnd(number, order.subtask, order.run, EndReason.DONE, "")
            report = WorkerReport(0, 1, (), (run_end,))
            self.scheduler.apply_report(worker, report, self.now - 10.0, self.now)

        self.deliveries += 1
        at = self.now + DURATION_S + REPORT_DELAY_S
        heapq.heappush(self.events, (at, self.deliveries, end))

    def count_in_time(self) -> int:
        ended = self.scheduler.job_table.ended
        return sum(
            1
            for job, (state, at) in ended.items()
            if state is JobState.DONE and at - self.submitted_at[job] <= TARGET_S
        )


@pytest.mark.parametrize("starts_per_s", [100.0, 300.0, 600.0])
def test_starts_do_not_queue_up_at_a_saturated_owner(starts_per_s: float) -> None:
    """Guards against starts that are decided seconds before they are sent."""
    owner = SlowOwner(starts_per_s, seed=1)
    owner.run(jobs_per_s=100.0, seconds=PEAK_S)
    # The first starts of a peak come before the first responses.
    first_starts_s = 2 * INITIAL_LIMIT / starts_per_s
    assert owner.longest_delay_s <= first_starts_s + START_DELAY_TARGET_S


@pytest.mark.parametrize(
    ("starts_per_s", "jobs_per_s"),
    [(100.0, 30.0), (300.0, 60.0), (300.0, 120.0), (600.0, 90.0)],
)
def test_saturated_owner_ends_what_it_can_start_in_time(
    starts_per_s: float, jobs_per_s: float
) -> None:
    """Guards against a backlog of sent starts in which every job becomes late.

    The owner placed all subtasks at once, so starts waited in its send queues in the
    order of arrival and jobs that could still be in time waited behind late ones.
    """
    owner = SlowOwner(starts_per_s, seed=1)
    owner.run(jobs_per_s, PEAK_S + 2 * LATEST_S)
    possible = starts_per_s * PEAK_S / SUBTASKS
    assert owner.count_in_time() >= LEAST_SHARE_IN_TIME * possible


def test_unsaturated_owner_starts_without_delay() -> None:
    """Guards against a limit of unanswered starts that leaves workers idle."""
    owner = SlowOwner(3000.0, seed=1)
    owner.run(100.0, PEAK_S + LATEST_S)
    assert owner.count_in_time() == len(owner.submitted_at)
