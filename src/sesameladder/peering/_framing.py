"""Frames on a TCP connection: a 4-byte big-endian length, then that many bytes."""

import socket
import struct

from sesameladder.peering._codec import MAX_FRAME_BYTES
from sesameladder.peering._errors import FrameInvalid

LENGTH_PREFIX = struct.Struct(">I")


def send_frame(connection: socket.socket, data: bytes) -> None:
    """Send one frame; raises ``OSError`` when the connection fails."""
    connection.sendall(LENGTH_PREFIX.pack(len(data)) + data)


def receive_frame(connection: socket.socket) -> bytes | None:
    """Return the next frame, or None at the end of the stream.

    Raises ``FrameInvalid`` for a frame of more than ``MAX_FRAME_BYTES``, and
    ``OSError`` when the connection fails.
    """
    prefix = _receive_bytes(connection, LENGTH_PREFIX.size)
    if prefix is None:
        return None
    (length,) = LENGTH_PREFIX.unpack(prefix)
    if length > MAX_FRAME_BYTES:
        raise FrameInvalid(f"frame of {length} bytes")
    return _receive_bytes(connection, length)


def _receive_bytes(connection: socket.socket, count: int) -> bytes | None:
    received = bytearray()
    while len(received) < count:
        chunk = connection.recv(min(count - len(received), 65536))
        if not chunk:
            return None
        received += chunk
    return bytes(received)
