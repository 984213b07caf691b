"""Admission control: early refusal of demands that can't be served in time."""

from dataclasses import dataclass

from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._long_work import LongWorkPolicy
from sesameladder.dispatch._queue import WaitingDemand
from sesameladder.dispatch._types import Demand, RefusalReason, Refused, WorkClass

MIN_RETRY_AFTER_S = 1.0  # before jitter
# For each class, the classes whose waiting demands delay a new demand of it.
CLASSES_AHEAD = {
    WorkClass.URGENT: (WorkClass.URGENT,),
    WorkClass.SHORT: (WorkClass.URGENT, WorkClass.SHORT),
    WorkClass.LONG: (WorkClass.URGENT, WorkClass.SHORT, WorkClass.LONG),
}


@dataclass(frozen=True, slots=True)
class Admission:
    """Estimates waits and refuses demands before they are queued."""

    cell: CellState
    """Shared state of the cell."""

    long_work: LongWorkPolicy
    """Policy that limits the slots of long work."""

    def estimate_wait_s(self, team: str, work_class: WorkClass) -> float:
        """Return the estimated wait of a new demand, in seconds.

        It is 0 if no worker serves or if there are more free slots than demands
        ahead. Otherwise it is the shorter of two times: the time in which all
        slots serve the demands ahead of all teams together, and the time in which
        the team's fair share of the slots serves those of the team alone. For long
        work it is at least the time in which the slots allowed for non-preemptible
        long work serve the team's long demands.
        """
        slots = self.cell.workers.serving_slots
        queues = self.cell.queue.by_class
        ahead = [queues[name] for name in CLASSES_AHEAD[work_class]]
        waiting = sum(queue.count for queue in ahead)
        if slots == 0 or self.cell.workers.free_slots() > waiting:
            return 0.0
        wait_ms = sum(queue.expected_ms for queue in ahead) / slots
        own_ms = sum(queue.expected_ms_of(team) for queue in ahead)
        wait_ms = min(wait_ms, own_ms / (slots * self._fair_share(team)))
        if work_class == WorkClass.LONG:
            long_ms = queues[WorkClass.LONG].expected_ms_of(team)
            wait_ms = max(wait_ms, long_ms / self.long_work.non_preemptible_limit())
        return wait_ms / 1000

    def enforce_queue_limit(self, demand: Demand, expected_ms: float) -> Refused | None:
        """Return a refusal of this demand or of a displaced one if the queue is full.

        A demand of the team with the most waiting demands per weight is refused,
        so that one team's burst can't keep the other teams out of the queue.
        Within that team it is the demand with the longest expected run time,
        which maximises the number of requests that are served.
        """
        queue = self.cell.queue
        if len(queue) < self.cell.config.queue_limit:
            return None
        largest_team = max(queue.by_team, key=self._weighted_count)
        own_count = self._weighted_count(demand.team, 1)
        if own_count > self._weighted_count(largest_team):
            largest_team = demand.team
        team = queue.by_team.get(largest_team)
        victim = team.longest_expected() if team is not None else None
        if victim is not None and self._outranks(demand, expected_ms, victim):
            queue.remove(victim.demand.demand_id)
            demand = victim.demand
        wait_s = self.estimate_wait_s(demand.team, WorkClass.SHORT)
        return self.refuse(demand, RefusalReason.QUEUE_FULL, wait_s)

    def _outranks(
        self, demand: Demand, expected_ms: float, victim: WaitingDemand
    ) -> bool:
        if demand.team != victim.demand.team or demand.urgent:
            return True
        return expected_ms < victim.expected_ms

    def check_wait(self, demand: Demand, wait_s: float, now: float) -> Refused | None:
        """Return a refusal if the wait exceeds the deadline or the wait limit."""
        limit_s = self.cell.config.wait_limit_s
        if now + wait_s > demand.deadline:
            excess_s = now + wait_s - demand.deadline
            return self.refuse(demand, RefusalReason.DEADLINE, excess_s)
        if wait_s > limit_s:
            return self.refuse(demand, RefusalReason.WAIT_TOO_LONG, wait_s - limit_s)
        return None

    def check_retry(self, demand: Demand, now: float) -> Refused | None:
        """Count a first attempt, or return a refusal if a retry is not allowed.

        A resumed job that has not failed since is neither counted nor refused.
        """
        if demand.attempt <= 1 and not demand.resumed:
            self.cell.retry_budget.credit()
            return None
        if demand.resumed and not demand.tried_workers:
            return None
        if self.cell.unrunnable_jobs.is_unrunnable(
            demand, lambda vm: self.cell.outliers.is_healthy(vm, now), now
        ):
            return self.refuse(demand, RefusalReason.NEVER_RUNS)
        if not self.cell.retry_budget.take():
            return self.refuse(demand, RefusalReason.RETRY_BUDGET)
        return None

    def refuse(
        self, demand: Demand, reason: RefusalReason, retry_after_s: float = 0.0
    ) -> Refused:
        """Return a refusal.

        Its retry time is increased at random by up to half, so that callers
        refused at the same time don't all retry at the same time.
        """
        jittered_s = max(MIN_RETRY_AFTER_S, retry_after_s) * self.cell.random.uniform(
            1.0, 1.5
        )
        return Refused(demand.demand_id, reason, jittered_s)

    def _weighted_count(self, team: str, extra: int = 0) -> float:
        demands = self.cell.queue.by_team.get(team)
        waiting = demands.count if demands is not None else 0
        return (waiting + extra) / self.cell.team_weight(team)

    def _fair_share(self, team: str) -> float:
        weight = self.cell.team_weight(team)
        others = [name for name in self.cell.queue.by_team if name != team]
        return weight / (weight + sum(self.cell.team_weight(name) for name in others))
