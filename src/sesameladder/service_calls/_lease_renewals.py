"""Times at which a lease of the store is renewed.

The load is a crowd that uses up the store's rate: in some part of each second every
call is refused, a renewal among them. A refusal takes some milliseconds and a tenth of
a read; a lease that ends costs all callers of the roles that are held with it some
seconds. So a refused renewal is repeated soon, for as long as the lease may last.
Renewals without an answer are not: they have waited for longer than the interval.
"""

from random import Random

REPEATS_PER_LEASE = 12
SPREAD = (0.5, 1.5)  # of the pause, so that processes don't repeat together


class LeaseRenewals:
    """Decides when the next renewal is made; not thread-safe.

    Times are steady and in seconds.
    """

    __slots__ = ("confirmed_at", "interval_s", "lease_s", "next_at", "random")

    def __init__(
        self, lease_s: float, interval_s: float, now: float, random: Random
    ) -> None:
        self.lease_s = lease_s
        self.interval_s = interval_s
        self.random = random
        self.next_at = 0.0
        self.confirmed_at = now
        """Time at which the latest call that succeeded was sent."""

    def is_due(self, now: float) -> bool:
        """Return whether to renew the lease now."""
        return now >= self.next_at

    def begin(self, now: float) -> None:
        """Record that a renewal is sent."""
        self.next_at = now + self.interval_s

    def record_success(self, sent_at: float) -> None:
        """Record that the store has granted or renewed the lease."""
        self.confirmed_at = sent_at

    def record_refusal(self, now: float) -> None:
        """Record that the store has refused a renewal for its rate."""
        if now < self.confirmed_at + self.lease_s:
            pause_s = self.lease_s / REPEATS_PER_LEASE * self.random.uniform(*SPREAD)
            self.next_at = min(self.next_at, now + pause_s)

    def is_confirmed(self, within_s: float, now: float) -> bool:
        """Return whether a call sent less than ``within_s`` ago succeeded."""
        return now - self.confirmed_at < within_s
