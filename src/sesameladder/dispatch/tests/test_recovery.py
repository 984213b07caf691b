"""Recovery of a dispatcher, and forwarders that end or restart."""

import json
from random import Random

import pytest

from sesameladder.dispatch import Dispatcher, DispatcherConfig, OutcomeKind, Queued
from sesameladder.dispatch._types import GrantOutcome, OutstandingGrant
from sesameladder.dispatch.tests.harness import (
    Cell,
    grants_of,
    make_demand,
    make_workers,
)

SUCCEEDED = GrantOutcome(OutcomeKind.SUCCEEDED, 10.0)


def start_dispatcher(workers: int = 1) -> Dispatcher:
    dispatcher = Dispatcher(DispatcherConfig(), Random(1), "new-")
    dispatcher.update_workers(make_workers(workers), 0.0)
    for index in range(20):
        dispatcher.submit(make_demand(f"d{index}"), 0.0)
    return dispatcher


def make_reported_grant(
    grant_id: str, vm: str = "w0", incarnation: int = 1
) -> OutstandingGrant:
    return OutstandingGrant(
        grant_id, f"of-{grant_id}", "entry-1", incarnation, vm, "fitting", "preview"
    )


def test_nothing_is_granted_before_recovery_ends_and_the_worker_reports():
    """Guards against granting a slot that an earlier grant still holds.

    A new dispatcher doesn't know the grants of the previous one at first.
    """
    dispatcher = start_dispatcher()
    assert dispatcher.poll(0.0) == []
    dispatcher.recover([], 0.0)
    dispatcher.apply_task_report("w0", 0, 2.9)
    assert dispatcher.poll(2.9) == []
    assert dispatcher.next_wakeup(2.9) == 3.0
    assert dispatcher.poll(3.0) == []
    assert [spec.vm for spec in dispatcher.workers_awaiting_report(3.0)] == ["w0"]
    dispatcher.apply_task_report("w0", 0, 3.1)
    assert len(grants_of(dispatcher.poll(3.1))) == 8


@pytest.mark.parametrize(
    ("known", "running", "granted"),
    [(0, 0, 8), (3, 3, 5), (3, 5, 3), (0, 8, 0), (0, 11, 0), (3, 1, 5)],
)
def test_known_grants_and_unknown_tasks_occupy_slots(known, running, granted):
    """Guards against more tasks on a worker than it has slots."""
    dispatcher = start_dispatcher()
    dispatcher.recover([make_reported_grant(f"old-{i}") for i in range(known)], 0.0)
    dispatcher.recover([make_reported_grant("old-0")] if known else [], 1.0)
    dispatcher.apply_task_report("w0", running, 3.0)
    assert len(grants_of(dispatcher.poll(3.0))) == granted


def test_unknown_tasks_free_their_slots_when_a_report_no_longer_shows_them():
    """Guards against slots that stay occupied for ever after a restart."""
    dispatcher = start_dispatcher()
    dispatcher.recover([], 0.0)
    dispatcher.apply_task_report("w0", 6, 3.0)
    assert len(grants_of(dispatcher.poll(3.0))) == 2
    dispatcher.apply_task_report("w0", 4, 4.5)
    assert len(grants_of(dispatcher.poll(4.5))) == 4
    assert dispatcher.workers_awaiting_report(4.5)
    dispatcher.apply_task_report("w0", 6, 6.0)
    assert len(grants_of(dispatcher.poll(6.0))) == 2
    assert not dispatcher.workers_awaiting_report(6.0)


def test_release_that_overtakes_the_report_of_its_grant():
    """Guards against a slot held for ever by a grant that is released already."""
    dispatcher = start_dispatcher()
    dispatcher.recover([], 0.0)
    assert not dispatcher.release("old-1", SUCCEEDED, 0.5)
    dispatcher.recover([make_reported_grant("old-1")], 1.0)
    assert dispatcher.slots_in_use("w0") == 0


def test_recovered_grant_of_a_gone_forwarder_is_freed_after_a_lease():
    """Guards against a slot held for ever by a forwarder that is gone already."""
    dispatcher = start_dispatcher()
    dispatcher.mark_forwarder_gone("entry-1", 1, 0.0)
    dispatcher.recover([make_reported_grant("old-1")], 1.0)
    dispatcher.poll(3.9)
    assert dispatcher.slots_in_use("w0") == 1
    dispatcher.poll(4.0)
    assert dispatcher.slots_in_use("w0") == 0


def test_slots_of_a_gone_forwarder_are_freed_after_one_lease():
    """Guards against granting a slot while a gone forwarder's task may run."""
    cell = Cell(workers=1, slots=1)
    granted = cell.submit_and_grant(0.0)
    cell.submit(1.0, forwarder="entry-2")
    cell.dispatcher.mark_forwarder_gone("entry-1", 1, 1.0)
    assert cell.poll(3.9) == []
    assert cell.dispatcher.next_wakeup(3.9) == 4.0
    assert len(grants_of(cell.poll(4.0))) == 1
    assert not cell.release(granted, 4.1)
    assert cell.dispatcher.slots_in_use("w0") == 1


def test_waiting_demands_of_a_gone_forwarder_are_removed():
    """Guards against grants to forwarders that have ended."""
    cell = Cell(workers=1, slots=1)
    cell.submit_and_grant(0.0, forwarder="entry-2")
    cell.submit_many(5, 0.0)
    cell.dispatcher.mark_forwarder_gone("entry-1", 1, 1.0)
    assert cell.dispatcher.dump()["waiting"]["short"] == 0


@pytest.mark.parametrize(
    ("incarnation", "accepted"), [(1, False), (2, False), (3, True), (4, True)]
)
def test_only_later_incarnations_of_a_gone_forwarder_are_accepted(
    incarnation, accepted
):
    """Guards against accepting late messages of ended incarnations.

    Later incarnations of the forwarder must not be refused.
    """
    cell = Cell()
    cell.submit_and_grant(0.0, incarnation=2)
    cell.dispatcher.mark_forwarder_gone("entry-1", 2, 0.0)
    answer = cell.submit(1.0, incarnation=incarnation)
    assert isinstance(answer, Queued) == accepted


def test_a_new_incarnation_ends_the_old_one():
    """Guards against slots held for grants that a restarted forwarder lost."""
    cell = Cell(workers=1, slots=2)
    cell.submit_and_grant(0.0, incarnation=1)
    cell.submit_and_grant(1.0, incarnation=2)
    cell.poll(4.0)
    assert cell.dispatcher.slots_in_use("w0") == 1
    assert cell.submit(4.0, incarnation=1).reason == "forwarder_gone"


def test_release_counts_once_and_unknown_grants_are_ignored():
    """Guards against freeing another grant's slot by a repeated release."""
    cell = Cell(workers=1, slots=2)
    first = cell.submit_and_grant(0.0)
    cell.submit_and_grant(0.0)
    assert cell.release(first, 1.0)
    assert not cell.release(first, 1.1)
    assert not cell.release("never-granted", 1.1)
    assert cell.dispatcher.slots_in_use("w0") == 1


def test_hand_over_stops_grants_but_accepts_releases():
    """Guards against two dispatchers that grant the same slots."""
    cell = Cell(workers=1, slots=1)
    granted = cell.submit_and_grant(0.0)
    cell.submit(0.0, demand_id="waiting")
    handover = cell.dispatcher.hand_over()
    assert [grant.grant_id for grant in handover.outstanding_grants] == [
        granted.grant_id
    ]
    assert handover.queued_demand_ids == ["waiting"]
    assert cell.release(granted, 1.0)
    assert cell.poll(1.0) == []
    assert cell.submit(1.0).reason == "handed_over"
    assert cell.dispatcher.next_wakeup(1.0) is None


def test_submitting_a_granted_demand_again_repeats_its_grant():
    """Guards against two slots for one request whose grant message was lost."""
    cell = Cell()
    granted = cell.submit_and_grant(0.0, demand_id="same")
    cell.submit(0.5, demand_id="same")
    assert cell.dispatcher.next_wakeup(0.5) == 0.5
    assert cell.poll(0.5) == [granted]
    assert len(cell.dispatcher.outstanding_grants()) == 1
    cell.release(granted, 1.0)
    assert cell.submit_and_grant(2.0, demand_id="same") != granted


def test_dump_is_json():
    """Guards against a state dump that fails when it is needed."""
    cell = Cell()
    cell.submit_and_grant(0.0)
    assert json.loads(json.dumps(cell.dispatcher.dump()))["outstanding"] == 1
