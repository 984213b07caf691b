"""Grants and waiting demands of this instance as a forwarder."""

from dataclasses import dataclass
from threading import Lock

from sesameladder.peering import GrantItem


@dataclass(slots=True)
class HeldGrant:
    """A slot that a request of this instance uses."""

    grant_id: str
    """Identifier of the grant."""

    demand_id: str
    """Identifier of the demand that the grant was made for."""

    pool: str
    """Pool of the cell."""

    zone: str
    """Availability zone of the cell."""

    dispatcher: str
    """Entry instance that granted the slot."""

    vm: str
    """Name of the VM that the worker runs on."""

    rack: str
    """Rack of the VM."""

    address: str
    """``ip:port`` of the worker's HTTP endpoint."""

    kind: str
    """Kind of work, by which run times are estimated."""

    team: str
    """Team that the slot is charged to."""

    urgent: bool
    """Whether the caller asked for priority."""

    checkpointable: bool
    """Whether the worker can checkpoint the work."""

    started_at: float
    """Monotonic time in seconds at which this instance received the grant."""


class HeldGrants:
    """Thread-safe registry of the grants and demands of all request threads.

    Dispatchers query it to find slots whose release was lost.
    """

    __slots__ = ("grants", "lock", "waiting_demands")

    def __init__(self) -> None:
        self.grants: dict[str, HeldGrant] = {}
        self.waiting_demands: dict[str, tuple[str, str]] = {}
        self.lock = Lock()

    def start_waiting(self, demand_id: str, pool: str, zone: str) -> None:
        """Record that a demand waits in a cell."""
        with self.lock:
            self.waiting_demands[demand_id] = (pool, zone)

    def stop_waiting(self, demand_id: str) -> None:
        """Remove a waiting demand."""
        with self.lock:
            self.waiting_demands.pop(demand_id, None)

    def add(self, grant: HeldGrant) -> None:
        """Record a grant and remove its waiting demand."""
        with self.lock:
            self.waiting_demands.pop(grant.demand_id, None)
            self.grants[grant.grant_id] = grant

    def remove(self, grant_id: str) -> None:
        """Remove a grant that is released."""
        with self.lock:
            self.grants.pop(grant_id, None)

    def find(self, grant_id: str) -> HeldGrant | None:
        """Return a grant, or None if it is not held."""
        with self.lock:
            return self.grants.get(grant_id)

    def list_held(self) -> list[HeldGrant]:
        """Return all grants that are not released."""
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
        """Return the grants and the ids of the waiting demands of a cell."""
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
    """Return a grant as an item of a peer message."""
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
