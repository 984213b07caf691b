"""Carries one request to a worker and ends it with exactly one outcome."""

import logging
from collections.abc import Callable
from dataclasses import replace
from random import Random

from sesameladder.dispatch import OutcomeKind, RefusalReason
from sesameladder.entry._grant_client import (
    AttemptHistory,
    GrantClient,
    NoGrant,
)
from sesameladder.entry._held_grants import HeldGrant
from sesameladder.entry._request import CallerRequest
from sesameladder.entry._task_keeper import TaskKeeper
from sesameladder.entry._upstream import (
    Answered,
    Checkpointed,
    Lost,
    NotSent,
    UpstreamClient,
    UpstreamResult,
)
from sesameladder.idempotency import NotRun, NotRunReason, Outcome, Unknown
from sesameladder.observability import Metric

MAX_ATTEMPTS = 3
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 0.5

logger = logging.getLogger(__name__)

# Called once, after the first grant and before anything is sent. Returns None
# when the request may start, else why it may not.
StartGate = Callable[[], NotRun | None]


def allow_start() -> NotRun | None:
    """Let a request start that needs no record of its start."""
    return None


class RequestPath:
    """Attempts a request until it has an outcome.

    A request is sent again only when it did not run, when it may be repeated,
    or when the worker returned a checkpoint of it.
    """

    __slots__ = ("grants", "keeper", "now", "random", "upstream", "wait")

    def __init__(
        self,
        grants: GrantClient,
        upstream: UpstreamClient,
        keeper: TaskKeeper,
        now: Callable[[], float],
        wait: Callable[[float], None],
        random: Random,
    ) -> None:
        self.grants = grants
        self.upstream = upstream
        self.keeper = keeper
        self.now = now
        self.wait = wait
        self.random = random

    def execute(
        self, request: CallerRequest, deadline: float, gate: StartGate = allow_start
    ) -> Outcome:
        """Return the outcome of a request; ``deadline`` is monotonic seconds."""
        return _Execution(self, request, deadline, gate).run()


class _Execution:
    """The attempts of one request."""

    __slots__ = (
        "checkpoint",
        "deadline",
        "gate",
        "gate_passed",
        "history",
        "last",
        "path",
        "request",
    )

    def __init__(
        self,
        path: RequestPath,
        request: CallerRequest,
        deadline: float,
        gate: StartGate,
    ) -> None:
        self.path = path
        self.request = request
        self.deadline = deadline
        self.gate = gate
        self.gate_passed = False
        self.history = AttemptHistory()
        self.checkpoint = ""
        self.last: UpstreamResult | None = None

    def run(self) -> Outcome:
        while True:
            grant = self.path.grants.acquire(self.request, self.history, self.deadline)
            if isinstance(grant, NoGrant):
                return self._conclude_without_grant(grant)
            refusal = self._pass_gate(grant)
            if refusal is not None:
                return refusal
            result = self._send(grant)
            if isinstance(result, Answered) and not self._may_repeat(result):
                return result.answer
            if not self._prepare_next(grant, result):
                return self._conclude()

    def _pass_gate(self, grant: HeldGrant) -> NotRun | None:
        if self.gate_passed:
            return None
        refusal = self.gate()
        if refusal is None:
            self.gate_passed = True
        else:
            self.path.grants.release(grant, OutcomeKind.UNUSED, 0.0)
        return refusal

    def _send(self, grant: HeldGrant) -> UpstreamResult:
        sent_at = self.path.now()
        timeout = max(0.001, self.deadline - sent_at)
        result = self.path.upstream.call(grant, self.request, self.checkpoint, timeout)
        ran_ms = (self.path.now() - sent_at) * 1000
        if isinstance(result, Lost):
            self.path.keeper.abandon(grant, _grant_outcome(result), ran_ms)
        else:
            self.path.grants.release(grant, _grant_outcome(result), ran_ms)
        self._remember(result)
        return result

    def _remember(self, result: UpstreamResult) -> None:
        # A refusal must not hide that an earlier attempt may have run.
        if isinstance(result, NotSent) and self.last is not None:
            return
        self.last = result

    def _prepare_next(self, grant: HeldGrant, result: UpstreamResult) -> bool:
        metrics = self.path.grants.metrics
        if isinstance(result, Checkpointed):
            metrics.count(Metric.PREEMPTIONS, self.request.pool)
            self.checkpoint = result.checkpoint
            self.history = replace(self.history, resumed_demand=grant.demand_id)
            return True
        if self.history.attempt >= MAX_ATTEMPTS or not self._may_repeat(result):
            return False
        metrics.count(Metric.RETRIES, self.request.pool)
        self.history = replace(self.history, attempt=self.history.attempt + 1)
        if not _is_refusal(result):
            self.history = replace(
                self.history,
                tried_workers=(*self.history.tried_workers, grant.vm),
                tried_racks=(*self.history.tried_racks, grant.rack),
            )
        self._back_off()
        return self.path.now() < self.deadline

    def _may_repeat(self, result: UpstreamResult) -> bool:
        if isinstance(result, NotSent):
            return True
        if isinstance(result, Answered) and not result.failed:
            return False
        if self.history.attempt >= MAX_ATTEMPTS and isinstance(result, Answered):
            return False
        return self.request.repeatable

    def _back_off(self) -> None:
        ceiling = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** (self.history.attempt - 1))
        delay = self.path.random.uniform(0, ceiling)
        self.path.wait(min(delay, max(0.0, self.deadline - self.path.now())))

    def _conclude_without_grant(self, refusal: NoGrant) -> Outcome:
        if self.last is None or isinstance(self.last, NotSent):
            return _refuse(refusal.reason, refusal.retry_after_s)
        return self._conclude()

    def _conclude(self) -> Outcome:
        last = self.last
        if isinstance(last, Answered):
            return last.answer
        if isinstance(last, Lost):
            return Unknown("deadline" if last.timed_out else last.reason)
        if isinstance(last, Checkpointed):
            return Unknown("the checkpointed work was not resumed")
        return NotRun(NotRunReason.WORKER_REFUSED, 1.0)


def _is_refusal(result: UpstreamResult) -> bool:
    """Return whether the worker refused; a refusal says nothing of the work."""
    refusals = (OutcomeKind.NOT_RUN_LEAVING, OutcomeKind.NOT_RUN_FULL)
    return isinstance(result, NotSent) and result.kind in refusals


def _grant_outcome(result: UpstreamResult) -> OutcomeKind:
    if isinstance(result, NotSent):
        return result.kind
    if isinstance(result, Checkpointed):
        return OutcomeKind.CHECKPOINTED
    if isinstance(result, Lost):
        return OutcomeKind.CANCELLED if result.timed_out else OutcomeKind.FAILED
    return OutcomeKind.FAILED if result.failed else OutcomeKind.SUCCEEDED


def _refuse(reason: str, retry_after_s: float) -> NotRun:
    if reason == RefusalReason.QUEUE_FULL.value:
        return NotRun(NotRunReason.QUEUE_LIMIT, retry_after_s)
    return NotRun(reason, retry_after_s)
