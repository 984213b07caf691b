"""Faults of the platform: outages, delays, dropped responses and cut-off zones."""

import threading
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from sesameladder.standins._fault_bodies import parse_mode, reject_unknown_keys
from sesameladder.standins._http import RequestRejected

MAX_DELAY_MS = 600_000


class FaultMode(StrEnum):
    """How the platform handles calls."""

    UP = "up"
    """Calls are handled normally."""

    DOWN = "down"
    """Calls get status 503 and take no effect."""

    SLOW = "slow"
    """Calls are handled after a delay."""

    DROP_RESPONSES = "lose_answers"
    """Calls take effect, then the connection is closed without a response."""

    CUT = "cut"
    """Calls take no effect and the connection is closed without a response."""


UNREACHABLE_MODES = frozenset({FaultMode.DOWN, FaultMode.CUT})
"""Modes in which calls take no effect and VMs can't be reached."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault mode and its parameter."""

    mode: FaultMode = FaultMode.UP
    """How calls are handled."""

    delay_ms: int = 0
    """Delay of each call in the mode ``slow``, in milliseconds."""


NO_FAULT = Fault()


@dataclass(slots=True)
class ActiveFaults:
    """Faults in effect: a default and overrides for single availability zones."""

    default: Fault = NO_FAULT
    """Fault for callers from each zone without an entry in ``by_zone``."""

    by_zone: dict[str, Fault] = field(default_factory=dict)
    """Faults for callers from single zones, by zone name."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    """Protects ``default`` and ``by_zone``."""

    def apply(self, body: dict[str, Any]) -> None:
        """Apply a ``POST /faults`` body to the zones that it names.

        If it names none, its fault becomes the default and replaces all overrides.
        """
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
    """Return the fault and the zones of a ``POST /faults`` body.

    Raises ``RequestRejected`` when the body is invalid.
    """
    reject_unknown_keys(body, "mode", "delay_ms", "zones")
    mode = parse_mode(body, FaultMode)
    delay_ms = body.get("delay_ms", 0)
    if type(delay_ms) is not int or not 0 <= delay_ms <= MAX_DELAY_MS:
        raise RequestRejected(f"delay_ms is not a whole number up to {MAX_DELAY_MS}")
    zones = body.get("zones") or []
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        raise RequestRejected("zones is not a list of names")
    return Fault(mode, delay_ms), zones
