"""Faults of the platform: outages, slowness, lost answers and cut zones."""

import threading
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from sesameladder.standins._http import RequestRejected
from sesameladder.standins._orders import parse_mode, reject_unknown_keys

MAX_DELAY_MS = 600_000


class FaultMode(StrEnum):
    """How the platform treats calls."""

    UP = "up"
    """Calls are answered."""

    DOWN = "down"
    """Calls are refused with 503 and take no effect."""

    SLOW = "slow"
    """Calls are answered after a delay."""

    DROP_RESPONSES = "lose_answers"
    """Calls take effect and their connection ends without an answer."""

    CUT = "cut"
    """Calls take no effect and their connection ends without an answer."""


UNREACHABLE_MODES = frozenset({FaultMode.DOWN, FaultMode.CUT})
"""Modes in which calls take no effect."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault mode with its delay."""

    mode: FaultMode = FaultMode.UP
    """How calls are treated."""

    delay_ms: int = 0
    """Delay of each call in the mode ``slow``, in milliseconds."""


NO_FAULT = Fault()


@dataclass(slots=True)
class ActiveFaults:
    """The fault that applies to all zones, and those of single zones."""

    default: Fault = NO_FAULT
    """Fault of callers from every zone that has none of its own."""

    by_zone: dict[str, Fault] = field(default_factory=dict)
    """Faults of callers from single zones."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    """Protects both fields."""

    def apply(self, body: dict[str, Any]) -> None:
        """Set a fault for the named zones, or for all when none is named."""
        fault, zones = parse_fault_body(body)
        with self.lock:
            for zone in zones:
                self.by_zone[zone] = fault
            if not zones:
                self.default = fault
                self.by_zone.clear()

    def get_fault(self, zone: str) -> Fault:
        """Return the fault that applies to callers from a zone."""
        with self.lock:
            return self.by_zone.get(zone, self.default)


def parse_fault_body(body: dict[str, Any]) -> tuple[Fault, list[str]]:
    """Return the fault and the zones of a ``POST /faults`` body."""
    reject_unknown_keys(body, "mode", "delay_ms", "zones")
    mode = parse_mode(body, FaultMode)
    delay_ms = body.get("delay_ms", 0)
    if type(delay_ms) is not int or not 0 <= delay_ms <= MAX_DELAY_MS:
        raise RequestRejected(f"delay_ms is not a whole number up to {MAX_DELAY_MS}")
    zones = body.get("zones") or []
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        raise RequestRejected("zones is not a list of names")
    return Fault(mode, delay_ms), zones
