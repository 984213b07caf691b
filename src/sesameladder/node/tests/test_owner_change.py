"""What a pool's owner does before, after and while the pool changes its owner."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from sesameladder.fleet import EndedIncarnation, PoolOrders
from sesameladder.jobs import (
    PoolScheduler,
    StartCommand,
    StartOrder,
    StartOutcome,
    Submission,
    TrackedWorker,
    UnreadWorkers,
    WorkerReport,
)
from sesameladder.jobs.tests.test_rules import build_record
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._keys import cancel_key, orders_key, submission_key
from sesameladder.node._long_leases import UNREAD_WORKER_WAIT_S
from sesameladder.node._pool_task import InboxChanges
from sesameladder.node._records import encode_orders, encode_submission
from sesameladder.node._worker_link import (
    IncarnationReplaced,
    LinkMessage,
    ReportFailed,
    ReportReceived,
    StartFinished,
    WorkerLink,
)
from sesameladder.node.tests.builders import build_pool_task
from sesameladder.node.tests.test_intake import QUEUE
from sesameladder.node.tests.test_worker_link import SUBTASK, RecordingClient

WORKER = "i-1"


@pytest.mark.parametrize(
    ("noticed_born_ms", "listed_born_ms", "has_ended"),
    [(1, 1, True), (1, 2, False), (0, 1, False)],
    ids=["listed incarnation", "earlier incarnation", "unknown start"],
)
def test_owner_does_not_wait_for_a_worker_whose_end_was_read_before_the_list(
    noticed_born_ms: int, listed_born_ms: int, has_ended: bool
) -> None:
    """Guards against an owner that starts nothing for 7.5 s after it took over.

    It read the notices of ended incarnations before it knew any worker, so they had
    no effect, and it waited for a report of workers that no longer existed.
    """
    task = build_pool_task()
    now = read_steady_clock()
    task.scheduler.unread_workers = UnreadWorkers.from_tracked(
        (TrackedWorker(WORKER),), UNREAD_WORKER_WAIT_S, now
    )
    orders = PoolOrders((), (EndedIncarnation(WORKER, noticed_born_ms),))
    change = (orders_key("chair"), encode_orders(orders), 20)
    record = replace(build_record(1), born_ms=listed_born_ms, pool="chair")
    task._apply_inbox((change,), {})
    task._apply_workers([record], now)
    task._apply_inbox((change,), {})
    assert (WORKER not in task.scheduler.workers) is has_ended
    assert task.scheduler.knows_earlier_runs(now) is has_ended


def test_later_incarnation_of_an_ended_worker_is_used() -> None:
    """Guards against a notice that outlives the incarnation which it names."""
    task = build_pool_task()
    orders = PoolOrders((), (EndedIncarnation(WORKER, 1),))
    change = (orders_key("chair"), encode_orders(orders), 20)
    task._apply_inbox((change,), {})
    for born_ms in (1, 2):
        record = replace(build_record(1), born_ms=born_ms, pool="chair")
        task._apply_workers([record], read_steady_clock())
    task._apply_inbox((change,), {})
    assert task.scheduler.workers[WORKER].record.born_ms == 2


def test_stopped_task_places_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a subtask that an earlier owner starts beside the present one.

    The role was given up during a pass, while the process's lease went on.
    """
    passes: list[float] = []
    monkeypatch.setattr(
        PoolScheduler, "schedule", lambda self, now, wall_ms: passes.append(now) or []
    )
    task = build_pool_task()
    task.is_loaded = True
    task.writer.is_busy = True
    task._step()
    assert len(passes) == 1
    task.stop()
    task._step()
    assert len(passes) == 1


def test_queued_start_of_a_stopped_task_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts of an earlier owner that wait behind slow orders."""
    monkeypatch.setattr(WorkerLink, "start", lambda self: None)
    task = build_pool_task()
    task.scheduler.update_workers([build_record(1)], 0.0)
    task._update_links()
    link = task.links[WORKER]
    client = RecordingClient()
    link.client = client  # type: ignore[assignment]
    link.clock_offset_s = 0.0
    link._send_start(StartCommand(WORKER, StartOrder(SUBTASK, 7, "")))
    assert client.calls == [("start", 7)]
    task.stop()
    link._send_start(StartCommand(WORKER, StartOrder(SUBTASK, 8, "")))
    assert client.calls == [("start", 7)]
    outcomes = []
    while not task.messages.empty():
        message = task.messages.get()
        if isinstance(message, StartFinished):
            outcomes.append(message.outcome)
    assert outcomes == [StartOutcome.STARTED, StartOutcome.NOT_SENT]


@pytest.mark.parametrize(
    ("valid_s", "expected"),
    [(-0.1, StartOutcome.WITHDRAWN), (60.0, StartOutcome.STARTED)],
    ids=["late", "in time"],
)
def test_start_is_not_sent_after_its_deadline(
    monkeypatch: pytest.MonkeyPatch, valid_s: float, expected: StartOutcome
) -> None:
    """Guards against starts under an earlier cap after a pause of the process."""
    monkeypatch.setattr(WorkerLink, "start", lambda self: None)
    task = build_pool_task()
    task.scheduler.update_workers([build_record(1)], 0.0)
    task._update_links()
    link = task.links[WORKER]
    client = RecordingClient()
    link.client = client  # type: ignore[assignment]
    link.clock_offset_s = 0.0
    deadline = read_steady_clock() + valid_s
    link._send_start(StartCommand(WORKER, StartOrder(SUBTASK, 7, ""), deadline))
    message = task.messages.get()
    assert isinstance(message, StartFinished)
    assert message.outcome is expected
    assert (client.calls == []) is (expected is StartOutcome.WITHDRAWN)


@pytest.mark.parametrize(
    ("build_key", "method"),
    [(submission_key, "add_job"), (cancel_key, "cancel_job")],
    ids=["submission", "cancel"],
)
@pytest.mark.parametrize("is_loading", [True, False])
def test_error_with_one_job_does_not_lose_the_others(
    monkeypatch: pytest.MonkeyPatch,
    build_key: Callable[[str, str], str],
    method: str,
    is_loading: bool,
) -> None:
    """Guards against accepted jobs that are not run until the pool's owner changes.

    They were read together with a job that the scheduler failed to apply.
    """
    applied: list[str] = []

    def apply(self: PoolScheduler, job: str | Submission, *_: object) -> None:
        del self
        name = job if isinstance(job, str) else job.job
        if name == "bad":
            raise AssertionError("unexpected")
        applied.append(name)

    monkeypatch.setattr(PoolScheduler, method, apply)
    names = ["before", "bad", "after"]
    value = encode_submission(QUEUE, b'{"steps": [{"count": 1}]}')
    changes = tuple((build_key("chair", name), value, 20) for name in names)
    orders = encode_orders(PoolOrders(("i-1",)))
    changes = (*changes, (orders_key("chair"), orders, 21))
    task = build_pool_task()
    if is_loading:
        task._apply_inbox(changes, {})
    else:
        task.is_loaded = task.writer.is_busy = True
        task._apply_message(InboxChanges(changes))
        task._step()
    assert applied == ["before", "after"]
    assert task.scheduler.workers_to_drain == {"i-1"}


@pytest.mark.parametrize(
    "message",
    [
        ReportReceived(WORKER, 1, WorkerReport(0, 1, (), ()), 0.0),
        IncarnationReplaced(WORKER, 1),
        ReportFailed(WORKER, 1),
    ],
    ids=lambda message: type(message).__name__,
)
def test_message_about_an_earlier_incarnation_does_not_remove_the_next(
    message: LinkMessage,
) -> None:
    """Guards against a worker that gets no work until the list of workers changes.

    After the owner stood still, it read the list with the next incarnation before the
    last messages about the one before.
    """
    task = build_pool_task()
    for born_ms in (1, 2):
        record = replace(build_record(1), born_ms=born_ms, pool="chair")
        task._apply_workers([record], read_steady_clock())
    view = task.scheduler.workers[WORKER]
    task._apply_message(message)
    assert task.scheduler.workers == {WORKER: view}
    assert not view.has_reported
    assert view.failed_reports == 0


@pytest.mark.parametrize(
    "message",
    [
        ReportReceived(WORKER, 1, WorkerReport(0, 2, (), ()), 0.0),
        IncarnationReplaced(WORKER, 1),
    ],
    ids=lambda message: type(message).__name__,
)
def test_message_of_the_next_incarnation_ends_the_present_one(
    message: LinkMessage,
) -> None:
    task = build_pool_task()
    record = replace(build_record(1), born_ms=1, pool="chair")
    task._apply_workers([record], read_steady_clock())
    task._apply_message(message)
    assert task.scheduler.workers == {}
