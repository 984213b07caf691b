"""The dispatcher of one cell: one pool's workers in one availability zone."""

from dataclasses import dataclass, replace
from random import Random

from sesameladder.dispatch._admission import Admission
from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._config import DispatcherConfig
from sesameladder.dispatch._dump import dump_cell
from sesameladder.dispatch._forwarders import ForwarderIncarnations
from sesameladder.dispatch._grants import Grant
from sesameladder.dispatch._long_work import LongWorkPolicy
from sesameladder.dispatch._outcomes import OutcomeRecorder
from sesameladder.dispatch._placement import Placement
from sesameladder.dispatch._queue import WaitingDemand
from sesameladder.dispatch._recovery import Recovery
from sesameladder.dispatch._shares import charge_share
from sesameladder.dispatch._types import (
    Decision,
    Demand,
    Granted,
    GrantOutcome,
    LeavingSource,
    OutcomeKind,
    OutstandingGrant,
    Queued,
    RefusalReason,
    Refused,
    WorkClass,
    WorkerSpec,
)
from sesameladder.dispatch._workers import Worker
from sesameladder.model import Pool, Team


@dataclass(frozen=True, slots=True)
class HandOver:
    """State that a dispatcher passes on when it stops granting."""

    outstanding_grants: list[OutstandingGrant]
    """Grants that are not released yet."""

    queued_demand_ids: list[str]
    """Identifiers of the waiting demands; forwarders submit them again."""


class Dispatcher:
    """Queues demands and grants the slots of the cell's workers.

    All times are seconds of one monotonic clock, passed in as ``now``. The
    object is not thread-safe. Each dispatcher of a cell needs its own
    ``grant_prefix``, so that grant identifiers are unique.
    """

    __slots__ = (
        "admission",
        "cell",
        "forwarders",
        "grant_count",
        "grant_prefix",
        "handed_over",
        "long_work",
        "outcomes",
        "placement",
        "recovery",
        "undelivered_decisions",
    )

    def __init__(
        self, config: DispatcherConfig, random: Random, grant_prefix: str = ""
    ) -> None:
        self.cell = CellState.create(config, random)
        self.long_work = LongWorkPolicy(self.cell)
        self.admission = Admission(self.cell, self.long_work)
        self.forwarders = ForwarderIncarnations()
        self.placement = Placement(self.cell, self.long_work)
        self.outcomes = OutcomeRecorder(self.cell)
        self.recovery = Recovery(self.cell)
        self.undelivered_decisions: list[Decision] = []
        self.grant_prefix = grant_prefix
        self.grant_count = 0
        self.handed_over = False

    def update_teams(self, teams: dict[str, Team]) -> None:
        """Replace the teams with their weights, share caps and permissions."""
        self.cell.teams = dict(teams)

    def update_limits(self, pool: Pool) -> None:
        """Apply the pool's queue and wait limits; waiting demands keep their expiry."""
        self.cell.config = replace(
            self.cell.config,
            queue_limit=pool.queue_limit,
            wait_limit_ms=pool.wait_limit_ms,
        )

    def submit(self, demand: Demand, now: float) -> Queued | Refused:
        """Queue a demand or refuse it at once.

        Submitting a waiting demand again has no effect. If the demand already has
        a grant and is not resumed, the next ``poll`` returns that grant again.
        """
        if self.handed_over:
            return self.admission.refuse(demand, RefusalReason.HANDED_OVER)
        self._process_due_events(now)
        if self.forwarders.is_stale(demand.forwarder, demand.incarnation):
            return self.admission.refuse(demand, RefusalReason.FORWARDER_GONE)
        if self.forwarders.record_incarnation(demand.forwarder, demand.incarnation):
            self.mark_forwarder_gone(demand.forwarder, demand.incarnation - 1, now)
        if demand.demand_id in self.cell.queue.by_id:
            return Queued(demand.demand_id, 0.0)
        if demand.demand_id in self.cell.grants.by_demand and not demand.resumed:
            return self._repeat_grant(demand)
        if demand.urgent and not self.cell.allows_urgent(demand.team):
            demand = replace(demand, urgent=False)
        work_class = self._classify(demand)
        refused = self._check_admission(demand, work_class, now)
        if refused is not None:
            return refused
        return self._enqueue(demand, work_class, now)

    def poll(self, now: float) -> list[Decision]:
        """Return new and repeated grants, refusals, preempt and throttle orders.

        There are no new grants before the recovery has ended.
        """
        if self.handed_over:
            return []
        self._process_due_events(now)
        decisions = self.undelivered_decisions + self._refuse_expired(now)
        self.undelivered_decisions = []
        if self.recovery.is_over(now):
            for item, worker in self.placement.match_demands(now):
                decisions.append(self._grant(item, worker, now))
            self.long_work.update(now)
            decisions.extend(self.long_work.order_preempts_and_throttles(now))
        return decisions

    def release(self, grant_id: str, outcome: GrantOutcome, now: float) -> bool:
        """Release a grant; return False if it is not outstanding.

        A grant is no longer outstanding once it was released, or once its slot
        was freed because its forwarder was gone.
        """
        grant = self.cell.grants.by_id.get(grant_id)
        if grant is None:
            self.recovery.record_early_release(grant_id, now)
            return False
        self.outcomes.record(grant, outcome, now)
        if outcome.kind == OutcomeKind.CHECKPOINTED:
            self.long_work.observe_checkpoint(grant, now)
        self._free_slot(grant, now)
        return True

    def cancel(self, demand_id: str, now: float) -> bool:
        """Remove a waiting demand; return False if it doesn't wait."""
        was_waiting = self.cell.queue.remove(demand_id) is not None
        self.long_work.update(now)
        return was_waiting

    def update_workers(self, workers: list[WorkerSpec], now: float) -> None:
        """Replace the list of the cell's workers."""
        previous_vms = set(self.cell.workers.by_vm)
        self.cell.workers.update(workers, now)
        for vm in previous_vms - {spec.vm for spec in workers}:
            self.cell.outliers.remove_worker(vm)
        for worker in self.cell.workers.by_vm.values():
            worker.held = len(self.cell.grants.by_vm.get(worker.spec.vm, {}))
            self.cell.refresh_worker(worker, now)

    def mark_leaving(self, vm: str, source: LeavingSource, now: float) -> None:
        """Stop granting slots of a VM, which need not be listed yet."""
        self.cell.leaving.mark_leaving(vm, source, now)
        self._refresh_vm(vm, now)

    def mark_serving(self, vm: str, source: LeavingSource, now: float) -> None:
        """Record that a source reports a VM as serving."""
        self.cell.leaving.mark_serving(vm, source, now)
        self._refresh_vm(vm, now)

    def recover(self, grants: list[OutstandingGrant], now: float) -> None:
        """Add grants reported by forwarders; the first call starts the recovery."""
        self.recovery.begin(now)
        for reported in grants:
            grant = self.recovery.adopt(reported, now)
            if grant is None:
                continue
            self._occupy_slot(grant, now)
            if self.forwarders.is_stale(grant.forwarder, grant.incarnation):
                self._free_slot_after_lease(grant, now)

    def apply_task_report(self, vm: str, running_tasks: int, now: float) -> None:
        """Apply the number of tasks that a worker runs at the time ``now``."""
        worker = self.cell.workers.by_vm.get(vm)
        if worker is not None:
            self.recovery.apply_report(worker, running_tasks, now)
            self.cell.refresh_worker(worker, now)

    def workers_awaiting_report(self, now: float) -> list[WorkerSpec]:
        """Return the workers whose number of running tasks is needed."""
        return [worker.spec for worker in self.recovery.workers_awaiting_report(now)]

    def mark_forwarder_gone(self, forwarder: str, incarnation: int, now: float) -> None:
        """Record that a forwarder's incarnations up to the given one have ended.

        Their waiting demands are removed. Their slots become free after one task
        lease, since their tasks may run until then.
        """
        self.forwarders.end_incarnations(forwarder, incarnation)
        for grant in self.cell.grants.of_forwarder(forwarder, incarnation):
            self._free_slot_after_lease(grant, now)
        for item in list(self.cell.queue.by_id.values()):
            demand = item.demand
            if demand.forwarder == forwarder and demand.incarnation <= incarnation:
                self.cell.queue.remove(demand.demand_id)

    def slots_in_use(self, vm: str) -> int:
        """Return the number of a VM's slots held by grants and unknown tasks."""
        worker = self.cell.workers.by_vm.get(vm)
        unknown_tasks = worker.unknown_tasks if worker else 0
        return len(self.cell.grants.by_vm.get(vm, {})) + unknown_tasks

    def outstanding_grants(self) -> list[OutstandingGrant]:
        """Return the grants that are not released yet."""
        return [grant.to_outstanding() for grant in self.cell.grants.by_id.values()]

    def hand_over(self) -> HandOver:
        """Stop granting permanently; return outstanding grants and waiting demands."""
        self.handed_over = True
        return HandOver(self.outstanding_grants(), list(self.cell.queue.by_id))

    def next_wakeup(self, now: float) -> float | None:
        """Return the next time at which ``poll`` may have decisions without new events.

        None if there is no such time.
        """
        if self.handed_over:
            return None
        if self.undelivered_decisions:
            return now
        times = [
            self.cell.queue.next_expiry(),
            self.forwarders.next_slot_release(),
            self.long_work.next_straggler_check(),
            self.long_work.next_headroom_exemption(now),
            self.cell.outliers.next_probe_at() if len(self.cell.queue) else None,
            self.cell.workers.timers[0][0] if self.cell.workers.timers else None,
        ]
        if not self.recovery.is_over(now):
            times.append(self.recovery.ends_at)
        return min((time for time in times if time is not None), default=None)

    def dump(self) -> dict[str, object]:
        """Return the state of the dispatcher as a JSON object."""
        return dump_cell(self.cell, self.grant_count, self.handed_over)

    def _classify(self, demand: Demand) -> WorkClass:
        if demand.urgent:
            return WorkClass.URGENT
        if demand.resumed or self.cell.estimates.is_long(demand.kind):
            return WorkClass.LONG
        return WorkClass.SHORT

    def _check_admission(
        self, demand: Demand, work_class: WorkClass, now: float
    ) -> Refused | None:
        if demand.resumed:
            return self.admission.check_retry(demand, now)
        if self.recovery.is_over(now) and not self.cell.workers.any_may_serve():
            return self.admission.refuse(demand, RefusalReason.NO_WORKER)
        wait_s = self.admission.estimate_wait_s(demand.team, work_class)
        refused = self.admission.check_wait(
            demand, wait_s, now
        ) or self.admission.check_retry(demand, now)
        if refused is not None:
            return refused
        expected_ms = self.outcomes.expected_remaining_ms(demand)
        refused = self.admission.enforce_queue_limit(demand, expected_ms)
        if refused is None or refused.demand_id == demand.demand_id:
            return refused
        self.undelivered_decisions.append(refused)
        return None

    def _repeat_grant(self, demand: Demand) -> Queued:
        grant = self.cell.grants.by_demand[demand.demand_id]
        worker = self.cell.workers.by_vm.get(grant.vm)
        if worker is not None:
            self.undelivered_decisions.append(_to_decision(grant, worker))
        return Queued(demand.demand_id, 0.0)

    def _enqueue(self, demand: Demand, work_class: WorkClass, now: float) -> Queued:
        wait_s = self.admission.estimate_wait_s(demand.team, work_class)
        expected_ms = self.outcomes.expected_remaining_ms(demand)
        submitted_at = self.outcomes.submitted_at(demand, now)
        config = self.cell.config
        # A refusal states that the request did not run, but a resumed job has run.
        expires_at = min(now + config.wait_limit_s, demand.deadline)
        self.cell.queue.push(
            WaitingDemand(
                demand=demand,
                enqueued_at=now,
                submitted_at=submitted_at,
                expected_ms=expected_ms,
                work_class=work_class,
                order_key=submitted_at + config.ordering_penalty_s(expected_ms),
                expires_at=float("inf") if demand.resumed else expires_at,
            )
        )
        return Queued(demand.demand_id, wait_s)

    def _process_due_events(self, now: float) -> None:
        for grant_id in self.forwarders.take_due_releases(now):
            grant = self.cell.grants.by_id.get(grant_id)
            if grant is not None:
                self.outcomes.record(grant, GrantOutcome(OutcomeKind.CANCELLED), now)
                self._free_slot(grant, now)
        for worker in self.cell.workers.take_due_workers(now):
            self.cell.refresh_worker(worker, now)
        for vm in self.cell.outliers.eject_outliers(self.cell.workers.listed, now):
            self._refresh_vm(vm, now)
        self.long_work.update(now)

    def _refuse_expired(self, now: float) -> list[Decision]:
        refused: list[Decision] = []
        for item in self.cell.queue.take_expired(now):
            is_past_deadline = item.demand.deadline <= now
            reason = (
                RefusalReason.DEADLINE
                if is_past_deadline
                else RefusalReason.WAIT_TOO_LONG
            )
            refused.append(self.admission.refuse(item.demand, reason))
        return refused

    def _grant(self, item: WaitingDemand, worker: Worker, now: float) -> Granted:
        demand = item.demand
        self.grant_count += 1
        grant = Grant(
            grant_id=f"{self.grant_prefix}{self.grant_count}",
            demand_id=demand.demand_id,
            forwarder=demand.forwarder,
            incarnation=demand.incarnation,
            vm=worker.spec.vm,
            team=demand.team,
            kind=demand.kind,
            granted_at=now,
            submitted_at=item.submitted_at,
            expected_ms=item.expected_ms,
            queue_class=item.work_class,
            checkpointable=demand.checkpointable,
            is_long=self._classify(demand) == WorkClass.LONG,
            resumed=demand.resumed,
            failed_before=bool(demand.tried_workers),
            is_probe=worker.ejected,
        )
        if grant.is_probe:
            self.cell.outliers.begin_probe(grant.vm)
        charge_share(self.cell, grant)
        self._occupy_slot(grant, now)
        return _to_decision(grant, worker)

    def _occupy_slot(self, grant: Grant, now: float) -> None:
        self.cell.grants.add(grant)
        self.long_work.track(grant)
        worker = self.cell.workers.by_vm.get(grant.vm)
        if worker is not None:
            worker.held += 1
            self.cell.workers.reindex(worker, now)

    def _free_slot(self, grant: Grant, now: float) -> None:
        self.cell.grants.remove(grant.grant_id)
        self.long_work.untrack(grant)
        worker = self.cell.workers.by_vm.get(grant.vm)
        if worker is not None:
            worker.held -= 1
            self.cell.refresh_worker(worker, now)
            self.cell.workers.drop_if_unused(worker)

    def _free_slot_after_lease(self, grant: Grant, now: float) -> None:
        due = now + self.cell.config.task_lease_s
        self.forwarders.schedule_slot_release(due, grant.grant_id)

    def _refresh_vm(self, vm: str, now: float) -> None:
        worker = self.cell.workers.by_vm.get(vm)
        if worker is not None:
            self.cell.refresh_worker(worker, now)


def _to_decision(grant: Grant, worker: Worker) -> Granted:
    spec = worker.spec
    return Granted(grant.demand_id, grant.grant_id, spec.vm, spec.rack, spec.address)
