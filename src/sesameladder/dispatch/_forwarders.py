"""Lives of the entry instances that use grants."""

import heapq


class ForwarderIncarnations:
    """Tells which lives of forwarders are over and when their slots come back."""

    __slots__ = ("ended_incarnations", "latest_incarnations", "pending_releases")

    def __init__(self) -> None:
        self.latest_incarnations: dict[str, int] = {}
        self.ended_incarnations: dict[str, int] = {}
        self.pending_releases: list[tuple[float, str]] = []

    def is_stale(self, forwarder: str, incarnation: int) -> bool:
        """Return whether a life of a forwarder is over."""
        return incarnation <= self.ended_incarnations.get(forwarder, -1)

    def record_incarnation(self, forwarder: str, incarnation: int) -> bool:
        """Return whether this is the first sign of a later life."""
        latest = self.latest_incarnations.get(forwarder)
        if latest is None or incarnation > latest:
            self.latest_incarnations[forwarder] = incarnation
        return latest is not None and incarnation > latest

    def end_incarnations(self, forwarder: str, incarnation: int) -> None:
        """Record that the lives up to an incarnation are over."""
        self.ended_incarnations[forwarder] = max(
            incarnation, self.ended_incarnations.get(forwarder, -1)
        )

    def schedule_slot_release(self, time: float, grant_id: str) -> None:
        """Free a grant's slot at a time."""
        heapq.heappush(self.pending_releases, (time, grant_id))

    def take_due_releases(self, now: float) -> list[str]:
        """Return the grants whose slots come back."""
        ids = []
        while self.pending_releases and self.pending_releases[0][0] <= now:
            ids.append(heapq.heappop(self.pending_releases)[1])
        return ids

    def next_slot_release(self) -> float | None:
        """Return the next time at which a slot comes back."""
        return self.pending_releases[0][0] if self.pending_releases else None
