"""Robust estimates of drain and reboot times."""

from collections import deque
from statistics import median

WINDOW_SAMPLES = 64
PRIOR_SAMPLES = 5
# Ratio of standard deviation to median absolute deviation (MAD) of a normal
# distribution.
MAD_TO_STANDARD_DEVIATION = 1.4826
UPPER_BOUND_DEVIATIONS = 3.0


class DurationEstimate:
    """Upper estimate of a duration from recent observations and a prior.

    Medians keep single outliers from raising the estimate. The prior counts as
    ``PRIOR_SAMPLES`` observations until newer ones displace it.
    """

    __slots__ = ("cached_upper_s", "samples")

    def __init__(self, prior_s: float) -> None:
        self.samples: deque[float] = deque(
            [prior_s] * PRIOR_SAMPLES, maxlen=WINDOW_SAMPLES
        )
        self.cached_upper_s: float | None = None

    def observe(self, seconds: float) -> None:
        """Add an observed duration."""
        self.samples.append(max(seconds, 0.0))
        self.cached_upper_s = None

    @property
    def upper_s(self) -> float:
        """Median plus three robust standard deviations, in seconds."""
        if self.cached_upper_s is None:
            middle = median(self.samples)
            deviation = median(abs(sample - middle) for sample in self.samples)
            self.cached_upper_s = (
                middle + UPPER_BOUND_DEVIATIONS * MAD_TO_STANDARD_DEVIATION * deviation
            )
        return self.cached_upper_s


class StopEstimates:
    """Estimated drain times by pool and reboot time of a region."""

    __slots__ = ("drain_estimates", "drain_prior_s", "reboot_estimate")

    def __init__(self, drain_prior_s: float, reboot_prior_s: float) -> None:
        self.drain_prior_s = drain_prior_s
        self.drain_estimates: dict[str, DurationEstimate] = {}
        self.reboot_estimate = DurationEstimate(reboot_prior_s)

    def drain_estimate(self, pool: str) -> DurationEstimate:
        """Return the estimate of a pool's drain time."""
        if pool not in self.drain_estimates:
            self.drain_estimates[pool] = DurationEstimate(self.drain_prior_s)
        return self.drain_estimates[pool]

    def stop_duration_s(self, pool: str) -> float:
        """Return the upper estimate of a planned stop's duration, in seconds."""
        return self.drain_estimate(pool).upper_s + self.reboot_estimate.upper_s
