"""Tests of the safety and liveness of a pool's owner under seeded faults."""

import pytest

from sesameladder.jobs import JobState
from sesameladder.jobs.tests.simulation import Simulation, build_submission
from sesameladder.standins.system import SimulatedWork

SEEDS = range(12)


def submit_random_jobs(simulation: Simulation, count: int, start: int = 0) -> None:
    for number in range(start, start + count):
        work = SimulatedWork(duration_ms=simulation.random.randint(50, 1500))
        width = simulation.random.randint(1, 5)
        steps = simulation.random.randint(1, 3)
        simulation.submit(build_submission(f"{number:016x}", steps, width, work))


def check_all_done(simulation: Simulation, jobs: int) -> None:
    assert simulation.checker.violations == []
    assert simulation.count_states() == {JobState.DONE: jobs}


@pytest.mark.parametrize("seed", SEEDS)
def test_pool_without_faults_ends_every_job_once(seed: int) -> None:
    """Guards against jobs that make no progress or run twice without any fault."""
    simulation = Simulation(seed)
    submit_random_jobs(simulation, 20)
    simulation.run(30)
    check_all_done(simulation, 20)


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_and_late_orders_start_nothing_twice(seed: int) -> None:
    """Guards against treating an order without a response as not executed."""
    simulation = Simulation(seed)
    simulation.loss_share = simulation.late_share = 0.15
    submit_random_jobs(simulation, 20)
    simulation.run(20)
    simulation.loss_share = simulation.late_share = 0.0
    simulation.run(30)
    check_all_done(simulation, 20)


@pytest.mark.parametrize("seed", SEEDS)
def test_new_owner_learns_which_runs_are_present(seed: int) -> None:
    """Guards against a new owner that starts runs which the old one has started."""
    simulation = Simulation(seed)
    submit_random_jobs(simulation, 20)
    for _ in range(4):
        simulation.run(simulation.random.uniform(0.5, 3.0))
        simulation.take_over()
    simulation.run(40)
    check_all_done(simulation, 20)


@pytest.mark.parametrize("seed", SEEDS)
def test_crashed_workers_lose_no_job(seed: int) -> None:
    """Guards against runs that stay assigned to an ended incarnation of a worker."""
    simulation = Simulation(seed)
    submit_random_jobs(simulation, 20)
    for _ in range(4):
        simulation.run(simulation.random.uniform(0.5, 2.0))
        worker = simulation.random.choice(simulation.workers)
        simulation.crash(worker)
        simulation.run(simulation.random.uniform(0.1, 6.0))
        worker.restart()
    simulation.run(40)
    check_all_done(simulation, 20)


@pytest.mark.parametrize("seed", SEEDS)
def test_partitioned_worker_keeps_its_runs(seed: int) -> None:
    """Guards against giving up runs behind a partition before their leases expire."""
    simulation = Simulation(seed)
    submit_random_jobs(simulation, 20)
    for _ in range(3):
        simulation.run(simulation.random.uniform(0.5, 2.0))
        simulation.partitioned = {simulation.random.choice(simulation.workers).name}
        simulation.run(simulation.random.uniform(1.0, 7.0))
        simulation.end_partition()
    simulation.run(40)
    check_all_done(simulation, 20)


@pytest.mark.parametrize("seed", SEEDS)
def test_partitioned_owner_starts_nothing_that_runs_elsewhere(seed: int) -> None:
    """Guards against subtasks that run twice while a zone is partitioned.

    A deposed owner still reached the workers of its zone. It treated the leases of
    all other, silent workers as expired, while its successor extended them.
    """
    simulation = Simulation(seed)
    submit_random_jobs(simulation, 20)
    simulation.run(1.0)
    simulation.partitioned = simulation.reachable_by_old_owner = {"i-0", "i-1"}
    simulation.run(simulation.random.uniform(0.0, 0.5))
    simulation.take_over(partitions_old_owner=True)
    submit_random_jobs(simulation, 5, start=20)
    simulation.run(simulation.random.uniform(3.0, 9.0))
    simulation.end_partition()
    simulation.owners[-2].is_partitioned_from_store = False
    simulation.owners[-2].confirmed_at = -1e9
    simulation.run(60)
    check_all_done(simulation, 25)


@pytest.mark.parametrize("seed", SEEDS)
def test_unlisted_worker_delays_earlier_jobs(seed: int) -> None:
    """Guards against subtasks that run twice after a change of owner.

    During a network partition the new owner started earlier jobs once every listed
    worker had reported. A worker that was no longer listed still ran them.
    """
    simulation = Simulation(seed)
    submit_random_jobs(simulation, 20)
    simulation.run(1.0)
    simulation.partitioned = {"i-0", "i-1"}
    simulation.run(simulation.random.uniform(0.0, 4.0))
    simulation.take_over()
    simulation.run(simulation.random.uniform(3.0, 9.0))
    simulation.end_partition()
    simulation.run(60)
    check_all_done(simulation, 20)


@pytest.mark.parametrize("seed", SEEDS)
def test_combined_faults(seed: int) -> None:
    """Guards against failures that only a combination of faults causes."""
    simulation = Simulation(seed, workers=5)
    simulation.loss_share = simulation.late_share = 0.05
    draw = simulation.random
    for number in range(8):
        submit_random_jobs(simulation, 5, start=5 * number)
        simulation.run(draw.uniform(0.2, 2.0))
        worker = draw.choice(simulation.workers)
        fault = draw.choice(["crash", "partition", "owner", "cancel", "fails"])
        if fault == "crash":
            simulation.crash(worker)
            simulation.run(draw.uniform(0.1, 5.0))
            worker.restart()
        elif fault == "partition":
            simulation.partitioned = {worker.name}
            simulation.run(draw.uniform(0.1, 7.0))
            simulation.end_partition()
        elif fault == "owner":
            simulation.take_over()
        elif fault == "cancel":
            simulation.cancel(f"{5 * number:016x}")
        else:
            worker.fails_every_run = True
            simulation.run(1.0)
            worker.fails_every_run = False
    simulation.loss_share = simulation.late_share = 0.0
    simulation.run(60)
    assert simulation.checker.violations == []
    states = simulation.count_states()
    assert states.get(JobState.QUEUED, 0) + states.get(JobState.RUNNING, 0) == 0
    assert simulation.checker.active == {}
