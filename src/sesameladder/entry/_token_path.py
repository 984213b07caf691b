"""Requests that may run at most once: tokens, callers' keys and forwarding."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from hashlib import blake2b
from threading import Condition

from sesameladder.entry._membership import Membership
from sesameladder.entry._request import CallerRequest, build_request
from sesameladder.entry._request_path import RequestPath
from sesameladder.entry._responses import decode_outcome, encode_outcome
from sesameladder.idempotency import (
    Answer,
    AskWitness,
    AttemptEvent,
    AttemptResolver,
    AttemptStep,
    BeginResult,
    BindRefused,
    ClaimBinder,
    DeadlinePassed,
    Finished,
    ForwardToHome,
    HomeAnswered,
    HomeGone,
    HomeMoved,
    HomeTable,
    HomeUnreachable,
    InProgress,
    NeverStarted,
    NotRun,
    NotRunReason,
    NotWitness,
    Outcome,
    RunLocally,
    StartAllowed,
    Started,
    Token,
    TokenIssuer,
    TokenMalformed,
    Unknown,
    WitnessAnswered,
    WitnessTable,
    WitnessUnreachable,
    WitnessVerdict,
    begin_outcome,
    is_token_text,
)
from sesameladder.model import PeerIdentity
from sesameladder.peering import (
    ForwardedAnswer,
    ForwardedRequest,
    Header,
    HomeMovedNotice,
    Message,
    PeeringError,
    Peers,
    PeerUnreachable,
    SendReply,
    TokenHandOver,
    WitnessAnswer,
    WitnessRecord,
    WitnessStart,
    WitnessVoid,
)

WITNESS_TIMEOUT_S = 0.5
NOT_HOME = "not-home"
NO_ANSWER = ForwardedAnswer("", 0, (), b"", "", -1.0, "")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TokenAttempt:
    """One attempt of a token at this instance."""

    token: Token
    """Token of the request."""

    request: CallerRequest
    """The caller's request."""

    deadline: float
    """Monotonic time in seconds."""


class TokenPath:
    """Serves requests with a token or key, as their home or on its behalf."""

    __slots__ = (
        "claims",
        "ended",
        "home",
        "issuer",
        "membership",
        "now",
        "path",
        "peers",
        "successors",
        "witness",
    )

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        path: RequestPath,
        claims: ClaimBinder,
        home: HomeTable,
        witness: WitnessTable,
        issuer: TokenIssuer,
        now: Callable[[], float],
    ) -> None:
        self.peers = peers
        self.membership = membership
        self.path = path
        self.claims = claims
        self.home = home
        self.witness = witness
        self.issuer = issuer
        self.now = now
        self.successors: dict[PeerIdentity, PeerIdentity] = {}
        self.ended = Condition()

    def issue(self) -> Token:
        """Return a new token with a live peer of the zone as its witness."""
        peer = self.membership.choose_zone_peer()
        return self.issuer.issue(peer, self.now())

    def serve(self, request: CallerRequest, deadline: float) -> Outcome:
        """Return the outcome of a request with a token or key."""
        if is_token_text(request.key):
            try:
                token = Token.from_text(request.key)
            except TokenMalformed as error:
                return NotRun(f"token malformed: {error}")
            return self._resolve(token, request, deadline)
        bound = self.claims.bind(
            request.key,
            self.issue(),
            request.first_attempt,
            self.now(),
            is_retry=request.attempt_number > 1,
        )
        if isinstance(bound, BindRefused):
            if bound.not_run:
                return NotRun(bound.reason, 1.0)
            return Unknown(bound.reason)
        return self._resolve(bound.token, request, deadline)

    def serve_forwarded(self, message: ForwardedRequest, reply: SendReply) -> None:
        """Run a request that a peer forwarded to this instance as its home."""
        token = Token.from_text(message.token)
        headers = [(header.name, header.value) for header in message.headers]
        request = build_request(
            message.request_id,
            message.method,
            message.path,
            headers,
            message.body,
            message.deadline_ms,
        )
        deadline = self.now() + message.deadline_ms / 1000
        outcome = self._run_as_home(token, request, deadline)
        if outcome is None:
            reply(ForwardedAnswer(NOT_HOME, 0, (), b"", "", -1.0, request.request_id))
        else:
            reply(encode_outcome(outcome, request.request_id))

    def answer_start(self, message: WitnessStart, reply: SendReply) -> None:
        """Record the start of a token for its home."""
        token = Token.from_text(message.token)
        recorded = self.witness.record_start(token, self.now())
        reply(WitnessAnswer("recorded" if recorded else "refused", NO_ANSWER))

    def answer_void(self, message: WitnessVoid, reply: SendReply) -> None:
        """Void a token unless its start is recorded."""
        verdict = self.witness.void(Token.from_text(message.token), self.now())
        reply(_encode_verdict(verdict))

    def record_answer(self, message: WitnessRecord) -> None:
        """Keep the outcome of a started token."""
        token = Token.from_text(message.token)
        self.witness.record_answer(token, decode_outcome(message.answer))

    def adopt(self, message: TokenHandOver) -> None:
        """Take in a part of a home's table; tell the zone when it is complete."""
        own = self.peers.identity
        for home in self.home.import_chunk(message.data):
            self.successors[home] = own
            notice = HomeMovedNotice(
                home.instance, home.incarnation, own.instance, own.incarnation
            )
            for instance in self.peers.list_zone_peers(self.membership.zone):
                self.peers.send(instance, notice)

    def note_successor(self, message: HomeMovedNotice) -> None:
        """Record who answers for a home that shut down."""
        home = PeerIdentity(message.home, message.home_incarnation)
        successor = PeerIdentity(message.successor, message.successor_incarnation)
        self.successors[home] = successor

    def _resolve(
        self, token: Token, request: CallerRequest, deadline: float
    ) -> Outcome:
        here = self.peers.identity
        successor = self.successors.get(token.home_identity)
        attempt = TokenAttempt(token, request, deadline)
        resolver = AttemptResolver(token, here, request.first_attempt, successor)
        step = resolver.start()
        while not isinstance(step, Answer):
            event: AttemptEvent = DeadlinePassed()
            if self.now() < deadline:
                event = self._take_step(step, attempt)
            step = resolver.handle(event)
        return step.outcome

    @singledispatchmethod
    def _take_step(self, step: AttemptStep, attempt: TokenAttempt) -> AttemptEvent:
        raise TypeError(f"unexpected step {step!r} of {attempt.token}")

    @_take_step.register
    def _(self, step: RunLocally, attempt: TokenAttempt) -> AttemptEvent:
        del step
        outcome = self._run_as_home(attempt.token, attempt.request, attempt.deadline)
        return HomeGone() if outcome is None else HomeAnswered(outcome)

    @_take_step.register
    def _(self, step: ForwardToHome, attempt: TokenAttempt) -> AttemptEvent:
        left_s = attempt.deadline - self.now()
        message = _forward(attempt.token, attempt.request, left_s * 1000)
        try:
            answer = self.peers.call(step.home.instance, message, left_s)
        except PeerUnreachable:
            return HomeUnreachable(possibly_delivered=False)
        except PeeringError:
            return HomeUnreachable()
        if not isinstance(answer, ForwardedAnswer):
            return HomeUnreachable()
        if answer.outcome == NOT_HOME:
            successor = self.successors.get(attempt.token.home_identity)
            return HomeMoved(successor) if successor else HomeGone()
        return HomeAnswered(decode_outcome(answer))

    @_take_step.register
    def _(self, step: AskWitness, attempt: TokenAttempt) -> AttemptEvent:
        message = WitnessVoid(attempt.token.to_text())
        try:
            answer = self.peers.call(step.witness.instance, message, WITNESS_TIMEOUT_S)
        except PeeringError:
            return WitnessUnreachable()
        if not isinstance(answer, WitnessAnswer):
            return WitnessUnreachable()
        return WitnessAnswered(_decode_verdict(answer))

    def _run_as_home(
        self, token: Token, request: CallerRequest, deadline: float
    ) -> Outcome | None:
        """Return the outcome, or None when this process is not the home."""
        digest = _digest_request(request)
        begin: BeginResult = InProgress()
        while isinstance(begin, InProgress):
            begin = self.home.begin(token, digest, self.now(), request.attempt_number)
            if isinstance(begin, InProgress) and not self._wait_for_end(deadline):
                return Unknown("deadline")
        if not isinstance(begin, StartAllowed):
            return begin_outcome(begin)
        return self._run_once(token, request, deadline)

    def _run_once(
        self, token: Token, request: CallerRequest, deadline: float
    ) -> Outcome:
        try:
            outcome = self.path.execute(
                request, deadline, lambda: self._record_start(token)
            )
        except Exception:
            # The home must not stay "running" for ever when the path fails.
            self._finish(token, Unknown("internal error"))
            raise
        return self._finish(token, outcome)

    def _record_start(self, token: Token) -> NotRun | None:
        """Have the witness record the start; returns why it may not start."""
        refusal = self._ask_witness(token) if token.witness is not None else None
        if refusal is not None:
            self.home.refuse_start(token)
            return NotRun(refusal)
        if not self.home.confirm_start(token):
            return NotRun(NotRunReason.TOKEN_VOID)
        return None

    def _ask_witness(self, token: Token) -> NotRunReason | None:
        """Return why the start was not recorded, or None when it was."""
        message = WitnessStart(token.to_text())
        try:
            answer = self.peers.call(token.witness or "", message, WITNESS_TIMEOUT_S)
        except PeeringError:
            return NotRunReason.WITNESS_UNAVAILABLE
        if isinstance(answer, WitnessAnswer) and answer.verdict == "recorded":
            return None
        return NotRunReason.TOKEN_VOID

    def _finish(self, token: Token, outcome: Outcome) -> Outcome:
        outcome = self.home.finish(token, outcome, self.now())
        if token.witness is not None:
            record = WitnessRecord(token.to_text(), encode_outcome(outcome, ""))
            self.peers.send(token.witness, record)
        with self.ended:
            self.ended.notify_all()
        return outcome

    def _wait_for_end(self, deadline: float) -> bool:
        left_s = deadline - self.now()
        if left_s <= 0:
            return False
        with self.ended:
            self.ended.wait(min(left_s, WITNESS_TIMEOUT_S))
        return True


def _digest_request(request: CallerRequest) -> bytes:
    """Return what has to be equal in all attempts of a token."""
    digest = blake2b(digest_size=16)
    for part in (request.method, request.pool, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()


def _forward(token: Token, request: CallerRequest, left_ms: float) -> Message:
    headers = tuple(Header(name, value) for name, value in request.headers)
    return ForwardedRequest(
        request.request_id,
        token.to_text(),
        request.method,
        request.target,
        headers,
        request.body,
        left_ms,
    )


def _encode_verdict(verdict: WitnessVerdict) -> WitnessAnswer:
    if isinstance(verdict, Finished):
        return WitnessAnswer("finished", encode_outcome(verdict.outcome, ""))
    names = {NeverStarted: "never-started", Started: "started", NotWitness: "other"}
    return WitnessAnswer(names[type(verdict)], NO_ANSWER)


def _decode_verdict(answer: WitnessAnswer) -> WitnessVerdict:
    if answer.verdict == "finished":
        return Finished(decode_outcome(answer.answer))
    if answer.verdict == "never-started":
        return NeverStarted()
    return Started() if answer.verdict == "started" else NotWitness()
