"""Parsing of a ticket's JSON into typed rows, with a problem for each error."""

import json
from difflib import get_close_matches
from typing import Any

from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

from sesameladder.environment import MAX_VALUE_BYTES
from sesameladder.tickets._json import JsonInvalid, parse_json
from sesameladder.tickets._problems import Problem, TicketInvalid, shorten_value
from sesameladder.tickets._rows import NAME_RULE, TicketRow
from sesameladder.tickets._sections import SECTIONS

# Room for the number and digest in the head, and for the framing of a bundle.
ENVELOPE_BYTES = 1_024
MAX_TICKET_BYTES = MAX_VALUE_BYTES - ENVELOPE_BYTES
# Larger than a ticket, since input may have white space and escapes that the
# canonical JSON doesn't have.
MAX_INPUT_BYTES = 4 * MAX_VALUE_BYTES
MAX_PROBLEMS = 50

TICKET_ADAPTER = TypeAdapter(TicketRow)
ROW_TYPE_BY_SECTION = {section.name: section.row for section in SECTIONS}


def read_ticket_row(raw: bytes) -> TicketRow:
    """Return the validated row of a ticket; raises ``TicketInvalid``."""
    if len(raw) > MAX_INPUT_BYTES:
        accepted = f"at most {MAX_INPUT_BYTES} bytes of JSON"
        raise TicketInvalid((Problem("ticket", f"{len(raw)} bytes", accepted),))
    ensure_valid_json(raw)
    try:
        return TICKET_ADAPTER.validate_json(raw)
    except ValidationError as error:
        details = error.errors(include_url=False)[:MAX_PROBLEMS]
        raise TicketInvalid(tuple(_describe(item) for item in details)) from error


def ensure_valid_json(raw: bytes) -> None:
    """Raise ``TicketInvalid`` when bytes are not JSON or an object repeats a key."""
    try:
        parse_json(raw)
    except JsonInvalid as error:
        raise TicketInvalid((_describe_invalid_json(str(error)),)) from error


def _describe_invalid_json(reason: str) -> Problem:
    return Problem("ticket", f"bytes that are no JSON ({reason})", "UTF-8 JSON")


def _describe(error: ErrorDetails) -> Problem:
    location = error["loc"]
    if error["type"] == "json_invalid":
        return _describe_invalid_json(error["msg"])
    path = ".".join(shorten_value(str(part)) for part in location) or "ticket"
    if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return Problem(path, "an unknown key", _describe_keys(location))
    if error["type"] in ("missing", "missing_argument"):
        return Problem(path, "nothing", _describe_field(location))
    value = shorten_value(json.dumps(error["input"], ensure_ascii=False, default=str))
    if location[-1:] == ("[key]",):
        return Problem(path.removesuffix(".[key]"), value, NAME_RULE)
    return Problem(path, value, _describe_field(location) or error["msg"])


def _describe_keys(location: tuple[int | str, ...]) -> str:
    row_type = _find_row_type(location[:-1])
    names = list(row_type.__pydantic_fields__)
    close_matches = get_close_matches(str(location[-1]), names, n=1)
    hint = f"{close_matches[0]!r} may be meant; " if close_matches else ""
    return f"{hint}the keys {', '.join(names)}"


def _describe_field(location: tuple[int | str, ...]) -> str:
    if not location:
        return "an object with number, author, reason and the changed sections"
    if len(location) == 2:
        return "an object with the complete new state, or null to remove it"
    field_depth = 1 if len(location) < 2 else 3
    row_type = _find_row_type(location[: field_depth - 1])
    field = row_type.__pydantic_fields__.get(str(location[field_depth - 1]))
    return (field.description or "") if field else ""


def _find_row_type(location: tuple[int | str, ...]) -> Any:
    if not location:
        return TicketRow
    return ROW_TYPE_BY_SECTION.get(str(location[0]), TicketRow)
