"""Two planners that compete for stop permits of one pool.

A planner may take over the role while its previous holder is paused and still
believes that it holds it. Each planner reads the plan, applies one rule of
``sesameladder.planning`` and writes the result by compare-and-swap. Failed VMs
count against the pool's availability budget.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from typing import NamedTuple

import minicheck

from sesameladder.planning import (
    Phase,
    RegionPlan,
    RuleContext,
    RuleOutcome,
    abandon_stop,
    mark_failed,
    request_stop,
    return_to_service,
)
from sesameladder.specification._plans import (
    CompactPlan,
    CompactRow,
    apply_rule,
    build_fleet,
)
from sesameladder.specification._protocol import build_protocol

VMS = ("v1", "v2")
MIN_AVAILABLE = 1
MAX_UNAVAILABLE = 1
FLEET = build_fleet(VMS, MIN_AVAILABLE, MAX_UNAVAILABLE)
INITIAL_PLAN = CompactPlan(tuple(CompactRow(name) for name in VMS))
PLANNERS = (0, 1)
MAX_FENCE = 2


@dataclass(frozen=True, slots=True)
class PermitRules:
    """The rules that a broken variant leaves out."""

    compares_revision: bool = True
    """A plan is written only if the stored plan is the one it was made from."""

    checks_fence: bool = True
    """A writer whose fence is lower than the plan's is refused."""

    counts_failures: bool = True
    """Failed VMs count as unavailable."""


class Draft(NamedTuple):
    """A plan that a planner has made but not written yet."""

    base_plan: CompactPlan
    """The plan that the planner read."""

    plan: CompactPlan
    """The plan to write."""

    action: str
    """Rule that made the plan: stop, abandon, fail or return."""

    vm: str
    """VM that the rule was applied to."""

    down_vms: frozenset[str]
    """VMs that were down when the planner made the plan."""


class PermitState(NamedTuple):
    """State of the plan, the role and the planners."""

    plan: CompactPlan = INITIAL_PLAN
    """The plan in the store."""

    fence: int = 1
    """Fence of the role's current holder."""

    held_fences: tuple[int, int] = (1, 0)
    """Fence of the role that each planner believes it holds; 0 if it holds none."""

    drafts: tuple[Draft | None, Draft | None] = (None, None)
    """The plan that each planner is about to write, or None."""

    down_vms: frozenset[str] = frozenset()
    """VMs that are down."""

    stopped_vms: frozenset[str] = frozenset()
    """VMs that are stopped, even if a later plan does not show it."""

    has_exceeded_budget: bool = False
    """Whether a stop has exceeded the availability budget."""

    has_decreased_fence: bool = False
    """Whether a plan was written over one with a higher fence."""

    faults_stopped: bool = False
    """Whether faults have stopped."""

    def with_draft(self, planner: int, draft: Draft | None) -> "PermitState":
        """Return the state with the draft of one planner replaced."""
        drafts = list(self.drafts)
        drafts[planner] = draft
        return self._replace(drafts=(drafts[0], drafts[1]))


@cache
def make_plan(
    plan: CompactPlan, action: str, vm: str, fence: int, down_vms: frozenset[str]
) -> CompactPlan | None:
    """Return the plan after one planner rule, or None if the rule refuses."""

    def rule(region: RegionPlan, context: RuleContext) -> RuleOutcome:
        if action == "stop":
            return request_stop(region, vm, "wave", context, fence)
        if action == "abandon":
            return abandon_stop(region, vm, context, fence)
        if action == "fail":
            return mark_failed(region, vm, context, fence)
        return return_to_service(region, vm, context, fence)

    return apply_rule(plan, rule, FLEET, down_vms)


class PermitProtocol:
    """The steps and faults of the protocol under given rules."""

    def __init__(self, rules: PermitRules) -> None:
        self.rules = rules

    def steps(self, state: PermitState) -> Iterator[tuple[str, PermitState]]:
        """Return the steps in which planners make and write plans, and repairs."""
        for planner in PLANNERS:
            if state.drafts[planner] is not None:
                yield f"planner {planner} writes", self._write_draft(state, planner)
            elif state.held_fences[planner]:
                yield from self._list_drafts(state, planner)
        for vm in state.down_vms:
            yield (
                f"{vm} is repaired",
                state._replace(down_vms=state.down_vms - {vm}),
            )

    def faults(self, state: PermitState) -> Iterator[tuple[str, PermitState]]:
        """Return failures of VMs and changes of the role's holder."""
        if not state.down_vms:
            for vm in VMS:
                yield f"{vm} fails", state._replace(down_vms=frozenset({vm}))
        if state.fence < MAX_FENCE:
            for planner in PLANNERS:
                if state.held_fences[planner] < state.fence:
                    yield (
                        f"planner {planner} takes the role",
                        _take_role(state, planner),
                    )

    def _list_drafts(
        self, state: PermitState, planner: int
    ) -> Iterator[tuple[str, PermitState]]:
        for row in state.plan.rows:
            for action in _list_actions(row, state.down_vms, state.faults_stopped):
                base_plan = state.plan
                fence = state.held_fences[planner]
                checked_plan = (
                    base_plan
                    if self.rules.checks_fence
                    else base_plan._replace(fence=0)
                )
                down_vms = state.down_vms if self.rules.counts_failures else frozenset()
                plan = make_plan(checked_plan, action, row.vm, fence, down_vms)
                if plan is not None:
                    draft = Draft(base_plan, plan, action, row.vm, state.down_vms)
                    label = f"planner {planner} makes a plan: {action} {row.vm}"
                    yield label, state.with_draft(planner, draft)

    def _write_draft(self, state: PermitState, planner: int) -> PermitState:
        draft = state.drafts[planner]
        assert draft is not None
        after = state.with_draft(planner, None)
        if self.rules.compares_revision and draft.base_plan != state.plan:
            return after
        stopped_vms = _update_stopped_vms(state.stopped_vms, draft)
        unavailable = stopped_vms | draft.down_vms
        exceeds_budget = draft.action == "stop" and (
            len(unavailable) > MAX_UNAVAILABLE
            or len(VMS) - len(unavailable) < MIN_AVAILABLE
        )
        return after._replace(
            plan=draft.plan,
            stopped_vms=stopped_vms,
            has_exceeded_budget=state.has_exceeded_budget or exceeds_budget,
            has_decreased_fence=state.has_decreased_fence
            or draft.plan.fence < state.plan.fence,
        )


def _update_stopped_vms(stopped_vms: frozenset[str], draft: Draft) -> frozenset[str]:
    if draft.action == "stop":
        return stopped_vms | {draft.vm}
    return stopped_vms - {draft.vm}


def _take_role(state: PermitState, planner: int) -> PermitState:
    fences = list(state.held_fences)
    fences[planner] = state.fence + 1
    return state._replace(fence=state.fence + 1, held_fences=(fences[0], fences[1]))


def _list_actions(
    row: CompactRow, down_vms: frozenset[str], faults_stopped: bool
) -> Iterator[str]:
    """Return the rules that apply to a VM; no new stop once the faults have stopped."""
    is_down = row.vm in down_vms
    if row.is_serving and not is_down and not faults_stopped:
        yield "stop"
    if is_down and row.phase in (Phase.SERVING, Phase.LEAVING):
        yield "fail"
    if row.phase == Phase.LEAVING:
        yield "abandon"
    if row.phase == Phase.FAILED and not is_down:
        yield "return"


def _all_vms_serve(state: PermitState) -> bool:
    return all(row.is_serving for row in state.plan.rows) and not state.down_vms


def build_permits(rules: PermitRules | None = None) -> minicheck.Protocol:
    """Return the protocol with all rules or a broken variant."""
    protocol = PermitProtocol(rules or PermitRules())
    return build_protocol(
        "permits",
        PermitState(),
        protocol.steps,
        protocol.faults,
        {
            "P1_stops_within_budget": lambda state: not state.has_exceeded_budget,
            "P1_fence_never_falls": lambda state: not state.has_decreased_fence,
        },
        _all_vms_serve,
    )
