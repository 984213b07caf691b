"""Clients whose messages never end, for tests of processes on loopback.

Crowd sizes and bounds are fixed; they come from the smallest VM of a deployment
(200 MB of memory, 4,100 descriptors), not from what a process happens to need.
"""

import json
import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

ENDLESS_CLIENTS = 6
ENDLESS_BYTES = 60_000_000  # sent by each client unless its connection ends before
WAITING_CLIENTS = 60  # more than the threads of any of the servers
OPEN_CLIENTS = 500
MAX_MEMORY_KB = 120_000  # a process idles at 32 MB, a VM has 200 MB
MAX_DESCRIPTORS = 400  # more than the waiting clients need, fewer than 500 open ones
# Ends a hanging run; no check depends on the value.
HANG_LIMIT_S = 20.0
SEND_LIMIT_S = 5.0
SENDING_S = 15.0  # after this, a client that the server reads slowly gives up


@dataclass(frozen=True)
class Input:
    """What one client sends: a start, then a block until ``ENDLESS_BYTES``.

    Each ``%d`` in the block becomes the number of times that it was sent before.
    """

    name: str
    start: bytes
    block: bytes

    def __str__(self) -> str:
        return self.name


CHUNKED_START = (
    b"POST /jobs/00000000000000c1 HTTP/1.1\r\nHost: chair.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
HEADER_START = b"GET /jobs/ HTTP/1.1\r\nHost: chair.example\r\n"
BODY_START = (
    b"POST /jobs/00000000000000c2 HTTP/1.1\r\nHost: chair.example\r\nContent-Length: "
)
HTTP_INPUTS = (
    Input("trailer line", CHUNKED_START + b"1\r\nx\r\n0\r\nX-End: ", b"x" * 65_536),
    Input("chunk-size line", CHUNKED_START + b"1;", b"x" * 65_536),
    Input("request line", b"GET /", b"x" * 65_536),
    Input("chunks", CHUNKED_START, (b"1000\r\n" + b"x" * 4096 + b"\r\n") * 16),
    Input("small chunks", CHUNKED_START, b"1\r\nx\r\n" * 10_000),
    Input("header lines", HEADER_START, b"X-Line: value\r\n" * 4000),
    Input(
        "different header lines",
        HEADER_START,
        b"".join(b"X-Line-%04d-%%d: value\r\n" % n for n in range(3000)),
    ),
    Input("one header line", HEADER_START + b"X-Line: ", b"x" * 65_536),
    Input("trailer lines", CHUNKED_START + b"0\r\n", b"X-Line: value\r\n" * 4000),
    Input("announced body", BODY_START + b"90000000000\r\n\r\n", b"x" * 65_536),
    Input("empty lines", b"", b"\r\n" * 32_768),
    Input("pipelined requests", b"", HEADER_START + b"\r\n" + HEADER_START + b"\r\n"),
)
WAITING_HTTP_STARTS = {
    "body": BODY_START + b"100\r\n\r\nx",
    "header": HEADER_START + b"X-Line: ",
    "chunk": CHUNKED_START + b"5\r\nx",
    "nothing": b"",
}


def connect(address: str) -> socket.socket:
    """Return a connection to ``host:port`` whose calls end after a limit."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=SEND_LIMIT_S)


def send_endless(address: str, sent: Input) -> None:
    """Send an input without end until a limit, or until the server ends it."""
    until = time.monotonic() + SENDING_S
    with connect(address) as connection, suppress(OSError):
        connection.sendall(sent.start)
        for number in range(ENDLESS_BYTES // len(sent.block)):
            connection.sendall(sent.block.replace(b"%d", b"%d" % number))
            if time.monotonic() > until:
                return


@contextmanager
def open_connections(address: str, count: int, start: bytes) -> Iterator[None]:
    """Keep connections open that have sent a start and send nothing more."""
    with ExitStack() as stack:
        for _ in range(count):
            with suppress(OSError):
                connection = stack.enter_context(connect(address))
                connection.sendall(start)
        yield


def request_once(address: str, request: bytes) -> tuple[int, bytes]:
    """Send one request over its own connection; returns status and what follows."""
    with connect(address) as connection:
        connection.settimeout(HANG_LIMIT_S)
        connection.sendall(request)
        received = bytearray()
        while data := connection.recv(65_536):
            received += data
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), body


def build_get(path: str) -> bytes:
    """Return a GET request that ends its connection."""
    head = f"GET {path} HTTP/1.1\r\nHost: chair.example\r\nConnection: close\r\n\r\n"
    return head.encode()


def build_submit(job: str, body: object) -> bytes:
    """Return the submission of a job that ends its connection."""
    data = json.dumps(body).encode()
    head = (
        f"POST /jobs/{job} HTTP/1.1\r\nHost: chair.example\r\nConnection: close\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


def read_peak_memory_kb(pid: int) -> int:
    """Return the largest resident memory that a process has had, in KB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise AssertionError(f"process {pid} shows no VmHWM")


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
