"""Tests of the methods of the home table and of its handover."""

import pytest

from sesameladder.idempotency import (
    DigestMismatch,
    Done,
    Expired,
    Finished,
    HandoverMalformed,
    HomeTable,
    InProgress,
    NotHome,
    NotRun,
    PeerIdentity,
    RecordEvicted,
    StartAllowed,
    Token,
    TokenVoided,
    Unknown,
)
from sesameladder.idempotency._handover import MAX_CHUNK_BYTES
from sesameladder.idempotency._home import MAX_INCOMING_HANDOVERS

DONE = Done(200, (("Content-Type", "text/plain"),), b"order 1")
QUEUE_FULL = NotRun("queue-limit", 2.0)
RESPONSE_LOST = Unknown("worker-response-lost")
DIGEST = b"digest"


def make_token(sequence: int = 1, incarnation: int = 1) -> Token:
    return Token("a", incarnation, "b", 1, sequence, 100.0)


def make_home(**limits: int) -> HomeTable:
    return HomeTable("a", 1, **limits)


def start(home: HomeTable, token: Token, attempt: int = 0) -> None:
    assert home.begin(token, DIGEST, 0.0, attempt) == StartAllowed()
    assert home.confirm_start(token)


def end(home: HomeTable, token: Token, outcome) -> None:
    start(home, token)
    home.finish(token, outcome, 0.0)


@pytest.mark.parametrize(
    ("outcome", "attempts", "retry", "expected"),
    [
        (DONE, 1, 2, Finished(DONE)),
        # A run whose response was lost must never be repeated.
        (RESPONSE_LOST, 1, 2, Finished(RESPONSE_LOST)),
        # A delayed message of a refused attempt must not run.
        (QUEUE_FULL, 1, 1, Finished(QUEUE_FULL)),
        (QUEUE_FULL, 0, 0, Finished(QUEUE_FULL)),
        (QUEUE_FULL, 3, 2, Finished(QUEUE_FULL)),
        (QUEUE_FULL, 1, 2, StartAllowed()),
    ],
)
def test_retry_after_the_token_ended(outcome, attempts, retry, expected) -> None:
    """Guards against a second run and against a run of a refused attempt."""
    home = make_home()
    start(home, make_token(), attempts)
    home.finish(make_token(), outcome, 1.0)
    assert home.begin(make_token(), DIGEST, 2.0, retry) == expected


def test_only_one_attempt_starts() -> None:
    """Guards against two attempts of one token that both reach a worker."""
    home = make_home()
    assert home.begin(make_token(), DIGEST, 0.0) == StartAllowed()
    assert home.begin(make_token(), DIGEST, 0.0) == InProgress()
    assert home.confirm_start(make_token())
    assert not home.confirm_start(make_token())
    assert home.begin(make_token(), DIGEST, 0.0) == InProgress()


def test_refusal_covers_attempts_that_waited() -> None:
    """Guards against a run of an attempt that was refused while it waited."""
    home = make_home()
    start(home, make_token(), 1)
    assert home.begin(make_token(), DIGEST, 0.0, 2) == InProgress()
    home.finish(make_token(), QUEUE_FULL, 0.0)
    assert home.begin(make_token(), DIGEST, 0.0, 2) == Finished(QUEUE_FULL)


def test_refused_start_is_void_for_good() -> None:
    """Guards against a delayed witness answer that starts a refused token."""
    home = make_home()
    home.begin(make_token(), DIGEST, 0.0, 1)
    assert home.refuse_start(make_token())
    assert not home.confirm_start(make_token())
    assert home.begin(make_token(), DIGEST, 0.0, 2) == TokenVoided()


def test_running_token_can_not_be_refused() -> None:
    """Guards against "not run" for a token that a worker already has."""
    home = make_home()
    start(home, make_token())
    assert not home.refuse_start(make_token())
    assert home.begin(make_token(), DIGEST, 0.0) == InProgress()


@pytest.mark.parametrize(
    ("token", "digest", "now", "expected"),
    [
        (make_token(), b"other", 0.0, DigestMismatch()),
        (make_token(2), DIGEST, 100.0, Expired()),
        (make_token(), DIGEST, 100.0, Finished(DONE)),
        (make_token(3, incarnation=2), DIGEST, 0.0, NotHome()),
    ],
)
def test_begin_with_unusual_tokens(token, digest, now, expected) -> None:
    """Guards against answering with the outcome of another request or home.

    The cases are another digest, an expired token, a finished token after its
    expiry, and a token of another incarnation.
    """
    home = make_home()
    end(home, make_token(), DONE)
    assert home.begin(token, digest, now) == expected


def test_token_with_evicted_record_never_runs_again() -> None:
    """Guards against a second run of a token whose record was evicted for space."""
    home = make_home(max_bytes=2000)
    for sequence in range(1, 6):
        end(home, make_token(sequence), DONE)
    assert home.begin(make_token(1), DIGEST, 0.0) == RecordEvicted()
    assert home.begin(make_token(5), DIGEST, 0.0) == Finished(DONE)
    assert home.begin(make_token(6), DIGEST, 0.0) == StartAllowed()


def test_running_tokens_are_not_evicted() -> None:
    """Guards against evicting the record of a token that is still running."""
    home = make_home(max_bytes=2000)
    start(home, make_token(1))
    for sequence in range(2, 9):
        end(home, make_token(sequence), DONE)
    assert home.begin(make_token(1), DIGEST, 0.0) == InProgress()
    assert home.finish(make_token(1), DONE, 0.0) == DONE


def test_expired_records_are_evicted() -> None:
    """Guards against a table that never removes records of old tokens."""
    home = make_home(retention_s=50)
    end(home, make_token(1), DONE)
    assert home.begin(make_token(2), DIGEST, 60.0) == StartAllowed()
    home.finish(make_token(2), DONE, 60.0)
    assert home.dump()["ended"] == 1


def hand_over(source: HomeTable, target: HomeTable) -> frozenset[PeerIdentity]:
    adopted: frozenset[PeerIdentity] = frozenset()
    for chunk in source.export_chunks():
        adopted |= target.import_chunk(chunk)
    return adopted


@pytest.mark.parametrize("outcome", [DONE, RESPONSE_LOST, QUEUE_FULL])
def test_successor_answers_ended_tokens(outcome) -> None:
    """Guards against answers that are lost at a graceful shutdown."""
    home, successor = make_home(), HomeTable("c", 1)
    end(home, make_token(), outcome)
    assert hand_over(home, successor) == {PeerIdentity("a", 1)}
    assert successor.begin(make_token(), DIGEST, 0.0) == Finished(outcome)


def test_no_table_starts_tokens_after_a_handover() -> None:
    """Guards against two processes that start one token after a handover.

    The same table reaches two successors. No table may start a token then, and
    the running one has an unknown outcome.
    """
    home, first, second = make_home(), HomeTable("c", 1), HomeTable("d", 1)
    home.begin(make_token(1), DIGEST, 0.0)
    start(home, make_token(2))
    hand_over(home, first)
    hand_over(home, second)
    assert not home.confirm_start(make_token(1))
    for table in (home, first, second):
        assert table.begin(make_token(1), DIGEST, 0.0) == TokenVoided()
        assert table.begin(make_token(3), DIGEST, 0.0) == TokenVoided()
    running = first.begin(make_token(2), DIGEST, 0.0)
    assert isinstance(running, Finished) and isinstance(running.outcome, Unknown)


def test_second_export_delivers_the_answer_of_a_running_token() -> None:
    """Guards against an unknown outcome that hides an answer known later."""
    home, successor = make_home(), HomeTable("c", 1)
    start(home, make_token())
    hand_over(home, successor)
    home.finish(make_token(), DONE, 1.0)
    hand_over(home, successor)
    assert successor.begin(make_token(), DIGEST, 1.0) == Finished(DONE)


def test_partial_handover_adopts_nothing() -> None:
    """Guards against "not run" for a token in a chunk that never arrived.

    Chunks of two different exports must not complete each other either.
    """
    home, successor = make_home(), HomeTable("c", 1)
    body = bytes(MAX_CHUNK_BYTES // 3)
    for sequence in range(1, 6):
        end(home, make_token(sequence), Done(200, (), body))
    chunks = home.export_chunks()
    assert len(chunks) > 1
    other_export = home.export_chunks()
    for chunk in [*chunks[:-1], other_export[-1]]:
        assert successor.import_chunk(chunk) == frozenset()
    assert successor.begin(make_token(), DIGEST, 0.0) == NotHome()
    assert hand_over(home, successor) == {PeerIdentity("a", 1)}


def test_unfinished_handovers_are_bounded() -> None:
    """Guards against memory held for peers that end during their handover."""
    successor = HomeTable("c", 1)
    homes = [HomeTable("a", incarnation) for incarnation in range(1, 7)]
    body = bytes(MAX_CHUNK_BYTES)
    for home in homes:
        for sequence in (1, 2):
            token = make_token(sequence, home.identity.incarnation)
            end(home, token, Done(200, (), body))
    exports = [home.export_chunks() for home in homes]
    for chunks in exports:
        successor.import_chunk(chunks[0])
    remaining_chunks = [chunks[1:] for chunks in reversed(exports)]
    adopted = [any(map(successor.import_chunk, chunks)) for chunks in remaining_chunks]
    assert adopted == [True] * MAX_INCOMING_HANDOVERS + [False] * 2


def test_handover_keeps_evicted_tokens_unknown() -> None:
    """Guards against "not run" for a token evicted before the handover."""
    home, successor = make_home(max_bytes=1000), HomeTable("c", 1)
    end(home, make_token(1), DONE)
    end(home, make_token(2), DONE)
    hand_over(home, successor)
    assert successor.begin(make_token(1), DIGEST, 0.0) == RecordEvicted()


@pytest.mark.parametrize("data", [b"", b"{}", b"[]", b'{"sender":["a",1]}'])
def test_malformed_handover_is_refused(data) -> None:
    """Guards against adopting a table from damaged bytes."""
    with pytest.raises(HandoverMalformed):
        make_home().import_chunk(data)
