"""Tests of the server over loopback sockets, with an application that repeats."""

import json
import socket
import time
from collections.abc import Iterable, Iterator
from threading import Event, Thread
from typing import Any

import pytest

from sesameladder.request_limits import (
    BoundedServer,
    Cause,
    ConnectionLimits,
    Limits,
    Refusal,
    RefusalLog,
)

HOST = b"Host: a\r\n"
CLOSE = b"Connection: close\r\n"
# Ends a hanging test; no check depends on the value.
HANG_LIMIT_S = 20.0
LARGE_BODY = b"x" * 16_000_000  # more than both sockets hold


class Running:
    """A server in a thread, with what it refused."""

    def __init__(self) -> None:
        self.limits = Limits(
            header_timeout_s=0.2, body_timeout_s=0.2, idle_timeout_s=HANG_LIMIT_S
        )
        self.refused: list[str] = []
        self.allowed = Event()
        self.allowed.set()
        self.server = BoundedServer(
            ("127.0.0.1", 0),
            self.answer,
            2,
            16,
            lambda: self.limits,
            ConnectionLimits(8, 8, held_bytes=64_000_000),
            RefusalLog(self.refused.append, lambda *_: None, lambda: 0.0),
            build_refusal,
        )
        self.server.prepare()
        self.thread = Thread(target=self.server.serve, daemon=True)
        self.thread.start()

    def answer(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        self.allowed.wait(HANG_LIMIT_S)
        body = environ["wsgi.input"].read()
        if environ["PATH_INFO"] == "/large":
            content = LARGE_BODY
        else:
            seen = [environ["REQUEST_METHOD"], environ["PATH_INFO"], body.decode()]
            content = json.dumps(seen).encode()
        start_response("200 OK", [("Content-Length", str(len(content)))])
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [content]

    def connect(self) -> socket.socket:
        return socket.create_connection(self.server.bind_addr, timeout=HANG_LIMIT_S)

    def exchange(self, *parts: bytes) -> bytes:
        with self.connect() as connection:
            for part in parts:
                connection.sendall(part)
            return receive_all(connection)


def build_refusal(
    refusal: Refusal, header: bytes
) -> tuple[list[tuple[str, str]], bytes]:
    return [], refusal.cause.value.encode()


def receive_all(connection: socket.socket) -> bytes:
    received = bytearray()
    while data := connection.recv(65_536):
        received += data
    return bytes(received)


@pytest.fixture
def running() -> Iterator[Running]:
    started = Running()
    yield started
    started.allowed.set()
    started.server.shutdown_timeout = 1
    started.server.stop()


POST = b"POST /p HTTP/1.1\r\n" + HOST + CLOSE
CHUNKED_BODY = b"2;x=y\r\nab\r\n1\r\nc\r\n0\r\nX-End: 1\r\n\r\n"


@pytest.mark.parametrize(
    ("parts", "answers"),
    [
        pytest.param(
            [
                b"GET /1 HTTP/1.1\r\n" + HOST + b"\r\nGET /2 HTTP/1.1\r\n",
                CLOSE + b"\r\n",
            ],
            [b'["GET", "/1", ""]', b'["GET", "/2", ""]'],
            id="pipelined",
        ),
        pytest.param(
            [b"HEAD /1 HTTP/1.1\r\n" + CLOSE + b"\r\n"],
            [b"Content-Length: 18"],
            id="HEAD",
        ),
        pytest.param(
            [b"GET /1 HTTP/1.0\r\n\r\n"], [b'["GET", "/1", ""]'], id="HTTP/1.0"
        ),
        pytest.param(
            [
                b"GET /1 HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n",
                b"GET /2 HTTP/1.0\r\n\r\n",
            ],
            [b"Connection: Keep-Alive", b'"/1"', b'"/2"'],
            id="HTTP/1.0 kept",
        ),
        pytest.param(
            [POST + b"Transfer-Encoding: chunked\r\n\r\n", CHUNKED_BODY],
            [b'["POST", "/p", "abc"]'],
            id="chunked",
        ),
        pytest.param(
            [
                b"POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                CHUNKED_BODY,
                b"GET /2 HTTP/1.1\r\n" + CLOSE + b"\r\n",
            ],
            [b'["POST", "/1", "abc"]', b'["GET", "/2", ""]'],
            id="request behind trailers",
        ),
    ],
)
def test_request_is_answered(
    running: Running, parts: list[bytes], answers: list[bytes]
) -> None:
    """Guards against an ordinary request that is answered differently than before."""
    response = running.exchange(*parts)
    position = 0
    for answer in answers:
        position = response.index(answer, position) + len(answer)
    assert response.count(b"HTTP/1.1 ") == response.count(b" 200 OK")
    assert running.refused == []


def test_body_is_sent_after_continue(running: Running) -> None:
    """Guards against a client that waits for ``100 Continue``, or gets it twice."""
    with running.connect() as connection:
        connection.sendall(POST + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        assert connection.recv(1000) == b"HTTP/1.1 100 Continue\r\n\r\n"
        connection.sendall(b"abc")
        response = receive_all(connection)
    assert response.startswith(b"HTTP/1.1 200 OK")
    assert response.endswith(b'["POST", "/p", "abc"]')


def test_limits_change_while_a_connection_is_kept(running: Running) -> None:
    """Guards against limits of a configuration that is no longer in force."""
    request = b"POST /p HTTP/1.1\r\nContent-Length: 3\r\n\r\n"
    with running.connect() as connection:
        connection.sendall(request + b"abc")
        assert b" 200 OK" in connection.recv(1000)
        running.limits = Limits(body_bytes=2)
        # The body is refused by its announced length.
        connection.sendall(request)
        assert b" 413 " in receive_all(connection)
    assert running.refused == [Cause.BODY_BYTES]


@pytest.mark.parametrize(
    ("start", "cause"),
    [
        (b"GET /1 HT", Cause.HEADER_TIMEOUT),
        (b"POST /1 HTTP/1.1\r\nContent-Length: 3\r\n\r\na", Cause.BODY_TIMEOUT),
    ],
)
def test_slow_request_is_refused(running: Running, start: bytes, cause: Cause) -> None:
    """Guards against requests that are read for ever."""
    assert b" 408 " in running.exchange(start)
    assert running.refused == [cause]


def test_unread_responses_hold_no_thread(running: Running) -> None:
    """Guards against threads that wait for clients which don't read.

    The responses are written whole once their clients read on.
    """
    request = b"GET /large HTTP/1.1\r\n" + CLOSE + b"\r\n"
    slow = [running.connect() for _ in range(3)]
    for connection in slow:
        connection.sendall(request)
    assert b'"/1"' in running.exchange(b"GET /1 HTTP/1.1\r\n" + CLOSE + b"\r\n")
    for connection in slow:
        with connection:
            assert receive_all(connection).endswith(LARGE_BODY)


def test_longest_waiting_connection_gives_way(running: Running) -> None:
    """Guards against clients that keep others out by connections that wait."""
    kept = running.connect()
    kept.sendall(b"GET /1 HTTP/1.1\r\n\r\n")
    assert b" 200 OK" in kept.recv(1000)
    waiting = [running.connect() for _ in range(12)]
    assert b" 200 OK" in running.exchange(b"GET /2 HTTP/1.1\r\n" + CLOSE + b"\r\n")
    kept.sendall(b"GET /3 HTTP/1.1\r\n\r\n")
    assert b" 200 OK" in kept.recv(1000)
    assert set(running.refused) == {Cause.ADDRESS_CONNECTIONS}
    for connection in [kept, *waiting]:
        connection.close()


def test_closed_connection_holds_no_request(running: Running) -> None:
    """Guards against memory of closed connections, which are reference cycles.

    A client that sent large bodies over connections that were closed for others took
    170 MB beyond the bound, until the next collection.
    """
    running.limits = Limits(header_timeout_s=HANG_LIMIT_S, body_timeout_s=HANG_LIMIT_S)
    with running.connect() as client:
        client.sendall(b"POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + b"x" * 8000)
        table = running.server._connections
        while not any(c.framer.held_bytes for c in table._list_connections()):
            assert running.thread.is_alive()
        (connection,) = table._list_connections()
        connection.wfile.pending += b"response"
        connection.close()
    assert connection.framer.held_bytes == 0
    assert not connection.wfile.pending


def test_stop_lets_responses_under_way_finish(running: Running) -> None:
    """Guards against a shutdown that aborts a request or waits for idle clients."""
    running.allowed.clear()
    with running.connect() as idle, running.connect() as served:
        served.sendall(b"GET /1 HTTP/1.1\r\n\r\n")
        while not any(c.request for c in list_connections(running)):
            time.sleep(0.01)
        running.server.shutdown_timeout = HANG_LIMIT_S
        stopping = Thread(target=running.server.stop)
        stopping.start()
        assert idle.recv(1) == b""
        running.allowed.set()
        assert b'"/1"' in receive_all(served)
        stopping.join(HANG_LIMIT_S)
        assert not stopping.is_alive()


def test_stop_lets_slow_clients_read(running: Running) -> None:
    """Guards against a shutdown that cuts a response which is being read."""
    with running.connect() as slow:
        slow.sendall(b"GET /large HTTP/1.1\r\n\r\n")
        while not running.server._connections.is_writing():
            time.sleep(0.01)
        running.server.shutdown_timeout = HANG_LIMIT_S
        stopping = Thread(target=running.server.stop)
        stopping.start()
        assert receive_all(slow).endswith(LARGE_BODY)
        stopping.join(HANG_LIMIT_S)
        assert not stopping.is_alive()


def list_connections(running: Running) -> list[Any]:
    return list(running.server._connections.connections.values())
