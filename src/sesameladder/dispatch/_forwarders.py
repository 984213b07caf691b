"""Incarnations of the entry instances that use grants."""

import heapq


class ForwarderIncarnations:
    """Tracks which incarnations have ended and when their slots become free.

    Each restart of a forwarder increases its incarnation.
    """

    __slots__ = ("ended_incarnations", "latest_incarnations", "pending_releases")

    def __init__(self) -> None:
        self.latest_incarnations: dict[str, int] = {}
        self.ended_incarnations: dict[str, int] = {}
        self.pending_releases: list[tuple[float, str]] = []

    def is_stale(self, forwarder: str, incarnation: int) -> bool:
        """Return whether an incarnation of a forwarder has ended."""
        return incarnation <= self.ended_incarnations.get(forwarder, -1)

    def record_incarnation(self, forwarder: str, incarnation: int) -> bool:
        """Record an incarnation and return whether it replaces an earlier one."""
        latest = self.latest_incarnations.get(forwarder)
        if latest is None or incarnation > latest:
            self.latest_incarnations[forwarder] = incarnation
        return latest is not None and incarnation > latest

    def end_incarnations(self, forwarder: str, incarnation: int) -> None:
        """Record that all incarnations up to the given one have ended."""
        self.ended_incarnations[forwarder] = max(
            incarnation, self.ended_incarnations.get(forwarder, -1)
        )

    def schedule_slot_release(self, time: float, grant_id: str) -> None:
        """Schedule the time in seconds at which a grant's slot becomes free."""
        heapq.heappush(self.pending_releases, (time, grant_id))

    def take_due_releases(self, now: float) -> list[str]:
        """Remove and return the ids of the grants whose slots become free."""
        ids = []
        while self.pending_releases and self.pending_releases[0][0] <= now:
            ids.append(heapq.heappop(self.pending_releases)[1])
        return ids

    def next_slot_release(self) -> float | None:
        """Return the next time at which a slot becomes free; None if there is none."""
        return self.pending_releases[0][0] if self.pending_releases else None
