"""The stand-ins reject malformed bytes on a connection and keep serving."""

import contextlib
import socket
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameladder.settings import (
    PlatformStandinSettings,
    UpstreamSettings,
    UpstreamStandinSettings,
)
from sesameladder.standins.platform import PlatformStandin
from sesameladder.standins.upstream import UpstreamStandin

FUZZING = settings(derandomize=True, database=None, deadline=None, max_examples=120)
ACCEPTED = (b"200", b"202", b"204")

# Leaves out valid run times above 0, which the test would have to wait for.
NUMBERS = st.one_of(
    st.integers(-(10**20), 0).map(str),
    st.integers(10**9, 10**20).map(str),
    st.sampled_from(["", "1e3", "0x10", "+1", " 1", "1.5", "NaN", "\u0661", "9" * 400]),
)
HEADER_NAMES = st.sampled_from(
    ["Work-Ms", "Task-Lease-Ms", "Task-Resume", "Task-Id", "From-Zone", "Host", "X", ""]
)
HEADER_VALUES = NUMBERS | st.text(max_size=20) | st.just("a" * 17_000)
VERSIONS = st.sampled_from(["HTTP/1.1", "HTTP/1.0", "HTTP/9", ""])
METHODS = st.sampled_from(["GET", "PUT", "POST", "DELETE", "get", "PRI", "", "G T"])
PATHS = st.one_of(
    NUMBERS.map(lambda number: f"/v1/kv/a?expected={number}"),
    NUMBERS.map(lambda number: f"/v1/kv/a?expected=1&lease={number}"),
    NUMBERS.map(lambda number: f"/v1/watch/b?after=1&timeout_ms=-{number}"),
    NUMBERS.map(lambda number: f"/v1/leases/{number}x/keepalive"),
    NUMBERS.map(lambda number: f"/-/tasks/t/renew?lease_ms={number}"),
    NUMBERS.map(lambda number: f"/-/tasks/t/throttle?share={number}"),
    st.sampled_from(["/faults", "/vms", "/-/faults", "/-/tasks", "/%zz", "*", "x"]),
    st.text(max_size=20),
)
BODIES = st.binary(max_size=40) | st.sampled_from(
    [b'{"mode": 1}', b'{"mode": "slow", "delay_ms": -1}', b"[[[", b"5\r\nab"]
)
LENGTHS = st.sampled_from(
    [
        "",
        "Content-Length: 1000\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 99999999\r\n",
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\n",
    ]
)


@st.composite
def requests(draw: st.DrawFn) -> bytes:
    headers = draw(st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES), max_size=3))
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    line = f"{draw(METHODS)} {draw(PATHS)} {draw(VERSIONS)}\r\n"
    head = f"{line}{lines}{draw(LENGTHS)}\r\n"
    return head.encode("utf-8", "surrogatepass") + draw(BODIES)


@pytest.fixture(scope="module")
def platform() -> Iterator[PlatformStandin]:
    server = PlatformStandin(PlatformStandinSettings("127.0.0.1:0"))
    server.start()
    yield server
    server.stop()


@pytest.fixture(scope="module")
def upstream() -> Iterator[UpstreamStandin]:
    row = UpstreamSettings("worker-1", "127.0.0.1:0")
    server = UpstreamStandin(row, UpstreamStandinSettings((row,), default_work_ms=0))
    server.start()
    yield server
    server.stop()


def exchange(address: str, data: bytes) -> bytes:
    """Send bytes, close the sending side and return all received bytes.

    The server may close the connection while the bytes are being sent.
    """
    host, _, port = address.rpartition(":")
    received: list[bytes] = []
    with socket.create_connection((host, int(port))) as connection:
        with contextlib.suppress(OSError):
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionResetError):
            received.extend(iter(lambda: connection.recv(65_536), b""))
    return b"".join(received)


def get(address: str, path: str) -> bytes:
    request = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    return exchange(address, request.encode())


@FUZZING
@given(data=requests())
def test_platform(platform: PlatformStandin, data: bytes) -> None:
    """Guards against rejected input that writes, and input that stops the stand-in."""
    before = platform.store.store.revision
    response = exchange(platform.address, data)
    accepted = any(b" " + status in response for status in ACCEPTED)
    assert accepted or platform.store.store.revision == before
    assert b" 500 " not in response
    assert get(platform.address, "/counters").startswith(b"HTTP/1.1 200")


@FUZZING
@given(data=requests())
def test_upstream(upstream: UpstreamStandin, data: bytes) -> None:
    """Guards against rejected input that runs, and input that stops the stand-in."""
    before = sum(upstream.worker.counters.runs_by_request.values())
    response = exchange(upstream.address, data)
    accepted = any(b" " + status in response for status in ACCEPTED)
    assert accepted or sum(upstream.worker.counters.runs_by_request.values()) == before
    assert b" 500 " not in response
    assert get(upstream.address, "/-/health").startswith(b"HTTP/1.1 200")


def test_truncated_body_is_not_written(platform: PlatformStandin) -> None:
    """Guards against storing a value that a broken connection truncated."""
    head = b"PUT /v1/kv/cut?expected=0 HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"
    assert b" 400 " in exchange(platform.address, head + b"half")
    assert b" 404 " in get(platform.address, "/v1/kv/cut")


def test_head_has_no_body(upstream: UpstreamStandin) -> None:
    """Guards against a body that clients parse as the start of the next response."""
    requests = b"HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n"
    requests += b"GET /-/health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    responses = exchange(upstream.address, requests).split(b"\r\n\r\n")
    assert len(responses) == 3
    assert b"application/json" in responses[0]
    assert responses[1].startswith(b"HTTP/1.1 200")
