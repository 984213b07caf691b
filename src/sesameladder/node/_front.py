"""HTTP servers for callers, for readiness probes and for metrics."""

import json
from collections.abc import Callable, Iterable
from functools import singledispatch
from itertools import count
from threading import Lock
from typing import Any

from cheroot.wsgi import Server

from sesameladder.jobs import Configuration, QueuePolicy
from sesameladder.node._clock import read_steady
from sesameladder.node._intake import (
    Accepted,
    Cancelled,
    Found,
    Intake,
    Invalid,
    Missing,
    Pending,
    Refused,
    Result,
    Unknown,
    compute_answer_time,
)
from sesameladder.node._telemetry import REQUEST_SECONDS, REQUESTS, logger, note, warn

TIME_LIMIT_HEADER = "HTTP_X_SESAMELADDER_DEADLINE_MS"
REQUEST_ID_HEADER = "X-Sesameladder-Request-Id"
READINESS_PATH = "/v1/ready"
THREADS = 24  # requests wait for the store, 4 ms in general and 1 s at most a try
PROBE_THREADS = 2
BACKLOG = 256
IDLE_TIMEOUT_S = 60  # callers keep their connections
STOP_LIMIT_S = 1
DEFAULT_LIMIT_MS = 3000  # the callers' usual time limit
MAX_LOGGED_TEXT = 40  # characters; a caller's text may have any length
RETRY_UNCONFIGURED_S = 1

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]

PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    410: "Gone",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class HttpAnswer:
    """Status, body and the time after which to come back."""

    __slots__ = ("body", "retry_after_s", "status")

    def __init__(
        self,
        status: int,
        body: dict[str, object] | None = None,
        retry_after_s: int | None = None,
    ) -> None:
        self.status = status
        self.body = body or {}
        self.retry_after_s = retry_after_s


@singledispatch
def build_answer(result: Result) -> HttpAnswer:
    """Return the HTTP answer for the result of a request."""
    raise TypeError(f"no answer for {type(result).__name__}")


@build_answer.register
def _(result: Accepted) -> HttpAnswer:
    return HttpAnswer(200, {"accepted": True, "new": result.is_new})


@build_answer.register
def _(result: Refused) -> HttpAnswer:
    body: dict[str, object] = {"error": result.reason, "has_run": False}
    return HttpAnswer(503, body, result.retry_after_s)


@build_answer.register
def _(result: Unknown) -> HttpAnswer:
    return HttpAnswer(504, {"error": result.reason})


@build_answer.register
def _(result: Invalid) -> HttpAnswer:
    return HttpAnswer(400, {"error": result.reason, "has_run": False})


@build_answer.register
def _(result: Missing) -> HttpAnswer:  # noqa: ARG001
    return HttpAnswer(410, {"error": "there is no such job"})


@build_answer.register
def _(result: Found) -> HttpAnswer:
    return HttpAnswer(200, {"state": result.state.value})


@build_answer.register
def _(result: Pending) -> HttpAnswer:
    return HttpAnswer(200, {"pending": result.count})


@build_answer.register
def _(result: Cancelled) -> HttpAnswer:  # noqa: ARG001
    return HttpAnswer(200, {"cancelled": True})


class CallerServer:
    """Serves callers."""

    __slots__ = (
        "closing",
        "get_configuration",
        "in_flight",
        "intake",
        "lock",
        "node",
        "numbers",
        "server",
    )

    def __init__(
        self,
        address: str,
        node: str,
        intake: Intake,
        get_configuration: Callable[[], Configuration | None],
    ) -> None:
        self.node = node
        self.intake = intake
        self.get_configuration = get_configuration
        self.numbers = count(1)
        self.closing = False
        """Whether connections are closed after their next answer."""

        self.in_flight = 0
        self.lock = Lock()
        self.server = _build_server(address, self._handle, THREADS)

    def prepare(self) -> None:
        """Bind the address; raises ``OSError``."""
        self.server.prepare()

    def serve(self) -> None:
        """Serve until ``stop``."""
        self.server.serve()

    def stop(self) -> None:
        """Close the listener and idle connections; answers in writing go first."""
        self.server.shutdown_timeout = STOP_LIMIT_S
        self.server.stop()

    def _handle(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        started = read_steady()
        request = f"{self.node}-{next(self.numbers)}"
        with self.lock:
            self.in_flight += 1
        try:
            action, job, answer = self._answer(environ)
        except Exception:
            extra = {"event": "request_error", "request": request}
            logger.exception("request failed", extra=extra)
            action, job, answer = "error", "", HttpAnswer(500)
        finally:
            with self.lock:
                self.in_flight -= 1
        took_s = read_steady() - started
        REQUESTS.labels(action, answer.status).inc()
        REQUEST_SECONDS.labels(action).observe(took_s)
        configuration = self.get_configuration()
        note(
            "request_answered",
            request=request,
            job=job,
            action=action,
            status=answer.status,
            reason=answer.body.get("error", ""),
            took_ms=round(took_s * 1000, 1),
            version=configuration.version if configuration else None,
        )
        headers = [(REQUEST_ID_HEADER, request)]
        return _write(answer, headers, self.closing, start_response)

    def _answer(self, environ: Environ) -> tuple[str, str, HttpAnswer]:
        """Return the action, the job's identifier and the answer."""
        body: bytes = environ["wsgi.input"].read()
        method = environ["REQUEST_METHOD"]
        configuration = self.get_configuration()
        if configuration is None:
            reason: dict[str, object] = {"error": "no configuration yet"}
            return "early", "", HttpAnswer(503, reason, RETRY_UNCONFIGURED_S)
        path = environ["PATH_INFO"]
        queue = configuration.find_queue(environ.get("HTTP_HOST", ""), path)
        if queue is None:
            return "unrouted", "", HttpAnswer(404, {"error": "no such queue"})
        if len(body) > configuration.max_body_bytes:
            return "oversize", "", HttpAnswer(413, {"error": "body is too large"})
        by = compute_answer_time(_read_limit(environ), DEFAULT_LIMIT_MS)
        job = path[len(queue.path_prefix) :]
        action, result = self._act(method, configuration, queue, job, body, by)
        if result is None:
            return action, job, HttpAnswer(405, {"error": f"no {method} here"})
        return action, job, build_answer(result)

    def _act(
        self,
        method: str,
        configuration: Configuration,
        queue: QueuePolicy,
        job: str,
        body: bytes,
        by: float,
    ) -> tuple[str, Result | None]:
        if method == "POST":
            return "submit", self.intake.submit(queue, job, body, by)
        if method == "GET" and not job:
            return "pending", self.intake.count_pending(queue, by)
        if method == "GET":
            return "show", self.intake.show(configuration, queue, job, by)
        if method == "DELETE":
            return "cancel", self.intake.cancel(configuration, queue, job, by)
        return "other", None


class ProbeServer:
    """Answers the platform's readiness probes and serves the metrics."""

    __slots__ = ("is_ready", "render", "server")

    def __init__(
        self,
        address: str,
        is_ready: Callable[[], bool],
        render: Callable[[], bytes],
    ) -> None:
        self.is_ready = is_ready
        self.render = render
        self.server = _build_server(address, self._handle, PROBE_THREADS)

    def prepare(self) -> None:
        """Bind the address; raises ``OSError``."""
        self.server.prepare()

    def serve(self) -> None:
        """Serve until the process ends."""
        self.server.serve()

    def _handle(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] == READINESS_PATH:
            answer = HttpAnswer(200 if self.is_ready() else 503)
            return _write(answer, [], False, start_response)
        body = self.render()
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]


def _build_server(
    address: str, handle: Callable[..., Iterable[bytes]], threads: int
) -> Server:
    host, _, port = address.rpartition(":")
    return Server(
        (host, int(port)),
        handle,
        numthreads=threads,
        max=threads,
        request_queue_size=BACKLOG,
        timeout=IDLE_TIMEOUT_S,
    )


def _read_limit(environ: Environ) -> float | None:
    """Return the caller's time limit in ms; None where the default holds."""
    text = environ.get(TIME_LIMIT_HEADER)
    try:
        return float(text) if text else None
    except ValueError:
        warn("time_limit_refused", value=str(text)[:MAX_LOGGED_TEXT])
        return None


def _write(
    answer: HttpAnswer,
    headers: list[tuple[str, str]],
    closing: bool,
    start_response: StartResponse,
) -> list[bytes]:
    body = json.dumps(answer.body, separators=(",", ":")).encode()
    headers.append(("Content-Type", "application/json"))
    headers.append(("Content-Length", str(len(body))))
    if answer.retry_after_s is not None:
        headers.append(("Retry-After", str(answer.retry_after_s)))
    if closing:
        headers.append(("Connection", "close"))
    start_response(f"{answer.status} {PHRASES.get(answer.status, 'Status')}", headers)
    return [body]
