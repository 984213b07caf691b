"""Frames on a TCP connection: a 4-byte big-endian length, then that many bytes."""

import select
import socket
import struct
import time
from threading import Lock

from sesameladder.peering._codec import MAX_FRAME_BYTES
from sesameladder.peering._errors import FrameInvalid

RECEIVE_BYTES = 65_536
UNCOUNTED_BYTES = 65_536  # so that ordinary frames need no lock
LENGTH_PREFIX = struct.Struct(">I")


def send_frame(connection: socket.socket, data: bytes) -> None:
    """Send one frame; raises ``OSError`` when the connection fails."""
    connection.sendall(LENGTH_PREFIX.pack(len(data)) + data)


class FrameMemory:
    """Bytes of large frames that are being received; thread-safe."""

    __slots__ = ("held_bytes", "lock", "max_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.lock = Lock()

    def add(self, size: int) -> None:
        """Count more bytes; raises ``FrameInvalid`` beyond the limit."""
        with self.lock:
            if self.held_bytes + size > self.max_bytes:
                raise FrameInvalid("too many large frames at the same time")
            self.held_bytes += size

    def remove(self, size: int) -> None:
        """Stop to count bytes."""
        with self.lock:
            self.held_bytes -= size


def receive_frame(
    connection: socket.socket,
    timeout_s: float | None = None,
    memory: FrameMemory | None = None,
) -> bytearray | None:
    """Return the next frame, or None at the end of the stream.

    ``timeout_s`` bounds the time for the whole frame. Raises ``FrameInvalid`` for a
    frame of more than ``MAX_FRAME_BYTES``, and ``OSError`` when the connection fails
    or the time has passed.
    """
    deadline = None if timeout_s is None else time.monotonic() + timeout_s
    prefix = _receive_bytes(connection, LENGTH_PREFIX.size, deadline, None)
    if prefix is None:
        return None
    (length,) = LENGTH_PREFIX.unpack(prefix)
    if length > MAX_FRAME_BYTES:
        raise FrameInvalid(f"frame of {length} bytes")
    return _receive_bytes(connection, length, deadline, memory)


def await_data(connection: socket.socket, timeout_s: float | None) -> None:
    """Wait until a connection can be read; raises ``OSError``."""
    descriptor = connection.fileno()
    if descriptor < 0:
        raise OSError("the connection is closed")
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    if not poll.poll(None if timeout_s is None else max(0.0, timeout_s) * 1000):
        raise TimeoutError("nothing arrives")


def _receive_bytes(
    connection: socket.socket,
    count: int,
    deadline: float | None,
    memory: FrameMemory | None,
) -> bytearray | None:
    received = bytearray()
    counted_bytes = 0
    try:
        while len(received) < count:
            if deadline is not None:
                await_data(connection, deadline - time.monotonic())
            chunk = connection.recv(min(count - len(received), RECEIVE_BYTES))
            if not chunk:
                return None
            if memory is not None and len(received) >= UNCOUNTED_BYTES:
                memory.add(len(chunk))
                counted_bytes += len(chunk)
            received += chunk
        return received  # a copy would take as much memory again
    finally:
        if memory is not None and counted_bytes:
            memory.remove(counted_bytes)
