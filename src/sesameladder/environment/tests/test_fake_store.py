"""Tests of the fake store: its results and errors match the platform's store."""

import pytest

from sesameladder.environment import (
    FakeStore,
    StoreOutcomeUnknown,
    StoreUnavailable,
    SwapConflict,
    Swapped,
)


class Clock:
    def __init__(self) -> None:
        self.seconds = 0.0

    def __call__(self) -> float:
        return self.seconds


def test_second_create_conflicts() -> None:
    """Guards against a second create of a key that overwrites the first."""
    store = FakeStore(Clock())
    assert store.compare_and_swap("a", 0, b"1") == Swapped(1)
    outcome = store.compare_and_swap("a", 0, b"2")
    assert isinstance(outcome, SwapConflict)
    assert store.get("a").value == b"1"


def test_lost_response_takes_effect() -> None:
    """Guards against a lost response that also drops the write."""
    store = FakeStore(Clock(), responses_to_drop=1)
    with pytest.raises(StoreOutcomeUnknown):
        store.compare_and_swap("a", 0, b"1")
    assert store.get("a").value == b"1"


def test_expired_lease_removes_keys() -> None:
    """Guards against keys that stay in the store after their lease has expired."""
    clock = Clock()
    store = FakeStore(clock)
    lease = store.grant_lease(2.0)
    store.compare_and_swap("role", 0, b"me", lease)
    clock.seconds = 1.0
    assert store.keep_alive(lease)
    clock.seconds = 3.0
    assert store.get("role") is None
    assert not store.keep_alive(lease)


def test_unavailable_store_raises() -> None:
    """Guards against reads that succeed during an outage."""
    store = FakeStore(Clock(), available=False)
    with pytest.raises(StoreUnavailable):
        store.get("a")
