"""Reasons for which a ticket is refused."""

from dataclasses import dataclass

MAX_SHOWN_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a ticket."""

    path: str
    """Field path with dots, for example ``vms.w1.zone``; "ticket" for the whole."""

    value: str
    """The value seen, as shortened JSON text, or a statement of what was found."""

    accepted: str
    """What would be accepted in its place."""

    def __str__(self) -> str:
        return f"{self.path}: found {self.value}; accepted: {self.accepted}"


class TicketInvalid(Exception):
    """A ticket that can't be read as one; nothing was written."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def shorten_value(text: str) -> str:
    """Return a value's text, cut to a length that fits on a line."""
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}... ({len(text)} characters)"
