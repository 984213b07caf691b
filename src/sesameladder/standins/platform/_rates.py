"""Call rate limits and call counters of the platform."""

import threading
from collections import Counter
from enum import StrEnum

from sesameladder.settings import PlatformStandinSettings
from sesameladder.standins._clock import Clock
from sesameladder.standins._http import RequestRejected


class CallKind(StrEnum):
    """Rate limit that a call counts against."""

    READ = "read"
    WRITE = "write"
    ACTION = "action"
    """Drains and reboots, which have no rate limit."""


class TokenBucket:
    """Rate limiter with a burst of one second's calls; not thread-safe."""

    __slots__ = ("calls_per_s", "clock", "tokens", "updated_at")

    def __init__(self, calls_per_s: float, clock: Clock) -> None:
        self.calls_per_s = calls_per_s
        self.clock = clock
        self.tokens = calls_per_s
        self.updated_at = clock.now()

    def take(self) -> bool:
        """Take one token; returns False when there is none."""
        now = self.clock.now()
        refill = (now - self.updated_at) * self.calls_per_s
        self.tokens = min(self.calls_per_s, self.tokens + refill)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class CallCounters:
    """Counts calls and rejects those above the rate limits; thread-safe."""

    __slots__ = (
        "buckets",
        "calls_by_operation",
        "calls_by_zone",
        "calls_in_second",
        "calls_over_limit",
        "clock",
        "lock",
        "peak_calls_per_s",
    )

    def __init__(self, settings: PlatformStandinSettings, clock: Clock) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.calls_by_operation: Counter[str] = Counter()
        self.calls_by_zone: Counter[str] = Counter()
        self.calls_over_limit: Counter[str] = Counter()
        self.peak_calls_per_s: Counter[str] = Counter()
        # The last second with a call and the number of calls in it, by kind.
        self.calls_in_second: dict[str, tuple[int, int]] = {}
        self.buckets = {
            CallKind.READ: TokenBucket(settings.reads_per_s, clock),
            CallKind.WRITE: TokenBucket(settings.writes_per_s, clock),
        }

    def count_call(self, operation: str, kind: CallKind, zone: str) -> None:
        """Count one call of an operation from a zone."""
        with self.lock:
            self.calls_by_operation[operation] += 1
            self.calls_by_zone[zone] += 1
            self._update_peak(kind)

    def enforce_rate_limit(self, kind: CallKind) -> None:
        """Raise ``RequestRejected`` with status 503 above the rate limit of a kind."""
        with self.lock:
            bucket = self.buckets.get(kind)
            if bucket is None or bucket.take():
                return
            self.calls_over_limit[kind] += 1
        raise RequestRejected(f"over {bucket.calls_per_s} {kind} calls per second", 503)

    def to_json(self) -> dict[str, object]:
        """Return the counts as a JSON object."""
        with self.lock:
            return {
                "calls": dict(self.calls_by_operation),
                "calls_by_zone": dict(self.calls_by_zone),
                "calls_over_limit": dict(self.calls_over_limit),
                "peak_calls_per_s": dict(self.peak_calls_per_s),
            }

    def _update_peak(self, kind: CallKind) -> None:
        second = int(self.clock.now())
        last_second, calls = self.calls_in_second.get(kind, (second, 0))
        calls = calls + 1 if last_second == second else 1
        self.calls_in_second[kind] = (second, calls)
        self.peak_calls_per_s[kind] = max(self.peak_calls_per_s[kind], calls)
