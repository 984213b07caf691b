"""News of VMs that are leaving, kept by source."""

from sesameladder.dispatch._types import LeavingSource

PEER_HOLD_S = 5.0
FOREVER = float("inf")
DECIDING_SOURCES = (LeavingSource.PLAN, LeavingSource.VM_LIST)


class LeavingMarks:
    """Decides whether a VM is leaving from marks of several sources.

    A mark of the plan or the VM list stands until the same source says that
    the VM serves. A peer's mark stands until the plan and the VM list both say
    so at least ``PEER_HOLD_S`` later, since the local plan and list may lag
    behind the peer's. A worker's own refusal lapses after a while, since a
    real stop is confirmed by the plan or the list within 2 s.
    """

    __slots__ = ("confirmed_at", "marks", "refusal_hold_s")

    def __init__(self, refusal_hold_s: float) -> None:
        self.refusal_hold_s = refusal_hold_s
        self.marks: dict[str, dict[LeavingSource, float]] = {}
        self.confirmed_at: dict[str, dict[LeavingSource, float]] = {}

    def mark_leaving(self, vm: str, source: LeavingSource, now: float) -> None:
        """Record that a source says that a VM is leaving."""
        self.marks.setdefault(vm, {})[source] = now
        self.confirmed_at.pop(vm, None)

    def mark_serving(self, vm: str, source: LeavingSource, now: float) -> None:
        """Record that a source says that a VM serves."""
        marks = self.marks.get(vm)
        if marks is None:
            return
        decided = marks.pop(source, None) is not None and source in DECIDING_SOURCES
        self._confirm(vm, source, now)
        if decided and not any(deciding in marks for deciding in DECIDING_SOURCES):
            marks.pop(LeavingSource.WORKER, None)
        if not marks:
            del self.marks[vm]
            self.confirmed_at.pop(vm, None)

    def is_leaving(self, vm: str, now: float) -> bool:
        """Return whether the VM must get no new work."""
        marks = self.marks.get(vm)
        if marks is None:
            return False
        return any(until > now for until in self._ends(marks))

    def lapse_time(self, vm: str, now: float) -> float | None:
        """Return when the VM's marks lapse by themselves; None when they don't."""
        marks = self.marks.get(vm)
        if marks is None:
            return None
        end = max(self._ends(marks))
        return end if now < end < FOREVER else None

    def sources(self, vm: str) -> list[str]:
        """Return the sources with a mark on the VM, sorted."""
        return sorted(self.marks.get(vm, {}))

    def _ends(self, marks: dict[LeavingSource, float]) -> list[float]:
        return [
            since + self.refusal_hold_s if source == LeavingSource.WORKER else FOREVER
            for source, since in marks.items()
        ]

    def _confirm(self, vm: str, source: LeavingSource, now: float) -> None:
        marks = self.marks[vm]
        since = marks.get(LeavingSource.PEER)
        if since is None or now < since + PEER_HOLD_S:
            return
        confirmed = self.confirmed_at.setdefault(vm, {})
        confirmed[source] = now
        if all(deciding in confirmed for deciding in DECIDING_SOURCES):
            del marks[LeavingSource.PEER]
