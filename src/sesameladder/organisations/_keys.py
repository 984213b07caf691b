"""Decides whether a call that carries a key may be carried out."""

from dataclasses import dataclass
from enum import StrEnum

from sesameladder.organisations._model import Organisation, Organisations

DEFAULT_REVOCATION_S = 5.0  # published bound, for settings that don't state it
# The rest of the bound is left for clocks that run at different rates.
MAX_AGE_SHARE = 0.9
# A watch confirms the configuration every 0.7 s, with the time at which it was sent,
# so the age is at most 1.4 s on a VM in touch with the store.
MAX_REFUSAL_AGE_S = 1.5


class KeyOutcome(StrEnum):
    """Result of the check of a call's key."""

    ACCEPTED = "accepted"
    """The key belongs to an organisation."""

    MISSING = "missing"
    """The call has no key."""

    UNKNOWN = "unknown"
    """The key belongs to no organisation."""

    UNCONFIRMED = "unconfirmed"
    """The configuration is too old to accept or refuse the key by it."""


@dataclass(frozen=True, slots=True)
class KeyCheck:
    """Outcome of a check, and the organisation of an accepted key."""

    outcome: KeyOutcome
    organisation: Organisation | None = None


def check_key(
    organisations: Organisations,
    key: str,
    confirmed_at: float,
    now: float,
    revocation_s: float,
) -> KeyCheck:
    """Check a call's key against a configuration that was confirmed at a time.

    Times are steady times in seconds; ``now`` has to be read after the whole request
    has arrived and after the configuration was read. ``revocation_s`` is the time
    after which a withdrawn key must not be accepted anywhere; 0 if not stated.

    The check takes one digest and calls nothing, so a caller can't make the VM wait or
    the store read by sending keys. It costs a caller with a valid key status 503 on a
    VM that has lost the store for longer than the age limit; repeating the call
    elsewhere is safe, since nothing was stored.
    """
    if not key:
        return KeyCheck(KeyOutcome.MISSING)
    age_s = now - confirmed_at
    # Negated, so that a bound that is not a number accepts nothing.
    if not age_s <= MAX_AGE_SHARE * (revocation_s or DEFAULT_REVOCATION_S):
        return KeyCheck(KeyOutcome.UNCONFIRMED)
    organisation = organisations.find_by_key(key)
    if organisation is not None:
        return KeyCheck(KeyOutcome.ACCEPTED, organisation)
    # The key may have been added since the configuration was confirmed.
    if age_s > MAX_REFUSAL_AGE_S:
        return KeyCheck(KeyOutcome.UNCONFIRMED)
    return KeyCheck(KeyOutcome.UNKNOWN)
