"""Rate of the calls that one process makes for clients, learned from refusals.

The load is a crowd on some or all processes of a deployment, whose number none of them
knows. The store's latency stays the same up to its limit, so only its refusals (429)
tell that all processes together ask too much. They fall back together, since each of
them sees refusals, and come back slowly and not at the same time (additive increase,
multiplicative decrease). Until the first refusal a rate that limits clients doubles
(slow start), since a burst that the store can take must not be refused.
"""

from enum import StrEnum
from random import Random


class RateKind(StrEnum):
    """Rate of the store that a call counts against."""

    READ = "read"
    WRITE = "write"


DEFAULT_RATES = {RateKind.READ: 2000.0, RateKind.WRITE: 400.0}
"""Calls a second that the store takes from all processes, where it isn't stated."""

START_SHARE = 0.4  # of the store's rate, before it has refused anything
DOUBLING_S = 0.25  # while the store has refused nothing and the rate limits
START_LEVEL = 0.75  # share of the saved calls below which it is taken to limit then
MAX_SHARE = 0.8  # the rest is for leases, ends, orders and configuration
MIN_SHARE = 0.01  # 40 processes at this rate leave more than half of the store's
GROWTH_SHARE_PER_S = 0.01
GROWTH_PAUSE_S = 3.0  # after a decrease; each refusal may have been one of a lease
PAUSE_SPREAD = (0.7, 1.3)  # so that processes don't come back together
DECREASE_FACTOR = 0.5
FIRST_DECREASE_FACTOR = 0.25  # nothing was known of the other processes
DECREASE_INTERVAL_S = 0.25  # by then the calls under way have their answers
BURST_S = 1.0  # calls that are saved up while none are made
MIN_BURST = 6.0  # a request may need three reads at once, with two calls kept
LIMITED_S = 1.0  # after a refusal the rate may grow; without demand it stays


class LearnedRate:
    """Token bucket for calls of one kind; not thread-safe.

    Steady times are in seconds.
    """

    __slots__ = (
        "decreased_at",
        "has_served",
        "is_starting",
        "limited_at",
        "pause_s",
        "per_s",
        "random",
        "store_per_s",
        "tokens",
        "updated_at",
    )

    def __init__(
        self, store_per_s: float, now: float, random: Random | None = None
    ) -> None:
        self.random = random or Random()
        self.store_per_s = store_per_s
        """Calls a second that the store takes from all processes together."""

        self.per_s = START_SHARE * store_per_s
        """Calls a second that this process makes for clients at most."""

        self.tokens = self.capacity
        self.updated_at = now
        self.limited_at = now - LIMITED_S
        self.is_starting = True
        """Whether the store has refused nothing so far."""

        self.decreased_at = now - DECREASE_INTERVAL_S
        self.pause_s = 0.0
        """Time from the latest decrease until the rate may grow."""

        self.has_served = True
        """Whether the store has served a call since the latest decrease.

        If it has not, it refuses everything, which tells nothing about a rate.
        """

    @property
    def capacity(self) -> float:
        """Return how many calls can be saved up."""
        return max(MIN_BURST, BURST_S * self.per_s)

    @property
    def level(self) -> float:
        """Return the share of the saved calls that is left, from 0 to 1."""
        return max(0.0, min(1.0, self.tokens / self.capacity))

    def advance(self, now: float) -> None:
        """Let time pass: calls are saved up, and the rate grows where it limits."""
        passed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.tokens = min(self.capacity, self.tokens + passed_s * self.per_s)
        if self.is_starting:
            level = self.level
            if level < START_LEVEL:
                self._grow(self.per_s * 2.0 ** (passed_s / DOUBLING_S))
                self.tokens = level * self.capacity
            return
        has_settled = now - self.decreased_at >= self.pause_s
        if has_settled and now - self.limited_at < LIMITED_S:
            growth = GROWTH_SHARE_PER_S * self.store_per_s * passed_s
            self._grow(self.per_s + growth)

    def _grow(self, per_s: float) -> None:
        self.per_s = min(MAX_SHARE * self.store_per_s, per_s)

    def try_take(self, now: float) -> bool:
        """Take one call; returns False if there is none left."""
        self.advance(now)
        if self.tokens < 1.0:
            self.limited_at = now
            return False
        self.tokens -= 1.0
        return True

    def record_served(self) -> None:
        """Record that the store has served a call of this kind."""
        self.has_served = True

    def record_refused(self, now: float) -> None:
        """Fall back, since the store has refused a call of this kind."""
        self.advance(now)
        if not self.has_served or now - self.decreased_at < DECREASE_INTERVAL_S:
            return
        factor = FIRST_DECREASE_FACTOR if self.is_starting else DECREASE_FACTOR
        self.is_starting = False
        self.decreased_at = now
        self.pause_s = GROWTH_PAUSE_S * self.random.uniform(*PAUSE_SPREAD)
        self.has_served = False
        minimum = max(1.0, MIN_SHARE * self.store_per_s)
        self.per_s = max(minimum, factor * self.per_s)
        # Of what was saved, other processes may have saved as much.
        self.tokens = min(self.tokens, MIN_BURST)
