"""What the protocols of this package have in common.

A protocol is a set of steps between immutable states. Steps that model a
fault are possible until faults stop; from then on every open matter has to
end. Messages are never taken out of a state, so each may be lost, late,
doubled or out of order.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from time import perf_counter
from typing import Any, NamedTuple, Protocol, TypeVar

import minicheck


class State(Protocol):
    """A named tuple with a field that tells whether faults have stopped."""

    @property
    def faults_stopped(self) -> bool:
        """Whether faults have stopped."""


StateT = TypeVar("StateT", bound=State)
Steps = Iterable[tuple[str, StateT]]

PROGRESS = "progress"


class PropertyResult(NamedTuple):
    """The result of one property."""

    holds: bool | None
    """None when the search did not finish."""

    counterexample: tuple[str, ...]
    """Labels of a shortest counterexample; empty when the property holds."""


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The result of one protocol."""

    name: str
    """Name of the protocol."""

    state_count: int
    """States that can be reached."""

    duration_s: float
    """Run time of the check."""

    properties: dict[str, PropertyResult]
    """Findings by invariant, and one under ``PROGRESS``."""

    @property
    def holds(self) -> bool:
        """Whether the search finished and every property holds."""
        return all(result.holds is True for result in self.properties.values())


def build_protocol(
    name: str,
    initial: StateT,
    steps: Callable[[StateT], Steps[StateT]],
    faults: Callable[[StateT], Steps[StateT]],
    invariants: Mapping[str, Callable[[StateT], bool]],
    is_goal: Callable[[StateT], bool],
) -> minicheck.Protocol:
    """Return a protocol whose faults may stop at any state."""
    state_type: Any = type(initial)

    def transitions(state: Any) -> list[tuple[str, Any]]:
        successors = list(steps(state))
        if not state.faults_stopped:
            successors += faults(state)
            successors.append(("faults stop", state._replace(faults_stopped=True)))
        return successors

    def adapt_predicate(
        predicate: Callable[[StateT], bool],
    ) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: predicate(state_type(**fields))

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=state_type._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            invariant: adapt_predicate(predicate)
            for invariant, predicate in invariants.items()
        },
        goal=adapt_predicate(lambda state: state.faults_stopped and is_goal(state)),
    )


def check(protocol: minicheck.Protocol) -> CheckResult:
    """Search all states of a protocol; an unfinished search holds nothing."""
    started_at = perf_counter()
    safety = minicheck.check_safety(protocol)
    properties = {
        name: _build_property_result(verdict["holds"], verdict["counterexample"])
        for name, verdict in safety["properties"].items()
    }
    liveness = minicheck.check_liveness(protocol)
    properties[PROGRESS] = _build_property_result(
        liveness["holds"], liveness.get("counterexample")
    )
    return CheckResult(
        protocol.name,
        safety["reachable_states"],
        perf_counter() - started_at,
        properties,
    )


def find_counterexample(
    protocol: minicheck.Protocol, invariant: str, max_states: int = 50_000
) -> tuple[str, ...]:
    """Return the steps to a state that breaks an invariant; empty if none is found.

    A counterexample counts even if the search stops at ``max_states``.
    """
    safety = minicheck.check_safety(protocol, max_states)
    verdict = safety["properties"][invariant]
    return _build_property_result(
        verdict["holds"], verdict["counterexample"]
    ).counterexample


def _build_property_result(
    holds: bool | None, trace: list[dict[str, Any]] | None
) -> PropertyResult:
    labels = [str(step["label"]) for step in trace or [] if step["label"]]
    return PropertyResult(holds, tuple(labels))
