"""Outlier detection: ejection of workers on which every task fails."""

from dataclasses import dataclass
from random import Random

from sesameladder.dispatch._config import DispatcherConfig

RECENT_SUCCESS_S = 30.0  # a healthy worker succeeded within this time


@dataclass(slots=True)
class WorkerHistory:
    """Recent outcomes and ejection state of one worker."""

    consecutive_failures: int = 0
    """Number of consecutive failures that count against the worker."""

    successes_before: int = 0
    """Successes in the cell before the first of the consecutive failures."""

    failures_before: int = 0
    """Failures in the cell before the first of the consecutive failures."""

    last_success_at: float = float("-inf")
    """Time of the last success in seconds."""

    consecutive_ejections: int = 0
    """Number of consecutive ejections and failed probes."""

    probe_at: float | None = None
    """Time in seconds of the next probe; None if the worker is not ejected."""

    probe_in_flight: bool = False
    """Whether a probe has been granted and has not ended."""


class OutlierDetector:
    """Decides which workers are ejected, probed and readmitted.

    A worker is ejected if its last ``ejection_failures`` outcomes are failures
    while most jobs that ended on other workers in the same period succeeded. In a
    full outage no worker is ejected, since no other worker could take the load.
    """

    __slots__ = (
        "config",
        "ejected",
        "ejection_candidates",
        "failures",
        "histories",
        "random",
        "successes",
    )

    def __init__(self, config: DispatcherConfig, random: Random) -> None:
        self.config = config
        self.random = random
        self.histories: dict[str, WorkerHistory] = {}
        self.ejected: set[str] = set()
        self.ejection_candidates: set[str] = set()
        self.successes = 0
        self.failures = 0

    def history(self, vm: str) -> WorkerHistory:
        """Return the history of a worker, which is created if it does not exist."""
        return self.histories.setdefault(vm, WorkerHistory())

    def record_success(self, vm: str, now: float) -> None:
        """Record a success; an ejected worker keeps its consecutive failures."""
        self.successes += 1
        history = self.history(vm)
        history.last_success_at = now
        if vm not in self.ejected:
            history.consecutive_failures = 0
            self.ejection_candidates.discard(vm)

    def record_failure(self, vm: str, counts_against_worker: bool) -> None:
        """Record a failure.

        ``counts_against_worker`` is False if the failure is attributed to the job.
        """
        history = self.history(vm)
        if counts_against_worker:
            if history.consecutive_failures == 0:
                history.successes_before = self.successes
                history.failures_before = self.failures
            history.consecutive_failures += 1
            if history.consecutive_failures >= self.config.ejection_failures:
                self.ejection_candidates.add(vm)
        self.failures += 1

    def eject_outliers(self, listed_workers: int, now: float) -> list[str]:
        """Eject the outliers and return their VMs, up to the maximum share."""
        max_ejected = max(1, int(listed_workers * self.config.max_ejected_share))
        ejected_now = []
        for vm in sorted(self.ejection_candidates):
            if len(self.ejected) >= max_ejected:
                break
            if vm not in self.ejected and self._others_succeed(vm):
                ejected_now.append(vm)
                self._eject(vm, now)
        return ejected_now

    def due_probe(self, now: float) -> str | None:
        """Return the VM of an ejected worker whose probe is due, or None."""
        for vm in sorted(self.ejected):
            history = self.histories[vm]
            is_due = history.probe_at is not None and history.probe_at <= now
            if is_due and not history.probe_in_flight:
                return vm
        return None

    def begin_probe(self, vm: str) -> None:
        """Record that a probe was granted."""
        self.histories[vm].probe_in_flight = True

    def end_probe(self, vm: str, succeeded: bool | None, now: float) -> bool:
        """Record a probe's result and return whether the worker was readmitted.

        ``succeeded`` is None if the probe did not run to a success or failure; the
        next delay is then not increased.
        """
        if vm not in self.ejected:
            return False
        history = self.histories[vm]
        history.probe_in_flight = False
        if succeeded:
            self.readmit(vm)
            history.last_success_at = now
            return True
        if succeeded is False:
            history.consecutive_ejections += 1
        history.probe_at = now + self._probe_delay_s(history)
        return False

    def readmit(self, vm: str) -> None:
        """Make an ejected worker available for ordinary grants."""
        self.ejected.discard(vm)
        history = self.history(vm)
        history.consecutive_failures = 0
        history.probe_at = None
        history.probe_in_flight = False

    def remove_worker(self, vm: str) -> None:
        """Delete the history of a worker that is no longer listed."""
        self.ejected.discard(vm)
        self.ejection_candidates.discard(vm)
        self.histories.pop(vm, None)

    def is_healthy(self, vm: str, now: float) -> bool:
        """Return whether a worker succeeded recently and isn't failing or ejected."""
        history = self.histories.get(vm)
        if history is None or vm in self.ejected:
            return False
        recently_succeeded = now - history.last_success_at <= RECENT_SUCCESS_S
        return (
            recently_succeeded
            and history.consecutive_failures < self.config.ejection_failures
        )

    def next_probe_at(self) -> float | None:
        """Return the time in seconds of the next probe; None if none is due."""
        histories = [self.histories[vm] for vm in self.ejected]
        times = [
            history.probe_at
            for history in histories
            if history.probe_at is not None and not history.probe_in_flight
        ]
        return min(times, default=None)

    def _eject(self, vm: str, now: float) -> None:
        history = self.histories[vm]
        recently_succeeded = (
            now - history.last_success_at < self.config.probe_delay_limit_s
        )
        history.consecutive_ejections = (
            history.consecutive_ejections + 1 if recently_succeeded else 1
        )
        history.probe_at = now + self._probe_delay_s(history)
        history.probe_in_flight = False
        self.ejection_candidates.discard(vm)
        self.ejected.add(vm)

    def _others_succeed(self, vm: str) -> bool:
        history = self.histories[vm]
        successes = self.successes - history.successes_before
        failures = (
            self.failures - history.failures_before - history.consecutive_failures
        )
        return successes > max(0, failures)

    def _probe_delay_s(self, history: WorkerHistory) -> float:
        backoff_s = self.config.probe_delay_s * 2.0 ** min(
            history.consecutive_ejections - 1, 16
        )
        delay_s = min(backoff_s, self.config.probe_delay_limit_s)
        return delay_s * self.random.uniform(0.75, 1.25)
