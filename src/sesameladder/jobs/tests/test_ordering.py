"""Tests of the ranking of steps while demand exceeds the pool's capacity."""

import pytest

from sesameladder.jobs import JobSpec, PoolScheduler, Resources, StepSpec, Submission
from sesameladder.jobs._durations import DurationTable
from sesameladder.jobs._ordering import FORECAST_VALID_S, StepRanking, Urgency
from sesameladder.jobs.tests.test_rules import build_record, list_starts

WAITING_JOBS = 400


class CountingDurations(DurationTable):
    """Counts how often a critical path is computed."""

    __slots__ = ("computed_paths",)

    def __init__(self) -> None:
        super().__init__()
        self.computed_paths = 0

    def estimate_critical_path(self, *args: object, **fields: object) -> float:
        self.computed_paths += 1
        return super().estimate_critical_path(*args, **fields)  # type: ignore[arg-type]


def build_backlog(scheduler: PoolScheduler) -> None:
    step = StepSpec(1, Resources(4000, 100), estimate_ms=500)
    for number in range(WAITING_JOBS):
        spec = JobSpec("", (step,))
        job = Submission(
            f"{number:016x}", "queue", spec, stretch=1.6, target_offset_ms=600
        )
        scheduler.add_job(job, None, 0.0)


def test_full_pool_reuses_forecasts_between_reports() -> None:
    """Guards against owners that have no time to send orders in a demand peak.

    On a VM with half a core, an owner with a thousand waiting steps computed every
    critical path after each report, and started nothing although workers were free.
    """
    scheduler = PoolScheduler(1, lambda event, **fields: None)
    scheduler.update_workers([build_record(1)], 0.0)
    scheduler.workers["i-1"].has_reported = True
    durations = CountingDurations()
    scheduler.ranking = StepRanking(durations)
    build_backlog(scheduler)
    assert len(list_starts(scheduler.schedule(0.0, 0.0))) == 1
    paths_before = durations.computed_paths
    for report in range(20):
        scheduler.schedule(0.01 * report, 10.0 * report)
    assert durations.computed_paths == paths_before


def test_rank_changes_while_a_forecast_is_valid() -> None:
    """Guards against cached ranks that ignore that a job has passed its target."""
    scheduler = PoolScheduler(1, lambda event, **fields: None)
    build_backlog(scheduler)
    step = next(iter(scheduler.job_table.open_steps.values()))
    ranking = scheduler.ranking
    target_s = 1.6 * 0.5 + 0.6
    times = (0.0, FORECAST_VALID_S / 2, target_s, 3 * target_s)
    assert [ranking.rank(step, now)[0] for now in times] == [
        Urgency.IN_TIME,
        Urgency.IN_TIME,
        Urgency.LATE,
        Urgency.OVERDUE,
    ]


@pytest.mark.parametrize(
    ("estimate_ms", "count", "cores"), [(250, 8, 8.0), (500, 8, 16.0), (3000, 8, 32.0)]
)
def test_waiting_work_counts_by_its_duration(
    estimate_ms: int, count: int, cores: float
) -> None:
    """Guards against pools that get more spare VMs than they can use.

    Each waiting subtask of half a second counted as one subtask's cores, so the pool
    in a demand peak got twice the VMs that it could use and took all spare ones.
    """
    scheduler = PoolScheduler(1, lambda event, **fields: None)
    step = StepSpec(count, Resources(4000, 100), estimate_ms=estimate_ms)
    job = Submission(
        "0" * 16, "queue", JobSpec("", (step,)), stretch=1.6, target_offset_ms=600
    )
    scheduler.add_job(job, None, 0.0)
    demand = scheduler.estimate_demand(0.0)
    assert (demand.used, demand.waiting) == (0.0, cores)


@pytest.mark.parametrize("steps", [2, 200])
def test_cost_of_a_pass_goes_with_the_number_of_steps(steps: int) -> None:
    """Guards against an owner that is kept busy by jobs of many steps.

    The critical path of a job was computed for each of its open steps.
    """
    durations = CountingDurations()
    ranking = StepRanking(durations)
    scheduler = PoolScheduler(1, lambda event, **fields: None)
    spec = JobSpec("", (StepSpec(1, Resources(4000, 100)),) * steps)
    scheduler.add_job(Submission("0" * 16, "queue", spec), None, 0.0)
    ranked = ranking.sort(scheduler.job_table.open_steps.values(), 0.1, pytest.fail)
    assert len(ranked) == steps
    assert durations.computed_paths == 2  # of the whole job, and of what remains
