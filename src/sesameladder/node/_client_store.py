"""The store as one caller's request may use it."""

from collections.abc import Iterator
from functools import singledispatch
from random import Random
from threading import Lock

from sesameladder.node._clock import read_steady_clock
from sesameladder.node._telemetry import (
    CLIENT_CALL_RATE,
    CLIENT_CALLS_REFUSED,
    log_event,
)
from sesameladder.platform import (
    Committed,
    Conflict,
    NoTimeLeft,
    OutcomeUnknown,
    PlatformCallError,
    Put,
    RangeResult,
    StoreClient,
    StoredItem,
)
from sesameladder.service_calls import (
    RETRY_SPREAD,
    Caller,
    CallFailure,
    ClientCalls,
    RateKind,
)

LOG_INTERVAL_S = 1.0
USED_UP = "this VM's share of the store's calls is used up"
UNNAMED = Caller()


class ShareUsedUp(PlatformCallError):
    """The call was not made: the share of the store's calls is used up."""

    def __init__(self, retry_after_s: int) -> None:
        super().__init__(USED_UP)
        self.retry_after_s = retry_after_s
        """When to come again, in whole seconds, spread over the callers."""


@singledispatch
def classify_client_failure(error: PlatformCallError) -> CallFailure:
    """Return why a call of the store that a client needs brought no result."""
    del error
    return CallFailure.REJECTED


@classify_client_failure.register
def _(error: OutcomeUnknown) -> CallFailure:
    del error
    return CallFailure.UNANSWERED


@classify_client_failure.register
def _(error: ShareUsedUp) -> CallFailure:
    del error
    return CallFailure.SHARE_USED_UP


@classify_client_failure.register
def _(error: NoTimeLeft) -> CallFailure:
    del error
    return CallFailure.NO_TIME_LEFT


class ClientStore:
    """Makes the store's calls that clients cause, within their share; thread-safe.

    Without ``calls`` there is no bound.
    """

    __slots__ = ("calls", "lock", "logged_at", "random", "store", "unlogged")

    def __init__(
        self,
        store: StoreClient,
        calls: ClientCalls | None = None,
        random: Random | None = None,
    ) -> None:
        self.store = store
        self.calls = calls
        self.random = random or Random()
        self.lock = Lock()
        self.unlogged = 0
        self.logged_at = -LOG_INTERVAL_S

    def take(self, kind: RateKind, caller: Caller) -> None:
        """Take one call for a client; raises ``ShareUsedUp`` if none is left."""
        if self.calls is None:
            return
        now = read_steady_clock()
        if self.calls.try_take(kind, caller, now):
            return
        retry_s = self.calls.estimate_retry_s(kind, caller)
        self._record_refusal(kind, caller, now)
        told_s = max(1, round(retry_s * self.random.uniform(*RETRY_SPREAD)))
        self.calls.expect(kind, caller, now + told_s)
        raise ShareUsedUp(told_s)

    def read(self, key: str, caller: Caller) -> StoredItem | None:
        """Read one key for a client; raises as ``StoreClient`` and ``take`` do."""
        self.take(RateKind.READ, caller)
        return self.store.read(key)

    def read_pages(self, prefix: str, caller: Caller) -> Iterator[RangeResult]:
        """Yield the keys under a prefix page by page; each counts as a call."""
        self.take(RateKind.READ, caller)
        for page in self.store.read_pages(prefix):
            yield page
            if page.has_more:
                self.take(RateKind.READ, caller)

    def commit(
        self,
        caller: Caller,
        puts: tuple[Put, ...],
        removals: tuple[str, ...] = (),
        preconditions: tuple[tuple[str, int], ...] = (),
    ) -> Committed | Conflict:
        """Commit a transaction for a client; raises likewise."""
        self.take(RateKind.WRITE, caller)
        return self.store.commit(puts, removals, preconditions)

    def _record_refusal(self, kind: RateKind, caller: Caller, now: float) -> None:
        assert self.calls is not None
        CLIENT_CALLS_REFUSED.labels(kind.value).inc()
        with self.lock:
            self.unlogged += 1
            if now - self.logged_at < LOG_INTERVAL_S:
                return
            count, self.unlogged, self.logged_at = self.unlogged, 0, now
        per_s = {name.value: rate.per_s for name, rate in self.calls.rates.items()}
        for name, rate in per_s.items():
            CLIENT_CALL_RATE.labels(name).set(rate)
        log_event(
            "client_call_refused",
            kind=kind.value,
            count=count,
            organisation=caller.organisation,
            client=caller.address,
            calls_per_s=round(per_s[kind.value], 1),
            store_calls_per_s=self.calls.rates[kind].store_per_s,
        )
