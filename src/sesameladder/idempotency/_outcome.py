"""Outcomes of a request: done, not run or unknown."""

from dataclasses import dataclass
from enum import StrEnum


class NotRunReason(StrEnum):
    """Why a request was refused without being run."""

    QUOTA = "quota"
    QUEUE_LIMIT = "queue-limit"
    WORKER_REFUSED = "worker-refused"
    TOKEN_VOID = "token-void"
    TOKEN_EXPIRED = "token-expired"
    HOME_SHUT_DOWN = "home-shut-down"
    HOME_UNREACHABLE = "home-unreachable"
    WITNESS_UNAVAILABLE = "witness-unavailable"
    STORE_UNAVAILABLE = "store-unavailable"
    CLAIM_RATE = "claim-rate"


class UnknownReason(StrEnum):
    """Why it can't be determined whether a request ran."""

    DEADLINE = "deadline"
    HOME_LOST = "home-lost"
    WITNESS_LOST = "witness-lost"
    STARTED = "started-at-lost-home"
    ANSWER_EVICTED = "answer-evicted"
    KEY_REUSED = "key-used-for-another-request"
    CLAIM_UNREADABLE = "claim-unreadable"
    KEY_TOO_OLD = "key-too-old"


@dataclass(frozen=True, slots=True)
class Done:
    """The upstream sent a response."""

    status: int
    """HTTP status of the upstream's response."""

    headers: tuple[tuple[str, str], ...]
    """Header names and values in the upstream's order."""

    body: bytes
    """The complete response body."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """None of the attempts made so far ran, and none of them will run."""

    reason: str
    """A ``NotRunReason``, or a text from the layer that refused the request."""

    retry_after_s: float | None = None
    """Seconds after which a new request may succeed, or None if not known."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request ran at most once; whether it ran is not known."""

    reason: str
    """An ``UnknownReason``, or a text from the layer that lost the outcome."""


Outcome = Done | NotRun | Unknown


def outcome_size_bytes(outcome: Outcome) -> int:
    """Return the approximate size in bytes of an outcome's variable-length fields."""
    if not isinstance(outcome, Done):
        return len(outcome.reason)
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return headers + len(outcome.body)


def unsent_outcome(
    reason: str, is_first_attempt: bool, retry_after_s: float | None = None
) -> NotRun | Unknown:
    """Return the outcome of a keyed request that the entry did not forward.

    ``NotRun`` states that no attempt of the token or key ran. The entry knows
    nothing of earlier attempts, so it returns ``NotRun`` only if the caller
    states that there were none, and ``Unknown`` otherwise.
    """
    if is_first_attempt:
        return NotRun(reason, retry_after_s)
    return Unknown(reason)
