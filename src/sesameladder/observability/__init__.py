"""JSON-lines logging, statsd metrics and state dumps."""

from sesameladder.eventlog import EVENTS, configure_logging, log_event
from sesameladder.observability._metrics import (
    METRICS,
    Metric,
    MetricKind,
    Metrics,
    MetricSpec,
)
from sesameladder.observability._state_dump import StateDump

__all__ = [
    "EVENTS",
    "METRICS",
    "Metric",
    "MetricKind",
    "MetricSpec",
    "Metrics",
    "StateDump",
    "configure_logging",
    "log_event",
]
