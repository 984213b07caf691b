"""Reports of workers with more ends than one report has room for."""

from dataclasses import replace

import pytest

from sesameladder.jobs import (
    EndReason,
    JobSpec,
    JobState,
    PoolScheduler,
    RunEnd,
    StartCommand,
    Submission,
    SubtaskId,
    WorkerReport,
)
from sesameladder.jobs.tests.test_rules import (
    JOB,
    STEP,
    build_record,
    build_scheduler,
    confirm_starts,
    list_starts,
    submit,
)

WORKER = "i-1"
UNREAD_WORKER_DEADLINE = 7.5
FIRST = SubtaskId(JOB, 0, 0, 0)
SECOND = SubtaskId(JOB, 0, 0, 1)


def apply_ends(
    scheduler: PoolScheduler,
    *subtasks: SubtaskId,
    now: float,
    first_number: int = 1,
    has_more_ends: bool = False,
    reason: EndReason = EndReason.DONE,
) -> None:
    """Apply a report in which the first runs of these subtasks have ended."""
    ends = tuple(
        RunEnd(number, subtask, 1, reason, "")
        for number, subtask in enumerate(subtasks, first_number)
    )
    report = WorkerReport(0, 1, (), ends, has_more_ends)
    scheduler.apply_report(WORKER, report, now, now)


def build_new_owner() -> PoolScheduler:
    """Return the scheduler of a second owner, with a job of the first one's time."""
    scheduler = PoolScheduler(2, lambda event, **fields: None, fence=9)
    scheduler.unread_workers.deadline = UNREAD_WORKER_DEADLINE
    scheduler.update_workers([build_record(1)], 0.0)
    submission = Submission(JOB, "queue", JobSpec("", (STEP,)), max_attempts=2)
    scheduler.add_job(submission, None, 0.0)
    return scheduler


@pytest.mark.parametrize(
    ("has_more_ends", "restarted"),
    [(True, []), (False, [(0, 1, WORKER)])],
    ids=["more ends", "complete"],
)
def test_run_beyond_the_ends_of_a_report_is_not_started_again(
    has_more_ends: bool, restarted: list[tuple[int, int, str]]
) -> None:
    """Guards against subtasks that run again after they have ended as done.

    Over 500 runs of a worker had ended while the store was down. The runs whose ends
    had no room in the report were taken for runs that the worker had lost.
    """
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, STEP)
    confirm_starts(scheduler, scheduler.schedule(0.1, 100.0), 0.2)
    apply_ends(scheduler, FIRST, now=1.0, has_more_ends=has_more_ends)
    assert list_starts(scheduler.schedule(1.1, 1100.0)) == restarted
    assert scheduler.workers[WORKER].used_cpu_millis == STEP.needs.cpu_millis
    if has_more_ends:
        apply_ends(scheduler, SECOND, now=1.2, first_number=2)
        assert scheduler.job_table.ended[JOB][0] is JobState.DONE


def test_stopped_run_beyond_the_ends_of_a_report_is_not_started_again() -> None:
    """Guards against a done run that is taken for one that a stop has blocked."""
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, STEP)
    confirm_starts(scheduler, scheduler.schedule(0.1, 100.0), 0.2)
    scheduler._stop(scheduler.runs[SECOND], 0.5)
    scheduler.apply_stop_response(WORKER, SECOND, 1, 0.6)
    apply_ends(scheduler, FIRST, now=1.0, has_more_ends=True)
    assert SECOND in scheduler.runs


@pytest.mark.parametrize("now", [1.1, UNREAD_WORKER_DEADLINE + 1.0])
def test_new_owner_reads_all_ends_before_it_starts_earlier_work(now: float) -> None:
    """Guards against subtasks that run again after a change of their owner.

    The first report to the new owner had no room for all ends, and those beyond it
    were not known when the owner began to start earlier work.
    """
    scheduler = build_new_owner()
    apply_ends(scheduler, FIRST, now=now, has_more_ends=True)
    assert scheduler.schedule(now, now * 1000) == []
    apply_ends(scheduler, SECOND, now=now + 0.1, first_number=2)
    assert scheduler.job_table.ended[JOB][0] is JobState.DONE


def test_new_owner_starts_earlier_work_after_the_last_ends() -> None:
    scheduler = build_new_owner()
    apply_ends(scheduler, FIRST, now=1.0, has_more_ends=True)
    apply_ends(scheduler, SECOND, now=1.1, first_number=2, reason=EndReason.STOPPED)
    (command,) = scheduler.schedule(1.2, 1200.0)
    assert isinstance(command, StartCommand)
    assert command.order.subtask == SECOND


def test_worker_that_falls_silent_with_unread_ends_is_given_up() -> None:
    """Guards against earlier work that waits for a crashed worker for good."""
    scheduler = build_new_owner()
    other = replace(build_record(2), worker="i-2")
    scheduler.update_workers([build_record(1), other], 0.5)
    scheduler.apply_report("i-2", WorkerReport(0, 1, (), ()), 0.6, 0.6)
    apply_ends(scheduler, FIRST, now=1.0, has_more_ends=True)
    scheduler.workers[WORKER].lease_expires_at = 5.4
    scheduler.apply_report_failure(WORKER, 2.0)
    assert scheduler.schedule(UNREAD_WORKER_DEADLINE - 0.1, 7400.0) == []
    (command,) = scheduler.schedule(UNREAD_WORKER_DEADLINE, 7500.0)
    assert isinstance(command, StartCommand)
    assert (command.worker, command.order.subtask) == ("i-2", SECOND)


def test_earlier_lost_subtask_waits_for_all_ends_of_the_next_incarnation() -> None:
    """Guards against a start that reached the next incarnation and is repeated."""
    scheduler = build_scheduler(build_record(1), build_record(2))
    scheduler.longest_lease_s = 10.0
    submit(scheduler, replace(STEP, count=1, data_rack="r1-1"))
    confirm_starts(scheduler, scheduler.schedule(0.1, 100.0), 0.2)
    ((_, run),) = scheduler.runs.items()
    reborn = replace(run.worker.record, born_ms=2)
    records = [
        reborn if w == reborn.worker else build_record(int(w[-1]))
        for w in ("i-1", "i-2")
    ]
    scheduler.update_workers(records, 1.0)
    report = WorkerReport(0, 2, (), (), has_more_ends=True)
    scheduler.apply_report(reborn.worker, report, 1.1, 1.1)
    for job in scheduler.take_dirty_jobs():
        scheduler.record_stored(job)
    assert list_starts(scheduler.schedule(1.2, 1200.0)) == []
