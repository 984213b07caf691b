"""HTTP servers for the job API, for readiness probes and for metrics."""

import json
from collections.abc import Callable, Iterable
from functools import singledispatch
from itertools import count
from threading import Lock
from typing import Any

from sesameladder.jobs import Configuration, QueuePolicy
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._configuration_task import ConfirmedConfiguration
from sesameladder.node._intake import Intake
from sesameladder.node._response_deadlines import ResponseDeadlines
from sesameladder.node._results import (
    Accepted,
    Cancelled,
    CancelledFirst,
    Found,
    InvalidRequest,
    NotFound,
    PendingCount,
    Rejected,
    Result,
    TooLarge,
    Unknown,
)
from sesameladder.node._telemetry import (
    KEY_CHECKS,
    REFUSED_CONNECTIONS,
    REQUEST_SECONDS,
    REQUESTS,
    log_event,
    log_warning,
    logger,
)
from sesameladder.organisations import KeyOutcome, Organisation, check_key
from sesameladder.request_limits import (
    BoundedServer,
    ConnectionLimits,
    Limits,
    Refusal,
    RefusalLog,
)
from sesameladder.service_calls import Caller

KEY_HEADER = "HTTP_X_SESAMELADDER_CREDENTIAL"
TIME_LIMIT_HEADER = "HTTP_X_SESAMELADDER_DEADLINE_MS"
REQUEST_ID_HEADER = "X-Sesameladder-Request-Id"
READINESS_PATH = "/v1/ready"
REQUEST_THREADS = 24  # each waits for the store: 4 ms typically, up to 1 s per attempt
PROBE_THREADS = 2
LISTEN_BACKLOG = 256
MAX_CONNECTIONS = 1024  # fewer where the limit of descriptors is low
MAX_PROBE_CONNECTIONS = 128
REFUSED_RETRY_AFTER_S = 1
SERVER_STOP_TIMEOUT_S = 1
DEFAULT_TIME_LIMIT_MS = 3000  # the callers' usual time limit
MAX_LOGGED_CHARACTERS = 40  # of a header value, which the caller may make any length
UNCONFIGURED_RETRY_AFTER_S = 1
# A VM in touch with the store confirms its configuration every 0.7 s.
UNCONFIRMED_RETRY_AFTER_S = 1

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    410: "Gone",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class ApiResponse:
    """Status, JSON body and ``Retry-After`` of a response."""

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
def build_response(result: Result) -> ApiResponse:
    """Return the HTTP response for the result of a request."""
    raise TypeError(f"no HTTP response for a result of {type(result).__name__}")


@build_response.register
def _(result: Accepted) -> ApiResponse:
    return ApiResponse(200, {"accepted": True, "new": result.is_new})


@build_response.register
def _(result: Rejected) -> ApiResponse:
    body: dict[str, object] = {"error": result.reason, "has_run": False}
    return ApiResponse(503, body, result.retry_after_s)


@build_response.register
def _(result: Unknown) -> ApiResponse:
    return ApiResponse(504, {"error": result.reason})


@build_response.register
def _(result: InvalidRequest) -> ApiResponse:
    return _build_refusal(400, result.reason, result.is_new_job)


@build_response.register
def _(result: TooLarge) -> ApiResponse:
    return _build_refusal(413, result.reason, result.is_new_job)


@build_response.register
def _(result: NotFound) -> ApiResponse:  # noqa: ARG001
    return ApiResponse(410, {"error": "there is no such job"})


@build_response.register
def _(result: Found) -> ApiResponse:
    return ApiResponse(200, {"state": result.state.value})


@build_response.register
def _(result: PendingCount) -> ApiResponse:
    return ApiResponse(200, {"pending": result.count})


@build_response.register
def _(result: CancelledFirst) -> ApiResponse:  # noqa: ARG001
    # No Retry-After: the job is not accepted later either.
    reason = "the job was cancelled before it was accepted"
    return ApiResponse(503, {"error": reason, "has_run": False})


@build_response.register
def _(result: Cancelled) -> ApiResponse:  # noqa: ARG001
    return ApiResponse(200, {"cancelled": True})


def _build_refusal(status: int, reason: str, is_new_job: bool) -> ApiResponse:
    """Return a refusal; it says that nothing has run only if that is certain."""
    body: dict[str, object] = {"error": reason}
    if is_new_job:
        body["has_run"] = False
    return ApiResponse(status, body)


class HandledRequest:
    """What a request asked for, whose it is, and its response."""

    __slots__ = ("action", "job", "organisation", "response", "version")

    def __init__(
        self,
        action: str,
        response: ApiResponse,
        job: str = "",
        organisation: str = "",
        version: int | None = None,
    ) -> None:
        self.action = action
        self.response = response
        self.job = job
        self.organisation = organisation
        """Name of the organisation whose key was accepted; empty for none."""

        self.version = version
        """Version of the configuration that the request was handled by."""


class JobApiServer:
    """Serves the job API: submits, shows, cancels and counts jobs."""

    __slots__ = (
        "closes_connections",
        "deadlines",
        "get_key_revocation_s",
        "in_flight",
        "intake",
        "limits",
        "lock",
        "node",
        "read_configuration",
        "request_numbers",
        "server",
    )

    def __init__(
        self,
        address: str,
        node: str,
        intake: Intake,
        read_configuration: Callable[[], ConfirmedConfiguration | None],
        get_key_revocation_s: Callable[[], float],
        max_descriptors: int = 0,
        deadlines: ResponseDeadlines | None = None,
    ) -> None:
        """Create a server; ``max_descriptors`` is 0 if the settings don't say."""
        self.node = node
        self.deadlines = deadlines or ResponseDeadlines()
        self.intake = intake
        self.read_configuration = read_configuration
        self.get_key_revocation_s = get_key_revocation_s
        self.request_numbers = count(1)
        self.closes_connections = False
        """Whether each connection is closed after its next response."""

        self.in_flight = 0
        self.lock = Lock()
        self.limits = ConfiguredLimits(self._get_configuration)
        self.server = _build_server(
            "job_api",
            address,
            self._handle,
            REQUEST_THREADS,
            self.limits.read,
            ConnectionLimits.for_process(MAX_CONNECTIONS, max_descriptors),
        )

    def _get_configuration(self) -> Configuration | None:
        confirmed = self.read_configuration()
        return confirmed.configuration if confirmed is not None else None

    def prepare(self) -> None:
        """Bind the address; raises ``OSError``."""
        self.server.prepare()

    def serve(self) -> None:
        """Serve until ``stop``."""
        self.server.serve()

    def stop(self) -> None:
        """Close the listener and idle connections after responses under way."""
        self.server.shutdown_timeout = SERVER_STOP_TIMEOUT_S
        self.server.stop()

    def _handle(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        started_at = read_steady_clock()
        request_id = f"{self.node}-{next(self.request_numbers)}"
        with self.lock:
            self.in_flight += 1
        try:
            handled = self._process_request(environ)
        except Exception:
            extra = {"event": "request_error", "request": request_id}
            logger.exception("request failed", extra=extra)
            handled = HandledRequest("error", ApiResponse(500))
        finally:
            with self.lock:
                self.in_flight -= 1
        elapsed_s = read_steady_clock() - started_at
        response = handled.response
        REQUESTS.labels(handled.action, response.status).inc()
        REQUEST_SECONDS.labels(handled.action).observe(elapsed_s)
        log_event(
            "request_answered",
            request=request_id,
            job=handled.job,
            action=handled.action,
            organisation=handled.organisation,
            status=response.status,
            reason=response.body.get("error", ""),
            took_ms=round(elapsed_s * 1000, 1),
            version=handled.version,
        )
        headers = [(REQUEST_ID_HEADER, request_id)]
        return _send_response(
            response, headers, self.closes_connections, start_response
        )

    def _process_request(self, environ: Environ) -> HandledRequest:
        """Check a request in the documented order and carry it out."""
        body: bytes = environ["wsgi.input"].read()
        method = environ["REQUEST_METHOD"]
        # Read once, after the whole request has arrived: the age check of keys holds
        # for this pair only.
        confirmed = self.read_configuration()
        if confirmed is None:
            reason: dict[str, object] = {"error": "no configuration yet"}
            response = ApiResponse(503, reason, UNCONFIGURED_RETRY_AFTER_S)
            return HandledRequest("early", response)
        configuration = confirmed.configuration
        version = configuration.version
        path = environ["PATH_INFO"]
        queue = configuration.find_queue(environ.get("HTTP_HOST", ""), path)
        if queue is None:
            response = ApiResponse(404, {"error": "no such queue"})
            return HandledRequest("unrouted", response, version=version)
        organisation: Organisation | None = None
        if configuration.organisations is not None and not queue.is_public:
            key_check = check_key(
                configuration.organisations,
                _read_key(environ),
                confirmed.confirmed_at,
                read_steady_clock(),
                self.get_key_revocation_s(),
            )
            KEY_CHECKS.labels(key_check.outcome.value).inc()
            if key_check.organisation is None:
                response = _build_key_refusal(key_check.outcome)
                return HandledRequest("key_check", response, version=version)
            organisation = key_check.organisation
        name = organisation.name if organisation is not None else ""
        if len(body) > configuration.max_body_bytes:
            response = ApiResponse(413, {"error": "body is too large"})
            return HandledRequest("oversize", response, "", name, version)
        deadline = self.deadlines.compute_deadline(
            _parse_time_limit_ms(environ), read_steady_clock()
        )
        job = path[len(queue.path_prefix) :]
        caller = build_caller(environ, name)
        action, result = self._dispatch(
            method, configuration, queue, job, body, deadline, organisation, caller
        )
        response = (
            build_response(result)
            if result is not None
            else ApiResponse(405, {"error": f"no {method} here"})
        )
        return HandledRequest(action, response, job, name, version)

    def _dispatch(
        self,
        method: str,
        configuration: Configuration,
        queue: QueuePolicy,
        job: str,
        body: bytes,
        deadline: float,
        organisation: Organisation | None,
        caller: Caller,
    ) -> tuple[str, Result | None]:
        intake = self.intake
        if method == "POST":
            result = intake.submit(queue, job, body, deadline, organisation, caller)
            return "submit", result
        if method == "GET" and not job:
            return "pending", intake.count_pending(queue, deadline, caller)
        if method == "GET":
            result = intake.get_state(configuration, queue, job, deadline, caller)
            return "show", result
        if method == "DELETE":
            result = intake.cancel(configuration, queue, job, deadline, caller)
            return "cancel", result
        return "other", None


class ProbeServer:
    """Serves the platform's readiness probes and the metrics."""

    __slots__ = ("is_ready", "render_metrics", "server")

    def __init__(
        self,
        address: str,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        max_descriptors: int = 0,
    ) -> None:
        """Create a server; ``max_descriptors`` is 0 if the settings don't say."""
        self.is_ready = is_ready
        self.render_metrics = render_metrics
        limits = Limits()
        self.server = _build_server(
            "probe",
            address,
            self._handle,
            PROBE_THREADS,
            lambda: limits,
            ConnectionLimits.for_process(MAX_PROBE_CONNECTIONS, max_descriptors),
        )

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
            response = ApiResponse(200 if self.is_ready() else 503)
            return _send_response(response, [], False, start_response)
        body = self.render_metrics()
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]


class ConfiguredLimits:
    """Limits of requests in the configuration in force, else the defaults."""

    __slots__ = ("configuration", "get_configuration", "limits")

    def __init__(self, get_configuration: Callable[[], Configuration | None]) -> None:
        self.get_configuration = get_configuration
        self.configuration: Configuration | None = None
        """The configuration that ``limits`` were computed from."""

        self.limits = Limits()

    def read(self) -> Limits:
        """Return the limits that apply now; called by any thread."""
        configuration = self.get_configuration()
        if configuration is None or configuration is self.configuration:
            return self.limits
        named = configuration.limits
        limits = Limits().override(
            named.header_bytes,
            configuration.max_body_bytes,
            named.header_timeout_s,
            named.idle_timeout_s,
        )
        self.limits = limits
        self.configuration = configuration
        return limits


def _build_server(
    name: str,
    address: str,
    handle: Callable[..., Iterable[bytes]],
    threads: int,
    get_limits: Callable[[], Limits],
    connection_limits: ConnectionLimits,
) -> BoundedServer:
    host, _, port = address.rpartition(":")
    refusals = RefusalLog(
        lambda cause: REFUSED_CONNECTIONS.labels(name, cause).inc(),
        lambda cause, reason, client, number: log_warning(
            "connection_refused",
            server=name,
            cause=cause,
            reason=reason,
            client=client,
            count=number,
        ),
        read_steady_clock,
    )
    return BoundedServer(
        (host, int(port)),
        handle,
        threads,
        LISTEN_BACKLOG,
        get_limits,
        connection_limits,
        refusals,
        build_refused_response,
    )


def build_caller(environ: Environ, organisation: str) -> Caller:
    """Return who sent a request, for the turns at the store."""
    address = str(environ.get("REMOTE_ADDR", ""))
    connection = f"{address}:{environ.get('REMOTE_PORT', '')}"
    return Caller(organisation, address, connection)


def _read_key(environ: Environ) -> str:
    """Return the key of a call; empty for none.

    The server decodes the bytes of a header as Latin-1; keys are UTF-8.
    """
    text: str = environ.get(KEY_HEADER, "")
    try:
        return text.encode("latin-1").decode()
    except UnicodeError:
        return text


def _build_key_refusal(outcome: KeyOutcome) -> ApiResponse:
    """Return the response to a call whose key was not accepted."""
    if outcome is KeyOutcome.UNCONFIRMED:
        reason = "the configuration is too old to check the key"
        return build_response(Rejected(reason, UNCONFIRMED_RETRY_AFTER_S))
    # Without "has_run": a job of this identifier may have run on an earlier call.
    return ApiResponse(401, {"error": f"the key is {outcome.value}"})


def build_refused_response(
    refusal: Refusal, header: bytes
) -> tuple[list[tuple[str, str]], bytes]:
    """Return headers and body for a request that was refused before it was read.

    No part of it has been passed on, so nothing of this request has run.
    """
    del header  # the answer is the same for all requests
    body = json.dumps(
        {"error": refusal.reason, "has_run": False}, separators=(",", ":")
    ).encode()
    headers = [("Content-Type", "application/json")]
    if refusal.status == 503:
        headers.append(("Retry-After", str(REFUSED_RETRY_AFTER_S)))
    return headers, body


def _parse_time_limit_ms(environ: Environ) -> float:
    """Return the caller's time limit in ms, or the default."""
    text = environ.get(TIME_LIMIT_HEADER)
    try:
        return float(text) if text else DEFAULT_TIME_LIMIT_MS
    except ValueError:
        log_warning("time_limit_refused", value=str(text)[:MAX_LOGGED_CHARACTERS])
        return DEFAULT_TIME_LIMIT_MS


def _send_response(
    response: ApiResponse,
    headers: list[tuple[str, str]],
    closes_connections: bool,
    start_response: StartResponse,
) -> list[bytes]:
    body = json.dumps(response.body, separators=(",", ":")).encode()
    headers.append(("Content-Type", "application/json"))
    headers.append(("Content-Length", str(len(body))))
    if response.retry_after_s is not None:
        headers.append(("Retry-After", str(response.retry_after_s)))
    if closes_connections:
        headers.append(("Connection", "close"))
    start_response(
        f"{response.status} {REASON_PHRASES.get(response.status, 'Status')}", headers
    )
    return [body]
