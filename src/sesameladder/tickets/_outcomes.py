"""Outcomes of filing a ticket."""

from dataclasses import dataclass

from sesameladder.tickets._problems import Problem
from sesameladder.tickets._ticket import Ticket


@dataclass(frozen=True, slots=True)
class Accepted:
    """The ticket was accepted by this filing."""

    number: int
    """Number of the ticket."""

    read_back: bool = False
    """Whether an answer was lost and the outcome was found by reading back."""


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """The same content was accepted under this number before."""

    number: int
    """Number of the ticket."""


@dataclass(frozen=True, slots=True)
class LostRace:
    """Another ticket holds the number; this one was not accepted."""

    winner: Ticket
    """The ticket that holds the number."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The ticket is invalid on the current state; nothing was changed."""

    problems: tuple[Problem, ...]
    """Every fault that was found."""


@dataclass(frozen=True, slots=True)
class NotFiled:
    """The store failed before the write that accepts was sent; not accepted."""

    reason: str
    """What failed."""


@dataclass(frozen=True, slots=True)
class Unsettled:
    """The write that accepts may have taken effect and can't be read back."""

    reason: str
    """What failed."""


FilingOutcome = Accepted | AlreadyAccepted | LostRace | Rejected | NotFiled | Unsettled
