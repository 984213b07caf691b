"""A discrete-event simulation that runs the dispatcher on a trace.

Messages have no delay. A preempted slot is free after ``CHECKPOINT_DURATION_S``,
and a resumed request runs ``RESUME_OVERHEAD_S`` longer.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from sesameladder.dispatch import (
    Decision,
    Demand,
    Dispatcher,
    DispatcherConfig,
    Granted,
    GrantOutcome,
    OutcomeKind,
    Preempt,
    Queued,
    Refused,
    Throttle,
    WorkerSpec,
)
from sesameladder.measure._trace import TraceRequest
from sesameladder.model import Team

WORKERS = 6
SLOTS_PER_WORKER = 8
WORKERS_PER_RACK = 4
CHECKPOINT_DURATION_S = 0.1
RESUME_OVERHEAD_S = 0.05
FAILURE_DELAY_S = 0.01
TRACE_START_S = 3.0

FailureRule = Callable[[str, TraceRequest, float], bool]
"""Returns whether an attempt on a VM fails; the float is the simulated time in s."""


@dataclass(slots=True)
class CellResult:
    """Result of a run; times in seconds, requests by number."""

    completed: dict[int, float] = field(default_factory=dict)
    """Completion time of each request that succeeded."""

    started: dict[int, float] = field(default_factory=dict)
    """Time of the first grant of each request."""

    refused: dict[int, str] = field(default_factory=dict)
    """Refusal reason of each request that ended without success."""

    attempts: Counter[int] = field(default_factory=Counter)
    """Grants of each request, without those that resume a checkpoint."""

    failures_in_service: Counter[str] = field(default_factory=Counter)
    """Failed attempts by VM, without the probes of ejected workers."""

    idle_slot_s: float = 0.0
    """Slot-seconds that were idle while requests waited."""

    duration_s: float = 0.0
    """Time from the start of the trace to the last event."""

    preemptions: int = 0
    """Number of preemptions that reached their checkpoint."""


@dataclass(slots=True)
class _Task:
    """A granted request that runs on a worker."""

    request: TraceRequest
    """Request that runs."""

    demand: Demand
    """Demand that was granted."""

    vm: str
    """VM that runs the task."""

    rack: str
    """Rack of the VM."""

    updated_at: float
    """Time at which ``remaining_s`` was last updated, in seconds."""

    granted_at: float
    """Time of the grant, in seconds."""

    remaining_s: float
    """Remaining run time at ``updated_at``, in seconds at full speed."""

    speed: float = 1.0
    """Share of the slot that the task receives."""

    end_version: int = 0
    """Version of the scheduled end; end events of earlier versions are ignored."""

    is_probe: bool = False
    """Whether the worker was ejected when the task started."""

    is_checkpointing: bool = False
    """Whether a checkpoint is in progress."""


class CellRun:
    """Runs a dispatcher on a trace."""

    __slots__ = (
        "dispatcher",
        "event_count",
        "events",
        "remaining_s",
        "requests",
        "result",
        "should_fail",
        "tasks",
        "waiting",
        "wakeup",
    )

    def __init__(
        self,
        trace: list[TraceRequest],
        config: DispatcherConfig,
        teams: list[Team],
        seed: int,
        should_fail: FailureRule | None = None,
    ) -> None:
        self.dispatcher = _start_dispatcher(config, teams, seed)
        self.requests = trace
        self.should_fail = should_fail
        self.result = CellResult()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.event_count = 0
        self.tasks: dict[str, _Task] = {}
        self.waiting: dict[str, tuple[TraceRequest, Demand]] = {}
        self.remaining_s: dict[int, float] = {}
        self.wakeup = float("inf")

    def run(self) -> CellResult:
        """Run until no event is left and return the result."""
        for request in self.requests:
            self._schedule_arrival(request)
        last = TRACE_START_S
        while self.events:
            now, _, action = heapq.heappop(self.events)
            self._add_idle_time(now - last)
            last = now
            action(now)
            self._poll(now)
        self.result.duration_s = last - TRACE_START_S
        return self.result

    def _schedule_arrival(self, request: TraceRequest) -> None:
        demand = _build_first_demand(request)
        time = TRACE_START_S + request.arrival_s
        self._schedule(time, lambda now: self._submit(request, demand, now))

    def _schedule(self, time: float, action: Callable[[float], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (time, self.event_count, action))

    def _add_idle_time(self, seconds: float) -> None:
        idle = WORKERS * SLOTS_PER_WORKER - len(self.tasks)
        self.result.idle_slot_s += min(idle, len(self.waiting)) * seconds

    def _submit(self, request: TraceRequest, demand: Demand, now: float) -> None:
        outcome = self.dispatcher.submit(demand, now)
        if isinstance(outcome, Queued):
            self.waiting[demand.demand_id] = (request, demand)
        else:
            self.result.refused[request.number] = outcome.reason

    def _poll(self, now: float) -> None:
        for decision in self.dispatcher.poll(now):
            self._apply(decision, now)
        wakeup = self.dispatcher.next_wakeup(now)
        if wakeup is not None and (self.wakeup <= now or wakeup < self.wakeup):
            if not self.waiting and not self.tasks:
                return
            self.wakeup = max(wakeup, now + 1e-6)
            self._schedule(self.wakeup, lambda _: None)

    def _apply(self, decision: Decision, now: float) -> None:
        if isinstance(decision, Granted):
            self._start_task(decision, now)
        elif isinstance(decision, Refused):
            request, _ = self.waiting.pop(decision.demand_id)
            self.result.refused[request.number] = decision.reason
        elif isinstance(decision, Preempt):
            self._start_checkpoint(decision.grant_id, now)
        elif isinstance(decision, Throttle):
            self._throttle(decision, now)

    def _start_task(self, granted: Granted, now: float) -> None:
        request, demand = self.waiting.pop(granted.demand_id)
        self.result.started.setdefault(request.number, now - TRACE_START_S)
        remaining_s = self.remaining_s.pop(request.number, request.run_s)
        task = _Task(request, demand, granted.vm, granted.rack, now, now, remaining_s)
        task.is_probe = granted.vm in self.dispatcher.cell.outliers.ejected
        self.tasks[granted.grant_id] = task
        if not demand.resumed:
            self.result.attempts[request.number] += 1
        if self.should_fail is not None and self.should_fail(granted.vm, request, now):
            self._schedule(
                now + FAILURE_DELAY_S, lambda at: self._fail_task(granted.grant_id, at)
            )
        else:
            self._schedule_end(granted.grant_id, task)

    def _schedule_end(self, grant_id: str, task: _Task) -> None:
        task.end_version += 1
        end_version = task.end_version
        end = task.updated_at + task.remaining_s / task.speed
        self._schedule(end, lambda now: self._complete_task(grant_id, end_version, now))

    def _complete_task(self, grant_id: str, end_version: int, now: float) -> None:
        task = self.tasks.get(grant_id)
        if task is None or task.end_version != end_version:
            return
        del self.tasks[grant_id]
        self.result.completed[task.request.number] = now - TRACE_START_S
        self._release(grant_id, task, OutcomeKind.SUCCEEDED, now)

    def _fail_task(self, grant_id: str, now: float) -> None:
        task = self.tasks.pop(grant_id)
        if not task.is_probe:
            self.result.failures_in_service[task.vm] += 1
        self._release(grant_id, task, OutcomeKind.FAILED, now)
        retry = replace(
            task.demand,
            attempt=task.demand.attempt + 1,
            tried_workers=(*task.demand.tried_workers, task.vm),
            tried_racks=(*task.demand.tried_racks, task.rack),
        )
        self._submit(task.request, retry, now)

    def _start_checkpoint(self, grant_id: str, now: float) -> None:
        task = self.tasks.get(grant_id)
        if task is None or task.is_checkpointing:
            return
        self._update_remaining_work(task, now)
        task.is_checkpointing = True
        task.end_version += 1
        self._schedule(
            now + CHECKPOINT_DURATION_S, lambda at: self._end_checkpoint(grant_id, at)
        )

    def _end_checkpoint(self, grant_id: str, now: float) -> None:
        task = self.tasks.pop(grant_id)
        self.result.preemptions += 1
        self.remaining_s[task.request.number] = task.remaining_s + RESUME_OVERHEAD_S
        self._release(grant_id, task, OutcomeKind.CHECKPOINTED, now)
        self._submit(task.request, replace(task.demand, resumed=True), now)

    def _throttle(self, order: Throttle, now: float) -> None:
        task = self.tasks.get(order.grant_id)
        if task is not None and not task.is_checkpointing:
            self._update_remaining_work(task, now)
            task.speed = order.share
            self._schedule_end(order.grant_id, task)

    def _update_remaining_work(self, task: _Task, now: float) -> None:
        task.remaining_s = max(
            0.0, task.remaining_s - (now - task.updated_at) * task.speed
        )
        task.updated_at = now

    def _release(
        self, grant_id: str, task: _Task, kind: OutcomeKind, now: float
    ) -> None:
        ran_ms = (now - task.granted_at) * 1000
        self.dispatcher.release(grant_id, GrantOutcome(kind, ran_ms), now)


def _start_dispatcher(
    config: DispatcherConfig, teams: list[Team], seed: int
) -> Dispatcher:
    dispatcher = Dispatcher(config, Random(seed))
    dispatcher.update_teams({team.name: team for team in teams})
    workers = [
        WorkerSpec(
            f"w{i}", f"r{i // WORKERS_PER_RACK}", f"10.0.0.{i}:80", SLOTS_PER_WORKER, 64
        )
        for i in range(WORKERS)
    ]
    dispatcher.update_workers(workers, 0.0)
    dispatcher.recover([], TRACE_START_S - config.task_lease_s)
    for worker in workers:
        dispatcher.apply_task_report(worker.vm, 0, TRACE_START_S)
    return dispatcher


def _build_first_demand(request: TraceRequest) -> Demand:
    return Demand(
        demand_id=f"d{request.number}",
        forwarder="entry-1",
        incarnation=1,
        team=request.team,
        kind=request.kind,
        urgent=request.urgent,
        repeatable=True,
        attempt=1,
        expected_ms=request.declared_ms,
        checkpointable=request.checkpointable,
        deadline=float("inf"),
        tried_workers=(),
        tried_racks=(),
        resumed=False,
    )
