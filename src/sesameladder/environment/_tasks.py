"""The task interface that each worker offers."""

from dataclasses import dataclass
from typing import Protocol

from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from sesameladder.environment._errors import WorkerUnavailable

CALL_TIMEOUT_S = 1.0
# Workers whose connections are kept; more than an instance's cells and spills.
MAX_WORKER_CONNECTION_POOLS = 512


@dataclass(frozen=True, slots=True)
class TaskReport:
    """One running task as a worker reports it, with a lag."""

    task_id: str
    """Identity that the forwarder gave the task."""

    running_ms: float
    """Time since the task started, in milliseconds."""

    lease_left_ms: float
    """Time until the task's lease lapses, in milliseconds."""


class WorkerTasks(Protocol):
    """Operations on a worker's tasks; each raises ``WorkerUnavailable``."""

    def list_tasks(self, address: str) -> list[TaskReport]:
        """Return the running tasks; the report lags behind the truth."""

    def renew(self, address: str, task_id: str, lease_ms: int) -> bool:
        """Extend a task's lease; False when the worker does not run the task."""

    def checkpoint(self, address: str, task_id: str) -> bool:
        """Ask a task to save its state and end; False when it can't."""

    def throttle(self, address: str, task_id: str, share: float) -> bool:
        """Limit a task to a share of its slot, above 0 up to 1."""

    def stop(self, address: str, task_id: str) -> bool:
        """Stop a task; False when the worker does not run it."""

    def check_health(self, address: str) -> bool:
        """Return whether the worker answers that it is healthy."""


class HttpWorkerTasks:
    """Calls the task interface over HTTP."""

    __slots__ = ("http",)

    def __init__(self, http: PoolManager) -> None:
        self.http = http

    @classmethod
    def create(cls) -> "HttpWorkerTasks":
        """Return a client with its own connections."""
        timeout = Timeout(connect=CALL_TIMEOUT_S, read=CALL_TIMEOUT_S)
        http = PoolManager(
            MAX_WORKER_CONNECTION_POOLS, timeout=timeout, retries=Retry(0), maxsize=1
        )
        return cls(http)

    def list_tasks(self, address: str) -> list[TaskReport]:
        """Return the running tasks; the report lags behind the truth."""
        status, rows = self._call("GET", address, "/-/tasks")
        if status != 200 or not isinstance(rows, list):
            raise WorkerUnavailable(f"worker {address} answered {status}")
        try:
            return [
                TaskReport(
                    str(row["task_id"]),
                    float(row["running_ms"]),
                    float(row["lease_left_ms"]),
                )
                for row in rows
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise WorkerUnavailable(f"report of worker {address}: {error}") from error

    def renew(self, address: str, task_id: str, lease_ms: int) -> bool:
        """Extend a task's lease; False when the worker does not run the task."""
        return self._post_task_action(address, task_id, f"renew?lease_ms={lease_ms}")

    def checkpoint(self, address: str, task_id: str) -> bool:
        """Ask a task to save its state and end; False when it can't."""
        return self._post_task_action(address, task_id, "checkpoint")

    def throttle(self, address: str, task_id: str, share: float) -> bool:
        """Limit a task to a share of its slot, above 0 up to 1."""
        return self._post_task_action(address, task_id, f"throttle?share={share}")

    def stop(self, address: str, task_id: str) -> bool:
        """Stop a task; False when the worker does not run it."""
        return self._post_task_action(address, task_id, "stop")

    def check_health(self, address: str) -> bool:
        """Return whether the worker answers that it is healthy."""
        return self._call("GET", address, "/-/health")[0] == 200

    def _post_task_action(self, address: str, task_id: str, action: str) -> bool:
        return self._call("POST", address, f"/-/tasks/{task_id}/{action}")[0] == 200

    def _call(self, method: str, address: str, path: str) -> tuple[int, object]:
        try:
            response = self.http.request(method, f"http://{address}{path}")
            body = response.json() if response.status == 200 and response.data else None
        except (HTTPError, ValueError) as error:
            raise WorkerUnavailable(f"worker {address}: {error}") from error
        return response.status, body
