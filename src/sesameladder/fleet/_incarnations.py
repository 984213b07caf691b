"""Detects from the platform's VM list which incarnations of workers have ended.

After a crash, a move or the start of maintenance, the list shows the VM's new phase
almost at once, while the lease of its worker takes seconds to expire. With this
notice, the pool's owner can restart the lost work elsewhere without waiting for the
lease. A VM that is only unreachable over the network stays listed as up.
"""

from sesameladder.fleet._model import EndedIncarnation, OrderedVm, Vm, VmPhase
from sesameladder.jobs import Resources


class IncarnationTracker:
    """Compares each reading of the VM list with the previous one."""

    __slots__ = ("last_vms", "started_at_ms")

    def __init__(self) -> None:
        self.started_at_ms: dict[str, int] = {}
        """Start of the current incarnation in Unix milliseconds, by worker."""

        self.last_vms: dict[str, Vm] = {}
        """Previous reading of the VM list, by VM name."""

    def record_start(self, worker: str, born_ms: int) -> None:
        """Record the start that a worker reports for its incarnation."""
        self.started_at_ms[worker] = born_ms

    def restore(self, ordered: OrderedVm) -> None:
        """Count a worker as present that an earlier holder of the role has seen.

        Call it before the first ``observe``. The earlier holder has ordered the VM and
        may have had no time to tell that the worker has ended.
        """
        if not ordered.worker:
            return
        self.last_vms[ordered.name] = Vm(
            ordered.name, ordered.pool, VmPhase.UP, "", (), Resources(), ordered.worker
        )
        if ordered.born_ms:
            self.started_at_ms[ordered.worker] = ordered.born_ms

    def list_workers_without_start(self) -> list[str]:
        """Return the workers on VMs that are up whose start time isn't known."""
        return [
            vm.worker
            for vm in self.last_vms.values()
            if vm.phase is VmPhase.UP
            and vm.worker
            and vm.worker not in self.started_at_ms
        ]

    def observe(self, vms: dict[str, Vm]) -> list[tuple[str, EndedIncarnation]]:
        """Record a reading of the list; return pool and incarnation that have ended.

        The response to a move or maintenance order can't tell which incarnation it
        ended, since a repeated order gets the same response.
        """
        ended = []
        for name, previous in self.last_vms.items():
            vm = vms.get(name)
            if vm is not None and previous.worker and _has_ended(previous, vm):
                born_ms = self.started_at_ms.pop(previous.worker, 0)
                # After a crash, the next incarnation may have the same identifier.
                # Without a start time, the notice could end that one instead.
                if born_ms or vm.phase is not VmPhase.DOWN:
                    incarnation = EndedIncarnation(
                        previous.worker, born_ms, _is_planned(previous, vm)
                    )
                    ended.append((previous.pool, incarnation))
        self.last_vms = vms
        workers = {vm.worker for vm in vms.values()}
        self.started_at_ms = {
            worker: start_ms
            for worker, start_ms in self.started_at_ms.items()
            if worker in workers
        }
        return ended


def _has_ended(previous: Vm, vm: Vm) -> bool:
    is_other_worker = vm.worker not in ("", previous.worker)
    return is_other_worker or (
        previous.phase is VmPhase.UP and vm.phase is not VmPhase.UP
    )


def _is_planned(previous: Vm, vm: Vm) -> bool:
    """Return whether maintenance or a move has ended a VM's worker."""
    is_ordered = vm.phase in (VmPhase.MOVING, VmPhase.IN_MAINTENANCE)
    return is_ordered or vm.pool != previous.pool
