"""Lives of workers that the platform's VM list shows to have ended.

Answers crashes, moves and upkeep: the list shows a VM that is down within a moment,
while its worker's lease runs for seconds. What ran there can be started elsewhere as
soon as the pool's owner knows. A VM that is merely cut off stays listed as up.
"""

from sesameladder.fleet._model import EndedIncarnation, Vm, VmPhase


class IncarnationTracker:
    """Compares readings of the VM list."""

    __slots__ = ("last_vms", "started_at_ms")

    def __init__(self) -> None:
        self.started_at_ms: dict[str, int] = {}
        """Start of the life in Unix milliseconds, by worker."""

        self.last_vms: dict[str, Vm] = {}

    def record_start(self, worker: str, born_ms: int) -> None:
        """Take over when a worker says that its life began."""
        self.started_at_ms[worker] = born_ms

    def list_workers_without_start(self) -> list[str]:
        """Return the workers of VMs that are up whose life's start isn't known."""
        return [
            vm.worker
            for vm in self.last_vms.values()
            if vm.phase is VmPhase.UP
            and vm.worker
            and vm.worker not in self.started_at_ms
        ]

    def observe(self, vms: dict[str, Vm]) -> list[tuple[str, EndedIncarnation]]:
        """Take over a reading of the list; returns pool and life that have ended.

        The answer to an order doesn't tell: a repeated order is answered alike.
        """
        ended = []
        for name, previous in self.last_vms.items():
            vm = vms.get(name)
            if vm is not None and previous.worker and _has_ended(previous, vm):
                born_ms = self.started_at_ms.pop(previous.worker, 0)
                # Without its start, the notice of a crash might be taken for the
                # next life, which may have the same name.
                if born_ms or vm.phase is not VmPhase.DOWN:
                    ended.append(
                        (previous.pool, EndedIncarnation(previous.worker, born_ms))
                    )
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
