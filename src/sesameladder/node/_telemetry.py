"""Logs and metrics of the process.

Log lines go to standard output through a bounded queue and a separate thread. If the
reader stalls, lines are dropped and counted, and the service is not delayed.
"""

import logging
import sys
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue
from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from sesameladder.eventlog import EventFormatter
from sesameladder.jobs import PoolLoad

MAX_QUEUED_LOG_LINES = 5000  # about 1.5 MB; what a busy pool logs in 30 s
PROGRAM = "sesameladder-node"
LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)

REGISTRY = CollectorRegistry()
LINES_DROPPED = Counter(
    "sesameladder_log_lines_dropped", "Log lines dropped", registry=REGISTRY
)
REQUESTS = Counter(
    "sesameladder_requests",
    "Answers to callers",
    ["action", "status"],
    registry=REGISTRY,
)
REQUEST_SECONDS = Histogram(
    "sesameladder_request_seconds",
    "From a caller's request to its answer",
    ["action"],
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
REFUSED_CONNECTIONS = Counter(
    "sesameladder_refused_connections",
    "Requests refused before they were read, and connections closed",
    ["server", "cause"],
    registry=REGISTRY,
)
EVENTS_COUNTED = Counter(
    "sesameladder_events",
    "Decisions and changes of belief",
    ["event"],
    registry=REGISTRY,
)
JOB_SECONDS = Histogram(
    "sesameladder_job_seconds",
    "From a job's arrival at its owner to its end",
    ["state"],
    buckets=(*LATENCY_BUCKETS_S, 20, 40),
    registry=REGISTRY,
)
START_SECONDS = Histogram(
    "sesameladder_start_seconds",
    "From the decision to start a subtask to the worker's response",
    ["pool"],
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
REPORT_SECONDS = Histogram(
    "sesameladder_report_seconds",
    "From the request for a worker's report to its arrival at the pool's owner",
    ["pool"],
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
UNCONFIRMED_STARTS = Gauge(
    "sesameladder_unconfirmed_starts",
    "Starts without a response so far",
    ["pool"],
    registry=REGISTRY,
)
FREE_CORES = Gauge(
    "sesameladder_free_cores",
    "Unused cores of the workers that accept work",
    ["pool"],
    registry=REGISTRY,
)
CAP_GRANTED = Gauge(
    "sesameladder_cap_granted",
    "What the pool is granted of the caps of organisations",
    ["pool", "resource"],
    registry=REGISTRY,
)
CAP_USED = Gauge(
    "sesameladder_cap_used",
    "What runs or may run in the pool of organisations with a cap",
    ["pool", "resource"],
    registry=REGISTRY,
)
CAP_WAITING = Gauge(
    "sesameladder_cap_waiting_subtasks",
    "Subtasks that wait since the cap of their organisation is reached",
    ["pool"],
    registry=REGISTRY,
)
COPY_CORES = Gauge(
    "sesameladder_copy_cores",
    "Cores in use by copies of slow subtasks, and by runs stopped due to one",
    ["pool"],
    registry=REGISTRY,
)
JOBS_BEYOND_RATE = Counter(
    "sesameladder_jobs_beyond_rate",
    "Jobs that came beyond their organisation's rate and give way to all others",
    ["pool"],
    registry=REGISTRY,
)
ADMISSION_REFUSALS = Counter(
    "sesameladder_admission_refusals",
    "Jobs refused since they could not be done in time",
    ["pool"],
    registry=REGISTRY,
)
ACCEPTED_WORK_BYTES = Gauge(
    "sesameladder_accepted_work_bytes",
    "Memory that the jobs need which the pool's owner holds, as estimated",
    ["pool"],
    registry=REGISTRY,
)
ACCEPTED_WORK_LIMIT_BYTES = Gauge(
    "sesameladder_accepted_work_limit_bytes",
    "Memory that these jobs may need at present",
    ["pool"],
    registry=REGISTRY,
)
JOBS_IN_STORE = Gauge(
    "sesameladder_jobs_in_store",
    "Accepted jobs that wait in the store until the pool's owner has room",
    ["pool"],
    registry=REGISTRY,
)
ROOM_REFUSALS = Counter(
    "sesameladder_room_refusals",
    "Jobs refused since the pool's owner has no room for them",
    ["pool", "cause"],
    registry=REGISTRY,
)
CLIENT_CALLS_REFUSED = Counter(
    "sesameladder_client_calls_refused",
    "Calls of the store that were not made since the share of clients is used up",
    ["kind"],
    registry=REGISTRY,
)
REFUSED_RENEWALS = Counter(
    "sesameladder_refused_lease_renewals",
    "Renewals of this process's lease that the store refused for its rate",
    registry=REGISTRY,
)
CLIENT_CALL_RATE = Gauge(
    "sesameladder_client_call_rate",
    "Calls of the store a second for clients at most, as of the latest refusal",
    ["kind"],
    registry=REGISTRY,
)
ADVICE_CALLS = Counter(
    "sesameladder_advice_calls",
    "Calls to the advice service, by what became of them",
    ["outcome"],
    registry=REGISTRY,
)
ADVICE_SECONDS = Histogram(
    "sesameladder_advice_seconds",
    "From a request for advice, with the wait for its turn, to the end of its call",
    ["pool"],
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)
ADVICE_WAITING = Gauge(
    "sesameladder_advice_waiting",
    "Requests for advice that wait for their turn",
    registry=REGISTRY,
)
UNATTENDED_ROLES = Gauge(
    "sesameladder_unattended_roles",
    "Roles that the store grants to this process and that have no task here",
    registry=REGISTRY,
)
ROLE_PASS_AGE_SECONDS = Gauge(
    "sesameladder_role_pass_age_seconds",
    "Time since the oldest latest pass of the threads that work for a held role",
    ["role"],
    registry=REGISTRY,
)
KEY_CHECKS = Counter(
    "sesameladder_key_checks",
    "Checks of the keys of calls",
    ["outcome"],
    registry=REGISTRY,
)
CONFIGURATION_AGE_SECONDS = Gauge(
    "sesameladder_configuration_age_seconds",
    "Time since the sending of the latest call that confirmed the configuration",
    registry=REGISTRY,
)
SERVICE_CALLS = Counter(
    "sesameladder_service_calls",
    "Calls to the store and the machines' API, by what became of them",
    ["service", "call", "outcome"],
    registry=REGISTRY,
)
STORE_FAILURES = Counter(
    "sesameladder_store_failures", "Failed store calls", ["task"], registry=REGISTRY
)

logger = logging.getLogger("sesameladder.node")


class DroppingQueueHandler(QueueHandler):
    """Queue handler that drops and counts records while the queue is full."""

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record without blocking."""
        try:
            self.queue.put_nowait(record)
        except Full:
            LINES_DROPPED.inc()

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record as it is; the listener's thread formats it."""
        return record


def start_logging(node: str, level: int = logging.INFO) -> QueueListener:
    """Send log lines to standard output through the returned listener.

    The caller has to stop the listener, which writes the remaining lines.
    """
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(EventFormatter(PROGRAM, node))
    log_queue: Queue[Any] = Queue(MAX_QUEUED_LOG_LINES)
    logging.basicConfig(
        level=level, handlers=[DroppingQueueHandler(log_queue)], force=True
    )
    # cheroot and urllib3 log each broken connection; the tasks log the consequences.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    listener = QueueListener(log_queue, output)
    listener.start()
    return listener


def log_event(event: str, /, **fields: object) -> None:
    """Log and count a decision or a change in what the process knows."""
    EVENTS_COUNTED.labels(event).inc()
    if event == "job_ended":
        JOB_SECONDS.labels(fields["state"]).observe(float(str(fields["age_s"])))
    logger.info(event, extra={"event": event, "event_fields": fields})


def log_warning(event: str, /, **fields: object) -> None:
    """Log and count a failure that the process tolerates."""
    EVENTS_COUNTED.labels(event).inc()
    logger.warning(event, extra={"event": event, "event_fields": fields})


def log_failure(event: str, /, **fields: object) -> None:
    """Log and count an unexpected error, with the traceback of the one at hand."""
    EVENTS_COUNTED.labels(event).inc()
    logger.exception(event, extra={"event": event, "event_fields": fields})


def publish_load(pool: str, load: PoolLoad) -> None:
    """Set the gauges of a pool's load."""
    UNCONFIRMED_STARTS.labels(pool).set(load.unconfirmed)
    FREE_CORES.labels(pool).set(load.free_cores)
    COPY_CORES.labels(pool).set(load.copy_cores)


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
