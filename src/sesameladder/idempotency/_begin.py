"""Results of beginning a token at its home, and the outcomes they decide."""

from dataclasses import dataclass
from functools import singledispatch

from sesameladder.idempotency._outcome import (
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)


@dataclass(frozen=True, slots=True)
class StartAllowed:
    """The caller of ``begin`` starts the token; other attempts wait for its outcome."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt is starting or running; its outcome also answers this one."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The token's run, or the refusal of this attempt, has a recorded outcome."""

    outcome: Outcome
    """Outcome that answers this attempt and later repetitions of it."""


@dataclass(frozen=True, slots=True)
class TokenVoided:
    """The token is void: it never started and can no longer start."""


@dataclass(frozen=True, slots=True)
class DigestMismatch:
    """The token was used before for a request with a different digest."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The token expired before its first use, so it never started."""


@dataclass(frozen=True, slots=True)
class RecordEvicted:
    """The token's record may have been evicted.

    The token must not run again and its outcome is unknown.
    """


@dataclass(frozen=True, slots=True)
class NotHome:
    """This process neither is the token's home nor adopted its table."""


BeginResult = (
    StartAllowed
    | InProgress
    | Finished
    | TokenVoided
    | DigestMismatch
    | Expired
    | RecordEvicted
    | NotHome
)


@singledispatch
def begin_outcome(result: object) -> Outcome | None:
    """Return the outcome that a result of ``begin`` decides.

    Returns None for results after which the attempt starts, waits or goes to
    another process.
    """
    del result
    return None


@begin_outcome.register
def _finished(result: Finished) -> Outcome:
    return result.outcome


@begin_outcome.register
def _void(result: TokenVoided) -> Outcome:
    del result
    return NotRun(NotRunReason.TOKEN_VOID)


@begin_outcome.register
def _expired(result: Expired) -> Outcome:
    del result
    return NotRun(NotRunReason.TOKEN_EXPIRED)


@begin_outcome.register
def _digest_mismatch(result: DigestMismatch) -> Outcome:
    # This attempt did not run, but NotRun states that no attempt of the token
    # ran, and the attempts with the other content may have run.
    del result
    return Unknown(UnknownReason.KEY_REUSED)


@begin_outcome.register
def _evicted(result: RecordEvicted) -> Outcome:
    del result
    return Unknown(UnknownReason.ANSWER_EVICTED)
