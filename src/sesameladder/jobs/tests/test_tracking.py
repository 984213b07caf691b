"""Which workers of earlier owners a pool's owner waits for, and for how long."""

from collections.abc import Iterable
from dataclasses import replace

import pytest

from sesameladder.jobs import (
    EndReason,
    PoolScheduler,
    StartCommand,
    StartOutcome,
    TrackedWorker,
    UnreadWorkers,
    WorkerReport,
)
from sesameladder.jobs._tracking import WAIT_STEP_S
from sesameladder.jobs.tests.test_rules import (
    STEP,
    build_record,
    build_scheduler,
    confirm_starts,
    report_ends,
    submit,
)

WORKER, OTHER = "i-1", "i-2"
WAIT_S = 7.5
RESTARTED_WAIT_S = 13.7
LISTED = TrackedWorker(OTHER, 1)
EMPTY_REPORT = WorkerReport(0, 1, (), ())


def take_over(
    tracked: Iterable[TrackedWorker],
    now: float,
    longer_waits_s: dict[str, float] | None = None,
) -> PoolScheduler:
    """Return the scheduler of an owner that finds only ``OTHER`` in the list."""
    scheduler = PoolScheduler(2, lambda event, **fields: None, fence=9)
    scheduler.unread_workers = UnreadWorkers.from_tracked(
        tracked, WAIT_S, now, longer_waits_s or {}
    )
    scheduler.update_workers([build_record(2)], now)
    scheduler.apply_report(OTHER, EMPTY_REPORT, now, now)
    return scheduler


def list_names(scheduler: PoolScheduler, now: float) -> list[str]:
    return [worker.worker for worker in scheduler.list_tracked_workers(now)]


@pytest.mark.parametrize(
    ("is_draining", "is_ordered", "is_listed", "names"),
    [
        (True, False, True, [OTHER]),
        (False, True, True, [WORKER, OTHER]),
        (False, False, False, [OTHER]),
        (False, False, True, [WORKER, OTHER]),
    ],
    ids=["draining", "ordered to drain", "left", "in use"],
)
def test_worker_that_leaves_empty_is_not_tracked(
    is_draining: bool, is_ordered: bool, is_listed: bool, names: list[str]
) -> None:
    """Guards against lasting work that stands still for 9 s after planned restarts.

    The next owner waited 7.5 s for a worker that had been emptied and had left.
    """
    scheduler = build_scheduler(build_record(1), build_record(2))
    records = [replace(build_record(1), is_draining=is_draining), build_record(2)]
    scheduler.update_workers(records if is_listed else records[1:], 1.0)
    scheduler.set_workers_to_drain({WORKER} if is_ordered else set())
    assert list_names(scheduler, 1.0) == names


def test_draining_worker_is_tracked_until_its_last_run_has_ended() -> None:
    """Guards against a next owner that doesn't wait for a worker with runs."""
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, STEP)
    commands = scheduler.schedule(0.1, 100.0)
    record = replace(build_record(1), is_draining=True)
    scheduler.update_workers([record], 0.2)
    assert list_names(scheduler, 0.2) == [WORKER]
    confirm_starts(scheduler, commands, 0.3)
    assert list_names(scheduler, 0.3) == [WORKER]
    report_ends(scheduler, WORKER, EndReason.DONE, 1.0)
    assert list_names(scheduler, 1.0) == []


def test_draining_worker_is_tracked_while_a_late_start_may_reach_it() -> None:
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, replace(STEP, count=1))
    (command,) = scheduler.schedule(0.1, 100.0)
    assert isinstance(command, StartCommand)
    order = command.order
    outcome = StartOutcome.UNANSWERED
    scheduler.apply_start_outcome(WORKER, order.subtask, order.run, outcome, 0.9)
    view = scheduler.workers[WORKER]
    view.lease_expires_at = 5.0
    scheduler.apply_report_failure(WORKER, 1.0)
    scheduler.schedule(6.0, 6000.0)
    scheduler.apply_report(WORKER, EMPTY_REPORT, 7.0, 7.0)
    scheduler.update_workers([replace(build_record(1), is_draining=True)], 7.0)
    assert not view.runs
    assert list_names(scheduler, 7.0) == [WORKER]
    scheduler.apply_stop_response(WORKER, order.subtask, order.run, 7.1)
    assert list_names(scheduler, 7.1) == []


def test_worker_with_unread_ends_is_tracked() -> None:
    scheduler = PoolScheduler(2, lambda event, **fields: None)
    scheduler.update_workers([replace(build_record(1), is_draining=True)], 0.0)
    report = WorkerReport(0, 1, (), (), has_more_ends=True)
    scheduler.apply_report(WORKER, report, 0.1, 0.1)
    assert scheduler.list_tracked_workers(0.1) == (TrackedWorker(WORKER, 1),)


@pytest.mark.parametrize("owner_period_s", [1.0, 1.3, 3.0, 5.0])
def test_owners_that_follow_each_other_wait_once(owner_period_s: float) -> None:
    """Guards against earlier work that waits 7.5 s anew with each owner."""
    tracked: tuple[TrackedWorker, ...] = (TrackedWorker(WORKER, 1), LISTED)
    now, wait_ends_at = 100.0, 100.0 + WAIT_S
    owners = 0
    while now < wait_ends_at:
        scheduler = take_over(tracked, now)
        owners += 1
        assert not scheduler.knows_earlier_runs(wait_ends_at - 0.01)
        assert scheduler.knows_earlier_runs(wait_ends_at + owners * WAIT_STEP_S)
        now += owner_period_s
        tracked = scheduler.list_tracked_workers(now)


@pytest.mark.parametrize(
    ("is_listed", "has_reported", "wait_s"),
    [(False, False, 4.5), (True, False, 4.5), (True, True, None)],
    ids=["unlisted", "silent", "responding"],
)
def test_time_that_an_owner_has_waited_is_handed_on(
    is_listed: bool, has_reported: bool, wait_s: float | None
) -> None:
    """Guards against a shortened wait for a worker on which the last owner worked."""
    scheduler = take_over((TrackedWorker(WORKER, 1), LISTED), 100.0)
    if is_listed:
        scheduler.update_workers([build_record(1), build_record(2)], 101.0)
    if has_reported:
        scheduler.apply_report(WORKER, EMPTY_REPORT, 102.0, 102.0)
    tracked = scheduler.list_tracked_workers(103.2)
    assert tracked == (TrackedWorker(WORKER, 1, wait_s), LISTED)


def test_runs_that_may_have_reached_a_restarted_worker_are_waited_for() -> None:
    """Guards against a subtask that runs twice after a restart and an owner change.

    Starts of this owner may have reached the next incarnation unnoticed.
    """
    scheduler = take_over((TrackedWorker(WORKER, 1), LISTED), 100.0)
    for born_ms in (1, 2):
        record = replace(build_record(1), born_ms=born_ms)
        scheduler.update_workers([record, build_record(2)], 101.0)
    assert scheduler.list_tracked_workers(101.0) == (TrackedWorker(WORKER, 2), LISTED)


@pytest.mark.parametrize(("born_ms", "has_ended"), [(1, True), (2, False), (0, False)])
def test_notice_of_an_end_ends_the_wait_for_an_unlisted_worker(
    born_ms: int, has_ended: bool
) -> None:
    """Guards against an owner that waits for a worker whose VM is known to be down."""
    scheduler = take_over((TrackedWorker(WORKER, 1), LISTED), 100.0)
    scheduler.apply_incarnation_end(WORKER, born_ms, 100.1)
    assert scheduler.knows_earlier_runs(100.2) is has_ended
    names = [OTHER] if has_ended else [WORKER, OTHER]
    assert list_names(scheduler, 100.2) == names


def test_unlisted_workers_stay_tracked_beside_the_new_ones() -> None:
    """Guards against a list of tracked workers that is not brought up to date."""
    scheduler = take_over((TrackedWorker(WORKER, 1), LISTED), 100.0)
    scheduler.update_workers([build_record(2), build_record(3)], 101.0)
    scheduler.apply_report("i-3", EMPTY_REPORT, 101.0, 101.0)
    assert list_names(scheduler, 101.0) == [WORKER, OTHER, "i-3"]
    assert list_names(scheduler, 100.0 + WAIT_S) == [OTHER, "i-3"]


@pytest.mark.parametrize(
    ("longer_waits_s", "wait_s", "expected_s"),
    [
        ({}, None, WAIT_S),
        ({WORKER: RESTARTED_WAIT_S}, None, RESTARTED_WAIT_S),
        ({WORKER: RESTARTED_WAIT_S}, 3.0, 3.0),
        ({}, 60.0, WAIT_S),
    ],
)
def test_unlisted_worker_that_has_restarted_is_waited_for_longer(
    longer_waits_s: dict[str, float], wait_s: float | None, expected_s: float
) -> None:
    """Guards against runs that go on under the lease of an earlier incarnation."""
    tracked = (TrackedWorker(WORKER, 1, wait_s), LISTED)
    scheduler = take_over(tracked, 100.0, longer_waits_s)
    assert not scheduler.knows_earlier_runs(100.0 + expected_s - 0.1)
    assert scheduler.knows_earlier_runs(100.0 + expected_s)
