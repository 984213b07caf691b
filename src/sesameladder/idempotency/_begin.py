"""What a home answers to a request with a token."""

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
    """The caller of ``begin`` owns the start; every other attempt waits."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """Another attempt is starting or running; its outcome answers this one."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The outcome of the one run, or of the refusal of this attempt."""

    outcome: Outcome
    """What this and all later equal attempts are answered."""


@dataclass(frozen=True, slots=True)
class TokenVoided:
    """The token never started and never will."""


@dataclass(frozen=True, slots=True)
class DigestMismatch:
    """The token belongs to a request with another content."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The token expired before it was used; it never started."""


@dataclass(frozen=True, slots=True)
class RecordEvicted:
    """The token's record may have been dropped: never run, outcome unknown."""


@dataclass(frozen=True, slots=True)
class NotHome:
    """This process answers for another incarnation than the token's home."""


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
    """Return the outcome that a begin decides, or None when it decides none."""
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
    # This attempt did not run, but "not run" would also cover the attempts
    # that used the token for the other content.
    del result
    return Unknown(UnknownReason.KEY_REUSED)


@begin_outcome.register
def _evicted(result: RecordEvicted) -> Outcome:
    del result
    return Unknown(UnknownReason.ANSWER_EVICTED)
