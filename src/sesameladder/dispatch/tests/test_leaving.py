"""Leaving and serving marks of a VM, from each source and in any order."""

import pytest

from sesameladder.dispatch import LeavingSource, OutcomeKind
from sesameladder.dispatch.tests.harness import Cell, vms_of

PLAN, LIST = LeavingSource.PLAN, LeavingSource.VM_LIST
PEER, WORKER = LeavingSource.PEER, LeavingSource.WORKER


@pytest.mark.parametrize(
    ("marks", "serves"),
    [
        ([(0, "leave", PLAN)], False),
        ([(0, "leave", LIST)], False),
        ([(0, "leave", PEER)], False),
        ([(0, "leave", WORKER)], True),
        ([(8, "leave", WORKER)], False),
        ([(0, "leave", PLAN), (1, "serve", PLAN)], True),
        ([(0, "leave", PLAN), (1, "serve", LIST)], False),
        ([(0, "leave", LIST), (1, "serve", PLAN)], False),
        ([(0, "leave", PLAN), (1, "leave", LIST), (2, "serve", PLAN)], False),
        ([(0, "leave", LIST), (1, "leave", PLAN), (2, "serve", LIST)], False),
        (
            [
                (0, "leave", PLAN),
                (1, "leave", LIST),
                (2, "serve", PLAN),
                (3, "serve", LIST),
            ],
            True,
        ),
        # A lagging list and a lagging plan must not remove a peer's newer mark.
        ([(0, "leave", PEER), (1, "serve", LIST), (1, "serve", PLAN)], False),
        ([(0, "leave", PEER), (6, "serve", LIST)], False),
        ([(0, "leave", PEER), (6, "serve", LIST), (7, "serve", PLAN)], True),
        ([(0, "leave", PEER), (6, "serve", LIST), (7, "leave", PEER)], False),
        ([(0, "leave", PEER), (1, "serve", PEER)], True),
        # A mark from a refusal lasts as long as a mark of the plan that confirms it.
        ([(0, "leave", WORKER), (1, "leave", PLAN)], False),
        ([(8, "leave", WORKER), (8, "leave", PLAN), (9, "serve", PLAN)], True),
    ],
)
def test_vm_serves_only_when_plan_and_list_agree(marks, serves):
    """Guards against grants to a leaving VM, and a VM that stays marked for ever."""
    cell = Cell(workers=1)
    for time, verb, source in marks:
        if verb == "leave":
            cell.dispatcher.mark_leaving("w0", source, time)
        else:
            cell.dispatcher.mark_serving("w0", source, time)
    cell.submit(10.0)
    assert bool(vms_of(cell.poll(10.0))) == serves


def test_leaving_mark_before_the_worker_is_listed_applies():
    """Guards against a grant when the leaving mark arrives before the worker list."""
    cell = Cell(workers=1)
    cell.dispatcher.update_workers([], 1.0)
    cell.dispatcher.mark_leaving("w0", PLAN, 2.0)
    cell.dispatcher.update_workers(cell.specs, 3.0)
    cell.dispatcher.apply_task_report("w0", 0, 3.0)
    cell.submit(3.0)
    assert vms_of(cell.poll(3.0)) == set()


def test_refusal_by_the_worker_stops_grants_to_it():
    """Guards against granting the retry on the worker that refused the request."""
    cell = Cell(workers=2)
    first = cell.submit_and_grant(0.0)
    cell.release(first, 0.1, OutcomeKind.NOT_RUN_LEAVING)
    cell.submit_many(16, 0.2)
    assert first.vm not in vms_of(cell.poll(0.2))
    assert cell.dispatcher.next_wakeup(0.2) <= 5.1
    assert vms_of(cell.poll(5.1)) == {first.vm}


def test_full_worker_gets_no_grants_until_the_backoff_ends():
    """Guards against a tight loop of refusals by a full worker."""
    cell = Cell(workers=1)
    cell.release(cell.submit_and_grant(0.0), 0.0, OutcomeKind.NOT_RUN_FULL)
    cell.submit(0.1)
    assert cell.poll(0.1) == []
    assert cell.dispatcher.next_wakeup(0.1) == 0.5
    assert vms_of(cell.poll(0.5)) == {"w0"}


def test_outstanding_grants_of_a_leaving_vm_are_counted_until_released():
    """Guards against a VM that is reported as drained while work runs on it."""
    cell = Cell(workers=1)
    granted = cell.submit_and_grant(0.0)
    cell.dispatcher.mark_leaving("w0", PLAN, 1.0)
    cell.dispatcher.update_workers([], 2.0)
    assert cell.dispatcher.slots_in_use("w0") == 1
    cell.release(granted, 3.0)
    assert cell.dispatcher.slots_in_use("w0") == 0


def test_demand_is_refused_at_once_when_all_workers_leave():
    """Guards against queueing demands in a cell without usable workers."""
    cell = Cell(workers=1)
    cell.dispatcher.mark_leaving("w0", PLAN, 0.0)
    assert cell.submit(0.0).reason == "no_worker"
