"""Grants and waiting demands that this instance holds as a forwarder."""

from dataclasses import dataclass
from threading import Lock

from sesameladder.peering import GrantItem


@dataclass(slots=True)
class HeldGrant:
    """A slot that a request of this instance uses."""

    grant_id: str
    """Identity of the grant."""

    demand_id: str
    """Identity of the demand that it answers."""

    pool: str
    """Pool of the cell."""

    zone: str
    """Availability zone of the cell."""

    dispatcher: str
    """Entry instance that granted the slot."""

    vm: str
    """Name of the worker's VM."""

    rack: str
    """Rack of the worker."""

    address: str
    """``ip:port`` of the worker."""

    kind: str
    """Kind of work."""

    team: str
    """Team that the slot is charged to."""

    urgent: bool
    """Whether the work is urgent."""

    checkpointable: bool
    """Whether the work can be checkpointed."""

    started_at: float
    """Monotonic time of the grant in seconds."""


class HeldGrants:
    """Registry shared by the request threads; answers a dispatcher's queries."""

    __slots__ = ("grants", "lock", "waiting_demands")

    def __init__(self) -> None:
        self.grants: dict[str, HeldGrant] = {}
        self.waiting_demands: dict[str, tuple[str, str]] = {}
        self.lock = Lock()

    def start_waiting(self, demand_id: str, pool: str, zone: str) -> None:
        """Note that a demand waits in a cell."""
        with self.lock:
            self.waiting_demands[demand_id] = (pool, zone)

    def stop_waiting(self, demand_id: str) -> None:
        """Note that a demand no longer waits."""
        with self.lock:
            self.waiting_demands.pop(demand_id, None)

    def add(self, grant: HeldGrant) -> None:
        """Replace a waiting demand by its grant."""
        with self.lock:
            self.waiting_demands.pop(grant.demand_id, None)
            self.grants[grant.grant_id] = grant

    def remove(self, grant_id: str) -> None:
        """Note that a grant was released."""
        with self.lock:
            self.grants.pop(grant_id, None)

    def find(self, grant_id: str) -> HeldGrant | None:
        """Return a grant that is held, or None."""
        with self.lock:
            return self.grants.get(grant_id)

    def list_held(self) -> list[HeldGrant]:
        """Return all grants that are held."""
        with self.lock:
            return list(self.grants.values())

    def dump(self) -> list[dict[str, object]]:
        """Return the grants as JSON-ready data."""
        return [
            {"grant": grant.grant_id, "vm": grant.vm, "pool": grant.pool}
            for grant in self.list_held()
        ]

    def list_in_cell(
        self, pool: str, zone: str, now: float
    ) -> tuple[tuple[GrantItem, ...], tuple[str, ...]]:
        """Return the grants and the waiting demands of a cell."""
        with self.lock:
            grants = [
                grant
                for grant in self.grants.values()
                if (grant.pool, grant.zone) == (pool, zone)
            ]
            demand_ids = [
                demand_id
                for demand_id, cell in self.waiting_demands.items()
                if cell == (pool, zone)
            ]
        return tuple(build_grant_item(grant, now) for grant in grants), tuple(
            demand_ids
        )


def build_grant_item(grant: HeldGrant, now: float) -> GrantItem:
    """Return a grant as a message item."""
    return GrantItem(
        grant_id=grant.grant_id,
        vm=grant.vm,
        kind=grant.kind,
        team=grant.team,
        demand_id=grant.demand_id,
        urgent=grant.urgent,
        checkpointable=grant.checkpointable,
        ran_ms=(now - grant.started_at) * 1000,
    )
