"""Tests of the sequence of a worker's orders and of their withdrawal."""

from queue import SimpleQueue

import pytest

from sesameladder.jobs import (
    StartCommand,
    StartOrder,
    StartOutcome,
    StopCommand,
    SubtaskId,
    WorkerReport,
)
from sesameladder.jobs.tests.test_rules import build_record
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._worker_link import (
    REPORT_WAIT_MS,
    WATCHED_REPORT_WAIT_MS,
    LinkMessage,
    ReportFailed,
    ReportReceived,
    StartFinished,
    StopConfirmed,
    WorkerLink,
)
from sesameladder.platform import OutcomeUnknown

SUBTASK = SubtaskId("00000000000000aa", 0, 0, 4)
WORKER = "i-1"
SAME = WorkerReport(0, 1, (), ())
NEXT = WorkerReport(0, 2, (), ())
MESSAGE_TIMEOUT_S = 20.0  # generous; a failed thread goes on after a quarter second


class RecordingClient:
    """Accepts and records every order."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, int]] = []

    def start(self, order: StartOrder, lease_until_ms: int) -> StartOutcome:
        del lease_until_ms
        self.calls.append(("start", order.run))
        return StartOutcome.STARTED

    def stop(self, subtask: SubtaskId, run: int) -> bool:
        del subtask
        self.calls.append(("stop", run))
        return True

    def close(self) -> None:
        """Close nothing."""


@pytest.mark.parametrize(
    ("stopped_run", "calls", "outcome"),
    [
        (7, [("stop", 7)], StartOutcome.WITHDRAWN),
        (6, [("start", 7), ("stop", 6)], StartOutcome.STARTED),
    ],
)
def test_stop_withdraws_a_queued_start(
    stopped_run: int, calls: list[tuple[str, int]], outcome: StartOutcome
) -> None:
    """Guards against a subtask that is started twice after a network partition.

    The end of an earlier run was read while the start of the next run was queued
    behind other orders; it was sent 1.3 s after the end had been acknowledged.
    """
    posted: list[LinkMessage] = []
    link = WorkerLink(build_record(1), 9, 4000, 10_000, lambda: True, posted.append)
    client = RecordingClient()
    link.client = client  # type: ignore[assignment]
    link.clock_offset_s = 0.0
    link.send(StartCommand(WORKER, StartOrder(SUBTASK, 7, "")))
    link.send(StopCommand(WORKER, SUBTASK, stopped_run))
    link.stop()
    link.stopping.clear()
    link._send_orders()
    assert client.calls == calls
    assert posted == [
        StartFinished(WORKER, SUBTASK, 7, outcome),
        StopConfirmed(WORKER, SUBTASK, stopped_run),
    ]


@pytest.mark.parametrize(
    ("responded_s_ago", "is_recent"),
    [(None, False), (5.0, False), (0.0, True)],
    ids=["never", "long ago", "just now"],
)
def test_outcome_of_a_start_tells_when_the_worker_last_responded(
    responded_s_ago: float | None, is_recent: bool
) -> None:
    """Guards against a start to a silent worker that counts as having arrived."""
    posted: list[LinkMessage] = []
    link = WorkerLink(build_record(1), 9, 4000, 10_000, lambda: True, posted.append)
    link.client = RecordingClient()  # type: ignore[assignment]
    link.clock_offset_s = 0.0
    if responded_s_ago is not None:
        link.responded_at = read_steady_clock() - responded_s_ago
    link._send_start(StartCommand(WORKER, StartOrder(SUBTASK, 7, "")))
    (message,) = posted
    assert isinstance(message, StartFinished)
    age_s = message.response_age_s
    assert (age_s is None) == (responded_s_ago is None)
    assert (age_s is not None and age_s < 1.0) == is_recent


class ReportingClient:
    """Answers report calls from a script and records what they acknowledge."""

    def __init__(self, link: WorkerLink, script: list[WorkerReport | None]) -> None:
        self.link = link
        self.script = script
        self.acknowledged: list[int] = []
        self.has_lease: list[bool] = []
        """Whether each call named the end of a lease."""

        self.waits_ms: list[int] = []

    def poll_report(
        self, acknowledged: int, lease_until_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        self.waits_ms.append(wait_ms)
        self.has_lease.append(lease_until_ms is not None)
        self.acknowledged.append(acknowledged)
        report = self.script.pop(0)
        if not self.script:
            self.link.stopping.set()
        if report is None:
            raise OutcomeUnknown("no response")
        return report


@pytest.mark.parametrize(
    ("script", "acknowledged"),
    [
        ([SAME, SAME, SAME], [0, 8, 8]),
        ([SAME, None, SAME, SAME], [0, 8, 0, 8]),
        ([SAME, None, NEXT, NEXT], [0, 8, 0, 0]),
    ],
    ids=["no failure", "same incarnation", "next incarnation"],
)
def test_ends_are_not_acknowledged_until_the_incarnation_is_known(
    script: list[WorkerReport | None], acknowledged: list[int]
) -> None:
    """Guards against ends that a restarted worker forgets before they are read.

    The first report call after the restart still named the last end of the earlier
    incarnation.
    """
    link = WorkerLink(build_record(1), 9, 4000, 10_000, lambda: True, lambda _: None)
    client = ReportingClient(link, list(script))
    link.client = client  # type: ignore[assignment]
    link.acknowledged_end = 8
    link._read_reports()
    assert client.acknowledged == acknowledged


@pytest.mark.parametrize(
    ("script", "has_lease"),
    [
        ([SAME, SAME, SAME], [False, True, True]),
        ([SAME, None, SAME, SAME], [False, True, False, True]),
        ([SAME, None, None, NEXT, NEXT], [False, True, False, False, False]),
        ([SAME, NEXT, NEXT], [False, True, False]),
    ],
    ids=["no failure", "same incarnation", "next incarnation", "unnoticed restart"],
)
def test_no_lease_is_named_until_the_incarnation_is_known(
    script: list[WorkerReport | None], has_lease: list[bool]
) -> None:
    """Guards against runs of a restarted worker that outlive their release.

    The report call after the restart named a time on the clock of the earlier
    incarnation, 12 s ahead of the present one's, and the worker went on for 10 s
    without orders while its owner counted with 4 s.
    """
    link = WorkerLink(build_record(1), 9, 4000, 10_000, lambda: True, lambda _: None)
    client = ReportingClient(link, list(script))
    link.client = client  # type: ignore[assignment]
    link._read_reports()
    assert client.has_lease == has_lease


class FailingClient:
    """The first order and the first report call fail in an unexpected way."""

    def __init__(self) -> None:
        self.failed: set[str] = set()

    def fail_once(self, call: str) -> None:
        if call not in self.failed:
            self.failed.add(call)
            raise AttributeError(call)

    def start(self, order: StartOrder, lease_until_ms: int) -> StartOutcome:
        self.fail_once("start")
        return StartOutcome.STARTED

    def poll_report(
        self, acknowledged: int, lease_until_ms: int | None, wait_ms: int
    ) -> WorkerReport:
        self.fail_once("report")
        return SAME

    def close(self) -> None:
        """Close nothing."""


def test_worker_is_not_cut_off_by_an_unexpected_error() -> None:
    """Guards against a worker whose runs nobody starts or follows any more.

    An unexpected error ended the thread that sends its orders, or the one that reads
    its reports, and the subtasks of its runs were neither ended nor started again.
    """
    messages: SimpleQueue[LinkMessage] = SimpleQueue()
    link = WorkerLink(build_record(1), 9, 4000, 10_000, lambda: True, messages.put)
    link.client = FailingClient()  # type: ignore[assignment]
    link.clock_offset_s = 0.0
    outcomes = []
    has_failed_report = has_report = False
    link.start()
    try:
        while len(outcomes) < 2 or not has_report:
            message = messages.get(timeout=MESSAGE_TIMEOUT_S)
            if isinstance(message, StartFinished):
                outcomes.append(message.outcome)
            has_failed_report |= isinstance(message, ReportFailed)
            if isinstance(message, ReportReceived) and not has_report:
                # Nothing is started before a report has told the worker's clock.
                has_report = True
                for _ in range(2):
                    link.send(StartCommand(WORKER, StartOrder(SUBTASK, 7, "")))
    finally:
        link.stop()
    assert outcomes == [StartOutcome.UNANSWERED, StartOutcome.STARTED]
    assert has_failed_report
    assert link.is_lease_extension_suspended


@pytest.mark.parametrize(
    ("is_watched", "wait_ms"), [(False, REPORT_WAIT_MS), (True, WATCHED_REPORT_WAIT_MS)]
)
def test_watched_worker_is_asked_for_reports_more_often(
    is_watched: bool, wait_ms: int
) -> None:
    """Guards against a sound suspect that looks new for as long as a report takes."""
    link = WorkerLink(build_record(1), 9, 4000, 10_000, lambda: True, lambda _: None)
    client = ReportingClient(link, [SAME, SAME])
    link.client = client  # type: ignore[assignment]
    link.is_watched = is_watched
    link._read_reports()
    assert client.waits_ms == [0, wait_ms]
