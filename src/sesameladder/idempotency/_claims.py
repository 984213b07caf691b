"""Binds a caller's own key to a token with one write to the store."""

import threading
from dataclasses import dataclass
from hashlib import blake2b

from sesameladder.environment import (
    PlatformError,
    Store,
    StoreAnswerLost,
    StoreEntry,
    StoreRefused,
    StoreUnavailable,
    Swapped,
)
from sesameladder.idempotency._errors import TokenMalformed
from sesameladder.idempotency._outcome import NotRunReason, UnknownReason
from sesameladder.idempotency._token import Token

CLAIM_PREFIX = "claims/"
CLAIM_HASH_BYTES = 20
CLAIM_RETENTION_SECONDS = 25 * 3600.0
CLAIM_LEASE_REUSE_SECONDS = 3600.0
CLAIM_WRITES_PER_SECOND = 20.0
CLAIM_BURST_SECONDS = 2.0
MAX_CLAIM_WRITES = 3

# A claim uses a lease of at most CLAIM_LEASE_REUSE_SECONDS of age, so it
# stands at least this long after the request arrived.
KEY_LIFETIME_SECONDS = CLAIM_RETENTION_SECONDS - CLAIM_LEASE_REUSE_SECONDS


@dataclass(frozen=True, slots=True)
class Bound:
    """The key belongs to a token, whose path the request follows."""

    token: Token
    """The token of the claim that stands in the store."""

    is_offered_token: bool
    """Whether it is the token offered with this call."""


@dataclass(frozen=True, slots=True)
class BindRefused:
    """The key could not be bound or read; the request is not sent."""

    not_run: bool
    """Whether all attempts made so far are known not to have run."""

    reason: str
    """A ``NotRunReason`` or ``UnknownReason``."""


class WriteRateLimiter:
    """A token bucket of store writes; its owner holds the lock."""

    __slots__ = ("available", "burst", "rate", "refilled_at")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.available = burst
        self.refilled_at: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Take one write if the allowance has one."""
        if self.refilled_at is not None:
            refill = max(0.0, now - self.refilled_at) * self.rate
            self.available = min(self.burst, self.available + refill)
        self.refilled_at = now
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


def claim_store_key(key: str) -> str:
    """Return the store key of a caller's key."""
    digest = blake2b(key.encode(), digest_size=CLAIM_HASH_BYTES).hexdigest()
    return CLAIM_PREFIX + digest


class ClaimBinder:
    """Creates and reads claims; threads may share it.

    A key's claim stands for at least ``KEY_LIFETIME_SECONDS`` from the
    arrival of the attempt that created it. The token that it names expires by
    then, so tokens of two claims of one key never start in overlapping times.
    A retry after that time would find no claim and count as a new request;
    callers state the age of their first attempt to have it refused instead.
    """

    __slots__ = ("_lease", "_lease_granted_at", "_lock", "_store", "_write_limiter")

    def __init__(
        self, store: Store, writes_per_second: float = CLAIM_WRITES_PER_SECOND
    ) -> None:
        self._store = store
        self._write_limiter = WriteRateLimiter(
            writes_per_second, max(1.0, writes_per_second * CLAIM_BURST_SECONDS)
        )
        self._lease: int | None = None
        self._lease_granted_at = 0.0
        self._lock = threading.Lock()

    def bind(
        self,
        key: str,
        token: Token,
        is_first_attempt: bool,
        now: float,
        is_retry: bool = False,
        first_attempt_age_s: float | None = None,
    ) -> Bound | BindRefused:
        """Bind a caller's key to a fresh token, or read whose it is.

        ``is_first_attempt`` and ``is_retry`` are the caller's statements that no
        earlier attempt was made, or that one was; without a statement both
        are False. ``first_attempt_age_s`` is the age of the first attempt in
        seconds, when the caller states it.
        """
        store_key = claim_store_key(key)
        try:
            entry = self._store.get(store_key) if is_retry else None
            if entry is None and _exceeds_key_lifetime(first_attempt_age_s):
                return BindRefused(False, UnknownReason.KEY_TOO_OLD)
            entry = entry or self._create(store_key, token, now)
            return Bound(
                Token.from_text(entry.value.decode()), _names_token(entry, token)
            )
        except _ClaimRateExceeded:
            return BindRefused(is_first_attempt, NotRunReason.CLAIM_RATE)
        except (TokenMalformed, UnicodeDecodeError):
            return BindRefused(False, UnknownReason.CLAIM_UNREADABLE)
        except PlatformError:
            return BindRefused(is_first_attempt, NotRunReason.STORE_UNAVAILABLE)

    def _create(self, store_key: str, token: Token, now: float) -> StoreEntry:
        """Return the claim that stands after a create-if-absent write.

        A write whose answer was lost may still be on its way when the claim
        is read back as absent. Writing again is harmless: the second write
        then conflicts with this call's own, unique value.
        """
        value = token.to_text().encode()
        for _ in range(MAX_CLAIM_WRITES):
            try:
                entry = self._try_create(store_key, value, now)
            except StoreAnswerLost:
                entry = self._store.get(store_key)
            if entry is not None:
                return entry
        raise StoreUnavailable("a claim was neither written nor read")

    def _try_create(
        self, store_key: str, value: bytes, now: float
    ) -> StoreEntry | None:
        lease = self._acquire_write_lease(now)
        try:
            outcome = self._store.compare_and_swap(store_key, 0, value, lease)
        except StoreRefused:
            self._discard_lease(lease)
            return None
        if isinstance(outcome, Swapped):
            return StoreEntry(store_key, value, outcome.revision)
        return outcome.current

    def _acquire_write_lease(self, now: float) -> int:
        """Return this hour's lease and take one write from the allowance."""
        with self._lock:
            if not self._write_limiter.try_acquire(now):
                raise _ClaimRateExceeded
            age = now - self._lease_granted_at
            if self._lease is None or age >= CLAIM_LEASE_REUSE_SECONDS:
                self._lease = self._store.grant_lease(CLAIM_RETENTION_SECONDS)
                self._lease_granted_at = now
            return self._lease

    def _discard_lease(self, lease: int) -> None:
        """Forget a lease that the store no longer knows."""
        with self._lock:
            if self._lease == lease:
                self._lease = None


class _ClaimRateExceeded(Exception):
    """The instance has written its share of claims."""


def _exceeds_key_lifetime(first_attempt_age_s: float | None) -> bool:
    return (
        first_attempt_age_s is not None and first_attempt_age_s >= KEY_LIFETIME_SECONDS
    )


def _names_token(entry: StoreEntry, token: Token) -> bool:
    return entry.value == token.to_text().encode()
