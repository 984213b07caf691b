"""Lending of spare VMs under demand that takes turns."""

from dataclasses import replace

import pytest

from sesameladder.fleet import PoolSummary, ScalingPlanner, Vm, VmPhase
from sesameladder.fleet.tests.test_upkeep import build_vms

SPARE = frozenset({"spare"})
NOBODY: frozenset[str] = frozenset()


def build_summary(
    used: int = 0, waiting: int = 0, lasting: tuple[str, ...] = ()
) -> PoolSummary:
    return PoolSummary({}, (), (), 1, lasting, used, waiting)


def build_planner(vms: dict[str, Vm]) -> ScalingPlanner:
    planner = ScalingPlanner()
    planner.record_base_sizes(vms, SPARE)
    return planner


@pytest.mark.parametrize(
    ("waiting", "moves"), [(0, 1), (8, 1), (16, 2), (70, 3), (500, 3)]
)
def test_spare_vms_follow_the_waiting_work(waiting: int, moves: int) -> None:
    """Guards against queues that wait while paid-for VMs are switched off."""
    vms = build_vms(6) | build_vms(3, "spare")
    planner = build_planner(vms)
    summaries = {"chair": build_summary(192, waiting)}
    plan = planner.plan(vms, summaries, SPARE, NOBODY, NOBODY, 0.0)
    assert len(plan.moves) == moves
    assert all(pool == "chair" for _, pool in plan.moves)


def test_vms_on_their_way_are_counted() -> None:
    """Guards against a second batch of moves for the same waiting work."""
    vms = build_vms(6) | build_vms(3, "spare")
    planner = build_planner(vms)
    summaries = {"chair": build_summary(168, 8)}
    assert len(planner.plan(vms, summaries, SPARE, NOBODY, NOBODY, 0.0).moves) == 1
    moving = vms["m-spare-0"]
    vms["m-spare-0"] = replace(moving, pool="chair", phase=VmPhase.MOVING)
    assert planner.plan(vms, summaries, SPARE, NOBODY, NOBODY, 0.0).moves == []


def test_lent_vm_is_emptied_and_returned_after_the_turn() -> None:
    """Guards against lent VMs that stay, and against moves that end work."""
    vms = build_vms(6) | build_vms(1, "spare")
    planner = build_planner(vms)
    lent = replace(vms["m-spare-0"], pool="chair")
    vms["m-spare-0"] = lent
    busy = tuple(f"i-chair-{number}" for number in range(6) if number != 1)
    summaries = {"chair": build_summary(112, 0, lasting=busy)}

    def plan_at(now: float, drained: frozenset[str] = NOBODY) -> object:
        plan = planner.plan(vms, summaries, SPARE, NOBODY, drained, now)
        return plan.workers_to_drain, plan.moves

    assert plan_at(0.0) == ({}, [])
    assert plan_at(2.0) == ({"chair": ("i-chair-1",)}, [])
    emptied = frozenset({"i-chair-1"})
    assert plan_at(2.5, emptied) == (
        {"chair": ("i-chair-1",)},
        [("m-chair-1", "spare")],
    )


def test_reserved_vms_stay() -> None:
    """Guards against moves of VMs in upkeep."""
    vms = build_vms(6) | build_vms(2, "spare")
    planner = build_planner(vms)
    summaries = {"chair": build_summary(192, 500)}
    reserved = frozenset({"m-spare-0"})
    plan = planner.plan(vms, summaries, SPARE, reserved, NOBODY, 0.0)
    assert plan.moves == [("m-spare-1", "chair")]


@pytest.mark.parametrize(
    ("used", "lasting", "left"),
    [(0, 0, 2), (0, 5, 1), (100, 0, 0), (60, 0, 2), (90, 0, 1)],
)
def test_idle_pool_keeps_two_thirds_of_its_vms(
    used: int, lasting: int, left: int
) -> None:
    """Guards against paid-for VMs that idle, and against pools without a reserve.

    What runs lasting work stays, whatever the demand.
    """
    vms = build_vms(6) | build_vms(2, "spare")
    planner = build_planner(vms)
    busy = tuple(f"i-chair-{number}" for number in range(lasting))
    idle = {"chair": build_summary(used, lasting=busy)}
    planner.plan(vms, idle, SPARE, NOBODY, NOBODY, 1.0)
    plan = planner.plan(vms, idle, SPARE, NOBODY, NOBODY, 9.0)
    assert len(plan.workers_to_drain.get("chair", ())) == left


def test_vms_that_are_down_are_not_counted_as_kept() -> None:
    """Guards against an idle pool that gives up its last VMs after a crash."""
    vms = build_vms(6) | build_vms(2, "spare")
    planner = build_planner(vms)
    for number in range(3):
        name = f"m-chair-{number}"
        vms[name] = replace(vms[name], phase=VmPhase.DOWN, worker="")
    idle = {"chair": build_summary()}
    planner.plan(vms, idle, SPARE, NOBODY, NOBODY, 1.0)
    assert planner.plan(vms, idle, SPARE, NOBODY, NOBODY, 9.0).workers_to_drain == {}


def test_vms_that_stay_are_spread_over_zones() -> None:
    """Guards against a pool that is lost with one zone between its turns."""
    vms = build_vms(6) | build_vms(2, "spare")
    for number, name in enumerate(sorted(vms)):
        vms[name] = replace(vms[name], zone=f"zone-{number % 3}")
    planner = build_planner(vms)
    idle = {"chair": build_summary()}
    planner.plan(vms, idle, SPARE, NOBODY, NOBODY, 1.0)
    plan = planner.plan(vms, idle, SPARE, NOBODY, NOBODY, 9.0)
    leaving = set(plan.workers_to_drain["chair"])
    own = [vm for vm in vms.values() if vm.pool == "chair"]
    assert {vm.zone for vm in own if vm.worker not in leaving} == {
        "zone-0",
        "zone-1",
        "zone-2",
    }


@pytest.mark.parametrize(
    ("demand", "moves"),
    [
        ((64, 64, 64, 64), 0),
        ((0, 48, 96, 144), 3),
        ((112, 112, 112, 112), 0),
        ((140, 128, 96, 64), 0),
    ],
)
def test_vms_are_sent_ahead_of_a_turn(demand: tuple[int, ...], moves: int) -> None:
    """Guards against VMs that arrive when half of a turn is over.

    Demand builds up over three seconds; VMs that were sent once work waited came
    2.7 s later, and the first jobs of each turn were late.
    """
    vms = build_vms(6) | build_vms(3, "spare")
    planner = build_planner(vms)
    plan = None
    for step, cores in enumerate(demand):
        summaries = {"chair": build_summary(cores)}
        plan = planner.plan(vms, summaries, SPARE, NOBODY, NOBODY, step * 0.3)
    assert plan is not None
    assert len(plan.moves) == moves


def test_vms_go_straight_to_the_next_pool() -> None:
    """Guards against two moves and a pause between turns that follow each other."""
    vms = build_vms(6) | build_vms(2, "blend") | build_vms(1, "spare")
    planner = build_planner(vms)
    lent = replace(vms["m-spare-0"], pool="chair")
    vms["m-spare-0"] = lent
    busy = tuple(f"i-chair-{number}" for number in range(1, 6))
    summaries = {
        "chair": build_summary(112, lasting=busy),
        "blend": build_summary(64, 64),
    }
    emptied = frozenset({"i-chair-0"})
    planner.plan(vms, summaries, SPARE, NOBODY, NOBODY, 0.0)
    plan = planner.plan(vms, summaries, SPARE, NOBODY, emptied, 2.0)
    assert plan.moves == [("m-chair-0", "blend")]
