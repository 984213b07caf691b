"""Where entry instances listen for peers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a configured instance listens for peers."""

    instance: str
    """Configured instance id."""

    zone: str
    """Availability zone of the instance."""

    address: str
    """``ip:port`` of its peer server."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
