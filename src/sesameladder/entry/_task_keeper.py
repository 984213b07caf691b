"""Lease renewal of running tasks, and stop, checkpoint and throttle orders."""

import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from threading import Event, Lock, Thread

from sesameladder.dispatch import OutcomeKind
from sesameladder.entry._grant_client import GrantClient
from sesameladder.entry._held_grants import HeldGrant
from sesameladder.entry._upstream import TASK_LEASE_MS
from sesameladder.environment import WorkerTasks, WorkerUnavailable
from sesameladder.observability import log_event

RENEW_INTERVAL_S = 1.0
CALL_THREADS = 8

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class AbandonedTask:
    """A task that may still run although its request no longer waits for it."""

    grant: HeldGrant
    """Grant that is released only after the task has ended."""

    outcome: OutcomeKind
    """Outcome that is reported with the release."""

    ran_ms: float
    """Time in milliseconds that the request waited for the task."""

    lease_expires_at: float
    """Monotonic time in seconds after which the task's lease has expired."""


class TaskKeeper:
    """Renews the leases of running tasks every second and stops abandoned tasks.

    A worker ends a task whose lease expires, so that its slot can be released
    even if the worker can't be reached.
    """

    __slots__ = (
        "abandoned",
        "clock",
        "executor",
        "grant_client",
        "lock",
        "stopping",
        "worker_tasks",
    )

    def __init__(
        self,
        grant_client: GrantClient,
        worker_tasks: WorkerTasks,
        clock: Callable[[], float],
    ) -> None:
        self.grant_client = grant_client
        self.worker_tasks = worker_tasks
        self.clock = clock
        self.abandoned: dict[str, AbandonedTask] = {}
        self.executor = ThreadPoolExecutor(CALL_THREADS, "task-call")
        self.lock = Lock()
        self.stopping = Event()

    def start(self) -> None:
        """Start the thread that renews leases."""
        Thread(target=self._run, name="task-keeper", daemon=True).start()

    def stop(self) -> None:
        """Stop renewing leases and cancel the calls that have not started."""
        self.stopping.set()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def abandon(self, grant: HeldGrant, outcome: OutcomeKind, ran_ms: float) -> None:
        """Stop a task, and release its slot as soon as it can no longer run.

        That is after the worker has confirmed the stop or the lease has expired.
        """
        lease_expires_at = self.clock() + TASK_LEASE_MS / 1000
        with self.lock:
            self.abandoned[grant.grant_id] = AbandonedTask(
                grant, outcome, ran_ms, lease_expires_at
            )
        self.executor.submit(self._stop_task, grant.grant_id)

    def preempt(self, grant_id: str) -> None:
        """Order the worker to checkpoint a task, whose request is resumed later."""
        grant = self.grant_client.held_grants.find(grant_id)
        if grant is not None:
            self.executor.submit(self._checkpoint, grant)

    def throttle(self, grant_id: str, share: float) -> None:
        """Limit a task to a share of its slot, greater than 0 and at most 1."""
        grant = self.grant_client.held_grants.find(grant_id)
        if grant is not None:
            self.executor.submit(self._throttle, grant, share)

    def _run(self) -> None:
        while not self.stopping.wait(RENEW_INTERVAL_S):
            now = self.clock()
            with self.lock:
                abandoned_ids = set(self.abandoned)
            for grant in self.grant_client.held_grants.list_held():
                if grant.grant_id in abandoned_ids:
                    self._release_if_expired(grant.grant_id, now)
                elif now - grant.started_at >= RENEW_INTERVAL_S:
                    self.executor.submit(self._renew, grant)

    def _renew(self, grant: HeldGrant) -> None:
        try:
            self.worker_tasks.renew(grant.address, grant.grant_id, TASK_LEASE_MS)
        except WorkerUnavailable as error:
            log_event(
                logger,
                logging.INFO,
                "lease_renewal_failed",
                vm=grant.vm,
                reason=str(error),
            )

    def _stop_task(self, grant_id: str) -> None:
        with self.lock:
            task = self.abandoned.get(grant_id)
        if task is None:
            return
        try:
            self.worker_tasks.stop(task.grant.address, grant_id)
        except WorkerUnavailable:
            # The task may still run, so its slot is released when its lease expires.
            return
        self._release(grant_id)

    def _release_if_expired(self, grant_id: str, now: float) -> None:
        with self.lock:
            task = self.abandoned.get(grant_id)
        if task is not None and now >= task.lease_expires_at:
            self._release(grant_id)

    def _release(self, grant_id: str) -> None:
        with self.lock:
            task = self.abandoned.pop(grant_id, None)
        if task is not None:
            self.grant_client.release(task.grant, task.outcome, task.ran_ms)

    def _checkpoint(self, grant: HeldGrant) -> None:
        try:
            self.worker_tasks.checkpoint(grant.address, grant.grant_id)
        except WorkerUnavailable as error:
            log_event(
                logger,
                logging.INFO,
                "checkpoint_failed",
                vm=grant.vm,
                reason=str(error),
            )

    def _throttle(self, grant: HeldGrant, share: float) -> None:
        try:
            self.worker_tasks.throttle(grant.address, grant.grant_id, share)
        except WorkerUnavailable as error:
            log_event(
                logger, logging.INFO, "throttle_failed", vm=grant.vm, reason=str(error)
            )
