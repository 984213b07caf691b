"""Ejection of workers that fail everything they start."""

from dataclasses import dataclass
from random import Random

from sesameladder.dispatch._config import DispatcherConfig

HEALTHY_WITHIN_S = 30.0


@dataclass(slots=True)
class WorkerHistory:
    """Outcomes of one worker."""

    streak: int = 0
    """Consecutive failures that count against the worker."""

    successes_elsewhere_from: int = 0
    """Successes in the cell when the streak began."""

    failures_elsewhere_from: int = 0
    """Failures in the cell when the streak began."""

    last_success_at: float = float("-inf")
    """Time of the last success in seconds."""

    ejections: int = 0
    """Ejections and failed probes in a row."""

    probe_at: float | None = None
    """Time from which the ejected worker is probed; None when not ejected."""

    probing: bool = False
    """Whether a probe is under way."""


class OutlierDetector:
    """Decides which workers are ejected, probed and readmitted.

    A worker is ejected when its last outcomes are all failures while most
    jobs that ended on other workers in the same time succeeded. In a full
    outage nobody is ejected, since ejection would not help.
    """

    __slots__ = (
        "config",
        "ejected",
        "failures",
        "histories",
        "pending",
        "random",
        "successes",
    )

    def __init__(self, config: DispatcherConfig, random: Random) -> None:
        self.config = config
        self.random = random
        self.histories: dict[str, WorkerHistory] = {}
        self.ejected: set[str] = set()
        self.pending: set[str] = set()
        self.successes = 0
        self.failures = 0

    def history(self, vm: str) -> WorkerHistory:
        """Return the outcomes of a worker."""
        return self.histories.setdefault(vm, WorkerHistory())

    def record_success(self, vm: str, now: float) -> None:
        """Record a success of a worker that is not on probe."""
        self.successes += 1
        history = self.history(vm)
        history.last_success_at = now
        if vm not in self.ejected:
            history.streak = 0
            self.pending.discard(vm)

    def record_failure(self, vm: str, counts: bool) -> None:
        """Record a failure; ``counts`` is False when the job is to blame."""
        history = self.history(vm)
        if counts:
            if history.streak == 0:
                history.successes_elsewhere_from = self.successes
                history.failures_elsewhere_from = self.failures
            history.streak += 1
            if history.streak >= self.config.ejection_failures:
                self.pending.add(vm)
        self.failures += 1

    def take_outliers(self, listed: int, now: float) -> list[str]:
        """Eject and return the workers that are due, up to the cap."""
        cap = max(1, int(listed * self.config.ejection_share))
        chosen = []
        for vm in sorted(self.pending):
            if len(self.ejected) >= cap:
                break
            if vm not in self.ejected and self._others_succeed(vm):
                chosen.append(vm)
                self._eject(vm, now)
        return chosen

    def due_probe(self, now: float) -> str | None:
        """Return an ejected worker whose probe is due."""
        for vm in sorted(self.ejected):
            history = self.histories[vm]
            due = history.probe_at is not None and history.probe_at <= now
            if due and not history.probing:
                return vm
        return None

    def begin_probe(self, vm: str) -> None:
        """Record that a probe was sent."""
        self.histories[vm].probing = True

    def end_probe(self, vm: str, succeeded: bool | None, now: float) -> bool:
        """Record a probe's result, None when it did not run; True if readmitted."""
        if vm not in self.ejected:
            return False
        history = self.histories[vm]
        history.probing = False
        if succeeded:
            self.readmit(vm)
            history.last_success_at = now
            return True
        if succeeded is False:
            history.ejections += 1
        history.probe_at = now + self._probe_delay(history)
        return False

    def readmit(self, vm: str) -> None:
        """Return an ejected worker to service."""
        self.ejected.discard(vm)
        history = self.history(vm)
        history.streak = 0
        history.probe_at = None
        history.probing = False

    def forget(self, vm: str) -> None:
        """Drop the history of a worker that left the cell."""
        self.ejected.discard(vm)
        self.pending.discard(vm)
        self.histories.pop(vm, None)

    def is_healthy(self, vm: str, now: float) -> bool:
        """Return whether a worker succeeded lately and is not failing."""
        history = self.histories.get(vm)
        if history is None or vm in self.ejected:
            return False
        recent = now - history.last_success_at <= HEALTHY_WITHIN_S
        return recent and history.streak < self.config.ejection_failures

    def next_probe_at(self) -> float | None:
        """Return the time of the next probe."""
        histories = [self.histories[vm] for vm in self.ejected]
        times = [
            history.probe_at
            for history in histories
            if history.probe_at is not None and not history.probing
        ]
        return min(times, default=None)

    def _eject(self, vm: str, now: float) -> None:
        history = self.histories[vm]
        relapse = now - history.last_success_at < self.config.probe_delay_limit_s
        history.ejections = history.ejections + 1 if relapse else 1
        history.probe_at = now + self._probe_delay(history)
        history.probing = False
        self.pending.discard(vm)
        self.ejected.add(vm)

    def _others_succeed(self, vm: str) -> bool:
        history = self.histories[vm]
        successes = self.successes - history.successes_elsewhere_from
        failures = self.failures - history.failures_elsewhere_from - history.streak
        return successes > max(0, failures)

    def _probe_delay(self, history: WorkerHistory) -> float:
        doubled = self.config.probe_delay_s * 2.0 ** min(history.ejections - 1, 16)
        delay = min(doubled, self.config.probe_delay_limit_s)
        return delay * self.random.uniform(0.75, 1.25)
