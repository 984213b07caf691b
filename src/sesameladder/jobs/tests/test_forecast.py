"""Forecasts of the backlog, their errors, and what intake refuses by them."""

import pytest

from sesameladder.jobs import (
    BacklogForecast,
    DurationCorrection,
    JobSpec,
    OrganisationForecast,
    QueueForecast,
    Resources,
    StepSpec,
    Submission,
    find_excess,
)
from sesameladder.jobs._forecast import (
    LEARNING_S,
    MIN_ERRORS,
    MIN_HOT_JOBS,
    EntitledShares,
    ForecastErrors,
    QueueSample,
    WaitingWork,
    forecast_wait,
)
from sesameladder.jobs.tests.shared_pool import AdmittingPool, HotPeriod

SAMPLE = QueueSample(priority=1, path_s=1.0, patience_s=1.2)
CORES = 10.0
JOB_CORE_S = 20.0
HOT = HotPeriod().organisation


def build_work(**changes: object) -> WaitingWork:
    work = WaitingWork("a", 1, False, True, False, True, True, 10.0, 10.0)
    return work._replace(**changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("changes", "is_within_rate", "is_in_turn", "expected"),
    [
        ({}, True, True, 1.0),
        ({"unplaced_core_s": 30.0}, True, True, 0.0),
        ({"unplaced_core_s": 30.0, "priority": 0}, True, True, 1.0),
        ({"priority": 2}, True, True, 0.0),
        ({"is_in_time": False, "is_late": True}, True, True, 0.0),
        ({"is_in_time": False}, True, True, 0.0),
        ({"is_in_turn": False}, True, True, 0.0),
        ({"is_in_turn": False}, True, False, 1.0),
        ({"is_within_rate": False}, True, True, 0.0),
        ({"unplaced_core_s": 30.0, "is_in_time": False}, False, True, 0.0),
        (
            {"unplaced_core_s": 30.0, "is_in_time": False, "is_late": True},
            False,
            True,
            1.0,
        ),
        ({"has_begun": True, "unplaced_core_s": 30.0}, True, True, 1.0),
    ],
)
def test_only_work_that_goes_before_counts(
    changes: dict[str, object],
    is_within_rate: bool,
    is_in_turn: bool,
    expected: float,
) -> None:
    """Guards against refusals of jobs that would precede the backlog."""
    work = [build_work(**changes)]
    wait_s = forecast_wait(
        work, CORES, 0.0, SAMPLE, JOB_CORE_S, is_within_rate, is_in_turn
    )
    assert wait_s == expected


@pytest.mark.parametrize(
    ("core_s", "cores", "free_cores", "expected"),
    [
        (12.0, 10.0, 0.0, 1.2),
        (13.0, 10.0, 0.0, 2.3),
        (12.0, 10.0, 4.0, 0.8),
        (12.0, 10.0, 12.0, 0.0),
        (12.0, 0.0, 0.0, 0.0),
    ],
    ids=["in time", "late", "free cores", "room", "no workers"],
)
def test_wait_by_capacity(
    core_s: float, cores: float, free_cores: float, expected: float
) -> None:
    """Guards against forecasts that ignore late work, or cores that are free."""
    work = [
        build_work(core_s=core_s),
        build_work(core_s=10.0, is_in_time=False, is_late=True),
    ]
    wait_s = forecast_wait(work, cores, free_cores, SAMPLE, JOB_CORE_S, True, True)
    assert wait_s == pytest.approx(expected)


@pytest.mark.parametrize(
    ("waits", "spread_s", "expected"),
    [
        ([4.0] * MIN_ERRORS, LEARNING_S, 1.0),
        ([4.0] * (MIN_ERRORS - 1), LEARNING_S, 0.0),
        ([4.0] * MIN_ERRORS, 0.0, 0.0),
        ([0.0] * 2 + [4.0] * MIN_ERRORS, LEARNING_S, 0.0),
        ([2.0] * 2 + [4.0] * MIN_ERRORS, LEARNING_S, 0.5),
    ],
    ids=["sure", "few", "short", "begin at once", "half"],
)
def test_margin_follows_the_error(
    waits: list[float], spread_s: float, expected: float
) -> None:
    """Guards against refusals by a forecast that was often wrong, or is new."""
    errors = ForecastErrors()
    for number, wait_s in enumerate(waits):
        errors.record_arrival(f"{number}", 4.0, True, now=10.0)
        errors.record_begin(f"{number}", 10.0 + wait_s)
    known_at = errors.known_since[True]
    assert errors.compute_certain_share(True, known_at + spread_s) == expected
    assert errors.compute_certain_share(False, known_at + spread_s) == 0.0


@pytest.mark.parametrize(("is_open", "expected"), [(True, [1.0]), (False, [])])
def test_waits_count_before_the_job_begins(
    is_open: bool, expected: list[float]
) -> None:
    """Guards against errors that are known of those alone that begin early.

    A job that was cancelled before it began tells nothing.
    """
    errors = ForecastErrors()
    errors.record_arrival("a", 4.0, False, now=0.0)
    errors.settle(["a"], 3.9)
    errors.settle(["a"] if is_open else [], 4.0)
    assert list(errors.ratios[False]) == expected


def test_hot_organisation_keeps_twice_its_rate() -> None:
    """Guards against refusals that cost an organisation what it is entitled to."""
    entitled = EntitledShares()
    arriving = []
    for second in range(1, 12):
        sent = 35 if second < 9 else 5
        arrived = round(sent * entitled.by_organisation.get("a", 1.0))
        arriving.append(arrived)
        for _ in range(arrived):
            entitled.record_arrival("a")
        entitled.update({"a": 5.0}, float(second))
    assert arriving == [35, 35, *[10] * 6, 1, 5, 5]


@pytest.mark.parametrize("count", [7, 10])
def test_bursts_at_random_make_no_organisation_hot(count: int) -> None:
    """Guards against refusals for a few jobs or a burst of one second."""
    entitled = EntitledShares()
    for second, weight in enumerate((1.0, 1.0) if count < MIN_HOT_JOBS else (1.0, 5.0)):
        for _ in range(count):
            entitled.record_arrival("a")
        entitled.update({"a": weight}, second + 1.0)
    assert entitled.by_organisation == {}


def test_timed_job_arrives_before_it_is_due() -> None:
    """Guards against a timed job that is lost since none of its steps is built."""
    pool = AdmittingPool(1.0)
    spec = JobSpec("", build_spec().steps, 3, first_due_ms=10_000, interval_ms=1000)
    pool.scheduler.add_job(Submission("a", "queue", spec), None, 0.0)
    assert list(pool.scheduler.job_table.jobs) == ["a"]
    assert pool.backlog.samples == {}


def build_forecast(
    certain_share: float = 1.0, waits: tuple[float, ...] = (4.0, 9.0)
) -> BacklogForecast:
    beyond = (30.0, 30.0), (0.0, 0.0)
    correction = DurationCorrection(2.0, 0.5)
    rows = QueueForecast((0.0, 10.0), waits, waits, beyond, correction)
    own = OrganisationForecast(0.25, is_in_turn=False)
    return BacklogForecast(7, 1000, certain_share, 1.0, {"queue": rows}, {HOT: own})


def build_spec(cpu_millis: int = 1000, steps: int = 1, **fields: object) -> JobSpec:
    needs = Resources(cpu_millis, 1)
    after = [(number - 1,) if number else () for number in range(steps)]
    rows = [StepSpec(8, needs, 1000, row, **fields) for row in after]  # type: ignore[arg-type]
    return JobSpec("", tuple(rows))


@pytest.mark.parametrize(
    ("forecast", "organisation", "spec", "draw", "is_refused"),
    [
        (build_forecast(), "a", build_spec(), 0.5, False),
        (build_forecast(), "a", build_spec(2000), 0.5, True),
        (build_forecast(), "a", build_spec(2000, steps=2), 0.5, False),
        (build_forecast(0.5), "a", build_spec(2000), 0.5, False),
        (build_forecast(0.0), "a", build_spec(2000), 0.5, False),
        (build_forecast(), HOT, build_spec(), 0.5, True),
        (build_forecast(), HOT, build_spec(), 0.2, False),
        (build_forecast(), HOT, build_spec(is_long_running=True), 0.5, False),
        (build_forecast(), HOT, build_spec(is_best_effort=True), 0.5, False),
        (build_forecast(), HOT, JobSpec("", build_spec().steps, 3), 0.5, False),
    ],
)
def test_refused_jobs(
    forecast: BacklogForecast,
    organisation: str,
    spec: JobSpec,
    draw: float,
    is_refused: bool,
) -> None:
    """Guards against refusals that are not certain, and of jobs that are exempt."""
    rest = organisation, spec, 1.6, 0.6, 3.0, 1.0, draw
    assert (find_excess(forecast, "queue", *rest) is not None) is is_refused
    assert find_excess(forecast, "other", *rest) is None


@pytest.mark.parametrize(
    ("load", "hot", "fields"),
    [
        (2.0, None, {"peak_s": 24.0, "turn_s": 4.0}),
        (2.0, None, {"peak_s": 24.0, "turn_s": 4.0, "weight_factor": 0.2}),
        (1.0, HotPeriod(), {}),
        (2.0, HotPeriod(end_s=15.0), {"peak_s": 18.0}),
    ],
    ids=["turn of 5 times", "turn beyond rates", "hot", "hot for long"],
)
def test_refusals_cost_no_one_his_service(
    load: float, hot: HotPeriod | None, fields: dict[str, float]
) -> None:
    """Guards against refusals of jobs that the pool would have served.

    A turn asks for twice what the pool can do, five times the mean. The same jobs are
    sent with and without refusals.
    """
    pools = []
    for refuses_jobs in (True, False):
        pool = AdmittingPool(load, hot, refuses_jobs, **fields)  # type: ignore[arg-type]
        pool.play()
        pools.append(pool)
    refusing, other = pools
    done = [sum(map(pool.is_done, pool.sent_by)) for pool in pools]
    assert done[0] >= 0.99 * done[1]
    assert set(refusing.refused.values()) <= {HOT}
    assert sum(map(other.is_done, refusing.refused)) <= 0.2 * len(refusing.refused)
    assert bool(refusing.refused) is (hot is not None and load > 1.0)
