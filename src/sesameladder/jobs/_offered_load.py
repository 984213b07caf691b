"""Offered load of a pool: the work that arrives in a second.

In a demand peak the running and waiting subtasks belong to the first steps of the jobs.
The work of all steps of the jobs that arrive tells a job's duration earlier how many
cores the pool will need, and a VM that is moved to the pool takes about as long.
"""

from collections import deque

WINDOW_S = 1.0  # a third of the rise of a demand peak; at its height over 30 jobs


class OfferedLoad:
    """Work of the jobs that arrived within the last ``WINDOW_S`` seconds."""

    __slots__ = ("arrivals", "core_s")

    def __init__(self) -> None:
        self.arrivals: deque[tuple[float, float]] = deque()
        """Steady time of the arrival in seconds and work in core-seconds, by job."""

        self.core_s = 0.0

    def record(self, core_s: float, now: float) -> None:
        """Add a job that arrives at ``now`` with ``core_s`` core-seconds of work."""
        self.arrivals.append((now, core_s))
        self.core_s += core_s

    def compute_cores(self, now: float) -> float:
        """Return the cores that would end the work at the rate at which it arrives."""
        while self.arrivals and now - self.arrivals[0][0] > WINDOW_S:
            self.core_s -= self.arrivals.popleft()[1]
        if not self.arrivals:
            self.core_s = 0.0  # discards the rounding errors of the sum
        return self.core_s / WINDOW_S
