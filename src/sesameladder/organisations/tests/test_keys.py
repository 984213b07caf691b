"""Check of a call's key against a configuration of some age."""

import pytest

from sesameladder.organisations import (
    KeyDigester,
    KeyOutcome,
    Organisation,
    Organisations,
    check_key,
)

DIGESTER = KeyDigester(b"secret of the test")
KEY = "clé-1"
ORGANISATION = Organisation("a", frozenset({DIGESTER.digest(KEY)}))
TABLE = Organisations([ORGANISATION], DIGESTER)
NOW = 1000.0


@pytest.mark.parametrize(
    ("key", "age_s", "revocation_s", "outcome"),
    [
        (KEY, 0.0, 5.0, KeyOutcome.ACCEPTED),
        (KEY, 4.5, 5.0, KeyOutcome.ACCEPTED),
        (KEY, 4.501, 5.0, KeyOutcome.UNCONFIRMED),
        (KEY, 4.5, 0.0, KeyOutcome.ACCEPTED),
        (KEY, 4.501, 0.0, KeyOutcome.UNCONFIRMED),
        (KEY, 0.91, 1.0, KeyOutcome.UNCONFIRMED),
        (KEY, 0.0, float("nan"), KeyOutcome.UNCONFIRMED),
        (KEY, float("inf"), 5.0, KeyOutcome.UNCONFIRMED),
        ("", 0.0, 5.0, KeyOutcome.MISSING),
        ("", float("inf"), 5.0, KeyOutcome.MISSING),
        ("other", 1.5, 5.0, KeyOutcome.UNKNOWN),
        ("other", 1.501, 5.0, KeyOutcome.UNCONFIRMED),
        ("other", 1.0, 1.0, KeyOutcome.UNCONFIRMED),
        ("x" * 201, 0.0, 5.0, KeyOutcome.UNKNOWN),
        ("\ud800", 0.0, 5.0, KeyOutcome.UNKNOWN),
    ],
)
def test_outcome_of_a_key(
    key: str, age_s: float, revocation_s: float, outcome: KeyOutcome
) -> None:
    """Guards against withdrawn keys that a VM accepts by an old configuration.

    The opposite fault is an unknown key that is refused although it was added since.
    """
    check = check_key(TABLE, key, NOW - age_s, NOW, revocation_s)
    assert check.outcome is outcome
    is_accepted = outcome is KeyOutcome.ACCEPTED
    assert check.organisation is (ORGANISATION if is_accepted else None)


def test_nothing_shows_a_key() -> None:
    """Guards against keys in log lines and tracebacks, by way of ``repr``."""
    for value in (TABLE, ORGANISATION, DIGESTER):
        assert KEY not in repr(value)
        assert DIGESTER.digest(KEY).hex() not in repr(value)
        assert repr(DIGESTER.digest(KEY)) not in repr(value)


def test_digests_differ_between_processes() -> None:
    """Guards against digests that can be compared with those of guessed keys."""
    assert KeyDigester().digest(KEY) != KeyDigester().digest(KEY)
