"""Limit of the starts that an owner has under way.

In a demand peak the workers of a pool can take more starts than a small VM sends.
Starts beyond that wait in the send queues in the order in which they were decided, and
jobs that could end in time wait behind jobs that are late. The window keeps that queue
short, so that waiting subtasks stay in the order of the ranking until there is a place.
"""

from collections import deque
from dataclasses import dataclass, field
from statistics import median

START_DELAY_TARGET_S = 0.1  # a tenth of the time in which short jobs have to end
INITIAL_LIMIT = 64.0  # two jobs of the usual greatest width
MIN_LIMIT = 8.0
MAX_LIMIT = 1000.0
GROWTH_PER_RESPONSE = 0.5
DECREASE_FACTOR = 0.7
SAMPLES = 15  # their median ignores single slow or silent workers


@dataclass(slots=True)
class StartWindow:
    """Limit that follows the delay between a decision and the worker's response."""

    limit: float = INITIAL_LIMIT
    delays_s: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES))
    changed_at: float = 0.0
    """Steady time of the latest decrease, in seconds."""

    @property
    def delay_s(self) -> float:
        """Return the usual delay of a start in seconds; 0 before any response."""
        return median(self.delays_s) if self.delays_s else 0.0

    def record_response(self, delay_s: float, is_full: bool, now: float) -> None:
        """Adapt the limit to the delay of one response, or of its timeout.

        The limit grows only while ``is_full``: otherwise the delay says nothing
        about a higher one.
        """
        self.delays_s.append(delay_s)
        if len(self.delays_s) < SAMPLES:
            return
        if self.delay_s <= START_DELAY_TARGET_S:
            if is_full:
                self.limit = min(MAX_LIMIT, self.limit + GROWTH_PER_RESPONSE)
        elif now - self.changed_at >= START_DELAY_TARGET_S:
            self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
            self.changed_at = now
