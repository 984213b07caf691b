"""Limits of what clients send, and an HTTP server that keeps them.

``RequestFramer`` decides, without network or clock, where a request ends and whether
it is refused. ``BoundedServer`` reads requests as they arrive, without a thread for
each connection, and passes whole requests to the threads of cheroot.
"""

from sesameladder.request_limits._decoding import (
    MAX_CONTAINERS,
    DecodingGate,
    count_containers,
)
from sesameladder.request_limits._framing import FramedRequest, RequestFramer
from sesameladder.request_limits._limits import ConnectionLimits, Limits
from sesameladder.request_limits._refusals import Cause, Refusal, RefusalLog
from sesameladder.request_limits._server import BoundedServer

__all__ = [
    "MAX_CONTAINERS",
    "BoundedServer",
    "Cause",
    "ConnectionLimits",
    "DecodingGate",
    "FramedRequest",
    "Limits",
    "Refusal",
    "RefusalLog",
    "RequestFramer",
    "count_containers",
]
