"""Tests of log lines, metrics and state dumps."""

import io
import json
import logging
import socket
import threading
from collections.abc import Iterable
from concurrent.futures import Future
from pathlib import Path

import pytest

from sesameladder.eventlog._logging import EventFormatter
from sesameladder.observability import (
    EVENTS,
    METRICS,
    Metric,
    Metrics,
    StateDump,
    log_event,
)
from sesameladder.settings import StatsdSettings

OPERATIONS_PAGE = Path(__file__).parents[4] / "docs" / "OPERATIONS.md"


@pytest.fixture
def stream() -> io.StringIO:
    return io.StringIO()


@pytest.fixture
def logger(stream: io.StringIO) -> logging.Logger:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(EventFormatter("sesameladder-entry", "entry-a1"))
    logger = logging.Logger("sesameladder.test")
    logger.addHandler(handler)
    return logger


def test_event_line(logger: logging.Logger, stream: io.StringIO) -> None:
    """Guards against lines without the keys used to search by event, request or VM."""
    log_event(logger, logging.INFO, "request_error", request="r1", vm="coral-01")
    line = json.loads(stream.getvalue())
    assert line.pop("timestamp").endswith("+00:00")
    assert line == {
        "level": "INFO",
        "logger": "sesameladder.test",
        "message": EVENTS["request_error"],
        "program": "sesameladder-entry",
        "instance": "entry-a1",
        "event": "request_error",
        "request": "r1",
        "vm": "coral-01",
    }


def test_event_in_extra(logger: logging.Logger, stream: io.StringIO) -> None:
    """Guards against events that are dropped when the caller passes them as extra."""
    logger.info("in effect", extra={"event": "configuration_applied", "ticket": 7})
    line = json.loads(stream.getvalue())
    assert (line["event"], line["ticket"]) == ("configuration_applied", 7)


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"name": "a", "message": "b"}, {"name": "a", "message_": "b"}),
        ({"event": "x", "instance": "y"}, {"event_": "x", "instance_": "y"}),
        ({"value": {1}, "args": ()}, {"value": "{1}", "args": []}),
    ],
)
def test_conflicting_and_unserializable_fields(
    logger: logging.Logger, stream: io.StringIO, fields: dict, expected: dict
) -> None:
    """Guards against log calls that fail on a field's name or value.

    Fields may be named like keys of the line, or hold values that JSON lacks.
    """
    log_event(logger, logging.INFO, "started", **fields)
    line = json.loads(stream.getvalue())
    assert expected.items() <= line.items()
    assert (line["event"], line["instance"]) == ("started", "entry-a1")


def test_plain_line(logger: logging.Logger, stream: io.StringIO) -> None:
    """Guards against lines of libraries that are not JSON or have no event."""
    logger.warning("100%% of %s", "it")
    line = json.loads(stream.getvalue())
    assert (line["event"], line["message"]) == ("message", "100% of it")


def test_metrics_are_sent_to_the_server() -> None:
    """Guards against metrics sent with a wrong name, label, value or type."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{server.getsockname()[1]}"
        metrics = Metrics.from_settings(StatsdSettings(address, "coral"))
        metrics.count(Metric.REQUESTS, "scalp maps.\u00e4")
        metrics.set_gauge(Metric.PLAN_VERSION, 3)
        metrics.record_time(Metric.QUEUE_WAIT, 1.5, "orders")
        received = [server.recv(512).decode() for _ in range(3)]
    assert received == [
        "coral.requests.scalp_maps__:1|c",
        "coral.plan_version:3|g",
        "coral.queue_wait.orders:1.500000|ms",
    ]


def test_absent_server() -> None:
    """Guards against errors in the caller when no statsd server is reachable."""
    Metrics.from_settings(None).count(Metric.REQUESTS, "orders")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
    metrics = Metrics.from_settings(StatsdSettings(address, "coral"))
    for _ in range(3):
        metrics.count(Metric.REQUESTS, "orders")


def wait_for_first_or_all(futures: Iterable[Future], seconds: float) -> None:
    """Wait for the first future, and for the others only if given at least 1 s."""
    for future in list(futures) if seconds >= 1.0 else list(futures)[:1]:
        future.exception()


def test_dump_of_a_blocked_part() -> None:
    """Guards against a blocked part that delays dumps or adds a thread with each."""
    release = threading.Event()
    calls: list[int] = []

    def read_blocked() -> str:
        calls.append(1)
        release.wait()
        return "late"

    dump = StateDump(wait_for_first_or_all)
    dump.register("cells", lambda: {"waiting": 3})
    dump.register("stuck", read_blocked)
    expected = {"cells": {"waiting": 3}, "stuck": {"error": "no answer within 0.5 s"}}
    assert dump.collect(0.5) == expected
    assert dump.collect(0.5) == expected
    pending = dump.pending_reads["stuck"]
    release.set()
    assert pending.result() == "late"
    assert len(calls) == 1
    assert dump.collect()["stuck"] == "late"


def test_dump_of_a_failing_part() -> None:
    """Guards against a part whose read fails and that makes the whole dump fail."""
    dump = StateDump()
    dump.register("broken", lambda: {}["cell"])
    dump.register("odd", lambda: {"key": frozenset({1})})
    assert dump.collect() == {
        "broken": {"error": "KeyError: 'cell'"},
        "odd": {"key": "frozenset({1})"},
    }
    with pytest.raises(ValueError, match="registered already"):
        dump.register("odd", dict)


def test_page_lists_events_and_metrics() -> None:
    """Guards against a page of operations that lacks an event or metric."""
    page = OPERATIONS_PAGE.read_text(encoding="utf-8")
    assert set(METRICS) == set(Metric)
    for event, meaning in EVENTS.items():
        assert f"| `{event}` | {meaning} |" in page
    for metric, spec in METRICS.items():
        row = f"| `{metric}` | {spec.kind} | {spec.label} | {spec.meaning} |"
        assert row in page
