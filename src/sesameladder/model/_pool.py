"""Pools of worker VMs."""

from dataclasses import dataclass

DEFAULT_WAIT_LIMIT_MS = 10_000
DEFAULT_QUEUE_LIMIT = 512


@dataclass(frozen=True, slots=True)
class Pool:
    """A group of worker VMs that run one service."""

    name: str
    """Unique name in the fleet."""

    service: str
    """Name of the service that the pool runs."""

    floor_slots: int = 0
    """Number of slots that the pool's mean demand needs."""

    spare: bool = False
    """Whether the pool lends VMs to pools that are short of capacity."""

    wait_limit_ms: int = DEFAULT_WAIT_LIMIT_MS
    """Longest time a request may wait in a cell's queue, in milliseconds."""

    queue_limit: int = DEFAULT_QUEUE_LIMIT
    """Maximum number of requests that wait in one cell's queue."""
