"""Requests that run at most once, by idempotency token or the caller's key."""

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
EMPTY_ANSWER = ForwardedAnswer("", 0, (), b"", "", -1.0, "")

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TokenAttempt:
    """An attempt of a request with a token that this instance received."""

    token: Token
    """Token of the request."""

    request: CallerRequest
    """The caller's request."""

    deadline: float
    """Monotonic time in seconds at which the caller stops waiting."""


class TokenPath:
    """Serves requests with an idempotency token or key.

    The home of a token executes the request; other instances forward it there.
    A witness records the start of a token for its home.
    """

    __slots__ = (
        "attempt_ended",
        "claim_binder",
        "clock",
        "home_table",
        "membership",
        "peers",
        "request_path",
        "successors",
        "token_issuer",
        "witness_table",
    )

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        request_path: RequestPath,
        claim_binder: ClaimBinder,
        home_table: HomeTable,
        witness_table: WitnessTable,
        token_issuer: TokenIssuer,
        clock: Callable[[], float],
    ) -> None:
        self.peers = peers
        self.membership = membership
        self.request_path = request_path
        self.claim_binder = claim_binder
        self.home_table = home_table
        self.witness_table = witness_table
        self.token_issuer = token_issuer
        self.clock = clock
        self.successors: dict[PeerIdentity, PeerIdentity] = {}
        self.attempt_ended = Condition()

    def issue(self) -> Token:
        """Return a new token; its witness is a live peer of the zone, if any."""
        peer = self.membership.choose_zone_peer()
        return self.token_issuer.issue(peer, self.clock())

    def serve(self, request: CallerRequest, deadline: float) -> Outcome:
        """Return the outcome of a request with a token or key.

        A key is bound to a token in the store first. ``deadline`` is a monotonic
        time in seconds.
        """
        if is_token_text(request.idempotency_key):
            try:
                token = Token.from_text(request.idempotency_key)
            except TokenMalformed as error:
                return NotRun(f"token malformed: {error}")
            return self._resolve(token, request, deadline)
        bound = self.claim_binder.bind(
            request.idempotency_key,
            self.issue(),
            request.is_first_attempt,
            self.clock(),
            is_retry=request.attempt_number > 1,
        )
        if isinstance(bound, BindRefused):
            if bound.not_run:
                return NotRun(bound.reason, 1.0)
            return Unknown(bound.reason)
        return self._resolve(bound.token, request, deadline)

    def serve_forwarded(self, message: ForwardedRequest, reply: SendReply) -> None:
        """Execute a request that a peer forwarded to this instance as its home.

        Raises ``TokenMalformed`` or ``RequestInvalid``.
        """
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
        deadline = self.clock() + message.deadline_ms / 1000
        outcome = self._run_as_home(token, request, deadline)
        if outcome is None:
            reply(ForwardedAnswer(NOT_HOME, 0, (), b"", "", -1.0, request.request_id))
        else:
            reply(encode_outcome(outcome, request.request_id))

    def answer_witness_start(self, message: WitnessStart, reply: SendReply) -> None:
        """Record the start of a token as its witness, and reply with the result."""
        token = Token.from_text(message.token)
        recorded = self.witness_table.record_start(token, self.clock())
        reply(WitnessAnswer("recorded" if recorded else "refused", EMPTY_ANSWER))

    def answer_witness_void(self, message: WitnessVoid, reply: SendReply) -> None:
        """Void a token unless its start is recorded, and reply with its state."""
        verdict = self.witness_table.void(Token.from_text(message.token), self.clock())
        reply(_encode_verdict(verdict))

    def record_witness_outcome(self, message: WitnessRecord) -> None:
        """Record the outcome of a started token as its witness."""
        token = Token.from_text(message.token)
        self.witness_table.record_outcome(token, decode_outcome(message.answer))

    def import_hand_over(self, message: TokenHandOver) -> None:
        """Import a chunk of another home's table.

        After the last chunk of a home this instance is its successor and notifies
        the other instances of the zone.
        """
        own_identity = self.peers.identity
        for home in self.home_table.import_chunk(message.data):
            self.successors[home] = own_identity
            notice = HomeMovedNotice(
                home.instance,
                home.incarnation,
                own_identity.instance,
                own_identity.incarnation,
            )
            for instance in self.peers.list_zone_peers(self.membership.zone):
                self.peers.send(instance, notice)

    def record_successor(self, message: HomeMovedNotice) -> None:
        """Record the successor of a home that shut down."""
        home = PeerIdentity(message.home, message.home_incarnation)
        successor = PeerIdentity(message.successor, message.successor_incarnation)
        self.successors[home] = successor

    def _resolve(
        self, token: Token, request: CallerRequest, deadline: float
    ) -> Outcome:
        own_identity = self.peers.identity
        successor = self.successors.get(token.home_identity)
        attempt = TokenAttempt(token, request, deadline)
        resolver = AttemptResolver(
            token, own_identity, request.is_first_attempt, successor
        )
        step = resolver.start()
        while not isinstance(step, Answer):
            event: AttemptEvent = DeadlinePassed()
            if self.clock() < deadline:
                event = self._perform_step(step, attempt)
            step = resolver.handle(event)
        return step.outcome

    @singledispatchmethod
    def _perform_step(self, step: AttemptStep, attempt: TokenAttempt) -> AttemptEvent:
        raise TypeError(f"unexpected step {step!r} of {attempt.token}")

    @_perform_step.register
    def _(self, step: RunLocally, attempt: TokenAttempt) -> AttemptEvent:
        del step
        outcome = self._run_as_home(attempt.token, attempt.request, attempt.deadline)
        return HomeGone() if outcome is None else HomeAnswered(outcome)

    @_perform_step.register
    def _(self, step: ForwardToHome, attempt: TokenAttempt) -> AttemptEvent:
        remaining_s = attempt.deadline - self.clock()
        message = _build_forwarded_request(
            attempt.token, attempt.request, remaining_s * 1000
        )
        try:
            answer = self.peers.call(step.home.instance, message, remaining_s)
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

    @_perform_step.register
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
        """Return the outcome, or None if this process is not the token's home."""
        digest = _digest_request(request)
        begin_result: BeginResult = InProgress()
        while isinstance(begin_result, InProgress):
            begin_result = self.home_table.begin(
                token, digest, self.clock(), request.attempt_number
            )
            if isinstance(begin_result, InProgress) and not self._wait_for_attempt_end(
                deadline
            ):
                return Unknown("deadline")
        if not isinstance(begin_result, StartAllowed):
            return begin_outcome(begin_result)
        return self._run_once(token, request, deadline)

    def _run_once(
        self, token: Token, request: CallerRequest, deadline: float
    ) -> Outcome:
        try:
            outcome = self.request_path.execute(
                request, deadline, lambda: self._record_start(token)
            )
        except Exception:
            # Without an outcome the token would stay in the state "running".
            self._finish(token, Unknown("internal error"))
            raise
        return self._finish(token, outcome)

    def _record_start(self, token: Token) -> NotRun | None:
        """Record the start with the witness; return None if the request may start.

        A token without a witness is recorded in the home table only.
        """
        refusal = (
            self._request_witness_record(token) if token.witness is not None else None
        )
        if refusal is not None:
            self.home_table.refuse_start(token)
            return NotRun(refusal)
        if not self.home_table.confirm_start(token):
            return NotRun(NotRunReason.TOKEN_VOID)
        return None

    def _request_witness_record(self, token: Token) -> NotRunReason | None:
        """Return None if the witness recorded the start, otherwise the reason."""
        message = WitnessStart(token.to_text())
        try:
            answer = self.peers.call(token.witness or "", message, WITNESS_TIMEOUT_S)
        except PeeringError:
            return NotRunReason.WITNESS_UNAVAILABLE
        if isinstance(answer, WitnessAnswer) and answer.verdict == "recorded":
            return None
        return NotRunReason.TOKEN_VOID

    def _finish(self, token: Token, outcome: Outcome) -> Outcome:
        outcome = self.home_table.finish(token, outcome, self.clock())
        if token.witness is not None:
            message = WitnessRecord(token.to_text(), encode_outcome(outcome, ""))
            self.peers.send(token.witness, message)
        with self.attempt_ended:
            self.attempt_ended.notify_all()
        return outcome

    def _wait_for_attempt_end(self, deadline: float) -> bool:
        remaining_s = deadline - self.clock()
        if remaining_s <= 0:
            return False
        with self.attempt_ended:
            self.attempt_ended.wait(min(remaining_s, WITNESS_TIMEOUT_S))
        return True


def _digest_request(request: CallerRequest) -> bytes:
    """Return a digest of the parts that are equal in all attempts of a token."""
    digest = blake2b(digest_size=16)
    for value in (request.method, request.pool, request.path):
        digest.update(value.encode() + b"\0")
    digest.update(request.body)
    return digest.digest()


def _build_forwarded_request(
    token: Token, request: CallerRequest, remaining_ms: float
) -> Message:
    headers = tuple(Header(name, value) for name, value in request.headers)
    return ForwardedRequest(
        request.request_id,
        token.to_text(),
        request.method,
        request.target,
        headers,
        request.body,
        remaining_ms,
    )


def _encode_verdict(verdict: WitnessVerdict) -> WitnessAnswer:
    if isinstance(verdict, Finished):
        return WitnessAnswer("finished", encode_outcome(verdict.outcome, ""))
    names = {NeverStarted: "never-started", Started: "started", NotWitness: "other"}
    return WitnessAnswer(names[type(verdict)], EMPTY_ANSWER)


def _decode_verdict(answer: WitnessAnswer) -> WitnessVerdict:
    if answer.verdict == "finished":
        return Finished(decode_outcome(answer.answer))
    if answer.verdict == "never-started":
        return NeverStarted()
    return Started() if answer.verdict == "started" else NotWitness()
