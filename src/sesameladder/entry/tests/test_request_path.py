"""Each request ends with exactly one true outcome."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest

from sesameladder.dispatch import OutcomeKind
from sesameladder.entry._grant_client import AttemptHistory, NoGrant
from sesameladder.entry._held_grants import HeldGrant
from sesameladder.entry._request import CallerRequest, build_request
from sesameladder.entry._request_path import RequestPath
from sesameladder.entry._upstream import (
    Answered,
    Checkpointed,
    Lost,
    NotSent,
    UpstreamResult,
)
from sesameladder.idempotency import Done, NotRun, Outcome, Unknown
from sesameladder.observability import Metrics

OK = Answered(Done(200, (), b"whole"), False)
FAILED = Answered(Done(500, (), b"broken"), True)
LEAVING = NotSent(OutcomeKind.NOT_RUN_LEAVING)
LOST = Lost("connection reset", False)
LATE = Lost("read timed out", True)
PAUSED = Checkpointed("state-1")
NONE = NoGrant("queue_full", 2.0)
DEADLINE = 10.0


@dataclass
class FakeCell:
    """Grants and worker answers in a fixed order, with a record of the calls."""

    script: list[UpstreamResult | NoGrant]
    released: list[tuple[str, OutcomeKind]] = field(default_factory=list)
    abandoned: list[str] = field(default_factory=list)
    histories: list[AttemptHistory] = field(default_factory=list)
    checkpoints: list[str] = field(default_factory=list)
    metrics: Metrics = field(default_factory=lambda: Metrics(None))

    def acquire(
        self, request: CallerRequest, history: AttemptHistory, deadline: float
    ) -> HeldGrant | NoGrant:
        self.histories.append(history)
        following = self.script[0]
        if isinstance(following, NoGrant):
            return self.script.pop(0)  # type: ignore[return-value]
        number = len(self.histories)
        name = f"vm-{number}"
        return HeldGrant(
            f"g-{number}", f"d-{number}", "p", "z", "e", name, "r", "a", "k", "t",
            False, True, 0.0,
        )  # fmt: skip

    def call(
        self, grant: HeldGrant, request: Any, checkpoint: str, timeout: float
    ) -> UpstreamResult:
        self.checkpoints.append(checkpoint)
        return self.script.pop(0)  # type: ignore[return-value]

    def release(self, grant: HeldGrant, outcome: OutcomeKind, ran_ms: float) -> None:
        self.released.append((grant.grant_id, outcome))

    def abandon(self, grant: HeldGrant, outcome: OutcomeKind, ran_ms: float) -> None:
        self.abandoned.append(grant.grant_id)


def run(
    cell: FakeCell, repeatable: bool, gate: NotRun | None = None
) -> tuple[Outcome, int]:
    headers = [("Sesameladder-Repeatable", str(repeatable).lower())]
    request = build_request("r", "POST", "/pools/p/", headers, b"", 1000)
    fake: Any = cell
    path = RequestPath(fake, fake, fake, lambda: 0.0, lambda _: None, Random(1))
    gates: list[int] = []

    def pass_gate() -> NotRun | None:
        gates.append(1)
        return gate

    return path.execute(request, DEADLINE, pass_gate), len(gates)


@pytest.mark.parametrize(
    ("script", "repeatable", "expected", "sends"),
    [
        ([OK], False, OK.answer, 1),
        ([LEAVING, OK], False, OK.answer, 2),
        ([LOST, OK], True, OK.answer, 2),
        ([LOST], False, Unknown, 1),
        ([LATE], False, Unknown("deadline"), 1),
        ([FAILED], False, FAILED.answer, 1),
        ([FAILED, OK], True, OK.answer, 2),
        ([FAILED, FAILED, FAILED], True, FAILED.answer, 3),
        ([LOST, LOST, LOST], True, Unknown, 3),
        ([LEAVING, LEAVING, LEAVING], False, NotRun, 3),
        ([NONE], True, NotRun("queue-limit", 2.0), 0),
        ([LOST, NONE], True, Unknown, 1),
        ([LOST, LEAVING, NONE], True, Unknown, 2),
        ([LEAVING, NONE], True, NotRun("queue-limit", 2.0), 1),
        ([PAUSED, OK], False, OK.answer, 2),
        ([PAUSED, NONE], False, Unknown, 1),
        ([PAUSED, LEAVING, OK], False, OK.answer, 3),
    ],
)
def test_outcome(
    script: list[UpstreamResult | NoGrant],
    repeatable: bool,
    expected: Outcome | type[Outcome],
    sends: int,
) -> None:
    """Guards against false "not run" answers and repeated single runs."""
    cell = FakeCell(list(script))
    outcome, gates = run(cell, repeatable)
    if isinstance(expected, type):
        assert isinstance(outcome, expected)
    else:
        assert outcome == expected
    assert len(cell.checkpoints) == sends
    assert gates == min(1, sends)
    assert len(cell.released) + len(cell.abandoned) == sends


def test_checkpoint_travels_to_the_next_worker() -> None:
    """Guards against a preempted job that starts again from the beginning."""
    cell = FakeCell([PAUSED, OK])
    run(cell, False)
    assert cell.checkpoints == ["", "state-1"]
    assert cell.histories[1].resumed_demand == "d-1"


def test_closed_gate_sends_nothing() -> None:
    """Guards against a start that no witness recorded."""
    cell = FakeCell([OK])
    refusal = NotRun("witness-unavailable")
    assert run(cell, False, refusal) == (refusal, 1)
    assert cell.checkpoints == []
    assert cell.released == [("g-1", OutcomeKind.UNUSED)]


@pytest.mark.parametrize(
    ("first", "tried", "abandoned"),
    [
        (LOST, ("vm-1",), ["g-1"]),
        (FAILED, ("vm-1",), []),
        (NotSent(OutcomeKind.CONNECTION_FAILED), ("vm-1",), []),
        (LEAVING, (), []),
        (NotSent(OutcomeKind.NOT_RUN_FULL), (), []),
    ],
)
def test_tried_workers_are_those_that_failed(
    first: UpstreamResult, tried: tuple[str, ...], abandoned: list[str]
) -> None:
    """Guards against a retry on a failed worker and against blaming the job."""
    cell = FakeCell([first, OK])
    run(cell, True)
    assert cell.histories[1].tried_workers == tried
    assert cell.abandoned == abandoned
