"""Input of one planner step, which the entry process collects."""

from collections.abc import Set
from dataclasses import dataclass, field

from sesameladder.environment import VmStatus
from sesameladder.model import FleetState


@dataclass(frozen=True, slots=True)
class CellReport:
    """Latest report of a cell's dispatcher."""

    instance: str
    """Entry instance that sent the report."""

    applied_plan_version: int
    """Plan version that the dispatcher has applied."""

    outstanding: dict[str, int] = field(default_factory=dict)
    """Grants that are not released, by VM; VMs without grants may be absent."""

    mean_demand_slots: float = 0.0
    """Mean demand of the cell, in slots."""

    alive: bool = True
    """Whether the dispatcher has reported within the suspicion time."""

    granting: bool = True
    """Whether the dispatcher has recovered and grants slots."""


@dataclass(frozen=True, slots=True)
class HealthResult:
    """Result of a health check of a worker."""

    healthy: bool
    """Whether the worker accepts tasks; False while it is drained or absent."""

    checked_at: float
    """Time of the check, in seconds since the Unix epoch."""


@dataclass(slots=True)
class Observation:
    """Everything that one planner step depends on besides the plan."""

    now: float
    """Time in seconds since the Unix epoch."""

    configuration: FleetState
    """Configuration in effect; its number identifies its contents."""

    vms: list[VmStatus] = field(default_factory=list)
    """Rows of the platform's VM list; entry VMs have the names of their instances."""

    suspected: Set[str] = frozenset()
    """VMs that their dispatcher suspects of failure or has ejected."""

    unreachable: Set[str] = frozenset()
    """VMs that can't be reached, for example because of a network partition."""

    cells: dict[str, CellReport] = field(default_factory=dict)
    """Dispatcher reports by ``pool/zone``."""

    live_entries: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """Live entry instances by availability zone."""

    leaving_entries: Set[str] = frozenset()
    """Entry instances that are shutting down and hand over their cells."""

    health: dict[str, HealthResult] = field(default_factory=dict)
    """Latest health results by VM."""

    accepted_reboots: dict[str, float] = field(default_factory=dict)
    """Times at which the platform accepted a reboot, by VM."""

    checkpointable: Set[str] = frozenset()
    """VMs whose running stragglers can be checkpointed."""
