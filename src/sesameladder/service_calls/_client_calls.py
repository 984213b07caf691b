"""Decides which calls of the store are made for clients; thread-safe."""

from collections.abc import Callable
from math import inf
from random import Random
from threading import Lock

from sesameladder.service_calls._fairness import RecentCalls
from sesameladder.service_calls._learned_rate import (
    DEFAULT_RATES,
    LearnedRate,
    RateKind,
)
from sesameladder.service_calls._return_times import ReturnTimes

CONNECTION = "connection"
# Saved calls that new clients leave to those that were told to come, and all others to
# each of both.
KEPT_CALLS = 1.0
MIN_RETRY_S = 1.0
MAX_RETRY_S = 15.0  # a crowd that is told to come back later comes back together
# Around the time after which a call is likely to be served, callers come again.
RETRY_SPREAD = (0.5, 1.5)


class Caller:
    """Who causes a call of the store."""

    __slots__ = ("address", "connection", "organisation")

    def __init__(
        self, organisation: str = "", address: str = "", connection: str = ""
    ) -> None:
        self.organisation = organisation
        """Name of the organisation of its key; empty for none."""

        self.address = address
        self.connection = connection
        """Address and port; a new connection is a new client at first."""

    def list_groups(self) -> tuple[tuple[str, str], ...]:
        """Return the groups that take turns, as level and name.

        An organisation takes turns with others whatever addresses it uses. Without one,
        addresses take turns, and so do the connections of all of them: behind a load
        balancer all clients have its address.
        """
        if self.organisation:
            return (("organisation", self.organisation),)
        return (("address", self.address), (CONNECTION, self.connection))


class ClientCalls:
    """The calls that this process makes for clients, of both kinds.

    The load is a crowd whose every request needs a call. A request that is refused at
    once costs its client some milliseconds; one that makes the store refuse calls costs
    owners their leases, and then all clients of a pool some seconds.
    """

    __slots__ = (
        "count_connections",
        "lock",
        "rates",
        "recent",
        "refused",
        "return_times",
    )

    def __init__(
        self,
        writes_per_s: float,
        reads_per_s: float,
        now: float,
        random: Random | None = None,
    ) -> None:
        stated = {RateKind.WRITE: writes_per_s, RateKind.READ: reads_per_s}
        self.rates = {
            kind: LearnedRate(per_s or DEFAULT_RATES[kind], now, random)
            for kind, per_s in stated.items()
        }
        self.count_connections: Callable[[], float] = lambda: inf
        """Returns the number of open connections, if it is known."""

        self.recent: dict[str, RecentCalls] = {}
        """Recent calls by level of ``Caller.list_groups``."""

        self.refused = {kind: RecentCalls(now) for kind in stated}
        """Refused calls of each client lately, by kind."""

        self.return_times = {kind: ReturnTimes() for kind in stated}
        """When refused clients were told to come again, by kind."""

        self.lock = Lock()

    def try_take(self, kind: RateKind, caller: Caller, now: float) -> bool:
        """Return whether a call may be made for a client now, and count it."""
        with self.lock:
            rate = self.rates[kind]
            rate.advance(now)
            groups = caller.list_groups()
            is_expected = self.return_times[kind].take(groups[-1][1], now)
            is_allowed = True
            is_new = False
            for level, name in groups:
                # Whoever comes behind a load balancer has an address that is known.
                newcomers = int(level == groups[-1][0])
                recent = self.recent.setdefault(level, RecentCalls(now, newcomers))
                recent.advance(now)
                is_new = recent.register(name)
                goes_first = is_new or is_expected
                is_beyond = not goes_first and recent.is_beyond_part(name, rate.level)
                is_allowed = is_allowed and not is_beyond
            if is_expected:
                kept_calls = 0.0
            else:
                kept_calls = KEPT_CALLS if is_new else 2 * KEPT_CALLS
            has_room = rate.tokens >= 1.0 + kept_calls
            if is_allowed and has_room and rate.try_take(now):
                for level, name in groups:
                    self.recent[level].record(name)
                return True
            rate.limited_at = now
            self.refused[kind].advance(now)
            self.refused[kind].record(groups[-1][1])
            return False

    def record_response(self, kind: RateKind, is_refused: bool, now: float) -> None:
        """Record an answer of the store to any call, also to one not for clients."""
        with self.lock:
            if is_refused:
                self.rates[kind].record_refused(now)
            else:
                self.rates[kind].record_served()

    def expect(self, kind: RateKind, caller: Caller, due_at: float) -> None:
        """Record that a refused client was told to come again at a time."""
        with self.lock:
            self.return_times[kind].record(caller.list_groups()[-1][1], due_at)

    def estimate_retry_s(self, kind: RateKind, caller: Caller) -> float:
        """Return after how many seconds a refused call is likely to be served.

        Clients take turns, so after as long as the rate needs for a call of each. One
        with more refused calls than there are clients waits for its own calls instead;
        they lengthen the wait of nobody else. Without a spread.
        """
        level, name = caller.list_groups()[-1]
        with self.lock:
            recent = self.recent.get(level)
            clients: float = len(recent.by_client) if recent is not None else 0
            if level == CONNECTION:  # those closed since don't come again
                clients = min(clients, self.count_connections())
            own = self.refused[kind].by_client.get(name, 0.0)
            turn_s = max(clients, own) / self.rates[kind].per_s
            return min(MAX_RETRY_S, max(MIN_RETRY_S, turn_s))
