"""Log lines as JSON objects with stable event names."""

from sesameladder.eventlog._events import EVENTS
from sesameladder.eventlog._logging import (
    EventFormatter,
    configure_logging,
    log_event,
)

__all__ = ["EVENTS", "EventFormatter", "configure_logging", "log_event"]
