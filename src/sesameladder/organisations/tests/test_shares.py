"""Rates, virtual times and weights of organisations."""

import pytest

from sesameladder.organisations import Organisation, Organisations, Shares


def build_shares(**weights: float) -> Shares:
    shares = Shares()
    shares.organisations = Organisations(
        Organisation(name, weight=weight) for name, weight in weights.items()
    )
    return shares


@pytest.mark.parametrize(
    ("weight", "arrivals", "within"),
    [
        (4.0, [0.0] * 6, 4),
        (4.0, [0.0] * 4 + [0.9, 1.0], 5),
        (5.0, [0.2 * n for n in range(50)], 50),
        (5.0, [0.2 * n / 7 for n in range(66)], 10),
        (2.5, [0.4 * n for n in range(50)], 50),
        (0.5, [2.0 * n for n in range(20)], 20),
        (0.5, [0.0] * 6, 4),
        (0.0, [0.0] * 6, 4),
    ],
    ids=["burst", "next window", "at rate", "7 times", "broken", "rare", "pair", "0"],
)
def test_jobs_within_the_rate(
    weight: float, arrivals: list[float], within: int
) -> None:
    """Guards against a hot caller that loses what it is entitled to, or gets more."""
    shares = build_shares(a=weight)
    assert sum(shares.record_arrival("a", 1.0, at) for at in arrivals) == within
    assert shares.beyond_rate == len(arrivals) - within


def test_work_without_an_organisation_has_no_rate() -> None:
    """Guards against public routes whose jobs all give way."""
    shares = build_shares(a=1.0)
    assert all(shares.record_arrival("", 1.0, 0.0) for _ in range(50))


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ({"a": 1.0, "b": 1.0}, {"a": 0.5, "b": 0.5}),
        ({"a": 6.0, "b": 2.0}, {"a": 0.75, "b": 0.25}),
        ({"a": 3.0}, {"a": 0.75, "b": 0.25}),
        ({"a": 0.0, "b": 0.99}, {"a": 0.01, "b": 0.99}),
    ],
    ids=["equal", "skewed", "not named", "0"],
)
def test_full_pool_is_shared_by_weight(
    weights: dict[str, float], expected: dict[str, float]
) -> None:
    """Guards against shares that ignore the weights of the configuration in force.

    An organisation that the configuration no longer names counts with weight 1.
    """
    shares = build_shares(**weights)
    shares.mean_cost = 1.0
    got = {"a": 0.0, "b": 0.0}
    for _ in range(4000):
        shares.begin_pass(("a", "b"), is_in_force=True)
        name = min(filter(shares.is_in_turn, ("a", "b")), key=shares.virtual_times.get)
        shares.charge(name, 1.0)
        got[name] += 1 / 4000
    assert got == pytest.approx(expected, abs=0.01)


def test_changed_weights_hold_from_the_next_pass_on() -> None:
    """Guards against the weights of an earlier configuration."""
    shares = build_shares(a=1.0)
    shares.organisations = Organisations([Organisation("a", weight=5.0)])
    shares.charge("a", 10.0)
    assert shares.virtual_times.get("a") == 2.0


def test_organisation_that_returns_has_no_claim_for_its_time_away() -> None:
    """Guards against a caller that takes the pool for the time in which it was idle."""
    shares = build_shares(a=1.0, b=1.0)
    for _ in range(100):
        shares.begin_pass(("a",), is_in_force=True)
        shares.charge("a", 1.0)
    shares.begin_pass(("a", "b"), is_in_force=True)
    lead = shares.virtual_times.get("a") - shares.virtual_times.get("b")
    assert 0 <= lead <= 1.0


def test_use_of_what_others_leave_sets_no_one_back() -> None:
    """Guards against a hot caller's use that counts against those who return.

    Work served out of turn doesn't move the clock, so an organisation that returns
    begins level with those that wait, not with the hot one.
    """
    shares = build_shares(hot=1.0, a=1.0, b=1.0)
    shares.mean_cost = 1.0
    for _ in range(100):
        shares.begin_pass(("hot", "a"), is_in_force=True)
        shares.charge("hot", 1.0)
    shares.begin_pass(("hot", "a", "b"), is_in_force=True)
    assert [*map(shares.is_in_turn, ("hot", "a", "b"))] == [False, True, True]


def test_rows_name_who_waits_and_got_nothing() -> None:
    """Guards against a log line that leaves out the organisation that is starved."""
    shares = build_shares(a=1.0, b=1.0)
    shares.begin_pass(("a", "b"), is_in_force=True)
    shares.charge("a", 3.0)
    rows = [(row.organisation, row.core_s, row.share) for row in shares.take_rows()]
    assert rows == [("a", 3.0, 1.0), ("b", 0.0, 0.0)]


def test_nothing_is_counted_without_organisations() -> None:
    """Guards against cost and state where the configuration names none."""
    shares = Shares()
    assert shares.record_arrival("a", 1.0, 0.0)
    shares.charge("a", 1.0)
    assert not shares.windows and not shares.virtual_times.by_flow
