"""Availability budgets: the contract that a pool keeps with its callers."""

from dataclasses import dataclass
from enum import StrEnum


class FailureDomain(StrEnum):
    """The unit of loss that a pool's buffer has to survive."""

    RACK = "rack"
    ZONE = "zone"


@dataclass(frozen=True, slots=True)
class AvailabilityBudget:
    """How many VMs of a pool have to be available and may be missing."""

    pool: str
    """Name of the pool."""

    min_available: int
    """VMs that have to be available at any time."""

    max_unavailable: int
    """VMs that may be unavailable at the same time when a stop is planned."""

    survive: FailureDomain = FailureDomain.RACK
    """Failure domain whose loss the pool's buffer covers."""
