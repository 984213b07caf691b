"""Call rate limits and call counters of the platform."""

import threading
from collections import Counter
from enum import StrEnum

from sesameladder.settings import PlatformStandinSettings
from sesameladder.standins._clock import Clock
from sesameladder.standins._http import RequestRefused


class CallKind(StrEnum):
    """Rate limit that a call counts against."""

    READ = "read"
    WRITE = "write"
    ACTION = "action"
    """Drains and reboots, which have no limit."""


class TokenBucket:
    """Allows a number of calls per second, and one second's worth at once."""

    __slots__ = ("clock", "rate", "tokens", "updated_at")

    def __init__(self, rate: float, clock: Clock) -> None:
        self.rate = rate
        self.clock = clock
        self.tokens = rate
        self.updated_at = clock.now()

    def take(self) -> bool:
        """Take one token; False when there is none."""
        now = self.clock.now()
        gained = (now - self.updated_at) * self.rate
        self.tokens = min(self.rate, self.tokens + gained)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class CallCounters:
    """Counts calls and refuses those above the rate limits."""

    __slots__ = (
        "buckets",
        "by_operation",
        "by_zone",
        "clock",
        "lock",
        "over_limit",
        "peaks",
        "seconds",
    )

    def __init__(self, settings: PlatformStandinSettings, clock: Clock) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.by_operation: Counter[str] = Counter()
        self.by_zone: Counter[str] = Counter()
        self.over_limit: Counter[str] = Counter()
        self.peaks: Counter[str] = Counter()
        self.seconds: dict[str, tuple[int, int]] = {}
        self.buckets = {
            CallKind.READ: TokenBucket(settings.reads_per_s, clock),
            CallKind.WRITE: TokenBucket(settings.writes_per_s, clock),
        }

    def count(self, operation: str, kind: CallKind, zone: str) -> None:
        """Count one call."""
        with self.lock:
            self.by_operation[operation] += 1
            self.by_zone[zone] += 1
            self._count_second(kind)

    def limit(self, kind: CallKind) -> None:
        """Refuse a call that is above its rate limit."""
        with self.lock:
            bucket = self.buckets.get(kind)
            if bucket is None or bucket.take():
                return
            self.over_limit[kind] += 1
        raise RequestRefused(f"over {bucket.rate} {kind} calls per second", 503)

    def to_json(self) -> dict[str, object]:
        """Return the counts as a JSON object."""
        with self.lock:
            return {
                "calls": dict(self.by_operation),
                "calls_by_zone": dict(self.by_zone),
                "calls_over_limit": dict(self.over_limit),
                "peak_calls_per_s": dict(self.peaks),
            }

    def _count_second(self, kind: CallKind) -> None:
        second = int(self.clock.now())
        last, calls = self.seconds.get(kind, (second, 0))
        calls = calls + 1 if last == second else 1
        self.seconds[kind] = (second, calls)
        self.peaks[kind] = max(self.peaks[kind], calls)
