"""Reads ticket files that operators write."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import json5

from sesameladder.client._errors import CommandFailed
from sesameladder.client._exit_codes import ExitCode
from sesameladder.tickets import (
    JsonInvalid,
    Problem,
    Ticket,
    TicketInvalid,
    parse_json,
    parse_ticket,
)


def load_ticket(
    path: str, number: int | None, author: str, find_next_number: Callable[[], int]
) -> Ticket:
    """Return the ticket in a file; a missing number or author is filled in.

    Raises ``TicketInvalid`` for a bad ticket and ``CommandFailed`` when the
    file can't be read.
    """
    document = _parse_document(_read_file(path))
    if isinstance(document, dict):
        document = _fill_defaults(document, number, author, find_next_number)
    return parse_ticket(json.dumps(document).encode())


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        message = f"can't read {path}: {error.strerror}"
        raise CommandFailed(ExitCode.UNREADABLE, message) from error


def _parse_document(raw: bytes) -> Any:
    """Return the value of JSON, or of JSON with comments.

    Plain JSON is tried first, since json5 takes about one second for 60 KB.
    """
    try:
        return parse_json(raw)
    except JsonInvalid:
        pass
    try:
        return parse_json(raw, json5.loads)
    except JsonInvalid as error:
        problem = Problem("ticket", f"unreadable text ({error})", "JSON with comments")
        raise TicketInvalid((problem,)) from error


def _fill_defaults(
    document: dict[str, Any],
    number: int | None,
    author: str,
    find_next_number: Callable[[], int],
) -> dict[str, Any]:
    filled = {"author": author, **document}
    if number is not None:
        if document.get("number", number) != number:
            problem = Problem(
                "number", str(document["number"]), f"{number}, as --number"
            )
            raise TicketInvalid((problem,))
        filled["number"] = number
    if "number" not in filled:
        filled["number"] = find_next_number()
    return filled
