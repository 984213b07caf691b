"""Faults of the platform: outages, slowness, lost answers and cut zones."""

import threading
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from sesameladder.standins._http import RequestRefused
from sesameladder.standins._orders import check_keys, read_mode

MAX_DELAY_MS = 600_000


class FaultMode(StrEnum):
    """How the platform treats calls."""

    UP = "up"
    """Calls are answered."""

    DOWN = "down"
    """Calls are refused with 503 and take no effect."""

    SLOW = "slow"
    """Calls are answered after a delay."""

    LOSE_ANSWERS = "lose_answers"
    """Calls take effect and their connection ends without an answer."""

    CUT = "cut"
    """Calls take no effect and their connection ends without an answer."""


UNREACHABLE = frozenset({FaultMode.DOWN, FaultMode.CUT})
"""Modes in which calls take no effect."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault mode with its delay."""

    mode: FaultMode = FaultMode.UP
    """How calls are treated."""

    delay_ms: int = 0
    """Delay of each call in the mode ``slow``, in milliseconds."""


HEALTHY = Fault()


@dataclass(slots=True)
class FaultSwitch:
    """The fault that applies to all zones, and those of single zones."""

    general: Fault = HEALTHY
    """Fault of callers from every zone that has none of its own."""

    by_zone: dict[str, Fault] = field(default_factory=dict)
    """Faults of callers from single zones."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    """Protects both fields."""

    def apply(self, order: dict[str, Any]) -> None:
        """Set a fault for the named zones, or for all when none is named."""
        fault, zones = parse_order(order)
        with self.lock:
            for zone in zones:
                self.by_zone[zone] = fault
            if not zones:
                self.general = fault
                self.by_zone.clear()

    def find(self, zone: str) -> Fault:
        """Return the fault that applies to callers from a zone."""
        with self.lock:
            return self.by_zone.get(zone, self.general)


def parse_order(order: dict[str, Any]) -> tuple[Fault, list[str]]:
    """Return the fault and the zones of a ``POST /faults`` body."""
    check_keys(order, "mode", "delay_ms", "zones")
    mode = read_mode(order, FaultMode)
    delay = order.get("delay_ms", 0)
    if type(delay) is not int or not 0 <= delay <= MAX_DELAY_MS:
        raise RequestRefused(f"delay_ms is not a whole number up to {MAX_DELAY_MS}")
    zones = order.get("zones") or []
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        raise RequestRefused("zones is not a list of names")
    return Fault(mode, delay), zones
