"""Rules of the plan: budgets, one pool per VM and outdated writers.

The first two are the guarantees P1 and P2.
"""

import pytest

from sesameladder.model import AvailabilityBudget, FleetState, Pool, VirtualMachine
from sesameladder.planning import (
    DrainReport,
    Phase,
    PlanMalformed,
    PlanRefusal,
    RefusalReason,
    RegionPlan,
    RuleContext,
    add_vm,
    mark_drained,
    release_vm,
    request_move,
    request_stop,
)


def make_state(number=1, vms=3, min_available=2, max_unavailable=1):
    names = [f"vm{index}" for index in range(vms)]
    return FleetState(
        number=number,
        pools={name: Pool(name, name) for name in ("a", "b")},
        vms={
            name: VirtualMachine(name, "a", "z1", "r1", "127.0.0.1:1") for name in names
        },
        budgets={"a": AvailabilityBudget("a", min_available, max_unavailable)},
    )


def make_plan(state, fence=5):
    plan = RegionPlan.empty("north")
    for name, vm in state.vms.items():
        plan = add_vm(plan, name, vm.pool, RuleContext(state, frozenset(), 10.0), fence)
    return plan


@pytest.mark.parametrize(
    ("down", "fence", "number", "reason"),
    [
        ((), 5, 1, None),
        (("vm1",), 5, 1, RefusalReason.BUDGET),
        (("vm0",), 5, 1, None),
        ((), 4, 1, RefusalReason.STALE_FENCE),
        ((), 5, 0, RefusalReason.OLD_CONFIGURATION),
    ],
)
def test_stop_is_refused(down, fence, number, reason):
    """Guards against stops that break a budget or come from an outdated planner."""
    plan = make_plan(make_state())
    state = make_state(number=number)
    outcome = request_stop(
        plan, "vm0", "wave:w", RuleContext(state, frozenset(down), 11.0), fence
    )
    found = outcome.reason if isinstance(outcome, PlanRefusal) else None
    assert found == reason


def test_plan_survives_encoding():
    """Guards against fields that are lost when a plan is encoded and decoded."""
    state = make_state()
    context = RuleContext(state, frozenset(), 11.0)
    plan = request_move(make_plan(state), "vm0", "b", context, 7)
    assert RegionPlan.from_bytes(plan.to_bytes()) == plan


@pytest.mark.parametrize("cut", [0, 1, 20, -1])
def test_malformed_plan_is_refused(cut):
    """Guards against unexpected exceptions when a stored plan is truncated."""
    data = make_plan(make_state()).to_bytes()
    with pytest.raises(PlanMalformed):
        RegionPlan.from_bytes(data[:cut])


@pytest.mark.parametrize(("version", "outstanding"), [(0, 0), (99, 1)])
def test_release_needs_the_dispatchers_report(version, outstanding):
    """Guards against a VM that joins a pool while another pool still uses it."""
    state = make_state()
    context = RuleContext(state, frozenset(), 11.0)
    plan = request_move(make_plan(state), "vm0", "b", context, 7)
    report = DrainReport(version, outstanding)
    assert isinstance(mark_drained(plan, "vm0", report, context, 7), PlanRefusal)
    assert isinstance(release_vm(plan, "vm0", context, 7), PlanRefusal)
    assert plan.rows["vm0"].phase is Phase.LEAVING
