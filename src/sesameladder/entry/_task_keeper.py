"""Keeps the leases of running tasks and carries out orders on them."""

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
    """A task whose answer is no longer awaited but that may still run."""

    grant: HeldGrant
    """Grant that stays held until the task has ended."""

    outcome: OutcomeKind
    """Outcome to report with the release."""

    ran_ms: float
    """Time that the request waited for the task, in milliseconds."""

    lease_expires_at: float
    """Monotonic time at which the task's lease has lapsed for certain."""


class TaskKeeper:
    """Renews leases every second; stops tasks whose answer was given up."""

    __slots__ = (
        "abandoned",
        "executor",
        "grant_client",
        "lock",
        "now",
        "stopping",
        "worker_tasks",
    )

    def __init__(
        self,
        grant_client: GrantClient,
        worker_tasks: WorkerTasks,
        now: Callable[[], float],
    ) -> None:
        self.grant_client = grant_client
        self.worker_tasks = worker_tasks
        self.now = now
        self.abandoned: dict[str, AbandonedTask] = {}
        self.executor = ThreadPoolExecutor(CALL_THREADS, "task-call")
        self.lock = Lock()
        self.stopping = Event()

    def start(self) -> None:
        """Start the renewing task."""
        Thread(target=self._run, name="task-keeper", daemon=True).start()

    def stop(self) -> None:
        """End the renewing task."""
        self.stopping.set()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def abandon(self, grant: HeldGrant, outcome: OutcomeKind, ran_ms: float) -> None:
        """Stop a task; its slot is released once the task can't run any more."""
        lease_expires_at = self.now() + TASK_LEASE_MS / 1000
        with self.lock:
            self.abandoned[grant.grant_id] = AbandonedTask(
                grant, outcome, ran_ms, lease_expires_at
            )
        self.executor.submit(self._stop_task, grant.grant_id)

    def preempt(self, grant_id: str) -> None:
        """Ask the worker to checkpoint a task; its request goes on later."""
        grant = self.grant_client.held_grants.find(grant_id)
        if grant is not None:
            self.executor.submit(self._checkpoint, grant)

    def throttle(self, grant_id: str, share: float) -> None:
        """Limit a task to a share of its slot."""
        grant = self.grant_client.held_grants.find(grant_id)
        if grant is not None:
            self.executor.submit(self._throttle, grant, share)

    def _run(self) -> None:
        while not self.stopping.wait(RENEW_INTERVAL_S):
            now = self.now()
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
            # The slot stays held until the task's lease has lapsed.
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
