"""VMs, upkeep waves and what pool owners tell about their pools."""

from dataclasses import dataclass
from enum import StrEnum

from sesameladder.jobs import Resources

DEMAND_ROUNDING_CORES = 8  # a quarter of a small worker; finer steps cost writes


class VmPhase(StrEnum):
    """What a VM is doing."""

    UP = "up"
    MOVING = "moving"
    IN_MAINTENANCE = "in_upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM in the platform's list."""

    name: str
    pool: str
    phase: VmPhase
    zone: str
    labels: tuple[str, ...]
    capacity: Resources
    worker: str
    """Identifier of the worker that runs on it; empty while it is down."""


@dataclass(frozen=True, slots=True)
class Wave:
    """An order to take VMs through upkeep."""

    number: int
    vms: tuple[str, ...]
    finish_within_s: float
    """Time from the order to the end of the wave."""

    max_in_maintenance: int
    """Most VMs of the wave that may be in upkeep at the same time."""


@dataclass(frozen=True, slots=True)
class PoolSummary:
    """What a pool's owner tells the other processes."""

    pending: dict[str, int]
    """Jobs that haven't begun, by queue."""

    drained: tuple[str, ...]
    """Workers that were asked to be emptied and run nothing now."""

    stoppable: tuple[str, ...]
    """Workers to be emptied that run nothing that lasts."""

    orders_revision: int
    """Revision of the orders that this takes into account."""

    lasting: tuple[str, ...] = ()
    """Workers that run something that lasts."""

    used_cores: int = 0
    """Cores that running subtasks ask for, to the next ``DEMAND_ROUNDING_CORES``."""

    waiting_cores: int = 0
    """Cores that would end the waiting subtasks within a second, likewise."""


@dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """A worker whose VM has gone down; another life may have the same name."""

    worker: str
    born_ms: int
    """Start of the life that has ended; 0 where it isn't known."""


@dataclass(frozen=True, slots=True)
class PoolOrders:
    """What the holder of the fleet role tells a pool's owner."""

    emptying: tuple[str, ...] = ()
    """Workers that get no new work and are to be emptied."""

    ended: tuple[EndedIncarnation, ...] = ()
    """Workers whose VM has begun its upkeep or move; nothing runs there."""
