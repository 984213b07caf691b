"""Identity of an entry instance's process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """One run of an entry instance's process."""

    instance: str
    """Instance id from the settings."""

    incarnation: int
    """Number that differs between any two processes of the instance."""
