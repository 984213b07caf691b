"""The upstream stand-in: HTTP routes over one worker."""

import hashlib
import random
import re
import uuid

from sesameladder.settings import UpstreamSettings, UpstreamStandinSettings
from sesameladder.standins._clock import Clock, SystemClock
from sesameladder.standins._http import (
    DropConnection,
    Request,
    RequestRefused,
    Response,
    StandinServer,
)
from sesameladder.standins.upstream._faults import Fault, FaultMode
from sesameladder.standins.upstream._task import Checkpoint, Task, TaskEnd
from sesameladder.standins.upstream._worker import (
    Refusal,
    Worker,
    WorkerState,
    WorkRequest,
)

SPARE_THREADS = 16
MAX_WORK_MS = 24 * 3_600_000
MAX_LEASE_MS = 24 * 3_600_000
DEFAULT_LEASE_MS = 3_000
STATE_HEADER = "Worker-State"
END_HEADER = "Task-End"
CHECKPOINT_HEADER = "Task-Checkpoint"

TASK_PATH = re.compile(r"^/-/tasks/([^/]+)/(renew|checkpoint|throttle|stop)$")


class UpstreamStandin:
    """Runs one upstream's HTTP API on one address."""

    __slots__ = ("clock", "server", "settings", "upstream", "worker")

    def __init__(
        self,
        upstream: UpstreamSettings,
        settings: UpstreamStandinSettings,
        clock: Clock | None = None,
    ) -> None:
        self.upstream = upstream
        self.settings = settings
        self.clock = clock or SystemClock()
        chance = random.Random(f"{settings.seed}/{upstream.name}")
        self.worker = Worker(upstream.slots, self.clock, chance)
        threads = upstream.slots + SPARE_THREADS
        self.server = StandinServer(
            upstream.address, self.handle, threads, upstream.connections
        )

    @property
    def address(self) -> str:
        """The ``ip:port`` in use, known once the stand-in has started."""
        return self.server.address

    def start(self) -> None:
        """Bind the address and serve it."""
        self.server.start()

    def stop(self) -> None:
        """Cut running work and stop serving."""
        self.worker.shut_down()
        self.server.stop()

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        if request.path.startswith("/-/"):
            return self._control(request)
        if request.over_connection_limit:
            return _refuse(Refusal.FULL)
        return self._work(request)

    def _work(self, request: Request) -> Response:
        work = self._read_work(request)
        end, task, fault = self.worker.run(work)
        if isinstance(end, Refusal):
            return _refuse(end)
        assert task is not None
        if end is TaskEnd.CUT:
            raise DropConnection
        if end is TaskEnd.CHECKPOINTED:
            checkpoint = Checkpoint(uuid.uuid4().hex, task.work_left_s)
            return Response(202, b"", {CHECKPOINT_HEADER: checkpoint.to_text()})
        if end is not TaskEnd.DONE:
            return Response.from_text(500, f"the task was {end}", **{END_HEADER: end})
        return self._answer(request, work, task, fault)

    def _answer(
        self, request: Request, work: WorkRequest, task: Task, fault: FaultMode
    ) -> Response:
        if fault is FaultMode.FAIL:
            return Response.from_text(500, "the worker fails everything")
        if fault is FaultMode.LOSE_ANSWER:
            self.worker.hold_answer()
        if fault in (FaultMode.CRASH, FaultMode.LOSE_ANSWER):
            raise DropConnection
        return Response.from_json(
            {
                "request_id": work.request_id,
                "task_id": work.task_id,
                "worker": self.upstream.name,
                "method": request.method,
                "path": request.path,
                "body_digest": hashlib.sha256(request.body).hexdigest(),
                "idempotency_key": work.key,
                "running_ms": (task.updated_at - task.started_at) * 1000,
            }
        )

    def _read_work(self, request: Request) -> WorkRequest:
        default_ms = self.settings.default_work_ms
        work_ms = request.header_int("Work-Ms", default_ms, 0, MAX_WORK_MS)
        lease_ms = request.header_int(
            "Task-Lease-Ms", DEFAULT_LEASE_MS, 1, MAX_LEASE_MS
        )
        task_id = request.header("Task-Id") or uuid.uuid4().hex
        request_id = request.header("Sesameladder-Request-Id") or task_id
        return WorkRequest(
            task_id,
            request_id,
            request.header("Idempotency-Key"),
            work_ms / 1000,
            lease_ms / 1000,
            _read_checkpoint(request),
        )

    def _control(self, request: Request) -> Response:
        match = TASK_PATH.match(request.path)
        if match is not None and request.method == "POST":
            return self._change_task(request, match[1], match[2])
        routes = {
            ("GET", "/-/tasks"): self._list_tasks,
            ("GET", "/-/health"): self._show_health,
            ("POST", "/-/drain"): self._drain,
            ("POST", "/-/reboot"): self._reboot,
            ("POST", "/-/faults"): self._set_fault,
            ("GET", "/-/counters"): self._show_counters,
        }
        route = routes.get((request.method, request.path))
        if route is None:
            raise RequestRefused("no such call", 404)
        return route(request)

    def _change_task(self, request: Request, task_id: str, action: str) -> Response:
        if action == "renew":
            lease_ms = request.query_int("lease_ms", None, 1, MAX_LEASE_MS)
            found = self.worker.renew(task_id, lease_ms / 1000)
        elif action == "throttle":
            found = self.worker.throttle(task_id, _read_share(request))
        elif action == "checkpoint":
            found = self.worker.checkpoint(task_id)
        else:
            found = self.worker.stop(task_id)
        return Response(200 if found else 404)

    def _list_tasks(self, request: Request) -> Response:
        del request
        return Response.from_json(self.worker.list_tasks())

    def _show_health(self, request: Request) -> Response:
        del request
        state = self.worker.state
        status = 200 if state is WorkerState.SERVING else 503
        return Response(status, b"{}", {STATE_HEADER: state})

    def _drain(self, request: Request) -> Response:
        del request
        self.worker.drain()
        return Response(204)

    def _reboot(self, request: Request) -> Response:
        del request
        self.worker.reboot(self.settings.reboot_ms / 1000)
        return Response(204)

    def _set_fault(self, request: Request) -> Response:
        self.worker.set_fault(Fault.from_json(request.json_object()))
        return Response(204)

    def _show_counters(self, request: Request) -> Response:
        del request
        connections = self.server.connections
        counters = self.worker.counters
        return Response.from_json(
            {
                "runs_by_key": dict(counters.runs_by_key),
                "runs_by_request": dict(counters.runs_by_request),
                "resumes": dict(counters.resumes),
                "ends": dict(counters.ends),
                "refused": dict(counters.refused),
                "peak_slots": counters.peak_slots,
                "peak_connections": connections.peak,
                "connections_over_limit": connections.over_limit,
                "work_after_leaving": counters.work_after_leaving,
                "late_attempts": counters.late_attempts,
                "cut_requests": counters.ends[TaskEnd.CUT],
            }
        )


def _refuse(reason: Refusal) -> Response:
    return Response.from_text(503, "not run", **{STATE_HEADER: reason})


def _read_checkpoint(request: Request) -> Checkpoint | None:
    text = request.header("Task-Resume")
    if text is None:
        return None
    try:
        return Checkpoint.from_text(text)
    except ValueError as error:
        raise RequestRefused(f"header Task-Resume: {error}") from error


def _read_share(request: Request) -> float:
    try:
        share = float(request.query.get("share", ""))
    except ValueError:
        raise RequestRefused("parameter share is not a number") from None
    if not 0 < share <= 1:
        raise RequestRefused("parameter share is not above 0 up to 1")
    return share
