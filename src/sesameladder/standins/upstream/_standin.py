"""HTTP routes of the upstream stand-in, which serve one worker."""

import hashlib
import random
import re
import uuid

from sesameladder.settings import UpstreamSettings, UpstreamStandinSettings
from sesameladder.standins._clock import Clock, SystemClock
from sesameladder.standins._http import (
    DropConnection,
    Request,
    RequestRejected,
    Response,
    StandinServer,
)
from sesameladder.standins.upstream._faults import Fault, FaultMode
from sesameladder.standins.upstream._records import (
    CompletedWork,
    Refusal,
    WorkerState,
    WorkRequest,
)
from sesameladder.standins.upstream._task import Checkpoint, TaskEnd
from sesameladder.standins.upstream._worker import Worker

EXTRA_THREADS = 16  # besides one per slot, for control calls and refused work
MAX_WORK_MS = 24 * 3_600_000
MAX_LEASE_MS = 24 * 3_600_000
DEFAULT_LEASE_MS = 3_000
STATE_HEADER = "Worker-State"
END_HEADER = "Task-End"
CHECKPOINT_HEADER = "Task-Checkpoint"

TASK_PATH = re.compile(r"^/-/tasks/([^/]+)/(renew|checkpoint|throttle|stop)$")


class UpstreamStandin:
    """Serves one upstream's HTTP API on one address.

    Paths under ``/-/`` control the worker; every other path is work.
    """

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
        random_source = random.Random(f"{settings.seed}/{upstream.name}")
        report_lag_s = settings.report_lag_ms / 1000
        self.worker = Worker(upstream.slots, report_lag_s, self.clock, random_source)
        threads = upstream.slots + EXTRA_THREADS
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
        """Interrupt the running tasks and stop serving."""
        self.worker.shut_down()
        self.server.stop()

    def handle(self, request: Request) -> Response:
        """Respond to one request."""
        if request.path.startswith("/-/"):
            return self._handle_control(request)
        if request.is_over_connection_limit:
            return _build_refusal(Refusal.FULL)
        return self._handle_work(request)

    def _handle_work(self, request: Request) -> Response:
        work = self._parse_work(request)
        outcome = self.worker.run(work)
        if isinstance(outcome, Refusal):
            return _build_refusal(outcome)
        end = outcome.task.end
        if end is TaskEnd.INTERRUPTED:
            raise DropConnection
        if end is TaskEnd.CHECKPOINTED:
            checkpoint = Checkpoint(uuid.uuid4().hex, outcome.task.work_left_s)
            return Response(202, b"", {CHECKPOINT_HEADER: checkpoint.to_text()})
        if end is not TaskEnd.DONE:
            return Response(500, f"task {end}".encode(), {END_HEADER: str(end)})
        return self._build_response(request, work, outcome)

    def _build_response(
        self, request: Request, work: WorkRequest, completed: CompletedWork
    ) -> Response:
        if completed.fault is FaultMode.FAIL:
            return Response(500, b"the worker fails everything")
        if completed.fault is FaultMode.WITHHOLD_RESPONSE:
            self.worker.hold_response(completed)
        if completed.fault in (FaultMode.CRASH, FaultMode.WITHHOLD_RESPONSE):
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
                "running_ms": (completed.task.ended_at - completed.task.started_at)
                * 1000,
            }
        )

    def _parse_work(self, request: Request) -> WorkRequest:
        default_ms = self.settings.default_work_ms
        work_ms = request.get_int_header("Work-Ms", default_ms, 0, MAX_WORK_MS)
        lease_ms = request.get_int_header(
            "Task-Lease-Ms", DEFAULT_LEASE_MS, 1, MAX_LEASE_MS
        )
        task_id = request.get_header("Task-Id") or uuid.uuid4().hex
        request_id = request.get_header("Sesameladder-Request-Id") or task_id
        return WorkRequest(
            task_id,
            request_id,
            request.get_header("Idempotency-Key"),
            work_ms / 1000,
            lease_ms / 1000,
            _parse_checkpoint(request),
        )

    def _handle_control(self, request: Request) -> Response:
        match = TASK_PATH.match(request.path)
        if match is not None and request.method == "POST":
            return self._change_task(request, match[1], match[2])
        routes = {
            ("GET", "/-/tasks"): self._list_tasks,
            ("GET", "/-/health"): self._get_health,
            ("POST", "/-/drain"): self._drain,
            ("POST", "/-/reboot"): self._reboot,
            ("POST", "/-/faults"): self._set_fault,
            ("GET", "/-/counters"): self._get_counters,
        }
        route = routes.get((request.method, request.path))
        if route is None:
            raise RequestRejected("no such call", 404)
        return route(request)

    def _change_task(self, request: Request, task_id: str, action: str) -> Response:
        if action == "renew":
            lease_ms = request.get_int_parameter("lease_ms", None, 1, MAX_LEASE_MS)
            is_running = self.worker.renew(task_id, lease_ms / 1000)
        elif action == "throttle":
            is_running = self.worker.throttle(task_id, _parse_share(request))
        elif action == "checkpoint":
            is_running = self.worker.checkpoint(task_id)
        else:
            is_running = self.worker.stop(task_id)
        return Response(200 if is_running else 404)

    def _list_tasks(self, _request: Request) -> Response:
        return Response.from_json(self.worker.list_tasks())

    def _get_health(self, _request: Request) -> Response:
        state = self.worker.state
        status = 200 if state is WorkerState.SERVING else 503
        return Response(status, b"{}", {STATE_HEADER: state})

    def _drain(self, _request: Request) -> Response:
        self.worker.drain()
        return Response(204)

    def _reboot(self, _request: Request) -> Response:
        self.worker.reboot(self.settings.reboot_ms / 1000)
        return Response(204)

    def _set_fault(self, request: Request) -> Response:
        self.worker.set_fault(Fault.from_json(request.parse_json_object()))
        return Response(204)

    def _get_counters(self, _request: Request) -> Response:
        connections = self.server.connections
        return Response.from_json(
            {
                **self.worker.read_counters(),
                "peak_connections": connections.peak,
                "connections_over_limit": connections.over_limit,
            }
        )


def _build_refusal(reason: Refusal) -> Response:
    if reason is Refusal.DUPLICATE:
        return Response(409, b"not run: a task of this identity is running")
    return Response(503, b"not run", {STATE_HEADER: reason})


def _parse_checkpoint(request: Request) -> Checkpoint | None:
    text = request.get_header("Task-Resume")
    if text is None:
        return None
    try:
        return Checkpoint.from_text(text)
    except ValueError as error:
        raise RequestRejected(f"header Task-Resume: {error}") from error


def _parse_share(request: Request) -> float:
    try:
        share = float(request.query.get("share", ""))
    except ValueError:
        raise RequestRejected("parameter share is not a number") from None
    if not 0 < share <= 1:
        raise RequestRejected("parameter share is not above 0 up to 1")
    return share
