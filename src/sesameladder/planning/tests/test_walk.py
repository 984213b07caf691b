"""Random sequences of rules keep the invariants of the plan."""

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
BUDGETED_RULES = {
    "stop": lambda plan, vm, context, fence: request_stop(
        plan, vm, "wave:w", context, fence
    ),
    "move": lambda plan, vm, context, fence: request_move(
        plan, vm, "b" if plan.rows[vm].pool == "a" else "a", context, fence
    ),
    "release": release_vm,
    "reboot": begin_reboot,
}
OTHER_RULES = {
    "drained": lambda plan, vm, context, fence: mark_drained(
        plan, vm, DrainReport(plan.version, 0), context, fence
    ),
    "check": begin_check,
    "return": return_to_service,
    "abandon": abandon_stop,
    "join_a": lambda plan, vm, context, fence: join_pool(plan, vm, "a", context, fence),
    "join_b": lambda plan, vm, context, fence: join_pool(plan, vm, "b", context, fence),
    "failed": mark_failed,
    "aside": set_aside,
}
RULES = {**BUDGETED_RULES, **OTHER_RULES}
STEP = st.tuples(
    st.sampled_from(sorted(RULES)),
    st.sampled_from(VMS),
    st.frozensets(st.sampled_from(VMS), max_size=2),
    st.integers(min_value=1, max_value=4),
)


def count_available(plan, pool, down):
    return sum(
        row.pool == pool and row.phase is Phase.SERVING and row.vm not in down
        for row in plan.rows.values()
    )


def check_transition(old, new, rule_name, vm, down):
    assert new.version == old.version + 1
    assert new.fence >= old.fence
    for name in set(VMS) - {vm}:
        assert new.rows[name] == old.rows[name]
    before, after = old.rows[vm], new.rows[vm]
    if before.pool != after.pool:
        # A VM changes pools only through the released phase, in which it has none.
        assert None in (before.pool, after.pool)
        assert before.phase in (Phase.DRAINED, Phase.RELEASED)
    if rule_name in BUDGETED_RULES and before.pool is not None:
        budget = STATE.budgets[before.pool]
        assert count_available(new, before.pool, down) >= budget.min_available


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_random_rules_keep_the_invariants(steps):
    """Guards against rules that break an invariant of the plan.

    These are the budgets (guarantee P1), one pool per VM (guarantee P2), fences that
    never decrease and versions that increase by one.
    """
    plan = RegionPlan.empty("north")
    for name in VMS:
        pool = STATE.vms[name].pool
        plan = add_vm(plan, name, pool, RuleContext(STATE, frozenset(), 1.0), 1)
    for now, (rule_name, vm, down, fence) in enumerate(steps):
        context = RuleContext(STATE, down, float(now))
        outcome = RULES[rule_name](plan, vm, context, fence)
        if isinstance(outcome, PlanRefusal):
            continue
        assert fence >= plan.fence
        check_transition(plan, outcome, rule_name, vm, down)
        plan = outcome
        assert RegionPlan.from_bytes(plan.to_bytes()) == plan
