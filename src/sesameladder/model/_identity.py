"""Identity of an entry instance's process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """One incarnation of an entry instance: one process from start to end."""

    instance: str
    """Instance id from the settings."""

    incarnation: int
    """Number that differs between all processes of the instance."""
