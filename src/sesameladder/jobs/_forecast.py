"""Forecast of how long a new job of a pool waits, from which intake rejects jobs.

The load is a demand peak in which jobs are accepted that have no value any more when
they end. Rejecting one that would have been in time costs its caller everything, and
accepting one that is late costs little. The forecast therefore counts only work that
goes before the new job as things are, and comes with the part of it that 49 of 50
recent jobs have really waited.
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
RECENT_ERRORS = 500
MIN_ERRORS = 50  # fewer say nothing about one in fifty
ERROR_QUANTILE = 0.02
# Longer than a turn of demand: jobs that wait at the end of one begin early, since no
# newer ones precede them. Without it, 6 of 9 jobs that intake refused in the turns of a
# simulated pool would have been done in time.
LEARNING_S = 6.0
QUEUE_SAMPLE_WEIGHT = 0.1
# An organisation that sends up to this multiple of its rate is not hot. With 1.5 and no
# least number, 5 of 7 jobs that intake refused in a pool where none was hot would have
# been done in time: jobs that arrive at random often come in such numbers.
ENTITLED_MARGIN = 2.0
MIN_HOT_JOBS = 8


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
    """Forecast for the jobs of a queue, in rows by their work."""

    least_core_s: tuple[float, ...]
    """Least work of a job by row, in core-seconds; rises."""

    begins_after_s: tuple[float, ...]
    """Time until a job of at least that work would begin, within its rate."""

    ends_after_s: tuple[float, ...]
    """Time until a job of at least that work and of mean length would end."""

    begins_beyond_rate_s: tuple[tuple[float, ...], tuple[float, ...]] = ((), ())
    """The same for a job beyond its rate: out of turn, and in turn."""

    correction: DurationCorrection = DurationCorrection()

    def find_row(self, core_s: float) -> int:
        """Return the row of a job by its work."""
        return max(0, sum(least <= core_s for least in self.least_core_s) - 1)


@dataclass(frozen=True, slots=True)
class OrganisationForecast:
    """Forecast for an organisation that sends far more than its rate."""

    entitled_share: float
    """Part of its jobs that intake lets pass, since they may be within the rate."""

    is_in_turn: bool
    """Whether it has not had more than its share."""


@dataclass(frozen=True, slots=True)
class BacklogForecast:
    """Forecast of a pool, as its owner publishes it."""

    fence: int
    """Fencing token of the owner."""

    computed_ms: int
    """Reading of the owner's steady clock when it was computed."""

    certain_share: float
    """Part of the forecast that 49 of 50 recent jobs within their rate waited."""

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
        if own is None:
            waits = rows.begins_after_s
        else:
            waits = rows.begins_beyond_rate_s[own.is_in_turn]
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
    """Return the time until a new job would begin, in seconds.

    ``core_s`` is its work; priority, length and patience are those of ``sample``.

    The pool starts waiting work as fast as its cores finish work, and what fits on
    free cores at once. A job that can't begin in time waits behind the late ones that
    have less work, too.
    """
    if cores <= 0:
        return 0.0  # a pool without workers has no expectation to reject by
    before = late = 0.0
    for row in work:
        if not row.is_in_time and not row.is_late:
            continue  # overdue work comes after all other
        goes_first = row.has_begun and row.is_in_time and row.is_within_rate
        if goes_first or (row.is_within_rate and not is_within_rate):
            before += row.core_s
            continue
        # Larger work in time was accepted earlier, so it is late before the new job is;
        # from then on it comes after it.
        is_smaller = (row.priority, row.unplaced_core_s) < (sample.priority, core_s)
        if row.is_within_rate is not is_within_rate or not is_smaller:
            continue
        if row.is_in_time and (row.is_in_turn or not is_in_turn):
            before += row.core_s
        else:
            late += row.core_s
    wait_s = max(0.0, before - free_cores * sample.path_s) / cores
    return wait_s if wait_s <= sample.patience_s else wait_s + late / cores


class ForecastErrors:
    """Compares forecast waits with the waits of the jobs that were accepted."""

    __slots__ = ("known_since", "open_forecasts", "ratios")

    def __init__(self) -> None:
        self.open_forecasts: dict[str, tuple[float, float, bool]] = {}
        """Forecast wait, time of arrival, and whether the job is beyond its rate."""

        self.ratios: dict[bool, deque[float]] = {
            is_beyond: deque(maxlen=RECENT_ERRORS) for is_beyond in (False, True)
        }
        """Recent waits divided by the forecast, at most 1; by beyond rate."""

        self.known_since: dict[bool, float] = {}
        """Time of the first of them; by beyond rate."""

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
            self.known_since.setdefault(is_beyond, now)
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

    def compute_certain_share(self, is_beyond: bool, now: float) -> float:
        """Return the part of the forecast that 49 of 50 jobs have waited.

        0 while too few are known: nothing is rejected then.
        """
        ratios = sorted(self.ratios[is_beyond])
        known_s = now - self.known_since.get(is_beyond, now)
        if len(ratios) < MIN_ERRORS or known_s < LEARNING_S:
            return 0.0
        return ratios[int(ERROR_QUANTILE * len(ratios))]


class EntitledShares:
    """Part of the jobs of each hot organisation that intake is to let pass.

    Intake can't know which jobs the owner will count as within the rate. It lets a part
    pass, which is corrected by what arrives, until about ``ENTITLED_MARGIN`` times the
    rate does: who sends too much loses nothing of what it is entitled to. Of 20
    organisations one sends twice its rate in some second by chance, so only two counts
    in a row make one hot.
    """

    __slots__ = (
        "arrived",
        "by_organisation",
        "counted_at",
        "least_shares",
        "suspected",
    )

    def __init__(self) -> None:
        self.least_shares: dict[str, float] = {}
        """The part for the highest rate seen while an organisation sends too much.

        Intake may let more arrive than the part, since some jobs have a long target;
        the part must not shrink for that.
        """

        self.suspected: set[str] = set()
        """Organisations that sent too much at the latest count."""

        self.arrived: dict[str, int] = {}
        """Jobs since ``counted_at``, by organisation."""

        self.by_organisation: dict[str, float] = {}
        """The part, for organisations that send too much."""

        self.counted_at = 0.0

    def record_arrival(self, organisation: str) -> None:
        """Count a job."""
        self.arrived[organisation] = self.arrived.get(organisation, 0) + 1

    def update(self, weights: Mapping[str, float], now: float) -> None:
        """Correct the parts by the jobs since the last call.

        ``weights`` are those of the organisations that jobs came from or wait for.
        """
        elapsed_s = max(0.1, now - self.counted_at)
        shares: dict[str, float] = {}
        least_shares: dict[str, float] = {}
        suspected: set[str] = set()
        for name, weight in weights.items():
            count = self.arrived.get(name, 0)
            share = self.by_organisation.get(name, 1.0)
            if not count or (share == 1.0 and count < MIN_HOT_JOBS):
                continue
            part = ENTITLED_MARGIN * weight * elapsed_s / count
            least = min(part, self.least_shares.get(name, 1.0))
            share = max(least, share * part)
            if share >= 1.0:
                continue
            suspected.add(name)
            if name in self.suspected:
                shares[name], least_shares[name] = share, least
        self.suspected = suspected
        self.by_organisation, self.least_shares = shares, least_shares
        self.arrived = {}
        self.counted_at = now
