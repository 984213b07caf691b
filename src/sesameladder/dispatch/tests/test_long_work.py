"""Scheduling of short and urgent work beside long work, without starvation."""

import pytest

from sesameladder.dispatch import OutcomeKind, Preempt, Throttle
from sesameladder.dispatch.tests.harness import Cell, grants_of
from sesameladder.model import Team

SHORT_MS, LONG_MS = 100.0, 5_000.0


def make_cell(**config) -> Cell:
    cell = Cell(**config)
    cell.observe_run_times("preview", SHORT_MS, times=20)
    cell.observe_run_times("blend", LONG_MS)
    return cell


def count_grants(cell: Cell, decisions, prefix: str) -> int:
    return sum(granted.demand_id.startswith(prefix) for granted in grants_of(decisions))


def submit_kind(cell: Cell, number: int, kind: str, now: float, **changes) -> None:
    for index in range(number):
        name = f"{kind}-{now}-{index}"
        cell.submit(now, demand_id=name, kind=kind, **changes)


def test_long_work_leaves_slots_for_short_work():
    """Guards against long work that occupies all slots of the cell."""
    cell = make_cell()
    submit_kind(cell, 60, "blend", 1.0)
    cell.poll(1.0)
    submit_kind(cell, 8, "preview", 1.1)
    assert count_grants(cell, cell.poll(1.1), "preview") == 8


def test_long_work_is_not_starved_by_short_work():
    """Guards against long work that never starts under an overload of short work."""
    cell = make_cell(queue_limit=10_000)
    submit_kind(cell, 4, "blend", 0.0)
    started: dict[str, float] = {}
    for index in range(100):
        now = 0.1 * index
        submit_kind(cell, 60, "preview", now)
        for granted in grants_of(cell.poll(now)):
            started[granted.grant_id] = now
        for granted in list(cell.held_grants.values()):
            is_long = granted.demand_id.startswith("blend")
            ran_ms = LONG_MS if is_long else SHORT_MS
            if now + 0.1 >= started[granted.grant_id] + ran_ms / 1000:
                cell.release(granted, now + 0.05, ran_ms=ran_ms)
    blends = {"blend-0.0-0", "blend-0.0-1", "blend-0.0-2", "blend-0.0-3"}
    assert blends <= cell.granted_demands


def test_waiting_long_work_schedules_a_wakeup_of_an_idle_cell():
    """Guards against long work that waits for an event when none will occur."""
    cell = make_cell(workers=1, slots=2, long_max_share=0.5)
    submit_kind(cell, 2, "blend", 1.0)
    assert count_grants(cell, cell.poll(1.0), "blend") == 1
    wakeup = cell.dispatcher.next_wakeup(1.0)
    assert wakeup <= 1.0 + 0.3 * LONG_MS / 1000 + 1e-6
    assert count_grants(cell, cell.poll(wakeup), "blend") == 1


def test_waiting_long_job_gets_a_slot_among_new_long_jobs_that_are_shorter():
    """Guards against starvation of a long job by a stream of shorter long jobs.

    Waiting must offset its longer expected run time.
    """
    cell = make_cell(workers=1, slots=1)
    cell.observe_run_times("medium", 1_000.0)
    submit_kind(cell, 1, "blend", 0.0)
    waited = None
    for index in range(60):
        now = 1.0 * index
        submit_kind(cell, 1, "medium", now, deadline=now + 60.0)
        for granted in grants_of(cell.poll(now)):
            if granted.demand_id.startswith("blend"):
                waited = now
            cell.release(granted, now + 0.9, ran_ms=1_000.0)
    assert waited is not None


@pytest.mark.parametrize(("checkpointable", "orders"), [(True, 4), (False, 0)])
def test_urgent_work_preempts_checkpointable_long_work(checkpointable, orders):
    """Guards against urgent work that waits for long jobs to end."""
    cell = make_cell(workers=1, slots=8, long_max_share=1.0, long_wait_factor=0.0)
    submit_kind(cell, 8, "blend", 1.0, checkpointable=checkpointable)
    cell.poll(1.0)
    submit_kind(cell, 4, "preview", 1.1, urgent=True)
    decisions = cell.poll(1.1)
    preempted = [decision for decision in decisions if isinstance(decision, Preempt)]
    assert len(preempted) == orders
    for order in preempted:
        cell.release(order.grant_id, 1.3, OutcomeKind.CHECKPOINTED, 300.0)
    assert len(grants_of(cell.poll(1.3))) == orders


def test_preempt_orders_are_not_repeated_at_once():
    """Guards against checkpointing more jobs than the waiting work needs.

    The next order follows 2 s after one that was not carried out.
    """
    cell = make_cell(workers=1, slots=8, long_max_share=1.0, long_wait_factor=0.0)
    submit_kind(cell, 8, "blend", 1.0, checkpointable=True)
    cell.poll(1.0)
    submit_kind(cell, 1, "preview", 1.1, urgent=True)
    assert len(cell.poll(1.1)) == 1
    assert cell.poll(1.2) == []
    assert len(cell.poll(3.2)) == 1


def test_preempted_job_resumes_as_long_work_with_its_progress():
    """Guards against scheduling a resumed job as new short work."""
    cell = make_cell(workers=1, slots=1)
    granted = cell.submit_and_grant(
        1.0, demand_id="job", kind="blend", checkpointable=True
    )
    cell.release(granted, 2.0, OutcomeKind.CHECKPOINTED, 4_000.0)
    cell.submit(2.0, demand_id="job", kind="blend", resumed=True)
    waiting = cell.dispatcher.cell.queue.by_id["job"]
    assert waiting.work_class == "long"
    assert waiting.expected_ms == pytest.approx(1_000.0, rel=0.2)


def test_straggler_of_a_short_kind_counts_as_long():
    """Guards against a long job that counts as short because its kind does."""
    cell = make_cell(workers=1, slots=2)
    granted = cell.submit_and_grant(1.0, kind="preview", checkpointable=True)
    cell.submit_and_grant(1.0, kind="preview")
    assert cell.dispatcher.next_wakeup(1.0) == pytest.approx(1.8)
    cell.poll(1.9)
    assert cell.dispatcher.dump()["long_held"] == 2
    assert cell.dispatcher.cell.grants.by_id[granted.grant_id].is_long


def test_waiting_jobs_of_an_unknown_kind_follow_its_first_straggler():
    """Guards against a burst of an unknown long kind that counts as short work."""
    cell = make_cell(workers=1, slots=4)
    submit_kind(cell, 6, "settlement", 1.0)
    cell.poll(1.0)
    submit_kind(cell, 1, "preview", 1.9)
    cell.poll(1.9)
    cell.release(next(iter(cell.held_grants)), 2.0, OutcomeKind.CANCELLED)
    assert count_grants(cell, cell.poll(2.0), "preview") == 1


def test_other_stragglers_are_throttled_while_short_work_waits():
    """Guards against stragglers that run at full speed while short work waits."""
    cell = make_cell(workers=1, slots=2, long_max_share=1.0)
    submit_kind(cell, 2, "blend", 1.0)
    cell.poll(1.0)
    submit_kind(cell, 1, "preview", 1.1)
    cell.poll(1.1)
    throttled = [
        decision for decision in cell.poll(2.2) if isinstance(decision, Throttle)
    ]
    assert len(throttled) == cell.dispatcher.dump()["long_held"] > 0
    cell.dispatcher.cancel("preview-1.1-0", 2.3)
    lifted = [decision.share for decision in cell.poll(2.3)]
    assert lifted == [1.0] * len(throttled)


def test_learned_times_outweigh_declared_times():
    """Guards against ordering by declared times, which are wrong by ten times."""
    cell = make_cell(workers=1, slots=1)
    busy = cell.submit_and_grant(1.0)
    cell.submit(1.0, demand_id="blend", kind="blend", expected_ms=LONG_MS / 10)
    cell.submit(1.0, demand_id="preview", kind="preview", expected_ms=SHORT_MS * 10)
    cell.release(busy, 1.1)
    assert [granted.demand_id for granted in grants_of(cell.poll(1.1))] == ["preview"]


def test_teams_without_long_work_are_not_delayed_by_another_teams_long_work():
    """Guards against long work of one team that takes the slots of another team."""
    cell = make_cell(teams=[Team("a"), Team("b")])
    submit_kind(cell, 20, "blend", 1.0, team="a")
    cell.poll(1.0)
    submit_kind(cell, 60, "preview", 1.1, team="b")
    cell.poll(1.1)
    assert cell.dispatcher.dump()["held_by_team"]["b"] >= 24


def test_waiting_resumed_job_is_not_refused():
    """Guards against answering "not run" for a job that has run in part."""
    cell = make_cell(workers=1, slots=1)
    cell.submit_and_grant(0.0)
    cell.submit(0.0, demand_id="job", kind="blend", resumed=True, deadline=5.0)
    assert cell.poll(60.0) == []
    assert "job" in cell.dispatcher.cell.queue.by_id


@pytest.mark.parametrize(("name", "total_ms"), [("job", 5_000.0), ("other", None)])
def test_run_time_of_a_resumed_job_is_learned_only_as_a_whole(name, total_ms):
    """Guards against observing only the last part of a resumed job as its run time."""
    cell = make_cell(long_wait_factor=0.0)
    granted = cell.submit_and_grant(
        1.0, demand_id="job", kind="rare", checkpointable=True
    )
    cell.release(granted, 5.0, OutcomeKind.CHECKPOINTED, 4_000.0)
    cell.release(
        cell.submit_and_grant(5.0, demand_id=name, kind="rare", resumed=True),
        6.0,
        ran_ms=1e3,
    )
    entry = cell.dispatcher.cell.estimates.kinds.get("rare")
    assert (entry.window.median() if entry else None) == total_ms


@pytest.mark.parametrize("run_ms", [1.0, 100.0])
def test_short_work_preempts_when_long_work_holds_every_slot(run_ms):
    """Guards against waiting for short jobs to end when none is running."""
    cell = Cell(workers=1, slots=8, long_max_share=1.0, long_wait_factor=0.0)
    cell.observe_run_times("preview", run_ms, times=20)
    cell.observe_run_times("blend", 50 * run_ms)
    submit_kind(cell, 8, "blend", 1.0, checkpointable=True)
    cell.poll(1.0)
    submit_kind(cell, 1, "preview", 1.5)
    assert any(isinstance(decision, Preempt) for decision in cell.poll(1.5))
