"""How long an owner counts with the runs of a worker that has restarted."""

from dataclasses import replace

import pytest

from sesameladder.jobs import TrackedWorker, UnreadWorkers
from sesameladder.jobs.tests.test_rules import build_record
from sesameladder.node import _pool_task
from sesameladder.node._clock import read_steady_clock, read_wall_clock_ms
from sesameladder.node._pool_task import UNREAD_WORKER_WAIT_S, PoolTask
from sesameladder.node._worker_link import WorkerLink
from sesameladder.node.tests.builders import build_pool_task

WORKER = "i-1"
BORN_MS = 1_700_000_000_000
LEASE_S = 4.0
MAX_LEASE_S = 10.0
MARGIN_S = 0.9  # for a slow clock of the worker and a round trip


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
    link.earlier_orders_until = read_steady_clock() - 0.1
    link.lease_expires_at = 0.0
    link.clock_offset_s = 0.0
    link._extend_lease()
    assert is_lease_of(link, LEASE_S)


def build_tracked(born_ms: int, *, has_restarted: bool = False) -> TrackedWorker:
    return TrackedWorker(WORKER, born_ms, None, has_restarted)


@pytest.mark.parametrize(
    ("term", "age_s", "tracked", "lease_s"),
    [
        (2, 60.0, build_tracked(BORN_MS - 9), MAX_LEASE_S),
        (2, 60.0, build_tracked(BORN_MS, has_restarted=True), MAX_LEASE_S),
        (2, 1.0, build_tracked(BORN_MS), LEASE_S),
        (2, 1.0, build_tracked(0), MAX_LEASE_S),
        (2, 1.0, None, MAX_LEASE_S),
        (2, 60.0, None, LEASE_S),
        (1, 1.0, None, LEASE_S),
    ],
    ids=[
        "restarted since",
        "restarted before",
        "first incarnation",
        "young, from an older version",
        "young",
        "old",
        "first owner",
    ],
)
def test_new_owner_counts_with_an_earlier_incarnation(
    monkeypatch: pytest.MonkeyPatch,
    term: int,
    age_s: float,
    tracked: TrackedWorker | None,
    lease_s: float,
) -> None:
    """Guards against a subtask that runs twice after a restart and an owner change.

    The earlier owner's order gave the next incarnation a lease of 10 s. The new owner
    has never known the earlier incarnation, and the worker stays silent.
    """
    monkeypatch.setattr(
        _pool_task, "read_wall_clock_ms", lambda: BORN_MS + age_s * 1000
    )
    task = build_pool_task(term=term)
    now = read_steady_clock()
    task.scheduler.unread_workers = UnreadWorkers.from_tracked(
        () if tracked is None else (tracked,),
        UNREAD_WORKER_WAIT_S,
        task._compute_restarted_wait(),
        now,
    )
    list_incarnation(task, BORN_MS)
    assert is_lease_of(task.links[WORKER], lease_s)
    is_doubtful = lease_s > LEASE_S
    after_wait = now + UNREAD_WORKER_WAIT_S
    assert task.scheduler.knows_earlier_runs(after_wait) is not is_doubtful
    after_longest_lease = after_wait + MAX_LEASE_S - LEASE_S + MARGIN_S
    assert task.scheduler.knows_earlier_runs(after_longest_lease)
    (handed_on,) = task.scheduler.list_tracked_workers(now)
    assert handed_on.has_restarted is is_doubtful


def test_worker_that_appears_later_needs_no_longer_lease() -> None:
    """Guards against runs that wait 10 s after a new worker has crashed."""
    task = build_pool_task(term=2)
    task.scheduler.unread_workers.deadline = read_steady_clock() - 1.0
    list_incarnation(task, int(read_wall_clock_ms()))
    assert is_lease_of(task.links[WORKER], LEASE_S)
