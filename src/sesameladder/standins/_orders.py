"""Checks of the JSON orders that set faults."""

from enum import StrEnum
from typing import Any, TypeVar

from sesameladder.standins._http import RequestRefused

MAX_SHOWN_CHARACTERS = 200

Mode = TypeVar("Mode", bound=StrEnum)


def check_keys(order: dict[str, Any], *accepted: str) -> None:
    """Refuse an order with keys that are not accepted."""
    unknown = ", ".join(sorted(set(order) - set(accepted)))
    if unknown:
        raise RequestRefused(f"unknown keys: {unknown[:MAX_SHOWN_CHARACTERS]}")


def read_mode(order: dict[str, Any], modes: type[Mode]) -> Mode:
    """Return the order's mode."""
    try:
        return modes(order.get("mode", ""))
    except ValueError:
        raise RequestRefused(f"mode is not one of {', '.join(modes)}") from None
