"""Limits on retries: the retry budget and jobs that fail on every worker."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from sesameladder.dispatch._config import DispatcherConfig
from sesameladder.dispatch._types import Demand

MAX_FAILING_KINDS = 1024
KIND_FAILURES_TTL_S = 60.0  # after the last failure of the kind
MIN_FAILED_REQUESTS = 3


class RetryBudget:
    """Token bucket that first attempts fill and from which retries take.

    It starts empty, so retries never exceed ``retry_ratio`` of the first attempts
    over the lifetime of the dispatcher.
    """

    __slots__ = ("burst", "ratio", "tokens")

    def __init__(self, config: DispatcherConfig) -> None:
        self.ratio = config.retry_ratio
        self.burst = config.retry_burst
        self.tokens = 0.0

    def credit(self) -> None:
        """Add the share of a token that a first attempt earns, up to the burst."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one token for a retry; return False if less than one is left."""
        # Ten additions of 0.1 give slightly less than 1.0 in floating point.
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class KindFailures:
    """Failures of one kind of work since its last success."""

    workers: set[str] = field(default_factory=set)
    """VMs on which jobs of the kind failed."""

    failed_first_attempts: int = 0
    """Number of requests of the kind whose first attempt failed."""

    last_failure_at: float = 0.0
    """Time of the last failure in seconds."""


class UnrunnableJobs:
    """Detects jobs that fail on every worker.

    A failure is attributed to the job rather than the worker if the worker
    succeeds with other jobs.
    """

    __slots__ = ("kinds", "min_workers")

    def __init__(self, config: DispatcherConfig) -> None:
        self.min_workers = config.unrunnable_min_workers
        self.kinds: OrderedDict[str, KindFailures] = OrderedDict()

    def record_success(self, kind: str) -> None:
        """Record that a job of a kind succeeded."""
        self.kinds.pop(kind, None)

    def record_failure(
        self, kind: str, vm: str, is_first_attempt: bool, now: float
    ) -> None:
        """Record that a job of a kind failed on a worker."""
        failures = self.kinds.get(kind)
        if failures is None or now - failures.last_failure_at > KIND_FAILURES_TTL_S:
            failures = self.kinds[kind] = KindFailures()
        failures.workers.add(vm)
        failures.failed_first_attempts += is_first_attempt
        failures.last_failure_at = now
        self.kinds.move_to_end(kind)
        if len(self.kinds) > MAX_FAILING_KINDS:
            self.kinds.popitem(last=False)

    def fails_elsewhere(self, kind: str, vm: str) -> bool:
        """Return whether a kind failed on two other workers without a success since."""
        failures = self.kinds.get(kind)
        return failures is not None and len(failures.workers - {vm}) >= 2

    def is_unrunnable(
        self, demand: Demand, is_healthy: Callable[[str], bool], now: float
    ) -> bool:
        """Return whether a retry would fail on any worker.

        This holds if earlier attempts of the request failed on
        ``unrunnable_min_workers`` healthy workers, or if several requests of its
        kind did and none has succeeded since.
        """
        failed_on = set(demand.tried_workers)
        if self._failed_on_enough_healthy(failed_on, is_healthy):
            return True
        failures = self.kinds.get(demand.kind)
        if failures is None or now - failures.last_failure_at > KIND_FAILURES_TTL_S:
            return False
        has_enough_requests = failures.failed_first_attempts >= MIN_FAILED_REQUESTS
        return has_enough_requests and self._failed_on_enough_healthy(
            failures.workers, is_healthy
        )

    def _failed_on_enough_healthy(
        self, vms: set[str], is_healthy: Callable[[str], bool]
    ) -> bool:
        return sum(is_healthy(vm) for vm in vms) >= self.min_workers
