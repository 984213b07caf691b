"""The worker behind an upstream: slots, tasks, faults, leaving and reboots."""

import random
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from sesameladder.standins._clock import Clock
from sesameladder.standins.upstream._faults import Fault, FaultMode
from sesameladder.standins.upstream._task import Checkpoint, Task, TaskEnd

LEAVING_GRACE_S = 3.0
"""Time after which new work for a leaving upstream breaks promise P6, in seconds."""

LOST_ANSWER_HOLD_S = 60.0
HANG_S = 1e9


class WorkerState(StrEnum):
    """Whether the worker accepts work."""

    SERVING = "serving"
    LEAVING = "leaving"
    REBOOTING = "rebooting"


class Refusal(StrEnum):
    """Why work was refused without running."""

    LEAVING = "leaving"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """A piece of work as a caller sends it."""

    task_id: str
    """Identity that the forwarder gave the task."""

    request_id: str
    """Identity of the attempt."""

    key: str | None
    """Idempotency key or token, if any."""

    work_s: float
    """Run time in seconds."""

    lease_s: float
    """Length of the task's lease in seconds."""

    resume: Checkpoint | None = None
    """Checkpoint from which the task continues."""


@dataclass(slots=True)
class WorkerCounters:
    """What the worker did, for the checks of tests and trials."""

    runs_by_key: Counter[str] = field(default_factory=Counter)
    """Starts per idempotency key; a resumed task is no new start."""

    runs_by_request: Counter[str] = field(default_factory=Counter)
    """Starts per request id."""

    resumes: Counter[str] = field(default_factory=Counter)
    """Starts per checkpoint."""

    ends: Counter[str] = field(default_factory=Counter)
    """Ended tasks by reason."""

    refused: Counter[str] = field(default_factory=Counter)
    """Refused work by reason."""

    peak_slots: int = 0
    """Most tasks that ran at the same time."""

    work_after_leaving: int = 0
    """Work that started while the worker was leaving."""

    late_attempts: int = 0
    """Work offered more than ``LEAVING_GRACE_S`` after the worker began to leave."""


class Worker:
    """Runs tasks; safe to share by threads."""

    __slots__ = (
        "clock",
        "condition",
        "counters",
        "fault",
        "generation",
        "leaving_since",
        "random",
        "reboot_end",
        "slots",
        "tasks",
    )

    def __init__(self, slots: int, clock: Clock, chance: random.Random) -> None:
        self.slots = slots
        self.clock = clock
        self.random = chance
        self.condition = threading.Condition()
        self.counters = WorkerCounters()
        self.fault = Fault()
        self.generation = 0
        self.leaving_since: float | None = None
        self.reboot_end: float | None = None
        self.tasks: dict[str, Task] = {}

    @property
    def state(self) -> WorkerState:
        """Whether the worker accepts work."""
        if self.reboot_end is not None:
            if self.clock.now() < self.reboot_end:
                return WorkerState.REBOOTING
            self.reboot_end = None
        if self.leaving_since is not None:
            return WorkerState.LEAVING
        return WorkerState.SERVING

    def run(
        self, request: WorkRequest
    ) -> tuple[TaskEnd | Refusal, Task | None, FaultMode]:
        """Run a piece of work to its end, or refuse it."""
        with self.condition:
            refusal = self._find_refusal()
            if refusal is not None:
                self.counters.refused[refusal] += 1
                return refusal, None, FaultMode.NONE
            fault = self._draw_fault()
            task = self._start(request, fault)
            self._wait_for_end(task)
            self.counters.ends[task.end or TaskEnd.DONE] += 1
            return task.end or TaskEnd.DONE, task, fault.mode

    def hold_answer(self) -> None:
        """Wait until the fault mode changes, or for the longest hold."""
        end = self.clock.now() + LOST_ANSWER_HOLD_S
        with self.condition:
            generation, fault = self.generation, self.fault
            while self.clock.now() < end:
                if self.fault is not fault or self.generation != generation:
                    return
                self.clock.wait(self.condition, end - self.clock.now())

    def renew(self, task_id: str, lease_s: float) -> bool:
        """Extend a task's lease; False when the task does not run."""

        def extend(task: Task) -> None:
            task.lease_end = max(task.lease_end, self.clock.now() + lease_s)

        return self._change(task_id, extend)

    def checkpoint(self, task_id: str) -> bool:
        """End a task with a checkpoint."""
        return self._end(task_id, TaskEnd.CHECKPOINTED)

    def stop(self, task_id: str) -> bool:
        """Stop a task."""
        return self._end(task_id, TaskEnd.STOPPED)

    def throttle(self, task_id: str, share: float) -> bool:
        """Slow a task down to a share of its slot."""

        def limit(task: Task) -> None:
            task.share = share

        return self._change(task_id, limit)

    def drain(self) -> None:
        """Accept no new work; running tasks end normally."""
        with self.condition:
            if self.leaving_since is None:
                self.leaving_since = self.clock.now()

    def reboot(self, seconds: float) -> None:
        """Cut the running tasks and refuse work for a time, then serve again."""
        with self.condition:
            if self.state is WorkerState.REBOOTING:
                return
            for task in self.tasks.values():
                task.end = task.end or TaskEnd.CUT
            self.reboot_end = self.clock.now() + seconds
            self.leaving_since = None
            self.condition.notify_all()

    def set_fault(self, fault: Fault) -> None:
        """Replace the fault mode; ends held answers."""
        with self.condition:
            self.fault = fault
            self.condition.notify_all()

    def shut_down(self) -> None:
        """Cut everything that runs or waits."""
        with self.condition:
            self.generation += 1
            for task in self.tasks.values():
                task.end = task.end or TaskEnd.CUT
            self.condition.notify_all()

    def list_tasks(self) -> list[dict[str, object]]:
        """Return the running tasks as JSON rows."""
        with self.condition:
            now = self.clock.now()
            return [
                {
                    "task_id": task.task_id,
                    "running_ms": (now - task.started_at) * 1000,
                    "lease_left_ms": (task.lease_end - now) * 1000,
                }
                for task in self.tasks.values()
            ]

    def _find_refusal(self) -> Refusal | None:
        if self.state is not WorkerState.SERVING:
            since = self.leaving_since
            if since is not None and self.clock.now() - since > LEAVING_GRACE_S:
                self.counters.late_attempts += 1
            return Refusal.LEAVING
        if len(self.tasks) >= self.slots:
            return Refusal.FULL
        return None

    def _draw_fault(self) -> Fault:
        fault = self.fault
        if fault.mode is FaultMode.NONE or self.random.random() >= fault.probability:
            return Fault()
        if fault.count is not None:
            left = fault.count - 1
            self.fault = replace(fault, count=left) if left else Fault()
        return fault

    def _start(self, request: WorkRequest, fault: Fault) -> Task:
        now = self.clock.now()
        work_s = request.resume.work_left_s if request.resume else request.work_s
        if fault.mode is FaultMode.HANG:
            work_s = HANG_S
        if fault.mode is FaultMode.FAIL:
            work_s = 0.0
        if fault.mode is FaultMode.SLOW:
            work_s *= fault.factor
        task = Task(request.task_id, now, now + request.lease_s, work_s, now)
        self._count_start(request)
        self.tasks[request.task_id] = task
        self.counters.peak_slots = max(self.counters.peak_slots, len(self.tasks))
        return task

    def _count_start(self, request: WorkRequest) -> None:
        if self.leaving_since is not None:
            self.counters.work_after_leaving += 1
        if request.resume is not None:
            self.counters.resumes[request.resume.checkpoint_id] += 1
            return
        self.counters.runs_by_request[request.request_id] += 1
        if request.key is not None:
            self.counters.runs_by_key[request.key] += 1

    def _wait_for_end(self, task: Task) -> None:
        task.advance(self.clock.now())
        while task.end is None:
            left = task.next_event() - self.clock.now()
            self.clock.wait(self.condition, max(left, 0.0))
            task.advance(self.clock.now())
        del self.tasks[task.task_id]
        self.condition.notify_all()

    def _end(self, task_id: str, end: TaskEnd) -> bool:
        def mark(task: Task) -> None:
            task.end = end

        return self._change(task_id, mark)

    def _change(self, task_id: str, change: Callable[[Task], None]) -> bool:
        with self.condition:
            task = self.tasks.get(task_id)
            if task is None:
                return False
            task.advance(self.clock.now())
            if task.end is not None:
                return False
            change(task)
            self.condition.notify_all()
            return True
