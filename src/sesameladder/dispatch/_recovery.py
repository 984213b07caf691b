"""Recovery of slot use after the start of a dispatcher."""

from sesameladder.dispatch._cell import CellState
from sesameladder.dispatch._grants import Grant
from sesameladder.dispatch._types import OutstandingGrant, WorkClass
from sesameladder.dispatch._workers import Worker


class Recovery:
    """Collects outstanding grants and task reports before slots are granted.

    For the duration of one task lease, forwarders report their outstanding grants.
    After that, each worker gets no grants until a report of its running tasks
    arrives. Tasks beyond the known grants occupy slots until a later report no
    longer includes them.
    """

    __slots__ = ("cell", "ends_at", "released_early")

    def __init__(self, cell: CellState) -> None:
        self.cell = cell
        self.ends_at: float | None = None
        self.released_early: set[str] = set()

    def is_over(self, now: float) -> bool:
        """Return whether the period for reports of forwarders has ended."""
        return self.ends_at is not None and now >= self.ends_at

    def begin(self, now: float) -> None:
        """Start the recovery; later calls have no effect."""
        if self.ends_at is None:
            self.ends_at = now + self.cell.config.task_lease_s

    def record_early_release(self, grant_id: str, now: float) -> None:
        """Record a release that arrived before the report of its grant."""
        if not self.is_over(now):
            self.released_early.add(grant_id)

    def adopt(self, reported: OutstandingGrant, now: float) -> Grant | None:
        """Return the grant to add for a report; None if it is known or released."""
        is_known = reported.grant_id in self.cell.grants.by_id
        if is_known or reported.grant_id in self.released_early:
            return None
        return Grant(
            grant_id=reported.grant_id,
            demand_id=reported.demand_id,
            forwarder=reported.forwarder,
            incarnation=reported.incarnation,
            vm=reported.vm,
            team=reported.team,
            kind=reported.kind,
            granted_at=now,
            submitted_at=now,
            expected_ms=0.0,
            queue_class=WorkClass.SHORT,
            checkpointable=reported.checkpointable,
        )

    def apply_report(self, worker: Worker, running_tasks: int, now: float) -> None:
        """Apply a worker's number of running tasks; ignored during the recovery.

        Later reports can only lower the number of unknown tasks, since each task
        that starts later has a grant.
        """
        if not self.is_over(now):
            return
        excess_tasks = max(0, running_tasks - self._count_started(worker.spec.vm, now))
        worker.unknown_tasks = (
            min(worker.unknown_tasks, excess_tasks)
            if worker.has_task_report
            else excess_tasks
        )
        worker.has_task_report = True

    def workers_awaiting_report(self, now: float) -> list[Worker]:
        """Return the workers whose task report is needed; none during the recovery."""
        if not self.is_over(now):
            return []
        workers = self.cell.workers.by_vm.values()
        return [
            worker
            for worker in workers
            if worker.listed
            and (not worker.has_task_report or worker.unknown_tasks > 0)
        ]

    def _count_started(self, vm: str, now: float) -> int:
        # The task of a more recent grant may not have reached the worker yet.
        latest_grant_at = now - self.cell.config.grant_use_limit_s
        return sum(
            grant.granted_at <= latest_grant_at for grant in self.cell.grants.on_vm(vm)
        )
