"""One call of the platform's HTTP API."""

from dataclasses import dataclass

from sesameladder.standins._http import Handler
from sesameladder.standins.platform._rates import CallKind


@dataclass(frozen=True, slots=True)
class Call:
    """What a request asks for."""

    operation: str
    """Name under which the call is counted."""

    kind: CallKind
    """Rate limit that the call counts against."""

    handler: Handler
    """Carries the call out."""
