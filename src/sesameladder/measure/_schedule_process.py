"""An entry process of the schedules: the product's tables and procedures.

It only carries messages between the objects of ``sesameladder.idempotency``.
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
from sesameladder.measure._schedule_network import Network, Owner, Schedule

MAX_RUN_SECONDS = 1.5
FORWARD_TIMEOUT_SECONDS = 2.5
WRITES_PER_SECOND = 50.0

Respond = Callable[[Outcome | None], None]


@dataclass(frozen=True, slots=True)
class AttemptMessage:
    """One attempt as the caller sends it."""

    request: int
    """Number of the logical request."""

    ticket: str
    """Token text or the caller's own key."""

    ordinal: int
    """Number of the attempt with this ticket, from 1."""

    is_stated: bool
    """Whether the caller states the number."""

    @property
    def stated_number(self) -> int:
        """The stated number, or 0."""
        return self.ordinal if self.is_stated else 0

    @property
    def digest(self) -> bytes:
        """Digest of the request's content."""
        return str(self.request).encode()


@dataclass(frozen=True, slots=True)
class Variant:
    """The classes that a schedule runs; tests replace one by a faulty one."""

    resolver: type[AttemptResolver] = AttemptResolver
    """Decides at the receiving entry."""

    home: type[HomeTable] = HomeTable
    """Decides at the home."""

    witness: type[WitnessTable] = WitnessTable
    """Decides at the witness."""

    binder: type[ClaimBinder] = ClaimBinder
    """Binds callers' keys."""


class Upstream:
    """Counts the runs that reach the workers."""

    __slots__ = ("on_run",)

    def __init__(self, on_run: Callable[[AttemptMessage], None]) -> None:
        self.on_run = on_run


class Process(Owner):
    """One incarnation of an entry instance."""

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
        self.home = variant.home(identity.instance, identity.incarnation)
        self.witness = variant.witness(identity.instance, identity.incarnation)
        self.binder = binder
        self.successors: dict[PeerIdentity, PeerIdentity] = {}
        self.waiting: dict[Token, list[Respond]] = {}

    def issue(self) -> Token:
        """Return a token with a live peer as witness, if there is one."""
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
        """Handle an attempt that came from a caller."""
        bound = self._bind(message)
        if isinstance(bound, BindRefused):
            refused = NotRun(bound.reason) if bound.not_run else Unknown(bound.reason)
            respond(refused)
            return
        first = message.stated_number == 1
        successor = self.successors.get(bound.token.home_identity)
        resolver = self.variant.resolver(bound.token, self.identity, first, successor)
        self._carry_out(resolver, resolver.start(), message, respond)

    def _bind(self, message: AttemptMessage) -> Bound | BindRefused:
        if message.ticket.startswith("slt1."):
            return Bound(Token.from_text(message.ticket), False)
        first = message.stated_number == 1
        is_retry = message.stated_number > 1
        now = self.schedule.now
        return self.binder.bind(message.ticket, self.issue(), first, now, is_retry)

    def _carry_out(
        self,
        resolver: AttemptResolver,
        step: AttemptStep,
        message: AttemptMessage,
        respond: Respond,
    ) -> None:
        def handle(event: AttemptEvent) -> None:
            self._carry_out(resolver, resolver.handle(event), message, respond)

        def home_ended(outcome: Outcome | None) -> None:
            handle(self._home_event(resolver, outcome))

        match step:
            case Answer(outcome):
                respond(outcome)
            case RunLocally():
                self.run_as_home(resolver.token, message, home_ended)
            case ForwardToHome(home):
                self.network.call(
                    self,
                    home,
                    lambda peer, answer: peer.run_as_home(
                        resolver.token, message, answer
                    ),
                    home_ended,
                    lambda sent: handle(HomeUnreachable(sent)),
                    FORWARD_TIMEOUT_SECONDS,
                )
            case AskWitness(witness):
                self._ask(witness, resolver.token, handle)

    def _home_event(
        self, resolver: AttemptResolver, outcome: Outcome | None
    ) -> HomeAnswered | HomeGone | HomeMoved:
        if outcome is not None:
            return HomeAnswered(outcome)
        successor = self.successors.get(resolver.token.home_identity)
        return HomeMoved(successor) if successor else HomeGone()

    def _ask(
        self,
        witness: PeerIdentity,
        token: Token,
        handle: Callable[[AttemptEvent], None],
    ) -> None:
        if witness == self.identity:
            handle(WitnessAnswered(self.witness.void(token, self.schedule.now)))
            return

        def void(peer: "Process", answer: Callable[[WitnessVerdict], None]) -> None:
            answer(peer.witness.void(token, self.schedule.now))

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
        """Handle an attempt of a token that this process may answer for."""
        start = StartProcedure(self.home, token, message.digest, message.stated_number)
        self._follow(start, start.begin(self.schedule.now), message, respond)

    def _follow(
        self,
        start: StartProcedure,
        step: StartStep,
        message: AttemptMessage,
        respond: Respond,
    ) -> None:
        match step:
            case Answer(outcome):
                self._answer_all(start.token, outcome, respond)
            case WaitForRun():
                self.waiting.setdefault(start.token, []).append(respond)
            case ReportNotHome():
                respond(None)
            case RecordStart(witness):
                self._record_start(start, witness, message, respond)
            case SendToWorker():
                self.schedule.after(
                    self.schedule.travel_time(),
                    self,
                    lambda: self._run(start, message, respond),
                )

    def _record_start(
        self,
        start: StartProcedure,
        witness: PeerIdentity,
        message: AttemptMessage,
        respond: Respond,
    ) -> None:
        if self.schedule.chance(self.schedule.rates.refuse):
            refused = NotRun(NotRunReason.QUEUE_LIMIT, 1.0)
            step = start.finish(refused, self.schedule.now)
            self._follow(start, step, message, respond)
            return

        def record(peer: "Process", answer: Callable[[bool], None]) -> None:
            answer(peer.witness.record_start(start.token, self.schedule.now))

        def recorded(allowed: bool) -> None:
            step = start.witness_answered(allowed, self.schedule.now)
            self._follow(start, step, message, respond)

        def unreachable(_: bool) -> None:
            step = start.witness_unreachable(self.schedule.now)
            self._follow(start, step, message, respond)

        self.network.call(self, witness, record, recorded, unreachable)

    def _run(
        self, start: StartProcedure, message: AttemptMessage, respond: Respond
    ) -> None:
        """Send the request to a worker, which may refuse or lose its answer."""
        outcome: Outcome = NotRun(NotRunReason.WORKER_REFUSED)
        if not self.schedule.chance(self.schedule.rates.refuse):
            self.upstream.on_run(message)
            outcome = Done(200, (), message.digest)
            if self.schedule.chance(self.schedule.rates.lose):
                outcome = Unknown("worker-answer-lost")

        def end() -> None:
            step = start.finish(outcome, self.schedule.now)
            self._pass_answer(start.token, step.outcome)
            self._follow(start, step, message, respond)

        self.schedule.after(
            self.schedule.random.uniform(0.0, MAX_RUN_SECONDS), self, end
        )

    def _pass_answer(self, token: Token, outcome: Outcome) -> None:
        witness = token.witness_identity
        if witness is None:
            return

        def keep(peer: "Process", answer: Callable[[None], None]) -> None:
            peer.witness.record_answer(token, outcome)
            answer(None)

        self.network.call(self, witness, keep, _ignore, _ignore)

    def _answer_all(self, token: Token, outcome: Outcome, respond: Respond) -> None:
        for waiting in [respond, *self.waiting.pop(token, [])]:
            waiting(outcome)

    def hand_over(self, peers: list["Process"], ended: Callable[[], None]) -> None:
        """Send the table to the given peers, then end."""
        parts = self.home.export_chunks()
        left = [len(parts) * len(peers)]

        def count(_: object) -> None:
            left[0] -= 1
            if left[0] == 0:
                ended()

        if not peers:
            ended()
        for peer in peers:
            for part in parts:
                self._send_part(peer.identity, part, count)

    def _send_part(
        self, target: PeerIdentity, part: bytes, count: Callable[[object], None]
    ) -> None:
        def take(peer: "Process", answer: Callable[[None], None]) -> None:
            peer.adopt(part)
            answer(None)

        self.network.call(self, target, take, count, count)

    def adopt(self, part: bytes) -> None:
        """Take in a part of a peer's table and announce the homes adopted."""
        for home in sorted(self.home.import_chunk(part), key=str):
            self.successors[home] = self.identity
            for identity, _ in list(self.network.processes.values()):
                self._announce(identity, home)

    def _announce(self, target: PeerIdentity, home: PeerIdentity) -> None:
        def learn(peer: "Process", answer: Callable[[None], None]) -> None:
            peer.successors[home] = self.identity
            answer(None)

        self.network.call(self, target, learn, _ignore, _ignore)


def _ignore(_: object) -> None:
    """Disregard the end of a call whose loss does no harm."""
