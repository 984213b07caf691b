"""Responses that are read whole, within the bounds."""

import json
from typing import Any

from urllib3 import (
    BaseHTTPResponse,
    HTTPConnectionPool,
    HTTPHeaderDict,
    PoolManager,
)

from sesameladder.response_limits._bounded_response import READ_BYTES, BoundedConnection


class BoundedConnectionPool(HTTPConnectionPool):
    """Connection pool whose responses are bounded."""

    ConnectionCls = BoundedConnection


def bound_manager(manager: PoolManager) -> PoolManager:
    """Bound the responses of a manager's HTTP connections; returns the manager."""
    manager.pool_classes_by_scheme = {"http": BoundedConnectionPool}
    return manager


class WholeResponse:
    """A response with its whole body, as it was sent."""

    __slots__ = ("data", "headers", "status")

    def __init__(self, status: int, headers: HTTPHeaderDict, data: bytes) -> None:
        self.status = status
        self.headers = headers
        """Headers; names are looked up in any case and may be repeated."""

        self.data = data

    @classmethod
    def from_stream(cls, response: BaseHTTPResponse) -> "WholeResponse":
        """Read a response that was requested with ``preload_content=False``.

        A body whose announced length is beyond all bounds is read in parts, since a
        single read would reserve memory for all of it. Content encodings stay as they
        are. Raises ``HTTPError`` of urllib3.
        """
        try:
            parts = list(response.stream(READ_BYTES, decode_content=False))
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return cls(response.status, response.headers, b"".join(parts))

    def json(self) -> Any:
        """Return the decoded body; raises ``ValueError``."""
        return json.loads(self.data)
