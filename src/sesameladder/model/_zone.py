"""Regions, availability zones, racks and the links between zones."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Rack:
    """A failure domain: workers that share a power supply and a switch."""

    name: str
    """Unique name in the fleet."""

    zone: str
    """Name of the availability zone that holds the rack."""


@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """A failure domain that has entry VMs and upstreams of its own."""

    name: str
    """Unique name in the fleet."""

    region: str
    """Name of the region that holds the zone."""


@dataclass(frozen=True, slots=True)
class Link:
    """The network link between two availability zones."""

    first_zone: str
    """Name of one zone."""

    second_zone: str
    """Name of the other zone."""

    delay_ms: float
    """One-way delay in milliseconds."""


@dataclass(frozen=True, slots=True)
class Region:
    """Availability zones that share one platform store."""

    name: str
    """Unique name in the fleet."""

    zones: tuple[str, ...]
    """Names of the region's availability zones."""
