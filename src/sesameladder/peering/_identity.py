"""Identity of an entry instance in messages."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """An instance id with the incarnation of the process behind it."""

    instance: str
    """Configured instance id."""

    incarnation: int
    """Random 63-bit number that the process drew at its start."""


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
