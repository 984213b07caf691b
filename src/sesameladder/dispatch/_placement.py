"""Selection of the next demand to grant and of its worker."""

from collections.abc import Callable, Iterator

from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._long_work import LongWorkPolicy
from sesameladder.dispatch._queue import WaitingDemand
from sesameladder.dispatch._types import WorkClass
from sesameladder.dispatch._workers import Worker

MAX_DEFERRED_PER_POLL = 16


class Placement:
    """Matches waiting demands with free slots.

    Demands for which no suitable worker has a free slot are deferred to the next
    poll, so that they don't block the demands behind them.
    """

    __slots__ = ("cell", "deferred", "long_work")

    def __init__(self, cell: CellState, long_work: LongWorkPolicy) -> None:
        self.cell = cell
        self.long_work = long_work
        self.deferred: list[WaitingDemand] = []

    def match_demands(self, now: float) -> Iterator[tuple[WaitingDemand, Worker]]:
        """Remove demands from the queue and yield each with its worker.

        The caller must occupy the slot before it requests the next match.
        """
        self.cell.update_fairness_slack()
        while self.cell.workers.has_free_slot() or self._due_probe(now) is not None:
            item = self._next_demand(now)
            if item is None or len(self.deferred) > MAX_DEFERRED_PER_POLL:
                break
            worker = self._choose_worker(item, now)
            self.cell.queue.remove(item.demand.demand_id)
            if worker is None:
                self.deferred.append(item)
            else:
                yield item, worker
        for item in self.deferred:
            self.cell.queue.restore(item)
        self.deferred.clear()

    def _due_probe(self, now: float) -> Worker | None:
        vm = self.cell.outliers.due_probe(now)
        worker = self.cell.workers.by_vm.get(vm) if vm is not None else None
        return worker if worker is not None and worker.may_probe(now) else None

    def _next_demand(self, now: float) -> WaitingDemand | None:
        for is_skipped in (self.cell.exceeds_share_cap, lambda _: False):
            for work_class in self._class_order(now):
                item = self._next_of_class(work_class, is_skipped)
                if item is not None and self._may_start(item, now):
                    return item
        return None

    def _class_order(self, now: float) -> Iterator[WorkClass]:
        yield WorkClass.URGENT
        if self.long_work.precedes_short_work(now):
            yield WorkClass.LONG
        yield WorkClass.SHORT
        yield WorkClass.LONG

    def _may_start(self, item: WaitingDemand, now: float) -> bool:
        if item.work_class != WorkClass.LONG or self.long_work.precedes_short_work(now):
            return True
        return self.long_work.may_start(item, now)

    def _next_of_class(
        self, work_class: WorkClass, is_skipped: Callable[[str], bool]
    ) -> WaitingDemand | None:
        queue = self.cell.queue.by_class[work_class]
        item = queue.head(is_skipped)
        # The kind may have been classified as long after the demand was queued.
        while (
            item is not None
            and work_class == WorkClass.SHORT
            and self.cell.estimates.is_long(item.demand.kind)
        ):
            self.cell.queue.move(item, WorkClass.LONG)
            item = queue.head(is_skipped)
        return item

    def _choose_worker(self, item: WaitingDemand, now: float) -> Worker | None:
        probe_worker = self._due_probe(now)
        if probe_worker is not None and self._may_probe(item):
            return probe_worker
        return self.cell.workers.choose_worker(item.demand)

    def _may_probe(self, item: WaitingDemand) -> bool:
        demand = item.demand
        return demand.repeatable and not demand.urgent and demand.attempt == 1
