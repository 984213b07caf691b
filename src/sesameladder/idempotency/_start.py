"""State machine of a home for one attempt of one of its tokens.

The entry process executes one step at a time and reports its result, as with
``AttemptResolver``.
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
    """Ask the witness to record the start."""

    witness: PeerIdentity
    """The witness that the token names."""


@dataclass(frozen=True, slots=True)
class SendToWorker:
    """Send the request to a worker once and report its outcome to ``finish``."""


@dataclass(frozen=True, slots=True)
class WaitForRun:
    """Another attempt is starting or running; answer with its outcome."""


@dataclass(frozen=True, slots=True)
class ReportNotHome:
    """Tell the sender that this process doesn't answer for the token's home."""


StartStep = RecordStart | SendToWorker | WaitForRun | ReportNotHome | Answer


class StartProcedure:
    """Takes one attempt of a token through the home's table.

    The caller should acquire a grant after ``begin`` returned ``RecordStart``
    and before it asks the witness. A refusal by a queue or quota then leaves
    no record at the witness, so it doesn't become an unknown outcome if the
    home is lost.
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
        """Return the first step.

        After ``RecordStart`` or ``SendToWorker`` this attempt starts the token,
        and every other attempt waits for its outcome.
        """
        result = self.table.begin(self.token, self.digest, now, self.attempt)
        if not isinstance(result, StartAllowed):
            return _step_for_result(result)
        witness = self.token.witness_identity
        return RecordStart(witness) if witness else self._confirm(now)

    def witness_answered(self, recorded: bool, now: float) -> StartStep:
        """Return the step that follows the witness's answer to ``RecordStart``."""
        if recorded:
            return self._confirm(now)
        return self._refuse(NotRunReason.TOKEN_VOID, now)

    def witness_unreachable(self, now: float) -> StartStep:
        """Refuse the attempt, since a start that isn't recorded must not run."""
        return self._refuse(NotRunReason.WITNESS_UNAVAILABLE, now)

    def finish(self, outcome: Outcome, now: float) -> Answer:
        """Record the outcome of the run or of a refused grant and return the answer."""
        return Answer(self.table.finish(self.token, outcome, now))

    # A duplicate or delayed answer of the witness may find the token running or
    # ended. The table then decides how this attempt is answered.

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
