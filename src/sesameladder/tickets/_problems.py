"""Problems because of which a ticket is rejected."""

from dataclasses import dataclass

MAX_SHOWN_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class Problem:
    """One reason why a ticket is rejected."""

    path: str
    """Dotted path of the field, such as ``vms.w1.zone``; "ticket" for the whole."""

    value: str
    """The value that was found, as shortened JSON, or a description of it."""

    accepted: str
    """Description of the values that are accepted."""

    def __str__(self) -> str:
        return f"{self.path}: found {self.value}; accepted: {self.accepted}"


class TicketInvalid(Exception):
    """The bytes are not a valid ticket; nothing was written."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def shorten_value(text: str) -> str:
    """Return a text, cut after ``MAX_SHOWN_CHARACTERS`` to fit on a line."""
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}... ({len(text)} characters)"
