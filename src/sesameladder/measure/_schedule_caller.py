"""Callers of the schedules and the checks of the outcomes that they receive."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from sesameladder.idempotency import Done, NotRun, Outcome, Unknown
from sesameladder.measure._schedule_network import Schedule
from sesameladder.measure._schedule_process import AttemptMessage, Process

MAX_ATTEMPTS = 7
MAX_CALLER_TIMEOUT_SECONDS = 4.0
MAX_PAUSE_SECONDS = 2.0


@dataclass(slots=True)
class Findings:
    """Violations, outcomes and faults that a schedule produced."""

    double_runs: int = 0
    """Logical requests that ran more than once."""

    false_not_run: int = 0
    """Idempotency keys with a run of an attempt that a "not run" covers."""

    wrong_responses: int = 0
    """Responses with the content of another request."""

    unanswered: int = 0
    """Attempts without a response whose entry instance is still running."""

    outcomes: dict[str, int] = field(default_factory=dict)
    """Number of responses by outcome type."""

    faults: dict[str, int] = field(default_factory=dict)
    """Number of injected process faults by kind."""

    def count_fault(self, kind: str) -> None:
        """Count one injected fault."""
        self.faults[kind] = self.faults.get(kind, 0) + 1

    def is_clean(self) -> bool:
        """Return whether no guarantee was violated."""
        return not (
            self.double_runs
            or self.false_not_run
            or self.wrong_responses
            or self.unanswered
        )


class GuaranteeChecker:
    """Compares the runs at the upstream with the outcomes that callers receive."""

    __slots__ = (
        "_covered_attempts",
        "_earliest_runs",
        "_refuted_keys",
        "_runs",
        "findings",
    )

    def __init__(self) -> None:
        self.findings = Findings()
        self._runs: Counter[int] = Counter()
        self._earliest_runs: dict[str, int] = {}
        self._covered_attempts: dict[str, int] = {}
        self._refuted_keys: set[str] = set()

    def record_run(self, message: AttemptMessage) -> None:
        """Count a run of a request at the upstream."""
        self._runs[message.request] += 1
        if self._runs[message.request] == 2:
            self.findings.double_runs += 1
        earliest_run = self._earliest_runs.get(message.idempotency_key, message.attempt)
        self._earliest_runs[message.idempotency_key] = min(
            earliest_run, message.attempt
        )
        self._check_not_run(message.idempotency_key)

    def record_outcome(
        self, message: AttemptMessage, outcome: Outcome, attempts_made: int
    ) -> None:
        """Check the outcome of an attempt.

        "Not run" covers the attempts up to the stated number; without a stated
        number, all attempts made with the key.
        """
        kind = type(outcome).__name__
        self.findings.outcomes[kind] = self.findings.outcomes.get(kind, 0) + 1
        if isinstance(outcome, Done) and outcome.body != message.digest:
            self.findings.wrong_responses += 1
        if isinstance(outcome, NotRun):
            covered_attempts = (
                message.attempt if message.states_attempt else attempts_made
            )
            before = self._covered_attempts.get(message.idempotency_key, 0)
            self._covered_attempts[message.idempotency_key] = max(
                before, covered_attempts
            )
            self._check_not_run(message.idempotency_key)

    def _check_not_run(self, idempotency_key: str) -> None:
        covered_attempts = self._covered_attempts.get(idempotency_key, 0)
        ran_although_covered = (
            self._earliest_runs.get(idempotency_key, covered_attempts + 1)
            <= covered_attempts
        )
        if ran_although_covered and idempotency_key not in self._refuted_keys:
            self._refuted_keys.add(idempotency_key)
            self.findings.false_not_run += 1


class Caller:
    """A logical request, repeated until it is done or abandoned.

    The caller takes a new idempotency key only after a "not run" that covers every
    attempt made so far.
    """

    __slots__ = (
        "attempts",
        "attempts_made",
        "checker",
        "idempotency_key",
        "latest_outcome",
        "pending",
        "processes",
        "request",
        "schedule",
        "states_attempt",
        "uses_key",
    )

    def __init__(
        self,
        request: int,
        schedule: Schedule,
        checker: GuaranteeChecker,
        processes: Mapping[str, tuple[object, Process]],
        uses_key: bool | None = None,
    ) -> None:
        self.request = request
        self.schedule = schedule
        self.checker = checker
        self.processes = processes
        self.uses_key = schedule.draw_bool(0.5) if uses_key is None else uses_key
        self.states_attempt = schedule.draw_bool(0.6)
        self.attempts = 0
        self.attempts_made: Counter[str] = Counter()
        self.idempotency_key: str | None = None
        self.latest_outcome: Outcome | None = None
        self.pending: dict[int, Process] = {}

    def step(self) -> None:
        """Send the next attempt, unless the request is done or abandoned."""
        if self.attempts >= MAX_ATTEMPTS:
            return
        entry = self._choose_entry()
        if entry is None:
            self.schedule.call_later(MAX_PAUSE_SECONDS, None, self.step)
            return
        if self.idempotency_key is None:
            self._take_key(entry)
            # The attempt may reach another instance than the one that issued the token.
            entry = self._choose_entry() or entry
        self._send(entry)

    def _choose_entry(self) -> Process | None:
        alive = [process for _, process in self.processes.values() if process.alive]
        return self.schedule.random.choice(alive) if alive else None

    def _take_key(self, entry: Process) -> None:
        if self.uses_key:
            self.idempotency_key = f"order-{self.request}-{self.attempts}"
        else:
            self.idempotency_key = entry.issue_token().to_text()

    def _send(self, entry: Process) -> None:
        assert self.idempotency_key is not None
        self.attempts += 1
        self.attempts_made[self.idempotency_key] += 1
        message = AttemptMessage(
            self.request,
            self.idempotency_key,
            self.attempts_made[self.idempotency_key],
            self.states_attempt,
        )
        number = self.attempts
        self.pending[number] = entry
        self.latest_outcome = None

        def respond(outcome: Outcome | None) -> None:
            assert outcome is not None
            if self.pending.pop(number, None) is not None:
                self._handle_outcome(message, outcome)

        delay = self.schedule.draw_message_delay()
        self.schedule.call_later(delay, entry, lambda: entry.receive(message, respond))
        timeout = self.schedule.random.uniform(0.1, MAX_CALLER_TIMEOUT_SECONDS)
        self.schedule.call_later(timeout, None, lambda: self._time_out(number))

    def _handle_outcome(self, message: AttemptMessage, outcome: Outcome) -> None:
        attempts_made = self.attempts_made[message.idempotency_key]
        self.checker.record_outcome(message, outcome, attempts_made)
        if (
            message.idempotency_key != self.idempotency_key
            or message.attempt != attempts_made
        ):
            return
        self.latest_outcome = outcome
        keeps_key = self.schedule.draw_bool(0.5)
        if isinstance(outcome, NotRun) and not keeps_key:
            self.idempotency_key = None
        self._schedule_next_attempt()

    def _time_out(self, number: int) -> None:
        if number == self.attempts and self.latest_outcome is None:
            self._schedule_next_attempt()

    def _schedule_next_attempt(self) -> None:
        # Some done requests are repeated, as by a caller that crashed before it
        # recorded the response.
        if isinstance(self.latest_outcome, Done) and self.schedule.draw_bool(0.7):
            self.attempts = MAX_ATTEMPTS
        if isinstance(self.latest_outcome, Unknown) and self.schedule.draw_bool(0.2):
            self.attempts = MAX_ATTEMPTS
        pause = self.schedule.random.uniform(0.0, MAX_PAUSE_SECONDS)
        self.schedule.call_later(pause, None, self.step)

    def count_unanswered(self) -> int:
        """Return the number of attempts that a running instance has not answered."""
        return sum(entry.alive for entry in self.pending.values())
