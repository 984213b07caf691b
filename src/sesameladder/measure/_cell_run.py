"""A discrete-event run of the product's dispatcher on a trace.

Messages take no time. A preempt order takes ``CHECKPOINT_S`` until the slot is
free, and a resumed job runs ``RESUME_S`` longer.
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
RACK_SIZE = 4
CHECKPOINT_S = 0.1
RESUME_S = 0.05
FAILURE_S = 0.01
START_S = 3.0

Fails = Callable[[str, TraceRequest, float], bool]


@dataclass(slots=True)
class CellResult:
    """What a run shows; times in seconds, requests by number."""

    completed: dict[int, float] = field(default_factory=dict)
    """Completion times of the requests that succeeded."""

    started: dict[int, float] = field(default_factory=dict)
    """Time of the first grant."""

    refused: dict[int, str] = field(default_factory=dict)
    """Reasons of requests that ended without success."""

    attempts: Counter[int] = field(default_factory=Counter)
    """Grants without resumed parts."""

    failures_in_service: Counter[str] = field(default_factory=Counter)
    """Failed attempts by VM, without probes of ejected workers."""

    idle_slot_s: float = 0.0
    """Slot seconds that were idle while work waited."""

    ended_s: float = 0.0
    """Length of the run."""

    preempts: int = 0
    """Preempt orders that were carried out."""


@dataclass(slots=True)
class _Task:
    """A request on a worker."""

    request: TraceRequest
    """The request."""

    demand: Demand
    """The demand that was granted."""

    vm: str
    """VM that runs the task."""

    rack: str
    """Rack of the VM."""

    since: float
    """Time from which ``left_s`` counts."""

    started: float
    """Time of the grant."""

    left_s: float
    """Work left at ``since``, in seconds at full speed."""

    speed: float = 1.0
    """Share of the slot that the task gets."""

    version: int = 0
    """Number of the valid end event."""

    probe: bool = False
    """Whether the worker was ejected when the task began."""

    stopping: bool = False
    """Whether a checkpoint is under way."""


class CellRun:
    """Drives one dispatcher with one trace."""

    __slots__ = (
        "dispatcher",
        "events",
        "fails",
        "left_s",
        "order",
        "requests",
        "result",
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
        fails: Fails | None = None,
    ) -> None:
        self.dispatcher = _start_dispatcher(config, teams, seed)
        self.requests = trace
        self.fails = fails
        self.result = CellResult()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = 0
        self.tasks: dict[str, _Task] = {}
        self.waiting: dict[str, tuple[TraceRequest, Demand]] = {}
        self.left_s: dict[int, float] = {}
        self.wakeup = float("inf")

    def run(self) -> CellResult:
        """Run to the last completion."""
        for request in self.requests:
            self._schedule_arrival(request)
        last = START_S
        while self.events:
            now, _, action = heapq.heappop(self.events)
            self._count_idle(now - last)
            last = now
            action(now)
            self._poll(now)
        self.result.ended_s = last - START_S
        return self.result

    def _schedule_arrival(self, request: TraceRequest) -> None:
        demand = _first_demand(request)
        time = START_S + request.arrival_s
        self._schedule(time, lambda now: self._submit(request, demand, now))

    def _schedule(self, time: float, action: Callable[[float], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (time, self.order, action))

    def _count_idle(self, seconds: float) -> None:
        idle = WORKERS * SLOTS_PER_WORKER - len(self.tasks)
        self.result.idle_slot_s += min(idle, len(self.waiting)) * seconds

    def _submit(self, request: TraceRequest, demand: Demand, now: float) -> None:
        answer = self.dispatcher.submit(demand, now)
        if isinstance(answer, Queued):
            self.waiting[demand.demand_id] = (request, demand)
        else:
            self.result.refused[request.number] = answer.reason

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
            self._begin(decision, now)
        elif isinstance(decision, Refused):
            request, _ = self.waiting.pop(decision.demand_id)
            self.result.refused[request.number] = decision.reason
        elif isinstance(decision, Preempt):
            self._stop(decision.grant_id, now)
        elif isinstance(decision, Throttle):
            self._throttle(decision, now)

    def _begin(self, granted: Granted, now: float) -> None:
        request, demand = self.waiting.pop(granted.demand_id)
        self.result.started.setdefault(request.number, now - START_S)
        left = self.left_s.pop(request.number, request.run_s)
        task = _Task(request, demand, granted.vm, granted.rack, now, now, left)
        task.probe = granted.vm in self.dispatcher.cell.outliers.ejected
        self.tasks[granted.grant_id] = task
        if not demand.resumed:
            self.result.attempts[request.number] += 1
        if self.fails is not None and self.fails(granted.vm, request, now):
            self._schedule(now + FAILURE_S, lambda at: self._fail(granted.grant_id, at))
        else:
            self._schedule_end(granted.grant_id, task)

    def _schedule_end(self, grant_id: str, task: _Task) -> None:
        task.version += 1
        version = task.version
        end = task.since + task.left_s / task.speed
        self._schedule(end, lambda now: self._end(grant_id, version, now))

    def _end(self, grant_id: str, version: int, now: float) -> None:
        task = self.tasks.get(grant_id)
        if task is None or task.version != version:
            return
        del self.tasks[grant_id]
        self.result.completed[task.request.number] = now - START_S
        self._release(grant_id, task, OutcomeKind.SUCCEEDED, now)

    def _fail(self, grant_id: str, now: float) -> None:
        task = self.tasks.pop(grant_id)
        if not task.probe:
            self.result.failures_in_service[task.vm] += 1
        self._release(grant_id, task, OutcomeKind.FAILED, now)
        retry = replace(
            task.demand,
            attempt=task.demand.attempt + 1,
            tried_workers=(*task.demand.tried_workers, task.vm),
            tried_racks=(*task.demand.tried_racks, task.rack),
        )
        self._submit(task.request, retry, now)

    def _stop(self, grant_id: str, now: float) -> None:
        task = self.tasks.get(grant_id)
        if task is None or task.stopping:
            return
        self._settle(task, now)
        task.stopping = True
        task.version += 1
        self._schedule(
            now + CHECKPOINT_S, lambda at: self._end_checkpoint(grant_id, at)
        )

    def _end_checkpoint(self, grant_id: str, now: float) -> None:
        task = self.tasks.pop(grant_id)
        self.result.preempts += 1
        self.left_s[task.request.number] = task.left_s + RESUME_S
        self._release(grant_id, task, OutcomeKind.CHECKPOINTED, now)
        self._submit(task.request, replace(task.demand, resumed=True), now)

    def _throttle(self, order: Throttle, now: float) -> None:
        task = self.tasks.get(order.grant_id)
        if task is not None and not task.stopping:
            self._settle(task, now)
            task.speed = order.share
            self._schedule_end(order.grant_id, task)

    def _settle(self, task: _Task, now: float) -> None:
        task.left_s = max(0.0, task.left_s - (now - task.since) * task.speed)
        task.since = now

    def _release(
        self, grant_id: str, task: _Task, kind: OutcomeKind, now: float
    ) -> None:
        ran_ms = (now - task.started) * 1000
        self.dispatcher.release(grant_id, GrantOutcome(kind, ran_ms), now)


def _start_dispatcher(
    config: DispatcherConfig, teams: list[Team], seed: int
) -> Dispatcher:
    dispatcher = Dispatcher(config, Random(seed))
    dispatcher.update_teams({team.name: team for team in teams})
    workers = [
        WorkerSpec(
            f"w{i}", f"r{i // RACK_SIZE}", f"10.0.0.{i}:80", SLOTS_PER_WORKER, 64
        )
        for i in range(WORKERS)
    ]
    dispatcher.update_workers(workers, 0.0)
    dispatcher.recover([], START_S - config.task_lease_s)
    for worker in workers:
        dispatcher.apply_task_report(worker.vm, 0, START_S)
    return dispatcher


def _first_demand(request: TraceRequest) -> Demand:
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
