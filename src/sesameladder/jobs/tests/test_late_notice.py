"""Tests of workers whose crash becomes known late, or behind a cut.

Calls to a worker that has lost power are not refused; they get no response.
"""

import pytest

from sesameladder.jobs import RunStatus, StartOutcome, SubtaskId, WorkerReport
from sesameladder.jobs.tests.simulation import (
    Owner,
    Simulation,
    build_submission,
    play_jobs,
    verify_outcome,
)
from sesameladder.jobs.tests.test_crashing_subtasks import verify_crashes
from sesameladder.jobs.tests.test_probation import SOUND, Pool
from sesameladder.standins.system import SimulatedWork, SimulatedWorker

SEEDS = range(6)
WORKERS = 8
REPORT_TIMEOUT_S = 0.8
REPORT_GAP_S = (0.35, 0.45)
CRASHES_ALLOWED = 2  # "under which two workers have crashed may be given up"
CRASHING = f"{0xC0:016x}"


class DarkSimulation(Simulation):
    """A simulation in which report calls to a worker that is down time out."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed, WORKERS)
        self.report_gap_s = REPORT_GAP_S
        self.down_since: dict[str, float] = {}

    def _report(self, owner: Owner, worker: SimulatedWorker) -> None:
        if worker.is_up:
            self.down_since.pop(worker.name, None)
        elif (
            self.time - self.down_since.setdefault(worker.name, self.time)
            < REPORT_TIMEOUT_S
        ):
            return
        super()._report(owner, worker)


def play_crashing_job(simulation: Simulation, work: SimulatedWork, width: int) -> None:
    """Play a job with crashing subtasks among sound ones, and check the outcome."""
    play_jobs(simulation, 10, seconds=4.0)
    simulation.submit(build_submission(CRASHING, 1, width, work))
    play_jobs(simulation, 20, seconds=8.0, start=10)
    verify_outcome(simulation, checks_delay=False)
    verify_crashes(simulation)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "restart_s", [(1.0, 4.0), (4.0, 6.0)], ids=["soon back", "long away"]
)
@pytest.mark.parametrize("duration_ms", [100, 900])
def test_subtask_that_crashes_workers_which_go_dark_is_given_up(
    duration_ms: int, restart_s: tuple[float, float], seed: int
) -> None:
    """Guards against crashes that are known so late that none is certain."""
    simulation = DarkSimulation(seed)
    simulation.restart_delay_s = restart_s
    work = SimulatedWork(duration_ms, 1000, False, False, 5, ())
    play_crashing_job(simulation, work, width=1)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("after_ms", [1, 5])
def test_gang_that_crashes_workers_which_go_dark_is_given_up(
    after_ms: int, seed: int
) -> None:
    """Guards against a gang that is placed again and again after late notices."""
    simulation = DarkSimulation(seed)
    work = SimulatedWork(900, 1000, False, False, after_ms, (), waits_for_gang=True)
    play_crashing_job(simulation, work, width=2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("lasts", [False, True], ids=["jobs", "and long-running"])
def test_sound_jobs_outlive_workers_that_crash_behind_a_cut(
    lasts: bool, seed: int
) -> None:
    """Guards against silence that is taken for the time of a crash.

    Runs are done behind the cut before their workers crash.
    """
    simulation = Simulation(seed, WORKERS)
    simulation.report_gap_s = REPORT_GAP_S
    simulation.checker.crashes_that_excuse = CRASHES_ALLOWED

    def crash(worker: SimulatedWorker) -> None:
        simulation.crash(worker, 1.0)
        simulation.partitioned.discard(worker.name)

    def cut_off() -> None:
        reached = [
            worker
            for worker in simulation.workers
            if worker.is_up and worker.name not in simulation.partitioned
        ]
        count = min(len(reached), simulation.random.choice([1, 2, 4]))
        for worker in simulation.random.sample(reached, count):
            simulation.partitioned.add(worker.name)
            delay_s = simulation.random.uniform(0.5, 3.0)
            simulation.run_later(delay_s, lambda worker=worker: crash(worker))

    for number in range(1, 26):
        simulation.run_later(number * 0.8, cut_off)
    if lasts:
        for number in range(6):
            work = SimulatedWork(lasts=True)
            simulation.submit(build_submission(f"{0xD0 + number:016x}", 1, 2, work))
    play_jobs(simulation, 56, seconds=21.0)
    assert simulation.checker.violations == []


def test_start_answered_by_the_next_incarnation_counts_for_none() -> None:
    """Guards against a crash under a run that a restarted worker has begun."""
    pool = Pool(workers=3)
    pool.submit(SOUND)
    pool.step()
    ((_, worker),) = pool.starts
    status = RunStatus(SubtaskId(SOUND, 0, 0, 0), 1, "", 1)
    report = WorkerReport(0, 2, (status,), ())
    pool.scheduler.apply_start_outcome(
        worker, status.subtask, 1, StartOutcome.STARTED, pool.now
    )
    pool.scheduler.apply_report(worker, report, pool.now, pool.now)
    (subtask,) = pool.scheduler.job_table.jobs[SOUND].iterate_known()
    assert not any(crash.has_begun for crash in subtask.crashes.values())
