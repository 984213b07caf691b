"""Outcomes of offering a ticket or a snapshot to a replica."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Applied:
    """The offer was applied."""

    number: int
    """Number of the replica after the offer."""


@dataclass(frozen=True, slots=True)
class Stale:
    """The replica has this number or a higher one already and is unchanged."""

    number: int
    """Number of the replica."""


@dataclass(frozen=True, slots=True)
class Gap:
    """Tickets before the offered one are missing; the replica is unchanged."""

    next_number: int
    """Number of the ticket that the replica needs next."""


@dataclass(frozen=True, slots=True)
class Conflicting:
    """The offer contradicts itself or an applied ticket; the replica is unchanged."""

    reason: str
    """The two values that contradict each other."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """The offer can't be decoded; the replica is unchanged."""

    reason: str
    """Error from decoding the bytes."""


OfferOutcome = Applied | Stale | Gap | Conflicting | Malformed
