"""Tests of the steps that ``AttemptResolver`` takes after each event."""

import pytest

from sesameladder.idempotency import (
    Answer,
    AskWitness,
    AttemptResolver,
    DeadlinePassed,
    Done,
    Finished,
    ForwardToHome,
    HomeAnswered,
    HomeGone,
    HomeMoved,
    HomeUnreachable,
    NeverStarted,
    NotRun,
    NotRunReason,
    NotWitness,
    PeerIdentity,
    RunLocally,
    Started,
    Token,
    Unknown,
    UnknownReason,
    WitnessAnswered,
    WitnessUnreachable,
)

HOME = PeerIdentity("a", 1)
WITNESS = PeerIdentity("b", 1)
OTHER = PeerIdentity("c", 1)
SUCCESSOR = PeerIdentity("d", 1)
TOKEN = Token("a", 1, "b", 1, 1, 100.0)
TOKEN_WITHOUT_WITNESS = Token("a", 1, None, 0, 1, 100.0)
DONE = Done(200, (), b"ok")
VOID = Answer(NotRun(NotRunReason.TOKEN_VOID))
STARTED = Answer(Unknown(UnknownReason.STARTED))
WITNESS_LOST = Answer(Unknown(UnknownReason.WITNESS_LOST))
HOME_LOST = Answer(Unknown(UnknownReason.HOME_LOST))


@pytest.mark.parametrize(
    ("token", "events", "steps"),
    [
        (TOKEN, [HomeAnswered(DONE)], [Answer(DONE)]),
        # The request may have reached the home although no answer came back.
        (TOKEN, [HomeUnreachable()], [AskWitness(WITNESS)]),
        (TOKEN, [HomeGone()], [AskWitness(WITNESS)]),
        (
            TOKEN,
            [HomeGone(), WitnessAnswered(NeverStarted())],
            [AskWitness(WITNESS), VOID],
        ),
        (
            TOKEN,
            [HomeGone(), WitnessAnswered(Started())],
            [AskWitness(WITNESS), STARTED],
        ),
        (
            TOKEN,
            [HomeGone(), WitnessAnswered(Finished(DONE))],
            [AskWitness(WITNESS), Answer(DONE)],
        ),
        (
            TOKEN,
            [HomeGone(), WitnessAnswered(NotWitness())],
            [AskWitness(WITNESS), WITNESS_LOST],
        ),
        (
            TOKEN,
            [HomeUnreachable(), WitnessUnreachable()],
            [AskWitness(WITNESS), WITNESS_LOST],
        ),
        (TOKEN_WITHOUT_WITNESS, [HomeUnreachable()], [HOME_LOST]),
        (
            TOKEN,
            [HomeMoved(SUCCESSOR), HomeAnswered(DONE)],
            [ForwardToHome(SUCCESSOR), Answer(DONE)],
        ),
        (TOKEN, [HomeMoved(OTHER)], [RunLocally()]),
        (TOKEN, [HomeMoved(HOME)], [AskWitness(WITNESS)]),
        (TOKEN, [DeadlinePassed()], [Answer(Unknown(UnknownReason.DEADLINE))]),
    ],
)
def test_steps(token, events, steps) -> None:
    """Guards against an answer that does not follow from the events so far."""
    resolver = AttemptResolver(token, OTHER)
    assert resolver.start() == ForwardToHome(HOME)
    assert [resolver.handle(event) for event in events] == steps


def test_home_runs_its_own_token() -> None:
    """Guards against a home that forwards a request to itself."""
    assert AttemptResolver(TOKEN, HOME).start() == RunLocally()


def test_replacement_of_the_home_does_not_run_its_tokens() -> None:
    """Guards against a run by a new incarnation without the token's state."""
    replacement = PeerIdentity("a", 2)
    assert AttemptResolver(TOKEN, replacement).start() == ForwardToHome(HOME)


@pytest.mark.parametrize("token", [TOKEN, TOKEN_WITHOUT_WITNESS])
@pytest.mark.parametrize("is_first_attempt", [False, True])
@pytest.mark.parametrize("possibly_delivered", [False, True])
def test_undelivered_first_attempt_is_not_run(
    token, is_first_attempt, possibly_delivered
) -> None:
    """Guards against "not run" for a request that may have reached the home."""
    resolver = AttemptResolver(token, OTHER, is_first_attempt)
    resolver.start()
    step = resolver.handle(HomeUnreachable(possibly_delivered))
    is_not_run = isinstance(step, Answer) and isinstance(step.outcome, NotRun)
    assert is_not_run == (is_first_attempt and not possibly_delivered)


def test_number_of_home_moves_is_bounded() -> None:
    """Guards against a request that is forwarded between peers for ever."""
    resolver = AttemptResolver(TOKEN, OTHER)
    resolver.start()
    peers = [PeerIdentity(name, 1) for name in "defghijk"]
    steps = [resolver.handle(HomeMoved(peer)) for peer in peers]
    assert AskWitness(WITNESS) in steps


def test_late_event_does_not_change_the_answer() -> None:
    """Guards against two different answers to one attempt."""
    resolver = AttemptResolver(TOKEN, OTHER)
    resolver.start()
    answer = resolver.handle(DeadlinePassed())
    assert resolver.handle(HomeAnswered(DONE)) == answer
