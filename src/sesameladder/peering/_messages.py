"""Typed messages between entry instances, one class per struct of the schema.

Field names match the schema's names in snake case. Empty text and zero stand
for absent values, as in the wire format. Durations are in milliseconds where
the name ends in ``_ms`` and in seconds where it ends in ``_s``.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Failure:
    """The peer could not answer a request."""

    reason: str


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Plain answer to a request that only has to arrive."""

    accepted: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent every second to a bounded set of peers."""

    zone: str
    configuration_number: int
    plan_version: int
    draining: bool
    relay: bool
    vm_list_sequence: int


@dataclass(frozen=True, slots=True)
class PullConfiguration:
    """Asks for the tickets after a number, or a snapshot."""

    after: int


@dataclass(frozen=True, slots=True)
class TicketItem:
    """One accepted ticket in its canonical form."""

    number: int
    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Tickets:
    """Consecutive accepted tickets."""

    items: tuple[TicketItem, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The folded state after a ticket."""

    number: int
    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class PullPlan:
    """Asks for a region's plan if it is newer than a version."""

    region: str
    after: int


@dataclass(frozen=True, slots=True)
class PlanUpdate:
    """A region's plan; empty data when there is none newer."""

    region: str
    version: int
    data: bytes


@dataclass(frozen=True, slots=True)
class VmItem:
    """One row of the platform's VM list."""

    name: str
    zone: str
    state: str
    changed_at: float


@dataclass(frozen=True, slots=True)
class VmListUpdate:
    """The rows of the VM list that are not live; a VM without a row is live."""

    sequence: int
    items: tuple[VmItem, ...]


@dataclass(frozen=True, slots=True)
class GrantPoll:
    """Asks a dispatcher for a slot; sent again while the demand waits."""

    pool: str
    zone: str
    epoch: int
    demand_id: str
    team: str
    kind: str
    urgent: bool
    repeatable: bool
    attempt: int
    expected_ms: float
    checkpointable: bool
    deadline_ms: float
    tried_workers: tuple[str, ...]
    tried_racks: tuple[str, ...]
    resumed: bool


@dataclass(frozen=True, slots=True)
class GrantAnswer:
    """Answer to a poll; status is ``granted``, ``waiting`` or ``refused``."""

    status: str
    demand_id: str
    grant_id: str = ""
    vm: str = ""
    rack: str = ""
    address: str = ""
    reason: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GrantRelease:
    """Returns a slot with the outcome of its task."""

    pool: str
    zone: str
    grant_id: str
    outcome: str
    ran_ms: float


@dataclass(frozen=True, slots=True)
class DemandCancel:
    """Withdraws a demand, whether it waits or has a grant."""

    pool: str
    zone: str
    demand_id: str


@dataclass(frozen=True, slots=True)
class PreemptOrder:
    """Orders the forwarder to checkpoint the task of a grant."""

    grant_id: str
    vm: str


@dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Orders the forwarder to throttle the task of a grant."""

    grant_id: str
    vm: str
    share: float


@dataclass(frozen=True, slots=True)
class GrantQuery:
    """Asks a forwarder for its grants and demands in a cell."""

    pool: str
    zone: str


@dataclass(frozen=True, slots=True)
class GrantItem:
    """One grant that a forwarder holds."""

    grant_id: str
    vm: str
    kind: str
    team: str
    demand_id: str
    urgent: bool
    checkpointable: bool
    ran_ms: float


@dataclass(frozen=True, slots=True)
class GrantList:
    """All grants and waiting demands of a forwarder in a cell."""

    complete: bool
    incarnation: int
    items: tuple[GrantItem, ...]
    demand_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CellQuery:
    """Asks an instance for reports on its cells in some zones."""

    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VmGrants:
    """Grants outstanding on one VM, as its dispatcher counts them."""

    vm: str
    outstanding: int
    suspected: bool
    checkpointable: bool


@dataclass(frozen=True, slots=True)
class CheckpointRequest:
    """Asks a dispatcher to have the tasks on a VM checkpointed."""

    pool: str
    zone: str
    vm: str


@dataclass(frozen=True, slots=True)
class CellReport:
    """A dispatcher's report on one cell."""

    pool: str
    zone: str
    plan_version: int
    epoch: int
    mean_demand_slots: float
    granting: bool
    vms: tuple[VmGrants, ...]


@dataclass(frozen=True, slots=True)
class CellReports:
    """Reports on all cells of an instance."""

    draining: bool
    items: tuple[CellReport, ...]


@dataclass(frozen=True, slots=True)
class HandOverRequest:
    """Asks the previous dispatcher of a cell to stop granting."""

    pool: str
    zone: str
    epoch: int
    plan_version: int


@dataclass(frozen=True, slots=True)
class HandOverAnswer:
    """Whether the previous dispatcher has stopped to grant."""

    accepted: bool


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request on its way to the home of its token."""

    request_id: str
    token: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """An outcome; ``outcome`` is ``done``, ``not-run`` or ``unknown``."""

    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes
    reason: str
    retry_after_s: float
    request_id: str


@dataclass(frozen=True, slots=True)
class WitnessStart:
    """Asks the witness of a token to record its start."""

    token: str


@dataclass(frozen=True, slots=True)
class WitnessVoid:
    """Asks the witness of a token to void it unless it was started."""

    token: str


@dataclass(frozen=True, slots=True)
class WitnessAnswer:
    """Verdict of a witness; the answer holds where it is ``finished``."""

    verdict: str
    answer: ForwardedAnswer


@dataclass(frozen=True, slots=True)
class WitnessRecord:
    """Gives the witness the outcome of a started token."""

    token: str
    answer: ForwardedAnswer


@dataclass(frozen=True, slots=True)
class TokenHandOver:
    """The token table of a home that shuts down."""

    home: str
    home_incarnation: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HomeMovedNotice:
    """Tells that a successor answers for a home that shut down."""

    home: str
    home_incarnation: int
    successor: str
    successor_incarnation: int


Message = (
    Failure
    | Acknowledgement
    | Heartbeat
    | PullConfiguration
    | Tickets
    | Snapshot
    | PullPlan
    | PlanUpdate
    | VmListUpdate
    | GrantPoll
    | GrantAnswer
    | GrantRelease
    | DemandCancel
    | PreemptOrder
    | ThrottleOrder
    | GrantQuery
    | GrantList
    | CellQuery
    | CellReports
    | CheckpointRequest
    | HandOverRequest
    | HandOverAnswer
    | ForwardedRequest
    | ForwardedAnswer
    | WitnessStart
    | WitnessVoid
    | WitnessAnswer
    | WitnessRecord
    | TokenHandOver
    | HomeMovedNotice
)
