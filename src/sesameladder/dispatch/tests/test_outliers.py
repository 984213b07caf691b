"""Outlier ejection: failing workers, successive failures, and failing jobs."""

from itertools import pairwise

import pytest

from sesameladder.dispatch import OutcomeKind
from sesameladder.dispatch.tests.harness import Cell, grants_of, vms_of

FAILED, CONNECTION_FAILED = OutcomeKind.FAILED, OutcomeKind.CONNECTION_FAILED


def run_rounds(
    cell: Cell, failing: set[str], rounds: int, start: float = 0.0, **demand
):
    """Submit 24 demands every 0.1 s; return the number that failing workers got."""
    kind = demand.pop("outcome", FAILED)
    failing_worker_grants = 0
    for index in range(rounds):
        now = start + index * 0.1
        cell.submit_many(24, now, **demand)
        for granted in grants_of(cell.poll(now)):
            is_failing = granted.vm in failing
            failing_worker_grants += is_failing
            cell.release(
                granted, now + 0.05, kind if is_failing else OutcomeKind.SUCCEEDED
            )
    return failing_worker_grants


def ejected_vms(cell: Cell) -> set[str]:
    rows = cell.dispatcher.dump()["workers"]
    return {row["vm"] for row in rows if row["ejected"]}


@pytest.mark.parametrize("outcome", [FAILED, CONNECTION_FAILED])
def test_worker_that_fails_everything_is_ejected(outcome):
    """Guards against a worker that gets most demands because it fails them fast."""
    cell = Cell()
    failing_worker_grants = run_rounds(cell, {"w2"}, 9, outcome=outcome)
    assert ejected_vms(cell) == {"w2"}
    assert failing_worker_grants <= 3 + 7


@pytest.mark.parametrize(
    ("workers", "bad", "most"),
    [(6, 2, 2), (6, 3, 2), (6, 4, 2), (3, 2, 1), (2, 1, 1), (12, 6, 4)],
)
def test_ejection_cap(workers, bad, most):
    """Guards against ejecting so many workers that the others can't carry the load."""
    cell = Cell(workers=workers, probe_delay_s=100.0)
    run_rounds(cell, {f"w{i}" for i in range(bad)}, 30, repeatable=False)
    assert len(ejected_vms(cell)) <= most
    if bad < workers / 2:
        assert len(ejected_vms(cell)) == min(bad, most)


def test_no_worker_is_ejected_when_all_fail():
    """Guards against ejections in a full outage, in which no other worker succeeds."""
    cell = Cell()
    run_rounds(cell, {spec.vm for spec in cell.specs}, 30)
    assert ejected_vms(cell) == set()


def test_successive_worker_failures_leave_the_others_in_use():
    """Guards against successive worker failures that keep the other workers idle."""
    cell = Cell(workers=12)
    for failing_count in (1, 3, 5):
        run_rounds(
            cell,
            {f"w{i}" for i in range(failing_count)},
            5,
            failing_count,
            outcome=CONNECTION_FAILED,
        )
    cell.submit_many(24, 9.0)
    assert len(vms_of(cell.poll(9.0)) - {f"w{i}" for i in range(5)}) >= 5


def test_kind_that_fails_everywhere_does_not_eject_workers():
    """Guards against ejecting good workers because of jobs that can't run."""
    cell = Cell()
    for index in range(60):
        now = index * 0.1
        cell.release(cell.submit_and_grant(now, kind="broken"), now, FAILED)
        for granted in [cell.submit_and_grant(now) for _ in range(6)]:
            cell.release(granted, now)
    assert ejected_vms(cell) == set()


def test_probes_are_single_and_back_off_until_one_succeeds():
    """Guards against a worker that stays ejected or gets many probes at once."""
    cell = Cell(probe_delay_s=1.0)
    run_rounds(cell, {"w2"}, 9)
    probes = []
    now = 1.0
    while now < 80.0:
        cell.submit_many(12, now)
        for granted in grants_of(cell.poll(now)):
            bad = granted.vm == "w2" and now < 20.0
            if granted.vm == "w2" and ejected_vms(cell):
                probes.append(now)
            cell.release(granted, now, FAILED if bad else OutcomeKind.SUCCEEDED)
        now = round(now + 0.25, 2)
    gaps = [later - earlier for earlier, later in pairwise(probes)]
    assert len(probes) == len(set(probes))
    assert all(second > first for first, second in pairwise(gaps))
    assert ejected_vms(cell) == set()


@pytest.mark.parametrize(
    "changes", [{"urgent": True}, {"repeatable": False}, {"attempt": 2}]
)
def test_only_ordinary_repeatable_work_probes(changes):
    """Guards against probing an ejected worker with work that can't be repeated."""
    cell = Cell(workers=2, slots=1)
    for now in (0.0, 0.1, 0.2):
        cell.submit_many(2, now)
        for granted in grants_of(cell.poll(now)):
            outcome = FAILED if granted.vm == "w0" else OutcomeKind.SUCCEEDED
            cell.release(granted, now, outcome)
    cell.dispatcher.cell.retry_budget.tokens = 5.0
    cell.poll(0.3)
    assert ejected_vms(cell) == {"w0"}
    cell.submit_many(2, 9.0, **changes)
    assert vms_of(cell.poll(9.0)) == {"w1"}
    cell.submit(9.0)
    assert vms_of(cell.poll(9.0)) == {"w0"}


def test_probe_of_a_gone_forwarder_does_not_block_later_probes():
    """Guards against a worker that stays ejected because its probe never ended.

    The probe's grant was freed when its forwarder was gone.
    """
    cell = Cell()
    run_rounds(cell, {"w2"}, 9)
    cell.submit(5.0, forwarder="entry-2")
    assert vms_of(cell.poll(5.0)) == {"w2"}
    cell.dispatcher.mark_forwarder_gone("entry-2", 1, 5.0)
    cell.poll(8.0)
    cell.submit(20.0)
    assert vms_of(cell.poll(20.0)) == {"w2"}
