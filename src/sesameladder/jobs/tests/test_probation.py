"""Tests of which subtasks are blamed for the crash of a worker."""

from dataclasses import replace

import pytest

from sesameladder.jobs import (
    JobState,
    PoolScheduler,
    ProgressInvalid,
    Resources,
    RunEnd,
    RunStatus,
    StartCommand,
    StartOutcome,
    SubtaskId,
    WorkerRecord,
    WorkerReport,
    decode_progress,
    encode_progress,
)
from sesameladder.jobs._model import EndReason
from sesameladder.jobs._runs import YOUNG_RUN_S
from sesameladder.jobs.tests.simulation import build_submission
from sesameladder.standins.system import SimulatedWork

CRASHING = "00000000000000aa"
SOUND = "00000000000000bb"
STEP_S = 0.01
LEASE_S = 5.0


class Pool:
    """A scheduler and workers that answer at once and crash on demand."""

    def __init__(self, workers: int) -> None:
        self.now = 1.0
        self.records: dict[str, WorkerRecord] = {}
        self.runs: dict[str, dict[SubtaskId, int]] = {}
        self.end_numbers: dict[str, int] = {}
        self.starts: list[tuple[float, str]] = []
        self.crashing: set[str] = set()
        """Jobs whose subtasks crash their worker as soon as they are started."""

        self.crashed: list[str] = []
        self.is_storing = True
        self.refuses_starts = False
        self.stored: dict[str, bytes] = {}
        self.submissions: dict[str, object] = {}
        self.events: list[tuple[str, dict[str, object]]] = []
        """Events that the schedulers have logged, with their fields."""

        self.scheduler = self.build_scheduler(1)
        for number in range(workers):
            self.add_worker(f"10.0.0.{number}:1")

    def build_scheduler(self, term: int) -> PoolScheduler:
        return PoolScheduler(
            term, lambda event, /, **fields: self.events.append((event, fields))
        )

    def add_worker(self, address: str) -> str:
        name = f"i-{len(self.runs)}"
        self.records[name] = WorkerRecord(
            name,
            1,
            "pool",
            address,
            "zone-a",
            Resources(8000, 64_000),
            ("a", "r1-1"),
            is_draining=False,
        )
        self.runs[name] = {}
        return name

    def submit(self, job: str, lasts: bool = False) -> None:
        work = SimulatedWork(lasts=lasts)
        submission = build_submission(job, 1, 1, work)
        self.submissions[job] = submission
        self.scheduler.add_job(submission, None, self.now)

    def take_over(self) -> None:
        """Continue under a new owner, which knows what is stored."""
        scheduler = self.build_scheduler(self.scheduler.term + 1)
        for job, submission in self.submissions.items():
            value = self.stored.get(job)
            record = value and decode_progress(job, value, submission.spec)
            scheduler.add_job(submission, record or None, self.now)
        self.scheduler = scheduler

    def step(self, seconds: float = STEP_S) -> None:
        """Exchange reports, then send the starts that follow."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            self.scheduler.update_workers(list(self.records.values()), self.now)
            for name in self.records:
                self.report(name)
            if self.is_storing:
                self.store()
            for command in self.scheduler.schedule(self.now, self.now * 1000):
                if isinstance(command, StartCommand):
                    self.start(command)

    def store(self) -> None:
        for job in self.scheduler.take_dirty_jobs():
            self.stored[job.id] = encode_progress(job)
            self.scheduler.record_stored(job)

    def start(self, command: StartCommand) -> None:
        order = command.order
        self.starts.append((self.now, command.worker))
        if command.worker not in self.records:
            return
        outcome = StartOutcome.STARTED
        if self.refuses_starts:
            outcome = StartOutcome.NO_ROOM
        else:
            self.runs[command.worker][order.subtask] = order.run
        self.scheduler.apply_start_outcome(
            command.worker, order.subtask, order.run, outcome, self.now
        )
        if order.subtask.job in self.crashing:
            self.crash(command.worker)

    def report(self, name: str, *ends: RunEnd) -> None:
        running = tuple(
            RunStatus(subtask, run, "", 50) for subtask, run in self.runs[name].items()
        )
        report = WorkerReport(0, self.records[name].born_ms, running, ends)
        self.scheduler.apply_report(name, report, self.now, self.now)

    def end(self, name: str, subtask: SubtaskId) -> None:
        """End a run as done."""
        number = self.end_numbers[name] = self.end_numbers.get(name, 0) + 1
        run = self.runs[name].pop(subtask)
        self.report(name, RunEnd(number, subtask, run, EndReason.DONE, ""))

    def crash(self, name: str) -> None:
        """End a worker; the VM comes back as another worker."""
        record = self.records.pop(name)
        self.crashed.append(name)
        self.scheduler.apply_incarnation_end(name, record.born_ms, self.now)
        self.add_worker(record.address)

    def get_state(self, job: str) -> JobState:
        ended = self.scheduler.job_table.ended.get(job)
        return ended[0] if ended else self.scheduler.job_table.jobs[job].state

    def find_worker(self, job: str) -> str | None:
        return next(
            (
                name
                for name, runs in self.runs.items()
                if name in self.records and any(key.job == job for key in runs)
            ),
            None,
        )


@pytest.mark.parametrize("lasts", [False, True], ids=["job", "long-running"])
def test_subtask_that_crashes_its_workers_is_given_up(lasts: bool) -> None:
    """Guards against a subtask that crashes one worker after the other."""
    pool = Pool(workers=4)
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING, lasts)
    pool.step(5.0)
    assert pool.get_state(CRASHING) is JobState.FAILED
    assert len(pool.crashed) == 2


def test_bystander_on_a_crashed_worker_is_not_blamed() -> None:
    """Guards against a sound job that fails since it ran beside a crashing subtask."""
    pool = Pool(workers=1)
    pool.submit(SOUND)
    pool.submit(CRASHING)
    pool.step()
    (worker,) = pool.records
    assert set(pool.runs[worker]) == {SubtaskId(j, 0, 0, 0) for j in (SOUND, CRASHING)}
    for number in range(1, 4):
        pool.add_worker(f"10.0.0.{number}:1")
    pool.crashing.add(CRASHING)
    pool.crash(worker)
    pool.step(3.0)
    assert pool.get_state(CRASHING) is JobState.FAILED
    assert pool.get_state(SOUND) is JobState.RUNNING
    # The worker that both ran on, and two on which the crashing subtask ran alone.
    assert len(pool.crashed) == 3
    worker = pool.find_worker(SOUND)
    assert worker is not None
    pool.end(worker, SubtaskId(SOUND, 0, 0, 0))
    assert pool.get_state(SOUND) is JobState.DONE


def test_suspect_is_not_started_beside_young_runs_of_other_jobs() -> None:
    """Guards against a second crash that leaves open which job caused it."""
    pool = Pool(workers=2)
    pool.submit(SOUND)
    pool.step()
    pool.submit(CRASHING)
    pool.step()
    (worker,) = {worker for _, worker in pool.starts}
    pool.crash(worker)
    pool.step(1.0)
    (first_at, first), (second_at, second) = pool.starts[2:]
    assert first != second or second_at - first_at >= YOUNG_RUN_S


@pytest.mark.parametrize("lasts", [False, True], ids=["job", "long-running"])
def test_crashes_under_old_runs_blame_nobody(lasts: bool) -> None:
    """Guards against a sound job that fails since its workers crash by themselves."""
    pool = Pool(workers=4)
    pool.submit(SOUND, lasts)
    for _ in range(4):
        pool.step(YOUNG_RUN_S + 0.5)
        worker = pool.find_worker(SOUND)
        assert worker is not None
        pool.crash(worker)
    pool.step(0.5)
    assert pool.find_worker(SOUND) is not None


def test_worker_that_flaps_is_no_evidence() -> None:
    """Guards against a sound job that fails since one VM crashes again and again."""
    pool = Pool(workers=1)
    pool.submit(SOUND)
    for _ in range(3):
        pool.step(0.05)
        worker = pool.find_worker(SOUND)
        assert worker is not None
        pool.crash(worker)
    pool.step(0.05)
    assert pool.get_state(SOUND) is JobState.RUNNING
    assert pool.find_worker(SOUND) is not None


def test_worker_that_leaves_on_purpose_is_no_evidence() -> None:
    """Guards against blaming a subtask for maintenance or a move of its VM."""
    pool = Pool(workers=3)
    pool.submit(SOUND)
    for _ in range(3):
        pool.step(0.03)
        worker = pool.find_worker(SOUND)
        assert worker is not None
        pool.scheduler.set_workers_to_drain({worker})
        pool.crash(worker)
        pool.scheduler.set_workers_to_drain(set())
    pool.step(0.5)
    assert pool.find_worker(SOUND) is not None
    (job,) = pool.scheduler.job_table.jobs.values()
    assert all(not subtask.crashes for subtask in job.iterate_known())


def test_worker_that_was_only_cut_off_is_no_evidence() -> None:
    """Guards against blaming a subtask for a network partition of its worker."""
    pool = Pool(workers=1)
    pool.submit(SOUND)
    pool.step()
    (worker,) = pool.records
    view = pool.scheduler.workers[worker]
    view.lease_expires_at = pool.now + LEASE_S
    pool.scheduler.apply_report_failure(worker, pool.now)
    pool.now += LEASE_S + 1.0
    pool.scheduler.apply_report_failure(worker, pool.now)
    (job,) = pool.scheduler.job_table.jobs.values()
    (subtask,) = job.iterate_known()
    assert [crash.is_conclusive for crash in subtask.crashes.values()] == [False]
    pool.runs[worker].clear()
    pool.report(worker)
    assert subtask.crashes == {}


@pytest.mark.parametrize(
    ("owner_ends_after", "is_stored", "crashes"),
    [(1, True, 2), (1, False, 3), (2, True, 2), (2, False, 3)],
    ids=["first", "first, unstored", "second", "second, unstored"],
)
def test_count_of_crashes_survives_the_owner(
    owner_ends_after: int, is_stored: bool, crashes: int
) -> None:
    """Guards against a count that starts anew with each owner of the pool.

    An owner that ends before it has stored the first crash loses that one. Later
    starts are announced; what is known of their crash without an owner that saw it
    is not conclusive.
    """
    pool = Pool(workers=4)
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING)
    while len(pool.crashed) < owner_ends_after:
        pool.step()
    if is_stored:
        pool.store()
    pool.take_over()
    pool.step(5.0)
    assert pool.get_state(CRASHING) is JobState.FAILED
    assert len(pool.crashed) == crashes


def test_suspect_waits_until_its_start_is_stored() -> None:
    """Guards against a crash that is lost with an owner that ends before its write."""
    pool = Pool(workers=4)
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING)
    while not pool.crashed:
        pool.step()
    pool.is_storing = False
    pool.step(5.0)
    assert len(pool.starts) == 1
    pool.is_storing = True
    pool.step(5.0)
    assert len(pool.starts) == 2
    assert pool.get_state(CRASHING) is JobState.FAILED


def test_start_that_was_refused_is_no_crash() -> None:
    """Guards against a start counted as a crash though it did not take place."""
    pool = Pool(workers=2)
    pool.submit(SOUND)
    pool.step()
    (worker,) = {worker for _, worker in pool.starts}
    pool.crash(worker)
    (job,) = pool.scheduler.job_table.jobs.values()
    (subtask,) = job.iterate_known()
    pool.refuses_starts = True
    pool.step(0.5)
    assert len(pool.starts) > 2
    assert sum(not crash.address for crash in subtask.crashes.values()) <= 1
    pool.refuses_starts = False
    pool.step(0.5)
    assert pool.find_worker(SOUND) is not None
    assert not any(crash.is_suspected for crash in subtask.crashes.values())


def test_crashes_are_stored_with_the_progress() -> None:
    pool = Pool(workers=4)
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING)
    while not pool.crashed:
        pool.step()
    (job,) = pool.scheduler.job_table.jobs.values()
    (subtask,) = job.iterate_known()
    record = decode_progress(CRASHING, encode_progress(job), job.submission.spec)
    assert record.crashes == {subtask.id: subtask.crashes}
    assert record.has_begun


@pytest.mark.parametrize(
    "rows", ["[1]", "[[1]]", '[["x", "a", 1, 1]]', "7"], ids=lambda rows: rows
)
def test_malformed_crashes_are_refused(rows: str) -> None:
    submission = build_submission(CRASHING, 1, 1)
    value = f'{{"queue": "q", "state": "running", "crashes": {{"0.0.0": {rows}}}}}'
    with pytest.raises(ProgressInvalid):
        decode_progress(CRASHING, value.encode(), submission.spec)


def test_reborn_worker_under_its_identifier_counts_as_a_crash() -> None:
    """Guards against a crash that is missed since the worker's identifier stays."""
    pool = Pool(workers=1)
    pool.submit(CRASHING)
    pool.step()
    (worker,) = pool.records
    pool.records[worker] = replace(pool.records[worker], born_ms=2)
    pool.runs[worker].clear()
    pool.scheduler.update_workers(list(pool.records.values()), pool.now)
    (job,) = pool.scheduler.job_table.jobs.values()
    (subtask,) = job.iterate_known()
    assert [crash.is_conclusive for crash in subtask.crashes.values()] == [True]
