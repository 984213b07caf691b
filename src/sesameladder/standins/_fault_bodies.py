"""Validation of the JSON request bodies that set faults."""

from enum import StrEnum
from typing import Any, TypeVar

from sesameladder.standins._http import RequestRejected

MAX_SHOWN_CHARACTERS = 200

Mode = TypeVar("Mode", bound=StrEnum)


def reject_unknown_keys(body: dict[str, Any], *accepted: str) -> None:
    """Raise ``RequestRejected`` if the body has keys that are not accepted."""
    unknown = ", ".join(sorted(set(body) - set(accepted)))
    if unknown:
        raise RequestRejected(f"unknown keys: {unknown[:MAX_SHOWN_CHARACTERS]}")


def parse_mode(body: dict[str, Any], modes: type[Mode]) -> Mode:
    """Return the body's mode; raises ``RequestRejected`` if it is not a known one."""
    try:
        return modes(body.get("mode", ""))
    except ValueError:
        raise RequestRejected(f"mode is not one of {', '.join(modes)}") from None
