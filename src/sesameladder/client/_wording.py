"""Texts and JSON documents that several subcommands print."""

from collections.abc import Iterable
from datetime import UTC, datetime
from functools import singledispatch
from typing import Any

from sesameladder.client._exit_codes import ExitCode
from sesameladder.tickets import (
    Accepted,
    AlreadyAccepted,
    LostRace,
    NotFiled,
    Problem,
    Rejected,
    Ticket,
    Unsettled,
)

SECTION_NAMES = ("pools", "vms", "budgets", "teams", "maintenance")


def format_time(seconds: float) -> str:
    """Return a Unix time in seconds as a UTC date and time."""
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def summarize_changes(ticket: Ticket) -> str:
    """Return how many objects of each section a ticket sets or removes."""
    counts = []
    for name in SECTION_NAMES:
        objects = getattr(ticket, name)
        if objects:
            removed = sum(item is None for item in objects.values())
            suffix = f" ({removed} removed)" if removed else ""
            counts.append(f"{name} {len(objects)}{suffix}")
    return ", ".join(counts)


def format_problems(problems: Iterable[Problem]) -> list[str]:
    """Return lines of text that describe problems."""
    lines = []
    for problem in problems:
        lines.append(f"  {problem.path}")
        lines.append(f"    found:    {problem.value}")
        lines.append(f"    accepted: {problem.accepted}")
    return lines


def encode_problems(problems: Iterable[Problem]) -> list[dict[str, str]]:
    """Return problems as JSON objects."""
    return [
        {"path": problem.path, "value": problem.value, "accepted": problem.accepted}
        for problem in problems
    ]


@singledispatch
def describe_outcome(
    outcome: Any, ticket: Ticket
) -> tuple[ExitCode, list[str], dict[str, Any]]:
    """Return exit code, lines of text and JSON document of a filing's outcome."""
    raise TypeError(f"unknown outcome of ticket {ticket.number}: {outcome!r}")


@describe_outcome.register
def _(outcome: Accepted, ticket: Ticket) -> tuple[ExitCode, list[str], dict[str, Any]]:
    line = f"ticket {outcome.number} accepted ({summarize_changes(ticket)})"
    if outcome.read_back:
        line += "; the store's answer was lost, and the ticket was read back"
    document = {"outcome": "accepted", "read_back": outcome.read_back}
    return ExitCode.DONE, [line], document


@describe_outcome.register
def _(
    outcome: AlreadyAccepted, ticket: Ticket
) -> tuple[ExitCode, list[str], dict[str, Any]]:
    changes = summarize_changes(ticket)
    line = f"ticket {outcome.number} was accepted before with this content ({changes})"
    return ExitCode.DONE, [line], {"outcome": "already_accepted"}


@describe_outcome.register
def _(outcome: LostRace, ticket: Ticket) -> tuple[ExitCode, list[str], dict[str, Any]]:
    winner = outcome.winner
    lines = [
        f"ticket {ticket.number} refused: {winner.author} filed another ticket "
        f"{winner.number} first",
        f"  its reason: {winner.reason}",
        f"  it changes: {summarize_changes(winner)}",
        "nothing of yours was changed; look at it and file under the next number",
    ]
    document = {"outcome": "lost_race", "winner": winner.to_json()}
    return ExitCode.LOST_RACE, lines, document


@describe_outcome.register
def _(outcome: Rejected, ticket: Ticket) -> tuple[ExitCode, list[str], dict[str, Any]]:
    lines = [f"ticket {ticket.number} refused, nothing was changed:"]
    document = {"outcome": "rejected", "problems": encode_problems(outcome.problems)}
    return ExitCode.REFUSED, lines + format_problems(outcome.problems), document


@describe_outcome.register
def _(outcome: NotFiled, ticket: Ticket) -> tuple[ExitCode, list[str], dict[str, Any]]:
    line = f"ticket {ticket.number} was not filed: {outcome.reason}"
    document = {"outcome": "not_filed", "reason": outcome.reason}
    return ExitCode.NOT_REACHED, [line], document


@describe_outcome.register
def _(outcome: Unsettled, ticket: Ticket) -> tuple[ExitCode, list[str], dict[str, Any]]:
    number = ticket.number
    lines = [
        f"it is unknown whether ticket {number} was accepted: {outcome.reason}",
        f"file it again with --number {number}; the same content is accepted once",
    ]
    document = {"outcome": "unsettled", "reason": outcome.reason}
    return ExitCode.UNSETTLED, lines, document
