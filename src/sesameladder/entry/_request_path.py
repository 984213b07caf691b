"""Execution of a request on workers, with retries, to exactly one outcome."""

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
    Checkpointed,
    NotExecuted,
    ResponseReceived,
    UpstreamClient,
    UpstreamOutcomeUnknown,
    UpstreamResult,
)
from sesameladder.idempotency import NotRun, NotRunReason, Outcome, Unknown
from sesameladder.observability import Metric

MAX_ATTEMPTS = 3
BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 0.5

logger = logging.getLogger(__name__)

# Called once, after the first grant and before the request is sent. Returns None
# if the request may start, otherwise why it may not.
StartCheck = Callable[[], NotRun | None]


def allow_start() -> NotRun | None:
    """Allow the start of a request without an idempotency token."""
    return None


class RequestPath:
    """Sends each attempt of a request to a worker under a grant of a dispatcher.

    A request is sent again only if it was not executed, if it is repeatable, or
    if the worker returned a checkpoint of it.
    """

    __slots__ = ("clock", "grant_client", "random", "sleep", "task_keeper", "upstream")

    def __init__(
        self,
        grant_client: GrantClient,
        upstream: UpstreamClient,
        task_keeper: TaskKeeper,
        clock: Callable[[], float],
        sleep: Callable[[float], None],
        random: Random,
    ) -> None:
        self.grant_client = grant_client
        self.upstream = upstream
        self.task_keeper = task_keeper
        self.clock = clock
        self.sleep = sleep
        self.random = random

    def execute(
        self,
        request: CallerRequest,
        deadline: float,
        start_check: StartCheck = allow_start,
    ) -> Outcome:
        """Execute a request and return its outcome.

        ``deadline`` is a monotonic time in seconds.
        """
        return _Execution(self, request, deadline, start_check).run()


class _Execution:
    """State of one request across its attempts."""

    __slots__ = (
        "checkpoint",
        "deadline",
        "history",
        "last_result",
        "request",
        "request_path",
        "start_allowed",
        "start_check",
    )

    def __init__(
        self,
        request_path: RequestPath,
        request: CallerRequest,
        deadline: float,
        start_check: StartCheck,
    ) -> None:
        self.request_path = request_path
        self.request = request
        self.deadline = deadline
        self.start_check = start_check
        self.start_allowed = False
        self.history = AttemptHistory()
        self.checkpoint = ""
        self.last_result: UpstreamResult | None = None

    def run(self) -> Outcome:
        while True:
            grant = self.request_path.grant_client.acquire(
                self.request, self.history, self.deadline
            )
            if isinstance(grant, NoGrant):
                return self._build_outcome_without_grant(grant)
            refusal = self._check_start(grant)
            if refusal is not None:
                return refusal
            result = self._send(grant)
            if isinstance(result, ResponseReceived) and not self._may_retry(result):
                return result.outcome
            if not self._prepare_next_attempt(grant, result):
                return self._build_final_outcome()

    def _check_start(self, grant: HeldGrant) -> NotRun | None:
        if self.start_allowed:
            return None
        refusal = self.start_check()
        if refusal is None:
            self.start_allowed = True
        else:
            self.request_path.grant_client.release(grant, OutcomeKind.UNUSED, 0.0)
        return refusal

    def _send(self, grant: HeldGrant) -> UpstreamResult:
        sent_at = self.request_path.clock()
        timeout_s = max(0.001, self.deadline - sent_at)
        result = self.request_path.upstream.call(
            grant, self.request, self.checkpoint, timeout_s
        )
        ran_ms = (self.request_path.clock() - sent_at) * 1000
        if isinstance(result, UpstreamOutcomeUnknown):
            self.request_path.task_keeper.abandon(
                grant, _to_grant_outcome(result), ran_ms
            )
        else:
            self.request_path.grant_client.release(
                grant, _to_grant_outcome(result), ran_ms
            )
        self._record_result(result)
        return result

    def _record_result(self, result: UpstreamResult) -> None:
        # An attempt that was not executed doesn't replace the result of an earlier
        # attempt that may have run.
        if isinstance(result, NotExecuted) and self.last_result is not None:
            return
        self.last_result = result

    def _prepare_next_attempt(self, grant: HeldGrant, result: UpstreamResult) -> bool:
        metrics = self.request_path.grant_client.metrics
        if isinstance(result, Checkpointed):
            metrics.count(Metric.PREEMPTIONS, self.request.pool)
            self.checkpoint = result.checkpoint
            self.history = replace(self.history, resumed_demand=grant.demand_id)
            return True
        if self.history.attempt >= MAX_ATTEMPTS or not self._may_retry(result):
            return False
        metrics.count(Metric.RETRIES, self.request.pool)
        self.history = replace(self.history, attempt=self.history.attempt + 1)
        if not _is_worker_refusal(result):
            self.history = replace(
                self.history,
                tried_workers=(*self.history.tried_workers, grant.vm),
                tried_racks=(*self.history.tried_racks, grant.rack),
            )
        self._back_off()
        return self.request_path.clock() < self.deadline

    def _may_retry(self, result: UpstreamResult) -> bool:
        if isinstance(result, NotExecuted):
            return True
        if isinstance(result, ResponseReceived) and not result.is_server_error:
            return False
        if self.history.attempt >= MAX_ATTEMPTS and isinstance(
            result, ResponseReceived
        ):
            return False
        return self.request.repeatable

    def _back_off(self) -> None:
        max_delay_s = min(
            BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** (self.history.attempt - 1)
        )
        delay_s = self.request_path.random.uniform(0, max_delay_s)
        self.request_path.sleep(
            min(delay_s, max(0.0, self.deadline - self.request_path.clock()))
        )

    def _build_outcome_without_grant(self, refusal: NoGrant) -> Outcome:
        if self.last_result is None or isinstance(self.last_result, NotExecuted):
            return _build_not_run(refusal.reason, refusal.retry_after_s)
        return self._build_final_outcome()

    def _build_final_outcome(self) -> Outcome:
        last_result = self.last_result
        if isinstance(last_result, ResponseReceived):
            return last_result.outcome
        if isinstance(last_result, UpstreamOutcomeUnknown):
            return Unknown("deadline" if last_result.timed_out else last_result.reason)
        if isinstance(last_result, Checkpointed):
            return Unknown("the checkpointed work was not resumed")
        return NotRun(NotRunReason.WORKER_REFUSED, 1.0)


def _is_worker_refusal(result: UpstreamResult) -> bool:
    """Return whether the worker refused the request because it is leaving or full.

    Such a worker has not failed and may be tried again.
    """
    refusal_kinds = (OutcomeKind.NOT_RUN_LEAVING, OutcomeKind.NOT_RUN_FULL)
    return isinstance(result, NotExecuted) and result.outcome_kind in refusal_kinds


def _to_grant_outcome(result: UpstreamResult) -> OutcomeKind:
    if isinstance(result, NotExecuted):
        return result.outcome_kind
    if isinstance(result, Checkpointed):
        return OutcomeKind.CHECKPOINTED
    if isinstance(result, UpstreamOutcomeUnknown):
        return OutcomeKind.CANCELLED if result.timed_out else OutcomeKind.FAILED
    return OutcomeKind.FAILED if result.is_server_error else OutcomeKind.SUCCEEDED


def _build_not_run(reason: str, retry_after_s: float) -> NotRun:
    if reason == RefusalReason.QUEUE_FULL.value:
        return NotRun(NotRunReason.QUEUE_LIMIT, retry_after_s)
    return NotRun(reason, retry_after_s)
