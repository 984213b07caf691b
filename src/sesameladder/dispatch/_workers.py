"""The cell's workers, their free slots and the selection of a worker."""

import heapq
from dataclasses import dataclass

from sesameladder.dispatch._types import Demand, WorkerSpec


@dataclass(slots=True)
class Worker:
    """State of one worker, as the dispatcher needs it for grants."""

    spec: WorkerSpec
    """Address and capacity of the worker."""

    listed: bool = True
    """Whether the plan lists the worker in this cell."""

    held: int = 0
    """Number of slots held by outstanding grants."""

    unknown_tasks: int = 0
    """Running tasks beyond the known grants, as reported after a recovery."""

    has_task_report: bool = False
    """Whether a task report was applied since the worker was listed.

    The worker gets no grants before that.
    """

    leaving: bool = False
    """Whether any source has marked the VM as leaving."""

    ejected: bool = False
    """Whether the worker is ejected as an outlier."""

    suspect: bool = False
    """Whether the last counted outcome was a failure; suspects are chosen last."""

    blocked_until: float = 0.0
    """Time in seconds until which the worker gets no grants, after it was full."""

    bucket: dict[str, "Worker"] | None = None
    """Bucket of the free-slot index that contains the worker, or None."""

    counted_serving_slots: int = 0
    """Slots of the worker that ``WorkerSet.serving_slots`` includes."""

    def free_slots(self) -> int:
        """Return the number of slots that neither grants nor unknown tasks hold."""
        return self.spec.slots - self.held - self.unknown_tasks

    def is_grantable(self, now: float) -> bool:
        """Return whether the worker may get grants other than probes."""
        is_available = self.listed and self.has_task_report
        return is_available and not (
            self.leaving or self.ejected or now < self.blocked_until
        )

    def may_probe(self, now: float) -> bool:
        """Return whether the ejected worker may get one grant as a probe."""
        is_available = self.listed and self.has_task_report and self.free_slots() > 0
        return is_available and not (self.leaving or now < self.blocked_until)


class WorkerSet:
    """Workers by VM name, indexed by their number of free slots."""

    __slots__ = ("buckets", "by_vm", "listed", "serving_slots", "suspects", "timers")

    def __init__(self) -> None:
        self.by_vm: dict[str, Worker] = {}
        self.buckets: list[dict[str, Worker]] = []
        self.suspects: dict[str, Worker] = {}
        self.timers: list[tuple[float, str]] = []
        self.serving_slots = 0
        self.listed = 0

    def update(self, specs: list[WorkerSpec], now: float) -> None:
        """Replace the list of workers.

        Workers that are no longer listed are kept while they hold grants.
        """
        names = {spec.vm for spec in specs}
        for spec in specs:
            worker = self.by_vm.get(spec.vm)
            if worker is None:
                worker = self.by_vm[spec.vm] = Worker(spec)
            worker.spec = spec
            worker.listed = True
            self.reindex(worker, now)
        for vm in [vm for vm in self.by_vm if vm not in names]:
            worker = self.by_vm[vm]
            worker.listed = False
            worker.has_task_report = False
            self.reindex(worker, now)
            self.drop_if_unused(worker)
        self.listed = len(names)

    def drop_if_unused(self, worker: Worker) -> None:
        """Delete a worker that is not listed and holds no grants."""
        if not worker.listed and worker.held == 0:
            self.by_vm.pop(worker.spec.vm, None)

    def reindex(self, worker: Worker, now: float) -> None:
        """Update the index and the serving slots after a change of a worker."""
        vm = worker.spec.vm
        is_grantable = worker.is_grantable(now)
        slots = worker.spec.slots if is_grantable else 0
        self.serving_slots += slots - worker.counted_serving_slots
        worker.counted_serving_slots = slots
        bucket = (
            self._bucket_of(worker)
            if is_grantable and worker.free_slots() > 0
            else None
        )
        if bucket is worker.bucket:
            return
        if worker.bucket is not None:
            del worker.bucket[vm]
        if bucket is not None:
            bucket[vm] = worker
        worker.bucket = bucket

    def schedule_refresh(self, worker: Worker, time: float) -> None:
        """Schedule the time in seconds at which a worker's flags are recomputed."""
        heapq.heappush(self.timers, (time, worker.spec.vm))

    def take_due_workers(self, now: float) -> list[Worker]:
        """Remove and return the workers whose refresh time has passed."""
        due = []
        while self.timers and self.timers[0][0] <= now:
            worker = self.by_vm.get(heapq.heappop(self.timers)[1])
            if worker is not None:
                due.append(worker)
        return due

    def choose_worker(self, demand: Demand) -> Worker | None:
        """Return the best worker with a free slot for a demand; None if there is none.

        First attempts get the worker with the most free slots, suspects last. A
        worker on which the request failed before is chosen only if no other worker
        may get grants; a retry waits for another worker that has no free slot yet.
        """
        if demand.tried_workers:
            return self._choose_other(demand)
        for bucket in reversed(self.buckets):
            if bucket:
                return next(iter(bucket.values()))
        return max(self.suspects.values(), key=Worker.free_slots, default=None)

    def any_may_serve(self) -> bool:
        """Return whether a worker may get grants now or later.

        An ejected worker or one without a task report is included, a leaving one
        is not.
        """
        if self.serving_slots > 0:
            return True
        return any(
            worker.listed and not worker.leaving for worker in self.by_vm.values()
        )

    def has_free_slot(self) -> bool:
        """Return whether a worker that may get grants has a free slot."""
        return bool(self.suspects) or any(self.buckets)

    def free_slots(self) -> int:
        """Return the number of free slots of the workers that may get grants."""
        free = sum(index * len(bucket) for index, bucket in enumerate(self.buckets))
        return free + sum(worker.free_slots() for worker in self.suspects.values())

    def _choose_other(self, demand: Demand) -> Worker | None:
        candidates = [*self.suspects.values()]
        for bucket in self.buckets:
            candidates.extend(bucket.values())
        untried = [
            worker
            for worker in candidates
            if worker.spec.vm not in demand.tried_workers
        ]
        if not untried and self._another_serves(demand):
            return None
        return min(
            untried or candidates,
            key=lambda worker: (
                worker.spec.rack in demand.tried_racks,
                worker.suspect,
                -worker.free_slots(),
            ),
            default=None,
        )

    def _another_serves(self, demand: Demand) -> bool:
        return any(
            worker.counted_serving_slots > 0 and vm not in demand.tried_workers
            for vm, worker in self.by_vm.items()
        )

    def _bucket_of(self, worker: Worker) -> dict[str, Worker]:
        if worker.suspect:
            return self.suspects
        free = worker.free_slots()
        while len(self.buckets) <= free:
            self.buckets.append({})
        return self.buckets[free]
