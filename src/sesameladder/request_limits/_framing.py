"""Finds the end of HTTP/1 requests in a stream of bytes, within limits.

The rules are stricter than those of cheroot, which reads the header afterwards, so
that no request is understood in two ways: a body has one length, stated once.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from sesameladder.request_limits._limits import Limits
from sesameladder.request_limits._refusals import Cause, Refusal

LINE_END = b"\r\n"
HEADER_END = b"\r\n\r\n"
LONE_LINE_FEED = re.compile(rb"(?<!\r)\n")
REQUEST_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^\x00-\x20\x7f]+) HTTP/([0-9]+)\.([0-9]+)"
)
HEADER_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*"
)
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")
CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")
# A second one of these would let two readers of a request disagree.
SINGLE_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"host"})
EXPECT_HEADER = b"expect"


class _State(Enum):
    HEADER = auto()
    BODY = auto()
    CHUNK_LINE = auto()
    CHUNK = auto()
    CHUNK_END = auto()
    TRAILERS = auto()
    COMPLETE = auto()


@dataclass(frozen=True, slots=True)
class FramedRequest:
    """A whole request."""

    header: bytes
    """Request line and header lines, with the empty line that ends them."""

    body: bytes
    """Body, without the lines of its chunks and trailers."""

    is_chunked: bool


class RequestFramer:
    """Splits one connection's bytes into requests.

    ``feed`` takes bytes in any portions. A refused request ends the connection, since
    nothing behind it can be told apart from it. Memory is bounded by the limits and
    the size of one portion; the work goes with the number of bytes and chunks.
    """

    __slots__ = (
        "body",
        "buffer",
        "chunk_count",
        "get_limits",
        "header",
        "is_chunked",
        "remaining",
        "searched",
        "skipped_line",
        "state",
        "trailer_bytes",
        "wants_continue",
    )

    def __init__(self, get_limits: Callable[[], Limits]) -> None:
        self.get_limits = get_limits
        self.buffer = bytearray()
        """What has arrived and is not yet read."""

        self._reset()

    def _reset(self) -> None:
        self.state = _State.HEADER
        self.header = b""
        self.body = bytearray()
        self.is_chunked = False
        self.remaining = 0
        self.searched = 0
        self.chunk_count = 0
        self.trailer_bytes = 0
        self.skipped_line = False
        self.wants_continue = False
        """Whether the client waits for ``100 Continue`` before it sends the body."""

    @property
    def is_complete(self) -> bool:
        """Whether ``take`` returns a request."""
        return self.state is _State.COMPLETE

    @property
    def is_idle(self) -> bool:
        """Whether nothing of the next request has arrived."""
        return self.state is _State.HEADER and not self.buffer

    @property
    def is_reading_header(self) -> bool:
        """Whether the header of the next request isn't complete."""
        return self.state is _State.HEADER

    @property
    def held_bytes(self) -> int:
        """Number of bytes in memory."""
        return len(self.buffer) + len(self.header) + len(self.body)

    def feed(self, data: bytes) -> None:
        """Take the next bytes; raises ``Refusal``."""
        self.buffer += data
        if self.state is not _State.COMPLETE:
            self._advance()

    def take(self) -> FramedRequest:
        """Return the complete request and begin with the next one."""
        request = FramedRequest(self.header, bytes(self.body), self.is_chunked)
        self._reset()
        return request

    def _advance(self) -> None:
        if self.state is _State.HEADER and not self._read_header():
            return
        if self.state is _State.BODY:
            self._read_body()
        elif self.state is not _State.COMPLETE:
            self._read_chunks()

    # Header ----------------------------------------------------------------

    def _read_header(self) -> bool:
        """Read the header; returns False if it has not arrived yet."""
        limits = self.get_limits()
        buffer = self.buffer
        if not self.skipped_line and buffer.startswith(LINE_END):
            # Old clients send an empty line behind a body.
            del buffer[:2]
            self.skipped_line = True
            self.searched = 0
        if buffer.startswith(LINE_END):
            raise Refusal(Cause.MALFORMED, 400, "empty request line")
        end = buffer.find(HEADER_END, max(0, self.searched - 3))
        if LONE_LINE_FEED.search(
            buffer, self.searched, end if end >= 0 else len(buffer)
        ):
            # The byte before the searched part is seen by the look-behind.
            raise Refusal(Cause.MALFORMED, 400, "HTTP requires CRLF terminators")
        size = end + len(HEADER_END) if end >= 0 else len(buffer)
        if size > limits.header_bytes:
            line_end = buffer.find(LINE_END)
            if line_end < 0 or line_end > limits.header_bytes:
                raise Refusal(Cause.REQUEST_LINE, 414, "request line is too long")
            raise Refusal(Cause.HEADER_BYTES, 431, "header is too large")
        if end < 0:
            self.searched = len(buffer)
            return False
        self.header = bytes(buffer[:size])
        del buffer[:size]
        self._interpret_header(limits)
        return True

    def _interpret_header(self, limits: Limits) -> None:
        request_line, *lines = self.header[: -len(HEADER_END)].split(LINE_END)
        is_http_1_1 = _read_version(request_line) == (1, 1)
        if len(lines) > limits.header_lines:
            raise Refusal(Cause.HEADER_LINES, 431, "header has too many lines")
        values = _read_header_lines(lines)
        length_text = values.get(b"content-length")
        encoding = values.get(b"transfer-encoding")
        self.wants_continue = values.get(EXPECT_HEADER) == b"100-continue"
        if encoding is not None:
            if length_text is not None or not is_http_1_1:
                raise Refusal(Cause.MALFORMED, 400, "the body's length is ambiguous")
            if encoding.lower() != b"chunked":
                raise Refusal(Cause.UNSUPPORTED, 501, "unknown transfer encoding")
            self.is_chunked = True
            self.state = _State.CHUNK_LINE
            return
        length = 0
        if length_text is not None:
            if not CONTENT_LENGTH.fullmatch(length_text):
                raise Refusal(Cause.MALFORMED, 400, "malformed Content-Length")
            length = int(length_text)
        if length > limits.body_bytes:
            raise Refusal(Cause.BODY_BYTES, 413, "body is too large")
        self.remaining = length
        self.state = _State.BODY if length else _State.COMPLETE

    # Body ------------------------------------------------------------------

    def _read_body(self) -> None:
        part = self.buffer[: self.remaining]
        self.body += part
        del self.buffer[: len(part)]
        self.remaining -= len(part)
        if self.remaining == 0:
            self.state = _State.COMPLETE

    def _read_chunks(self) -> None:
        limits = self.get_limits()
        position = 0
        while self.state is not _State.COMPLETE:
            next_position = self._read_chunk_part(position, limits)
            if next_position is None:
                break
            position = next_position
        del self.buffer[:position]

    def _read_chunk_part(self, position: int, limits: Limits) -> int | None:
        """Read on from a position; returns the next one, or None if bytes lack."""
        buffer = self.buffer
        if self.state is _State.CHUNK:
            part = buffer[position : position + self.remaining]
            self.body += part
            self.remaining -= len(part)
            if self.remaining == 0:
                self.state = _State.CHUNK_END
            return position + len(part) if part else None
        if self.state is _State.CHUNK_END:
            end = bytes(buffer[position : position + 2])
            if not LINE_END.startswith(end):
                raise Refusal(Cause.MALFORMED, 400, "chunk is longer than its size")
            if len(end) < len(LINE_END):
                return None
            self.state = _State.CHUNK_LINE
            return position + 2
        is_trailer = self.state is _State.TRAILERS
        room = (
            limits.trailer_bytes - self.trailer_bytes
            if is_trailer
            else limits.chunk_line_bytes
        )
        end_position = buffer.find(b"\n", position, position + room)
        if end_position < 0:
            if len(buffer) - position < room:
                return None
            if is_trailer:
                raise Refusal(Cause.TRAILERS, 431, "trailers are too large")
            raise Refusal(Cause.CHUNK_LINE, 400, "chunk-size line is too long")
        line = bytes(buffer[position : end_position + 1])
        if not line.endswith(LINE_END):
            raise Refusal(Cause.MALFORMED, 400, "HTTP requires CRLF terminators")
        if is_trailer:
            self._read_trailer(line)
        else:
            self._read_chunk_line(line, limits)
        return end_position + 1

    def _read_chunk_line(self, line: bytes, limits: Limits) -> None:
        match = CHUNK_LINE.fullmatch(line, 0, len(line) - len(LINE_END))
        if match is None:
            raise Refusal(Cause.MALFORMED, 400, "malformed chunk size")
        size = int(match[1], 16)
        self.chunk_count += 1
        if self.chunk_count > limits.chunks:
            raise Refusal(Cause.CHUNKS, 413, "body has too many chunks")
        if len(self.body) + size > limits.body_bytes:
            raise Refusal(Cause.BODY_BYTES, 413, "body is too large")
        self.remaining = size
        self.state = _State.CHUNK if size else _State.TRAILERS

    def _read_trailer(self, line: bytes) -> None:
        self.trailer_bytes += len(line)
        if line == LINE_END:
            self.state = _State.COMPLETE
        elif not HEADER_LINE.fullmatch(line, 0, len(line) - len(LINE_END)):
            raise Refusal(Cause.MALFORMED, 400, "malformed trailer line")


def _read_version(request_line: bytes) -> tuple[int, int]:
    match = REQUEST_LINE.fullmatch(request_line)
    if match is None:
        raise Refusal(Cause.MALFORMED, 400, "malformed request line")
    if match[3] != b"1" or match[4] not in (b"0", b"1"):
        raise Refusal(Cause.UNSUPPORTED, 505, "HTTP version is not supported")
    return int(match[3]), int(match[4])


def _read_header_lines(lines: list[bytes]) -> dict[bytes, bytes]:
    """Return the headers that frame the request; raises ``Refusal``.

    A name with ``_`` for ``-`` would reach the application as the same variable.
    """
    values: dict[bytes, bytes] = {}
    for line in lines:
        match = HEADER_LINE.fullmatch(line)
        if match is None:
            raise Refusal(Cause.MALFORMED, 400, "malformed header line")
        name = match[1].lower()
        variable = name.replace(b"_", b"-")
        if variable in SINGLE_HEADERS:
            if variable != name or name in values:
                raise Refusal(Cause.MALFORMED, 400, "a header occurs twice")
            values[name] = match[2]
        elif name == EXPECT_HEADER:
            values[name] = match[2]
    return values
