"""Results of requests while the store fails."""

import json
from typing import Any

import pytest

from sesameladder.jobs import QueuePolicy
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._http_servers import build_response
from sesameladder.node._intake import (
    Accepted,
    Intake,
    InvalidRequest,
    Rejected,
    Result,
    TooLarge,
    Unknown,
)
from sesameladder.platform import (
    CallNotSent,
    CallRejected,
    Committed,
    Conflict,
    OutcomeUnknown,
    StoredItem,
)

QUEUE = QueuePolicy("q", "host", "/jobs/", "chair", 0, 3, 1.6, 600, 3000)
JOB = "00000000000000aa"
BODY = json.dumps({"spec": "", "steps": [{"count": 1, "cpu": 100}]}).encode()
STORED = Committed(7)


class ScriptedStore:
    """Returns or raises the next entry of a script at each commit; the last repeats."""

    def __init__(self, script: list[Any], reads: Any = None) -> None:
        self.script = script
        self.reads = reads
        """What each read returns, or the error that it raises."""

        self.commits = 0
        self.last_served_call_at = read_steady_clock()

    def commit(self, *_: object) -> Any:
        step = self.script[min(self.commits, len(self.script) - 1)]
        self.commits += 1
        if isinstance(step, Exception):
            raise step
        return step

    def read(self, _: str) -> Any:
        if isinstance(self.reads, Exception):
            raise self.reads
        return self.reads


def submit(script: list[Any], is_unreachable: bool = False) -> tuple[Result, int]:
    store = ScriptedStore(script)
    intake = Intake(store, lambda: is_unreachable)  # type: ignore[arg-type]
    return intake.submit(QUEUE, JOB, BODY, read_steady_clock() + 0.4), store.commits


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([STORED], Accepted),
        ([Conflict(())], Accepted),
        ([OutcomeUnknown("lost"), Conflict(())], Accepted),
        ([CallRejected("busy"), STORED], Accepted),
        ([CallRejected("busy")], Rejected),
        ([CallNotSent("down")], Rejected),
        ([OutcomeUnknown("lost")], Unknown),
        ([OutcomeUnknown("lost"), CallRejected("busy")], Unknown),
    ],
)
def test_result_matches_the_outcome_of_the_write(
    script: list[Any], expected: type[Result]
) -> None:
    """Guards against a job that is reported as rejected although it was stored.

    A write without a response may have taken effect, even if a retry is rejected.
    """
    assert isinstance(submit(script)[0], expected)


def test_unreachable_store_rejects_without_a_write() -> None:
    """Guards against unknown outcomes on a VM to which the store does not respond.

    Submissions were written all the same and got status 504 after most of the
    caller's time limit; callers can't repeat such a job.
    """
    started = read_steady_clock()
    result, commits = submit([OutcomeUnknown("lost")], is_unreachable=True)
    assert isinstance(result, Rejected)
    assert commits == 0
    assert read_steady_clock() - started < 0.2


def test_read_settles_a_write_without_a_response() -> None:
    """Guards against status 504 for a stored job.

    The responses to several writes in a row may be lost. Callers can't repeat a job
    with that status elsewhere.
    """
    item = StoredItem("key", BODY, 7)
    intake = Intake(ScriptedStore([OutcomeUnknown("lost")], item))  # type: ignore[arg-type]
    result = intake.submit(QUEUE, JOB, BODY, read_steady_clock() + 0.4)
    assert isinstance(result, Accepted)


@pytest.mark.parametrize(
    ("reads", "expected", "commits"),
    [(OutcomeUnknown("cut"), Rejected, 0), (None, Accepted, 1)],
)
def test_unresponsive_store_is_read_before_a_write(
    reads: Any, expected: type[Result], commits: int
) -> None:
    """Guards against status 504 at the start of a network partition.

    The loss of the store is detected up to 1.7 s late. Until then, submissions were
    written without a response.
    """
    store = ScriptedStore([STORED], reads)
    store.last_served_call_at = read_steady_clock() - 1.0
    intake = Intake(store)  # type: ignore[arg-type]
    result = intake.submit(QUEUE, JOB, BODY, read_steady_clock() + 0.4)
    assert isinstance(result, expected)
    assert store.commits == commits


@pytest.mark.parametrize(
    ("body", "expected", "status"),
    [
        (b'{"steps":[{"count":5000000}]}', TooLarge, 413),
        (b'{"steps":[{"count":1}],"times":1000000000000}', TooLarge, 413),
        (b'{"steps":[{"count":1,"after":[-1]}]}', InvalidRequest, 400),
        (b'{"steps":[{"count":1,"cpu":-1}]}', InvalidRequest, 400),
        (b"[" * 100_000, InvalidRequest, 400),
        (b"\xff", InvalidRequest, 400),
    ],
    ids=["count", "times", "after", "cpu", "depth", "bytes"],
)
def test_job_that_cannot_be_carried_is_refused_before_it_is_stored(
    body: bytes, expected: type[Result], status: int
) -> None:
    """Guards against owners that end one after the other at a job of 50 bytes."""
    store = ScriptedStore([STORED])
    intake = Intake(store)  # type: ignore[arg-type]
    result = intake.submit(QUEUE, JOB, body, read_steady_clock() + 0.4)
    assert isinstance(result, expected)
    assert store.commits == 0
    response = build_response(result)
    assert (response.status, response.body["has_run"]) == (status, False)


@pytest.mark.parametrize("body", [b'{"steps":[{"count":5000000}]}', b"["])
@pytest.mark.parametrize(
    ("reads", "says_not_run", "status"),
    [
        (None, True, None),
        (StoredItem("k", b"", 3), False, 200),
        (OutcomeUnknown("no response"), False, None),
    ],
    ids=["new", "accepted", "unread"],
)
def test_refusal_says_not_run_only_of_a_job_that_is_not_stored(
    body: bytes, reads: Any, says_not_run: bool, status: int | None
) -> None:
    """Guards against "has not run" about a job that an older version has accepted."""
    intake = Intake(ScriptedStore([STORED], reads))  # type: ignore[arg-type]
    result = intake.submit(QUEUE, JOB, body, read_steady_clock() + 0.4)
    response = build_response(result)
    assert (response.body.get("has_run") is False) is says_not_run
    assert response.status in ([status] if status else [400, 413])


def test_accepted_job_is_not_refused_when_it_is_sent_again() -> None:
    """Guards against a refusal of a job that this process has accepted."""
    intake = Intake(ScriptedStore([STORED]))  # type: ignore[arg-type]
    deadline = read_steady_clock() + 0.4
    assert intake.submit(QUEUE, JOB, BODY, deadline) == Accepted(is_new=True)
    assert intake.submit(QUEUE, JOB, b"[", deadline) == Accepted(is_new=False)
