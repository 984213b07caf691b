"""A simulated entry process with the tables and procedures of the at-most-once path.

It only passes messages between the objects of ``sesameladder.idempotency``.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesameladder.idempotency import (
    Answer,
    AskWitness,
    AttemptEvent,
    AttemptResolver,
    AttemptStep,
    BindRefused,
    Bound,
    ClaimBinder,
    Done,
    ForwardToHome,
    HomeAnswered,
    HomeGone,
    HomeMoved,
    HomeTable,
    HomeUnreachable,
    NotRun,
    NotRunReason,
    Outcome,
    PeerIdentity,
    RecordStart,
    ReportNotHome,
    RunLocally,
    SendToWorker,
    StartProcedure,
    StartStep,
    Token,
    TokenIssuer,
    Unknown,
    WaitForRun,
    WitnessAnswered,
    WitnessTable,
    WitnessUnreachable,
    WitnessVerdict,
)
from sesameladder.measure._schedule_network import Network, Schedule, SimulatedProcess

MAX_RUN_SECONDS = 1.5
FORWARD_TIMEOUT_SECONDS = 2.5
WRITES_PER_SECOND = 50.0

Respond = Callable[[Outcome | None], None]


@dataclass(frozen=True, slots=True)
class AttemptMessage:
    """An attempt as sent by a caller."""

    request: int
    """Number of the logical request."""

    idempotency_key: str
    """Text of a token, or a key chosen by the caller."""

    attempt: int
    """Number of the attempt with this key, from 1."""

    states_attempt: bool
    """Whether the caller sends the number of the attempt."""

    @property
    def stated_attempt(self) -> int:
        """Number of the attempt that the caller sends; 0 if it sends none."""
        return self.attempt if self.states_attempt else 0

    @property
    def digest(self) -> bytes:
        """Digest of the request's content."""
        return str(self.request).encode()


@dataclass(frozen=True, slots=True)
class Variant:
    """Classes that a schedule runs; tests replace one of them by a faulty class."""

    resolver: type[AttemptResolver] = AttemptResolver
    """Handles attempts at the entry instance that receives them."""

    home_table: type[HomeTable] = HomeTable
    """Table of the home of a token."""

    witness_table: type[WitnessTable] = WitnessTable
    """Table of the witness of a token."""

    binder: type[ClaimBinder] = ClaimBinder
    """Binds keys chosen by callers to tokens."""


class Upstream:
    """Workers; each run is reported to ``on_run``."""

    __slots__ = ("on_run",)

    def __init__(self, on_run: Callable[[AttemptMessage], None]) -> None:
        self.on_run = on_run


class Process(SimulatedProcess):
    """An incarnation of an entry instance."""

    def __init__(
        self,
        identity: PeerIdentity,
        network: Network["Process"],
        binder: ClaimBinder,
        variant: Variant,
        upstream: Upstream,
    ) -> None:
        super().__init__()
        self.identity = identity
        self.network = network
        self.schedule: Schedule = network.schedule
        self.variant = variant
        self.upstream = upstream
        self.issuer = TokenIssuer(
            identity.instance, identity.incarnation, random_source=self.schedule.random
        )
        self.home_table = variant.home_table(identity.instance, identity.incarnation)
        self.witness_table = variant.witness_table(
            identity.instance, identity.incarnation
        )
        self.binder = binder
        self.successors: dict[PeerIdentity, PeerIdentity] = {}
        self.waiting: dict[Token, list[Respond]] = {}

    def issue_token(self) -> Token:
        """Return a token whose witness is a running peer, or none if no peer runs."""
        peers = sorted(
            (
                identity
                for identity, process in self.network.processes.values()
                if process.alive and identity.instance != self.identity.instance
            ),
            key=str,
        )
        witness = self.schedule.random.choice(peers) if peers else None
        return self.issuer.issue(witness, self.schedule.now)

    def receive(self, message: AttemptMessage, respond: Respond) -> None:
        """Handle an attempt of a caller."""
        bound = self._bind(message)
        if isinstance(bound, BindRefused):
            refused = NotRun(bound.reason) if bound.not_run else Unknown(bound.reason)
            respond(refused)
            return
        first = message.stated_attempt == 1
        successor = self.successors.get(bound.token.home_identity)
        resolver = self.variant.resolver(bound.token, self.identity, first, successor)
        self._execute_step(resolver, resolver.start(), message, respond)

    def _bind(self, message: AttemptMessage) -> Bound | BindRefused:
        if message.idempotency_key.startswith("slt1."):
            return Bound(Token.from_text(message.idempotency_key), False)
        first = message.stated_attempt == 1
        is_retry = message.stated_attempt > 1
        now = self.schedule.now
        return self.binder.bind(
            message.idempotency_key, self.issue_token(), first, now, is_retry
        )

    def _execute_step(
        self,
        resolver: AttemptResolver,
        step: AttemptStep,
        message: AttemptMessage,
        respond: Respond,
    ) -> None:
        def handle(event: AttemptEvent) -> None:
            self._execute_step(resolver, resolver.handle(event), message, respond)

        def on_home_outcome(outcome: Outcome | None) -> None:
            handle(self._build_home_event(resolver, outcome))

        match step:
            case Answer(outcome):
                respond(outcome)
            case RunLocally():
                self.run_as_home(resolver.token, message, on_home_outcome)
            case ForwardToHome(home):
                self.network.call(
                    self,
                    home,
                    lambda peer, reply: peer.run_as_home(
                        resolver.token, message, reply
                    ),
                    on_home_outcome,
                    lambda sent: handle(HomeUnreachable(sent)),
                    FORWARD_TIMEOUT_SECONDS,
                )
            case AskWitness(witness):
                self._request_void(witness, resolver.token, handle)

    def _build_home_event(
        self, resolver: AttemptResolver, outcome: Outcome | None
    ) -> HomeAnswered | HomeGone | HomeMoved:
        if outcome is not None:
            return HomeAnswered(outcome)
        successor = self.successors.get(resolver.token.home_identity)
        return HomeMoved(successor) if successor else HomeGone()

    def _request_void(
        self,
        witness: PeerIdentity,
        token: Token,
        handle: Callable[[AttemptEvent], None],
    ) -> None:
        if witness == self.identity:
            handle(WitnessAnswered(self.witness_table.void(token, self.schedule.now)))
            return

        def void(peer: "Process", reply: Callable[[WitnessVerdict], None]) -> None:
            reply(peer.witness_table.void(token, self.schedule.now))

        self.network.call(
            self,
            witness,
            void,
            lambda verdict: handle(WitnessAnswered(verdict)),
            lambda _: handle(WitnessUnreachable()),
        )

    def run_as_home(
        self, token: Token, message: AttemptMessage, respond: Respond
    ) -> None:
        """Handle an attempt as the home of its token.

        The response is None if this process is not the home.
        """
        start = StartProcedure(
            self.home_table, token, message.digest, message.stated_attempt
        )
        self._execute_start_step(
            start, start.begin(self.schedule.now), message, respond
        )

    def _execute_start_step(
        self,
        start: StartProcedure,
        step: StartStep,
        message: AttemptMessage,
        respond: Respond,
    ) -> None:
        match step:
            case Answer(outcome):
                self._respond_to_all(start.token, outcome, respond)
            case WaitForRun():
                self.waiting.setdefault(start.token, []).append(respond)
            case ReportNotHome():
                respond(None)
            case RecordStart(witness):
                self._record_start(start, witness, message, respond)
            case SendToWorker():
                self.schedule.call_later(
                    self.schedule.draw_message_delay(),
                    self,
                    lambda: self._run_on_worker(start, message, respond),
                )

    def _record_start(
        self,
        start: StartProcedure,
        witness: PeerIdentity,
        message: AttemptMessage,
        respond: Respond,
    ) -> None:
        if self.schedule.draw_bool(self.schedule.rates.refusal):
            refused = NotRun(NotRunReason.QUEUE_LIMIT, 1.0)
            step = start.finish(refused, self.schedule.now)
            self._execute_start_step(start, step, message, respond)
            return

        def record(peer: "Process", reply: Callable[[bool], None]) -> None:
            reply(peer.witness_table.record_start(start.token, self.schedule.now))

        def recorded(allowed: bool) -> None:
            step = start.witness_answered(allowed, self.schedule.now)
            self._execute_start_step(start, step, message, respond)

        def unreachable(_: bool) -> None:
            step = start.witness_unreachable(self.schedule.now)
            self._execute_start_step(start, step, message, respond)

        self.network.call(self, witness, record, recorded, unreachable)

    def _run_on_worker(
        self, start: StartProcedure, message: AttemptMessage, respond: Respond
    ) -> None:
        """Run the request on a worker, which may refuse it or lose the response."""
        outcome: Outcome = NotRun(NotRunReason.WORKER_REFUSED)
        if not self.schedule.draw_bool(self.schedule.rates.refusal):
            self.upstream.on_run(message)
            outcome = Done(200, (), message.digest)
            if self.schedule.draw_bool(self.schedule.rates.message_loss):
                outcome = Unknown("worker-answer-lost")

        def end() -> None:
            step = start.finish(outcome, self.schedule.now)
            self._send_outcome_to_witness(start.token, step.outcome)
            self._execute_start_step(start, step, message, respond)

        self.schedule.call_later(
            self.schedule.random.uniform(0.0, MAX_RUN_SECONDS), self, end
        )

    def _send_outcome_to_witness(self, token: Token, outcome: Outcome) -> None:
        witness = token.witness_identity
        if witness is None:
            return

        def record(peer: "Process", reply: Callable[[None], None]) -> None:
            peer.witness_table.record_outcome(token, outcome)
            reply(None)

        self.network.call(self, witness, record, _ignore, _ignore)

    def _respond_to_all(self, token: Token, outcome: Outcome, respond: Respond) -> None:
        for waiting in [respond, *self.waiting.pop(token, [])]:
            waiting(outcome)

    def hand_over(self, peers: list["Process"], on_sent: Callable[[], None]) -> None:
        """Send the home table to peers; call ``on_sent`` when every call has ended."""
        chunks = self.home_table.export_chunks()
        pending_sends = [len(chunks) * len(peers)]

        def count_sent(_: object) -> None:
            pending_sends[0] -= 1
            if pending_sends[0] == 0:
                on_sent()

        if not peers:
            on_sent()
        for peer in peers:
            for chunk in chunks:
                self._send_chunk(peer.identity, chunk, count_sent)

    def _send_chunk(
        self, target: PeerIdentity, chunk: bytes, count_sent: Callable[[object], None]
    ) -> None:
        def adopt(peer: "Process", reply: Callable[[None], None]) -> None:
            peer.adopt_chunk(chunk)
            reply(None)

        self.network.call(self, target, adopt, count_sent, count_sent)

    def adopt_chunk(self, chunk: bytes) -> None:
        """Import a chunk of a peer's home table and announce the adopted homes."""
        for home in sorted(self.home_table.import_chunk(chunk), key=str):
            self.successors[home] = self.identity
            for identity, _ in list(self.network.processes.values()):
                self._announce_successor(identity, home)

    def _announce_successor(self, target: PeerIdentity, home: PeerIdentity) -> None:
        def record(peer: "Process", reply: Callable[[None], None]) -> None:
            peer.successors[home] = self.identity
            reply(None)

        self.network.call(self, target, record, _ignore, _ignore)


def _ignore(_: object) -> None:
    """Ignore the result of a call that may fail without consequences."""
