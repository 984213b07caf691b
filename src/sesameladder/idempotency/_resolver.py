"""What an entry does with a request that carries a token.

The entry process carries out one step at a time and reports what came of it.
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
    """Begin the token in this process's own home table."""


@dataclass(frozen=True, slots=True)
class ForwardToHome:
    """Send the request to the process that answers for the token."""

    home: PeerIdentity
    """The token's home, or the process that took over its table."""


@dataclass(frozen=True, slots=True)
class AskWitness:
    """Have the witness void the token, unless its start is recorded."""

    witness: PeerIdentity
    """The witness; it may be this process."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the caller; the last step."""

    outcome: Outcome
    """What the caller is told."""


AttemptStep = RunLocally | ForwardToHome | AskWitness | Answer


@dataclass(frozen=True, slots=True)
class HomeAnswered:
    """The home, local or elsewhere, ended the request."""

    outcome: Outcome
    """The outcome that the home's table holds."""


@dataclass(frozen=True, slots=True)
class HomeUnreachable:
    """No answer came from the home."""

    possibly_delivered: bool = True
    """Whether the request may have reached it; False only when it was not sent."""


@dataclass(frozen=True, slots=True)
class HomeGone:
    """The home's process ended, or another incarnation answers in its place."""


@dataclass(frozen=True, slots=True)
class HomeMoved:
    """A peer announced that it answers for the home's tokens."""

    successor: PeerIdentity
    """The process that holds the home's table."""


@dataclass(frozen=True, slots=True)
class WitnessAnswered:
    """The witness answered the question."""

    verdict: WitnessVerdict
    """What it holds for the token."""


@dataclass(frozen=True, slots=True)
class WitnessUnreachable:
    """No answer came from the witness; the void may have taken effect."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The caller's deadline passed before the last step."""


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
    """The decisions for one attempt of a token at one entry.

    ``is_first_attempt`` is the caller's statement that no earlier attempt was
    made.
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
        """Return the next step; after an ``Answer`` it stays the same."""
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
        # The only attempt ever made ends here, so no other can run it.
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
