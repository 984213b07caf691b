"""Bodies that are small on the wire and large when decoded."""

import json
from typing import Any

import pytest

from sesameladder.node._clock import read_steady_clock
from sesameladder.node._intake import Intake, Rejected
from sesameladder.node.tests.test_intake import JOB, QUEUE, STORED, ScriptedStore


@pytest.mark.parametrize(
    ("body", "result"),
    [
        (b'{"steps":[' + b"[]," * 20_000 + b"[]]}", "TooLarge"),
        (b"[" + b"[]," * 20_000 + b"[]]", "InvalidRequest"),
        (b'{"a":' * 10_001 + b"1" + b"}" * 10_001, "TooLarge"),
        (b"[" * 9_000, "InvalidRequest"),
    ],
)
def test_body_that_is_large_when_decoded_is_refused_undecoded(
    monkeypatch: pytest.MonkeyPatch, body: bytes, result: str
) -> None:
    """Guards against small bodies that take the memory of a process."""
    decoded: list[Any] = []

    def decode(text: bytes) -> Any:
        decoded.append(text)
        return json.loads(text)

    monkeypatch.setattr("sesameladder.platform._documents.json.loads", decode)
    intake = Intake(ScriptedStore([STORED]))  # type: ignore[arg-type]
    answer = intake.submit(QUEUE, JOB, body, read_steady_clock() + 0.4)
    assert type(answer).__name__ == result
    assert bool(decoded) is (len(body) < 10_000)
    assert not isinstance(answer, Rejected)
