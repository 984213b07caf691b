"""Outcomes of offering a ticket or a snapshot to a replica."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Applied:
    """The replica now has this number."""

    number: int
    """Number of the replica."""


@dataclass(frozen=True, slots=True)
class Stale:
    """The replica has this number or a higher one already; nothing changed."""

    number: int
    """Number of the replica."""


@dataclass(frozen=True, slots=True)
class Gap:
    """Tickets between the replica and the offer are missing; nothing changed."""

    next_number: int
    """Number of the ticket that the replica needs next."""


@dataclass(frozen=True, slots=True)
class Conflicting:
    """The offer contradicts itself or an accepted ticket; nothing changed."""

    reason: str
    """What contradicts what."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """The offer can't be read; nothing changed."""

    reason: str
    """What is wrong with the bytes."""


OfferOutcome = Applied | Stale | Gap | Conflicting | Malformed
