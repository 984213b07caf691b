"""Decoding of a worker's entry in the store."""

import json
from typing import Any

import pytest

from sesameladder.jobs import Resources
from sesameladder.platform import RecordInvalid, decode_job, decode_worker
from sesameladder.platform._workers import _decode_report

ENTRY: dict[str, Any] = {
    "service": "chair",
    "addr": "10.0.0.1:1",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 3,
    "born": 1,
    "capacity": {"cpu": 4000, "memMb": 8000, "gpu": 2},
    "labels": ["a", "r1-1"],
}


def encode_entry(**changes: Any) -> bytes:
    """Return an entry with changed fields; None removes a field."""
    entry = {**ENTRY, **changes}
    return json.dumps({k: v for k, v in entry.items() if v is not None}).encode()


@pytest.mark.parametrize(
    ("capacity", "expected"),
    [
        ({"cpu": 4000, "memMb": 8000, "gpu": 2}, Resources(4000, 8000, 2)),
        ({"cpu": 0, "memMb": 0, "gpu": 0}, Resources()),
        ({"cpu": 4000, "memMb": 8000}, Resources(4000, 8000, 0)),
        ({"memMb": 8000, "gpu": 2}, Resources(0, 8000, 2)),
        ({}, Resources()),
        ({"cpu": None, "memMb": 8000}, Resources(0, 8000, 0)),
        ({"cpu": 3999.9, "memMb": 8000.0}, Resources(3999, 8000, 0)),
    ],
)
def test_capacity_of_an_entry(capacity: dict[str, Any], expected: Resources) -> None:
    """Guards against starts for a capacity that an entry doesn't state."""
    record = decode_worker("i-1", encode_entry(capacity=capacity))
    assert record.capacity == expected


def test_draining_entry_whose_time_is_over() -> None:
    """Guards against a worker that counts as ready since its entry is refused."""
    record = decode_worker("i-1", encode_entry(state="draining", remainingMs=-3))
    assert record.is_draining
    assert record.remaining_ms == -3


@pytest.mark.parametrize("field", ["cpu", "memMb", "gpu"])
@pytest.mark.parametrize(
    "amount",
    ["4000", "", True, False, [], [4000], {"cpu": 4000}, -1, -4000, -1.5],
    ids=repr,
)
def test_capacity_of_another_type_names_no_worker(field: str, amount: Any) -> None:
    """Guards against starts on an entry of another writer with such a capacity."""
    capacity = {**ENTRY["capacity"], field: amount}
    with pytest.raises(RecordInvalid):
        decode_worker("i-1", encode_entry(capacity=capacity))


@pytest.mark.parametrize(
    "changes",
    [
        {"capacity": None},
        {"capacity": []},
        {"capacity": "8 cores"},
        {"capacity": 8000},
        {"service": None},
        {"service": 7},
        {"addr": ""},
        {"addr": ["10.0.0.1:1"]},
        {"zone": {}},
        {"state": None},
        {"state": "resting"},
        {"state": ["ready"]},
        {"labels": None},
        {"labels": "a"},
        {"labels": {"a": "r1-1"}},
        {"labels": [1, 2]},
        {"born": "1"},
        {"born": [1]},
        {"born": -1},
        {"remainingMs": "soon"},
        {"remainingMs": "900"},
    ],
    ids=repr,
)
def test_entry_with_a_field_of_another_type_names_no_worker(
    changes: dict[str, Any],
) -> None:
    """Guards against work for an entry of another writer."""
    with pytest.raises(RecordInvalid):
        decode_worker("i-1", encode_entry(**changes))


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff",
        b"null",
        b"[]",
        b"7",
        b'"ready"',
        b"{",
        b"{}",
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b'{"born": ' + b"9" * 5000 + b"}",
        encode_entry().replace(b"4000", b"1e999"),
        encode_entry().replace(b"4000", b"Infinity"),
        encode_entry().replace(b"4000", b"NaN"),
        encode_entry(born=77).replace(b"77", b"1e999"),
        encode_entry(remainingMs=77).replace(b"77", b"-Infinity"),
    ],
    ids=lambda value: repr(value[:20]),
)
def test_unreadable_entry_names_no_worker(value: bytes) -> None:
    """Guards against entries that end the thread which follows the list of workers."""
    with pytest.raises(RecordInvalid):
        decode_worker("i-1", value)


@pytest.mark.parametrize(
    "body",
    [
        b'{"steps": [{"count": 1e999}]}',
        b'{"steps": [{"count": 1, "cpu": Infinity}]}',
        b'{"steps": [{"count": 1, "after": [1e999]}]}',
        b'{"steps": [{"count": 1}], "startAtMs": 1e999}',
        b"[" * 100_000,
    ],
    ids=lambda body: repr(body[:40]),
)
def test_job_with_infinite_numbers_is_refused(body: bytes) -> None:
    """Guards against submissions that end in an unexpected error."""
    with pytest.raises(RecordInvalid):
        decode_job(body)


@pytest.mark.parametrize(
    ("count", "has_more_ends"), [(0, False), (499, False), (500, True)]
)
def test_report_with_the_most_ends_may_leave_out_others(
    count: int, has_more_ends: bool
) -> None:
    """Guards against ended runs that are taken for runs that the worker has lost."""
    rows = [[n, f"00000000000000aa.0.0.{n}", 1, "done", ""] for n in range(count)]
    report = _decode_report({"clockMs": 1, "born": 1, "ended": rows})
    assert len(report.ended) == count
    assert report.has_more_ends is has_more_ends
