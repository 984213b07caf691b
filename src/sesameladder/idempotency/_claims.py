"""Binds a caller's own idempotency key to a token with one store write."""

import threading
from dataclasses import dataclass
from hashlib import blake2b

from sesameladder.environment import (
    PlatformError,
    Store,
    StoreCallRejected,
    StoreEntry,
    StoreOutcomeUnknown,
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

# A claim's lease is less than CLAIM_LEASE_REUSE_SECONDS old when the claim is
# written, so the claim lasts at least this long after the request arrived.
KEY_LIFETIME_SECONDS = CLAIM_RETENTION_SECONDS - CLAIM_LEASE_REUSE_SECONDS


@dataclass(frozen=True, slots=True)
class Bound:
    """The key is bound to a token, under which the request continues."""

    token: Token
    """The token that the claim in the store names."""

    is_offered_token: bool
    """Whether it is the token that was passed to this call of ``bind``."""


@dataclass(frozen=True, slots=True)
class BindRefused:
    """The key's token could not be determined; the request is not sent."""

    not_run: bool
    """Whether it is known that none of the attempts made so far ran."""

    reason: str
    """A ``NotRunReason`` or an ``UnknownReason``."""


class WriteRateLimiter:
    """A token bucket that limits store writes; the caller must hold a lock."""

    __slots__ = ("available", "burst", "rate", "refilled_at")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.available = burst
        self.refilled_at: float | None = None

    def try_acquire(self, now: float) -> bool:
        """Consume one write at the time ``now`` in seconds; False if none is left."""
        if self.refilled_at is not None:
            refill = max(0.0, now - self.refilled_at) * self.rate
            self.available = min(self.burst, self.available + refill)
        self.refilled_at = now
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


def claim_store_key(key: str) -> str:
    """Return the store key under which the claim of a caller's key is kept."""
    digest = blake2b(key.encode(), digest_size=CLAIM_HASH_BYTES).hexdigest()
    return CLAIM_PREFIX + digest


class ClaimBinder:
    """Creates and reads claims; safe for use by several threads.

    A claim lasts for at least ``KEY_LIFETIME_SECONDS`` after the attempt that
    created it arrived. The token that it names has expired by then, so the
    tokens of two successive claims of one key can never start at the same time.
    A retry after the claim expired would find no claim and count as a new
    request; it is refused instead if the caller states the age of its first
    attempt.
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
        """Bind a caller's key to a new token, or return the token it is bound to.

        ``is_first_attempt`` and ``is_retry`` are True if the caller states
        that no earlier attempt was made, or that one was. Both are False if
        the caller states neither. ``first_attempt_age_s`` is the age of the
        first attempt in seconds, or None if the caller doesn't state it.
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
        """Write the claim if it is absent and return the claim in the store.

        A write whose response was lost may take effect only after the claim
        was read back as absent. Repeating the write is safe: the write that
        takes effect later conflicts with the earlier one, and both carry this
        call's own, unique value.
        """
        value = token.to_text().encode()
        for _ in range(MAX_CLAIM_WRITES):
            try:
                entry = self._try_create(store_key, value, now)
            except StoreOutcomeUnknown:
                entry = self._store.get(store_key)
            if entry is not None:
                return entry
        raise StoreUnavailable(
            f"claim {store_key} was neither written nor read"
            f" in {MAX_CLAIM_WRITES} attempts"
        )

    def _try_create(
        self, store_key: str, value: bytes, now: float
    ) -> StoreEntry | None:
        lease = self._acquire_write_lease(now)
        try:
            outcome = self._store.compare_and_swap(store_key, 0, value, lease)
        except StoreCallRejected:
            self._discard_lease(lease)
            return None
        if isinstance(outcome, Swapped):
            return StoreEntry(store_key, value, outcome.revision)
        return outcome.current

    def _acquire_write_lease(self, now: float) -> int:
        """Consume one write and return the lease that claims share.

        A lease is reused for ``CLAIM_LEASE_REUSE_SECONDS``. Raises
        ``_ClaimRateExceeded`` when the write rate is exhausted.
        """
        with self._lock:
            if not self._write_limiter.try_acquire(now):
                raise _ClaimRateExceeded
            age = now - self._lease_granted_at
            if self._lease is None or age >= CLAIM_LEASE_REUSE_SECONDS:
                self._lease = self._store.grant_lease(CLAIM_RETENTION_SECONDS)
                self._lease_granted_at = now
            return self._lease

    def _discard_lease(self, lease: int) -> None:
        """Stop using a lease that the store doesn't know any more."""
        with self._lock:
            if self._lease == lease:
                self._lease = None


class _ClaimRateExceeded(Exception):
    """The instance has used up its rate of claim writes."""


def _exceeds_key_lifetime(first_attempt_age_s: float | None) -> bool:
    return (
        first_attempt_age_s is not None and first_attempt_age_s >= KEY_LIFETIME_SECONDS
    )


def _names_token(entry: StoreEntry, token: Token) -> bool:
    return entry.value == token.to_text().encode()
