"""Stop and move of one VM: planner, two dispatchers, worker and platform.

The planner's steps are the product's rules. The dispatcher of each pool
applies the plan late and gives work to the VM while its plan lets it serve.
A planner may stop at any step; the next one continues from the row.
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
    Plan,
    Row,
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
class Rules:
    """The rules that a broken variant leaves out."""

    waits_for_drain: bool = True
    """A VM counts as drained only by its dispatcher's current report."""

    moves_through_release: bool = True
    """A VM joins a pool only after it has left the other one."""

    heeds_leaving: bool = True
    """A dispatcher gives no work to a VM that its plan shows as leaving."""


class View(NamedTuple):
    """What one pool's dispatcher knows and does."""

    serves: bool
    """Whether the plan that it applied lets the VM serve its pool."""

    is_current: bool = True
    """Whether it has applied the current row."""

    works: bool = False
    """Whether a request that it placed runs on the VM."""


class Stops(NamedTuple):
    """A state of the VM's row, the VM and the dispatchers."""

    row: Row = Row(VM)
    """The VM's row in the plan."""

    views: tuple[View, View] = (View(True), View(False))
    """The dispatchers of the home pool and of the other pool."""

    is_up: bool = True
    """Whether the VM runs."""

    cut: bool = False
    """Whether a planned stop cut a request."""

    late_work: bool = False
    """Whether a dispatcher gave work to a VM that it knew to be leaving."""

    calm: bool = False
    """Whether faults have stopped."""

    def view(self, index: int, view: View) -> "Stops":
        """Return the state with another view of a dispatcher."""
        views = list(self.views)
        views[index] = view
        return self._replace(views=(views[0], views[1]))

    def write(self, row: Row) -> "Stops":
        """Return the state with a row that no dispatcher has applied yet."""
        views = tuple(view._replace(is_current=False) for view in self.views)
        return self._replace(row=row, views=(views[0], views[1]))


@cache
def run_rule(row: Row, name: str, drained: bool, down: bool) -> Row | None:
    """Return the row that a rule of the product makes, or None."""
    plan = Plan((row, Row("v2")))
    unavailable = frozenset({VM}) if down else frozenset()
    after = apply_rule(plan, _rules(drained)[name], FLEET, unavailable)
    return after.row(VM) if after else None


def _rules(drained: bool) -> dict[str, Rule]:
    report = DrainReport(PLAN_VERSION if drained else 0, 0)
    return {
        "stop": lambda p, s: request_stop(p, VM, "wave", s, FENCE),
        "move": lambda p, s: request_move(p, VM, OTHER_POOL, s, FENCE),
        "move back": lambda p, s: request_move(p, VM, HOME_POOL, s, FENCE),
        "drained": lambda p, s: mark_drained(p, VM, report, s, FENCE),
        "reboot": lambda p, s: begin_reboot(p, VM, s, FENCE),
        "check": lambda p, s: begin_check(p, VM, s, FENCE),
        "return": lambda p, s: return_to_service(p, VM, s, FENCE),
        "abandon": lambda p, s: abandon_stop(p, VM, s, FENCE),
        "release": lambda p, s: release_vm(p, VM, s, FENCE),
        "join": lambda p, s: join_pool(p, VM, _target(p), s, FENCE),
        "fail": lambda p, s: mark_failed(p, VM, s, FENCE),
        "set aside": lambda p, s: set_aside(p, VM, s, FENCE),
    }


def _target(plan: RegionPlan) -> str:
    return plan.rows[VM].target_pool or HOME_POOL


class Lifecycle:
    """The steps of the protocol under given rules."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules

    def steps(self, stops: Stops) -> Iterator[tuple[str, Stops]]:
        """Return what planner, dispatchers and platform do."""
        for name in self._planner_actions(stops):
            row = run_rule(stops.row, name, self._is_drained(stops), not stops.is_up)
            if row is not None:
                yield f"planner: {name}", self._write(stops, name, row)
        for index in range(len(POOLS)):
            yield from self._dispatch(stops, index)
        if not stops.is_up:
            yield "VM runs again", stops._replace(is_up=True)

    def faults(self, stops: Stops) -> Iterator[tuple[str, Stops]]:
        """Return failures of the VM; its requests end with it."""
        if stops.is_up:
            yield "VM fails", _end_work(stops)._replace(is_up=False)

    def _planner_actions(self, stops: Stops) -> Iterator[str]:
        phase = stops.row.phase
        if not stops.calm:
            yield from ("stop", "move", "move back")
        yield from ("drained", "release", "join", "check")
        if phase in (Phase.LEAVING, Phase.DRAINED):
            yield "abandon"
        if phase == Phase.DRAINED:
            yield "reboot"
        if not stops.is_up:
            yield from ("fail", "set aside")
        elif phase != Phase.SERVING:
            yield "return"

    def _is_drained(self, stops: Stops) -> bool:
        if not self.rules.waits_for_drain:
            return True
        view = stops.views[POOLS.index(stops.row.pool or HOME_POOL)]
        return view.is_current and not view.works

    def _write(self, stops: Stops, name: str, row: Row) -> Stops:
        if name == "reboot":
            cut = stops.cut or any(view.works for view in stops.views)
            return _end_work(stops.write(row))._replace(cut=cut)
        if name.startswith("move") and not self.rules.moves_through_release:
            target = row.target
            row = Row(VM, target)
        return stops.write(row)

    def _dispatch(self, stops: Stops, index: int) -> Iterator[tuple[str, Stops]]:
        view = stops.views[index]
        pool = POOLS[index]
        if not view.is_current:
            serves = stops.row.serves and stops.row.pool == pool
            applied = view._replace(serves=serves, is_current=True)
            yield f"dispatcher of {pool} applies the plan", stops.view(index, applied)
        heedless = not self.rules.heeds_leaving and stops.row.pool == pool
        if stops.is_up and not view.works and (view.serves or heedless):
            after = stops.view(index, view._replace(works=True))
            late = stops.late_work or not view.serves
            yield f"dispatcher of {pool} gives work", after._replace(late_work=late)
        if view.works:
            done = stops.view(index, view._replace(works=False))
            yield f"request of {pool} ends", done


def _end_work(stops: Stops) -> Stops:
    views = tuple(view._replace(works=False) for view in stops.views)
    return stops._replace(views=(views[0], views[1]))


def _has_ended(stops: Stops) -> bool:
    return stops.row.serves and all(view.is_current for view in stops.views)


def build_stops(rules: Rules | None = None) -> minicheck.Protocol:
    """Return the protocol under the product's rules or a broken variant."""
    lifecycle = Lifecycle(rules or Rules())
    return build_protocol(
        "stops and moves",
        Stops(),
        lifecycle.steps,
        lifecycle.faults,
        {
            "P2_one_pool_at_a_time": lambda stops: (
                not all(view.works for view in stops.views)
            ),
            "P6_no_work_for_a_leaving_vm": lambda stops: not stops.late_work,
            "P7_stop_cuts_no_request": lambda stops: not stops.cut,
        },
        _has_ended,
    )
