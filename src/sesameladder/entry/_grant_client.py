"""Client of the dispatchers, which acquires and releases slots."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from uuid import uuid4

from sesameladder.dispatch import OutcomeKind, RefusalReason
from sesameladder.entry._held_grants import HeldGrant, HeldGrants
from sesameladder.entry._request import CallerRequest
from sesameladder.entry._view import FleetView
from sesameladder.observability import Metric, Metrics
from sesameladder.peering import (
    DemandCancel,
    GrantAnswer,
    GrantPoll,
    GrantRelease,
    PeeringError,
    Peers,
)
from sesameladder.planning import DispatcherRow

# Dispatchers answer a poll within this time, see ``_cell_runtime``.
POLL_WAIT_S = 0.5
POLL_MARGIN_S = 0.5
# A grant that arrives more than this time after its poll was sent is released
# unused, because its slot may already be granted to another demand.
MAX_GRANT_WAIT_S = 1.0
SUSPICION_DURATION_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0

# Reasons for which the dispatchers of the other zones would refuse a demand too.
FINAL_REFUSAL_REASONS = frozenset({RefusalReason.NEVER_RUNS.value})

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class NoGrant:
    """No dispatcher granted a slot; nothing was sent to a worker."""

    reason: str
    """Reason of the last refusal."""

    retry_after_s: float
    """Time in seconds after which the caller may retry."""


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """Workers and racks that earlier attempts of a request used."""

    attempt: int = 1
    """Number of the attempt, from 1."""

    tried_workers: tuple[str, ...] = ()
    """VMs of earlier attempts that failed."""

    tried_racks: tuple[str, ...] = ()
    """Racks of earlier attempts that failed."""

    resumed_demand: str = ""
    """Demand id of the checkpointed work that the attempt resumes, or empty.

    The dispatcher looks up the work's progress and age by this id.
    """


class GrantClient:
    """Submits demands to the own zone's dispatcher first, then to other zones.

    ``zones`` is in the order of preference. A dispatcher that didn't answer is
    asked last until the time in ``suspected_until``.
    """

    __slots__ = (
        "clock",
        "held_grants",
        "metrics",
        "peers",
        "suspected_until",
        "view",
        "zones",
    )

    def __init__(
        self,
        peers: Peers,
        view: FleetView,
        held_grants: HeldGrants,
        zones: list[str],
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.metrics = metrics
        self.peers = peers
        self.view = view
        self.held_grants = held_grants
        self.zones = zones
        self.clock = clock
        self.suspected_until: dict[str, float] = {}

    def acquire(
        self, request: CallerRequest, history: AttemptHistory, deadline: float
    ) -> HeldGrant | NoGrant:
        """Return a grant, or the last refusal if no dispatcher grants a slot.

        ``deadline`` is a monotonic time in seconds.
        """
        refusal = NoGrant("no dispatcher is known for the pool", DEFAULT_RETRY_AFTER_S)
        requested_at = self.clock()
        for zone in self._order_zones(request.pool):
            outcome = self._acquire_in_zone(request, history, zone, deadline)
            if isinstance(outcome, HeldGrant):
                self._record_metrics(outcome, self.clock() - requested_at)
                return outcome
            refusal = outcome
            if refusal.reason in FINAL_REFUSAL_REASONS or self.clock() >= deadline:
                break
        return refusal

    def release(self, grant: HeldGrant, outcome: OutcomeKind, ran_ms: float) -> None:
        """Release a slot without waiting for an answer.

        If the message is lost, the dispatcher frees the slot after it has queried
        this instance's grants.
        """
        self.held_grants.remove(grant.grant_id)
        message = GrantRelease(
            grant.pool, grant.zone, grant.grant_id, outcome.value, ran_ms
        )
        self.peers.send(grant.dispatcher, message)

    def _record_metrics(self, grant: HeldGrant, waited_s: float) -> None:
        self.metrics.count(Metric.GRANTS, grant.pool)
        self.metrics.record_time(Metric.QUEUE_WAIT, waited_s * 1000, grant.pool)
        if grant.zone != self.zones[0]:
            self.metrics.count(Metric.SPILLOVERS, grant.pool)

    def _order_zones(self, pool: str) -> list[str]:
        dispatched_zones = self.view.list_cell_zones(pool)
        candidate_zones = [zone for zone in self.zones if zone in dispatched_zones]
        now = self.clock()
        return sorted(
            candidate_zones, key=lambda zone: self._is_suspected(pool, zone, now)
        )

    def _is_suspected(self, pool: str, zone: str, now: float) -> bool:
        row = self.view.find_dispatcher(pool, zone)
        return row is None or self.suspected_until.get(row.instance, 0.0) > now

    def _acquire_in_zone(
        self,
        request: CallerRequest,
        history: AttemptHistory,
        zone: str,
        deadline: float,
    ) -> HeldGrant | NoGrant:
        row = self.view.find_dispatcher(request.pool, zone)
        if row is None:
            return NoGrant("the cell has no dispatcher", DEFAULT_RETRY_AFTER_S)
        demand_id = history.resumed_demand or uuid4().hex
        self.held_grants.start_waiting(demand_id, request.pool, zone)
        try:
            return self._poll_until_decided(request, history, row, demand_id, deadline)
        except PeeringError as error:
            self.suspected_until[row.instance] = self.clock() + SUSPICION_DURATION_S
            self._cancel(row.instance, request.pool, zone, demand_id)
            return NoGrant(f"dispatcher unreachable: {error}", DEFAULT_RETRY_AFTER_S)
        finally:
            self.held_grants.stop_waiting(demand_id)

    def _poll_until_decided(
        self,
        request: CallerRequest,
        history: AttemptHistory,
        row: DispatcherRow,
        demand_id: str,
        deadline: float,
    ) -> HeldGrant | NoGrant:
        while (polled_at := self.clock()) < deadline:
            remaining_ms = (deadline - polled_at) * 1000
            poll = _build_poll(request, history, row, demand_id, remaining_ms)
            answer = self.peers.call(row.instance, poll, POLL_WAIT_S + POLL_MARGIN_S)
            if not isinstance(answer, GrantAnswer):
                break
            if answer.status == "refused":
                return NoGrant(answer.reason, answer.retry_after_s)
            if answer.status == "granted":
                grant = _build_held_grant(request, row, answer, self.clock())
                if self.clock() - polled_at <= MAX_GRANT_WAIT_S:
                    self.held_grants.add(grant)
                    return grant
                self.release(grant, OutcomeKind.UNUSED, 0.0)
                return NoGrant("the grant came too late", DEFAULT_RETRY_AFTER_S)
        self._cancel(row.instance, request.pool, row.zone, demand_id)
        return NoGrant("no slot before the deadline", DEFAULT_RETRY_AFTER_S)

    def _cancel(self, instance: str, pool: str, zone: str, demand_id: str) -> None:
        self.peers.send(instance, DemandCancel(pool, zone, demand_id))


def _build_poll(
    request: CallerRequest,
    history: AttemptHistory,
    row: DispatcherRow,
    demand_id: str,
    remaining_ms: float,
) -> GrantPoll:
    return GrantPoll(
        pool=request.pool,
        zone=row.zone,
        epoch=row.epoch,
        demand_id=demand_id,
        team=request.team,
        kind=request.kind,
        urgent=request.urgent,
        repeatable=request.repeatable,
        attempt=history.attempt,
        expected_ms=request.expected_ms,
        checkpointable=request.checkpointable,
        deadline_ms=remaining_ms,
        tried_workers=history.tried_workers,
        tried_racks=history.tried_racks,
        resumed=bool(history.resumed_demand),
    )


def _build_held_grant(
    request: CallerRequest, row: DispatcherRow, answer: GrantAnswer, now: float
) -> HeldGrant:
    return HeldGrant(
        grant_id=answer.grant_id,
        demand_id=answer.demand_id,
        pool=request.pool,
        zone=row.zone,
        dispatcher=row.instance,
        vm=answer.vm,
        rack=answer.rack,
        address=answer.address,
        kind=request.kind,
        team=request.team,
        urgent=request.urgent,
        checkpointable=request.checkpointable,
        started_at=now,
    )
