"""Tests that each request ends with exactly one correct outcome."""

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
    Checkpointed,
    NotExecuted,
    ResponseReceived,
    UpstreamOutcomeUnknown,
    UpstreamResult,
)
from sesameladder.idempotency import Done, NotRun, Outcome, Unknown
from sesameladder.observability import Metrics

SUCCEEDED = ResponseReceived(Done(200, (), b"whole"), False)
FAILED = ResponseReceived(Done(500, (), b"broken"), True)
LEAVING = NotExecuted(OutcomeKind.NOT_RUN_LEAVING)
CONNECTION_RESET = UpstreamOutcomeUnknown("connection reset", False)
TIMED_OUT = UpstreamOutcomeUnknown("read timed out", True)
CHECKPOINTED = Checkpointed("state-1")
NO_GRANT = NoGrant("queue_full", 2.0)
DEADLINE = 10.0


@dataclass
class FakeParts:
    """Fake grant client, worker client and task keeper with scripted results."""

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
        next_result = self.script[0]
        if isinstance(next_result, NoGrant):
            return self.script.pop(0)  # type: ignore[return-value]
        number = len(self.histories)
        vm = f"vm-{number}"
        return HeldGrant(
            f"g-{number}", f"d-{number}", "p", "z", "e", vm, "r", "a", "k", "t",
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
    fakes: FakeParts, repeatable: bool, start_refusal: NotRun | None = None
) -> tuple[Outcome, int]:
    headers = [("Sesameladder-Repeatable", str(repeatable).lower())]
    request = build_request("r", "POST", "/pools/p/", headers, b"", 1000)
    parts: Any = fakes
    path = RequestPath(
        parts,
        parts,
        parts,
        lambda: 0.0,
        lambda _: None,
        Random(1),
    )
    start_checks: list[int] = []

    def check_start() -> NotRun | None:
        start_checks.append(1)
        return start_refusal

    return path.execute(request, DEADLINE, check_start), len(start_checks)


@pytest.mark.parametrize(
    ("script", "repeatable", "expected", "sends"),
    [
        ([SUCCEEDED], False, SUCCEEDED.outcome, 1),
        ([LEAVING, SUCCEEDED], False, SUCCEEDED.outcome, 2),
        ([CONNECTION_RESET, SUCCEEDED], True, SUCCEEDED.outcome, 2),
        ([CONNECTION_RESET], False, Unknown, 1),
        ([TIMED_OUT], False, Unknown("deadline"), 1),
        ([FAILED], False, FAILED.outcome, 1),
        ([FAILED, SUCCEEDED], True, SUCCEEDED.outcome, 2),
        ([FAILED, FAILED, FAILED], True, FAILED.outcome, 3),
        ([CONNECTION_RESET, CONNECTION_RESET, CONNECTION_RESET], True, Unknown, 3),
        ([LEAVING, LEAVING, LEAVING], False, NotRun, 3),
        ([NO_GRANT], True, NotRun("queue-limit", 2.0), 0),
        ([CONNECTION_RESET, NO_GRANT], True, Unknown, 1),
        ([CONNECTION_RESET, LEAVING, NO_GRANT], True, Unknown, 2),
        ([LEAVING, NO_GRANT], True, NotRun("queue-limit", 2.0), 1),
        ([CHECKPOINTED, SUCCEEDED], False, SUCCEEDED.outcome, 2),
        ([CHECKPOINTED, NO_GRANT], False, Unknown, 1),
        ([CHECKPOINTED, LEAVING, SUCCEEDED], False, SUCCEEDED.outcome, 3),
    ],
)
def test_outcome(
    script: list[UpstreamResult | NoGrant],
    repeatable: bool,
    expected: Outcome | type[Outcome],
    sends: int,
) -> None:
    """Guards against wrong outcomes.

    A request that may have run must not end as "not run", and one that is not
    repeatable must not run twice.
    """
    fakes = FakeParts(list(script))
    outcome, start_checks = run(fakes, repeatable)
    if isinstance(expected, type):
        assert isinstance(outcome, expected)
    else:
        assert outcome == expected
    assert len(fakes.checkpoints) == sends
    assert start_checks == min(1, sends)
    assert len(fakes.released) + len(fakes.abandoned) == sends


def test_checkpoint_is_sent_to_the_next_worker() -> None:
    """Guards against preempted work that starts from the beginning."""
    fakes = FakeParts([CHECKPOINTED, SUCCEEDED])
    run(fakes, False)
    assert fakes.checkpoints == ["", "state-1"]
    assert fakes.histories[1].resumed_demand == "d-1"


def test_nothing_is_sent_if_the_start_is_refused() -> None:
    """Guards against a request that is sent although no witness recorded its start."""
    fakes = FakeParts([SUCCEEDED])
    refusal = NotRun("witness-unavailable")
    assert run(fakes, False, refusal) == (refusal, 1)
    assert fakes.checkpoints == []
    assert fakes.released == [("g-1", OutcomeKind.UNUSED)]


@pytest.mark.parametrize(
    ("first", "tried", "abandoned"),
    [
        (CONNECTION_RESET, ("vm-1",), ["g-1"]),
        (FAILED, ("vm-1",), []),
        (NotExecuted(OutcomeKind.CONNECTION_FAILED), ("vm-1",), []),
        (LEAVING, (), []),
        (NotExecuted(OutcomeKind.NOT_RUN_FULL), (), []),
    ],
)
def test_only_failed_workers_count_as_tried(
    first: UpstreamResult, tried: tuple[str, ...], abandoned: list[str]
) -> None:
    """Guards against a retry on a failed worker.

    A worker that only refused the request stays eligible.
    """
    fakes = FakeParts([first, SUCCEEDED])
    run(fakes, True)
    assert fakes.histories[1].tried_workers == tried
    assert fakes.abandoned == abandoned
