"""Lives of the entry instances that use grants."""

import heapq


class Forwarders:
    """Tells which lives of forwarders are over and when their slots come back."""

    __slots__ = ("due", "ended", "latest")

    def __init__(self) -> None:
        self.latest: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self.due: list[tuple[float, str]] = []

    def is_stale(self, forwarder: str, incarnation: int) -> bool:
        """Return whether a life of a forwarder is over."""
        return incarnation <= self.ended.get(forwarder, -1)

    def sees_new_life(self, forwarder: str, incarnation: int) -> bool:
        """Return whether this is the first sign of a later life."""
        latest = self.latest.get(forwarder)
        if latest is None or incarnation > latest:
            self.latest[forwarder] = incarnation
        return latest is not None and incarnation > latest

    def end(self, forwarder: str, incarnation: int) -> None:
        """Record that the lives up to an incarnation are over."""
        self.ended[forwarder] = max(incarnation, self.ended.get(forwarder, -1))

    def free_at(self, time: float, grant_id: str) -> None:
        """Free a grant's slot at a time."""
        heapq.heappush(self.due, (time, grant_id))

    def take_due(self, now: float) -> list[str]:
        """Return the grants whose slots come back."""
        ids = []
        while self.due and self.due[0][0] <= now:
            ids.append(heapq.heappop(self.due)[1])
        return ids

    def next_due(self) -> float | None:
        """Return the next time at which a slot comes back."""
        return self.due[0][0] if self.due else None
