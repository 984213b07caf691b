"""Order of steps by organisation, and who is served in a full pool."""

from statistics import mean

import pytest

from sesameladder.jobs import (
    Job,
    JobSpec,
    JobState,
    PoolScheduler,
    Resources,
    StepSpec,
    Submission,
)
from sesameladder.jobs._ordering import SHORTAGE_WAIT_S, Standing
from sesameladder.jobs.tests.shared_pool import HotPeriod, SharedPool
from sesameladder.organisations import Organisation, Organisations

NOW = 10.0
TARGET_S = 1.6 * 0.5 + 0.6
# Served share of the others' jobs; without shares it falls by 0.057 to 0.083.
LARGEST_FALL = 0.05


def build_scheduler(*names: str) -> PoolScheduler:
    scheduler = PoolScheduler(1, lambda event, **fields: None)
    if names:
        scheduler.ranking.shares.organisations = Organisations(
            Organisation(name) for name in names
        )
    return scheduler


def add_job(
    scheduler: PoolScheduler, name: str, organisation: str, **fields: object
) -> Job:
    spec = StepSpec(1, Resources(4000, 100), 500, **fields)  # type: ignore[arg-type]
    submission = Submission(
        name,
        "queue",
        JobSpec("", (spec,)),
        stretch=1.6,
        target_offset_ms=600,
        organisation=organisation,
    )
    scheduler.add_job(submission, None, NOW)
    return scheduler.job_table.jobs[name]


def list_order(scheduler: PoolScheduler, now: float = NOW) -> list[str]:
    steps = scheduler.job_table.open_steps.values()

    def fail(_: object, error: Exception, __: float) -> None:
        raise error

    return [step.job.id for _, step in scheduler.ranking.sort(steps, now, fail)]


@pytest.mark.parametrize(
    ("age_s", "is_begun", "is_within", "has_excess", "expected"),
    [
        (0.2, False, True, False, Standing.IN_TIME),
        (0.2, False, True, True, Standing.IN_TIME_OUT_OF_TURN),
        (2 * TARGET_S, False, True, True, Standing.LATE),
        (4 * TARGET_S, False, True, False, Standing.OVERDUE),
        (0.2, False, False, False, Standing.IN_TIME_BEYOND_RATE),
        (0.2, False, False, True, Standing.IN_TIME_BEYOND_RATE_OUT_OF_TURN),
        (2 * TARGET_S, False, False, False, Standing.LATE_BEYOND_RATE),
        (4 * TARGET_S, False, False, False, Standing.OVERDUE),
        (0.2, True, True, True, Standing.BEGUN),
        (0.2, True, False, True, Standing.IN_TIME_BEYOND_RATE),
        (2 * TARGET_S, True, True, True, Standing.LATE),
        (2 * TARGET_S, True, False, True, Standing.LATE_BEYOND_RATE),
        (4 * TARGET_S, True, False, True, Standing.OVERDUE),
    ],
)
def test_standing(
    age_s: float,
    is_begun: bool,
    is_within: bool,
    has_excess: bool,
    expected: Standing,
) -> None:
    """Guards against shares that pass over work that has begun or is within its rate.

    ``has_excess`` tells whether the organisation has had more than its share.
    """
    scheduler = build_scheduler("a", "b")
    job = add_job(scheduler, "a", "a")
    add_job(scheduler, "b", "b")
    job.accepted_at = NOW - age_s
    job.is_within_rate = is_within
    if is_begun:
        job.state = JobState.RUNNING
    if has_excess:
        scheduler.ranking.shares.charge("a", 1000.0)
    list_order(scheduler)
    (step,) = job.steps.values()
    ranking = scheduler.ranking
    assert ranking._find_standing(ranking.rank(step, NOW), step) is expected


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, ["other", "plain"]),
        ({"is_long_running": True}, ["other", "plain"]),
        ({"is_best_effort": True}, ["plain", "other"]),
    ],
    ids=["short", "long-running", "best effort"],
)
def test_job_beyond_its_rate_comes_last(
    fields: dict[str, object], expected: list[str]
) -> None:
    """Guards against a hot caller whose new jobs precede the late jobs of others."""
    scheduler = build_scheduler("a", "b")
    add_job(scheduler, "plain", "a").is_within_rate = False
    add_job(scheduler, "other", "b", **fields).accepted_at = NOW - 2 * TARGET_S
    assert list_order(scheduler, NOW + 2 * SHORTAGE_WAIT_S) == expected


@pytest.mark.parametrize("names", [(), ("a", "b")], ids=["without", "with"])
def test_order_is_by_rank_while_nothing_waits_long(names: tuple[str, ...]) -> None:
    """Guards against shares that reorder a pool which has room for all."""
    scheduler = build_scheduler(*names)
    add_job(scheduler, "hot", "a").is_within_rate = False
    add_job(scheduler, "late", "b").accepted_at = NOW - 0.05
    scheduler.ranking.shares.charge("a", 1000.0)
    steps = scheduler.job_table.open_steps.values()
    ranks = sorted((scheduler.ranking.rank(step, NOW), step.job.id) for step in steps)
    assert list_order(scheduler) == [name for _, name in ranks]


def test_order_without_organisations_ignores_those_of_jobs() -> None:
    """Guards against a changed order where the configuration names none."""
    scheduler = build_scheduler()
    for number in range(9):
        add_job(scheduler, f"{number}", "a").accepted_at = NOW - 0.1 * number
    add_job(scheduler, "b", "b").is_within_rate = False
    assert list_order(scheduler) == [*map(str, reversed(range(9))), "b"]


def test_earlier_owners_jobs_count_as_within_the_rate() -> None:
    """Guards against a new owner that takes all open jobs for one burst."""
    scheduler = build_scheduler("a")
    scheduler.fence = 7
    jobs = [add_job(scheduler, f"{number}", "a") for number in range(20)]
    assert all(job.is_within_rate for job in jobs)


def test_charges_follow_the_work_that_was_done() -> None:
    """Guards against organisations that pay for what was expected of their runs."""
    pool = SharedPool(0.5, None, has_shares=True, peak_s=2.0)
    pool.play()
    shares = pool.scheduler.ranking.shares
    done = sum(row.core_s for row in shares.take_rows())
    # Each run takes 0.5 s and is reported 0.05 s later.
    assert done == pytest.approx(pool.deliveries * 3.1 * 0.55, rel=0.05)


def compute_others(pool: SharedPool) -> list[float]:
    """Return the served shares of all organisations but the hot one, worst first."""
    served = pool.compute_served_shares()
    return sorted(served[name] for name in served if name != HotPeriod().organisation)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load", [1.0, 1.5])
def test_hot_organisation_takes_little_of_the_others(load: float, seed: int) -> None:
    """Guards against a caller that sends 7 times its rate at the cost of others.

    ``load`` is what all usually ask for, compared with what the pool can do.
    """
    calm, hot = (
        SharedPool(load, period, has_shares=True, seed=seed)
        for period in (None, HotPeriod())
    )
    calm.play()
    hot.play()
    assert mean(compute_others(hot)) >= mean(compute_others(calm)) - LARGEST_FALL
