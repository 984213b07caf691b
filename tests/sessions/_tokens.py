"""Requests with idempotency tokens, retried at other instances."""

from random import Random

from sesameladder.idempotency import (
    Answer,
    AskWitness,
    AttemptResolver,
    Done,
    ForwardToHome,
    HomeAnswered,
    HomeTable,
    HomeUnreachable,
    NotRun,
    Outcome,
    PeerIdentity,
    RecordStart,
    SendToWorker,
    StartProcedure,
    Token,
    TokenIssuer,
    WitnessAnswered,
    WitnessTable,
)
from tests.sessions._day import Day

DIGEST = b"order"


class TokenDesk:
    """Token tables of a home and a witness, and a third instance for retries."""

    __slots__ = ("day", "here", "home", "issuer", "witness")

    def __init__(self, day: Day) -> None:
        self.day = day
        home, witness, here = day.instances[:3]
        self.issuer = TokenIssuer(home, 1, random_source=Random(1))
        self.home = HomeTable(home, 1)
        self.witness = WitnessTable(witness, 1)
        self.here = PeerIdentity(here, 1)

    def run(self) -> None:
        """Run requests that end as done, not run and unknown."""
        self.retry_elsewhere()
        self.lose_contact(started=False)
        self.lose_contact(started=True)

    def retry_elsewhere(self) -> None:
        """Retry an answered request at an instance that is not its home."""
        token = self.issue()
        procedure = self.start(token)
        answer = procedure.finish(Done(201, (), b"order 1"), self.day.now())
        self.note(self.home.identity.instance, token, answer.outcome)
        resolver = AttemptResolver(token, self.here)
        assert isinstance(resolver.start(), ForwardToHome)
        retry = StartProcedure(self.home, token, DIGEST, 2).begin(self.day.now())
        assert isinstance(retry, Answer)
        step = resolver.handle(HomeAnswered(retry.outcome))
        assert step == answer
        self.note(self.here.instance, token, retry.outcome)

    def lose_contact(self, started: bool) -> None:
        """Retry a request whose home can't be reached before or after the start."""
        token = self.issue()
        if started:
            self.start(token)
        resolver = AttemptResolver(token, self.here)
        assert isinstance(resolver.start(), ForwardToHome)
        assert isinstance(resolver.handle(HomeUnreachable()), AskWitness)
        verdict = self.witness.void(token, self.day.now())
        step = resolver.handle(WitnessAnswered(verdict))
        assert isinstance(step, Answer)
        self.note(self.here.instance, token, step.outcome)
        if not started:
            self.start_late(token)

    def start_late(self, token: Token) -> None:
        """Let the home try to start a token that its witness has voided."""
        procedure = StartProcedure(self.home, token, DIGEST, 1)
        assert isinstance(procedure.begin(self.day.now()), RecordStart)
        recorded = self.witness.record_start(token, self.day.now())
        step = procedure.witness_answered(recorded, self.day.now())
        assert isinstance(step, Answer)
        assert isinstance(step.outcome, NotRun)
        self.note(self.home.identity.instance, token, step.outcome)

    def issue(self) -> Token:
        """Issue a token a second after the last event."""
        self.day.run(1)
        return self.issuer.issue(self.witness.identity, self.day.now())

    def start(self, token: Token) -> StartProcedure:
        """Start a token's request at its home, recorded by the witness."""
        procedure = StartProcedure(self.home, token, DIGEST, 1)
        assert isinstance(procedure.begin(self.day.now()), RecordStart)
        recorded = self.witness.record_start(token, self.day.now())
        step = procedure.witness_answered(recorded, self.day.now())
        assert isinstance(step, SendToWorker)
        return procedure

    def note(self, instance: str, token: Token, outcome: Outcome) -> None:
        """Write down what the caller of a token was told."""
        text = f"token {token.sequence} {_tell(outcome)}"
        self.day.transcript.add(instance, text)


def _tell(outcome: Outcome) -> str:
    if isinstance(outcome, Done):
        return f"done with status {outcome.status}"
    if isinstance(outcome, NotRun):
        return f"not run: {outcome.reason}"
    return f"outcome unknown: {outcome.reason}"
