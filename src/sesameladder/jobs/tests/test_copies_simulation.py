"""Tests of copies of slow subtasks under seeded faults."""

import pytest

from sesameladder.jobs.tests.simulation import (
    Simulation,
    build_submission,
    verify_outcome,
)
from sesameladder.standins.system import SimulatedWork

SEEDS = range(4)
# Most runs take as long as expected, a few up to 7 times as long.
RATIOS = (1.0,) * 56 + (3.0, 4.5, 6.0, 7.0)
SCENARIOS = ("none", "crash", "lost", "owner", "cancel", "partition", "all")


def check_bookkeeping(simulation: Simulation) -> None:
    """Check that a subtask with a run neither waits nor has two runs on a worker."""
    for owner in simulation.owners[-2:]:
        scheduler = owner.scheduler
        for key, copy in scheduler.copies.runs.items():
            first = scheduler.runs[key]
            assert first.number < copy.number, key
            assert first.worker is not copy.worker, key
        for key, run in scheduler.runs.items():
            assert key not in run.subtask.step.waiting, key
            assert run.worker.runs[key, run.number] is run, key
        for run in scheduler.copies.watched:
            assert scheduler._is_current(run), run.subtask.id


def play(seed: int, scenario: str, allows_copies: bool = True) -> Simulation:
    """Run jobs with slow and failing runs under the faults of a scenario."""
    simulation = Simulation(seed, workers=5)
    simulation.copy_ratios = RATIOS
    simulation._add_copy_ratios(simulation.owner.scheduler)
    simulation.slow_share, simulation.fail_share = 0.2, 0.03
    simulation.after_tick = lambda: check_bookkeeping(simulation)
    draw = simulation.random
    for number in range(12):
        for position in range(3):
            work = SimulatedWork(duration_ms=draw.randint(50, 1200))
            job = f"{3 * number + position:016x}"
            width, steps = draw.randint(1, 4), draw.randint(1, 2)
            simulation.submit(
                build_submission(
                    job, steps, width, work, max_attempts=4, allows_copies=allows_copies
                )
            )
        is_lossy = scenario in ("lost", "all")
        simulation.loss_share = simulation.late_share = 0.1 if is_lossy else 0.0
        simulation.run(draw.uniform(0.5, 1.5))
        names = ("crash", "owner", "cancel", "partition")
        fault = draw.choice(names) if scenario == "all" else scenario
        worker = draw.choice(simulation.workers)
        if fault == "crash" and worker.is_up:
            simulation.crash(worker, draw.uniform(0.1, 5.0))
        elif fault == "owner":
            simulation.take_over(partitions_old_owner=False)
        elif fault == "cancel":
            simulation.cancel(f"{3 * number:016x}")
        elif fault == "partition":
            simulation.partitioned = {worker.name}
            simulation.run(draw.uniform(0.5, 6.0))
            simulation.end_partition()
    simulation.loss_share = simulation.late_share = 0.0
    return simulation


def count_events(simulation: Simulation, event: str) -> int:
    return sum(name == event for _, name, _ in simulation.events)


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("seed", SEEDS)
def test_copies_break_no_rule_under_faults(seed: int, scenario: str) -> None:
    """Guards against a third run, a start after the end, and lost bookkeeping.

    Two runs of a subtask at the same time are legal here, on two workers and under two
    numbers. Attempts, order of steps and cancels hold as without copies.
    """
    simulation = play(seed, scenario)
    verify_outcome(simulation, checks_delay=False)
    scheduler = simulation.owner.scheduler
    assert count_events(simulation, "copy_started") > 0
    assert simulation.checker.pairs > 0
    assert not scheduler.copies.runs
    assert not scheduler.copies.watched
    assert scheduler.copies.count_cpu_millis() == 0


@pytest.mark.parametrize("seed", range(2))
def test_steps_without_permission_get_no_copies(seed: int) -> None:
    """Guards against a second run of a subtask whose step does not allow copies."""
    simulation = play(seed, "all", allows_copies=False)
    verify_outcome(simulation, checks_delay=False)
    assert count_events(simulation, "copy_started") == 0
    assert simulation.checker.pairs == 0


def test_change_of_owner_keeps_both_runs() -> None:
    """Guards against a new owner that stops one of the two runs of a subtask."""
    simulations = [play(seed, "owner") for seed in SEEDS]
    kept = 0
    for simulation in simulations:
        adopted: dict[tuple[object, object, float], int] = {}
        for at, name, fields in simulation.events:
            if name == "run_adopted":
                key = fields["job"], fields["subtask"], round(at)
                adopted[key] = adopted.get(key, 0) + 1
        kept += sum(count > 1 for count in adopted.values())
    assert kept > 0
