"""Callers of the schedules and the record of what they were told."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from sesameladder.idempotency import Done, NotRun, Outcome, Unknown
from sesameladder.measure._schedule_network import Schedule
from sesameladder.measure._schedule_process import AttemptMessage, Process

MAX_ATTEMPTS = 7
MAX_PATIENCE_SECONDS = 4.0
MAX_PAUSE_SECONDS = 2.0


@dataclass(slots=True)
class Findings:
    """What a schedule showed."""

    double_runs: int = 0
    """Logical requests that ran more than once."""

    false_not_run: int = 0
    """Tickets with a run by an attempt that a "not run" covered."""

    wrong_answers: int = 0
    """Answers with the content of another request."""

    unanswered: int = 0
    """Attempts without an answer although the entry that took them lived."""

    answers: dict[str, int] = field(default_factory=dict)
    """Number of answers by outcome type."""

    faults: dict[str, int] = field(default_factory=dict)
    """Number of injected process faults by kind."""

    def count_fault(self, kind: str) -> None:
        """Count one injected fault."""
        self.faults[kind] = self.faults.get(kind, 0) + 1

    def is_clean(self) -> bool:
        """Return whether every promise held."""
        return not (
            self.double_runs
            or self.false_not_run
            or self.wrong_answers
            or self.unanswered
        )


class Monitor:
    """Compares runs at the upstream with the answers of the callers."""

    __slots__ = ("_covered", "_earliest_run", "_false", "_runs", "findings")

    def __init__(self) -> None:
        self.findings = Findings()
        self._runs: Counter[int] = Counter()
        self._earliest_run: dict[str, int] = {}
        self._covered: dict[str, int] = {}
        self._false: set[str] = set()

    def saw_run(self, message: AttemptMessage) -> None:
        """Count a run at the upstream."""
        self._runs[message.request] += 1
        if self._runs[message.request] == 2:
            self.findings.double_runs += 1
        earliest = self._earliest_run.get(message.ticket, message.ordinal)
        self._earliest_run[message.ticket] = min(earliest, message.ordinal)
        self._compare(message.ticket)

    def saw_answer(
        self, message: AttemptMessage, outcome: Outcome, attempts_made: int
    ) -> None:
        """Check an answer; "not run" covers stated numbers, else all made."""
        kind = type(outcome).__name__
        self.findings.answers[kind] = self.findings.answers.get(kind, 0) + 1
        if isinstance(outcome, Done) and outcome.body != message.digest:
            self.findings.wrong_answers += 1
        if isinstance(outcome, NotRun):
            covered = message.ordinal if message.is_stated else attempts_made
            before = self._covered.get(message.ticket, 0)
            self._covered[message.ticket] = max(before, covered)
            self._compare(message.ticket)

    def _compare(self, ticket: str) -> None:
        covered = self._covered.get(ticket, 0)
        ran_covered = self._earliest_run.get(ticket, covered + 1) <= covered
        if ran_covered and ticket not in self._false:
            self._false.add(ticket)
            self.findings.false_not_run += 1


class Caller:
    """One logical request, repeated until it is done or given up.

    A new ticket is taken only after a "not run" that covers every attempt
    made so far.
    """

    __slots__ = (
        "attempts",
        "is_stated",
        "latest",
        "made",
        "monitor",
        "pending",
        "processes",
        "request",
        "schedule",
        "ticket",
        "uses_key",
    )

    def __init__(
        self,
        request: int,
        schedule: Schedule,
        monitor: Monitor,
        processes: Mapping[str, tuple[object, Process]],
        uses_key: bool | None = None,
    ) -> None:
        self.request = request
        self.schedule = schedule
        self.monitor = monitor
        self.processes = processes
        self.uses_key = schedule.chance(0.5) if uses_key is None else uses_key
        self.is_stated = schedule.chance(0.6)
        self.attempts = 0
        self.made: Counter[str] = Counter()
        self.ticket: str | None = None
        self.latest: Outcome | None = None
        self.pending: dict[int, Process] = {}

    def step(self) -> None:
        """Send the next attempt, unless the request is over."""
        if self.attempts >= MAX_ATTEMPTS:
            return
        entry = self._pick_entry()
        if entry is None:
            self.schedule.after(MAX_PAUSE_SECONDS, None, self.step)
            return
        if self.ticket is None:
            self._take_ticket(entry)
            # The token's own request may reach another entry.
            entry = self._pick_entry() or entry
        self._send(entry)

    def _pick_entry(self) -> Process | None:
        alive = [process for _, process in self.processes.values() if process.alive]
        return self.schedule.random.choice(alive) if alive else None

    def _take_ticket(self, entry: Process) -> None:
        if self.uses_key:
            self.ticket = f"order-{self.request}-{self.attempts}"
        else:
            self.ticket = entry.issue().to_text()

    def _send(self, entry: Process) -> None:
        assert self.ticket is not None
        self.attempts += 1
        self.made[self.ticket] += 1
        message = AttemptMessage(
            self.request, self.ticket, self.made[self.ticket], self.is_stated
        )
        number = self.attempts
        self.pending[number] = entry
        self.latest = None

        def respond(outcome: Outcome | None) -> None:
            assert outcome is not None
            if self.pending.pop(number, None) is not None:
                self._answered(message, outcome)

        delay = self.schedule.travel_time()
        self.schedule.after(delay, entry, lambda: entry.receive(message, respond))
        patience = self.schedule.random.uniform(0.1, MAX_PATIENCE_SECONDS)
        self.schedule.after(patience, None, lambda: self._lose_patience(number))

    def _answered(self, message: AttemptMessage, outcome: Outcome) -> None:
        made = self.made[message.ticket]
        self.monitor.saw_answer(message, outcome, made)
        if message.ticket != self.ticket or message.ordinal != made:
            return
        self.latest = outcome
        keeps_ticket = self.schedule.chance(0.5)
        if isinstance(outcome, NotRun) and not keeps_ticket:
            self.ticket = None
        self._again()

    def _lose_patience(self, number: int) -> None:
        if number == self.attempts and self.latest is None:
            self._again()

    def _again(self) -> None:
        # A done request is repeated at times, as a caller does that crashed.
        if isinstance(self.latest, Done) and self.schedule.chance(0.7):
            self.attempts = MAX_ATTEMPTS
        if isinstance(self.latest, Unknown) and self.schedule.chance(0.2):
            self.attempts = MAX_ATTEMPTS
        pause = self.schedule.random.uniform(0.0, MAX_PAUSE_SECONDS)
        self.schedule.after(pause, None, self.step)

    def count_unanswered(self) -> int:
        """Return the attempts that a living, running entry never answered."""
        return sum(entry.alive for entry in self.pending.values())
