"""Tests of lending spare VMs to pools whose demand peaks."""

from dataclasses import replace

import pytest

from sesameladder.fleet import LendingPlanner, PoolSummary, Vm, VmPhase
from sesameladder.fleet.tests.test_maintenance import build_vms

SPARE = frozenset({"spare"})
NO_NAMES: frozenset[str] = frozenset()


def build_summary(
    used: int = 0, waiting: int = 0, lasting: tuple[str, ...] = ()
) -> PoolSummary:
    return PoolSummary({}, (), (), 1, lasting, used, waiting)


def build_planner(vms: dict[str, Vm]) -> LendingPlanner:
    planner = LendingPlanner()
    planner.record_base_sizes(vms, SPARE)
    return planner


@pytest.mark.parametrize(
    ("waiting", "moves"), [(0, 1), (8, 1), (16, 2), (70, 3), (500, 3)]
)
def test_spare_vms_are_lent_to_the_pool_with_waiting_work(
    waiting: int, moves: int
) -> None:
    """Guards against queues that wait while spare VMs are switched off."""
    vms = build_vms(6) | build_vms(3, "spare")
    planner = build_planner(vms)
    summaries = {"chair": build_summary(192, waiting)}
    plan = planner.plan(vms, summaries, SPARE, NO_NAMES, NO_NAMES, 0.0)
    assert len(plan.moves) == moves
    assert all(pool == "chair" for _, pool in plan.moves)


def test_moving_vms_count_as_capacity() -> None:
    """Guards against moving a second batch of VMs for the same waiting work.

    VMs that are still moving are not up yet, but have to count as capacity.
    """
    vms = build_vms(6) | build_vms(3, "spare")
    planner = build_planner(vms)
    summaries = {"chair": build_summary(168, 8)}
    assert len(planner.plan(vms, summaries, SPARE, NO_NAMES, NO_NAMES, 0.0).moves) == 1
    moving = vms["m-spare-0"]
    vms["m-spare-0"] = replace(moving, pool="chair", phase=VmPhase.MOVING)
    assert planner.plan(vms, summaries, SPARE, NO_NAMES, NO_NAMES, 0.0).moves == []


def test_lent_vm_is_drained_and_returned_after_the_demand_peak() -> None:
    """Guards against lent VMs that never return, and moves that terminate work."""
    vms = build_vms(6) | build_vms(1, "spare")
    planner = build_planner(vms)
    lent_vm = replace(vms["m-spare-0"], pool="chair")
    vms["m-spare-0"] = lent_vm
    long_running_workers = tuple(
        f"i-chair-{number}" for number in range(6) if number != 1
    )
    summaries = {"chair": build_summary(112, 0, lasting=long_running_workers)}

    def plan_at(now: float, drained: frozenset[str] = NO_NAMES) -> object:
        plan = planner.plan(vms, summaries, SPARE, NO_NAMES, drained, now)
        return plan.workers_to_drain, plan.moves

    assert plan_at(0.0) == ({}, [])
    assert plan_at(2.0) == ({"chair": ("i-chair-1",)}, [])
    drained_workers = frozenset({"i-chair-1"})
    assert plan_at(2.5, drained_workers) == (
        {"chair": ("i-chair-1",)},
        [("m-chair-1", "spare")],
    )


def test_reserved_vms_are_not_moved() -> None:
    """Guards against moving a VM that maintenance has reserved."""
    vms = build_vms(6) | build_vms(2, "spare")
    planner = build_planner(vms)
    summaries = {"chair": build_summary(192, 500)}
    reserved = frozenset({"m-spare-0"})
    plan = planner.plan(vms, summaries, SPARE, reserved, NO_NAMES, 0.0)
    assert plan.moves == [("m-spare-1", "chair")]


@pytest.mark.parametrize(
    ("used", "lasting", "drain_count"),
    [(0, 0, 2), (0, 5, 1), (100, 0, 0), (60, 0, 2), (90, 0, 1)],
)
def test_idle_pool_keeps_two_thirds_of_its_vms(
    used: int, lasting: int, drain_count: int
) -> None:
    """Guards against paid VMs that idle, and against pools without a reserve.

    VMs with long-running work stay, whatever the demand.
    """
    vms = build_vms(6) | build_vms(2, "spare")
    planner = build_planner(vms)
    long_running_workers = tuple(f"i-chair-{number}" for number in range(lasting))
    idle = {"chair": build_summary(used, lasting=long_running_workers)}
    planner.plan(vms, idle, SPARE, NO_NAMES, NO_NAMES, 1.0)
    plan = planner.plan(vms, idle, SPARE, NO_NAMES, NO_NAMES, 9.0)
    assert len(plan.workers_to_drain.get("chair", ())) == drain_count


def test_down_vms_do_not_count_towards_the_minimum_share() -> None:
    """Guards against an idle pool that releases its last VMs after a crash.

    VMs that are down must not count as VMs that the pool keeps.
    """
    vms = build_vms(6) | build_vms(2, "spare")
    planner = build_planner(vms)
    for number in range(3):
        name = f"m-chair-{number}"
        vms[name] = replace(vms[name], phase=VmPhase.DOWN, worker="")
    idle = {"chair": build_summary()}
    planner.plan(vms, idle, SPARE, NO_NAMES, NO_NAMES, 1.0)
    assert (
        planner.plan(vms, idle, SPARE, NO_NAMES, NO_NAMES, 9.0).workers_to_drain == {}
    )


def test_vms_that_stay_are_spread_over_zones() -> None:
    """Guards against a pool whose remaining VMs are all in one zone.

    The loss of that zone would take down the whole pool between demand peaks.
    """
    vms = build_vms(6) | build_vms(2, "spare")
    for number, name in enumerate(sorted(vms)):
        vms[name] = replace(vms[name], zone=f"zone-{number % 3}")
    planner = build_planner(vms)
    idle = {"chair": build_summary()}
    planner.plan(vms, idle, SPARE, NO_NAMES, NO_NAMES, 1.0)
    plan = planner.plan(vms, idle, SPARE, NO_NAMES, NO_NAMES, 9.0)
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
def test_vms_are_lent_before_a_demand_peak(demand: tuple[int, ...], moves: int) -> None:
    """Guards against VMs that arrive when half of a demand peak is over.

    Demand builds up over 3 s. VMs that were moved only once work was waiting arrived
    2.7 s later, so the first jobs of each peak were late.
    """
    vms = build_vms(6) | build_vms(3, "spare")
    planner = build_planner(vms)
    plan = None
    for step, cores in enumerate(demand):
        summaries = {"chair": build_summary(cores)}
        plan = planner.plan(vms, summaries, SPARE, NO_NAMES, NO_NAMES, step * 0.3)
    assert plan is not None
    assert len(plan.moves) == moves


def test_released_vms_move_directly_to_the_next_pool() -> None:
    """Guards against two moves of a VM that the next pool needs at once.

    Returning the VM to the spare pool first would cost a second move and a pause.
    """
    vms = build_vms(6) | build_vms(2, "blend") | build_vms(1, "spare")
    planner = build_planner(vms)
    lent_vm = replace(vms["m-spare-0"], pool="chair")
    vms["m-spare-0"] = lent_vm
    long_running_workers = tuple(f"i-chair-{number}" for number in range(1, 6))
    summaries = {
        "chair": build_summary(112, lasting=long_running_workers),
        "blend": build_summary(64, 64),
    }
    drained_workers = frozenset({"i-chair-0"})
    planner.plan(vms, summaries, SPARE, NO_NAMES, NO_NAMES, 0.0)
    plan = planner.plan(vms, summaries, SPARE, NO_NAMES, drained_workers, 2.0)
    assert plan.moves == [("m-chair-0", "blend")]


@pytest.mark.parametrize(("offered", "moves"), [(0, 0), (160, 0), (200, 1), (900, 3)])
def test_spare_vms_are_lent_for_work_that_has_just_arrived(
    offered: int, moves: int
) -> None:
    """Guards against VMs that arrive only when the later steps of the jobs wait."""
    vms = build_vms(6) | build_vms(3, "spare")
    planner = build_planner(vms)
    summaries = {"chair": replace(build_summary(60, 20), offered_cores=offered)}
    plan = planner.plan(vms, summaries, SPARE, NO_NAMES, NO_NAMES, 0.0)
    assert len(plan.moves) == moves


def test_maintenance_finds_idle_vms_by_what_runs_and_waits() -> None:
    """Guards against waves that are late since VMs are kept for arriving work."""
    vms = build_vms(6)
    planner = build_planner(vms)
    summaries = {"chair": replace(build_summary(60, 20), offered_cores=900)}
    planner.plan(vms, summaries, SPARE, NO_NAMES, NO_NAMES, 0.0)
    assert planner.count_idle_vms(vms) == {"chair": 3}
