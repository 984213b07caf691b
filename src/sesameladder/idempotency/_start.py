"""What a home does with an attempt of one of its own tokens.

The entry process carries out one step at a time and reports what came of it,
as with ``AttemptResolver``.
"""

from dataclasses import dataclass

from sesameladder.idempotency._begin import (
    BeginResult,
    InProgress,
    NotHome,
    StartAllowed,
    begin_outcome,
)
from sesameladder.idempotency._home import HomeTable
from sesameladder.idempotency._outcome import NotRun, NotRunReason, Outcome
from sesameladder.idempotency._resolver import Answer
from sesameladder.idempotency._token import Token
from sesameladder.model import PeerIdentity


@dataclass(frozen=True, slots=True)
class RecordStart:
    """Have the witness record the start."""

    witness: PeerIdentity
    """The witness that the token names."""


@dataclass(frozen=True, slots=True)
class SendToWorker:
    """Send the request to a worker, once, and report how it ended."""


@dataclass(frozen=True, slots=True)
class WaitForRun:
    """Another attempt owns the start; answer with its outcome."""


@dataclass(frozen=True, slots=True)
class ReportNotHome:
    """This process does not answer for the token's home."""


StartStep = RecordStart | SendToWorker | WaitForRun | ReportNotHome | Answer


class StartProcedure:
    """One attempt at the home's table.

    A grant is best taken between ``RecordStart`` and the procedure's begin:
    a refusal by a queue or quota then leaves no record at the witness, so the
    loss of the home does not turn it into an unknown outcome.
    """

    __slots__ = ("attempt", "digest", "table", "token")

    def __init__(
        self, table: HomeTable, token: Token, digest: bytes, attempt: int
    ) -> None:
        self.table = table
        self.token = token
        self.digest = digest
        self.attempt = attempt

    def begin(self, now: float) -> StartStep:
        """Return the first step; ``RecordStart`` and ``SendToWorker`` own the start."""
        result = self.table.begin(self.token, self.digest, now, self.attempt)
        if not isinstance(result, StartAllowed):
            return _step_for_result(result)
        witness = self.token.witness_identity
        return RecordStart(witness) if witness else self._confirm(now)

    def witness_answered(self, recorded: bool, now: float) -> StartStep:
        """Continue with the witness's answer to ``RecordStart``."""
        if recorded:
            return self._confirm(now)
        return self._refuse(NotRunReason.TOKEN_VOID, now)

    def witness_unreachable(self, now: float) -> StartStep:
        """End the attempt: without a witness's record nothing may run."""
        return self._refuse(NotRunReason.WITNESS_UNAVAILABLE, now)

    def finish(self, outcome: Outcome, now: float) -> Answer:
        """Store how the grant was refused or the run ended, and answer."""
        return Answer(self.table.finish(self.token, outcome, now))

    # A second or late answer of the witness finds the token running or ended;
    # the table then says what this attempt is answered.

    def _confirm(self, now: float) -> StartStep:
        if self.table.confirm_start(self.token):
            return SendToWorker()
        return self.begin(now)

    def _refuse(self, reason: NotRunReason, now: float) -> StartStep:
        if self.table.refuse_start(self.token):
            return Answer(NotRun(reason))
        return self.begin(now)


def _step_for_result(result: BeginResult) -> StartStep:
    if isinstance(result, NotHome):
        return ReportNotHome()
    if isinstance(result, InProgress):
        return WaitForRun()
    outcome = begin_outcome(result)
    assert outcome is not None
    return Answer(outcome)
