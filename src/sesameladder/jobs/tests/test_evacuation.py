"""Tests that draining leaves enough subtasks of a long-running step ready."""

from dataclasses import replace

import pytest

from sesameladder.jobs import (
    JobSpec,
    PoolScheduler,
    Resources,
    RunStatus,
    StartCommand,
    StartOutcome,
    StepSpec,
    StopCommand,
    Submission,
    WorkerRecord,
    WorkerReport,
)

WORKERS = ("i-1", "i-2", "i-3")


def build_pool(max_unavailable: int = 1) -> PoolScheduler:
    """Return a pool with one ready long-running subtask on each worker."""
    scheduler = PoolScheduler(1, lambda event, **fields: None)
    records = [
        WorkerRecord(
            name,
            1,
            "pool",
            "10.0.0.1:1",
            "zone-a",
            Resources(8000, 8000),
            ("a", "r1-1"),
            is_draining=False,
        )
        for name in WORKERS
    ]
    scheduler.update_workers(records, 0.0)
    for name in WORKERS:
        scheduler.apply_report(name, WorkerReport(0, 1, (), ()), 0.0, 0.0)
    step = StepSpec(
        3, Resources(1000, 10), is_long_running=True, max_unavailable=max_unavailable
    )
    step = replace(step, max_per_worker=1)
    scheduler.add_job(
        Submission("00000000000000aa", "q", JobSpec("", (step,))), None, 0
    )
    for command in scheduler.schedule(0.1, 100.0):
        assert isinstance(command, StartCommand)
        order = command.order
        scheduler.apply_start_outcome(
            command.worker, order.subtask, order.run, StartOutcome.STARTED, 0.2
        )
    report_all(scheduler, 0.3)
    return scheduler


def report_all(scheduler: PoolScheduler, now: float) -> None:
    for run in list(scheduler.runs.values()):
        status = RunStatus(run.subtask.id, run.number, "", 100)
        report = WorkerReport(0, 1, (status,), ())
        scheduler.apply_report(run.worker.id, report, now, now)


def take_over(
    earlier: PoolScheduler, now: float, is_draining: bool = False
) -> PoolScheduler:
    """Return the next owner, which has read what runs on the workers."""
    scheduler = PoolScheduler(2, lambda event, **fields: None, fence=9)
    scheduler.update_workers(
        [
            replace(view.record, is_draining=is_draining)
            for view in earlier.workers.values()
        ],
        now,
    )
    (job,) = earlier.job_table.jobs.values()
    scheduler.add_job(job.submission, None, now)
    for run in earlier.runs.values():
        status = RunStatus(run.subtask.id, run.number, "", 100)
        report = WorkerReport(0, 1, (status,), ())
        scheduler.apply_report(run.worker.id, report, now, now)
    return scheduler


def list_stops(scheduler: PoolScheduler, now: float) -> list[str]:
    commands = scheduler.schedule(now, now * 1000)
    return [c.worker for c in commands if isinstance(c, StopCommand)]


@pytest.mark.parametrize(
    ("max_unavailable", "stops"), [(0, ["i-1"]), (1, ["i-1"]), (2, ["i-1", "i-2"])]
)
def test_drained_workers_respect_max_unavailable(
    max_unavailable: int, stops: list[str]
) -> None:
    """Guards against draining more subtasks of a step than ``max_unavailable``."""
    scheduler = build_pool(max_unavailable)
    scheduler.set_workers_to_drain({"i-1", "i-2"})
    assert list_stops(scheduler, 1.0) == stops


def test_subtask_on_a_silent_worker_counts_as_unavailable() -> None:
    """Guards against too few available subtasks after a worker has crashed.

    A second subtask of the step was stopped for maintenance while the one on the
    crashed worker still counted as ready.
    """
    scheduler = build_pool()
    scheduler.workers["i-2"].lease_expires_at = 100.0
    scheduler.apply_report_failure("i-2", 0.8)
    scheduler.set_workers_to_drain({"i-1"})
    assert list_stops(scheduler, 1.0) == []
    report_all(scheduler, 1.5)
    assert list_stops(scheduler, 1.6) == ["i-1"]


def test_draining_worker_is_evacuated_at_once() -> None:
    """Guards against long-running subtasks that end with their worker."""
    scheduler = build_pool()
    for view in scheduler.workers.values():
        if view.id != "i-3":
            view.record = replace(view.record, is_draining=True)
    assert list_stops(scheduler, 1.0) == ["i-1", "i-2"]


@pytest.mark.parametrize(("wait_s", "stops"), [(0.9, []), (1.3, ["i-1"])])
def test_subtask_that_an_earlier_owner_may_have_stopped_counts_as_unavailable(
    wait_s: float, stops: list[str]
) -> None:
    """Guards against too few available subtasks around a change of the owner.

    The earlier owner had stopped one subtask of the step for a drain. It was still
    listed as running, so the next owner took it for ready and stopped another.
    """
    scheduler = take_over(build_pool(), 2.0)
    scheduler.set_workers_to_drain({"i-1"})
    assert list_stops(scheduler, 2.0 + wait_s) == stops


def test_draining_worker_of_an_earlier_owner_is_evacuated_at_once() -> None:
    """Guards against subtasks that end with a worker while a new owner waits."""
    scheduler = take_over(build_pool(), 2.0, is_draining=True)
    assert list_stops(scheduler, 2.1) == list(WORKERS)
