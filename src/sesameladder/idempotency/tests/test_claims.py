"""Tests of claims on callers' own keys, with and without store faults."""

from collections.abc import Callable

import pytest

from sesameladder.environment import FakeStore, StoreOutcomeUnknown
from sesameladder.idempotency import (
    CLAIM_LEASE_REUSE_SECONDS,
    KEY_LIFETIME_SECONDS,
    BindRefused,
    Bound,
    ClaimBinder,
    HomeTable,
    NotRunReason,
    Token,
    TokenIssuer,
    UnknownReason,
    claim_store_key,
)

HOUR = 3600.0


class ReplaceableStore(FakeStore):
    """A fake store whose methods a test can replace on the instance."""


class Setup:
    """Two instances that share one store and one clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.store = ReplaceableStore(lambda: self.now)
        self.issuers = [TokenIssuer("a", 1), TokenIssuer("b", 1)]
        self.binders = [ClaimBinder(self.store), ClaimBinder(self.store)]

    def token(self, instance: int = 0) -> Token:
        return self.issuers[instance].issue(None, self.now)

    def bind(self, instance: int = 0, key: str = "order", **statements):
        token = self.token(instance)
        first = statements.pop("first", False)
        binder = self.binders[instance]
        return binder.bind(key, token, first, self.now, **statements)


def test_second_attempt_follows_the_first_claim() -> None:
    """Guards against binding one key to two tokens."""
    setup = Setup()
    first = setup.bind(0, first=True)
    assert isinstance(first, Bound) and first.is_offered_token
    assert setup.bind(1) == Bound(first.token, is_offered_token=False)
    assert setup.bind(1, is_retry=True) == Bound(first.token, is_offered_token=False)


@pytest.mark.parametrize(
    ("statements", "calls"),
    [
        ({"first": True}, {"compare_and_swap": 1}),
        ({}, {"compare_and_swap": 1}),
        ({"is_retry": True}, {"get": 1}),
    ],
)
def test_calls_per_attempt(statements, calls) -> None:
    """Guards against more than one write per request or one read per retry."""
    setup = Setup()
    setup.bind(0, first=True)
    setup.store.calls.clear()
    setup.bind(0, key="order" if statements.get("is_retry") else "other", **statements)
    assert setup.store.calls == calls


def test_lost_answer_is_read_back() -> None:
    """Guards against a writer that takes its own claim for another's."""
    setup = Setup()
    setup.store.responses_to_drop = 1
    bound = setup.bind(0)
    assert isinstance(bound, Bound) and bound.is_offered_token


def test_delayed_write_whose_answer_is_lost() -> None:
    """Guards against a delayed write that replaces or duplicates a claim.

    The response to the first write is lost and the write takes effect only
    during the second one.
    """
    setup = Setup()
    delayed_writes: list[Callable[[], object]] = []
    original_write = setup.store.compare_and_swap

    def delay_first_write(*arguments):
        if not delayed_writes:
            delayed_writes.append(lambda: original_write(*arguments))
            raise StoreOutcomeUnknown("delayed")
        delayed_writes[0]()
        return original_write(*arguments)

    setup.store.compare_and_swap = delay_first_write
    bound = setup.bind(0)
    assert isinstance(bound, Bound) and bound.is_offered_token
    assert (
        setup.store.get(claim_store_key("order")).value
        == bound.token.to_text().encode()
    )


@pytest.mark.parametrize(
    ("statements", "not_run"),
    [({"first": True}, True), ({}, False), ({"is_retry": True}, False)],
)
def test_store_down(statements, not_run) -> None:
    """Guards against "not run" for a key that an earlier attempt may have used."""
    setup = Setup()
    setup.store.available = False
    refused = setup.bind(0, **statements)
    assert refused == BindRefused(not_run, NotRunReason.STORE_UNAVAILABLE)


def test_claim_that_can_not_be_read_back_is_refused() -> None:
    """Guards against using a claim of another instance as one's own.

    The response to the write is lost and the store is down when the claim is
    read back.
    """
    setup = Setup()
    setup.bind(1)
    original_write = setup.store.compare_and_swap

    def lose_response(*arguments):
        original_write(*arguments)
        setup.store.available = False
        raise StoreOutcomeUnknown("lost")

    setup.store.compare_and_swap = lose_response
    assert isinstance(setup.bind(0), BindRefused)


def test_write_rate_is_limited() -> None:
    """Guards against claims that exhaust the write capacity of the store."""
    setup = Setup()
    binder = ClaimBinder(setup.store, writes_per_second=2.0)
    results = [
        binder.bind(str(number), setup.token(), True, setup.now) for number in range(6)
    ]
    refused = BindRefused(True, NotRunReason.CLAIM_RATE)
    assert [result == refused for result in results] == [False] * 4 + [True] * 2
    again = binder.bind("later", setup.token(), True, setup.now + 1.0)
    assert isinstance(again, Bound)


def test_one_lease_per_hour() -> None:
    """Guards against granting a lease for every claim."""
    setup = Setup()
    for minute in range(0, 180, 10):
        setup.now = minute * 60.0
        setup.bind(0, key=str(minute))
    assert setup.store.calls["grant_lease"] == 3


def test_lost_lease_is_granted_again() -> None:
    """Guards against an instance that can bind no keys after its lease was lost."""
    setup = Setup()
    setup.bind(0, key="before")
    setup.store.leases.clear()
    assert isinstance(setup.bind(0), Bound)


@pytest.mark.parametrize("age_of_lease", [0.0, CLAIM_LEASE_REUSE_SECONDS - 1])
def test_claim_is_kept_until_its_token_expires(age_of_lease) -> None:
    """Guards against two tokens of one key that may start at the same time."""
    setup = Setup()
    setup.bind(0, key="opens the lease")
    setup.now += age_of_lease
    first = setup.bind(0)
    setup.now += KEY_LIFETIME_SECONDS - 1
    assert setup.bind(1, is_retry=True) == Bound(first.token, is_offered_token=False)
    setup.now += HOUR + 1
    second = setup.bind(1)
    assert second.is_offered_token
    begin = HomeTable("a", 1).begin(first.token, b"", setup.now)
    assert type(begin).__name__ == "Expired"


@pytest.mark.parametrize("is_retry", [False, True])
def test_retry_after_the_claim_expired_is_refused(is_retry) -> None:
    """Guards against a second run when a caller retries after its claim expired.

    A claim lasts for 25 hours; the retry comes after 26.
    """
    setup = Setup()
    setup.bind(0)
    setup.now += 26 * HOUR
    refused = setup.bind(1, is_retry=is_retry, first_attempt_age_s=26 * HOUR)
    assert refused == BindRefused(False, UnknownReason.KEY_TOO_OLD)


def test_unreadable_claim_is_unknown() -> None:
    """Guards against binding a key whose existing claim can't be decoded."""
    setup = Setup()
    setup.store.compare_and_swap(claim_store_key("order"), 0, b"\xff")
    refused = setup.bind(0, first=True)
    assert refused == BindRefused(False, UnknownReason.CLAIM_UNREADABLE)


def test_store_that_never_answers_writes() -> None:
    """Guards against unbounded writes while every response is lost."""
    setup = Setup()
    write_attempts: list[int] = []

    def lose_response(*arguments):
        write_attempts.append(1)
        raise StoreOutcomeUnknown("lost")

    setup.store.compare_and_swap = lose_response
    assert isinstance(setup.bind(0, first=True), BindRefused)
    assert 1 < len(write_attempts) <= 3
