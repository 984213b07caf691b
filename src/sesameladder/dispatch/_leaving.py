"""Marks of VMs that are leaving, by source."""

from sesameladder.dispatch._types import LeavingSource

PEER_MARK_MIN_S = 5.0  # covers the lag of the local plan and VM list
NO_EXPIRY = float("inf")
AUTHORITATIVE_SOURCES = (LeavingSource.PLAN, LeavingSource.VM_LIST)


class LeavingMarks:
    """Decides whether a VM is leaving from the marks of several sources.

    A mark of the plan or the VM list lasts until the same source reports the VM
    as serving. A peer's mark lasts until the peer reports the VM as serving, or
    the plan and the VM list both do at least ``PEER_MARK_MIN_S`` after the mark,
    since the local plan and list may lag behind the peer's. A mark from a
    worker's refusal expires after ``leaving_refusal_ttl_s``, since the plan or
    the list confirms a real stop within 2 s. It is removed earlier together with
    the last mark of the plan or the list.
    """

    __slots__ = ("confirmed_at", "leaving_refusal_ttl_s", "marks")

    def __init__(self, leaving_refusal_ttl_s: float) -> None:
        self.leaving_refusal_ttl_s = leaving_refusal_ttl_s
        self.marks: dict[str, dict[LeavingSource, float]] = {}
        self.confirmed_at: dict[str, dict[LeavingSource, float]] = {}

    def mark_leaving(self, vm: str, source: LeavingSource, now: float) -> None:
        """Record that a source reports a VM as leaving."""
        self.marks.setdefault(vm, {})[source] = now
        self.confirmed_at.pop(vm, None)

    def mark_serving(self, vm: str, source: LeavingSource, now: float) -> None:
        """Record that a source reports a VM as serving."""
        marks = self.marks.get(vm)
        if marks is None:
            return
        was_authoritative = (
            marks.pop(source, None) is not None and source in AUTHORITATIVE_SOURCES
        )
        self._confirm_serving(vm, source, now)
        if was_authoritative and not any(
            authoritative in marks for authoritative in AUTHORITATIVE_SOURCES
        ):
            marks.pop(LeavingSource.WORKER, None)
        if not marks:
            del self.marks[vm]
            self.confirmed_at.pop(vm, None)

    def is_leaving(self, vm: str, now: float) -> bool:
        """Return whether any unexpired mark keeps the VM from getting new work."""
        marks = self.marks.get(vm)
        if marks is None:
            return False
        return any(expiry > now for expiry in self._expiry_times(marks))

    def mark_expiry(self, vm: str, now: float) -> float | None:
        """Return the time in seconds at which the last mark of the VM expires.

        None if the VM has no mark, a mark without expiry, or only expired marks.
        """
        marks = self.marks.get(vm)
        if marks is None:
            return None
        expiry = max(self._expiry_times(marks))
        return expiry if now < expiry < NO_EXPIRY else None

    def sources(self, vm: str) -> list[str]:
        """Return the names of the sources that have marked the VM, sorted."""
        return sorted(self.marks.get(vm, {}))

    def _expiry_times(self, marks: dict[LeavingSource, float]) -> list[float]:
        return [
            since + self.leaving_refusal_ttl_s
            if source == LeavingSource.WORKER
            else NO_EXPIRY
            for source, since in marks.items()
        ]

    def _confirm_serving(self, vm: str, source: LeavingSource, now: float) -> None:
        marks = self.marks[vm]
        since = marks.get(LeavingSource.PEER)
        if since is None or now < since + PEER_MARK_MIN_S:
            return
        confirmed = self.confirmed_at.setdefault(vm, {})
        confirmed[source] = now
        if all(authoritative in confirmed for authoritative in AUTHORITATIVE_SOURCES):
            del marks[LeavingSource.PEER]
