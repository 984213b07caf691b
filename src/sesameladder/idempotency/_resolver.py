"""State machine of an entry for one request with an idempotency token.

The entry process executes one step at a time and passes its result back as an
event.
"""

from dataclasses import dataclass
from functools import singledispatchmethod

from sesameladder.idempotency._begin import Finished
from sesameladder.idempotency._outcome import (
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from sesameladder.idempotency._token import Token
from sesameladder.idempotency._witness import NeverStarted, Started, WitnessVerdict
from sesameladder.model import PeerIdentity

MAX_HOME_MOVES = 4


@dataclass(frozen=True, slots=True)
class RunLocally:
    """Begin the token in the home table of this process."""


@dataclass(frozen=True, slots=True)
class ForwardToHome:
    """Forward the request to the process that answers for the token."""

    home: PeerIdentity
    """The token's home, or the process that adopted its table."""


@dataclass(frozen=True, slots=True)
class AskWitness:
    """Ask the witness to void the token unless it has recorded the start."""

    witness: PeerIdentity
    """The witness, which may be this process."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the caller; this is the last step."""

    outcome: Outcome
    """Outcome that the caller receives."""


AttemptStep = RunLocally | ForwardToHome | AskWitness | Answer


@dataclass(frozen=True, slots=True)
class HomeAnswered:
    """The home, which may be this process, returned the request's outcome."""

    outcome: Outcome
    """Outcome that the home's table has recorded."""


@dataclass(frozen=True, slots=True)
class HomeUnreachable:
    """The home did not answer."""

    possibly_delivered: bool = True
    """Whether the request may have reached it; False only if it was not sent."""


@dataclass(frozen=True, slots=True)
class HomeGone:
    """The home's process ended or was replaced by another incarnation."""


@dataclass(frozen=True, slots=True)
class HomeMoved:
    """A peer announced that it has adopted the home's table."""

    successor: PeerIdentity
    """The process that adopted the home's table."""


@dataclass(frozen=True, slots=True)
class WitnessAnswered:
    """The witness answered the request to void the token."""

    verdict: WitnessVerdict
    """Verdict of the witness on the token."""


@dataclass(frozen=True, slots=True)
class WitnessUnreachable:
    """The witness did not answer; it may nevertheless have voided the token."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline passed before the attempt was answered."""


AttemptEvent = (
    HomeAnswered
    | HomeUnreachable
    | HomeGone
    | HomeMoved
    | WitnessAnswered
    | WitnessUnreachable
    | DeadlinePassed
)


class AttemptResolver:
    """Decides the steps of one attempt of a token at one entry.

    ``is_first_attempt`` is True if the caller states that it made no earlier
    attempt. ``successor`` is the process known to have adopted the home's
    table, if any.
    """

    __slots__ = (
        "home",
        "is_first_attempt",
        "last_step",
        "local_process",
        "move_count",
        "token",
    )

    def __init__(
        self,
        token: Token,
        local_process: PeerIdentity,
        is_first_attempt: bool = False,
        successor: PeerIdentity | None = None,
    ) -> None:
        self.token = token
        self.local_process = local_process
        self.is_first_attempt = is_first_attempt
        self.home = successor or token.home_identity
        self.move_count = 0
        self.last_step: AttemptStep | None = None

    def start(self) -> AttemptStep:
        """Return the first step."""
        return self._record_step(self._contact_home())

    def handle(self, event: AttemptEvent) -> AttemptStep:
        """Return the step that follows an event.

        Once the attempt is answered, every further event returns that answer.
        """
        if isinstance(self.last_step, Answer):
            return self.last_step
        return self._record_step(self._decide(event))

    def _record_step(self, step: AttemptStep) -> AttemptStep:
        self.last_step = step
        return step

    def _contact_home(self) -> AttemptStep:
        if self.home == self.local_process:
            return RunLocally()
        return ForwardToHome(self.home)

    @singledispatchmethod
    def _decide(self, event: AttemptEvent) -> AttemptStep:
        raise TypeError(f"not an event of an attempt: {event!r}")

    @_decide.register
    def _home_answered(self, event: HomeAnswered) -> AttemptStep:
        return Answer(event.outcome)

    @_decide.register
    def _home_unreachable(self, event: HomeUnreachable) -> AttemptStep:
        # This is the only attempt that was made and it was not sent, so no
        # process can run the request.
        if self.is_first_attempt and not event.possibly_delivered:
            return Answer(NotRun(NotRunReason.HOME_UNREACHABLE))
        return self._ask_witness()

    @_decide.register
    def _home_gone(self, event: HomeGone) -> AttemptStep:
        del event
        return self._ask_witness()

    @_decide.register
    def _home_moved(self, event: HomeMoved) -> AttemptStep:
        if event.successor == self.home or self.move_count >= MAX_HOME_MOVES:
            return self._ask_witness()
        self.move_count += 1
        self.home = event.successor
        return self._contact_home()

    @_decide.register
    def _witness_answered(self, event: WitnessAnswered) -> AttemptStep:
        verdict = event.verdict
        if isinstance(verdict, NeverStarted):
            return Answer(NotRun(NotRunReason.TOKEN_VOID))
        if isinstance(verdict, Finished):
            return Answer(verdict.outcome)
        if isinstance(verdict, Started):
            return Answer(Unknown(UnknownReason.STARTED))
        return Answer(Unknown(UnknownReason.WITNESS_LOST))

    @_decide.register
    def _witness_unreachable(self, event: WitnessUnreachable) -> AttemptStep:
        del event
        return Answer(Unknown(UnknownReason.WITNESS_LOST))

    @_decide.register
    def _deadline_passed(self, event: DeadlinePassed) -> AttemptStep:
        del event
        return Answer(Unknown(UnknownReason.DEADLINE))

    def _ask_witness(self) -> AttemptStep:
        witness = self.token.witness_identity
        if witness is None:
            return Answer(Unknown(UnknownReason.HOME_LOST))
        return AskWitness(witness)
