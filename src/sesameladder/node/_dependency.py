"""Logs the loss and the return of a dependency, once each."""

from random import Random

from sesameladder.node._clock import read_steady_clock
from sesameladder.node._telemetry import STORE_FAILURES, log_event, log_warning
from sesameladder.service_calls import draw_pause


class DependencyState:
    """Whether one task reaches a service that it depends on."""

    __slots__ = ("last_success_at", "lost_at", "name", "random")

    def __init__(self, name: str) -> None:
        self.name = name
        self.random = Random()
        self.lost_at: float | None = None
        self.last_success_at = read_steady_clock()

    @property
    def is_lost(self) -> bool:
        """Return whether the last call failed."""
        return self.lost_at is not None

    def draw_pause(self) -> float:
        """Return the seconds until a call that failed is repeated."""
        return draw_pause(self.random)

    def record_success(self) -> None:
        """Record a successful call; logs the return of a lost dependency."""
        now = read_steady_clock()
        if self.lost_at is not None:
            away_s = round(now - self.lost_at, 3)
            log_event("dependency_regained", dependency=self.name, away_s=away_s)
            self.lost_at = None
        self.last_success_at = now

    def record_failure(self, error: Exception) -> None:
        """Record and count a failed call; logs the first of consecutive failures."""
        STORE_FAILURES.labels(self.name).inc()
        if self.lost_at is None:
            self.lost_at = read_steady_clock()
            log_warning("dependency_lost", dependency=self.name, error=str(error))
