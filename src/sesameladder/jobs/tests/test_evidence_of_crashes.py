"""Tests of what a crash has to show before it counts against a subtask.

The users allow to end the job of a subtask under which two workers have crashed.
"""

import pytest

from sesameladder.jobs import JobState, StartCommand, StartOutcome
from sesameladder.jobs.tests.simulation import Simulation, play_jobs, verify_outcome
from sesameladder.jobs.tests.test_probation import SOUND, Pool

SEEDS = range(6)
CRASHES_ALLOWED = 2  # "under which two workers have crashed may be given up"
WORKERS = 8
CRASH_INTERVAL_S = 1.5


class UncertainPool(Pool):
    """A pool that loses what the owner could learn of a run."""

    lost: str = ""
    """What is lost next; empty if nothing is."""

    def start(self, command: StartCommand) -> None:
        """Have the worker go down as the start is under way, if that is next."""
        if not self.lost:
            super().start(command)
            return
        worker, order = command.worker, command.order
        outcome = StartOutcome.UNANSWERED
        if self.lost == "run":  # the run has ended already, by a stop or as done
            outcome = StartOutcome.SUPERSEDED
        if self.lost != "response":
            self.scheduler.apply_start_outcome(
                worker, order.subtask, order.run, outcome, self.now
            )
        self.crash(worker)
        self.lost = ""


def lose_run(pool: UncertainPool, what: str) -> None:
    """Let the next start meet a worker that goes down."""
    crashes = len(pool.crashed)
    pool.lost = what
    for _ in range(1000):
        pool.step()
        if len(pool.crashed) > crashes:
            return
    raise AssertionError("the job was not started within 10 s")


def crash_under(pool: Pool) -> None:
    """Crash the worker of the sound job's run, once there is one."""
    for _ in range(1000):
        worker = pool.find_worker(SOUND)
        if worker is not None:
            pool.crash(worker)
            return
        pool.step()
    raise AssertionError("the job was not started within 10 s")


@pytest.mark.parametrize("lost", ["start", "response", "run"])
@pytest.mark.parametrize("lasts", [False, True], ids=["job", "long-running"])
def test_workers_that_had_no_run_of_a_job_do_not_fail_it(
    lost: str, lasts: bool
) -> None:
    """Guards against a job ended by starts that met workers which were gone."""
    pool = UncertainPool(workers=6)
    pool.submit(SOUND, lasts)
    for _ in range(2 * CRASHES_ALLOWED):
        lose_run(pool, lost)
    assert pool.get_state(SOUND) is not JobState.FAILED
    crash_under(pool)
    pool.step()
    assert pool.get_state(SOUND) is not JobState.FAILED


@pytest.mark.parametrize(
    ("gap_s", "state"),
    [(0.0, JobState.RUNNING), (0.05, JobState.RUNNING), (1.0, JobState.FAILED)],
    ids=["together", "shortly after", "by itself"],
)
def test_crash_together_with_that_of_another_worker_is_not_conclusive(
    gap_s: float, state: JobState
) -> None:
    """Guards against a job ended by two losses of a rack or a zone."""
    pool = Pool(workers=8)
    pool.submit(SOUND)
    for _ in range(CRASHES_ALLOWED):
        while (worker := pool.find_worker(SOUND)) is None:
            pool.step()
        other = next(name for name in pool.records if name != worker)
        if gap_s:
            pool.crash(other)
            pool.now += gap_s
            ended = [(worker, 1)]
        else:
            ended = [(worker, 1), (other, 1)]
        for name, _ in ended:
            record = pool.records.pop(name)
            pool.add_worker(record.address)
        view = pool.scheduler.workers[worker]
        for run in view.runs.values():
            run.confirmed_at = pool.now
        pool.scheduler.apply_incarnation_ends(ended, pool.now)
        pool.now += 1.0
    assert pool.get_state(SOUND) is state


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "report_gap_s",
    [(0.35, 0.35), (0.45, 0.45), (0.8, 2.2)],
    ids=["as asked for", "late", "very late"],
)
def test_sound_jobs_outlive_workers_that_crash_by_themselves(
    report_gap_s: tuple[float, float], seed: int
) -> None:
    """Guards against a run taken for new since no report came meanwhile."""
    simulation = Simulation(seed, WORKERS)
    simulation.report_gap_s = report_gap_s
    simulation.checker.crashes_that_excuse = CRASHES_ALLOWED

    def crash() -> None:
        up = [worker for worker in simulation.workers if worker.is_up]
        count = min(len(up), simulation.random.choice([1, 2, 4]))
        for worker in simulation.random.sample(up, count):
            simulation.crash(worker, simulation.random.uniform(1.0, 4.0))

    for number in range(1, 14):
        simulation.run_later(number * CRASH_INTERVAL_S, crash)
    play_jobs(simulation, 56, seconds=21.0)
    verify_outcome(simulation, checks_delay=False)
