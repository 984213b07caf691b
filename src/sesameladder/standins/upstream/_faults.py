"""Fault modes of an upstream."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from sesameladder.standins._fault_bodies import parse_mode, reject_unknown_keys
from sesameladder.standins._http import RequestRejected

MAX_FACTOR = 1_000


class FaultMode(StrEnum):
    """How an upstream handles the work that it accepts."""

    NONE = "none"
    """Work runs and gets its response."""

    FAIL = "fail"
    """Work fails at once with status 500."""

    HANG = "hang"
    """Work runs until it is stopped or its lease expires."""

    CRASH = "crash"
    """Work runs, then the connection is closed without a response."""

    WITHHOLD_RESPONSE = "lose_answer"
    """Work runs, then the response is withheld on the open connection."""

    SLOW = "slow"
    """Work takes a multiple of its run time."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault mode and how often it applies."""

    mode: FaultMode = FaultMode.NONE
    """How work is handled."""

    probability: float = 1.0
    """Probability that the fault applies to a piece of work, 0 to 1."""

    factor: float = 1.0
    """Multiple of the run time in the mode ``slow``."""

    count: int | None = None
    """Number of requests that the fault still applies to; None means no limit."""

    @classmethod
    def from_json(cls, body: dict[str, Any]) -> "Fault":
        """Return the fault in a ``POST /-/faults`` body.

        Raises ``RequestRejected`` when the body is invalid.
        """
        reject_unknown_keys(body, "mode", "probability", "factor", "count")
        return cls(
            parse_mode(body, FaultMode),
            _parse_number(body, "probability", 0, 1),
            _parse_number(body, "factor", 1, MAX_FACTOR),
            _parse_count(body),
        )


def _parse_number(body: dict[str, Any], key: str, low: float, high: float) -> float:
    value = body.get(key, 1)
    if type(value) not in (int, float) or not low <= value <= high:
        raise RequestRejected(f"{key} is not a number from {low} to {high}")
    return float(value)


def _parse_count(body: dict[str, Any]) -> int | None:
    value = body.get("count")
    if value is not None and (type(value) is not int or value < 1):
        raise RequestRejected("count is not a whole number above 0")
    return value
