"""Fair shares of teams, share caps, admission and bursts of cancellations."""

from collections import Counter

import pytest

from sesameladder.dispatch import Queued, RefusalReason, Refused
from sesameladder.dispatch.tests.harness import Cell, grants_of
from sesameladder.model import Team


def serve_rounds(
    cell: Cell, demands_per_round: dict[str, int], rounds: int = 40
) -> Counter[str]:
    """Submit each team's demands every 0.1 s; return the number of grants by team."""
    served: Counter[str] = Counter()
    names = {}
    for index in range(rounds):
        now = index * 0.1
        for team, size in demands_per_round.items():
            for number in range(size):
                name = f"{team}-{index}-{number}"
                names[name] = team
                cell.submit(now, demand_id=name, team=team)
        for granted in grants_of(cell.poll(now)):
            served[names[granted.demand_id]] += 1
        for granted in list(cell.held_grants.values()):
            cell.release(granted, now + 0.09)
    return served


@pytest.mark.parametrize(
    ("weights", "demands_per_round", "shares"),
    [
        ((1, 1), (60, 10), (38 / 48, 10 / 48)),
        ((1, 1), (40, 40), (0.5, 0.5)),
        ((3, 1), (60, 60), (0.75, 0.25)),
        ((1, 5), (60, 60), (1 / 6, 5 / 6)),
        ((1, 1), (48, 0), (1.0, 0.0)),
    ],
)
def test_slots_are_shared_by_weight_when_teams_wait(weights, demands_per_round, shares):
    """Guards against one team's burst of demands that displaces another team."""
    teams = [Team("a", weights[0]), Team("b", weights[1])]
    cell = Cell(teams=teams, queue_limit=10_000)
    served = serve_rounds(cell, {"a": demands_per_round[0], "b": demands_per_round[1]})
    total = sum(served.values())
    assert served["a"] / total == pytest.approx(shares[0], abs=0.05)
    assert served["b"] / total == pytest.approx(shares[1], abs=0.05)


def test_team_gets_no_credit_for_idle_time():
    """Guards against a team that gains claims while idle and then takes every slot."""
    cell = Cell(teams=[Team("a"), Team("b")], queue_limit=10_000)
    serve_rounds(cell, {"a": 60})
    served = serve_rounds(cell, {"a": 60, "b": 60}, rounds=4)
    assert served["b"] <= 0.6 * sum(served.values())


@pytest.mark.parametrize(("other_waits", "held"), [(True, 12), (False, 48)])
def test_share_cap_applies_only_while_others_wait(other_waits, held):
    """Guards against a share cap that leaves slots idle, and one without effect."""
    cell = Cell(teams=[Team("a", weight=100, share_cap=0.25), Team("b")])
    cell.submit_many(60, 0.0, team="a")
    if other_waits:
        cell.submit_many(60, 0.0, team="b")
    cell.poll(0.0)
    assert cell.dispatcher.dump()["held_by_team"]["a"] == held


def test_queue_is_bounded_and_refuses_with_a_retry_time():
    """Guards against a queue that grows without limit."""
    cell = Cell(queue_limit=10)
    answers = [cell.submit(0.0) for _ in range(12)]
    refused = [answer for answer in answers if isinstance(answer, Refused)]
    assert [answer.reason for answer in refused] == [RefusalReason.QUEUE_FULL] * 2
    assert all(answer.retry_after_s >= 1.0 for answer in refused)


@pytest.mark.parametrize(
    ("weights", "submitted", "waiting"),
    [
        ((1, 1), (100, 3), {"a": 7, "b": 3}),
        ((1, 1), (100, 100), {"a": 5, "b": 5}),
        ((4, 1), (100, 100), {"a": 8, "b": 2}),
        ((1, 1), (4, 100), {"a": 4, "b": 6}),
    ],
)
def test_full_queue_is_shared_by_weight(weights, submitted, waiting):
    """Guards against one team's burst that fills the queue and excludes other teams."""
    teams = [Team("a", weights[0]), Team("b", weights[1])]
    cell = Cell(workers=1, slots=1, teams=teams, queue_limit=10)
    cell.submit_and_grant(0.0, team="a")
    cell.submit_many(submitted[0], 0.0, team="a")
    cell.submit_many(submitted[1], 0.0, team="b")
    queue = cell.dispatcher.cell.queue
    assert {team: rows.count for team, rows in queue.by_team.items()} == waiting
    displaced = [answer for answer in cell.poll(0.0) if isinstance(answer, Refused)]
    assert all(answer.reason == RefusalReason.QUEUE_FULL for answer in displaced)
    assert len(displaced) == 10 - waiting["a"] if submitted[0] > 10 else not displaced


@pytest.mark.parametrize(
    ("newcomer", "displaced"),
    [
        ({"kind": "preview"}, "blend"),
        ({"kind": "blend"}, "newcomer"),
        ({"kind": "blend", "urgent": True}, "blend"),
        ({"kind": "huge"}, "newcomer"),
    ],
)
def test_full_queue_displaces_the_costliest_demand(newcomer, displaced):
    """Guards against refusing urgent or short work while longer work stays queued."""
    cell = Cell(workers=1, slots=1, queue_limit=3)
    cell.observe_run_times("preview", 100.0)
    cell.observe_run_times("blend", 500.0)
    cell.observe_run_times("huge", 700.0)
    cell.submit_and_grant(0.0)
    for name, kind in (("p1", "preview"), ("blend", "blend"), ("p2", "preview")):
        cell.submit(0.0, demand_id=name, kind=kind)
    answer = cell.submit(0.0, demand_id="newcomer", **newcomer)
    refused = [answer, *cell.poll(0.0)]
    assert [answer.demand_id for answer in refused if isinstance(answer, Refused)] == [
        displaced
    ]


@pytest.mark.parametrize(
    ("wait_limit_ms", "deadline", "reason"),
    [
        (10_000.0, 1e9, None),
        (400.0, 1e9, RefusalReason.WAIT_TOO_LONG),
        (10_000.0, 0.4, RefusalReason.DEADLINE),
    ],
)
def test_early_refusal_when_the_estimated_wait_is_too_long(
    wait_limit_ms, deadline, reason
):
    """Guards against accepting a request that can't start in time."""
    cell = Cell(wait_limit_ms=wait_limit_ms)
    cell.observe_run_times("preview", 100.0)
    cell.submit_many(48, 0.0)
    cell.poll(0.0)
    cell.submit_many(240, 0.0)
    answer = cell.submit(0.0, deadline=deadline)
    assert getattr(answer, "reason", None) == reason


@pytest.mark.parametrize(
    ("deadline", "at", "reason"),
    [(1e9, 10.0, RefusalReason.WAIT_TOO_LONG), (2.0, 2.0, RefusalReason.DEADLINE)],
)
def test_waiting_demand_is_refused_when_it_expires(deadline, at, reason):
    """Guards against a demand that never gets a decision."""
    cell = Cell(workers=1, slots=1)
    cell.submit_and_grant(0.0)
    cell.submit(0.0, deadline=deadline)
    assert cell.poll(at - 0.1) == []
    (refused,) = cell.poll(at)
    assert refused.reason == reason


@pytest.mark.parametrize("cancelled", [1, 250, 499, 500])
def test_cancelled_demands_are_removed_from_the_queue(cancelled):
    """Guards against grants to cancelled demands and heaps that never shrink."""
    cell = Cell(workers=1, slots=1, wait_limit_ms=1e6)
    granted = cell.submit_and_grant(0.0)
    for index in range(500):
        cell.submit(0.0, demand_id=f"demand-{index}")
    for index in range(cancelled):
        assert cell.dispatcher.cancel(f"demand-{index}", 0.1)
        assert not cell.dispatcher.cancel(f"demand-{index}", 0.1)
    cell.release(granted, 0.2)
    survivors = [granted.demand_id for granted in grants_of(cell.poll(0.2))]
    assert survivors == ([f"demand-{cancelled}"] if cancelled < 500 else [])
    assert len(cell.dispatcher.cell.queue.expiries) <= 3 * (500 - cancelled) + 64


def test_submitting_a_waiting_demand_again_changes_nothing():
    """Guards against two grants for one demand when a forwarder repeats its message."""
    cell = Cell()
    assert isinstance(cell.submit(0.0, demand_id="same"), Queued)
    assert isinstance(cell.submit(0.0, demand_id="same"), Queued)
    assert len(grants_of(cell.poll(0.0))) == 1


@pytest.mark.parametrize("declared_ms", [None, 100_000.0])
def test_straggler_or_wrong_declaration_does_not_delay_its_team(declared_ms):
    """Guards against charging one long job to its team's share of short work."""
    cell = Cell(workers=1, slots=2, teams=[Team("a"), Team("b")], queue_limit=10_000)
    cell.observe_run_times("preview", 100.0, times=10)
    cell.submit(0.0, team="a", kind="unknown", expected_ms=declared_ms)
    (straggler,) = grants_of(cell.poll(0.0))
    cell.release(straggler, 9.0, ran_ms=9_000.0)
    served: Counter[str] = Counter()
    for index in range(60):
        now = 9.0 + index * 0.1
        for team in ("a", "b"):
            cell.submit_many(2, now, team=team, demand_id=f"{team}{index}")
        for granted in grants_of(cell.poll(now)):
            served[granted.demand_id[0]] += 1
            cell.release(granted, now + 0.1)
    assert served["a"] >= 0.4 * sum(served.values())


@pytest.mark.parametrize(
    ("teams", "first"),
    [
        ([Team("fitting", urgent_allowed=True)], "marked"),
        ([Team("fitting")], "plain"),
        ([Team("other", urgent_allowed=True)], "plain"),
    ],
)
def test_only_allowed_teams_mark_work_as_urgent(teams, first):
    """Guards against a team that overtakes others by marking all its work as urgent."""
    cell = Cell(workers=1, slots=1, teams=teams)
    running = cell.submit_and_grant(0.0)
    cell.submit(0.0, demand_id="plain")
    cell.submit(0.0, demand_id="marked", urgent=True)
    cell.release(running, 0.1)
    assert [granted.demand_id for granted in grants_of(cell.poll(0.1))] == [first]
