"""Metrics, sent to a statsd server over UDP."""

import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Self

from statsd import StatsClient

from sesameladder.settings import StatsdSettings

UNSAFE_NAME_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


class MetricKind(StrEnum):
    """Type of a statsd metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMER = "timer"


class Metric(StrEnum):
    """Names of all metrics."""

    REQUESTS = "requests"
    OUTCOMES = "outcomes"
    REQUEST_TIME = "request_time"
    QUEUE_WAIT = "queue_wait"
    GRANTS = "grants"
    RETRIES = "retries"
    PREEMPTIONS = "preemptions"
    SPILLOVERS = "spillovers"
    QUEUE_LENGTH = "queue_length"
    SLOTS_BUSY = "slots_busy"
    WORKERS_EJECTED = "workers_ejected"
    CONFIGURATION_NUMBER = "configuration_number"
    PLAN_VERSION = "plan_version"
    PERMITS = "permits"
    PLATFORM_CALLS = "platform_calls"
    PLATFORM_ERRORS = "platform_errors"
    TOKENS_ISSUED = "tokens_issued"
    CONNECTIONS_REFUSED = "connections_refused"


@dataclass(frozen=True, slots=True)
class MetricSpec:
    """Kind, label and meaning of a metric."""

    kind: MetricKind
    """Type of the metric."""

    label: str
    """What the last part of the metric's name identifies; empty without that part."""

    meaning: str
    """What is counted or measured, with the unit."""


COUNTER, GAUGE, TIMER = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.TIMER

METRICS = {
    Metric.REQUESTS: MetricSpec(COUNTER, "pool", "requests from callers"),
    Metric.OUTCOMES: MetricSpec(COUNTER, "outcome", "answers: done, not-run, unknown"),
    Metric.REQUEST_TIME: MetricSpec(TIMER, "pool", "from request to answer, in ms"),
    Metric.QUEUE_WAIT: MetricSpec(TIMER, "pool", "from demand to grant, in ms"),
    Metric.GRANTS: MetricSpec(COUNTER, "pool", "slots granted"),
    Metric.RETRIES: MetricSpec(COUNTER, "pool", "attempts after the first"),
    Metric.PREEMPTIONS: MetricSpec(COUNTER, "pool", "tasks ended by a checkpoint"),
    Metric.SPILLOVERS: MetricSpec(COUNTER, "pool", "requests sent to another zone"),
    Metric.QUEUE_LENGTH: MetricSpec(GAUGE, "pool", "requests that wait in the cell"),
    Metric.SLOTS_BUSY: MetricSpec(GAUGE, "pool", "slots of the cell in use"),
    Metric.WORKERS_EJECTED: MetricSpec(GAUGE, "pool", "workers ejected as outliers"),
    Metric.CONFIGURATION_NUMBER: MetricSpec(GAUGE, "", "number of the ticket applied"),
    Metric.PLAN_VERSION: MetricSpec(GAUGE, "", "version of the plan applied"),
    Metric.PERMITS: MetricSpec(GAUGE, "pool", "VMs out under a permit"),
    Metric.PLATFORM_CALLS: MetricSpec(COUNTER, "method", "calls of the platform"),
    Metric.PLATFORM_ERRORS: MetricSpec(COUNTER, "method", "calls that failed"),
    Metric.TOKENS_ISSUED: MetricSpec(COUNTER, "", "idempotency tokens issued"),
    Metric.CONNECTIONS_REFUSED: MetricSpec(
        COUNTER, "cause", "requests refused unread, connections closed"
    ),
}
"""Spec of each metric; a test compares it with the table in docs/OPERATIONS.md."""


class Metrics:
    """Sends metrics to a statsd server, or nowhere if none is configured.

    Sending neither raises an error nor waits for the server.
    """

    __slots__ = ("client",)

    def __init__(self, client: StatsClient | None) -> None:
        self.client = client

    @classmethod
    def from_settings(cls, settings: StatsdSettings | None) -> Self:
        """Return metrics that are sent to the server in the settings, if any."""
        if settings is None:
            return cls(None)
        host, _, port = settings.address.rpartition(":")
        return cls(StatsClient(host, int(port), settings.prefix))

    def count(self, metric: Metric, label: str = "", amount: int = 1) -> None:
        """Add an amount to a counter."""
        if self.client is not None:
            self.client.incr(_build_name(metric, label, COUNTER), amount)

    def set_gauge(self, metric: Metric, value: float, label: str = "") -> None:
        """Set a gauge to a value, which must be 0 or more."""
        if self.client is not None:
            self.client.gauge(_build_name(metric, label, GAUGE), value)

    def record_time(self, metric: Metric, milliseconds: float, label: str = "") -> None:
        """Record a duration in milliseconds."""
        if self.client is not None:
            self.client.timing(_build_name(metric, label, TIMER), milliseconds)


def _build_name(metric: Metric, label: str, kind: MetricKind) -> str:
    spec = METRICS[metric]
    assert spec.kind is kind, f"{metric} is a {spec.kind}, not a {kind}"
    assert bool(spec.label) == bool(label), (
        f"{metric} has label {spec.label!r}, got {label!r}"
    )
    return (
        f"{metric}.{UNSAFE_NAME_CHARACTERS.sub('_', label)}" if label else str(metric)
    )
