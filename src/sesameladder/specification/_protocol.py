"""Builds the protocols of this package and checks them with ``minicheck``.

A protocol is a set of labelled steps between immutable states. Steps that model
faults are possible until the faults stop. From every state without further
faults, a goal state must stay reachable (the property ``PROGRESS``). Messages
are never removed from a state, so each may be lost, delayed, duplicated or
reordered.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from time import perf_counter
from typing import Any, NamedTuple, Protocol, TypeVar

import minicheck


class State(Protocol):
    """A named tuple with a field ``faults_stopped``."""

    @property
    def faults_stopped(self) -> bool:
        """Whether no fault can occur any more."""


StateT = TypeVar("StateT", bound=State)
Steps = Iterable[tuple[str, StateT]]
"""Pairs of a step's label and the state that follows it."""

PROGRESS = "progress"


class PropertyResult(NamedTuple):
    """The result for one invariant or for ``PROGRESS``."""

    holds: bool | None
    """Whether the property holds; None if the search did not finish."""

    counterexample: tuple[str, ...]
    """Step labels of a shortest counterexample; empty if none was found."""


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The results for one protocol."""

    name: str
    """Name of the protocol."""

    state_count: int
    """Number of reachable states."""

    duration_s: float
    """Run time of the check in seconds."""

    properties: dict[str, PropertyResult]
    """Result by name of the invariant, and the result under ``PROGRESS``."""

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
    """Return a protocol whose faults may stop at any state.

    ``steps`` and ``faults`` list the successors of a state without and with a
    fault. ``is_goal`` states what must stay reachable once the faults have
    stopped.
    """
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
    """Search all states of a protocol.

    After a search that did not finish, no property counts as holding.
    """
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
    """Return the steps to a state that violates an invariant; empty if none is found.

    A counterexample is valid even if the search stops at ``max_states`` states.
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
