"""Typed messages between entry instances, one class per struct of the schema.

Field names are the schema's names in snake case. An empty text or zero means an
absent value, as in the wire format. Durations are in milliseconds if the name
ends in ``_ms`` and in seconds if it ends in ``_s``.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Failure:
    """Reply to a request that the peer could not process."""

    reason: str


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Reply to a request that asks for no data."""

    accepted: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of an instance, sent every second to a bounded set of peers."""

    zone: str
    configuration_number: int
    plan_version: int
    draining: bool
    relay: bool
    vm_list_sequence: int


@dataclass(frozen=True, slots=True)
class PullConfiguration:
    """Requests the tickets after a number; the reply may be a snapshot instead."""

    after: int


@dataclass(frozen=True, slots=True)
class TicketItem:
    """One accepted ticket, encoded in its canonical form."""

    number: int
    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Tickets:
    """Accepted tickets with consecutive numbers."""

    items: tuple[TicketItem, ...]


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole configuration after a ticket."""

    number: int
    digest: str
    data: bytes


@dataclass(frozen=True, slots=True)
class PullPlan:
    """Requests a region's plan if it is newer than a version."""

    region: str
    after: int


@dataclass(frozen=True, slots=True)
class PlanUpdate:
    """A region's plan; the data is empty if there is no newer plan."""

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
    """The rows of the VM list whose state is not live; other VMs are live."""

    sequence: int
    items: tuple[VmItem, ...]


@dataclass(frozen=True, slots=True)
class GrantPoll:
    """Requests a slot from a dispatcher; repeated while the demand waits."""

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
    """Reply to a grant poll; status is ``granted``, ``waiting`` or ``refused``."""

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
    """Releases the slot of a grant and reports the outcome of its task."""

    pool: str
    zone: str
    grant_id: str
    outcome: str
    ran_ms: float


@dataclass(frozen=True, slots=True)
class DemandCancel:
    """Cancels a demand, whether it is waiting or has a grant."""

    pool: str
    zone: str
    demand_id: str


@dataclass(frozen=True, slots=True)
class PreemptOrder:
    """Orders the forwarder to have the task of a grant checkpointed."""

    grant_id: str
    vm: str


@dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Orders the forwarder to limit the task of a grant to a share of its slot."""

    grant_id: str
    vm: str
    share: float


@dataclass(frozen=True, slots=True)
class GrantQuery:
    """Requests a forwarder's grants and waiting demands in a cell."""

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
    """Requests reports on an instance's cells in some availability zones."""

    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VmGrants:
    """Number of slots in use on one VM, as its dispatcher counts them."""

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
    """Asks the previous dispatcher of a cell to stop granting slots."""

    pool: str
    zone: str
    epoch: int
    plan_version: int


@dataclass(frozen=True, slots=True)
class HandOverAnswer:
    """Tells whether the previous dispatcher has stopped granting slots."""

    accepted: bool


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request, forwarded to the home of its token."""

    request_id: str
    token: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """The outcome of a request.

    ``outcome`` is ``done``, ``not-run``, ``unknown`` or ``not-home``. A negative
    ``retry_after_s`` means an absent value.
    """

    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes
    reason: str
    retry_after_s: float
    request_id: str


@dataclass(frozen=True, slots=True)
class WitnessStart:
    """Asks the witness of a token to record the token's start."""

    token: str


@dataclass(frozen=True, slots=True)
class WitnessVoid:
    """Asks the witness of a token to void it unless its start is recorded."""

    token: str


@dataclass(frozen=True, slots=True)
class WitnessAnswer:
    """Verdict of a witness on a token; the answer is set if it is ``finished``."""

    verdict: str
    answer: ForwardedAnswer


@dataclass(frozen=True, slots=True)
class WitnessRecord:
    """Passes the outcome of a started token to its witness."""

    token: str
    answer: ForwardedAnswer


@dataclass(frozen=True, slots=True)
class TokenHandOver:
    """A chunk of the token table of a home that shuts down."""

    home: str
    home_incarnation: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HomeMovedNotice:
    """Announces the successor of a home that shut down."""

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
