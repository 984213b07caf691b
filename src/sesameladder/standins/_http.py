"""HTTP server of the stand-ins: runs a handler function on cheroot's WSGI server."""

import errno
import json
import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

from cheroot import errors, wsgi
from cheroot.server import HTTPConnection

from sesameladder.observability import EVENTS

MAX_BODY_BYTES = 4_000_000
MAX_HEADER_BYTES = 16_000
IDLE_TIMEOUT_S = 60
SHUTDOWN_TIMEOUT_S = 2
LISTEN_BACKLOG = 256
POLL_INTERVAL_S = 0.1

LOGGER = logging.getLogger(__name__)

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Response:
    """Response to one request."""

    status: int
    """HTTP status code."""

    body: bytes = b""
    """Body of the response."""

    headers: dict[str, str] = field(default_factory=dict)
    """Headers besides ``Content-Length``."""

    @classmethod
    def from_json(cls, value: object) -> "Response":
        """Return a response with status 200 and a JSON body."""
        headers = {"Content-Type": "application/json"}
        return cls(200, json.dumps(value).encode(), headers)


class RequestRejected(Exception):
    """The request is turned away, with a status and the message as the body."""

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class DropConnection(ConnectionResetError):
    """Ends the connection without a response.

    cheroot closes a connection on the error number ``ECONNRESET`` without writing
    to it.
    """

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "connection dropped by the stand-in")


class Request:
    """One HTTP request, with its body read.

    Raises ``RequestRejected`` when the path or the body is malformed.
    """

    __slots__ = ("body", "environ", "method", "path", "query")

    def __init__(self, environ: dict[str, Any]) -> None:
        self.environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path = _decode_path(environ["PATH_INFO"])
        self.query = dict(parse_qsl(environ["QUERY_STRING"], keep_blank_values=True))
        self.body = _read_body(environ)

    @property
    def is_over_connection_limit(self) -> bool:
        """Whether the connection exceeded the server's limit when it was accepted."""
        return bool(self.environ["standin.over_connection_limit"])

    def get_header(self, name: str) -> str | None:
        """Return a header's value, or None when it is absent."""
        key = "HTTP_" + name.upper().replace("-", "_")
        value: str | None = self.environ.get(key)
        return value

    def get_int_header(self, name: str, default: int, low: int, high: int) -> int:
        """Return a header as an integer from low to high, or the default."""
        return _parse_int(f"header {name}", self.get_header(name), default, low, high)

    def get_int_parameter(
        self, name: str, default: int | None, low: int, high: int
    ) -> int:
        """Return a query parameter as an integer from low to high.

        A missing parameter has the default value; None makes it required.
        """
        return _parse_int(f"parameter {name}", self.query.get(name), default, low, high)

    def parse_json_object(self) -> dict[str, Any]:
        """Return the body as a JSON object; raises ``RequestRejected`` if invalid."""
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError) as error:
            raise RequestRejected(f"the body is not JSON: {error}") from error
        if not isinstance(value, dict):
            raise RequestRejected("the body is not a JSON object")
        return value


Handler = Callable[[Request], Response]


class StandinServer:
    """HTTP server that runs a handler on one address with a fixed thread count."""

    __slots__ = ("connections", "handler", "server", "thread")

    def __init__(
        self,
        address: str,
        handler: Handler,
        threads: int,
        connection_limit: int | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.handler = handler
        self.connections = ConnectionCounter(connection_limit)
        self.server = wsgi.Server(
            (host, int(port)),
            self.respond,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        _configure_server(self.server)
        self.server.ConnectionClass = self.connections.create_class()
        self.server.gateway = StandinGateway
        self.thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """The ``ip:port`` in use, known once the server has started."""
        host, port = self.server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and serve it on a background thread."""
        self.server.prepare()
        self.thread = threading.Thread(target=self.server.serve, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stop serving; the caller has to wake waiting handlers first."""
        self.server.stop()
        if self.thread is not None:
            self.thread.join()

    def respond(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Respond to one WSGI request.

        The response to HEAD gets no body: cheroot would send it, and the client
        would parse it as the start of the next response.
        """
        response = self._call_handler(environ)
        headers = {**response.headers, "Content-Length": str(len(response.body))}
        reason = REASON_PHRASES.get(response.status, "Unknown")
        start_response(f"{response.status} {reason}", list(headers.items()))
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

    def _call_handler(self, environ: dict[str, Any]) -> Response:
        try:
            return self.handler(Request(environ))
        except RequestRejected as error:
            return Response(error.status, str(error).encode())


class ConnectionCounter:
    """Counts a server's open connections and those accepted above the limit."""

    __slots__ = ("limit", "lock", "open_connections", "over_limit", "peak")

    def __init__(self, limit: int | None) -> None:
        self.limit = limit
        self.lock = threading.Lock()
        self.open_connections = 0
        self.peak = 0
        self.over_limit = 0

    def record_open(self) -> bool:
        """Count a new connection; returns whether it exceeds the limit."""
        with self.lock:
            self.open_connections += 1
            is_over_limit = (
                self.limit is not None and self.open_connections > self.limit
            )
            if is_over_limit:
                self.over_limit += 1
            self.peak = max(self.peak, self.open_connections)
            return is_over_limit

    def record_close(self) -> None:
        """Count a closed connection."""
        with self.lock:
            self.open_connections -= 1

    def create_class(self) -> type[HTTPConnection]:
        """Return a connection class whose instances are counted here."""
        counter = self

        class CountedConnection(HTTPConnection):
            def __init__(self, *arguments: Any, **options: Any) -> None:
                super().__init__(*arguments, **options)
                self.is_over_limit = counter.record_open()
                self.is_counted = True

            def close(self) -> None:
                super().close()
                if self.is_counted:
                    self.is_counted = False
                    counter.record_close()

        return CountedConnection


class StandinGateway(wsgi.Gateway_10):
    """Adds to the WSGI environment whether the connection exceeds the limit."""

    def get_environ(self) -> Any:
        """Return the WSGI environment with ``standin.over_connection_limit``."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ["standin.over_connection_limit"] = self.req.conn.is_over_limit
        return environ


def _configure_server(server: Any) -> None:
    server.keep_alive_conn_limit = None
    server.max_request_body_size = MAX_BODY_BYTES
    server.max_request_header_size = MAX_HEADER_BYTES
    server.expiration_interval = POLL_INTERVAL_S
    server.error_log = _log_server_error


def _log_server_error(
    message: str = "", level: int = logging.ERROR, traceback: bool = False
) -> None:
    event = "http_server_error"
    extra = {"event": event, "reason": message}
    LOGGER.log(level, EVENTS[event], extra=extra, exc_info=traceback)


def _decode_path(path_info: str) -> str:
    try:
        return path_info.encode("latin-1").decode("utf-8")
    except UnicodeError as error:
        raise RequestRejected(f"the path is not UTF-8: {error}") from error


def _read_body(environ: dict[str, Any]) -> bytes:
    try:
        body: bytes = environ["wsgi.input"].read()
    except errors.MaxSizeExceeded as error:
        raise RequestRejected("the body is too large", 413) from error
    except ValueError as error:
        raise RequestRejected(f"the body is malformed: {error}") from error
    declared = environ.get("CONTENT_LENGTH")
    if declared and len(body) != int(declared):
        raise RequestRejected("the body is shorter than its Content-Length")
    return body


def _parse_int(
    what: str, text: str | None, default: int | None, low: int, high: int
) -> int:
    if text is None:
        if default is None:
            raise RequestRejected(f"{what} is missing")
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise RequestRejected(f"{what} is {text[:40]!r}; expected a whole number")
    value = int(text)
    if not low <= value <= high:
        raise RequestRejected(f"{what} is {value}; expected {low} to {high}")
    return value
