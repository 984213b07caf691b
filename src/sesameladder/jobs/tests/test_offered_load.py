"""Tests of the demand that arriving work announces."""

import pytest

from sesameladder.jobs._offered_load import OfferedLoad


@pytest.mark.parametrize(
    ("arrivals", "now", "cores"),
    [
        pytest.param([], 5.0, 0.0, id="none"),
        pytest.param([(4.0, 32.0), (4.5, 16.0)], 4.5, 48.0, id="within the window"),
        pytest.param([(3.0, 32.0), (4.5, 16.0)], 4.5, 16.0, id="one is too old"),
        pytest.param([(3.0, 0.1), (3.1, 0.2)], 9.0, 0.0, id="all are too old"),
    ],
)
def test_offered_load_is_the_work_of_the_last_second(
    arrivals: list[tuple[float, float]], now: float, cores: float
) -> None:
    """Guards against VMs that are held for a demand peak that has ended."""
    load = OfferedLoad()
    for at, core_s in arrivals:
        load.record(core_s, at)
    assert load.compute_cores(now) == pytest.approx(cores)
