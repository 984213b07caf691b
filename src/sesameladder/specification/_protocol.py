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
    def calm(self) -> bool:
        """Whether faults have stopped."""


S = TypeVar("S", bound=State)
Steps = Iterable[tuple[str, S]]

PROGRESS = "progress"


class Finding(NamedTuple):
    """The result of one property."""

    holds: bool | None
    """None when the search did not finish."""

    steps: tuple[str, ...]
    """Labels of a shortest counterexample; empty when the property holds."""


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The result of one protocol."""

    name: str
    """Name of the protocol."""

    states: int
    """States that can be reached."""

    seconds: float
    """Run time of the check."""

    findings: dict[str, Finding]
    """Findings by invariant, and one under ``PROGRESS``."""

    @property
    def holds(self) -> bool:
        """Whether the search finished and every property holds."""
        return all(finding.holds is True for finding in self.findings.values())


def build_protocol(
    name: str,
    initial: S,
    steps: Callable[[S], Steps[S]],
    faults: Callable[[S], Steps[S]],
    invariants: Mapping[str, Callable[[S], bool]],
    has_ended: Callable[[S], bool],
) -> minicheck.Protocol:
    """Return a protocol whose faults may stop at any state."""
    kind: Any = type(initial)

    def transitions(state: Any) -> list[tuple[str, Any]]:
        found = list(steps(state))
        if not state.calm:
            found += faults(state)
            found.append(("faults stop", state._replace(calm=True)))
        return found

    def on_fields(predicate: Callable[[S], bool]) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: predicate(kind(**fields))

    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=kind._fields,
        initial=initial,
        transitions=transitions,
        invariants={key: on_fields(rule) for key, rule in invariants.items()},
        goal=on_fields(lambda state: state.calm and has_ended(state)),
    )


def check(protocol: minicheck.Protocol) -> CheckResult:
    """Search all states of a protocol; an unfinished search holds nothing."""
    began = perf_counter()
    safety = minicheck.check_safety(protocol)
    findings = {
        name: _read(found["holds"], found["counterexample"])
        for name, found in safety["properties"].items()
    }
    liveness = minicheck.check_liveness(protocol)
    findings[PROGRESS] = _read(liveness["holds"], liveness.get("counterexample"))
    return CheckResult(
        protocol.name, safety["reachable_states"], perf_counter() - began, findings
    )


def find_counterexample(
    protocol: minicheck.Protocol, invariant: str, max_states: int = 50_000
) -> tuple[str, ...]:
    """Return the steps to a state that breaks an invariant; empty if none is found.

    A counterexample counts even if the search stops at ``max_states``.
    """
    safety = minicheck.check_safety(protocol, max_states)
    found = safety["properties"][invariant]
    return _read(found["holds"], found["counterexample"]).steps


def _read(holds: bool | None, trace: list[dict[str, Any]] | None) -> Finding:
    labels = [str(step["label"]) for step in trace or [] if step["label"]]
    return Finding(holds, tuple(labels))
