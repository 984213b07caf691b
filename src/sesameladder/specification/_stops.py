"""Stops and moves of one VM by planner, dispatchers and platform.

The planner's steps are the rules of ``sesameladder.planning``. The dispatcher of
each pool applies the plan after a delay and sends requests to the VM while its copy
of the plan lets the VM serve. A planner may fail after any step; its successor
continues from the VM's row.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from typing import NamedTuple

import minicheck

from sesameladder.planning import (
    DrainReport,
    Phase,
    RegionPlan,
    RuleContext,
    RuleOutcome,
    abandon_stop,
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
from sesameladder.specification._plans import (
    HOME_POOL,
    OTHER_POOL,
    PLAN_VERSION,
    CompactPlan,
    CompactRow,
    apply_rule,
    build_fleet,
)
from sesameladder.specification._protocol import build_protocol

VM = "v1"
FLEET = build_fleet((VM, "v2"), 0, 2)
POOLS = (HOME_POOL, OTHER_POOL)
FENCE = 1
Rule = Callable[[RegionPlan, RuleContext], RuleOutcome]


@dataclass(frozen=True, slots=True)
class StopRules:
    """The rules that a broken variant leaves out."""

    waits_for_drain: bool = True
    """A VM counts as drained only if a current report shows no request."""

    moves_through_release: bool = True
    """A VM joins a pool only after it was released from the other one."""

    respects_leaving_phase: bool = True
    """A dispatcher sends no request to a VM that its plan shows as not serving."""


class DispatcherView(NamedTuple):
    """What one pool's dispatcher knows of the VM."""

    lets_vm_serve: bool
    """Whether the plan that the dispatcher applied lets the VM serve its pool."""

    is_current: bool = True
    """Whether the dispatcher has applied the current row."""

    has_request: bool = False
    """Whether a request of the dispatcher runs on the VM."""


class StopState(NamedTuple):
    """State of the VM's row, the VM and the dispatchers."""

    row: CompactRow = CompactRow(VM)
    """The VM's row in the plan."""

    views: tuple[DispatcherView, DispatcherView] = (
        DispatcherView(True),
        DispatcherView(False),
    )
    """Views of the dispatchers of the home pool and of the other pool."""

    is_up: bool = True
    """Whether the VM runs."""

    has_interrupted_request: bool = False
    """Whether a planned reboot has interrupted a request."""

    has_request_to_leaving_vm: bool = False
    """Whether a dispatcher sent a request although its plan showed the VM leaving."""

    faults_stopped: bool = False
    """Whether faults have stopped."""

    def with_view(self, index: int, view: DispatcherView) -> "StopState":
        """Return the state with the view of one dispatcher replaced."""
        views = list(self.views)
        views[index] = view
        return self._replace(views=(views[0], views[1]))

    def with_row(self, row: CompactRow) -> "StopState":
        """Return the state with a row that no dispatcher has applied yet."""
        views = tuple(view._replace(is_current=False) for view in self.views)
        return self._replace(row=row, views=(views[0], views[1]))


@cache
def apply_named_rule(
    row: CompactRow, name: str, is_drained: bool, is_down: bool
) -> CompactRow | None:
    """Return the VM's row after a planner rule, or None if the rule refuses."""
    plan = CompactPlan((row, CompactRow("v2")))
    down_vms = frozenset({VM}) if is_down else frozenset()
    after = apply_rule(plan, _build_rules(is_drained)[name], FLEET, down_vms)
    return after.find_row(VM) if after else None


def _build_rules(is_drained: bool) -> dict[str, Rule]:
    report = DrainReport(PLAN_VERSION if is_drained else 0, 0)
    return {
        "stop": lambda plan, context: request_stop(plan, VM, "wave", context, FENCE),
        "move": lambda plan, context: request_move(
            plan, VM, OTHER_POOL, context, FENCE
        ),
        "move back": lambda plan, context: request_move(
            plan, VM, HOME_POOL, context, FENCE
        ),
        "drained": lambda plan, context: mark_drained(plan, VM, report, context, FENCE),
        "reboot": lambda plan, context: begin_reboot(plan, VM, context, FENCE),
        "check": lambda plan, context: begin_check(plan, VM, context, FENCE),
        "return": lambda plan, context: return_to_service(plan, VM, context, FENCE),
        "abandon": lambda plan, context: abandon_stop(plan, VM, context, FENCE),
        "release": lambda plan, context: release_vm(plan, VM, context, FENCE),
        "join": lambda plan, context: join_pool(
            plan, VM, _find_destination_pool(plan), context, FENCE
        ),
        "fail": lambda plan, context: mark_failed(plan, VM, context, FENCE),
        "set aside": lambda plan, context: set_aside(plan, VM, context, FENCE),
    }


def _find_destination_pool(plan: RegionPlan) -> str:
    return plan.rows[VM].target_pool or HOME_POOL


class StopProtocol:
    """The steps and faults of the protocol under given rules."""

    def __init__(self, rules: StopRules) -> None:
        self.rules = rules

    def steps(self, state: StopState) -> Iterator[tuple[str, StopState]]:
        """Return the steps of the planner, the dispatchers and the platform."""
        for name in self._list_planner_actions(state):
            row = apply_named_rule(
                state.row, name, self._is_drained(state), not state.is_up
            )
            if row is not None:
                yield f"planner: {name}", self._apply_planner_action(state, name, row)
        for index in range(len(POOLS)):
            yield from self._list_dispatcher_steps(state, index)
        if not state.is_up:
            yield "VM runs again", state._replace(is_up=True)

    def faults(self, state: StopState) -> Iterator[tuple[str, StopState]]:
        """Return the failure of the VM, which ends its requests."""
        if state.is_up:
            yield "VM fails", _end_requests(state)._replace(is_up=False)

    def _list_planner_actions(self, state: StopState) -> Iterator[str]:
        phase = state.row.phase
        if not state.faults_stopped:
            yield from ("stop", "move", "move back")
        yield from ("drained", "release", "join", "check")
        if phase in (Phase.LEAVING, Phase.DRAINED):
            yield "abandon"
        if phase == Phase.DRAINED:
            yield "reboot"
        if not state.is_up:
            yield from ("fail", "set aside")
        elif phase != Phase.SERVING:
            yield "return"

    def _is_drained(self, state: StopState) -> bool:
        if not self.rules.waits_for_drain:
            return True
        view = state.views[POOLS.index(state.row.pool or HOME_POOL)]
        return view.is_current and not view.has_request

    def _apply_planner_action(
        self, state: StopState, name: str, row: CompactRow
    ) -> StopState:
        if name == "reboot":
            has_interrupted_request = state.has_interrupted_request or any(
                view.has_request for view in state.views
            )
            return _end_requests(state.with_row(row))._replace(
                has_interrupted_request=has_interrupted_request
            )
        if name.startswith("move") and not self.rules.moves_through_release:
            target_pool = row.target_pool
            row = CompactRow(VM, target_pool)
        return state.with_row(row)

    def _list_dispatcher_steps(
        self, state: StopState, index: int
    ) -> Iterator[tuple[str, StopState]]:
        view = state.views[index]
        pool = POOLS[index]
        if not view.is_current:
            lets_vm_serve = state.row.is_serving and state.row.pool == pool
            applied = view._replace(lets_vm_serve=lets_vm_serve, is_current=True)
            yield (
                f"dispatcher of {pool} applies the plan",
                state.with_view(index, applied),
            )
        ignores_leaving = (
            not self.rules.respects_leaving_phase and state.row.pool == pool
        )
        if (
            state.is_up
            and not view.has_request
            and (view.lets_vm_serve or ignores_leaving)
        ):
            after = state.with_view(index, view._replace(has_request=True))
            has_request_to_leaving_vm = (
                state.has_request_to_leaving_vm or not view.lets_vm_serve
            )
            yield (
                f"dispatcher of {pool} sends a request",
                after._replace(has_request_to_leaving_vm=has_request_to_leaving_vm),
            )
        if view.has_request:
            done = state.with_view(index, view._replace(has_request=False))
            yield f"request of {pool} ends", done


def _end_requests(state: StopState) -> StopState:
    views = tuple(view._replace(has_request=False) for view in state.views)
    return state._replace(views=(views[0], views[1]))


def _is_goal(state: StopState) -> bool:
    """Return whether the VM serves and every dispatcher knows its row."""
    return state.row.is_serving and all(view.is_current for view in state.views)


def build_stops(rules: StopRules | None = None) -> minicheck.Protocol:
    """Return the protocol with all rules or a broken variant."""
    protocol = StopProtocol(rules or StopRules())
    return build_protocol(
        "stops and moves",
        StopState(),
        protocol.steps,
        protocol.faults,
        {
            "P2_one_pool_at_a_time": lambda state: (
                not all(view.has_request for view in state.views)
            ),
            "P6_no_work_for_a_leaving_vm": lambda state: (
                not state.has_request_to_leaving_vm
            ),
            "P7_stop_cuts_no_request": lambda state: not state.has_interrupted_request,
        },
        _is_goal,
    )
