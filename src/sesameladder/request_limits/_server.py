"""cheroot's server with a reader that holds no thread for a waiting connection.

One thread accepts connections and reads what arrives. A thread of the pool gets a
connection when its request is whole, and gives it back as soon as the response is
written or waits in memory for the client to read it. So the threads of the pool wait
for no client.

The classes replace ``ConnectionManager``, ``HTTPConnection`` and ``HTTPRequest`` of
cheroot 11.1; requests are interpreted and answered by cheroot as before.
"""

import io
import os
import select
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress
from enum import Enum, auto
from threading import Lock
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest, KnownLengthRFile
from cheroot.wsgi import Server

from sesameladder.request_limits._framing import FramedRequest, RequestFramer
from sesameladder.request_limits._limits import ConnectionLimits, Limits
from sesameladder.request_limits._refusals import (
    REASON_PHRASES,
    Cause,
    Refusal,
    RefusalLog,
)

READ_BYTES = 65_536  # read at a time, and so held of the next request at most
ACCEPTS_AT_ONCE = 64  # before connections that have sent something get their turn
EXPIRY_INTERVAL_S = 0.25
# An ordinary caller sends its request at once; connections this young are kept.
NEW_CONNECTION_S = 1.0
NO_DESCRIPTOR_PAUSE_S = 0.05  # accepting fails at once until a descriptor is free
# Without reading on, the client's system discards the refusal as soon as data
# arrives at the closed socket.
LINGER_S = 1.0
LINGER_BYTES = 1_048_576
STOP_POLL_S = 0.02
LAST_WRITE_TIMEOUT_S = 1.0  # while the server stops and reads and writes no more
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EXPECT = b"Expect"

RefusalBody = tuple[list[tuple[str, str]], bytes]
"""Header lines and body of a refusal."""

BuildRefusal = Callable[[Refusal, bytes], RefusalBody]
"""Gets the refusal and the header, which is empty if it was not read."""


class _State(Enum):
    WAITING = auto()  # for bytes of a request
    SERVED = auto()  # by a thread of the pool
    WRITING = auto()
    LINGERING = auto()
    CLOSED = auto()


class _RequestReader(io.BytesIO):
    """The header of a whole request, as cheroot reads it."""

    bytes_read = 0  # cheroot's statistics, which are not enabled

    def has_data(self) -> bool:
        """Return False: the framer holds what follows."""
        return False


class _ResponseBuffer:
    """Collects a response, so that it is sent at once and by no blocking call."""

    __slots__ = ("bytes_written", "pending")

    def __init__(self) -> None:
        self.pending = bytearray()
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Append to the response."""
        self.pending += data
        return len(data)


def _make_file(sock: socket.socket, mode: str, size: int) -> Any:  # noqa: ARG001
    return _RequestReader() if "r" in mode else _ResponseBuffer()


class _BoundedRequest(HTTPRequest):
    """Request whose body has been read."""

    def read_request_line(self) -> bool:
        """Read the request line; a target that is no URI is refused."""
        try:
            succeeded: bool = super().read_request_line()  # type: ignore[no-untyped-call]
        except ValueError:  # of urlsplit, for example for an open bracket
            self.simple_response("400 Bad Request", "Malformed Request-URI")
            return False
        return succeeded

    def read_request_headers(self) -> bool:
        """Read the header; ``100 Continue`` has been sent if it was expected."""
        succeeded: bool = super().read_request_headers()  # type: ignore[no-untyped-call]
        if succeeded and self.inheaders.get(EXPECT) == b"100-continue":
            del self.conn.wfile.pending[-len(CONTINUE) :]
        return succeeded

    def respond(self) -> None:
        """Call the application with the body in memory, and write its response."""
        body = self.conn.request.body
        self.rfile = KnownLengthRFile(io.BytesIO(body), len(body))
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")


class _BoundedConnection(HTTPConnection):
    """A connection; owned by the table while it waits, else by one thread."""

    RequestHandlerClass = _BoundedRequest

    def __init__(
        self, server: "BoundedServer", sock: socket.socket, address: tuple[Any, ...]
    ) -> None:
        super().__init__(server, sock, _make_file)
        self.remote_addr, self.remote_port = address[:2]
        self.framer = RequestFramer(server.get_limits)
        self.request: FramedRequest | None = None
        self.state = _State.WAITING
        self.deadline = 0.0
        self.timeout_cause: Cause | None = None
        self.opened_at = time.monotonic()
        self.has_been_served = False
        self.closes_after_write = False
        self.lingered_bytes = 0
        self.held_bytes = 0

    def communicate(self) -> bool:
        """Answer the request that has been read; returns whether to stay open."""
        self.request = self.framer.take()
        self.rfile = _RequestReader(self.request.header)
        keeps_open: bool = super().communicate()  # type: ignore[no-untyped-call]
        self.request = None
        self.has_been_served = True
        self.closes_after_write = not keeps_open
        if self.write_pending():
            return keeps_open
        if self.server.ready:
            return True  # the table writes the rest
        with suppress(OSError):
            self.socket.settimeout(LAST_WRITE_TIMEOUT_S)
            self.socket.sendall(self.wfile.pending)
        return False

    def write_pending(self) -> bool:
        """Write what the socket takes; returns whether nothing is left."""
        pending = self.wfile.pending
        try:
            while pending:
                del pending[: os.write(self.socket.fileno(), pending)]
        except BlockingIOError:
            return False
        except OSError:
            pending.clear()
            self.closes_after_write = True
        return True

    def close(self) -> None:
        """Close the socket; may be called twice."""
        if self.state is not _State.CLOSED:
            self.state = _State.CLOSED
            self.server.forget_connection(self)
            with suppress(OSError):
                super().close()
            # cheroot's connections are reference cycles: without this, their requests
            # stay in memory until a collection, 170 MB beyond the bound in a trial.
            self.framer = RequestFramer(self.server.get_limits)
            self.wfile.pending.clear()


class ConnectionTable:
    """All connections of a server; replaces cheroot's ``ConnectionManager``.

    ``run`` is called by one thread. ``put`` and ``forget`` are called by any.
    """

    def __init__(self, server: "BoundedServer") -> None:
        self.server = server
        self.limits = server.connection_limits
        self.lock = Lock()
        self.connections: dict[int, _BoundedConnection] = {}
        self.count_by_address: Counter[str] = Counter()
        self.held_bytes = 0
        self.is_serving = False
        self.is_stopping = False
        self.listener = server.socket
        self.listener.setblocking(False)
        self.poll = select.epoll()
        self.poll.register(self.listener.fileno(), select.EPOLLIN)

    # Interface to cheroot ---------------------------------------------------

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Whether a connection may stay open; the table closes others for it."""
        return not self.is_stopping

    def put(self, connection: _BoundedConnection) -> None:
        """Take a connection back from a thread of the pool."""
        try:
            self._resume(connection)
        except Refusal as refusal:
            self._refuse(connection, refusal)

    def run(self, expiration_interval: float) -> None:  # noqa: ARG002
        """Accept connections and read requests until ``stop``."""
        self.is_serving = True
        expired_at = time.monotonic()
        try:
            while not self.is_stopping:
                for descriptor, _ in self.poll.poll(EXPIRY_INTERVAL_S):
                    self._handle_event(descriptor)
                now = time.monotonic()
                if now - expired_at > EXPIRY_INTERVAL_S:
                    self._expire(now)
                    expired_at = now
        finally:
            self.is_serving = False

    def stop(self) -> None:
        """End ``run``."""
        self.is_stopping = True
        while self.is_serving:
            time.sleep(0.01)

    def close(self) -> None:
        """Close all connections that no thread of the pool serves."""
        for connection in self._list_connections():
            if connection.state is not _State.SERVED:
                connection.close()
        self.poll.close()

    def forget(self, connection: _BoundedConnection) -> None:
        """Remove a connection that is being closed."""
        descriptor = connection.socket.fileno()
        with self.lock:
            if self.connections.get(descriptor) is not connection:
                return
            del self.connections[descriptor]
            self.held_bytes -= connection.held_bytes
            address = connection.remote_addr
            self.count_by_address[address] -= 1
            if not self.count_by_address[address]:
                del self.count_by_address[address]

    def is_writing(self) -> bool:
        """Return whether a client has yet to read a part of its response."""
        return any(c.state is _State.WRITING for c in self._list_connections())

    # Events ------------------------------------------------------------------

    def _handle_event(self, descriptor: int) -> None:
        if descriptor == self.listener.fileno():
            self._accept()
            return
        connection = self.connections.get(descriptor)
        if connection is None:
            return
        try:
            if connection.state is _State.WAITING:
                self._read(connection)
            elif connection.state is _State.WRITING:
                self._resume(connection)
            elif connection.state is _State.LINGERING:
                self._discard(connection)
        except Refusal as refusal:
            self._refuse(connection, refusal)
        except OSError:
            connection.close()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_AT_ONCE):
            try:
                accepted, address = self.listener.accept()
            except BlockingIOError:
                return
            except ConnectionError:
                continue  # the client has gone
            except OSError:
                if self.is_stopping:
                    return
                self._evict(Cause.CONNECTIONS, self._list_connections())
                time.sleep(NO_DESCRIPTOR_PAUSE_S)
                return
            self._add(accepted, address)

    def _add(self, accepted: socket.socket, address: tuple[Any, ...]) -> None:
        if not self._make_room(str(address[0])):
            accepted.close()
            return
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _BoundedConnection(self.server, accepted, address)
        with self.lock:
            self.connections[accepted.fileno()] = connection
            self.count_by_address[connection.remote_addr] += 1
        connection.deadline = time.monotonic() + self.server.get_limits().idle_timeout_s
        self.poll.register(accepted.fileno(), select.EPOLLIN | select.EPOLLONESHOT)

    def _make_room(self, address: str) -> bool:
        """Close a connection if there are too many; returns whether there is room."""
        connections = self._list_connections()
        if self.count_by_address[address] >= self.limits.connections_per_address:
            same = [c for c in connections if c.remote_addr == address]
            return self._evict(Cause.ADDRESS_CONNECTIONS, same)
        if len(connections) >= self.limits.connections:
            return self._evict(Cause.CONNECTIONS, connections)
        return True

    def _evict(self, cause: Cause, candidates: list[_BoundedConnection]) -> bool:
        """Close the connection whose client has waited longest, if any waits.

        Connections that have had a response come last: their clients are likely to
        be ordinary callers, who send their next request whole. Those that were just
        opened come after them: their request may have arrived and not been read.
        """
        now = time.monotonic()
        waiting = [c for c in candidates if c.state is not _State.SERVED]
        if not waiting:
            self.server.record_refusal(cause, "all connections are being served", "")
            return False
        evicted = min(
            waiting,
            key=lambda c: (
                now - c.opened_at < NEW_CONNECTION_S,
                c.has_been_served,
                c.opened_at,
            ),
        )
        self.server.record_refusal(
            cause, "closed for another connection", evicted.remote_addr
        )
        evicted.close()
        return True

    def _read(self, connection: _BoundedConnection) -> None:
        try:
            data = os.read(connection.socket.fileno(), READ_BYTES)
        except BlockingIOError:
            self._wait_for(connection, select.EPOLLIN)
            return
        framer = connection.framer
        if not data:
            if framer.is_idle:
                connection.close()
                return
            raise Refusal(Cause.INCOMPLETE, 400, "the request ended early")
        was_idle, was_reading_header = framer.is_idle, framer.is_reading_header
        framer.feed(data)
        self._update_held_bytes(connection)
        self._bound_held_bytes(connection)
        self._proceed(connection, was_idle, was_reading_header)

    def _proceed(
        self, connection: _BoundedConnection, was_idle: bool, was_reading_header: bool
    ) -> None:
        """Pass a whole request on, or wait for the rest of it."""
        framer = connection.framer
        if framer.wants_continue and was_reading_header and framer.header:
            connection.wfile.pending += CONTINUE
            connection.write_pending()
        if framer.is_complete:
            connection.state = _State.SERVED
            self.server.process_conn(connection)
            return
        limits = framer.get_limits()
        now = time.monotonic()
        if framer.is_idle:
            connection.deadline = now + limits.idle_timeout_s
            connection.timeout_cause = None
        elif framer.is_reading_header and was_idle:
            connection.deadline = now + limits.header_timeout_s
            connection.timeout_cause = Cause.HEADER_TIMEOUT
        elif not framer.is_reading_header and was_reading_header:
            connection.deadline = now + limits.body_timeout_s
            connection.timeout_cause = Cause.BODY_TIMEOUT
        self._wait_for(connection, select.EPOLLIN)

    def _resume(self, connection: _BoundedConnection) -> None:
        """Write the rest of a response, then go on with the next request."""
        if not connection.write_pending():
            if connection.state is not _State.WRITING:
                connection.deadline = time.monotonic() + self.limits.response_timeout_s
                connection.timeout_cause = Cause.RESPONSE_TIMEOUT
            self._update_held_bytes(connection)
            self._wait_for(connection, select.EPOLLOUT, _State.WRITING)
            return
        if connection.closes_after_write:
            connection.close()
            return
        connection.opened_at = time.monotonic()
        connection.framer.feed(b"")
        self._update_held_bytes(connection)
        self._proceed(connection, True, True)

    def _discard(self, connection: _BoundedConnection) -> None:
        data = os.read(connection.socket.fileno(), READ_BYTES)
        connection.lingered_bytes += len(data)
        if not data or connection.lingered_bytes > LINGER_BYTES:
            connection.close()
            return
        self._wait_for(connection, select.EPOLLIN, _State.LINGERING)

    def _wait_for(
        self,
        connection: _BoundedConnection,
        events: int,
        state: _State = _State.WAITING,
    ) -> None:
        with self.lock:
            if connection.state is _State.CLOSED:
                return
            connection.state = state
            try:
                self.poll.modify(
                    connection.socket.fileno(), events | select.EPOLLONESHOT
                )
                return
            except (OSError, ValueError):
                pass  # the server has stopped
        connection.close()

    # Limits -------------------------------------------------------------------

    def _refuse(self, connection: _BoundedConnection, refusal: Refusal) -> None:
        """Send a refusal, and close once the client has had time to read it."""
        self.server.record_refusal(
            refusal.cause, refusal.reason, connection.remote_addr
        )
        response = self.server.render_refusal(refusal, connection.framer.header)
        connection.framer = RequestFramer(self.server.get_limits)
        connection.closes_after_write = True
        self._update_held_bytes(connection)
        try:
            os.write(connection.socket.fileno(), response)
            connection.socket.shutdown(socket.SHUT_WR)
        except OSError:
            connection.close()
            return
        connection.deadline = time.monotonic() + LINGER_S
        connection.timeout_cause = None
        self._wait_for(connection, select.EPOLLIN, _State.LINGERING)

    def _expire(self, now: float) -> None:
        for connection in self._list_connections():
            # A thread that gives a connection back sets the deadline first.
            if connection.state is _State.SERVED or connection.deadline > now:
                continue
            cause = connection.timeout_cause
            if connection.state is _State.WAITING and cause is not None:
                self._refuse(connection, Refusal(cause, 408, "request is too slow"))
                continue
            if cause is not None:
                self.server.record_refusal(cause, "too slow", connection.remote_addr)
            connection.close()

    def _update_held_bytes(self, connection: _BoundedConnection) -> None:
        held = connection.framer.held_bytes + len(connection.wfile.pending)
        with self.lock:
            self.held_bytes += held - connection.held_bytes
            connection.held_bytes = held

    def _bound_held_bytes(self, reading: _BoundedConnection) -> None:
        """Close the connection that holds most while all together hold too much.

        Only the reading thread may close connections of others. Raises ``Refusal``
        if the connection that it reads from holds most.
        """
        if self.held_bytes <= self.limits.held_bytes:
            return
        largest = max(
            (c for c in self._list_connections() if c.state is not _State.SERVED),
            key=lambda c: c.held_bytes,
            default=reading,
        )
        if largest is reading:
            raise Refusal(Cause.HELD_BYTES, 503, "too many large requests")
        self.server.record_refusal(
            Cause.HELD_BYTES, "closed as the largest", largest.remote_addr
        )
        largest.close()

    def _list_connections(self) -> list[_BoundedConnection]:
        with self.lock:
            return list(self.connections.values())


class BoundedServer(Server):
    """Serves a WSGI application within limits.

    ``get_limits`` is called for each request, so that limits may change.
    """

    _connections: Any

    def __init__(
        self,
        address: tuple[str, int],
        application: Callable[..., Iterable[bytes]],
        threads: int,
        backlog: int,
        get_limits: Callable[[], Limits],
        connection_limits: ConnectionLimits,
        refusals: RefusalLog,
        build_refusal: BuildRefusal,
    ) -> None:
        super().__init__(
            address,
            application,
            numthreads=threads,
            max=threads,
            request_queue_size=backlog,
            timeout=int(get_limits().idle_timeout_s),
        )
        self.get_limits = get_limits
        self.connection_limits = connection_limits
        self.refusals = refusals
        self.build_refusal = build_refusal

    def prepare(self) -> None:
        """Bind the address; raises ``OSError``."""
        super().prepare()
        self._connections.close()
        self._connections = ConnectionTable(self)

    def stop(self) -> None:
        """Stop to serve; responses under way may take ``shutdown_timeout`` s."""
        until = time.monotonic() + self.shutdown_timeout
        while self.ready and self._connections.is_writing():
            if time.monotonic() > until:
                break
            time.sleep(STOP_POLL_S)
        super().stop()

    def count_connections(self) -> int:
        """Return the number of open connections; called by any thread."""
        return len(self._connections.connections)

    def forget_connection(self, connection: _BoundedConnection) -> None:
        """Remove a connection that is being closed."""
        self._connections.forget(connection)

    def record_refusal(self, cause: Cause, reason: str, address: str) -> None:
        """Count and log a refusal."""
        self.refusals.record(cause, reason, address)

    def render_refusal(self, refusal: Refusal, header: bytes) -> bytes:
        """Return the response to a refused request."""
        headers, body = self.build_refusal(refusal, header)
        phrase = REASON_PHRASES[refusal.status]
        lines = [
            f"HTTP/1.1 {refusal.status} {phrase}",
            *(f"{name}: {value}" for name, value in headers),
            f"Content-Length: {len(body)}",
            "Connection: close",
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
