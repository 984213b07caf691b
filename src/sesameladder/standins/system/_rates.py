"""Rates of the store's calls, shared by all processes."""

from collections import Counter
from collections.abc import Callable
from threading import Lock

STORE_WRITES = ("/v1/kv-txn", "/v1/kv-lease")
RENEWAL = "/v1/kv-keep/"
RENEWAL_PRICE = 0.1  # of a read; published by the users' platform


class CallRates:
    """Counts store calls and refuses those beyond a number a second; thread-safe.

    Each second of the clock starts with all its calls left.
    """

    __slots__ = ("calls", "limits", "lock", "now_s", "second", "used")

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.now_s = now_s
        self.lock = Lock()
        self.limits: dict[str, float] = {}
        """Calls a second by kind, ``write`` and ``read``; empty for no limits."""

        self.second = 0
        self.used: dict[str, float] = {}
        """Price of the calls of the present second, by kind."""

        self.calls: Counter[str] = Counter()
        """Calls so far by kind, and refused ones as ``refused write`` and so on."""

    def limit(self, writes_per_s: float, reads_per_s: float) -> None:
        """Refuse the calls of all processes together beyond these rates."""
        with self.lock:
            self.limits = {"write": writes_per_s, "read": reads_per_s}

    def allows(self, path: str) -> bool:
        """Count a call and return whether the rates allow it."""
        kind = "write" if path.startswith(STORE_WRITES) else "read"
        price = RENEWAL_PRICE if path.startswith(RENEWAL) else 1.0
        with self.lock:
            self.calls[kind] += 1
            second = int(self.now_s())
            if second != self.second:
                self.second, self.used = second, {}
            used = self.used.get(kind, 0.0) + price
            if kind in self.limits and used > self.limits[kind]:
                self.calls[f"refused {kind}"] += 1
                return False
            self.used[kind] = used
            return True
