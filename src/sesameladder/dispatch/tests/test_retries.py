"""Retry budget, selection of another worker, and unrunnable jobs."""

import pytest

from sesameladder.dispatch import OutcomeKind, Queued
from sesameladder.dispatch.tests.harness import Cell, grants_of

FAILED = OutcomeKind.FAILED


@pytest.mark.parametrize("first_attempts", [5, 10, 99, 1000])
def test_retries_in_a_full_outage_stay_within_the_budget(first_attempts):
    """Guards against retries that multiply the load of an outage."""
    cell = Cell()
    retries = 0
    for index in range(first_attempts):
        now = index * 0.01
        cell.release(cell.submit_and_grant(now), now, FAILED)
        if isinstance(cell.submit(now, attempt=2, tried_workers=("w0",)), Queued):
            retries += 1
            for granted in grants_of(cell.poll(now)):
                cell.release(granted, now, FAILED)
    assert retries <= first_attempts / 10
    assert retries >= first_attempts // 10 - 1


def test_refused_retry_names_the_budget():
    """Guards against a refusal that the caller can't tell from an outage."""
    answer = Cell().submit(0.0, attempt=2)
    assert answer.reason == "retry_budget"
    assert answer.retry_after_s >= 1.0


@pytest.mark.parametrize(("tried", "reason"), [((), None), (("w0",), "retry_budget")])
def test_resumed_work_needs_budget_only_after_it_failed(tried, reason):
    """Guards against refusing resumed jobs, and against unlimited retries of them."""
    answer = Cell().submit(0.0, attempt=2, resumed=True, tried_workers=tried)
    assert getattr(answer, "reason", None) == reason


@pytest.mark.parametrize(
    ("tried", "racks", "allowed"),
    [
        ((), (), {"w0", "w1", "w2", "w3", "w4", "w5"}),
        (("w0",), ("r0",), {"w4", "w5"}),
        (("w4",), ("r1",), {"w0", "w1", "w2", "w3"}),
        (("w4", "w5"), ("r1",), {"w0", "w1", "w2", "w3"}),
        (("w0", "w4"), ("r0", "r1"), {"w1", "w2", "w3", "w5"}),
    ],
)
def test_retry_goes_to_another_worker_and_rack(tried, racks, allowed):
    """Guards against a retry on the failure domain that just failed."""
    cell = Cell()
    cell.dispatcher.cell.retry_budget.tokens = 1.0
    attempt = 2 if tried else 1
    granted = cell.submit_and_grant(
        0.0, attempt=attempt, tried_workers=tried, tried_racks=racks
    )
    assert granted.vm in allowed


def test_retry_waits_for_another_worker_while_other_work_goes_on():
    """Guards against head-of-line blocking by a retry that waits for another worker."""
    cell = Cell(workers=2, slots=1)
    cell.dispatcher.cell.retry_budget.tokens = 1.0
    busy = cell.submit_and_grant(0.0)
    free = {"w0": "w1", "w1": "w0"}[busy.vm]
    cell.submit(0.1, demand_id="retry", attempt=2, tried_workers=(free,))
    cell.submit(0.2, demand_id="other")
    assert [granted.demand_id for granted in grants_of(cell.poll(0.2))] == ["other"]
    cell.release(busy, 0.3)
    assert [granted.demand_id for granted in grants_of(cell.poll(0.3))] == ["retry"]


def test_retry_uses_the_same_worker_when_it_is_the_only_one():
    """Guards against a retry that never starts in a cell of one worker."""
    cell = Cell(workers=1)
    cell.dispatcher.cell.retry_budget.tokens = 1.0
    assert cell.submit_and_grant(0.0, attempt=2, tried_workers=("w0",)).vm == "w0"


def test_job_that_fails_on_three_healthy_workers_is_refused():
    """Guards against a job that is retried until the retry budget is used up."""
    cell = Cell()
    for _ in range(6):
        cell.submit_many(6, 0.0)
        for granted in grants_of(cell.poll(0.0)):
            cell.release(granted, 0.0)
    cell.dispatcher.cell.retry_budget.tokens = 9.0
    tried: tuple[str, ...] = ()
    for attempt in (1, 2, 3):
        granted = cell.submit_and_grant(
            1.0, kind="rare", attempt=attempt, tried_workers=tried
        )
        tried += (granted.vm,)
        cell.release(granted, 1.0, FAILED)
    answer = cell.submit(1.0, kind="rare", attempt=4, tried_workers=tried)
    assert answer.reason == "never_runs"
    assert isinstance(cell.submit(1.0, kind="rare"), Queued)


@pytest.mark.parametrize(
    ("others_succeed", "kind_succeeds", "reason"),
    [(True, False, "never_runs"), (True, True, None), (False, False, None)],
)
def test_kind_that_never_succeeds_is_not_retried(others_succeed, kind_succeeds, reason):
    """Guards against retrying a failing kind, and blaming the kind during an outage."""
    cell = Cell()
    cell.dispatcher.cell.retry_budget.tokens = 9.0
    for index in range(12):
        now = index * 0.1
        if others_succeed:
            cell.submit_many(6, now)
            for granted in grants_of(cell.poll(now)):
                cell.release(granted, now)
        cell.release(cell.submit_and_grant(now, kind="rare"), now, FAILED)
    if kind_succeeds:
        cell.release(cell.submit_and_grant(2.0, kind="rare"), 2.0)
    answer = cell.submit(2.0, kind="rare", attempt=2, tried_workers=("w0",))
    assert getattr(answer, "reason", None) == reason


def test_refusals_are_not_failures():
    """Guards against counting a refused task as a failure of its job or worker."""
    cell = Cell()
    for index in range(9):
        now = float(index)
        cell.release(cell.submit_and_grant(now), now, OutcomeKind.NOT_RUN_FULL)
    rows = cell.dispatcher.dump()["workers"]
    assert {row["failures_in_a_row"] for row in rows} == {0}
