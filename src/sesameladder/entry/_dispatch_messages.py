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
    """A forwarder's grants in a cell, as it reports them."""

    cell: str
    epoch: int
    forwarder: PeerIdentity
    items: tuple[GrantItem, ...]
    demand_ids: tuple[str, ...]
    queried_grant_ids: frozenset[str]


@dataclass(frozen=True, slots=True)
class TasksReported:
    """Number of tasks that a worker runs, as it reports them."""

    cell: str
    epoch: int
    vm: str
    task_count: int


@dataclass(frozen=True, slots=True)
class HandOverAnswered:
    """The previous dispatcher's answer; None when none came."""

    cell: str
    epoch: int
    previous_owner: str
    answer: HandOverAnswer | None


@dataclass(frozen=True, slots=True)
class InstanceGone:
    """All lives of an instance up to an incarnation are over."""

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
