"""The end of a request as the whole product states it."""

from dataclasses import dataclass
from enum import StrEnum


class NotRunReason(StrEnum):
    """Why a request was refused as not run."""

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
    """Why nobody can say whether a request ran."""

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
    """The upstream answered."""

    status: int
    """HTTP status of the upstream."""

    headers: tuple[tuple[str, str], ...]
    """Header names and values in the upstream's order."""

    body: bytes
    """The whole body."""


@dataclass(frozen=True, slots=True)
class NotRun:
    """No attempt made so far ran, and none of them will."""

    reason: str
    """A ``NotRunReason`` or the text of the layer that refused."""

    retry_after_s: float | None = None
    """Seconds after which a new request may succeed, or None."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run once."""

    reason: str
    """An ``UnknownReason`` or the text of the layer that lost track."""


Outcome = Done | NotRun | Unknown


def outcome_size_bytes(outcome: Outcome) -> int:
    """Return the approximate size of an outcome's variable parts in bytes."""
    if not isinstance(outcome, Done):
        return len(outcome.reason)
    headers = sum(len(name) + len(value) for name, value in outcome.headers)
    return headers + len(outcome.body)


def unsent_outcome(
    reason: str, is_first_attempt: bool, retry_after_s: float | None = None
) -> NotRun | Unknown:
    """Return the refusal of a keyed request by an entry that never forwarded it.

    "Not run" also covers the earlier attempts of the token or key, about which
    such an entry knows nothing unless the caller states that there were none.
    """
    if is_first_attempt:
        return NotRun(reason, retry_after_s)
    return Unknown(reason)
