"""Tests of sound jobs beside crashes that they did not cause."""

import pytest

from sesameladder.fleet import EndedIncarnation, PoolOrders
from sesameladder.jobs import (
    JobSpec,
    JobState,
    Resources,
    RunStatus,
    StartCommand,
    StartOutcome,
    StepSpec,
    StopCommand,
    Submission,
    Subtask,
    SubtaskId,
    WorkerReport,
)
from sesameladder.jobs._probation import LIKELY_CRASH_AGE_S
from sesameladder.jobs._runs import YOUNG_RUN_S
from sesameladder.jobs.tests.simulation import (
    Simulation,
    build_submission,
    play_jobs,
    verify_outcome,
)
from sesameladder.jobs.tests.test_probation import CRASHING, SOUND, Pool
from sesameladder.node._records import encode_orders
from sesameladder.node.tests.builders import build_pool_task
from sesameladder.standins.system import SimulatedWork

SEEDS = range(4)
BACK_WITHIN_S = 6.0  # rule LOST: "from 6 s after its last run"


def submit(
    pool: Pool,
    width: int,
    lasts: bool = False,
    max_per_worker: int = 0,
    gang: bool = False,
) -> None:
    """Submit a sound job of one step."""
    spec = StepSpec(
        width,
        Resources(1000, 100),
        is_long_running=lasts,
        max_per_worker=max_per_worker,
        gang=gang,
    )
    payload = SimulatedWork(lasts=lasts).to_text()
    submission = Submission(SOUND, "queue", JobSpec(payload, (spec,)), max_attempts=3)
    pool.submissions[SOUND] = submission
    pool.scheduler.add_job(submission, None, pool.now)


def get_subtask(pool: Pool, job: str, position: int = 0) -> Subtask:
    return pool.scheduler.job_table.jobs[job].steps[0, 0].subtasks[position]


def find_worker(pool: Pool, job: str) -> str:
    """Return the worker with a run of a job, once there is one."""
    for _ in range(1000):
        worker = pool.find_worker(job)
        if worker is not None:
            return worker
        pool.step()
    raise AssertionError(f"{job} did not start within 10 s")


def measure_restart(pool: Pool, width: int) -> float:
    """Return the time in s until all subtasks of the sound job have a run."""
    started_at = pool.now
    for _ in range(2000):
        pool.step()
        present = {key for name in pool.records for key in pool.runs[name]}
        if all(SubtaskId(SOUND, 0, 0, number) in present for number in range(width)):
            return pool.now - started_at
    raise AssertionError("not all subtasks have started again within 20 s")


def test_crash_is_not_conclusive_for_a_run_that_the_worker_outlived() -> None:
    """Guards against a job blamed for the crash of a younger run beside its own."""
    pool = Pool(workers=1)
    pool.submit(SOUND)
    pool.step(0.06)
    (worker,) = pool.records
    (run,) = pool.scheduler.runs.values()
    assert LIKELY_CRASH_AGE_S <= run.known_age_s < YOUNG_RUN_S
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING)
    pool.step()
    assert pool.crashed == [worker]
    (crash,) = get_subtask(pool, SOUND).crashes.values()
    assert crash.is_suspected
    assert not crash.is_conclusive


def test_job_beside_a_crashing_one_survives_a_crash_of_its_next_worker() -> None:
    """Guards against two crashes, of which one had another cause, that end a job."""
    pool = Pool(workers=1)
    pool.submit(SOUND)
    pool.step(0.06)
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING)
    pool.step()
    for number in range(1, 4):
        pool.add_worker(f"10.0.0.{number}:1")
    pool.crash(find_worker(pool, SOUND))
    pool.step(3.0)
    assert pool.get_state(SOUND) is JobState.RUNNING


def test_start_that_never_arrived_is_no_evidence() -> None:
    """Guards against a job that fails since two workers were lost at once.

    The second one was down already when the job's start was sent there.
    """
    pool = Pool(workers=2)
    pool.submit(SOUND)
    pool.step()
    first = find_worker(pool, SOUND)
    (second,) = set(pool.records) - {first}
    pool.crash(first)
    for name in set(pool.records) - {second}:
        del pool.records[name]
    starts = 0
    for _ in range(20):
        pool.now += 0.01
        pool.store()
        pool.report(second)  # suspects are started right after a report only
        for command in pool.scheduler.schedule(pool.now, pool.now * 1000):
            if isinstance(command, StartCommand) and command.worker == second:
                starts += 1
                order = command.order
                pool.scheduler.apply_start_outcome(
                    second,
                    order.subtask,
                    order.run,
                    StartOutcome.UNANSWERED,
                    pool.now,
                )
    assert starts
    pool.scheduler.apply_incarnation_end(second, 1, pool.now)
    assert pool.get_state(SOUND) is not JobState.FAILED


def test_run_of_a_job_that_ended_before_the_notice_stays_a_suspect() -> None:
    """Guards against a bystander that is the only suspect left."""
    pool = Pool(workers=1)
    pool.submit(SOUND)
    pool.submit(CRASHING)
    pool.step()
    (worker,) = pool.records
    assert len(pool.runs[worker]) == 2
    pool.scheduler.cancel_job(CRASHING, pool.now)
    pool.crash(worker)
    (crash,) = get_subtask(pool, SOUND).crashes.values()
    assert not crash.is_conclusive


def test_starts_that_another_incarnation_refused_are_no_crashes() -> None:
    """Guards against a job that fails since its starts met restarted workers."""
    pool = Pool(workers=2)
    pool.submit(SOUND)
    for _ in range(40):
        pool.now += 0.01
        pool.scheduler.update_workers(list(pool.records.values()), pool.now)
        for name in pool.records:
            pool.report(name)
        pool.store()
        for command in pool.scheduler.schedule(pool.now, pool.now * 1000):
            assert isinstance(command, StartCommand)
            pool.scheduler.apply_start_outcome(
                command.worker,
                command.order.subtask,
                command.order.run,
                StartOutcome.OTHER_INCARNATION,
                pool.now,
            )
            del pool.records[command.worker]
    assert not pool.records
    assert get_subtask(pool, SOUND).crashes == {}


@pytest.mark.parametrize(
    ("width", "workers", "spare", "lasts", "max_per_worker", "limit_s"),
    [
        (5, 5, 15, True, 1, BACK_WITHIN_S),
        (3, 3, 0, True, 1, BACK_WITHIN_S),
        (16, 2, 18, False, 0, 1.0),
    ],
    ids=["long-running", "small pool", "wide step"],
)
def test_suspects_of_one_job_need_not_wait_for_each_other(
    width: int,
    workers: int,
    spare: int,
    lasts: bool,
    max_per_worker: int,
    limit_s: float,
) -> None:
    """Guards against suspects that wait for one worker though they don't fit there."""
    pool = Pool(workers)
    submit(pool, width, lasts, max_per_worker)
    pool.step(0.03)
    victims = list(pool.records)
    for number in range(spare):
        pool.add_worker(f"10.0.1.{number}:1")
    for worker in victims:
        pool.crash(worker)
    assert measure_restart(pool, width) < limit_s


def test_gang_goes_on_after_the_start_of_a_member_was_refused() -> None:
    """Guards against a gang stopped since the announced start of a member is stored."""
    pool = Pool(workers=1)
    submit(pool, 2, gang=True)
    pool.step(0.02)
    (worker,) = pool.records
    pool.crash(worker)
    for number in range(1, 3):
        pool.add_worker(f"10.0.0.{number}:1")
    is_refused = False
    for _ in range(30):
        pool.now += 0.01
        pool.scheduler.update_workers(list(pool.records.values()), pool.now)
        for name in pool.records:
            pool.report(name)
        for command in pool.scheduler.schedule(pool.now, pool.now * 1000):
            assert not isinstance(command, StopCommand)
            assert isinstance(command, StartCommand)
            order, outcome = command.order, StartOutcome.STARTED
            if order.subtask.position == 1 and not is_refused:
                is_refused, outcome = True, StartOutcome.NO_ROOM
            else:
                pool.runs[command.worker][order.subtask] = order.run
            pool.scheduler.apply_start_outcome(
                command.worker, order.subtask, order.run, outcome, pool.now
            )
        pool.store()
    assert is_refused


def test_gang_that_runs_survives_a_change_of_owner() -> None:
    """Guards against an announced start that counts as a crash though it runs."""
    pool = Pool(workers=2)
    submit(pool, 2, gang=True)
    pool.submit(CRASHING)
    for _ in range(2):
        pool.crash(find_worker(pool, SOUND))
    find_worker(pool, SOUND)
    pool.take_over()
    pool.step(0.5)
    assert pool.get_state(SOUND) is not JobState.FAILED


@pytest.mark.parametrize("applied_late_s", [0.3, 3.0])
def test_report_that_is_applied_late_clears_no_suspect(applied_late_s: float) -> None:
    """Guards against a crash that is forgotten since the owner stood still.

    A run that ends by itself might have been done meanwhile.
    """
    pool = Pool(workers=4)
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING, lasts=True)
    while not pool.crashed:
        pool.step()
    pool.crashing.clear()
    while len(pool.starts) < 2:
        pool.step()
    worker = pool.starts[-1][1]
    received_at = pool.now + 0.005
    running = tuple(
        RunStatus(key, run, "", 0) for key, run in pool.runs[worker].items()
    )
    report = WorkerReport(0, 1, running, ())
    sent_at, pool.now = pool.now, pool.now + applied_late_s
    pool.scheduler.apply_report(worker, report, sent_at, pool.now, received_at)
    pool.scheduler.schedule(pool.now, pool.now * 1000)
    pool.crash(worker)
    assert pool.get_state(CRASHING) is JobState.FAILED


def test_suspect_is_not_cleared_by_the_first_report_to_a_new_owner() -> None:
    """Guards against a count that a change of owner in the first 0.1 s erases."""
    pool = Pool(workers=4)
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING)
    while not pool.crashed:
        pool.step()
    pool.crashing.clear()
    while len(pool.starts) < 2:
        pool.step()
    pool.take_over()
    pool.scheduler.update_workers(list(pool.records.values()), pool.now)
    for name in pool.records:
        pool.report(name)
    pool.scheduler.schedule(pool.now, pool.now * 1000)
    pool.crash(find_worker(pool, CRASHING))
    assert pool.get_state(CRASHING) is JobState.FAILED


def test_maintenance_is_no_evidence() -> None:
    """Guards against a planned end that counts as a crash.

    The orders that name the worker's end no longer name it as draining.
    """
    pool = Pool(workers=1)
    pool.submit(SOUND)
    pool.step(0.03)
    worker = find_worker(pool, SOUND)
    task = build_pool_task()
    task.scheduler = pool.scheduler
    draining = PoolOrders((worker,), ())
    ended = PoolOrders((), (EndedIncarnation(worker, 1),))
    task._apply_orders(encode_orders(draining), 5, pool.now)
    task._apply_orders(encode_orders(ended), 6, pool.now)
    assert pool.scheduler.runs == {}
    assert get_subtask(pool, SOUND).crashes == {}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("gap_s", [0.05, 0.2])
def test_workers_lost_one_after_the_other_let_no_sound_job_fail(
    gap_s: float, seed: int
) -> None:
    """Guards against long-running work given up while a zone loses its workers."""
    simulation = Simulation(seed, 12)
    work = SimulatedWork(lasts=True)
    simulation.submit(build_submission(f"{0:016x}", 1, 12, work))
    simulation.run(1.0)
    for number, worker in enumerate(simulation.workers[:6]):
        back_s = simulation.random.uniform(1.0, 4.0)
        simulation.run_later(
            number * gap_s,
            lambda worker=worker, back_s=back_s: simulation.crash(worker, back_s),
        )
    play_jobs(simulation, 20, seconds=10.0, start=100)
    verify_outcome(simulation, checks_delay=False)


def test_gang_beside_the_first_starts_of_crashing_jobs_goes_on() -> None:
    """Guards against a sound gang given up for three crashes that others caused."""
    pool = Pool(workers=1)
    submit(pool, 2, gang=True)
    for number in range(3):
        find_worker(pool, SOUND)
        job = f"00000000000000c{number}"
        pool.crashing.add(job)
        crashes = len(pool.crashed)
        pool.submit(job)
        while len(pool.crashed) == crashes:
            pool.step()
        pool.scheduler.cancel_job(job, pool.now)
    assert pool.get_state(SOUND) is not JobState.FAILED
