"""Teams and their quotas."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Team:
    """A group of callers with a quota."""

    name: str
    """Unique name in the fleet."""

    weight: int = 1
    """Relative share of a cell's slots while requests of several teams wait."""

    share_cap: float = 1.0
    """Largest share of a cell's slots while other teams wait; above 0, at most 1."""

    urgent_allowed: bool = False
    """Whether the team may mark requests as urgent."""
