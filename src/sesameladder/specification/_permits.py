"""Two planners that race for stop permits of one pool.

The role changes hands while its holder is paused. Each planner reads the
plan, lets a rule of the product make the next one, and writes it by
compare-and-swap. Failures count against the budget.
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
    Plan,
    Row,
    apply_rule,
    build_fleet,
)
from sesameladder.specification._protocol import build_protocol

VMS = ("v1", "v2")
FLOOR = 1
LIMIT = 1
FLEET = build_fleet(VMS, FLOOR, LIMIT)
START = Plan(tuple(Row(name) for name in VMS))
PLANNERS = (0, 1)
LAST_FENCE = 2


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules that a broken variant leaves out."""

    compares_revision: bool = True
    """A plan is written only over the plan that it was made from."""

    checks_fence: bool = True
    """A writer whose fence is lower than the plan's is refused."""

    counts_failures: bool = True
    """Failed VMs count as unavailable."""


class Draft(NamedTuple):
    """A plan that a planner has made and not written yet."""

    base: Plan
    """The plan that it was made from."""

    plan: Plan
    """The plan to write."""

    action: str
    """Rule that made the plan: stop, abandon, fail or return."""

    vm: str
    """VM that the rule was applied to."""

    down: frozenset[str]
    """Failures that the planner knew of."""


class Permits(NamedTuple):
    """A state of the plan, the role and the planners."""

    plan: Plan = START
    """The plan in the store."""

    fence: int = 1
    """Fence of the role's latest holder."""

    held: tuple[int, int] = (1, 0)
    """Fence that each planner believes to hold; 0 without the role."""

    drafts: tuple[Draft | None, Draft | None] = (None, None)
    """What each planner is about to write."""

    down: frozenset[str] = frozenset()
    """VMs that are down."""

    stopped: frozenset[str] = frozenset()
    """VMs that stop in fact, whatever a later plan says of them."""

    over_budget: bool = False
    """Whether a VM was stopped beyond the budget."""

    fence_fell: bool = False
    """Whether a writer followed one with a higher fence."""

    calm: bool = False
    """Whether faults have stopped."""

    def draft(self, planner: int, draft: Draft | None) -> "Permits":
        """Return the state with another draft of a planner."""
        drafts = list(self.drafts)
        drafts[planner] = draft
        return self._replace(drafts=(drafts[0], drafts[1]))


@cache
def make_plan(
    plan: Plan, action: str, vm: str, fence: int, down: frozenset[str]
) -> Plan | None:
    """Return the plan of one rule of the product, or None if it refuses."""

    def rule(region: RegionPlan, situation: RuleContext) -> RuleOutcome:
        if action == "stop":
            return request_stop(region, vm, "wave", situation, fence)
        if action == "abandon":
            return abandon_stop(region, vm, situation, fence)
        if action == "fail":
            return mark_failed(region, vm, situation, fence)
        return return_to_service(region, vm, situation, fence)

    return apply_rule(plan, rule, FLEET, down)


class Planning:
    """The steps of the protocol under given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def steps(self, permits: Permits) -> Iterator[tuple[str, Permits]]:
        """Return what planners make and write."""
        for planner in PLANNERS:
            if permits.drafts[planner] is not None:
                yield f"planner {planner} writes", self._write(permits, planner)
            elif permits.held[planner]:
                yield from self._make_drafts(permits, planner)
        for vm in permits.down:
            yield f"{vm} is repaired", permits._replace(down=permits.down - {vm})

    def faults(self, permits: Permits) -> Iterator[tuple[str, Permits]]:
        """Return failures, and role changes behind a paused holder's back."""
        if not permits.down:
            for vm in VMS:
                yield f"{vm} fails", permits._replace(down=frozenset({vm}))
        if permits.fence < LAST_FENCE:
            for planner in PLANNERS:
                if permits.held[planner] < permits.fence:
                    yield f"planner {planner} takes the role", _take(permits, planner)

    def _make_drafts(
        self, permits: Permits, planner: int
    ) -> Iterator[tuple[str, Permits]]:
        for row in permits.plan.rows:
            for action in _actions(row, permits.down, permits.calm):
                base = permits.plan
                fence = permits.held[planner]
                known = base if self.rules.checks_fence else base._replace(fence=0)
                down = permits.down if self.rules.counts_failures else frozenset()
                plan = make_plan(known, action, row.vm, fence, down)
                if plan is not None:
                    draft = Draft(base, plan, action, row.vm, permits.down)
                    label = f"planner {planner} makes a plan: {action} {row.vm}"
                    yield label, permits.draft(planner, draft)

    def _write(self, permits: Permits, planner: int) -> Permits:
        draft = permits.drafts[planner]
        assert draft is not None
        after = permits.draft(planner, None)
        if self.rules.compares_revision and draft.base != permits.plan:
            return after
        stopped = _stop(permits.stopped, draft)
        unavailable = stopped | draft.down
        breaks = draft.action == "stop" and (
            len(unavailable) > LIMIT or len(VMS) - len(unavailable) < FLOOR
        )
        return after._replace(
            plan=draft.plan,
            stopped=stopped,
            over_budget=permits.over_budget or breaks,
            fence_fell=permits.fence_fell or draft.plan.fence < permits.plan.fence,
        )


def _stop(stopped: frozenset[str], draft: Draft) -> frozenset[str]:
    if draft.action == "stop":
        return stopped | {draft.vm}
    return stopped - {draft.vm}


def _take(permits: Permits, planner: int) -> Permits:
    held = list(permits.held)
    held[planner] = permits.fence + 1
    return permits._replace(fence=permits.fence + 1, held=(held[0], held[1]))


def _actions(row: Row, down: frozenset[str], calm: bool) -> Iterator[str]:
    """Return the rules that apply to a VM; no new stop once faults stopped."""
    is_down = row.vm in down
    if row.serves and not is_down and not calm:
        yield "stop"
    if is_down and row.phase in (Phase.SERVING, Phase.LEAVING):
        yield "fail"
    if row.phase == Phase.LEAVING:
        yield "abandon"
    if row.phase == Phase.FAILED and not is_down:
        yield "return"


def _all_serve(permits: Permits) -> bool:
    return all(row.serves for row in permits.plan.rows) and not permits.down


def build_permits(rules: Rules | None = None) -> minicheck.Protocol:
    """Return the protocol under the product's rules or a broken variant."""
    planning = Planning(rules or Rules())
    return build_protocol(
        "permits",
        Permits(),
        planning.steps,
        planning.faults,
        {
            "P1_stops_within_budget": lambda permits: not permits.over_budget,
            "P1_fence_never_falls": lambda permits: not permits.fence_fell,
        },
        _all_serve,
    )
