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
from sesameladder.standins.upstream._records import (
    Ran,
    Refusal,
    WorkerState,
    WorkRequest,
)
from sesameladder.standins.upstream._task import Checkpoint, TaskEnd
from sesameladder.standins.upstream._worker import Worker

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
        lag_s = settings.report_lag_ms / 1000
        self.worker = Worker(upstream.slots, lag_s, self.clock, chance)
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
        outcome = self.worker.run(work)
        if isinstance(outcome, Refusal):
            return _refuse(outcome)
        end = outcome.task.end
        if end is TaskEnd.CUT:
            raise DropConnection
        if end is TaskEnd.CHECKPOINTED:
            checkpoint = Checkpoint(uuid.uuid4().hex, outcome.task.work_left_s)
            return Response(202, b"", {CHECKPOINT_HEADER: checkpoint.to_text()})
        if end is not TaskEnd.DONE:
            return Response(500, f"task {end}".encode(), {END_HEADER: str(end)})
        return self._answer(request, work, outcome)

    def _answer(self, request: Request, work: WorkRequest, ran: Ran) -> Response:
        if ran.fault is FaultMode.FAIL:
            return Response(500, b"the worker fails everything")
        if ran.fault is FaultMode.LOSE_ANSWER:
            self.worker.hold_answer(ran)
        if ran.fault in (FaultMode.CRASH, FaultMode.LOSE_ANSWER):
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
                "running_ms": (ran.task.ended_at - ran.task.started_at) * 1000,
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

    def _list_tasks(self, _request: Request) -> Response:
        return Response.from_json(self.worker.list_tasks())

    def _show_health(self, _request: Request) -> Response:
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
        self.worker.set_fault(Fault.from_json(request.json_object()))
        return Response(204)

    def _show_counters(self, _request: Request) -> Response:
        connections = self.server.connections
        return Response.from_json(
            {
                **self.worker.read_counters(),
                "peak_connections": connections.peak,
                "connections_over_limit": connections.over_limit,
            }
        )


def _refuse(reason: Refusal) -> Response:
    if reason is Refusal.DUPLICATE:
        return Response(409, b"not run: a task of this identity is running")
    return Response(503, b"not run", {STATE_HEADER: reason})


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
