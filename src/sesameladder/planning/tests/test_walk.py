"""A random walk over the rules keeps the plan's promises."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameladder.model import AvailabilityBudget, FleetState, Pool, VirtualMachine
from sesameladder.planning import (
    DrainReport,
    Phase,
    PlanRefusal,
    RegionPlan,
    RuleContext,
    abandon_stop,
    add_vm,
    begin_check,
    begin_reboot,
    join_pool,
    mark_drained,
    mark_failed,
    release_vm,
    request_move,
    request_stop,
    return_to_service,
    set_aside,
)

VMS = [f"vm{index}" for index in range(6)]
STATE = FleetState(
    number=1,
    pools={name: Pool(name, name) for name in ("a", "b")},
    vms={
        name: VirtualMachine(name, "ab"[index % 2], "z", f"r{index}", "127.0.0.1:1")
        for index, name in enumerate(VMS)
    },
    budgets={
        "a": AvailabilityBudget("a", 1, 2),
        "b": AvailabilityBudget("b", 2, 1),
    },
)
OWN_ACTS = {
    "stop": lambda plan, vm, now, fence: request_stop(plan, vm, "wave:w", now, fence),
    "move": lambda plan, vm, now, fence: request_move(
        plan, vm, "b" if plan.rows[vm].pool == "a" else "a", now, fence
    ),
    "release": release_vm,
    "reboot": begin_reboot,
}
OTHER_ACTS = {
    "drained": lambda plan, vm, now, fence: mark_drained(
        plan, vm, DrainReport(plan.version, 0), now, fence
    ),
    "check": begin_check,
    "return": return_to_service,
    "abandon": abandon_stop,
    "join_a": lambda plan, vm, now, fence: join_pool(plan, vm, "a", now, fence),
    "join_b": lambda plan, vm, now, fence: join_pool(plan, vm, "b", now, fence),
    "failed": mark_failed,
    "aside": set_aside,
}
ACTS = {**OWN_ACTS, **OTHER_ACTS}
STEP = st.tuples(
    st.sampled_from(sorted(ACTS)),
    st.sampled_from(VMS),
    st.frozensets(st.sampled_from(VMS), max_size=2),
    st.integers(min_value=1, max_value=4),
)


def count_available(plan, pool, down):
    return sum(
        row.pool == pool and row.phase is Phase.SERVING and row.vm not in down
        for row in plan.rows.values()
    )


def check_step(old, new, act, vm, down):
    assert new.version == old.version + 1
    assert new.fence >= old.fence
    for name in set(VMS) - {vm}:
        assert new.rows[name] == old.rows[name]
    before, after = old.rows[vm], new.rows[vm]
    if before.pool != after.pool:
        # A VM changes pools only through the phase in which no pool has it.
        assert None in (before.pool, after.pool)
        assert before.phase in (Phase.DRAINED, Phase.RELEASED)
    if act in OWN_ACTS and before.pool is not None:
        budget = STATE.budgets[before.pool]
        assert count_available(new, before.pool, down) >= budget.min_available


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_walk_keeps_the_promises(steps):
    """Guards against rules that break P1, P2, the fence or the version."""
    plan = RegionPlan.empty("north")
    for name in VMS:
        pool = STATE.vms[name].pool
        plan = add_vm(plan, name, pool, RuleContext(STATE, frozenset(), 1.0), 1)
    for now, (act, vm, down, fence) in enumerate(steps):
        context = RuleContext(STATE, down, float(now))
        outcome = ACTS[act](plan, vm, context, fence)
        if isinstance(outcome, PlanRefusal):
            continue
        assert fence >= plan.fence
        check_step(plan, outcome, act, vm, down)
        plan = outcome
        assert RegionPlan.from_bytes(plan.to_bytes()) == plan
