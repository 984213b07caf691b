"""In which order steps get workers when a pool is short of room.

Answers the load in which a queue asks for about five times its mean for some
seconds, more than its pool holds. A job is worth most if it ends within its
target duration, little up to three times that, and nothing later. Jobs that can
still make their target go first, the least remaining work first among them:
that ends the most jobs in time. Work that is late already uses the lull after.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from sesameladder.jobs._book import Job, Step
from sesameladder.jobs._durations import DurationTable

FORECAST_VALID_S = (
    0.3  # a tenth of a target; ends of a step's subtasks change little of it
)
MAX_UNUSED_FORECASTS = 200  # about 40 KB; spares a sweep at each pass
OVERDUE_FACTOR = 3.0  # a job is worth nothing after this multiple of its target


Rank = tuple[int, int, float, float]
"""Urgency, priority, work left in core-seconds, time of acceptance."""


class Urgency(IntEnum):
    """Groups of steps; lower ones get workers first."""

    LONG_RUNNING = 0
    IN_TIME = 1
    LATE = 2
    OVERDUE = 3
    BEST_EFFORT = 4


def compute_target(job: Job, occurrence: int, durations: DurationTable) -> float:
    """Return the target duration of an occurrence in seconds."""
    submission = job.submission
    critical_path_s = durations.estimate_critical_path(
        job, occurrence, only_remaining=False
    )
    return submission.stretch * critical_path_s + submission.target_offset_ms / 1000


@dataclass(slots=True)
class StepForecast:
    """What a step's rank is worked out from; holds for a moment."""

    target_s: float
    remaining_path_s: float
    """Longest chain of work that is left."""

    remaining_core_s: float
    """Work that is left, in core-seconds."""

    valid_until: float


class StepRanking:
    """Ranks steps; remembers what is costly to work out.

    Answers turns of demand in which over a thousand steps wait: an owner on a small
    VM that worked out every chain anew after each report had no time for orders.
    """

    __slots__ = ("durations", "forecasts")

    def __init__(self, durations: DurationTable) -> None:
        self.durations = durations
        self.forecasts: dict[tuple[str, int, int], StepForecast] = {}

    def sort(self, steps: Iterable[Step], now: float) -> list[tuple[Rank, Step]]:
        """Return the steps with their ranks, the most urgent first."""
        rows = [(self.rank(step, now), step) for step in steps]
        rows.sort(key=lambda row: row[0])
        if len(self.forecasts) > 2 * len(rows) + MAX_UNUSED_FORECASTS:
            kept = {step.key for _, step in rows}
            self.forecasts = {
                key: forecast for key, forecast in self.forecasts.items() if key in kept
            }
        return rows

    def rank(self, step: Step, now: float) -> Rank:
        """Return a sort key: urgency, priority, work left, time of acceptance."""
        job = step.job
        priority = job.submission.priority
        if step.spec.is_best_effort:
            return Urgency.BEST_EFFORT, priority, 0.0, job.accepted_at
        if step.spec.is_long_running:
            return Urgency.LONG_RUNNING, priority, 0.0, job.accepted_at
        forecast = self.forecasts.get(step.key)
        if forecast is None or now >= forecast.valid_until:
            forecast = self.forecasts[step.key] = self._compute_forecast(step, now)
        ends_after_s = now - job.accepted_at + forecast.remaining_path_s
        if ends_after_s <= forecast.target_s:
            urgency = Urgency.IN_TIME
        elif ends_after_s <= OVERDUE_FACTOR * forecast.target_s:
            urgency = Urgency.LATE
        else:
            urgency = Urgency.OVERDUE
        return urgency, priority, forecast.remaining_core_s, job.accepted_at

    def _compute_forecast(self, step: Step, now: float) -> StepForecast:
        job, occurrence = step.job, step.occurrence
        return StepForecast(
            compute_target(job, occurrence, self.durations),
            self.durations.estimate_critical_path(job, occurrence, only_remaining=True),
            self.durations.estimate_remaining_work(job, occurrence),
            now + FORECAST_VALID_S,
        )
