"""Random but reproducible traces of requests for one cell."""

import math
from dataclasses import dataclass
from random import Random

LONG_RUN_FACTOR = 50.0
LONG_SHARE = 0.01
LONG_KIND_SHARE = 0.5
MAX_DECLARED_ERROR_FACTOR = 10.0
URGENT_SHARE = 0.02
SHORT_KINDS = 8
KIND_SPREAD_FACTOR = 2.0
RUN_TIME_SIGMA = 0.3
PEAK_DEMAND_FACTOR = 5.0
LOW_DEMAND_FACTOR = 1 / 20
TEAMS = ("fitting", "workshop")


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """One request of a trace."""

    number: int
    """Position in the trace, from 0."""

    arrival_s: float
    """Time of arrival in seconds."""

    run_s: float
    """True run time in seconds."""

    kind: str
    """Kind of work; only part of the long work has a kind of its own."""

    team: str
    """Team that the request is charged to."""

    urgent: bool
    """Whether the request is urgent."""

    declared_ms: float
    """Declared run time in milliseconds, wrong by a factor of up to 10."""

    checkpointable: bool
    """Whether the request can be checkpointed."""

    is_long: bool
    """Whether the request runs ``LONG_RUN_FACTOR`` times as long as short work."""


@dataclass(frozen=True, slots=True)
class TraceShape:
    """Parameters of a trace."""

    requests: int
    """Number of requests."""

    slots: int
    """Slots of the cell."""

    load: float
    """Mean offered load as a share of the slots."""

    base_run_s: float
    """Geometric mean of the median run times of the short kinds, in seconds."""

    checkpointable_share: float
    """Share of the long work that can be checkpointed."""

    peak_s: float = 0.0
    """Length of the peaks of an alternating demand in seconds; 0 for steady demand."""

    team_shares: tuple[float, float] = (0.5, 0.5)
    """Share of the requests of each team in ``TEAMS``."""


def generate_trace(shape: TraceShape, seed: int) -> list[TraceRequest]:
    """Return the trace of a seed in the order of arrival."""
    random = Random(seed)
    drafts = [_draw_work(shape, random) for _ in range(shape.requests)]
    mean_run_s = sum(run_s for run_s, _, _ in drafts) / len(drafts)
    rate = shape.load * shape.slots / mean_run_s
    arrivals = _draw_arrivals(shape, rate, random)
    return [
        _make_request(shape, number, arrival_s, draft, random)
        for number, (arrival_s, draft) in enumerate(zip(arrivals, drafts, strict=True))
    ]


def _draw_work(shape: TraceShape, random: Random) -> tuple[float, str, bool]:
    index = random.randrange(SHORT_KINDS)
    position = 2 * index / (SHORT_KINDS - 1) - 1
    median_s = shape.base_run_s * KIND_SPREAD_FACTOR**position
    run_s = median_s * math.exp(random.gauss(0.0, RUN_TIME_SIGMA))
    if random.random() >= LONG_SHARE:
        return run_s, f"short-{index}", False
    has_long_kind = random.random() < LONG_KIND_SHARE
    return (
        run_s * LONG_RUN_FACTOR,
        f"long-{index}" if has_long_kind else f"short-{index}",
        True,
    )


def _draw_arrivals(shape: TraceShape, rate: float, random: Random) -> list[float]:
    arrivals = []
    now = 0.0
    for _ in range(shape.requests):
        # Time to the next arrival in seconds at the mean rate.
        gap_s = random.expovariate(1.0) / rate
        while gap_s > 0:
            factor, left_s = _find_demand_factor(shape, now)
            step_s = min(left_s, gap_s / factor)
            now += step_s
            gap_s -= step_s * factor
            if step_s < left_s:
                break
        arrivals.append(now)
    return arrivals


def _find_demand_factor(shape: TraceShape, now: float) -> tuple[float, float]:
    """Return the demand as a multiple of the mean and the seconds until it changes."""
    if shape.peak_s == 0:
        return 1.0, math.inf
    # The peak lasts for this share of a period, so that the mean factor is 1.
    peak_share = (1 - LOW_DEMAND_FACTOR) / (PEAK_DEMAND_FACTOR - LOW_DEMAND_FACTOR)
    period_s = shape.peak_s / peak_share
    phase_s = now % period_s
    if phase_s < shape.peak_s:
        return PEAK_DEMAND_FACTOR, max(shape.peak_s - phase_s, 1e-9)
    return LOW_DEMAND_FACTOR, max(period_s - phase_s, 1e-9)


def _make_request(
    shape: TraceShape,
    number: int,
    arrival_s: float,
    draft: tuple[float, str, bool],
    random: Random,
) -> TraceRequest:
    run_s, kind, is_long = draft
    error = MAX_DECLARED_ERROR_FACTOR ** random.uniform(-1.0, 1.0)
    return TraceRequest(
        number=number,
        arrival_s=arrival_s,
        run_s=run_s,
        kind=kind,
        team=random.choices(TEAMS, shape.team_shares)[0],
        urgent=not is_long and random.random() < URGENT_SHARE,
        declared_ms=run_s * 1000 * error,
        checkpointable=is_long and random.random() < shape.checkpointable_share,
        is_long=is_long,
    )
