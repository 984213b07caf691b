"""Addresses at which entry instances listen for peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Address at which a configured instance listens for peers."""

    instance: str
    """Instance id in the settings."""

    zone: str
    """Name of the instance's availability zone."""

    address: str
    """``ip:port`` of the instance's peer server."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address of the form ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
