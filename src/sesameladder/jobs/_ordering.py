"""Order in which steps get workers when a pool is short of capacity.

In a demand peak a queue requests about five times its mean for some seconds, which
exceeds the capacity of its pool. A job has its full value if it ends within its
target duration, little value up to three times the target, and none after that.
Jobs that can still meet their target come first, and among them those with the
least work that has no run yet, since this order ends the most jobs in time. Single
large jobs go before them, so that no size is left out. Jobs that are late already run
after the peak.

Where the configuration names organisations and jobs wait, their shares stand in the
same order: a job beyond its organisation's rate comes after all others, and among jobs
of one urgency those of an organisation that has had more than its share.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from itertools import product
from typing import Protocol

from sesameladder.jobs._durations import DurationTable, count_cores
from sesameladder.jobs._job import Job, Step
from sesameladder.jobs._model import JobState
from sesameladder.jobs._runs import Run
from sesameladder.jobs._size_fairness import SizeFairness
from sesameladder.organisations import Shares

FORECAST_VALID_S = 0.3  # a tenth of a target; ended subtasks change it only slightly
MAX_UNUSED_FORECASTS = 200  # about 40 KB; avoids a cleanup in every pass
OVERDUE_FACTOR = 3.0  # a job has no value after this multiple of its target
# Longest wait of a new job while the order is as without organisations. A pool with
# room starts a job within one pass and one report, which takes less.
SHORTAGE_WAIT_S = 0.1

Rank = tuple[int, int, bool, float, float]
"""Urgency, priority, False for jobs that go first, unplaced work, time of acceptance.

The work is in core-seconds, the time in seconds of the steady clock.
"""


class Urgency(IntEnum):
    """Urgency of a step; steps with a lower value get workers first.

    A step is in time, late or overdue by the expected end of its job: within the
    target duration, within ``OVERDUE_FACTOR`` times the target, or later.
    """

    LONG_RUNNING = 0
    IN_TIME = 1
    LATE = 2
    OVERDUE = 3
    BEST_EFFORT = 4


class Standing(IntEnum):
    """Place of a step in the order by shares; comes before all of ``Rank``.

    Jobs that have begun and can end in time are finished before new ones begin: what
    they have used would be lost, and the pool's cores bound their number. Overdue jobs
    have no value any more, so jobs beyond their rate come before them. Best-effort work
    uses no cores that others could have, so it stays behind all.
    """

    LONG_RUNNING = 0
    BEGUN = 1
    IN_TIME = 2
    IN_TIME_OUT_OF_TURN = 3
    LATE = 4
    IN_TIME_BEYOND_RATE = 5
    IN_TIME_BEYOND_RATE_OUT_OF_TURN = 6
    LATE_BEYOND_RATE = 7
    OVERDUE = 8
    BEST_EFFORT = 9


BEYOND_RATE_OFFSET = Standing.IN_TIME_BEYOND_RATE - Standing.IN_TIME


def find_standing(
    urgency: int, has_begun: bool, is_within_rate: bool, is_in_turn: bool
) -> Standing:
    """Return the place of a step in the order by shares."""
    if urgency == Urgency.LONG_RUNNING:
        return Standing.LONG_RUNNING
    if urgency == Urgency.BEST_EFFORT:
        return Standing.BEST_EFFORT
    if urgency == Urgency.OVERDUE:
        return Standing.OVERDUE
    if urgency == Urgency.LATE:
        standing = Standing.LATE
    elif has_begun:
        # Of the jobs beyond their rate, those that have begun have least work left.
        return Standing.BEGUN if is_within_rate else Standing.IN_TIME_BEYOND_RATE
    else:
        standing = Standing.IN_TIME if is_in_turn else Standing.IN_TIME_OUT_OF_TURN
    return standing if is_within_rate else Standing(standing + BEYOND_RATE_OFFSET)


# Looked up for each waiting step in each pass, of which there may be 2,000.
STANDINGS = {
    (int(urgency), *flags): find_standing(urgency, *flags)
    for urgency in Urgency
    for flags in product((False, True), repeat=3)
}


def compute_target(job: Job, occurrence: int, durations: DurationTable) -> float:
    """Return the target duration of an occurrence in seconds."""
    submission = job.submission
    critical_path_s = durations.estimate_critical_path(
        job, occurrence, only_remaining=False
    )
    return submission.stretch * critical_path_s + submission.target_offset_ms / 1000


class OccurrenceForecast:
    """Estimates that all steps of an occurrence share; they hold for one pass."""

    __slots__ = ("remaining_core_s", "remaining_path_s", "target_s")

    def __init__(
        self, target_s: float, remaining_path_s: float, remaining_core_s: float
    ) -> None:
        self.target_s = target_s
        """Target duration in seconds."""

        self.remaining_path_s = remaining_path_s
        """Remaining critical path in seconds."""

        self.remaining_core_s = remaining_core_s
        """Remaining work in core-seconds."""


@dataclass(slots=True)
class StepForecast:
    """Estimates from which the rank of a step is computed, with their expiry."""

    target_s: float
    """Target duration of the occurrence."""

    remaining_path_s: float
    """Remaining critical path of the occurrence."""

    later_core_s: float
    """Remaining work of the occurrence's other steps, in core-seconds."""

    subtask_core_s: float
    """Work of one subtask of the step, in core-seconds."""

    valid_until: float
    """Expiry in seconds of the steady clock."""


class JobListener(Protocol):
    """Is told of the jobs of a pool that arrive and begin."""

    def record_arrival(self, job: Job, core_s: float, now: float) -> None:
        """Record a job with ``core_s`` core-seconds of work."""

    def record_begin(self, job: Job, now: float) -> None:
        """Record that the first subtask of a job is started."""


class StepRanking:
    """Ranks steps and caches the estimates that are expensive to compute.

    In a demand peak over a thousand steps wait. An owner on a small VM that computed
    every critical path again after each report had no time left to send orders.
    """

    __slots__ = (
        "durations",
        "fairness",
        "forecasts",
        "listeners",
        "occurrences",
        "shares",
        "start_delay_s",
    )

    def __init__(self, durations: DurationTable) -> None:
        self.durations = durations
        self.fairness = SizeFairness()
        self.shares = Shares()
        self.listeners: list[JobListener] = []
        self.start_delay_s = 0.0
        """Time from the decision to start a subtask until a worker has it."""

        self.forecasts: dict[tuple[str, int, int], StepForecast] = {}
        self.occurrences: dict[tuple[str, int], OccurrenceForecast] | None = None
        """What the steps of one occurrence have in common, while they are sorted."""

    def sort(
        self,
        steps: Iterable[Step],
        now: float,
        on_error: Callable[[Step, Exception, float], None],
    ) -> list[tuple[Rank, Step]]:
        """Return the steps with their ranks, the most urgent step first.

        Steps that can't be ranked are left out and passed to ``on_error``.
        """
        rows = []
        self.occurrences = {}
        for step in steps:
            try:
                rows.append((self.rank(step, now), step))
            except Exception as error:
                on_error(step, error, now)
        self.occurrences = None
        chosen = set(map(id, self._choose_large_jobs(rows, now)))
        if chosen:
            rows = [
                (self.rank(step, now) if id(step.job) in chosen else rank, step)
                for rank, step in rows
            ]
        if self.shares.is_enabled:
            self._sort_by_shares(rows, now)
        else:
            rows.sort(key=lambda row: row[0])
        if len(self.forecasts) > 2 * len(rows) + MAX_UNUSED_FORECASTS:
            kept = {step.key for _, step in rows}
            self.forecasts = {
                key: forecast for key, forecast in self.forecasts.items() if key in kept
            }
        return rows

    def _choose_large_jobs(
        self, rows: list[tuple[Rank, Step]], now: float
    ) -> list[Job]:
        """Return the large jobs that go first from now on."""
        in_time = []
        for (urgency, *_), step in rows:
            if step.job.state is not JobState.QUEUED:
                continue
            if urgency == Urgency.IN_TIME:
                # Beyond its rate a job would not go first, though counted as such.
                if step.job.is_within_rate:
                    in_time.append(step.job)
            elif urgency in (Urgency.LATE, Urgency.OVERDUE):
                self.fairness.record_miss(step.job, now)
        return self.fairness.choose(in_time, now)

    def _sort_by_shares(self, rows: list[tuple[Rank, Step]], now: float) -> None:
        """Sort the steps by standing and rank, or by rank while nothing waits long."""
        lowest, highest = int(Urgency.LONG_RUNNING), int(Urgency.BEST_EFFORT)
        sharing = [step.job for rank, step in rows if lowest < rank[0] < highest]
        is_short = any(
            job.state is JobState.QUEUED
            and now - job.accepted_at > SHORTAGE_WAIT_S
            and not job.submission.spec.occurrences
            for job in sharing
        )
        self.shares.begin_pass(
            (job.submission.organisation for job in sharing), is_short
        )
        if is_short:
            rows.sort(key=lambda row: (self._find_standing(*row), *row[0][1:]))
        else:
            rows.sort(key=lambda row: row[0])

    def _find_standing(self, rank: Rank, step: Step) -> Standing:
        """Return the place of a step in the order by shares."""
        job = step.job
        is_in_turn = (
            job.goes_first or job.submission.organisation in self.shares.in_turn
        )
        return STANDINGS[
            rank[0], job.state is not JobState.QUEUED, job.is_within_rate, is_in_turn
        ]

    # Counts of jobs and charges of work ------------------------------------

    def record_arrival(self, job: Job, now: float, is_inherited: bool) -> float:
        """Count a job that arrives, and return its work in core-seconds.

        The rate at which inherited jobs came is not known to this owner; they count
        as within it.
        """
        core_s = self.durations.estimate_job_work(job)
        if job.is_long_running:
            return core_s
        self.fairness.record_offer(job, core_s, now)
        if not is_inherited:
            organisation = job.submission.organisation
            job.is_within_rate = self.shares.record_arrival(organisation, core_s, now)
            for listener in self.listeners if self.shares.is_enabled else ():
                listener.record_arrival(job, core_s, now)
        return core_s

    def record_begin(self, job: Job, now: float) -> None:
        """Count a job of which the first subtask is started."""
        if job.is_long_running:
            return
        self.fairness.record_begin(job, now)
        for listener in self.listeners:
            listener.record_begin(job, now)

    def record_start(self, run: Run) -> None:
        """Charge the expected work of a run to its organisation."""
        step = run.subtask.step
        if not self.shares.is_enabled or not _is_charged(step):
            return
        run.charged_core_s = self.durations.estimate_subtask_work(step.job, step.number)
        self.shares.charge(step.job.submission.organisation, run.charged_core_s)

    def record_end(self, run: Run, now: float) -> None:
        """Replace the charge of a run by the work that it has done.

        A run that no worker is known to have had has done none.
        """
        if not run.charged_core_s:
            return
        step = run.subtask.step
        ran_s = now - run.confirmed_at if run.confirmed_at is not None else 0.0
        core_s = count_cores(step.spec.needs) * max(0.0, ran_s)
        self.shares.charge(
            step.job.submission.organisation, core_s - run.charged_core_s
        )
        run.charged_core_s = 0.0

    def rank(self, step: Step, now: float) -> Rank:
        """Return the sort key of a step; see ``Rank``."""
        job = step.job
        priority = job.submission.priority
        if step.spec.is_best_effort:
            return Urgency.BEST_EFFORT, priority, True, 0.0, job.accepted_at
        if step.spec.is_long_running:
            return Urgency.LONG_RUNNING, priority, True, 0.0, job.accepted_at
        forecast = self.forecasts.get(step.key)
        if forecast is None or now >= forecast.valid_until:
            forecast = self.forecasts[step.key] = self._compute_forecast(step, now)
        ends_after_s = (
            now - job.accepted_at + self.start_delay_s + forecast.remaining_path_s
        )
        if ends_after_s <= forecast.target_s:
            urgency = Urgency.IN_TIME
        elif ends_after_s <= OVERDUE_FACTOR * forecast.target_s:
            urgency = Urgency.LATE
        else:
            urgency = Urgency.OVERDUE
        # Subtasks that have a run cost nothing more, so jobs that have begun go on.
        unplaced_core_s = (
            forecast.later_core_s + step.waiting_count * forecast.subtask_core_s
        )
        return (
            urgency,
            priority,
            not job.goes_first,
            unplaced_core_s,
            job.accepted_at,
        )

    def _compute_forecast(self, step: Step, now: float) -> StepForecast:
        common = self._find_occurrence_forecast(step.job, step.occurrence)
        subtask_core_s = self.durations.estimate_subtask_work(step.job, step.number)
        return StepForecast(
            common.target_s,
            common.remaining_path_s,
            common.remaining_core_s - step.remaining_subtasks * subtask_core_s,
            subtask_core_s,
            now + FORECAST_VALID_S,
        )

    def _find_occurrence_forecast(
        self, job: Job, occurrence: int
    ) -> OccurrenceForecast:
        """Return the forecast of an occurrence; while steps are sorted, once for all.

        Its cost goes with the number of steps. Computed for each step, 25 jobs of 500
        steps kept an owner from its other work.
        """
        known = self.occurrences
        forecast = known.get((job.id, occurrence)) if known is not None else None
        if forecast is None:
            forecast = OccurrenceForecast(
                compute_target(job, occurrence, self.durations),
                self.durations.estimate_critical_path(
                    job, occurrence, only_remaining=True
                ),
                self.durations.estimate_remaining_work(job, occurrence),
            )
            if known is not None:
                known[job.id, occurrence] = forecast
        return forecast


def _is_charged(step: Step) -> bool:
    """Return whether runs of a step count towards the shares of a pool.

    Long-running work is limited by caps and best-effort work uses no cores of others.
    """
    return not step.spec.is_long_running and not step.spec.is_best_effort
