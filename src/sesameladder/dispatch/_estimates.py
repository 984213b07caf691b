"""Run time estimates by kind of work."""

import math
from bisect import bisect_left, insort
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from sesameladder.dispatch._config import DispatcherConfig

KIND_WINDOW_RUNS = 33
CELL_WINDOW_RUNS = 257
PRIOR_WEIGHT_OBSERVATIONS = 0.5
MIN_KIND_OBSERVATIONS = 3
MIN_CELL_OBSERVATIONS = 8
MAX_KINDS = 4096
MIN_RUN_MS = 0.1  # keeps logarithms finite


class RunTimeWindow:
    """Sliding window of run times in milliseconds, with their median."""

    __slots__ = ("latest", "size", "sorted_ms")

    def __init__(self, size: int) -> None:
        self.size = size
        self.latest: deque[float] = deque()
        self.sorted_ms: list[float] = []

    def add(self, run_ms: float) -> None:
        """Add a run time; a full window drops its oldest one."""
        if len(self.latest) == self.size:
            del self.sorted_ms[bisect_left(self.sorted_ms, self.latest.popleft())]
        self.latest.append(run_ms)
        insort(self.sorted_ms, run_ms)

    def median(self) -> float:
        """Return the median in milliseconds; the window must not be empty."""
        return self.sorted_ms[len(self.sorted_ms) // 2]

    def count(self) -> int:
        """Return the number of run times in the window."""
        return len(self.latest)


@dataclass(slots=True)
class KindEstimate:
    """Observed run times of one kind."""

    window: RunTimeWindow = field(
        default_factory=lambda: RunTimeWindow(KIND_WINDOW_RUNS)
    )
    """Latest run times of jobs that succeeded."""

    lower_bound_ms: float = 0.0
    """Longest time in milliseconds that a job of the kind has run without ending.

    It is used while the kind has too few observations.
    """


class RunTimeEstimates:
    """Estimates the run time of a demand from its kind.

    The median is robust against the few jobs that run many times longer.
    Declared times are wrong by up to a factor of ten, so a declared time counts as
    half an observation. Times are averaged on a logarithmic scale, on which such
    errors are symmetric.
    """

    __slots__ = ("cell_window", "config", "kinds")

    def __init__(self, config: DispatcherConfig) -> None:
        self.config = config
        self.cell_window = RunTimeWindow(CELL_WINDOW_RUNS)
        self.kinds: OrderedDict[str, KindEstimate] = OrderedDict()

    def observe(self, kind: str, run_ms: float) -> None:
        """Record the run time of a job that succeeded."""
        run_ms = max(run_ms, MIN_RUN_MS)
        self.cell_window.add(run_ms)
        self._kind_estimate(kind).window.add(run_ms)

    def observe_running(self, kind: str, running_ms: float) -> None:
        """Record how long a job of a kind has run without ending."""
        estimate = self._kind_estimate(kind)
        estimate.lower_bound_ms = max(estimate.lower_bound_ms, running_ms)

    def cell_median_ms(self) -> float:
        """Return the median run time in the cell, in milliseconds.

        Before the first observation it is ``default_run_ms``.
        """
        if self.cell_window.count() == 0:
            return self.config.default_run_ms
        return self.cell_window.median()

    def long_threshold_ms(self) -> float:
        """Return the run time from which work counts as long, in milliseconds."""
        return self.config.long_threshold_factor * self.cell_median_ms()

    def has_cell_baseline(self) -> bool:
        """Return whether there are enough observations to distinguish long work."""
        return self.cell_window.count() >= MIN_CELL_OBSERVATIONS

    def expected_ms(self, kind: str, declared_ms: float | None) -> float:
        """Return the expected run time of a job, in milliseconds."""
        prior = max(declared_ms or self.cell_median_ms(), MIN_RUN_MS)
        estimate = self.kinds.get(kind)
        count = estimate.window.count() if estimate is not None else 0
        if estimate is None or count == 0:
            return max(prior, estimate.lower_bound_ms if estimate is not None else 0.0)
        if declared_ms is None:
            return estimate.window.median()
        weighted_log_sum = count * math.log(estimate.window.median())
        weighted_log_sum += PRIOR_WEIGHT_OBSERVATIONS * math.log(prior)
        return math.exp(weighted_log_sum / (count + PRIOR_WEIGHT_OBSERVATIONS))

    def is_long(self, kind: str) -> bool:
        """Return whether a kind counts as long work.

        Unknown kinds count as short until a job of theirs has run beyond the long
        work threshold.
        """
        estimate = self.kinds.get(kind)
        if estimate is None or not self.has_cell_baseline():
            return False
        if estimate.window.count() < MIN_KIND_OBSERVATIONS:
            return estimate.lower_bound_ms >= self.long_threshold_ms()
        return estimate.window.median() >= self.long_threshold_ms()

    def _kind_estimate(self, kind: str) -> KindEstimate:
        estimate = self.kinds.get(kind)
        if estimate is None:
            estimate = self.kinds[kind] = KindEstimate()
            if len(self.kinds) > MAX_KINDS:
                self.kinds.popitem(last=False)
        else:
            self.kinds.move_to_end(kind)
        return estimate
