"""Outcomes of filing a ticket."""

from dataclasses import dataclass

from sesameladder.tickets._problems import Problem
from sesameladder.tickets._ticket import Ticket


@dataclass(frozen=True, slots=True)
class Accepted:
    """This filing accepted the ticket."""

    number: int
    """Number of the ticket."""

    read_back: bool = False
    """Whether a response was lost and reads or a repeated write settled the outcome."""


@dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """An equal ticket was accepted under this number before."""

    number: int
    """Number of the ticket."""


@dataclass(frozen=True, slots=True)
class LostRace:
    """Another ticket was accepted under the number; this one was not."""

    winner: Ticket
    """The accepted ticket."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The ticket is invalid for the current state; nothing was changed."""

    problems: tuple[Problem, ...]
    """All problems that were found."""


@dataclass(frozen=True, slots=True)
class NotFiled:
    """A store call failed, and this filing did not accept the ticket."""

    reason: str
    """What failed."""


@dataclass(frozen=True, slots=True)
class Unsettled:
    """The accepting write may have taken effect; its result can't be read now."""

    reason: str
    """What failed."""


FilingOutcome = Accepted | AlreadyAccepted | LostRace | Rejected | NotFiled | Unsettled
