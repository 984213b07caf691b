"""Lives of workers that the platform's VM list shows to have ended.

Answers crashes, moves and upkeep: the list shows a VM that is down within a moment,
while its worker's lease runs for seconds. What ran there can be started elsewhere as
soon as the pool's owner knows. A VM that is merely cut off stays listed as up.
"""

from sesameladder.fleet._model import EndedIncarnation, Vm, VmPhase


class IncarnationTracker:
    """Compares readings of the VM list."""

    __slots__ = ("born", "known")

    def __init__(self) -> None:
        self.born: dict[str, int] = {}
        """Start of the life in Unix milliseconds, by worker."""

        self.known: dict[str, Vm] = {}

    def record_start(self, worker: str, born_ms: int) -> None:
        """Take over when a worker says that its life began."""
        self.born[worker] = born_ms

    def list_workers_without_start(self) -> list[str]:
        """Return the workers of VMs that are up whose life's start isn't known."""
        return [
            vm.worker
            for vm in self.known.values()
            if vm.phase is VmPhase.UP and vm.worker and vm.worker not in self.born
        ]

    def observe(self, vms: dict[str, Vm]) -> list[tuple[str, EndedIncarnation]]:
        """Take over a reading of the list; returns pool and life that have ended.

        The answer to an order doesn't tell: a repeated order is answered alike.
        """
        ended = []
        for name, before in self.known.items():
            vm = vms.get(name)
            if vm is not None and before.worker and _has_ended(before, vm):
                born_ms = self.born.pop(before.worker, 0)
                # Without its start, the notice of a crash might be taken for the
                # next life, which may have the same name.
                if born_ms or vm.phase is not VmPhase.DOWN:
                    ended.append(
                        (before.pool, EndedIncarnation(before.worker, born_ms))
                    )
        self.known = vms
        workers = {vm.worker for vm in vms.values()}
        self.born = {w: born for w, born in self.born.items() if w in workers}
        return ended


def _has_ended(before: Vm, vm: Vm) -> bool:
    is_other = vm.worker not in ("", before.worker)
    return is_other or (before.phase is VmPhase.UP and vm.phase is not VmPhase.UP)
