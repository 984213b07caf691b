"""Reasons to refuse a request or to close a connection, and their log."""

from collections.abc import Callable
from enum import StrEnum
from threading import Lock

LOG_INTERVAL_S = 10.0  # between two log lines of one server about one cause


class Cause(StrEnum):
    """Why a request is refused or a connection closed."""

    REQUEST_LINE = "request_line"
    HEADER_BYTES = "header_bytes"
    HEADER_LINES = "header_lines"
    CHUNK_LINE = "chunk_line"
    CHUNKS = "chunks"
    TRAILERS = "trailers"
    BODY_BYTES = "body_bytes"
    MALFORMED = "malformed"
    UNSUPPORTED = "unsupported"
    INCOMPLETE = "incomplete"
    HEADER_TIMEOUT = "header_timeout"
    BODY_TIMEOUT = "body_timeout"
    RESPONSE_TIMEOUT = "response_timeout"
    CONNECTIONS = "connections"
    ADDRESS_CONNECTIONS = "address_connections"
    HELD_BYTES = "held_bytes"


REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


class Refusal(Exception):
    """A request is refused before it is passed on, so nothing of it has run."""

    def __init__(self, cause: Cause, status: int, reason: str) -> None:
        super().__init__(reason)
        self.cause = cause
        self.status = status
        self.reason = reason


class RefusalLog:
    """Counts refusals and logs each cause at a bounded rate; thread-safe.

    ``count`` gets the cause of each refusal. ``log`` gets a cause, the latest reason
    and address, and the number of refusals since the line before.
    """

    __slots__ = ("count", "lock", "log", "logged_at", "now", "unlogged")

    def __init__(
        self,
        count: Callable[[str], None],
        log: Callable[[str, str, str, int], None],
        now: Callable[[], float],
    ) -> None:
        self.count = count
        self.log = log
        self.now = now
        self.logged_at: dict[Cause, float] = {}
        self.unlogged: dict[Cause, int] = {}
        self.lock = Lock()

    def record(self, cause: Cause, reason: str, address: str) -> None:
        """Count a refusal, and log it if its cause has not been logged lately."""
        self.count(cause.value)
        now = self.now()
        with self.lock:
            number = self.unlogged.get(cause, 0) + 1
            self.unlogged[cause] = number
            logged_at = self.logged_at.get(cause)
            if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
                return
            self.logged_at[cause] = now
            self.unlogged[cause] = 0
        self.log(cause.value, reason, address, number)
