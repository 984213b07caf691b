"""Scenario of requests with idempotency tokens, retried at other instances."""

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


class TokenScenario:
    """Token tables of a home and a witness, and a third instance for retries."""

    __slots__ = ("day", "home", "issuer", "other", "witness")

    def __init__(self, day: Day) -> None:
        self.day = day
        home, witness, other = day.instances[:3]
        self.issuer = TokenIssuer(home, 1, random_source=Random(1))
        self.home = HomeTable(home, 1)
        self.witness = WitnessTable(witness, 1)
        self.other = PeerIdentity(other, 1)

    def run(self) -> None:
        """Run requests whose outcomes are done, not run and unknown."""
        self.retry_at_other_instance()
        self.retry_without_home(is_started=False)
        self.retry_without_home(is_started=True)

    def retry_at_other_instance(self) -> None:
        """Retry a completed request at an instance that is not its home."""
        token = self.issue_token()
        procedure = self.start_at_home(token)
        answer = procedure.finish(Done(201, (), b"order 1"), self.day.now())
        self.record_outcome(self.home.identity.instance, token, answer.outcome)
        resolver = AttemptResolver(token, self.other)
        assert isinstance(resolver.start(), ForwardToHome)
        retry = StartProcedure(self.home, token, DIGEST, 2).begin(self.day.now())
        assert isinstance(retry, Answer)
        step = resolver.handle(HomeAnswered(retry.outcome))
        assert step == answer
        self.record_outcome(self.other.instance, token, retry.outcome)

    def retry_without_home(self, is_started: bool) -> None:
        """Retry a request whose home can't be reached before or after the start."""
        token = self.issue_token()
        if is_started:
            self.start_at_home(token)
        resolver = AttemptResolver(token, self.other)
        assert isinstance(resolver.start(), ForwardToHome)
        assert isinstance(resolver.handle(HomeUnreachable()), AskWitness)
        verdict = self.witness.void(token, self.day.now())
        step = resolver.handle(WitnessAnswered(verdict))
        assert isinstance(step, Answer)
        self.record_outcome(self.other.instance, token, step.outcome)
        if not is_started:
            self.start_voided_token(token)

    def start_voided_token(self, token: Token) -> None:
        """Let the home try to start a token that its witness has voided."""
        procedure = StartProcedure(self.home, token, DIGEST, 1)
        assert isinstance(procedure.begin(self.day.now()), RecordStart)
        recorded = self.witness.record_start(token, self.day.now())
        step = procedure.witness_answered(recorded, self.day.now())
        assert isinstance(step, Answer)
        assert isinstance(step.outcome, NotRun)
        self.record_outcome(self.home.identity.instance, token, step.outcome)

    def issue_token(self) -> Token:
        """Issue a token a second after the last event."""
        self.day.run(1)
        return self.issuer.issue(self.witness.identity, self.day.now())

    def start_at_home(self, token: Token) -> StartProcedure:
        """Start a token's request at its home, recorded by the witness."""
        procedure = StartProcedure(self.home, token, DIGEST, 1)
        assert isinstance(procedure.begin(self.day.now()), RecordStart)
        recorded = self.witness.record_start(token, self.day.now())
        step = procedure.witness_answered(recorded, self.day.now())
        assert isinstance(step, SendToWorker)
        return procedure

    def record_outcome(self, instance: str, token: Token, outcome: Outcome) -> None:
        """Add the outcome that a token's caller received to the transcript."""
        text = f"token {token.sequence} {_describe_outcome(outcome)}"
        self.day.transcript.add(instance, text)


def _describe_outcome(outcome: Outcome) -> str:
    if isinstance(outcome, Done):
        return f"done with status {outcome.status}"
    if isinstance(outcome, NotRun):
        return f"not run: {outcome.reason}"
    return f"outcome unknown: {outcome.reason}"
