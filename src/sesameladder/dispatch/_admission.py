"""Early refusal of demands that can't be served in time."""

from dataclasses import dataclass

from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._long_work import LongWork
from sesameladder.dispatch._types import Demand, RefusalReason, Refused, WorkClass

MIN_RETRY_AFTER_S = 1.0
CLASSES_AHEAD = {
    WorkClass.URGENT: (WorkClass.URGENT,),
    WorkClass.SHORT: (WorkClass.URGENT, WorkClass.SHORT),
    WorkClass.LONG: (WorkClass.URGENT, WorkClass.SHORT, WorkClass.LONG),
}


@dataclass(frozen=True, slots=True)
class Admission:
    """Estimates waits and refuses early."""

    cell: CellState
    """State of the cell."""

    long_work: LongWork
    """Limits of long work."""

    def estimate_wait_s(self, work_class: WorkClass) -> float:
        """Return the expected wait of a new demand, in seconds."""
        slots = self.cell.workers.serving_slots
        queues = self.cell.queue.by_class
        ahead = [queues[name] for name in CLASSES_AHEAD[work_class]]
        waiting = sum(queue.count for queue in ahead)
        if slots == 0 or self.cell.workers.free_slots() > waiting:
            return 0.0
        wait_ms = sum(queue.expected_ms for queue in ahead) / slots
        if work_class == WorkClass.LONG:
            own_ms = queues[WorkClass.LONG].expected_ms / self.long_work.limit()
            wait_ms = max(wait_ms, own_ms)
        return wait_ms / 1000

    def refuse_queue_full(self, demand: Demand) -> Refused | None:
        """Return a refusal if the queue is full."""
        if len(self.cell.queue) < self.cell.config.queue_limit:
            return None
        wait = self.estimate_wait_s(WorkClass.SHORT)
        return self.refuse(demand, RefusalReason.QUEUE_FULL, wait)

    def refuse_wait(self, demand: Demand, wait_s: float, now: float) -> Refused | None:
        """Return a refusal if the estimated wait is too long."""
        limit = self.cell.config.wait_limit_s
        if now + wait_s > demand.deadline:
            excess = now + wait_s - demand.deadline
            return self.refuse(demand, RefusalReason.DEADLINE, excess)
        if wait_s > limit:
            return self.refuse(demand, RefusalReason.WAIT_TOO_LONG, wait_s - limit)
        return None

    def refuse_retry(self, demand: Demand, now: float) -> Refused | None:
        """Count an attempt; return a refusal if a retry is not allowed."""
        if demand.attempt <= 1:
            self.cell.retries.credit()
            return None
        if self.cell.unrunnable.is_unrunnable(
            demand, lambda vm: self.cell.outliers.is_healthy(vm, now), now
        ):
            return self.refuse(demand, RefusalReason.NEVER_RUNS)
        if not self.cell.retries.take():
            return self.refuse(demand, RefusalReason.RETRY_BUDGET)
        return None

    def refuse(
        self, demand: Demand, reason: RefusalReason, after_s: float = 0.0
    ) -> Refused:
        """Return a refusal; jitter keeps refused callers from returning at once."""
        after = max(MIN_RETRY_AFTER_S, after_s) * self.cell.random.uniform(1.0, 1.5)
        return Refused(demand.demand_id, reason, after)
