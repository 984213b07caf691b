"""Lives of workers: what a notice of an end may and may not release."""

import pytest

from sesameladder.jobs import (
    PoolScheduler,
    Resources,
    StartCommand,
    StartOutcome,
    WorkerRecord,
    WorkerReport,
)
from sesameladder.jobs.tests.simulation import build_submission


def build_scheduler(born_ms: int) -> PoolScheduler:
    """Return a scheduler with one run on one known worker."""
    scheduler = PoolScheduler(1, lambda event, **fields: None)
    record = WorkerRecord(
        "i-1",
        born_ms,
        "pool",
        "10.0.0.1:1",
        "zone-a",
        Resources(8000, 8000),
        ("a", "r1-1"),
        is_draining=False,
    )
    scheduler.update_workers([record], 0.0)
    scheduler.apply_report("i-1", WorkerReport(0, born_ms, (), ()), 0.0, 0.0)
    scheduler.add_job(build_submission("00000000000000aa", 1, 1), None, 0.1)
    (command,) = scheduler.schedule(0.1, 100.0)
    assert isinstance(command, StartCommand)
    order = command.order
    outcome = StartOutcome.STARTED
    scheduler.apply_start("i-1", order.subtask, order.run, outcome, 0.2)
    return scheduler


@pytest.mark.parametrize(
    ("notice", "is_released"),
    [(0, True), (500, True), (400, False)],
    ids=["life unknown", "this life", "earlier life"],
)
def test_notice_of_an_end_names_one_life(notice: int, is_released: bool) -> None:
    """Guards against TWICE after upkeep: the next life may have the same name."""
    scheduler = build_scheduler(born_ms=500)
    scheduler.end_life("i-1", notice, 1.0)
    assert (len(scheduler.runs) == 0) is is_released
