"""Schedule by which an instance polls the store while its zone has no relay."""

from collections.abc import Callable
from random import Random

RELAY_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.5
# Spreads the polls of instances whose relay failed at the same moment.
POLL_JITTER_SHARE = 0.5
MAX_BACKOFF_S = 8.0


class PollSchedule:
    """Determines when to poll; the caller polls and records the result."""

    __slots__ = ("clock", "due_at", "failures", "random")

    def __init__(self, clock: Callable[[], float], random: Random) -> None:
        self.clock = clock
        self.random = random
        self.failures = 0
        self.due_at = clock() + self._add_jitter(POLL_INTERVAL_S)

    def record_relay_seen(self) -> None:
        """Record that the zone has a relay; no poll is due for ``RELAY_TIMEOUT_S``."""
        self.failures = 0
        earliest = self.clock() + RELAY_TIMEOUT_S
        self.due_at = max(self.due_at, earliest + self._add_jitter(POLL_INTERVAL_S))

    def record_success(self) -> None:
        """Record that a poll succeeded."""
        self.failures = 0
        self._schedule(POLL_INTERVAL_S)

    def record_failure(self) -> None:
        """Record that a poll failed; the delay doubles up to ``MAX_BACKOFF_S``."""
        self.failures += 1
        delay_s = POLL_INTERVAL_S * 2.0 ** min(self.failures, 16)
        self._schedule(min(delay_s, MAX_BACKOFF_S))

    def is_due(self) -> bool:
        """Return whether the instance should poll now."""
        return self.clock() >= self.due_at

    def _schedule(self, delay_s: float) -> None:
        self.due_at = self.clock() + self._add_jitter(delay_s)

    def _add_jitter(self, delay_s: float) -> float:
        return delay_s * (
            1 + self.random.uniform(-POLL_JITTER_SHARE, POLL_JITTER_SHARE)
        )
