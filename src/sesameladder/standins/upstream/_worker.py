"""Worker of an upstream, with slots, tasks, faults, draining and reboots."""

import random
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from sesameladder.standins._clock import Clock
from sesameladder.standins.upstream._faults import Fault, FaultMode
from sesameladder.standins.upstream._records import (
    CompletedWork,
    Refusal,
    WorkerCounters,
    WorkerState,
    WorkRequest,
)
from sesameladder.standins.upstream._task import Task, TaskEnd

LEAVING_GRACE_S = 3.0
"""Time in seconds after which new work for a leaving worker violates guarantee P6."""

MAX_RESPONSE_HOLD_S = 60.0
HANG_WORK_S = 1e9


class Worker:
    """Runs tasks on a fixed number of slots; thread-safe."""

    __slots__ = (
        "clock",
        "condition",
        "counters",
        "ended_tasks",
        "fault",
        "fault_generation",
        "leaving_since",
        "random_source",
        "reboot_ends_at",
        "report_lag_s",
        "slots",
        "tasks",
    )

    def __init__(
        self,
        slots: int,
        report_lag_s: float,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self.slots = slots
        self.report_lag_s = report_lag_s
        self.clock = clock
        self.random_source = random_source
        self.condition = threading.Condition()
        self.counters = WorkerCounters()
        self.fault = Fault()
        self.fault_generation = 0
        self.leaving_since: float | None = None
        self.reboot_ends_at: float | None = None
        self.tasks: dict[str, Task] = {}
        self.ended_tasks: deque[Task] = deque()

    @property
    def state(self) -> WorkerState:
        """Current state of the worker."""
        with self.condition:
            self._finish_due_reboot()
            if self.reboot_ends_at is not None:
                return WorkerState.REBOOTING
            if self.leaving_since is not None:
                return WorkerState.LEAVING
            return WorkerState.SERVING

    def run(self, request: WorkRequest) -> CompletedWork | Refusal:
        """Run a piece of work and return when it has ended, or refuse it at once."""
        with self.condition:
            refusal = self._find_refusal(request.task_id)
            if refusal is not None:
                self.counters.refused[refusal] += 1
                return refusal
            fault_generation = self.fault_generation
            fault = self._draw_fault()
            task = self._start_task(request, fault)
            self._wait_for_end(task)
            return CompletedWork(task, fault.mode, fault_generation)

    def hold_response(self, completed: CompletedWork) -> None:
        """Block while a response is withheld, at most for ``MAX_RESPONSE_HOLD_S``.

        New faults, a reboot and a shutdown release it earlier.
        """
        end = self.clock.now() + MAX_RESPONSE_HOLD_S
        with self.condition:
            while (
                self.fault_generation == completed.fault_generation
                and self.clock.now() < end
            ):
                self.clock.wait_until(self.condition, end)

    def renew(self, task_id: str, lease_s: float) -> bool:
        """Extend a task's lease; returns False when the task does not run."""

        def extend(task: Task) -> None:
            task.lease_expires_at = max(
                task.lease_expires_at, self.clock.now() + lease_s
            )

        return self._update_task(task_id, extend)

    def checkpoint(self, task_id: str) -> bool:
        """End a task with a checkpoint; returns False when the task does not run."""
        return self._end_task(task_id, TaskEnd.CHECKPOINTED)

    def stop(self, task_id: str) -> bool:
        """Stop a task; returns False when the task does not run."""
        return self._end_task(task_id, TaskEnd.STOPPED)

    def throttle(self, task_id: str, share: float) -> bool:
        """Set a task's share of its slot; returns False when the task does not run."""

        def set_share(task: Task) -> None:
            task.share = share

        return self._update_task(task_id, set_share)

    def drain(self) -> None:
        """Stop accepting work; running tasks continue to their end."""
        with self.condition:
            if self.leaving_since is None:
                self.leaving_since = self.clock.now()

    def reboot(self, seconds: float) -> None:
        """Interrupt the running tasks, refuse work for ``seconds``, then serve again.

        Does nothing during a reboot.
        """
        with self.condition:
            if self.state is WorkerState.REBOOTING:
                return
            self._interrupt_tasks()
            now = self.clock.now()
            self.reboot_ends_at = now + seconds
            if self.leaving_since is None:
                self.leaving_since = now
            self._advance_fault_generation()

    def set_fault(self, fault: Fault) -> None:
        """Replace the fault mode and release the withheld responses."""
        with self.condition:
            self.fault = fault
            self._advance_fault_generation()

    def shut_down(self) -> None:
        """Interrupt the running tasks and release the withheld responses."""
        with self.condition:
            self._interrupt_tasks()
            self._advance_fault_generation()

    def list_tasks(self) -> list[dict[str, object]]:
        """Return the tasks that ran ``report_lag_s`` ago, as JSON rows."""
        with self.condition:
            at = self.clock.now() - self.report_lag_s
            self._discard_ended(at)
            tasks = [*self.tasks.values(), *self.ended_tasks]
            return [
                task.to_report_row(at)
                for task in tasks
                if task.started_at <= at < task.ended_at
            ]

    def wait_for_running(self, count: int) -> None:
        """Block until at least ``count`` tasks are running; for tests."""
        with self.condition:
            self.condition.wait_for(lambda: len(self.tasks) >= count)

    def wait_for_ended(self, end: TaskEnd, count: int) -> None:
        """Block until at least ``count`` tasks have ended for a reason; for tests."""
        with self.condition:
            self.condition.wait_for(lambda: self.counters.ends[end] >= count)

    def read_counters(self) -> dict[str, object]:
        """Return a copy of the counters as a JSON object."""
        with self.condition:
            return self.counters.to_json()

    def _advance_fault_generation(self) -> None:
        """Release the withheld responses and wake all waiting threads."""
        self.fault_generation += 1
        self.condition.notify_all()

    def _finish_due_reboot(self) -> None:
        if self.reboot_ends_at is not None and self.clock.now() >= self.reboot_ends_at:
            self.reboot_ends_at = None
            self.leaving_since = None

    def _find_refusal(self, task_id: str) -> Refusal | None:
        if self.state is not WorkerState.SERVING:
            since = self.leaving_since
            if since is not None and self.clock.now() - since > LEAVING_GRACE_S:
                self.counters.late_attempts += 1
            return Refusal.LEAVING
        if len(self.tasks) >= self.slots:
            return Refusal.FULL
        if task_id in self.tasks:
            return Refusal.DUPLICATE
        return None

    def _draw_fault(self) -> Fault:
        fault = self.fault
        if (
            fault.mode is FaultMode.NONE
            or self.random_source.random() >= fault.probability
        ):
            return Fault()
        if fault.count is not None:
            remaining = fault.count - 1
            self.fault = replace(fault, count=remaining) if remaining else Fault()
        return fault

    def _start_task(self, request: WorkRequest, fault: Fault) -> Task:
        now = self.clock.now()
        work_s = request.resume.work_left_s if request.resume else request.work_s
        if fault.mode is FaultMode.HANG:
            work_s = HANG_WORK_S
        if fault.mode is FaultMode.FAIL:
            work_s = 0.0
        if fault.mode is FaultMode.SLOW:
            work_s *= fault.factor
        task = Task(request.task_id, now, now + request.lease_s, work_s, now)
        self._count_start(request)
        self.tasks[request.task_id] = task
        self.condition.notify_all()
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
            self.clock.wait_until(self.condition, task.predict_end())
            task.advance(self.clock.now())
        del self.tasks[task.task_id]
        self.ended_tasks.append(task)
        self._discard_ended(self.clock.now() - self.report_lag_s)
        self.counters.ends[task.end] += 1
        self.condition.notify_all()

    def _discard_ended(self, at: float) -> None:
        while self.ended_tasks and self.ended_tasks[0].ended_at <= at:
            self.ended_tasks.popleft()

    def _interrupt_tasks(self) -> None:
        now = self.clock.now()
        for task in self.tasks.values():
            task.advance(now)
            if task.end is None:
                task.finish(TaskEnd.INTERRUPTED, now)
                self.counters.cut_requests += 1

    def _end_task(self, task_id: str, end: TaskEnd) -> bool:
        def finish_task(task: Task) -> None:
            task.finish(end, self.clock.now())

        return self._update_task(task_id, finish_task)

    def _update_task(self, task_id: str, update: Callable[[Task], None]) -> bool:
        with self.condition:
            task = self.tasks.get(task_id)
            if task is None:
                return False
            task.advance(self.clock.now())
            if task.end is not None:
                return False
            update(task)
            self.condition.notify_all()
            return True
