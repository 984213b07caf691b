"""Bounds on the size and the duration of what a peer answers.

The bounds are kept where bytes leave the socket, so they hold for status line,
headers, interim responses, chunk lines, body and trailers alike.
"""

import io
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from http.client import HTTPException, HTTPResponse
from threading import Lock
from typing import Any

from urllib3.connection import HTTPConnection

# A page of the store is up to 1 MB, of which base64 makes 1.4 MB; the list of 12,000
# VMs has about 2 MB.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Of all responses under way, each counted from UNCOUNTED_BYTES on. A VM has 200 MB.
MAX_RESPONSES_BYTES = 32 * 1024 * 1024
UNCOUNTED_BYTES = 65_536  # so that ordinary responses need no lock
READ_BYTES = 65_536
# Beyond the time limit of a call, which holds for each single read. At 5 Mbit/s a
# response of 2 MB takes 3.2 s.
MAX_TRANSFER_S = 10.0
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s


class ResponseExcess(HTTPException):
    """A response is larger or slower than any sound peer's."""


class ResponseMemory:
    """Bytes of large responses that are being read; thread-safe."""

    __slots__ = ("held_bytes", "lock", "max_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.lock = Lock()

    def add(self, size: int) -> None:
        """Count more bytes; raises ``ResponseExcess``."""
        with self.lock:
            self.held_bytes += size
            is_over = self.held_bytes > self.max_bytes
        if is_over:
            raise ResponseExcess("too many large responses at the same time")

    def remove(self, size: int) -> None:
        """Stop to count bytes of a response that has been read or given up."""
        with self.lock:
            self.held_bytes -= size


MEMORY = ResponseMemory(MAX_RESPONSES_BYTES)


class _BoundedStream(io.RawIOBase):
    """Socket stream of one response."""

    def __init__(self, stream: Any, sock: socket.socket) -> None:
        super().__init__()
        self.stream = stream
        self.sock = sock
        self.read_timeout_s = sock.gettimeout() or MAX_TRANSFER_S
        self.deadline = time.monotonic() + self.read_timeout_s + MAX_TRANSFER_S
        self.size = 0
        self.counted_bytes = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read at most ``len(buffer)`` bytes; raises ``ResponseExcess``."""
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise ResponseExcess("response takes too long")
        if remaining_s < self.read_timeout_s:
            self.sock.settimeout(remaining_s)
        size: int | None = self.stream.readinto(buffer)
        self.size += size or 0
        if self.size > MAX_RESPONSE_BYTES:
            raise ResponseExcess(f"response of over {MAX_RESPONSE_BYTES} bytes")
        if size and self.size > UNCOUNTED_BYTES:
            self.counted_bytes += size
            MEMORY.add(size)
        return size

    def close(self) -> None:
        """Close the stream."""
        if not self.closed:
            MEMORY.remove(self.counted_bytes)
            self.stream.close()
        super().close()


class _BoundedResponse(HTTPResponse):
    def __init__(
        self,
        sock: socket.socket,
        *args: Any,
        on_begun: Callable[[], None],
        **kwargs: Any,
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = io.BufferedReader(_BoundedStream(self.fp.detach(), sock))
        self.on_begun = on_begun

    def begin(self) -> None:
        """Read the status line and the headers."""
        super().begin()
        self.on_begun()


class BoundedConnection(HTTPConnection):
    """Connection whose responses end with ``ResponseExcess`` beyond the bounds.

    It is reset if it is closed before a response has begun. After an ordinary close the
    operating system would go on to deliver the request, seconds later if the network
    was cut, behind newer calls of this process or of another one.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.is_unanswered = False
        """Whether a request was sent, at least in part, and no response has begun."""

        # http.client calls it like a class.
        self.response_class = partial(  # type: ignore[assignment]
            _BoundedResponse, on_begun=self._record_response
        )

    def request(self, *args: Any, **kwargs: Any) -> None:
        """Send a request."""
        self.is_unanswered = True
        super().request(*args, **kwargs)

    def close(self) -> None:
        """Close the connection, or reset it if a request is unanswered."""
        if self.is_unanswered and self.sock is not None:
            with suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.is_unanswered = False
        super().close()

    def _record_response(self) -> None:
        self.is_unanswered = False


def find_excess(error: BaseException) -> ResponseExcess | None:
    """Return the excess that an error of urllib3 stands for, if any."""
    seen: list[BaseException] = []
    while error not in seen:
        if isinstance(error, ResponseExcess):
            return error
        seen.append(error)
        causes = [
            getattr(error, "reason", None),
            *error.args,
            error.__cause__,
            error.__context__,
        ]
        error = next((c for c in causes if isinstance(c, BaseException)), error)
    return None
