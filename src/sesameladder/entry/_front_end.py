"""HTTP server for callers' requests, health checks and idempotency tokens."""

import logging
import re
from collections.abc import Callable, Iterable
from itertools import count
from threading import Condition
from time import monotonic
from typing import Any

from sesameladder.entry._bounded_server import build_server
from sesameladder.entry._request import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    CallerRequest,
    RequestInvalid,
    build_request,
)
from sesameladder.entry._responses import HttpResponse, build_response, get_outcome_name
from sesameladder.idempotency import Outcome, Unknown
from sesameladder.observability import Metric, Metrics
from sesameladder.request_limits import ConnectionLimits, Limits, Refusal

HEALTH_PATH = "/-/health"
TOKEN_PATH = "/-/tokens"
ACCEPT_BACKLOG = 128
MAX_HEADER_BYTES = 64 * 1024
HEADER_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 10.0
MAX_CONNECTIONS = 1024  # fewer where the limit of descriptors is low
IDEMPOTENCY_KEY_LINE = re.compile(rb"\r\nidempotency[-_]key:", re.IGNORECASE)
STOP_TIMEOUT_S = 2

logger = logging.getLogger(__name__)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Environ = dict[str, Any]

REASON_PHRASES = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class FrontEnd:
    """Reads callers' requests, passes them on and sends the responses."""

    __slots__ = (
        "default_deadline_ms",
        "draining",
        "idle_condition",
        "in_flight",
        "is_ready",
        "issue_token",
        "max_body_bytes",
        "metrics",
        "request_id_prefix",
        "request_numbers",
        "serve_request",
        "server",
    )

    def __init__(
        self,
        address: str,
        threads: int,
        request_id_prefix: str,
        max_body_bytes: int,
        default_deadline_ms: float,
        serve_request: Callable[[CallerRequest], Outcome],
        issue_token: Callable[[], str],
        is_ready: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self.request_id_prefix = request_id_prefix
        self.max_body_bytes = max_body_bytes
        self.default_deadline_ms = default_deadline_ms
        self.serve_request = serve_request
        self.issue_token = issue_token
        self.is_ready = is_ready
        self.metrics = metrics
        self.request_numbers = count(1)
        self.draining = False
        self.in_flight = 0
        self.idle_condition = Condition()
        limits = Limits(
            header_bytes=MAX_HEADER_BYTES,
            body_bytes=max_body_bytes,
            header_timeout_s=HEADER_TIMEOUT_S,
            body_timeout_s=BODY_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        self.server = build_server(
            "front_end",
            address,
            self._handle,
            threads,
            ACCEPT_BACKLOG,
            limits,
            ConnectionLimits.for_process(MAX_CONNECTIONS),
            build_refused_response,
            metrics,
        )

    def prepare(self) -> None:
        """Bind the address; raise ``OSError`` if that fails."""
        self.server.prepare()

    def serve(self) -> None:
        """Serve requests until ``stop`` is called."""
        self.server.serve()

    def start_draining(self) -> None:
        """Refuse health checks and token requests with 503 from now on.

        Other requests are still served; each connection is closed after its
        response.
        """
        self.draining = True

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait for requests in flight; return False if some remain at the timeout."""
        with self.idle_condition:
            return self.idle_condition.wait_for(lambda: self.in_flight == 0, timeout_s)

    def stop(self, timeout_s: int = STOP_TIMEOUT_S) -> None:
        """Close the listener and stop the threads.

        Responses that are being sent may take ``timeout_s`` to finish.
        """
        self.server.shutdown_timeout = timeout_s
        self.server.stop()

    def _handle(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        with self.idle_condition:
            self.in_flight += 1
        try:
            response = self._respond(environ)
        finally:
            with self.idle_condition:
                self.in_flight -= 1
                self.idle_condition.notify_all()
        return self._send_response(response, environ["REQUEST_METHOD"], start_response)

    def _respond(self, environ: Environ) -> HttpResponse:
        request_id = f"{self.request_id_prefix}-{next(self.request_numbers)}"
        path = environ["PATH_INFO"]
        if path == HEALTH_PATH:
            return self._respond_to_health_check()
        if path == TOKEN_PATH:
            return self._respond_to_token_request(environ["REQUEST_METHOD"])
        try:
            request = self._read_request(request_id, environ)
        except RequestInvalid as error:
            has_idempotency_key = "HTTP_IDEMPOTENCY_KEY" in environ
            return _build_bad_request_response(
                str(error), request_id, has_idempotency_key
            )
        started_at = monotonic()
        try:
            outcome = self.serve_request(request)
        except Exception:
            logger.exception(
                "request failed inside the entry instance",
                extra={"event": "request_error", "request": request_id},
            )
            outcome = Unknown("internal error")
        self._record_metrics(request.pool, outcome, (monotonic() - started_at) * 1000)
        return build_response(outcome, request_id)

    def _record_metrics(self, pool: str, outcome: Outcome, duration_ms: float) -> None:
        self.metrics.count(Metric.REQUESTS, pool)
        self.metrics.count(Metric.OUTCOMES, get_outcome_name(outcome))
        self.metrics.record_time(Metric.REQUEST_TIME, duration_ms, pool)

    def _respond_to_health_check(self) -> HttpResponse:
        if self.draining:
            return _build_text_response(503, "draining\n")
        if not self.is_ready():
            return _build_text_response(
                503, "no configuration or plan is in effect yet\n"
            )
        return _build_text_response(200, "ok\n")

    def _respond_to_token_request(self, method: str) -> HttpResponse:
        if method != "POST":
            return _build_text_response(400, "send POST to receive a token\n")
        if self.draining:
            return _build_text_response(503, "draining\n")
        self.metrics.count(Metric.TOKENS_ISSUED)
        return _build_text_response(201, self.issue_token())

    def _read_request(self, request_id: str, environ: Environ) -> CallerRequest:
        target = environ["REQUEST_URI"]
        if isinstance(target, bytes):
            target = target.decode("latin-1")
        body = self._read_body(environ)
        return build_request(
            request_id,
            environ["REQUEST_METHOD"],
            target,
            _list_headers(environ),
            body,
            self.default_deadline_ms,
        )

    def _read_body(self, environ: Environ) -> bytes:
        """Return the body; raise ``RequestInvalid`` if it is too long or incomplete.

        A request whose caller closed the connection early must not be executed.
        """
        body: bytes = environ["wsgi.input"].read()
        if len(body) > self.max_body_bytes:
            raise RequestInvalid(
                f"body of {len(body)} bytes; send at most {self.max_body_bytes}"
            )
        declared_size = environ.get("CONTENT_LENGTH") or str(len(body))
        if declared_size != str(len(body)):
            raise RequestInvalid(
                f"body ended after {len(body)} of {declared_size} bytes; send it whole"
            )
        return body

    def _send_response(
        self, response: HttpResponse, method: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        # A caller would read a body after HEAD as the start of the next response.
        body = b"" if method == "HEAD" else response.body
        headers = [*response.headers, ("Content-Length", str(len(body)))]
        if self.draining:
            headers.append(("Connection", "close"))
        reason_phrase = REASON_PHRASES.get(response.status, "Status")
        start_response(f"{response.status} {reason_phrase}", headers)
        return [body]


def _list_headers(environ: Environ) -> list[tuple[str, str]]:
    headers = [
        (name.removeprefix("HTTP_").replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    content_type = environ.get("CONTENT_TYPE")
    if content_type:
        headers.append(("Content-Type", content_type))
    return headers


def _build_bad_request_response(
    reason: str, request_id: str, has_idempotency_key: bool
) -> HttpResponse:
    """Return the response to a malformed request.

    With an idempotency key the outcome is unknown, since an earlier attempt with
    the same key may have run.
    """
    headers = (
        ("Content-Type", "text/plain"),
        (OUTCOME_HEADER, "unknown" if has_idempotency_key else "not-run"),
        (REQUEST_ID_HEADER, request_id),
    )
    return HttpResponse(400, headers, f"request invalid: {reason}\n".encode())


def build_refused_response(
    refusal: Refusal, header: bytes
) -> tuple[list[tuple[str, str]], bytes]:
    """Return headers and body for a request that was refused before it was read.

    As for malformed requests, the outcome is unknown if an earlier attempt may have
    run, which is not known either while the header is incomplete.
    """
    is_first = bool(header) and not IDEMPOTENCY_KEY_LINE.search(header)
    headers = [
        ("Content-Type", "text/plain"),
        (OUTCOME_HEADER, "not-run" if is_first else "unknown"),
    ]
    return headers, f"request refused: {refusal.reason}\n".encode()


def _build_text_response(status: int, text: str) -> HttpResponse:
    return HttpResponse(status, (("Content-Type", "text/plain"),), text.encode())
