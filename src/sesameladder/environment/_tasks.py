"""The task interface that each worker offers."""

from dataclasses import dataclass
from typing import Protocol

from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from sesameladder.environment._errors import WorkerUnavailable
from sesameladder.response_limits import WholeResponse, bound_manager

CALL_TIMEOUT_S = 1.0
# One connection pool per worker. The bound exceeds the number of workers in the cells
# of an instance and of those that it reaches by spillover.
MAX_WORKER_CONNECTION_POOLS = 512


@dataclass(frozen=True, slots=True)
class TaskReport:
    """A running task as its worker reports it; the report lags behind the task."""

    task_id: str
    """Id that the forwarder assigned to the task."""

    running_ms: float
    """Time since the task started, in milliseconds."""

    lease_left_ms: float
    """Time until the task's lease expires, in milliseconds."""


class WorkerTasks(Protocol):
    """Operations on a worker's tasks.

    Each raises ``WorkerUnavailable`` when the worker gives no usable response.
    """

    def list_tasks(self, address: str) -> list[TaskReport]:
        """Return the running tasks; the list lags behind the state of the tasks."""

    def renew(self, address: str, task_id: str, lease_ms: int) -> bool:
        """Renew a task's lease; returns False if the worker does not run the task."""

    def checkpoint(self, address: str, task_id: str) -> bool:
        """Ask a task to save a checkpoint and end; returns False if it can't."""

    def throttle(self, address: str, task_id: str, share: float) -> bool:
        """Limit a task to a share of its slot, greater than 0 and at most 1.

        Returns False if the worker does not run the task.
        """

    def stop(self, address: str, task_id: str) -> bool:
        """Stop a task; returns False if the worker does not run it."""

    def check_health(self, address: str) -> bool:
        """Return whether the worker responds that it is healthy."""


class HttpWorkerTasks:
    """Implements ``WorkerTasks`` over HTTP."""

    __slots__ = ("http",)

    def __init__(self, http: PoolManager) -> None:
        self.http = http

    @classmethod
    def create(cls) -> "HttpWorkerTasks":
        """Return a client with a connection pool manager of its own."""
        timeout = Timeout(connect=CALL_TIMEOUT_S, read=CALL_TIMEOUT_S)
        http = PoolManager(
            MAX_WORKER_CONNECTION_POOLS, timeout=timeout, retries=Retry(0), maxsize=1
        )
        return cls(bound_manager(http))

    def list_tasks(self, address: str) -> list[TaskReport]:
        """Return the running tasks; the list lags behind the state of the tasks."""
        status, rows = self._call("GET", address, "/-/tasks")
        if status != 200 or not isinstance(rows, list):
            raise WorkerUnavailable(
                f"worker {address} sent no list of tasks, status {status}"
            )
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
            raise WorkerUnavailable(
                f"malformed task in the list of worker {address}: {error}"
            ) from error

    def renew(self, address: str, task_id: str, lease_ms: int) -> bool:
        """Renew a task's lease; returns False if the worker does not run the task."""
        return self._post_task_action(address, task_id, f"renew?lease_ms={lease_ms}")

    def checkpoint(self, address: str, task_id: str) -> bool:
        """Ask a task to save a checkpoint and end; returns False if it can't."""
        return self._post_task_action(address, task_id, "checkpoint")

    def throttle(self, address: str, task_id: str, share: float) -> bool:
        """Limit a task to a share of its slot, greater than 0 and at most 1.

        Returns False if the worker does not run the task.
        """
        return self._post_task_action(address, task_id, f"throttle?share={share}")

    def stop(self, address: str, task_id: str) -> bool:
        """Stop a task; returns False if the worker does not run it."""
        return self._post_task_action(address, task_id, "stop")

    def check_health(self, address: str) -> bool:
        """Return whether the worker responds that it is healthy."""
        return self._call("GET", address, "/-/health")[0] == 200

    def _post_task_action(self, address: str, task_id: str, action: str) -> bool:
        return self._call("POST", address, f"/-/tasks/{task_id}/{action}")[0] == 200

    def _call(self, method: str, address: str, path: str) -> tuple[int, object]:
        try:
            url = f"http://{address}{path}"
            streamed = self.http.request(method, url, preload_content=False)
            response = WholeResponse.from_stream(streamed)
            body = response.json() if response.status == 200 and response.data else None
        except (HTTPError, ValueError) as error:
            raise WorkerUnavailable(f"worker {address}: {error}") from error
        return response.status, body
