"""Virtual times of weighted fair queueing.

The load is a resource that several flows want at the same time: the slots of a cell
for its teams, or the cores of a pool for its organisations.
"""

from collections.abc import Iterable, Mapping


class VirtualTimes:
    """Virtual time of each flow: its charged cost, divided by its weight.

    The flow with the lowest virtual time is next. The virtual clock is the highest
    virtual time that any flow in turn had before a charge. A flow that becomes active
    again is raised to the clock, so it gains no claim for the time in which it had
    nothing waiting.
    """

    __slots__ = ("by_flow", "clock")

    def __init__(self) -> None:
        self.by_flow: dict[str, float] = {}
        self.clock = 0.0

    def get(self, flow: str) -> float:
        """Return the virtual time of a flow; 0 for an unknown one."""
        return self.by_flow.get(flow, 0.0)

    def activate(self, flow: str) -> None:
        """Raise a flow that has something waiting again to the virtual clock."""
        self.by_flow[flow] = max(self.get(flow), self.clock)

    def charge(
        self, flow: str, cost: float, weight: float, is_in_turn: bool = True
    ) -> None:
        """Advance the virtual time of a flow for what it was given.

        A negative cost takes back an earlier charge. A flow that was served out of
        turn, since no other could use what it got, does not move the clock.
        """
        virtual_time = self.get(flow)
        if cost > 0 and is_in_turn:
            self.clock = max(self.clock, virtual_time)
        self.by_flow[flow] = virtual_time + cost / weight

    def find_latest(self, flows: Iterable[str], slack: float) -> float:
        """Return the highest virtual time that is in turn among some flows.

        It is the lowest of theirs and the slack; at least one flow is required.
        """
        return min(map(self.get, flows)) + slack

    def forget(self, kept: Mapping[str, object]) -> None:
        """Forget the flows that are not kept and have no claim or debt left."""
        self.by_flow = {
            flow: virtual_time
            for flow, virtual_time in self.by_flow.items()
            if flow in kept or virtual_time > self.clock
        }
