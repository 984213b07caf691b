"""Readers of the fields in documents that others write.

Workers' entries, VM rows, reports, job bodies, configurations and waves are read
with these functions only, so that a value that nothing else can work with goes no
further than the document that holds it.
"""

from collections.abc import Mapping
from typing import Any

from urllib3.util import parse_url

from sesameladder.platform._errors import FieldInvalid, LimitExceeded
from sesameladder.platform._limits import (
    MAX_AMOUNT,
    MAX_LABELS,
    MAX_NAME_BYTES,
    MAX_PORT,
    MAX_SHOWN_CHARACTERS,
)

Fields = Mapping[str, Any]


def read_number(
    fields: Fields, name: str, maximum: int = MAX_AMOUNT, minimum: int = 0
) -> int:
    """Return a number, rounded towards 0; an absent one is 0."""
    return check_number(name, fields.get(name), maximum, minimum)


def check_number(name: str, value: object, maximum: int, minimum: int = 0) -> int:
    """Return a value as a number between two limits, rounded towards 0.

    None stands for an absent field, and is 0.
    """
    if value is None:
        value = 0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldInvalid(f"{name} is {show(value)}, not a number")
    # Written so that NaN, which compares as False, is refused too.
    if not value >= minimum:
        raise FieldInvalid(f"{name} is {show(value)}, less than {minimum}")
    if not value <= maximum:
        raise LimitExceeded(f"{name} is {show(value)}, more than {maximum}")
    return int(value)


def read_whole(
    fields: Fields, name: str, maximum: int = MAX_AMOUNT, minimum: int = 0
) -> int:
    """Return a whole number between two limits; an absent one is 0."""
    value = fields.get(name)
    number = check_number(name, value, maximum, minimum)
    if value is not None and number != value:
        raise FieldInvalid(f"{name} is {show(value)}, not a whole number")
    return number


def read_factor(fields: Fields, name: str, default: float) -> float:
    """Return a number that may be fractional; ``default`` if it is absent or 0."""
    value = fields.get(name)
    check_number(name, value, MAX_AMOUNT)
    return float(value or default)


def read_text(fields: Fields, name: str, max_bytes: int = MAX_NAME_BYTES) -> str:
    """Return a text; an absent one is empty."""
    value = fields.get(name)
    return "" if value is None else check_text(name, value, max_bytes)


def read_name(fields: Fields, name: str) -> str:
    """Return a text that is present and not empty."""
    return check_name(name, fields.get(name))


def check_name(name: str, value: object) -> str:
    """Return a value if it is a text that is not empty."""
    text = check_text(name, value, MAX_NAME_BYTES)
    if not text:
        raise FieldInvalid(f"{name} is empty")
    return text


def check_text(name: str, value: object, max_bytes: int) -> str:
    """Return a value if it is a text of at most ``max_bytes`` in UTF-8."""
    if not isinstance(value, str):
        raise FieldInvalid(f"{name} is {show(value)}, not a string")
    try:
        size = len(value.encode())
    except UnicodeEncodeError as error:
        raise FieldInvalid(f"{name} can't be encoded in UTF-8") from error
    if size > max_bytes:
        raise LimitExceeded(f"{name} has {size} bytes, more than {max_bytes}")
    return value


def read_flag(fields: Fields, name: str) -> bool:
    """Return a truth value; an absent one is False.

    Numbers are accepted as well, 0 for False.
    """
    value = fields.get(name)
    if value is not None and not isinstance(value, bool | int):
        raise FieldInvalid(f"{name} is {show(value)}, not true or false")
    return bool(value)


def read_list(fields: Fields, name: str, max_length: int) -> list[Any]:
    """Return a list of at most ``max_length`` values; an absent one is empty."""
    value = fields.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise FieldInvalid(f"{name} is {show(value)}, not a list")
    if len(value) > max_length:
        raise LimitExceeded(f"{name} has {len(value)} entries, more than {max_length}")
    return value


def read_labels(fields: Fields) -> tuple[str, ...]:
    """Return the labels of a worker or VM; absent ones are none."""
    labels = read_list(fields, "labels", MAX_LABELS)
    return tuple(check_name("labels", label) for label in labels)


def check_object(name: str, value: object) -> Fields:
    """Return a value if it is a JSON object.

    The error doesn't show the value: a misplaced part of the configuration may hold
    keys of organisations.
    """
    if not isinstance(value, dict):
        raise FieldInvalid(f"{name} is not an object")
    return value


def check_header_value(name: str, value: str) -> str:
    """Return a text if it can be sent as the value of a header."""
    if not value or not value.isascii() or not value.isprintable():
        raise FieldInvalid(f"{name} {show(value)} can't be sent in a header")
    return value


def read_address(fields: Fields, name: str) -> str:
    """Return a ``host:port`` address to which calls can be sent."""
    address = read_name(fields, name)
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not is_port or not 1 <= int(port) <= MAX_PORT:
        raise FieldInvalid(f"{name} is {show(address)}, without a port from 1 to 65535")
    try:
        if not host or not host.isascii() or not host.isprintable() or " " in host:
            raise FieldInvalid(f"{show(host)} is no host")
        url = parse_url(f"http://{address}")
        if url.auth or url.port != int(port) or url.request_uri != "/":
            raise FieldInvalid(f"{show(host)} is no host")
        # Socket calls encode host names so, and fail on empty and overlong labels.
        host.encode("idna")
    except ValueError as error:
        raise FieldInvalid(f"{name} is {show(address)}, not host:port") from error
    return address


def show(value: object) -> str:
    """Return the beginning of a value's representation, for errors."""
    try:
        text = repr(value)
    except (RecursionError, ValueError):
        # Deeply nested, or a whole number with too many digits to print.
        return f"a {type(value).__name__} that can't be shown"
    if len(text) > MAX_SHOWN_CHARACTERS:
        return f"{text[:MAX_SHOWN_CHARACTERS]}..."
    return text
