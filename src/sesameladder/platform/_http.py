"""HTTP client for all calls to the platform and to workers."""

import json
from socket import IPPROTO_TCP, TCP_USER_TIMEOUT
from threading import Lock
from typing import Any

from urllib3 import HTTPConnectionPool, Retry, Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    LocationValueError,
    MaxRetryError,
    NewConnectionError,
    ProtocolError,
)

from sesameladder.platform._errors import (
    MALFORMED,
    CallNotSent,
    ConnectionLost,
    OutcomeUnknown,
    ResponseTooLarge,
    ResponseUnreadable,
)
from sesameladder.response_limits import (
    BoundedConnectionPool,
    WholeResponse,
    find_excess,
)

CONNECT_TIMEOUT_S = 0.5  # a round trip takes a few ms; a lost SYN is resent after 1 s
NOT_REACHED = (NewConnectionError, ConnectTimeoutError, LocationValueError)
"""Errors of urllib3 before a connection is established."""

MAX_IDLE_CONNECTIONS = 4  # per address
HEADER_BYTES = 250  # rough size of a message's header with its packets


class Traffic:
    """Bytes that the process has sent and received in calls; thread-safe."""

    __slots__ = ("bytes_received", "bytes_sent", "lock")

    def __init__(self) -> None:
        self.lock = Lock()
        self.bytes_sent = 0
        self.bytes_received = 0

    def add(self, sent: int, received: int) -> None:
        """Count the bodies of one call, in bytes."""
        with self.lock:
            self.bytes_sent += sent + HEADER_BYTES
            self.bytes_received += received + HEADER_BYTES


TRAFFIC = Traffic()


class HttpResponse:
    """Status and JSON body of a response; the body is empty unless it is an object."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        self.status = status
        self.body = body


class HttpClient:
    """Sends requests to one ``host:port`` address; thread-safe."""

    __slots__ = (
        "address",
        "connection_pool",
        "host",
        "lock",
        "port",
        "undelivered_limit_s",
    )

    def __init__(self, address: str, undelivered_limit_s: float | None = None) -> None:
        """Create a client.

        The kernel resets a connection whose peer confirms none of the bytes sent for
        ``undelivered_limit_s``, in seconds, even if this process is frozen or has
        ended.
        """
        self.address = address
        self.undelivered_limit_s = undelivered_limit_s
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.lock = Lock()
        self.connection_pool = self._build_connection_pool()

    def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> HttpResponse:
        """Send one request and return its response, whatever the status.

        Raises ``CallNotSent`` if no connection was established, ``OutcomeUnknown``
        if the call may have been executed (``ConnectionLost`` if the connection has
        ended, ``ResponseUnreadable`` if the body is not JSON, ``ResponseTooLarge`` if
        the response is larger than any peer sends). There are no retries.
        """
        connection_pool = self.connection_pool
        sent_headers = {"Content-Type": "application/json", **(headers or {})}
        data = None if body is None else json.dumps(body, separators=(",", ":"))
        try:
            response = connection_pool.request(
                method,
                path,
                body=data,
                headers=sent_headers,
                timeout=Timeout(
                    connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
                ),
                preload_content=False,
                decode_content=False,
            )
            whole = WholeResponse.from_stream(response)
        except HTTPError as error:
            self._drop_connections(connection_pool)
            if isinstance(_find_cause(error), NOT_REACHED):
                raise CallNotSent(f"{self.address} was not reached: {error}") from error
            TRAFFIC.add(len(data or ""), 0)
            excess = find_excess(error)
            if excess is not None:
                raise ResponseTooLarge(f"{self.address}: {excess}") from error
            kind = ConnectionLost if _is_reset(error) else OutcomeUnknown
            raise kind(f"{self.address} did not answer: {error}") from error
        TRAFFIC.add(len(data or ""), len(whole.data))
        return HttpResponse(response.status, _decode_body(whole.data, self.address))

    def close(self) -> None:
        """Close the idle connections."""
        self.connection_pool.close()

    def _build_connection_pool(self) -> HTTPConnectionPool:
        return BoundedConnectionPool(
            self.host,
            self.port,
            maxsize=MAX_IDLE_CONNECTIONS,
            retries=Retry(0, redirect=0),
            socket_options=self._build_socket_options(),
        )

    def _build_socket_options(self) -> list[tuple[int, int, int]]:
        options = list(HTTPConnection.default_socket_options)
        if self.undelivered_limit_s is not None:
            limit_ms = round(self.undelivered_limit_s * 1000)
            options.append((IPPROTO_TCP, TCP_USER_TIMEOUT, limit_ms))
        return options

    def _drop_connections(self, failed: HTTPConnectionPool) -> None:
        """Replace the connection pool after a failure.

        Its idle connections may be broken like the one that failed. Another thread
        may have replaced the pool already.
        """
        with self.lock:
            if self.connection_pool is not failed:
                return
            self.connection_pool = self._build_connection_pool()
        failed.close()


def _find_cause(error: HTTPError) -> Exception | None:
    """Return the error of the only attempt, which urllib3 wraps in some cases."""
    return error.reason if isinstance(error, MaxRetryError) else error


def _is_reset(error: HTTPError) -> bool:
    """Return whether the peer has ended the connection, as opposed to its silence."""
    return isinstance(_find_cause(error), ProtocolError)


def _decode_body(data: bytes, address: str) -> dict[str, Any]:
    if not data:
        return {}
    try:
        body = json.loads(data)
    except MALFORMED as error:
        raise ResponseUnreadable(f"{address} sent a body that is not JSON") from error
    return body if isinstance(body, dict) else {}
