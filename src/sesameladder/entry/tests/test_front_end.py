"""Tests of malformed requests and graceful shutdown over a loopback socket."""

import socket
from collections.abc import Iterator
from threading import Event, Thread

import pytest

from sesameladder.entry._front_end import FrontEnd
from sesameladder.entry._request import CallerRequest
from sesameladder.idempotency import Done, Outcome
from sesameladder.observability import Metrics
from sesameladder.peering import split_address

MAX_BODY_BYTES = 1024
TIMEOUT_S = 30.0


class Service:
    """Records requests and responds to them while ``allowed`` is set."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.arrived = Event()
        self.allowed = Event()
        self.allowed.set()

    def serve(self, request: CallerRequest) -> Outcome:
        self.requests.append(request)
        self.arrived.set()
        self.allowed.wait(TIMEOUT_S)
        return Done(200, (("X-Own", "1"),), request.body)


@pytest.fixture
def service() -> Service:
    return Service()


@pytest.fixture
def front_end(service: Service) -> Iterator[FrontEnd]:
    front = FrontEnd(
        "127.0.0.1:0", 4, "e", MAX_BODY_BYTES, 5_000.0, service.serve,
        lambda: "token", lambda: True, Metrics(None),
    )  # fmt: skip
    front.prepare()
    Thread(target=front.serve, daemon=True).start()
    yield front
    service.allowed.set()
    front.stop(0)


def get_address(front: FrontEnd) -> tuple[str, int]:
    host, port = front.server.bind_addr
    return split_address(f"{host}:{port}")


def exchange(front: FrontEnd, data: bytes) -> bytes:
    with socket.create_connection(get_address(front), timeout=TIMEOUT_S) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := sock.recv(65536):
            received += chunk
    return received


def build_post(headers: str, body: bytes) -> bytes:
    return f"POST /pools/p/x HTTP/1.1\r\nHost: h\r\n{headers}\r\n".encode() + body


@pytest.mark.parametrize(
    ("data", "status", "outcome"),
    [
        (build_post("Content-Length: 9\r\n", b"half"), b"400", b"not-run"),
        (
            build_post("Content-Length: 9\r\nIdempotency-Key: k\r\n", b"half"),
            b"400",
            b"unknown",
        ),
        (build_post("Content-Length: 2000\r\n", b"x" * 2000), b"413", None),
        (
            build_post("Sesameladder-Urgent: maybe\r\nContent-Length: 0\r\n", b""),
            b"400",
            None,
        ),
        (b"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n", b"400", b"not-run"),
        (b"\x00\xff\r\n\r\n", b"400", None),
    ],
)
def test_malformed_requests_are_refused(
    front_end: FrontEnd,
    service: Service,
    data: bytes,
    status: bytes,
    outcome: bytes | None,
) -> None:
    """Guards against the execution of an incomplete or invalid request.

    The server must serve valid requests afterwards.
    """
    response = exchange(front_end, data)
    assert response.split(b" ")[1] == status
    if outcome is not None:
        assert b"Sesameladder-Outcome: " + outcome in response
    assert service.requests == []
    assert b" 200 " in exchange(front_end, build_post("Content-Length: 2\r\n", b"ok"))


def test_head_has_no_body(front_end: FrontEnd) -> None:
    """Guards against a body that the caller reads as the next response."""
    request = b"HEAD /pools/p/x HTTP/1.1\r\nHost: h\r\nSesameladder-Urgent: no\r\n\r\n"
    response = exchange(front_end, request)
    assert response.endswith(b"\r\n\r\n")


def test_draining_waits_for_requests_in_flight(
    front_end: FrontEnd, service: Service
) -> None:
    """Guards against a graceful shutdown that aborts a request in flight."""
    service.allowed.clear()
    responses: list[bytes] = []
    data = build_post("Content-Length: 2\r\n", b"ok")
    caller = Thread(target=lambda: responses.append(exchange(front_end, data)))
    caller.start()
    assert service.arrived.wait(TIMEOUT_S)
    front_end.start_draining()
    assert not front_end.wait_until_idle(0.0)
    health = exchange(front_end, b"GET /-/health HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b" 503 " in health
    service.allowed.set()
    assert front_end.wait_until_idle(TIMEOUT_S)
    caller.join(TIMEOUT_S)
    assert b" 200 " in responses[0]
    assert b"Connection: close" in responses[0]
