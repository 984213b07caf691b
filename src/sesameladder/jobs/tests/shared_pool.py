"""A full pool that organisations of skewed weights share, for tests of shares."""

from dataclasses import dataclass
from random import Random

from sesameladder.jobs import (
    Backlog,
    BacklogForecast,
    JobSpec,
    JobState,
    Resources,
    StepSpec,
    Submission,
    find_excess,
)
from sesameladder.jobs.tests.test_saturated_owner import DURATION_S, SlowOwner
from sesameladder.organisations import Organisation, Organisations

ORGANISATIONS = 20
WORKERS = 24
SUBTASK_CORES = 3.1
STEPS = 1.6
SUBTASKS = 8
JOB_CORE_S = STEPS * SUBTASKS * SUBTASK_CORES * DURATION_S
OVERDUE_FACTOR = 3.0
TURN_INTERVAL_S = 10.0


@dataclass(frozen=True)
class HotPeriod:
    """Time in which one organisation sends a multiple of its usual rate."""

    organisation: str = "o-5"
    factor: float = 7.0
    begin_s: float = 3.0
    end_s: float = 9.0


class SharedPool(SlowOwner):
    """A pool whose organisations together ask for ``load`` of what it can do.

    Organisation 0 sends most; the usual rate of organisation k goes with the root of
    1 / (k + 1), so the last one sends a fifth of that.
    """

    def __init__(
        self,
        load: float,
        hot: HotPeriod | None,
        has_shares: bool,
        seed: int = 1,
        peak_s: float = 12.0,
        weight_factor: float = 1.0,
        turn_s: float = 0.0,
    ) -> None:
        super().__init__(3000.0, seed, WORKERS)
        self.peak_s = peak_s
        self.turn_s = turn_s
        """Length of each turn of demand, with none in between; 0 for one turn."""

        self.hot = hot
        self.jobs_per_s = load * 10 * WORKERS * SUBTASK_CORES / JOB_CORE_S
        parts = [(1 / (k + 1)) ** 0.5 for k in range(ORGANISATIONS)]
        self.rates = {
            f"o-{k}": self.jobs_per_s * part / sum(parts)
            for k, part in enumerate(parts)
        }
        self.sent = 0
        self.sent_by: dict[str, str] = {}
        self.targets_s: dict[str, float] = {}
        if has_shares:
            self.scheduler.ranking.shares.organisations = Organisations(
                Organisation(name, weight=weight_factor * rate)
                for name, rate in self.rates.items()
            )

    def play(self) -> None:
        """Submit until the end of the load, and run until its jobs have no value."""
        surge = HotPeriod()
        surplus = self.rates[surge.organisation] * (surge.factor - 1)
        self.run(self.jobs_per_s + surplus, self.peak_s + 10.0)

    def submit(self) -> None:
        """Submit a job; draws are the same with and without the hot period."""
        draw = self.random.random()
        if self.turn_s and self.now % TURN_INTERVAL_S >= self.turn_s:
            return
        width = min(32, max(1, round(SUBTASKS * self.random.lognormvariate(-0.1, 0.5))))
        steps_count = 2 if self.random.random() < STEPS - 1 else 1
        surge = HotPeriod()
        surplus = self.rates[surge.organisation] * (surge.factor - 1)
        draw *= self.jobs_per_s + surplus
        organisation = ""
        for name, rate in self.rates.items():
            draw -= rate
            if draw < 0:
                organisation = name
                break
        if not organisation:
            if self.hot is None or not self.hot.begin_s <= self.now < self.hot.end_s:
                return
            organisation = self.hot.organisation
        self.add_job(organisation, width, steps_count)

    def add_job(self, organisation: str, width: int, steps_count: int) -> None:
        """Give the owner a job of an organisation, unless intake refuses it."""
        self.sent += 1
        job = f"{self.sent:016x}"
        needs = Resources(round(SUBTASK_CORES * 1000), 1)
        steps = tuple(
            StepSpec(width, needs, estimate_ms=500, after=(n - 1,) if n else ())
            for n in range(steps_count)
        )
        spec = JobSpec("", steps)
        if self.refuses(job, organisation, spec):
            return
        submission = Submission(
            job,
            "queue",
            spec,
            stretch=1.6,
            target_offset_ms=600,
            organisation=organisation,
        )
        self.submitted_at[job] = self.now
        self.sent_by[job] = organisation
        self.targets_s[job] = 1.6 * DURATION_S * steps_count + 0.6
        self.scheduler.add_job(submission, None, self.now)

    def refuses(self, job: str, organisation: str, spec: JobSpec) -> bool:
        """Return whether intake refuses a job; it has no forecast here."""
        return False

    def is_done(self, job: str, factor: float = OVERDUE_FACTOR) -> bool:
        """Return whether a job was done within a multiple of its target."""
        state, at = self.scheduler.job_table.ended.get(job, (JobState.QUEUED, 0.0))
        limit_s = factor * self.targets_s.get(job, 0.0)
        return state is JobState.DONE and at - self.submitted_at[job] <= limit_s

    def compute_served_shares(self, factor: float = OVERDUE_FACTOR) -> dict[str, float]:
        """Return the share of jobs done within a multiple of their target."""
        served = dict.fromkeys(self.rates, 0)
        sent = dict.fromkeys(self.rates, 0)
        for job, organisation in self.sent_by.items():
            sent[organisation] += 1
            served[organisation] += self.is_done(job, factor)
        return {name: served[name] / sent[name] for name in sent if sent[name]}


class AdmittingPool(SharedPool):
    """A shared pool whose intake reads the owner's forecast once a second."""

    def __init__(
        self,
        load: float,
        hot: HotPeriod | None = None,
        refuses_jobs: bool = True,
        **fields: object,
    ) -> None:
        super().__init__(load, hot, has_shares=True, **fields)  # type: ignore[arg-type]
        self.backlog = Backlog(self.scheduler.ranking)
        self.refuses_jobs = refuses_jobs
        self.read_at = 0.0
        self.forecast: BacklogForecast | None = None
        self.draws = Random(5)
        self.refused: dict[str, str] = {}
        """Organisation by job that was refused."""

    def refuses(self, job: str, organisation: str, spec: JobSpec) -> bool:
        """Return whether a job can't be done in time by the forecast as last read."""
        views = self.scheduler.workers.values()
        self.backlog.update(self.scheduler.job_table, views, 7, self.now)
        if self.now - self.read_at >= 1.0:
            self.read_at, self.forecast = self.now, self.backlog.latest
        draw = self.draws.random()
        if self.forecast is None or not self.refuses_jobs:
            return False
        policy = 1.6, 0.6, OVERDUE_FACTOR, 1.0
        excess = find_excess(self.forecast, "queue", organisation, spec, *policy, draw)
        if excess is not None:
            self.refused[job] = organisation
        return excess is not None
