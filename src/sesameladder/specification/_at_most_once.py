"""At-most-once dispatch of one token, with a home or witness replaced blank.

Two attempts of one token arrive at another entry than the home. The product's
home table, witness table and resolver decide; the model adds messages that
are lost, late or doubled, a worker, and processes that are replaced.
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
LONE_TOKEN = Token("home", 1, None, 0, 1, 1.0)
ENTRY = PeerIdentity("entry", 1)
DIGEST = b"request"
DONE = Done(200, (), b"")
LOST = Unknown("worker-answer-lost")
REFUSED = NotRun("worker-refused")
ENDED = frozenset({"Done", "NotRun", "Unknown"})
NOW = 0.0
OUTCOMES: dict[str, Outcome] = {"done": DONE, "lost": LOST, "worker-refused": REFUSED}
VERDICTS: dict[str, WitnessVerdict] = {
    "never-started": NeverStarted(),
    "started": Started(),
    "finished": Finished(DONE),
    "other": NotWitness(),
}


@dataclass(frozen=True, slots=True)
class Rules:
    """The product's decisions; a broken variant replaces one."""

    home: type[HomeTable] = HomeTable
    """Table of the home."""

    witness: type[WitnessTable] = WitnessTable
    """Table of the witness."""

    resolver: type[AttemptResolver] = AttemptResolver
    """Decisions of the receiving entry."""

    start: type[StartProcedure] = StartProcedure
    """Decisions of the home about its start."""

    token: Token = TOKEN
    """The token, with or without a witness."""


class Run(NamedTuple):
    """A state of home, witness, worker, entry and network."""

    home: tuple[str, ...] = ()
    """Calls that made the home's record; ``blank`` after a replacement."""

    witness: tuple[str, ...] = ()
    """Calls that made the witness's record; ``blank`` after a replacement."""

    worker: str = "idle"
    """``idle``, ``sent``, ``ran`` or ``refused``."""

    runs: int = 0
    """Times that a worker ran the request."""

    told: tuple[str, str] = ("unsent", "unsent")
    """Sorted: unsent, waiting, asking or the outcome's type, for each attempt."""

    messages: frozenset[str] = frozenset()
    """Every message ever sent; both attempts read the same answers."""

    calm: bool = False
    """Whether faults have stopped."""

    def send(self, *messages: str) -> "Run":
        """Return the state with more messages."""
        return self._replace(messages=self.messages | set(messages))

    def tell(self, before: str, after: str) -> "Run":
        """Return the state with one of the attempts further on."""
        rest = list(self.told)
        rest.remove(before)
        first, second = sorted([*rest, after])
        return self._replace(told=(first, second))


class Tables:
    """The product's tables, rebuilt from the calls that made their records."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.call_home = cache(self._call_home)
        self.call_witness = cache(self._call_witness)
        self.resolve = cache(self._resolve)

    def _build_home(self, calls: tuple[str, ...]) -> StartProcedure:
        incarnation = 2 if "blank" in calls else 1
        table = self.rules.home("home", incarnation)
        procedure = self.rules.start(table, self.rules.token, DIGEST, 0)
        for call in calls:
            _apply_home(procedure, call)
        return procedure

    def _call_home(
        self, calls: tuple[str, ...], call: str
    ) -> tuple[str, tuple[str, ...]]:
        """Return the step's name and the calls that make the new record."""
        procedure = self._build_home(calls)
        before = procedure.table.state_of(self.rules.token)
        step = _apply_home(procedure, call)
        changed = procedure.table.state_of(self.rules.token) != before
        return step, (*calls, call) if changed else calls

    def _call_witness(
        self, calls: tuple[str, ...], call: str
    ) -> tuple[str, tuple[str, ...]]:
        """Return the answer's name and the calls that make the new record."""
        table = self.rules.witness("witness", 2 if "blank" in calls else 1)
        for earlier in calls:
            _apply_witness(table, self.rules.token, earlier)
        before = table.state_of(self.rules.token)
        answer = _apply_witness(table, self.rules.token, call)
        changed = table.state_of(self.rules.token) != before
        return answer, (*calls, call) if changed else calls

    def _resolve(self, events: tuple[str, ...]) -> str:
        """Return what an attempt is told after the given events."""
        resolver = self.rules.resolver(self.rules.token, ENTRY)
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
    "NotRun": HomeAnswered(REFUSED),
    "Unknown": HomeAnswered(LOST),
    **{name: WitnessAnswered(verdict) for name, verdict in VERDICTS.items()},
}


def _apply_home(procedure: StartProcedure, call: str) -> str:
    if call == "blank":
        return ""
    if call == "begin":
        step = procedure.begin(NOW)
    elif call in OUTCOMES:
        step = procedure.finish(OUTCOMES[call], NOW)
    elif call == "witness-lost":
        step = procedure.witness_unreachable(NOW)
    else:
        step = procedure.witness_answered(call == "recorded", NOW)
    return type(step.outcome).__name__ if isinstance(step, Answer) else str(type(step))


def _apply_witness(table: WitnessTable, token: Token, call: str) -> str:
    if call == "blank":
        return ""
    if call == "record":
        return "recorded" if table.record_start(token, NOW) else "refused"
    if call == "keep":
        table.record_answer(token, DONE)
        return ""
    verdict = table.void(token, NOW)
    return next(name for name, known in VERDICTS.items() if known == verdict)


REPORT_NOT_HOME, RECORD, SEND = str(ReportNotHome), str(RecordStart), str(SendToWorker)


class Dispatch:
    """The steps of the protocol under given rules."""

    def __init__(self, rules: Rules) -> None:
        self.tables = Tables(rules)

    def steps(self, run: Run) -> Iterator[tuple[str, Run]]:
        """Return the steps that need no fault."""
        if "unsent" in run.told:
            sent = run.tell("unsent", "waiting").send("forward")
            yield "an attempt is forwarded", sent
        if "forward" in run.messages:
            yield "home receives an attempt", self._home_receives(run)
        yield from self._start(run)
        yield from self._worker(run)
        yield from self._witness_receives(run)
        yield from self._entry(run)

    def faults(self, run: Run) -> Iterator[tuple[str, Run]]:
        """Return the replacements; delays and losses need no step."""
        if "blank" not in run.home:
            yield "home is replaced", run._replace(home=("blank",))
        if "blank" not in run.witness:
            yield "witness is replaced", run._replace(witness=("blank",))
        if run.worker == "ran" and _is_running(run):
            yield "worker's answer is lost", self._home_calls(run, "lost")

    def _home_calls(self, run: Run, call: str) -> Run:
        step, home = self.tables.call_home(run.home, call)
        after = run._replace(home=home)
        if step == RECORD:
            return after.send("record")
        if step == SEND:
            return after._replace(worker="sent")
        return after

    def _home_receives(self, run: Run) -> Run:
        step, _ = self.tables.call_home(run.home, "begin")
        after = self._home_calls(run, "begin")
        if step == REPORT_NOT_HOME:
            return after.send("home-gone")
        return after.send(step) if step in ENDED else after

    def _start(self, run: Run) -> Iterator[tuple[str, Run]]:
        for answer in ("recorded", "refused"):
            if answer in run.messages:
                yield f"home hears {answer}", self._home_calls(run, answer)
        if "record" in run.messages:
            yield "home gives up on its witness", self._home_calls(run, "witness-lost")

    def _worker(self, run: Run) -> Iterator[tuple[str, Run]]:
        if run.worker == "sent":
            ran = run._replace(worker="ran", runs=run.runs + 1)
            yield "worker runs", ran
            yield "worker refuses", run._replace(worker="refused")
        if run.worker == "ran" and _is_running(run):
            yield "worker answers", self._home_calls(run, "done").send("keep")
        if run.worker == "refused" and _is_running(run):
            yield "worker's refusal arrives", self._home_calls(run, "worker-refused")

    def _witness_receives(self, run: Run) -> Iterator[tuple[str, Run]]:
        for message in ("record", "keep"):
            if message in run.messages:
                answer, witness = self.tables.call_witness(run.witness, message)
                after = run._replace(witness=witness)
                yield f"witness: {message}", after.send(answer) if answer else after
        if "void" in run.messages:
            verdict, witness = self.tables.call_witness(run.witness, "void")
            yield "witness: void", run._replace(witness=witness).send(verdict)

    def _entry(self, run: Run) -> Iterator[tuple[str, Run]]:
        if "waiting" in run.told:
            for word in sorted(run.messages & {*ENDED, "home-gone"}):
                yield self._advance(run, "waiting", (word,))
            yield self._advance(run, "waiting", ("home-lost",))
        if "asking" in run.told:
            for verdict in sorted(run.messages & set(VERDICTS)):
                yield self._advance(run, "asking", ("home-lost", verdict))
            yield self._advance(run, "asking", ("home-lost", "witness-lost"))

    def _advance(
        self, run: Run, before: str, events: tuple[str, ...]
    ) -> tuple[str, Run]:
        told = self.tables.resolve(events)
        after = run.tell(before, told)
        if told == "asking":
            after = after.send("void")
        return f"an attempt's event: {events[-1]}", after


def _is_running(run: Run) -> bool:
    ended = set(OUTCOMES) & set(run.home[-1:])
    return "blank" not in run.home and bool(run.home) and not ended


def _home_is_idle(run: Run) -> bool:
    return run.home[-1:] not in (("begin",), ("recorded",))


def _all_told(run: Run) -> bool:
    return set(run.told) <= ENDED


def build_at_most_once(rules: Rules | None = None) -> minicheck.Protocol:
    """Return the protocol under the product's rules or a broken variant."""
    rules = rules or Rules()
    dispatch = Dispatch(rules)
    name = "at most once" if rules.token.witness else "at most once, no witness"
    return build_protocol(
        name,
        Run(),
        dispatch.steps,
        dispatch.faults,
        {
            "P3_done_means_ran": lambda run: "Done" not in run.told or run.runs == 1,
            "P4_not_run_never_ran": lambda run: (
                "NotRun" not in run.told or run.runs == 0
            ),
            "P5_runs_at_most_once": lambda run: run.runs <= 1,
        },
        lambda run: _all_told(run) and _home_is_idle(run),
    )
