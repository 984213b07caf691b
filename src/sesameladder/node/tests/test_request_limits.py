"""Tests of the limits that a node takes from its configuration."""

import json
import socket
from collections.abc import Iterator
from threading import Thread
from typing import Any

import pytest

from sesameladder.jobs import Configuration, RequestLimits
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._configuration_task import ConfirmedConfiguration
from sesameladder.node._http_servers import ConfiguredLimits, JobApiServer
from sesameladder.request_limits import Limits

DEFAULTS = Limits()


def build_configuration(limits: RequestLimits, max_body_bytes: int) -> Configuration:
    return Configuration(1, (), {}, max_body_bytes, limits=limits)


@pytest.mark.parametrize(
    ("named", "expected"),
    [
        (RequestLimits(), Limits(body_bytes=7)),
        (RequestLimits(header_bytes=900), Limits(header_bytes=900, body_bytes=7)),
        (
            RequestLimits(header_timeout_s=0.5, idle_timeout_s=2.0),
            Limits(body_bytes=7, header_timeout_s=0.5, idle_timeout_s=2.0),
        ),
    ],
)
def test_configuration_names_limits(named: RequestLimits, expected: Limits) -> None:
    """Guards against limits of an earlier configuration, or none without one."""
    current: list[Configuration | None] = [None]
    limits = ConfiguredLimits(lambda: current[0])
    assert limits.read() == DEFAULTS
    current[0] = build_configuration(named, 7)
    assert limits.read() == expected
    current[0] = build_configuration(RequestLimits(), 8)
    assert limits.read() == Limits(body_bytes=8)


@pytest.fixture
def api() -> Iterator[JobApiServer]:
    intake: Any = None  # no request gets that far
    configuration = build_configuration(RequestLimits(header_bytes=300), 100)
    confirmed = ConfirmedConfiguration(configuration, read_steady_clock())
    server = JobApiServer("127.0.0.1:0", "n", intake, lambda: confirmed, lambda: 5.0)
    server.prepare()
    Thread(target=server.serve, daemon=True).start()
    yield server
    server.stop()


@pytest.mark.parametrize(
    ("request_start", "status"),
    [
        (b"POST /j HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413),
        (b"POST /j HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n", 413),
        (b"GET /j HTTP/1.1\r\nA: " + b"x" * 300, 431),
        (b"POST /j HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
    ],
)
def test_refusal_says_that_nothing_has_run(
    api: JobApiServer, request_start: bytes, status: int
) -> None:
    """Guards against callers that can't tell whether a refused request has run."""
    with socket.create_connection(api.server.bind_addr, timeout=20) as connection:
        connection.sendall(request_start)
        received = bytearray()
        while data := connection.recv(65_536):
            received += data
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    assert int(head.split(b" ")[1]) == status
    assert json.loads(body)["has_run"] is False
