"""Tests of the witness table and of the home's ``StartProcedure``."""

import pytest

from sesameladder.idempotency import (
    Answer,
    Done,
    Finished,
    HomeTable,
    NeverStarted,
    NotRun,
    NotRunReason,
    NotWitness,
    RecordStart,
    ReportNotHome,
    SendToWorker,
    Started,
    StartProcedure,
    Token,
    Unknown,
    WaitForRun,
    WitnessTable,
)
from sesameladder.idempotency._witness import MAX_OUTCOME_BYTES

DONE = Done(200, (), b"order 1")


def make_token(sequence: int = 1, witness_incarnation: int = 1) -> Token:
    return Token("a", 1, "b", witness_incarnation, sequence, 100.0)


TOKEN = make_token()


@pytest.mark.parametrize(
    ("calls", "verdict", "may_start"),
    [
        ([], NeverStarted(), False),
        (["start"], Started(), True),
        # The home was paused and asks for the start after the void.
        (["void", "start"], NeverStarted(), False),
        (["void", "void"], NeverStarted(), False),
        # The home's message arrives twice.
        (["start", "start"], Started(), True),
        (["start", DONE], Finished(DONE), False),
        # A delayed refusal of an earlier attempt must not hide a later start.
        (["start", NotRun("queue-limit")], Started(), True),
        (["start", Unknown("lost")], Started(), True),
        # An answer without a recorded start is ignored.
        ([DONE], NeverStarted(), False),
        (["void", DONE], NeverStarted(), False),
        (["start", Done(200, (), bytes(MAX_OUTCOME_BYTES + 1))], Started(), True),
    ],
)
def test_verdict(calls, verdict, may_start) -> None:
    """Guards against a token that is both voided and started."""
    table = WitnessTable("b", 1)
    for call in calls:
        if call == "start":
            table.record_start(TOKEN, 0.0)
        elif call == "void":
            table.void(TOKEN, 0.0)
        else:
            table.record_outcome(TOKEN, call)
    assert table.void(TOKEN, 1.0) == verdict
    assert table.record_start(TOKEN, 1.0) == may_start


def test_replaced_witness_neither_voids_nor_records() -> None:
    """Guards against a verdict by a new incarnation without the records."""
    table = WitnessTable("b", 2)
    assert table.void(TOKEN, 0.0) == NotWitness()
    assert not table.record_start(TOKEN, 0.0)


@pytest.mark.parametrize("first_call", ["start", "void"])
def test_evicted_record_counts_as_started_and_void(first_call) -> None:
    """Guards against reporting an evicted start as "not run"."""
    table = WitnessTable("b", 1, max_bytes=1300)
    if first_call == "start":
        table.record_start(TOKEN, 0.0)
    else:
        table.void(TOKEN, 0.0)
    for sequence in range(2, 5):
        table.record_start(make_token(sequence), 0.0)
    assert table.void(TOKEN, 0.0) == Started()
    assert not table.record_start(TOKEN, 0.0)
    assert table.void(make_token(5), 0.0) == NeverStarted()


def make_procedure(token: Token = TOKEN, attempt: int = 1) -> StartProcedure:
    return StartProcedure(HomeTable("a", 1), token, b"d", attempt)


def test_start_waits_for_the_witness() -> None:
    """Guards against a run that the witness has not recorded."""
    procedure = make_procedure()
    assert procedure.begin(0.0) == RecordStart(TOKEN.witness_identity)
    assert procedure.witness_answered(True, 0.0) == SendToWorker()
    assert procedure.finish(DONE, 0.0) == Answer(DONE)


def test_start_without_a_witness() -> None:
    """Guards against a single live instance that can't start its tokens."""
    assert make_procedure(Token("a", 1, None, 0, 1, 9.0)).begin(0.0) == SendToWorker()


@pytest.mark.parametrize(
    ("end", "reason"),
    [
        (lambda p: p.witness_answered(False, 0.0), NotRunReason.TOKEN_VOID),
        (lambda p: p.witness_unreachable(0.0), NotRunReason.WITNESS_UNAVAILABLE),
    ],
)
def test_unrecorded_start_is_not_run(end, reason) -> None:
    """Guards against a home that runs a request without a record at its witness."""
    procedure = make_procedure()
    procedure.begin(0.0)
    assert end(procedure) == Answer(NotRun(reason))
    assert procedure.witness_answered(True, 0.0) == Answer(
        NotRun(NotRunReason.TOKEN_VOID)
    )


@pytest.mark.parametrize(
    "late_message",
    [
        lambda p: p.witness_answered(True, 0.0),
        lambda p: p.witness_answered(False, 0.0),
        lambda p: p.witness_unreachable(0.0),
    ],
)
def test_late_witness_message_does_not_report_a_run_as_not_run(late_message) -> None:
    """Guards against "not run" or a second run while a worker has the request."""
    procedure = make_procedure()
    procedure.begin(0.0)
    procedure.witness_answered(True, 0.0)
    assert late_message(procedure) == WaitForRun()
    procedure.finish(DONE, 0.0)
    assert late_message(procedure) == Answer(DONE)


def test_token_of_another_home_is_not_started() -> None:
    """Guards against a home that starts a token of another incarnation."""
    token = Token("a", 9, "b", 1, 1, 100.0)
    assert make_procedure(token).begin(0.0) == ReportNotHome()
