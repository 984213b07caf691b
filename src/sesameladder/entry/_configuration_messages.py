"""Messages to the configuration task."""

from dataclasses import dataclass

from sesameladder.entry._task_messages import PeerMessage, Stop
from sesameladder.environment import VmStatus
from sesameladder.peering import Message
from sesameladder.tickets import Ticket


@dataclass(frozen=True, slots=True)
class PullFinished:
    """A peer's answer to a pull; None when none came."""

    response: Message | None


@dataclass(frozen=True, slots=True)
class TicketsRead:
    """Accepted tickets in order, as the store holds them."""

    tickets: tuple[Ticket, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRead:
    """The folded state after a ticket, as read from the store."""

    number: int
    data: bytes


@dataclass(frozen=True, slots=True)
class RelayRoleChanged:
    """Whether this instance holds its zone's relay role."""

    holds_role: bool


@dataclass(frozen=True, slots=True)
class PeerRestarted:
    """A peer runs a new incarnation, which may hold nothing."""

    instance: str


@dataclass(frozen=True, slots=True)
class PlanRead:
    """The region's plan as the store holds it."""

    data: bytes


@dataclass(frozen=True, slots=True)
class VmListRead:
    """The platform's VM list, as this zone's relay read it."""

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
