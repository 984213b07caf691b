"""Forecast of how long a new job of a pool waits, from which intake rejects jobs.

The load is a demand peak in which jobs are accepted that have no value any more when
they end. Rejecting one that would have been in time costs its caller everything, and
accepting one that is late costs little. The forecast is therefore a lower bound: it
counts only work that goes before the new job, and comes with the part of it that 19 of
20 recent jobs have really waited.
"""

from collections import deque
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field
from math import sqrt
from typing import NamedTuple

from sesameladder.jobs._model import JobSpec

SIZE_QUANTILES = (0.0, 0.4, 0.7, 0.9)  # of the work of a queue's recent jobs
# Three times the shortest target is 1.8 s; a shorter wait rejects nobody, and while all
# waits are shorter no forecast is published.
LEAST_PUBLISHED_WAIT_S = 1.0
MAX_ORGANISATIONS = 32
RECENT_ERRORS = 100
MIN_ERRORS = 20  # fewer say nothing about one in twenty
ERROR_QUANTILE = 0.05
QUEUE_SAMPLE_WEIGHT = 0.1
# An organisation at its rate is let send this multiple of it, so that a share that was
# estimated too low costs it nothing of what it is entitled to.
ENTITLED_MARGIN = 1.5
LEAST_ENTITLED_SHARE = 0.05


class WaitingWork(NamedTuple):
    """Work of one step that waits, with what decides on its place in the order."""

    organisation: str
    priority: int
    has_begun: bool
    is_in_time: bool
    is_late: bool
    """Whether its job still has some value; neither this nor in time: overdue."""

    is_within_rate: bool
    is_in_turn: bool
    unplaced_core_s: float
    """Key of the order within a priority; the same as in ``Rank``."""

    core_s: float


@dataclass(slots=True)
class QueueSample:
    """What the recent jobs of a queue were like; averages in seconds."""

    priority: int
    path_s: float
    """Critical path."""

    patience_s: float
    """Time that a job can wait and still end within its target."""

    def add(self, priority: int, path_s: float, patience_s: float) -> None:
        """Add a job."""
        self.priority = priority
        self.path_s += QUEUE_SAMPLE_WEIGHT * (path_s - self.path_s)
        self.patience_s += QUEUE_SAMPLE_WEIGHT * (patience_s - self.patience_s)


@dataclass(frozen=True, slots=True)
class DurationCorrection:
    """What ended runs of a queue say about the estimates of its callers."""

    ratio: float = 1.0
    mean_s: float = 0.0
    """Mean duration of a subtask; 0 if none has ended."""

    def correct(self, estimated_s: float, default_s: float) -> float:
        """Return the expected duration of a subtask, as the owner expects it."""
        if not self.mean_s:
            return estimated_s or default_s
        if not estimated_s:
            return self.mean_s
        return sqrt(self.mean_s * estimated_s * self.ratio)


@dataclass(frozen=True, slots=True)
class QueueForecast:
    """Forecast for the jobs of a queue whose organisation is within its rate."""

    least_core_s: tuple[float, ...]
    """Least work of a job by row, in core-seconds; rises."""

    begins_after_s: tuple[float, ...]
    """Time until a job of at least that work would begin."""

    ends_after_s: tuple[float, ...]
    """Time until a job of at least that work and of mean length would end."""

    correction: DurationCorrection = DurationCorrection()

    def find_row(self, core_s: float) -> int:
        """Return the row of a job by its work."""
        return max(0, sum(least <= core_s for least in self.least_core_s) - 1)


@dataclass(frozen=True, slots=True)
class OrganisationForecast:
    """Forecast for an organisation that sends more than its rate."""

    begins_after_s: dict[str, tuple[float, ...]]
    """Time until a job beyond the rate would begin: by queue, rows as there."""

    entitled_share: float
    """Part of its jobs that intake lets pass, since they may be within the rate."""


@dataclass(frozen=True, slots=True)
class BacklogForecast:
    """Forecast of a pool, as its owner publishes it."""

    fence: int
    """Fencing token of the owner."""

    computed_ms: int
    """Reading of the owner's steady clock when it was computed."""

    certain_share: float
    """Part of the forecast that 19 of 20 recent jobs within their rate waited."""

    certain_share_beyond: float
    """The same for jobs beyond their rate."""

    queues: dict[str, QueueForecast]
    organisations: dict[str, OrganisationForecast] = field(default_factory=dict)

    def find_wait(
        self, queue: str, organisation: str, core_s: float, is_beyond: bool
    ) -> float:
        """Return the forecast wait of a job in seconds, without a margin."""
        rows = self.queues.get(queue)
        if rows is None:
            return 0.0
        number = rows.find_row(core_s)
        own = self.organisations.get(organisation) if is_beyond else None
        waits = own.begins_after_s.get(queue) if own is not None else None
        waits = waits or rows.begins_after_s
        return waits[number] if number < len(waits) else 0.0


@dataclass(frozen=True, slots=True)
class Excess:
    """Why a job can't be done in time."""

    wait_s: float
    """Least wait, after the margin."""

    path_s: float
    """Critical path."""

    limit_s: float
    """Time after which the job has no value."""

    @property
    def excess_s(self) -> float:
        """Return the time by which the job would be too late."""
        return self.wait_s + self.path_s - self.limit_s


def find_excess(
    forecast: BacklogForecast,
    queue: str,
    organisation: str,
    spec: JobSpec,
    stretch: float,
    target_offset_s: float,
    overdue_factor: float,
    default_duration_s: float,
    draw: float,
) -> Excess | None:
    """Return by how much a job would be too late; None if it may be in time.

    ``draw`` is a random number from 0 to 1. It decides whether a job of an
    organisation that sends too much counts as within its rate: intake can't know, and
    the owner lets the first jobs of each second pass.

    Of the caller's estimate and the corrected one the longer counts for the path: the
    limit grows by more than the path, so an error on this side accepts the job.
    """
    rows = forecast.queues.get(queue)
    if rows is None or _is_exempt(spec):
        return None
    corrected = [
        rows.correction.correct(step.estimate_ms / 1000, default_duration_s)
        for step in spec.steps
    ]
    core_s = sum(
        step.count * max(step.needs.cpu_millis / 1000, step.needs.gpus * 8) * s
        for step, s in zip(spec.steps, corrected, strict=True)
    )
    own = forecast.organisations.get(organisation)
    is_beyond = own is not None and draw >= own.entitled_share
    share = forecast.certain_share_beyond if is_beyond else forecast.certain_share
    wait_s = share * forecast.find_wait(queue, organisation, core_s, is_beyond)
    durations = [
        max(s, step.estimate_ms / 1000)
        for step, s in zip(spec.steps, corrected, strict=True)
    ]
    path_s = _compute_path(spec, durations)
    limit_s = overdue_factor * (stretch * path_s + target_offset_s)
    excess = Excess(wait_s, path_s, limit_s)
    return excess if excess.excess_s > 0 else None


def _is_exempt(spec: JobSpec) -> bool:
    """Return whether a job is never rejected: it lasts, waits or is timed."""
    return bool(spec.occurrences) or any(
        step.is_long_running or step.is_best_effort for step in spec.steps
    )


def _compute_path(spec: JobSpec, durations_s: list[float]) -> float:
    ends: list[float] = []
    for step, duration_s in zip(spec.steps, durations_s, strict=True):
        ends.append(duration_s + max((ends[n] for n in step.after), default=0.0))
    return max(ends, default=0.0)


def forecast_wait(
    work: Iterable[WaitingWork],
    cores: float,
    free_cores: float,
    sample: QueueSample,
    core_s: float,
    is_within_rate: bool,
    is_in_turn: bool,
) -> float:
    """Return the least time until a new job would begin, in seconds.

    The pool starts waiting work as fast as its cores finish work, and what fits on
    free cores at once. A job that can't begin in time waits behind the late ones that
    have less work, too.
    """
    if cores <= 0:
        return 0.0  # a pool without workers has no expectation to reject by
    before = late = 0.0
    for row in work:
        if row.has_begun:
            before += row.core_s
            continue
        if row.is_within_rate is not is_within_rate:
            if row.is_within_rate:
                before += row.core_s
            continue
        is_smaller = (row.priority, row.unplaced_core_s) < (sample.priority, core_s)
        if row.is_in_time:
            is_in_same_turn = row.is_in_turn is is_in_turn
            if is_smaller if is_in_same_turn else row.is_in_turn:
                before += row.core_s
            else:
                late += row.core_s
        elif row.is_late and is_smaller:
            late += row.core_s
    wait_s = max(0.0, before - free_cores * sample.path_s) / cores
    return wait_s if wait_s <= sample.patience_s else wait_s + late / cores


class ForecastErrors:
    """Compares forecast waits with the waits of the jobs that were accepted."""

    __slots__ = ("open_forecasts", "ratios")

    def __init__(self) -> None:
        self.open_forecasts: dict[str, tuple[float, float, bool]] = {}
        """Forecast wait, time of arrival, and whether the job is beyond its rate."""

        self.ratios: dict[bool, deque[float]] = {
            is_beyond: deque(maxlen=RECENT_ERRORS) for is_beyond in (False, True)
        }
        """Recent waits divided by the forecast, at most 1; by beyond rate."""

    def record_arrival(
        self, job: str, wait_s: float, is_beyond: bool, now: float
    ) -> None:
        """Note the forecast for an accepted job; short ones tell nothing."""
        if wait_s >= LEAST_PUBLISHED_WAIT_S:
            self.open_forecasts[job] = wait_s, now, is_beyond

    def record_begin(self, job: str, now: float) -> None:
        """Compare the wait of a job that begins with its forecast."""
        row = self.open_forecasts.pop(job, None)
        if row is not None:
            wait_s, arrived_at, is_beyond = row
            self.ratios[is_beyond].append(min(1.0, (now - arrived_at) / wait_s))

    def settle(self, open_jobs: Container[str], now: float) -> None:
        """Count the jobs that have waited as long as their forecast said.

        Jobs that were cancelled before they began tell nothing.
        """
        for job, (wait_s, arrived_at, _) in list(self.open_forecasts.items()):
            if job not in open_jobs:
                del self.open_forecasts[job]
            elif now - arrived_at >= wait_s:
                self.record_begin(job, now)

    def compute_certain_share(self, is_beyond: bool) -> float:
        """Return the part of the forecast that 19 of 20 jobs have waited.

        0 while too few are known: nothing is rejected then.
        """
        ratios = sorted(self.ratios[is_beyond])
        if len(ratios) < MIN_ERRORS:
            return 0.0
        return ratios[int(ERROR_QUANTILE * len(ratios))]


class EntitledShares:
    """Part of each organisation's jobs that intake is to let pass.

    An organisation that sends too much keeps its rate: the part that intake lets pass
    is corrected by what arrives, until about ``ENTITLED_MARGIN`` times the rate does.
    """

    __slots__ = ("arrived", "by_organisation", "counted_at")

    def __init__(self) -> None:
        self.arrived: dict[str, int] = {}
        """Jobs since ``counted_at``, by organisation."""

        self.by_organisation: dict[str, float] = {}
        self.counted_at = 0.0

    def record_arrival(self, organisation: str) -> None:
        """Count a job."""
        self.arrived[organisation] = self.arrived.get(organisation, 0) + 1

    def update(self, weights: Mapping[str, float], now: float) -> None:
        """Correct the parts by the jobs since the last call."""
        elapsed_s = max(0.1, now - self.counted_at)
        shares = {}
        for name, weight in weights.items():
            rate = self.arrived.get(name, 0) / elapsed_s
            share = self.by_organisation.get(name, 1.0)
            if rate > 0:
                share *= ENTITLED_MARGIN * weight / rate
            else:
                share = 1.0
            shares[name] = min(1.0, max(LEAST_ENTITLED_SHARE, share))
        self.by_organisation = shares
        self.arrived = {}
        self.counted_at = now
