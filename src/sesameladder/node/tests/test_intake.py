"""What callers are told while the store fails."""

import json
from typing import Any

import pytest

from sesameladder.jobs import QueuePolicy
from sesameladder.node._clock import read_steady
from sesameladder.node._intake import Accepted, Intake, Refused, Result, Unknown
from sesameladder.platform import (
    AnswerMissing,
    CallNotSent,
    Committed,
    Conflict,
    StoreRejected,
)

QUEUE = QueuePolicy("q", "host", "/jobs/", "chair", 0, 3, 1.6, 600, 3000)
JOB = "00000000000000aa"
BODY = json.dumps({"spec": "", "steps": [{"count": 1, "cpu": 100}]}).encode()
STORED = Committed(7)


class ScriptedStore:
    """Answers each commit by the next entry of a script, the last one for ever."""

    def __init__(self, script: list[Any]) -> None:
        self.script = script
        self.commits = 0

    def commit(self, *_: object) -> Any:
        step = self.script[min(self.commits, len(self.script) - 1)]
        self.commits += 1
        if isinstance(step, Exception):
            raise step
        return step


def submit(script: list[Any], is_lost: bool = False) -> tuple[Result, int]:
    store = ScriptedStore(script)
    intake = Intake(store, lambda: is_lost)  # type: ignore[arg-type]
    return intake.submit(QUEUE, JOB, BODY, read_steady() + 0.4), store.commits


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([STORED], Accepted),
        ([Conflict(())], Accepted),
        ([AnswerMissing("lost"), Conflict(())], Accepted),
        ([StoreRejected("busy"), STORED], Accepted),
        ([StoreRejected("busy")], Refused),
        ([CallNotSent("down")], Refused),
        ([AnswerMissing("lost")], Unknown),
        ([AnswerMissing("lost"), StoreRejected("busy")], Unknown),
    ],
)
def test_answer_is_true(script: list[Any], expected: type[Result]) -> None:
    """Guards against REFUSED: a write without an answer may have been stored."""
    assert isinstance(submit(script)[0], expected)


def test_lost_store_refuses_without_a_write() -> None:
    """Guards against answers that leave callers in the dark.

    On a VM that the store turned away, submissions were written into silence and
    answered 504 after most of the caller's time; callers can't repeat those.
    """
    started = read_steady()
    result, commits = submit([AnswerMissing("lost")], is_lost=True)
    assert isinstance(result, Refused)
    assert commits == 0
    assert read_steady() - started < 0.2
