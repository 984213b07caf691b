"""VMs, maintenance waves, and the records that pool owners and the planner share."""

from dataclasses import dataclass
from enum import StrEnum

from sesameladder.accepted_work import PoolRoom
from sesameladder.jobs import BacklogForecast, Resources

DEMAND_ROUNDING_CORES = 8  # a quarter of a small worker; finer costs more writes


class VmPhase(StrEnum):
    """Phase of a VM as the platform lists it."""

    UP = "up"
    MOVING = "moving"
    IN_MAINTENANCE = "in_upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Vm:
    """One entry of the platform's VM list."""

    name: str
    pool: str
    phase: VmPhase
    zone: str
    labels: tuple[str, ...]
    capacity: Resources
    worker: str
    """Identifier of the worker that runs on the VM; empty while the VM is down."""


@dataclass(frozen=True, slots=True)
class Wave:
    """An operator's order to put a set of VMs through maintenance."""

    number: int
    vms: tuple[str, ...]
    finish_within_s: float
    """Time in seconds from the order within which the wave has to end."""

    max_in_maintenance: int
    """Maximum number of the wave's VMs in maintenance at the same time."""


@dataclass(frozen=True, slots=True)
class PoolSummary:
    """State of a pool that its owner stores for the other processes."""

    pending: dict[str, int]
    """Number of jobs that haven't started, by queue."""

    drained: tuple[str, ...]
    """Workers under a drain order that run nothing."""

    stoppable: tuple[str, ...]
    """Workers under a drain order that run no long-running subtask."""

    orders_revision: int
    """Store revision of the ``PoolOrders`` that the summary reflects."""

    lasting: tuple[str, ...] = ()
    """Workers that run a long-running subtask."""

    used_cores: int = 0
    """Cores that running subtasks request.

    Rounded up to a multiple of ``DEMAND_ROUNDING_CORES``.
    """

    waiting_cores: int = 0
    """Cores that would finish the waiting subtasks within 1 s, rounded up likewise."""

    late_cores: int = 0
    """Part of both for jobs that can't end in time any more, rounded down likewise."""

    offered_cores: int = 0
    """Cores of long-running work and those that the arriving short work will need.

    Rounded up likewise.
    """

    forecast: BacklogForecast | None = None
    """How long new jobs wait; None while they begin soon, and without organisations."""

    room: PoolRoom | None = None
    """What further jobs may need of the owner's memory; None of earlier versions."""

    @property
    def demand_cores(self) -> int:
        """Return the cores that running and waiting subtasks need.

        Not less than the offered load, which rises earlier in a demand peak.
        """
        return max(self.used_cores + self.waiting_cores, self.offered_cores)

    @property
    def urgent_cores(self) -> int:
        """Return the cores that jobs need which can still end in time.

        Not less than the offered load, which rises earlier in a demand peak.
        """
        return max(self.present_urgent_cores, self.offered_cores)

    @property
    def present_urgent_cores(self) -> int:
        """Return the same for the jobs that run and wait now."""
        return max(0, self.used_cores + self.waiting_cores - self.late_cores)


@dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """An incarnation of a worker that has ended.

    A later incarnation may have the same identifier; ``born_ms`` tells them apart.
    """

    worker: str
    born_ms: int
    """Start of the incarnation in Unix milliseconds; 0 if unknown."""

    is_planned: bool = False
    """Whether maintenance or a move of its VM has ended it."""


@dataclass(frozen=True, slots=True)
class OrderedVm:
    """A VM that a holder of the fleet role orders, and what ran on it before."""

    name: str
    pool: str = ""
    worker: str = ""
    """Identifier of the worker; empty if it isn't known."""

    born_ms: int = 0
    """Start of the worker's incarnation in Unix milliseconds; 0 if unknown."""

    wave: int | None = None
    """Number of the wave if the order is for maintenance, else None."""


@dataclass(frozen=True, slots=True)
class PoolOrders:
    """Orders of the fleet role's holder to a pool's owner."""

    emptying: tuple[str, ...] = ()
    """Workers to drain: they get no new work."""

    ended: tuple[EndedIncarnation, ...] = ()
    """Incarnations that ended with a crash, maintenance or move of their VM.

    Nothing runs there any more.
    """
