"""How long an owner counts with the runs of a worker that has restarted."""

from dataclasses import replace

import pytest

from sesameladder.jobs import TrackedWorker
from sesameladder.jobs.tests.test_rules import build_record
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._pool_task import UNREAD_WORKER_WAIT_S, PoolTask
from sesameladder.node._records import (
    TrackedWorkersRecord,
    decode_tracked_workers,
    encode_tracked_workers,
)
from sesameladder.node._worker_link import (
    EARLIER_ORDERS_S,
    WorkerLink,
    compute_lease_time,
)
from sesameladder.node.tests.builders import build_pool_task
from sesameladder.platform import RecordInvalid

WORKER = "i-1"
LEASE_S = 4.0
MAX_LEASE_S = 10.0
MARGIN_S = 0.9  # for a slow clock of the worker and a round trip
PERIOD_S = EARLIER_ORDERS_S + compute_lease_time(10_000)


@pytest.fixture(autouse=True)
def _no_threads(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(WorkerLink, "start", lambda self: None)


def list_incarnation(task: PoolTask, born_ms: int) -> None:
    """Apply a list of workers with this incarnation, and build its link."""
    record = replace(build_record(1), born_ms=born_ms, pool="chair")
    task._apply_workers([record], read_steady_clock())
    task._update_links()


def is_lease_of(link: WorkerLink, lease_s: float) -> bool:
    left_s = link.lease_expires_at - read_steady_clock()
    return lease_s < left_s < lease_s + MARGIN_S


@pytest.mark.parametrize(
    ("incarnations", "gap", "lease_s"),
    [
        ((1,), False, LEASE_S),
        ((1, 2), False, MAX_LEASE_S),
        ((1, 2), True, MAX_LEASE_S),
    ],
    ids=["first", "next", "next after a gap"],
)
def test_restarted_worker_may_hold_the_longest_lease(
    incarnations: tuple[int, ...], gap: bool, lease_s: float
) -> None:
    """Guards against a subtask that runs twice after its worker restarted and was cut.

    An order to the earlier incarnation, with a time far ahead of the next one's
    clock, gave it a lease of 10 s. Its owner released the runs after 4.4 s.
    """
    task = build_pool_task()
    for born_ms in incarnations:
        list_incarnation(task, born_ms)
        if gap and born_ms == 1:
            task.scheduler.apply_worker_replacement(WORKER, read_steady_clock())
            task._update_links()
    assert is_lease_of(task.links[WORKER], lease_s)


def test_lease_is_counted_normally_once_earlier_orders_have_arrived() -> None:
    task = build_pool_task()
    list_incarnation(task, 1)
    list_incarnation(task, 2)
    link = task.links[WORKER]
    link.long_lease_until = read_steady_clock() - 0.1
    link.lease_expires_at = 0.0
    link.clock_offset_s = 0.0
    link._extend_lease()
    assert is_lease_of(link, LEASE_S)


@pytest.mark.parametrize(
    ("tracked_born_ms", "long_leases_s", "lease_s"),
    [
        (1, {}, LEASE_S),
        (None, {}, LEASE_S),
        (0, {}, LEASE_S),
        (2, {}, MAX_LEASE_S),
        (1, {WORKER: 8.0}, MAX_LEASE_S),
        (None, {WORKER: 8.0}, MAX_LEASE_S),
        (1, {"i-2": 8.0}, LEASE_S),
    ],
    ids=[
        "first incarnation",
        "new worker",
        "stored by an older version",
        "restarted since",
        "restarted before",
        "gone before",
        "another worker",
    ],
)
def test_new_owner_counts_with_an_earlier_incarnation(
    tracked_born_ms: int | None, long_leases_s: dict[str, float], lease_s: float
) -> None:
    """Guards against a subtask that runs twice after a restart and an owner change.

    The earlier owner's order gave the next incarnation a lease of 10 s. The new owner
    has never known the earlier incarnation, and the worker stays silent.
    """
    tracked = [] if tracked_born_ms is None else [(WORKER, tracked_born_ms)]
    record = TrackedWorkersRecord(
        tuple(TrackedWorker(*row) for row in tracked), long_leases_s
    )
    task = build_pool_task(term=2)
    now = read_steady_clock()
    task._apply_tracked_workers(encode_tracked_workers(record), now)
    list_incarnation(task, 1)
    assert is_lease_of(task.links[WORKER], lease_s)
    after_wait = now + UNREAD_WORKER_WAIT_S
    is_doubtful = lease_s > LEASE_S and tracked_born_ms is not None
    assert task.scheduler.knows_earlier_runs(after_wait) is not is_doubtful
    after_longest_lease = after_wait + MAX_LEASE_S - LEASE_S + MARGIN_S
    assert task.scheduler.knows_earlier_runs(after_longest_lease)


def test_restart_is_handed_on_to_the_next_owner() -> None:
    """Guards against a next owner that counts with 4 s where the last one did not."""
    task = build_pool_task()
    for born_ms in (1, 2):
        list_incarnation(task, born_ms)
    (put,) = task._build_pool_puts(read_steady_clock())
    record = decode_tracked_workers(put.value)
    assert [worker.born_ms for worker in record.workers] == [2]
    assert record.long_leases_s[WORKER] == pytest.approx(PERIOD_S, abs=0.5)


def test_owners_that_follow_each_other_do_not_prolong_the_doubt() -> None:
    """Guards against earlier work that waits 13.7 s for a worker for good."""
    record = TrackedWorkersRecord((TrackedWorker(WORKER, 1),), {WORKER: 8.0})
    task = build_pool_task(term=2)
    now = read_steady_clock()
    task._apply_tracked_workers(encode_tracked_workers(record), now)
    list_incarnation(task, 1)
    (put,) = task._build_pool_puts(now + 5.0)
    handed_on = decode_tracked_workers(put.value)
    assert handed_on.long_leases_s == {WORKER: pytest.approx(3.0, abs=0.1)}


@pytest.mark.parametrize("value", ['{"i-1": []}', '{"": 1}', "[]", '{"i-1": -1}'])
def test_malformed_restarts_are_refused(value: str) -> None:
    text = f'{{"workers": {{}}, "waits_s": {{}}, "long_leases_s": {value}}}'
    with pytest.raises(RecordInvalid):
        decode_tracked_workers(text.encode())
