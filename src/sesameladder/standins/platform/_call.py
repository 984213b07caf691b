"""Representation of one call of the platform's HTTP API."""

from dataclasses import dataclass

from sesameladder.standins._http import Handler
from sesameladder.standins.platform._rates import CallKind


@dataclass(frozen=True, slots=True)
class Call:
    """Operation that a request asks for."""

    operation: str
    """Name under which the call is counted, such as ``get`` or ``watch``."""

    kind: CallKind
    """Rate limit that the call counts against."""

    handler: Handler
    """Function that executes the call and returns the response."""
