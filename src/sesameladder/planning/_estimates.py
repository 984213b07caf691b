"""Robust estimates of drain and reboot times."""

from collections import deque
from statistics import median

WINDOW = 64
PRIOR_WEIGHT = 5
# A normal distribution's standard deviation is this many times its median
# absolute deviation.
DEVIATION_SCALE = 1.4826
MARGIN_DEVIATIONS = 3.0


class DurationEstimate:
    """Upper estimate of a duration from its latest observations and a prior."""

    __slots__ = ("cached", "samples")

    def __init__(self, prior_s: float) -> None:
        self.samples: deque[float] = deque([prior_s] * PRIOR_WEIGHT, maxlen=WINDOW)
        self.cached: float | None = None

    def observe(self, seconds: float) -> None:
        """Take a seen duration into account."""
        self.samples.append(max(seconds, 0.0))
        self.cached = None

    @property
    def upper_s(self) -> float:
        """Median plus three robust standard deviations, in seconds."""
        if self.cached is None:
            middle = median(self.samples)
            deviation = median(abs(sample - middle) for sample in self.samples)
            self.cached = middle + MARGIN_DEVIATIONS * DEVIATION_SCALE * deviation
        return self.cached


class StopEstimates:
    """Drain times by pool and reboot times of a region."""

    __slots__ = ("drain_prior_s", "drains", "reboot")

    def __init__(self, drain_prior_s: float, reboot_prior_s: float) -> None:
        self.drain_prior_s = drain_prior_s
        self.drains: dict[str, DurationEstimate] = {}
        self.reboot = DurationEstimate(reboot_prior_s)

    def drain(self, pool: str) -> DurationEstimate:
        """Return the estimate of a pool's drain time."""
        if pool not in self.drains:
            self.drains[pool] = DurationEstimate(self.drain_prior_s)
        return self.drains[pool]

    def stop_s(self, pool: str) -> float:
        """Return the time that a planned stop in a pool takes, in seconds."""
        return self.drain(pool).upper_s + self.reboot.upper_s
