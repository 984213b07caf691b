"""The stand-in's limits of store calls."""

import pytest

from sesameladder.standins.system._rates import CallRates


@pytest.mark.parametrize(
    ("path", "calls", "allowed"),
    [
        ("/v1/kv-txn", 12, 4),
        ("/v1/kv-lease", 5, 4),
        ("/v1/kv-key", 12, 8),
        ("/v1/kv-keep/7", 70, 70),
        ("/v1/kv-keep/7", 100, 80),
    ],
)
def test_calls_beyond_the_rate_are_refused(path: str, calls: int, allowed: int) -> None:
    now = 5.5
    rates = CallRates(lambda: now)
    rates.limit(writes_per_s=4, reads_per_s=8)
    assert sum(rates.allows(path) for _ in range(calls)) == pytest.approx(
        allowed, abs=1
    )
    now = 6.0
    assert rates.allows(path)


def test_calls_without_a_rate_are_counted_only() -> None:
    rates = CallRates(lambda: 5.5)
    assert all(rates.allows("/v1/kv-txn") for _ in range(100))
    assert rates.calls == {"write": 100}
