"""Bounds on what a process reads as a client, from peers of all kinds.

``BoundedConnectionPool`` and ``bound_manager`` give the bounds to urllib3;
``WholeResponse`` reads a response under them. Their errors are urllib3's, and
``find_excess`` tells whether one stands for a response beyond the bounds.
"""

from sesameladder.response_limits._bounded_response import ResponseExcess, find_excess
from sesameladder.response_limits._whole_response import (
    BoundedConnectionPool,
    WholeResponse,
    bound_manager,
)

__all__ = [
    "BoundedConnectionPool",
    "ResponseExcess",
    "WholeResponse",
    "bound_manager",
    "find_excess",
]
