"""Messages to the dispatch task."""

from dataclasses import dataclass

from sesameladder.entry._task_messages import PeerMessage, Stop
from sesameladder.peering import (
    GrantItem,
    HandOverAnswer,
    PeerIdentity,
)


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The configuration, the plan or the VM list changed."""


@dataclass(frozen=True, slots=True)
class GrantsReported:
    """Grants and waiting demands in a cell that a forwarder reports.

    ``queried_grant_ids`` are the grants that the forwarder was asked about.
    """

    cell: str
    epoch: int
    forwarder: PeerIdentity
    items: tuple[GrantItem, ...]
    demand_ids: tuple[str, ...]
    queried_grant_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class TasksReported:
    """Number of running tasks that a worker reports."""

    cell: str
    epoch: int
    vm: str
    task_count: int


@dataclass(frozen=True, slots=True)
class HandOverAnswered:
    """Answer of a cell's previous owner to a hand-over request."""

    cell: str
    epoch: int
    previous_owner: str
    answer: HandOverAnswer | None


@dataclass(frozen=True, slots=True)
class InstanceGone:
    """All incarnations of an instance up to ``incarnation`` have ended."""

    instance: str
    incarnation: int


DispatchMessage = (
    PeerMessage
    | ViewChanged
    | GrantsReported
    | TasksReported
    | HandOverAnswered
    | InstanceGone
    | Stop
)
