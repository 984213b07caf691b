"""Tests of which runs are released when a worker restarts, ends or goes silent."""

from dataclasses import replace

import pytest

from sesameladder.jobs import (
    Command,
    PoolScheduler,
    Resources,
    RunStatus,
    StartCommand,
    StartOutcome,
    StopCommand,
    WorkerRecord,
    WorkerReport,
)
from sesameladder.jobs.tests.simulation import build_submission

LEASE_EXPIRES_AT = 5.0


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
    scheduler.apply_start_outcome("i-1", order.subtask, order.run, outcome, 0.2)
    return scheduler


def schedule_stored(scheduler: PoolScheduler, now: float) -> list[Command]:
    """Return the commands of two passes, with a write of the progress in between.

    The restart follows a crash, so its start has to be announced in the store.
    """
    commands = scheduler.schedule(now, now * 1000)
    for job in scheduler.take_dirty_jobs():
        scheduler.record_stored(job)
    return [*commands, *scheduler.schedule(now, now * 1000)]


@pytest.mark.parametrize(
    ("ended_born_ms", "is_released"),
    [(0, True), (500, True), (400, False)],
    ids=["incarnation unknown", "this incarnation", "earlier incarnation"],
)
def test_incarnation_end_applies_to_one_incarnation(
    ended_born_ms: int, is_released: bool
) -> None:
    """Guards against a subtask that runs twice after maintenance.

    The next incarnation may have the same name as the one that ended, and its runs
    must not be released.
    """
    scheduler = build_scheduler(born_ms=500)
    scheduler.apply_incarnation_end("i-1", ended_born_ms, 1.0)
    assert (len(scheduler.runs) == 0) is is_released


def test_late_start_is_blocked_before_the_lease_is_extended() -> None:
    """Guards against a subtask that runs twice after a network partition.

    The partition delayed a start. A worker executes a late start while its lease is
    valid. The run had been given up when the lease expired, and the lease was
    extended before the start arrived.
    """
    scheduler = build_scheduler(born_ms=500)
    (run,) = scheduler.runs.values()
    run.confirmed_at = None
    subtask, number = run.subtask.id, run.number
    scheduler.apply_start_outcome("i-1", subtask, number, StartOutcome.UNANSWERED, 1.0)
    worker = scheduler.workers["i-1"]
    worker.lease_expires_at = 5.0
    scheduler.apply_report_failure("i-1", 1.0)
    scheduler.schedule(6.0, 6000.0)
    assert scheduler.runs == {}
    scheduler.apply_report("i-1", WorkerReport(0, 500, (), ()), 7.0, 7.0)
    commands = scheduler.schedule(7.0, 7000.0)
    assert commands == [StopCommand("i-1", subtask, number)]
    scheduler.apply_stop_response("i-1", subtask, number, 7.1)
    (command,) = scheduler.schedule(7.2, 7200.0)
    assert isinstance(command, StartCommand)


def test_run_of_a_responding_worker_never_expires() -> None:
    """Guards against a subtask that runs twice after its worker left the list.

    The worker responded again before its lease expired. The scheduler did not know
    of the extension yet and gave up its runs.
    """
    scheduler = build_scheduler(born_ms=500)
    (run,) = scheduler.runs.values()
    scheduler.workers["i-1"].lease_expires_at = 5.0
    scheduler.apply_report_failure("i-1", 1.0)
    scheduler.update_workers([], 4.0)
    status = RunStatus(run.subtask.id, run.number, "", 50)
    scheduler.apply_report("i-1", WorkerReport(0, 500, (status,), ()), 4.9, 4.9)
    scheduler.schedule(5.1, 5100.0)
    assert list(scheduler.runs.values()) == [run]


@pytest.mark.parametrize("is_present", [True, False], ids=["present", "absent"])
@pytest.mark.parametrize("source", ["list", "report"])
def test_runs_of_a_restarted_worker_wait_for_its_report(
    is_present: bool, source: str
) -> None:
    """Guards against a subtask that runs twice after its worker has restarted.

    The start had reached the next incarnation before the restart was noticed.
    """
    scheduler = build_scheduler(born_ms=500)
    scheduler.workers["i-1"].lease_expires_at = LEASE_EXPIRES_AT
    (subtask,) = scheduler.runs
    record = replace(scheduler.workers["i-1"].record, born_ms=900)
    other = replace(record, worker="i-2", born_ms=1)
    if source == "report":
        scheduler.apply_report("i-1", WorkerReport(0, 900, (), ()), 0.9, 1.0)
    scheduler.update_workers([record, other], 1.0)
    scheduler.apply_report("i-2", WorkerReport(0, 1, (), ()), 1.0, 1.0)
    assert schedule_stored(scheduler, 1.1) == []
    running = (RunStatus(subtask, 1, "", 50),) if is_present else ()
    scheduler.apply_report("i-1", WorkerReport(0, 900, running, ()), 1.1, 1.2)
    assert schedule_stored(scheduler, 1.2) == []
    # A suspect is started right after a report of its worker only.
    scheduler.apply_report("i-1", WorkerReport(0, 900, running, ()), 1.2, 1.3)
    scheduler.apply_report("i-2", WorkerReport(0, 1, (), ()), 1.2, 1.3)
    commands = scheduler.schedule(1.3, 1300.0)
    assert len(commands) == (0 if is_present else 1)
    assert scheduler.runs[subtask].number == (1 if is_present else 2)


def test_subtasks_of_a_restarted_worker_that_stays_silent_start_elsewhere() -> None:
    scheduler = build_scheduler(born_ms=500)
    scheduler.workers["i-1"].lease_expires_at = LEASE_EXPIRES_AT
    record = replace(scheduler.workers["i-1"].record, born_ms=900)
    other = replace(record, worker="i-2", born_ms=1)
    scheduler.update_workers([record, other], 1.0)
    scheduler.apply_report("i-2", WorkerReport(0, 1, (), ()), 1.0, 1.0)
    scheduler.apply_report_failure("i-1", 1.5)
    assert schedule_stored(scheduler, LEASE_EXPIRES_AT - 0.1) == []
    (command,) = schedule_stored(scheduler, LEASE_EXPIRES_AT + 0.1)
    assert isinstance(command, StartCommand)
    assert command.worker == "i-2"


def test_subtasks_of_a_restarted_worker_outwait_the_longest_lease() -> None:
    """Guards against a subtask that runs twice after its worker restarted and was cut.

    Its start had reached the next incarnation, whose lease ended by the clock of the
    earlier one.
    """
    scheduler = build_scheduler(born_ms=500)
    scheduler.longest_lease_s = 10.0
    scheduler.workers["i-1"].lease_expires_at = LEASE_EXPIRES_AT
    record = replace(scheduler.workers["i-1"].record, born_ms=900)
    other = replace(record, worker="i-2", born_ms=1)
    scheduler.update_workers([record, other], 1.0)
    scheduler.apply_report("i-2", WorkerReport(0, 1, (), ()), 1.0, 1.0)
    assert schedule_stored(scheduler, 10.9) == []
    assert len(schedule_stored(scheduler, 11.1)) == 1


def test_start_whose_repetition_was_not_sent_is_kept() -> None:
    """Guards against a run that is stopped since its worker was silent for a moment.

    An earlier copy of the start may have begun the run. Its repetition can't be sent
    before a report has told which incarnation answers.
    """
    scheduler = build_scheduler(born_ms=500)
    (run,) = scheduler.runs.values()
    run.confirmed_at = None
    subtask, number = run.subtask.id, run.number
    for now, outcome in ((1.0, StartOutcome.UNANSWERED), (1.2, StartOutcome.NOT_SENT)):
        scheduler.apply_start_outcome("i-1", subtask, number, outcome, now)
    assert scheduler.schedule(1.3, 1300.0) == []
    (command,) = scheduler.schedule(1.8, 1800.0)
    assert isinstance(command, StartCommand)
    assert (command.order.subtask, command.order.run) == (subtask, number)
