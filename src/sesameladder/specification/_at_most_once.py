"""At-most-once dispatch of one token, with a home or witness that is replaced.

Two attempts of one token arrive at an entry that is not its home. The home
table, witness table, start procedure and resolver of ``sesameladder.idempotency``
make the decisions. The model adds a worker, messages that are lost, delayed or
duplicated, and processes that are replaced and restart with empty tables.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from typing import NamedTuple

import minicheck

from sesameladder.idempotency import (
    Answer,
    AskWitness,
    AttemptEvent,
    AttemptResolver,
    Done,
    Finished,
    HomeAnswered,
    HomeGone,
    HomeTable,
    HomeUnreachable,
    NeverStarted,
    NotRun,
    NotWitness,
    Outcome,
    PeerIdentity,
    RecordStart,
    ReportNotHome,
    SendToWorker,
    Started,
    StartProcedure,
    Token,
    Unknown,
    WitnessAnswered,
    WitnessTable,
    WitnessUnreachable,
    WitnessVerdict,
)
from sesameladder.specification._protocol import build_protocol

TOKEN = Token("home", 1, "witness", 1, 1, 1.0)
TOKEN_WITHOUT_WITNESS = Token("home", 1, None, 0, 1, 1.0)
RECEIVING_ENTRY = PeerIdentity("entry", 1)
REQUEST_DIGEST = b"request"
DONE = Done(200, (), b"")
RESPONSE_LOST = Unknown("worker-answer-lost")
WORKER_REFUSED = NotRun("worker-refused")
OUTCOME_NAMES = frozenset({"Done", "NotRun", "Unknown"})
NOW_S = 0.0
OUTCOMES: dict[str, Outcome] = {
    "done": DONE,
    "lost": RESPONSE_LOST,
    "worker-refused": WORKER_REFUSED,
}
VERDICTS: dict[str, WitnessVerdict] = {
    "never-started": NeverStarted(),
    "started": Started(),
    "finished": Finished(DONE),
    "other": NotWitness(),
}


@dataclass(frozen=True, slots=True)
class AtMostOnceRules:
    """The classes that make the decisions; a broken variant replaces one."""

    home_table: type[HomeTable] = HomeTable
    """Records the home's starts and outcomes."""

    witness_table: type[WitnessTable] = WitnessTable
    """Records starts, voids and outcomes for the home."""

    resolver: type[AttemptResolver] = AttemptResolver
    """Decides how the entry that received an attempt answers it."""

    start_procedure: type[StartProcedure] = StartProcedure
    """Decides whether the home starts an attempt."""

    token: Token = TOKEN
    """Token of both attempts, with or without a witness."""


class AtMostOnceState(NamedTuple):
    """State of the home, the witness, the worker, the entry and the network."""

    home_calls: tuple[str, ...] = ()
    """Calls that led to the home's record; ``replaced`` first after a replacement."""

    witness_calls: tuple[str, ...] = ()
    """Calls that led to the witness's record, as for the home."""

    worker: str = "idle"
    """State of the request at the worker: idle, sent, ran or refused."""

    run_count: int = 0
    """Number of times that a worker ran the request."""

    attempts: tuple[str, str] = ("unsent", "unsent")
    """State of each attempt, sorted: unsent, waiting, asking or the outcome's type.

    ``waiting`` waits for the home, ``asking`` for the witness.
    """

    messages: frozenset[str] = frozenset()
    """Every message sent so far; both attempts receive the same answers."""

    faults_stopped: bool = False
    """Whether faults have stopped."""

    def send(self, *messages: str) -> "AtMostOnceState":
        """Return the state with additional messages."""
        return self._replace(messages=self.messages | set(messages))

    def with_attempt(self, before: str, after: str) -> "AtMostOnceState":
        """Return the state with one attempt moved from ``before`` to ``after``."""
        attempts = list(self.attempts)
        attempts.remove(before)
        first, second = sorted([*attempts, after])
        return self._replace(attempts=(first, second))


class IdempotencyTables:
    """Runs calls on the tables and the resolver of ``sesameladder.idempotency``.

    The state holds calls instead of tables, because it has to be immutable. Each
    call rebuilds its table from the calls that led to the record.
    """

    def __init__(self, rules: AtMostOnceRules) -> None:
        self.rules = rules
        self.call_home = cache(self._call_home)
        self.call_witness = cache(self._call_witness)
        self.resolve = cache(self._resolve)

    def _build_home(self, calls: tuple[str, ...]) -> StartProcedure:
        incarnation = 2 if "replaced" in calls else 1
        table = self.rules.home_table("home", incarnation)
        procedure = self.rules.start_procedure(
            table, self.rules.token, REQUEST_DIGEST, 0
        )
        for call in calls:
            _execute_home_call(procedure, call)
        return procedure

    def _call_home(
        self, calls: tuple[str, ...], call: str
    ) -> tuple[str, tuple[str, ...]]:
        """Return the name of the home's step and the calls that lead to its record."""
        procedure = self._build_home(calls)
        before = procedure.table.state_of(self.rules.token)
        step = _execute_home_call(procedure, call)
        changed = procedure.table.state_of(self.rules.token) != before
        return step, (*calls, call) if changed else calls

    def _call_witness(
        self, calls: tuple[str, ...], call: str
    ) -> tuple[str, tuple[str, ...]]:
        """Return the witness's answer and the calls that lead to its record."""
        table = self.rules.witness_table("witness", 2 if "replaced" in calls else 1)
        for earlier in calls:
            _execute_witness_call(table, self.rules.token, earlier)
        before = table.state_of(self.rules.token)
        answer = _execute_witness_call(table, self.rules.token, call)
        changed = table.state_of(self.rules.token) != before
        return answer, (*calls, call) if changed else calls

    def _resolve(self, events: tuple[str, ...]) -> str:
        """Return the state of an attempt after the given events."""
        resolver = self.rules.resolver(self.rules.token, RECEIVING_ENTRY)
        step = resolver.start()
        for event in events:
            step = resolver.handle(EVENTS[event])
        if isinstance(step, Answer):
            return type(step.outcome).__name__
        return "asking" if isinstance(step, AskWitness) else "waiting"


EVENTS: dict[str, AttemptEvent] = {
    "home-lost": HomeUnreachable(),
    "home-gone": HomeGone(),
    "witness-lost": WitnessUnreachable(),
    "Done": HomeAnswered(DONE),
    "NotRun": HomeAnswered(WORKER_REFUSED),
    "Unknown": HomeAnswered(RESPONSE_LOST),
    **{name: WitnessAnswered(verdict) for name, verdict in VERDICTS.items()},
}


def _execute_home_call(procedure: StartProcedure, call: str) -> str:
    if call == "replaced":
        return ""
    if call == "begin":
        step = procedure.begin(NOW_S)
    elif call in OUTCOMES:
        step = procedure.finish(OUTCOMES[call], NOW_S)
    elif call == "witness-lost":
        step = procedure.witness_unreachable(NOW_S)
    else:
        step = procedure.witness_answered(call == "recorded", NOW_S)
    return type(step.outcome).__name__ if isinstance(step, Answer) else str(type(step))


def _execute_witness_call(table: WitnessTable, token: Token, call: str) -> str:
    if call == "replaced":
        return ""
    if call == "record start":
        return "recorded" if table.record_start(token, NOW_S) else "refused"
    if call == "record outcome":
        table.record_outcome(token, DONE)
        return ""
    verdict = table.void(token, NOW_S)
    return next(name for name, known in VERDICTS.items() if known == verdict)


REPORT_NOT_HOME, RECORD_START, SEND_TO_WORKER = (
    str(ReportNotHome),
    str(RecordStart),
    str(SendToWorker),
)


class AtMostOnceProtocol:
    """The steps and faults of the protocol under given rules."""

    def __init__(self, rules: AtMostOnceRules) -> None:
        self.tables = IdempotencyTables(rules)

    def steps(self, state: AtMostOnceState) -> Iterator[tuple[str, AtMostOnceState]]:
        """Return the steps that involve no fault."""
        if "unsent" in state.attempts:
            sent = state.with_attempt("unsent", "waiting").send("forward")
            yield "an attempt is forwarded", sent
        if "forward" in state.messages:
            yield "home receives an attempt", self._receive_attempt(state)
        yield from self._list_start_steps(state)
        yield from self._list_worker_steps(state)
        yield from self._list_witness_steps(state)
        yield from self._list_entry_steps(state)

    def faults(self, state: AtMostOnceState) -> Iterator[tuple[str, AtMostOnceState]]:
        """Return replacements of processes and the loss of the worker's response.

        Other messages need no fault: they stay in the state and are optional.
        """
        if "replaced" not in state.home_calls:
            yield "home is replaced", state._replace(home_calls=("replaced",))
        if "replaced" not in state.witness_calls:
            yield "witness is replaced", state._replace(witness_calls=("replaced",))
        if state.worker == "ran" and _is_running(state):
            yield "worker's response is lost", self._apply_home_call(state, "lost")

    def _apply_home_call(self, state: AtMostOnceState, call: str) -> AtMostOnceState:
        step, calls = self.tables.call_home(state.home_calls, call)
        after = state._replace(home_calls=calls)
        if step == RECORD_START:
            return after.send("record start")
        if step == SEND_TO_WORKER:
            return after._replace(worker="sent")
        return after

    def _receive_attempt(self, state: AtMostOnceState) -> AtMostOnceState:
        step, _ = self.tables.call_home(state.home_calls, "begin")
        after = self._apply_home_call(state, "begin")
        if step == REPORT_NOT_HOME:
            return after.send("home-gone")
        return after.send(step) if step in OUTCOME_NAMES else after

    def _list_start_steps(
        self, state: AtMostOnceState
    ) -> Iterator[tuple[str, AtMostOnceState]]:
        for answer in ("recorded", "refused"):
            if answer in state.messages:
                yield f"home receives {answer}", self._apply_home_call(state, answer)
        if "record start" in state.messages:
            yield (
                "home gives up on its witness",
                self._apply_home_call(state, "witness-lost"),
            )

    def _list_worker_steps(
        self, state: AtMostOnceState
    ) -> Iterator[tuple[str, AtMostOnceState]]:
        if state.worker == "sent":
            ran = state._replace(worker="ran", run_count=state.run_count + 1)
            yield "worker runs", ran
            yield "worker refuses", state._replace(worker="refused")
        if state.worker == "ran" and _is_running(state):
            yield (
                "worker responds",
                self._apply_home_call(state, "done").send("record outcome"),
            )
        if state.worker == "refused" and _is_running(state):
            yield (
                "worker's refusal arrives",
                self._apply_home_call(state, "worker-refused"),
            )

    def _list_witness_steps(
        self, state: AtMostOnceState
    ) -> Iterator[tuple[str, AtMostOnceState]]:
        for message in ("record start", "record outcome"):
            if message in state.messages:
                answer, calls = self.tables.call_witness(state.witness_calls, message)
                after = state._replace(witness_calls=calls)
                yield f"witness: {message}", after.send(answer) if answer else after
        if "void" in state.messages:
            verdict, calls = self.tables.call_witness(state.witness_calls, "void")
            yield "witness: void", state._replace(witness_calls=calls).send(verdict)

    def _list_entry_steps(
        self, state: AtMostOnceState
    ) -> Iterator[tuple[str, AtMostOnceState]]:
        if "waiting" in state.attempts:
            for message in sorted(state.messages & {*OUTCOME_NAMES, "home-gone"}):
                yield self._handle_events(state, "waiting", (message,))
            yield self._handle_events(state, "waiting", ("home-lost",))
        if "asking" in state.attempts:
            for verdict in sorted(state.messages & set(VERDICTS)):
                yield self._handle_events(state, "asking", ("home-lost", verdict))
            yield self._handle_events(state, "asking", ("home-lost", "witness-lost"))

    def _handle_events(
        self, state: AtMostOnceState, before: str, events: tuple[str, ...]
    ) -> tuple[str, AtMostOnceState]:
        status = self.tables.resolve(events)
        after = state.with_attempt(before, status)
        if status == "asking":
            after = after.send("void")
        return f"an attempt's event: {events[-1]}", after


def _is_running(state: AtMostOnceState) -> bool:
    """Return whether the home has begun the token and has no outcome of a run."""
    ended = set(OUTCOMES) & set(state.home_calls[-1:])
    return "replaced" not in state.home_calls and bool(state.home_calls) and not ended


def _home_is_idle(state: AtMostOnceState) -> bool:
    """Return whether the home waits neither for its witness nor for the worker."""
    return state.home_calls[-1:] not in (("begin",), ("recorded",))


def _all_attempts_ended(state: AtMostOnceState) -> bool:
    return set(state.attempts) <= OUTCOME_NAMES


def build_at_most_once(rules: AtMostOnceRules | None = None) -> minicheck.Protocol:
    """Return the protocol with the production classes or a broken variant of one."""
    rules = rules or AtMostOnceRules()
    protocol = AtMostOnceProtocol(rules)
    name = "at most once" if rules.token.witness else "at most once, no witness"
    return build_protocol(
        name,
        AtMostOnceState(),
        protocol.steps,
        protocol.faults,
        {
            "P3_done_means_ran": lambda state: (
                "Done" not in state.attempts or state.run_count == 1
            ),
            "P4_not_run_never_ran": lambda state: (
                "NotRun" not in state.attempts or state.run_count == 0
            ),
            "P5_runs_at_most_once": lambda state: state.run_count <= 1,
        },
        lambda state: _all_attempts_ended(state) and _home_is_idle(state),
    )
