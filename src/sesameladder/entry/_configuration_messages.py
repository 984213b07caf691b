"""Messages to the configuration task."""

from dataclasses import dataclass

from sesameladder.entry._task_messages import PeerMessage, Stop
from sesameladder.environment import VmStatus
from sesameladder.peering import Message
from sesameladder.tickets import Ticket


@dataclass(frozen=True, slots=True)
class PullFinished:
    """A peer's answer to a pull, or None if the pull failed."""

    answer: Message | None


@dataclass(frozen=True, slots=True)
class TicketsRead:
    """Accepted tickets in the order of their numbers, read from the store."""

    tickets: tuple[Ticket, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRead:
    """The configuration state after a ticket, read from the store."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RelayRoleChanged:
    """This instance acquired or lost its zone's relay role."""

    holds_role: bool


@dataclass(frozen=True, slots=True)
class PeerRestarted:
    """A peer runs a new incarnation, which may have no configuration yet."""

    instance: str


@dataclass(frozen=True, slots=True)
class PlanRead:
    """The region's encoded plan, read from the store."""

    data: bytes


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's VM list, read by this instance as its zone's relay."""

    rows: tuple[VmStatus, ...]


ConfigurationMessage = (
    PeerMessage
    | PullFinished
    | TicketsRead
    | SnapshotRead
    | RelayRoleChanged
    | PeerRestarted
    | PlanRead
    | VmListRead
    | Stop
)
