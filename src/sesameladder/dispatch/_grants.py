"""Outstanding grants, indexed by demand, forwarder and VM."""

from collections import Counter
from dataclasses import dataclass

from sesameladder.dispatch._types import OutstandingGrant, WorkClass


@dataclass(slots=True)
class Grant:
    """Slot of a worker that a forwarder may use until it releases the grant."""

    grant_id: str
    """Identifier of the grant."""

    demand_id: str
    """Identifier of the demand that was granted."""

    forwarder: str
    """Entry instance that uses the grant."""

    incarnation: int
    """Incarnation of the forwarder."""

    vm: str
    """VM whose slot is held."""

    team: str
    """Team that the slot is charged to."""

    kind: str
    """Kind of work."""

    granted_at: float
    """Time in seconds at which the grant was made."""

    submitted_at: float
    """Time in seconds at which the request was first submitted."""

    expected_ms: float
    """Expected remaining run time when the grant was made, in milliseconds."""

    queue_class: WorkClass
    """Class of the queue from which the demand was granted."""

    checkpointable: bool
    """Whether the job can be checkpointed."""

    charged_class: WorkClass = WorkClass.SHORT
    """Class in which the expected run time was charged to the team."""

    is_long: bool = False
    """Whether the grant counts as long work."""

    resumed: bool = False
    """Whether the grant continues a checkpointed job."""

    failed_before: bool = False
    """Whether earlier attempts of the request failed."""

    is_probe: bool = False
    """Whether the grant probes an ejected worker."""

    preempted_at: float | None = None
    """Time of the last preempt order in seconds, or None."""

    throttled: bool = False
    """Whether a throttle order is in effect for the task."""

    def to_outstanding(self) -> OutstandingGrant:
        """Return the grant in the form reported to another dispatcher."""
        return OutstandingGrant(
            grant_id=self.grant_id,
            demand_id=self.demand_id,
            forwarder=self.forwarder,
            incarnation=self.incarnation,
            vm=self.vm,
            team=self.team,
            kind=self.kind,
            checkpointable=self.checkpointable,
        )


class GrantTable:
    """Indexes of the cell's outstanding grants, with the slots held by team."""

    __slots__ = (
        "by_demand",
        "by_forwarder",
        "by_id",
        "by_vm",
        "held_by_team",
        "long_by_id",
    )

    def __init__(self) -> None:
        self.by_id: dict[str, Grant] = {}
        self.by_demand: dict[str, Grant] = {}
        self.by_forwarder: dict[str, dict[str, Grant]] = {}
        self.by_vm: dict[str, dict[str, Grant]] = {}
        self.held_by_team: Counter[str] = Counter()
        self.long_by_id: dict[str, Grant] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    def add(self, grant: Grant) -> None:
        """Add a grant to all indexes."""
        self.by_id[grant.grant_id] = grant
        self.by_demand[grant.demand_id] = grant
        self.by_forwarder.setdefault(grant.forwarder, {})[grant.grant_id] = grant
        self.by_vm.setdefault(grant.vm, {})[grant.grant_id] = grant
        self.held_by_team[grant.team] += 1
        if grant.is_long:
            self.long_by_id[grant.grant_id] = grant

    def remove(self, grant_id: str) -> Grant | None:
        """Remove and return a grant; None if it is not outstanding."""
        grant = self.by_id.pop(grant_id, None)
        if grant is None:
            return None
        if self.by_demand.get(grant.demand_id) is grant:
            del self.by_demand[grant.demand_id]
        for index, key in (
            (self.by_forwarder, grant.forwarder),
            (self.by_vm, grant.vm),
        ):
            del index[key][grant_id]
            if not index[key]:
                del index[key]
        self.held_by_team[grant.team] -= 1
        if not self.held_by_team[grant.team]:
            del self.held_by_team[grant.team]
        self.long_by_id.pop(grant_id, None)
        return grant

    def mark_long(self, grant: Grant) -> None:
        """Count a grant as long work until it is removed."""
        grant.is_long = True
        self.long_by_id[grant.grant_id] = grant

    def on_vm(self, vm: str) -> list[Grant]:
        """Return the outstanding grants on a VM."""
        return list(self.by_vm.get(vm, {}).values())

    def of_forwarder(self, forwarder: str, incarnation: int) -> list[Grant]:
        """Return the grants of a forwarder's incarnations up to the given one."""
        grants = self.by_forwarder.get(forwarder, {}).values()
        return [grant for grant in grants if grant.incarnation <= incarnation]

    def long_held(self) -> int:
        """Return the number of slots held by long work."""
        return len(self.long_by_id)

    def non_preemptible_held(self) -> int:
        """Return the number of slots held by long work that can't be preempted."""
        return sum(not grant.checkpointable for grant in self.long_by_id.values())

    def short_held(self) -> int:
        """Return the number of slots held by urgent and short work."""
        return len(self.by_id) - len(self.long_by_id)
