"""Availability budgets: how many VMs of a pool have to stay available."""

from dataclasses import dataclass
from enum import StrEnum


class FailureDomain(StrEnum):
    """Kind of failure domain whose loss a pool's buffer of VMs has to cover."""

    RACK = "rack"
    ZONE = "zone"


@dataclass(frozen=True, slots=True)
class AvailabilityBudget:
    """Lower limit of available VMs and upper limit of unavailable VMs of a pool."""

    pool: str
    """Name of the pool."""

    min_available: int
    """Number of VMs that have to be available at any time."""

    max_unavailable: int
    """Maximum number of VMs unavailable at the same time when a stop is planned."""

    survive: FailureDomain = FailureDomain.RACK
    """Kind of failure domain; the pool's buffer covers the loss of any one of them."""
