"""Limits of the fields in documents that others write."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameladder.fleet import Vm, VmPhase
from sesameladder.jobs import Resources
from sesameladder.platform import (
    MAX_OCCURRENCES,
    MAX_PAYLOAD_BYTES,
    MAX_STEPS,
    MAX_SUBTASKS,
    CallNotSent,
    RecordInvalid,
    RecordTooLarge,
    VmList,
    decode_configuration,
    decode_job,
    decode_wave,
    decode_worker,
)
from sesameladder.platform._http import HttpClient
from sesameladder.platform.tests.test_malformed import (
    CONFIGURATION,
    JOB,
    WAVE,
    FixedHttp,
    list_vms,
)
from sesameladder.platform.tests.test_workers import ENTRY, encode_entry

HUGE = 10**400
SURROGATE = "\ud800"
ROW = {"machine": "m-1", "pool": "chair", "state": "up", "zone": "z", "id": "i-1"}
VM = Vm("m-1", "chair", VmPhase.UP, "z", (), Resources(), "i-1")
STEP = {"count": 1, "cpu": 1000}


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:1",
        "10.0.0.1:65535",
        "worker-1.zone-a:8080",
        "[::1]:80",
    ],
)
def test_address_of_a_worker(address: str) -> None:
    assert decode_worker("i-1", encode_entry(addr=address)).address == address


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:٨٠",
        "10.0.0.1:8²",
        "10.0.0.1: 80",
        "10.0.0.1\n:80",
        "10.0.0.1\r\nHost: x:80",
        "%zz:1",
        "a/b:80",
        "a?b:80",
        "a#b:80",
        "user@host:80",
        "a b:80",
        "a..b:80",
        "x" * 64 + ":80",
        "höst:80",
        ":80",
        "10.0.0.1",
        SURROGATE + ":80",
        "x" * 300 + ":80",
    ],
    ids=lambda address: repr(address[:20]),
)
def test_address_that_no_call_reaches_names_no_worker(address: str) -> None:
    """Guards against an entry that ends each pass of its pool's owner.

    The connection pool of such an address can't be built. A call to a port out of
    range was taken for one that may have been carried out.
    """
    with pytest.raises(RecordInvalid):
        decode_worker("i-1", encode_entry(addr=address))


@pytest.mark.parametrize(
    "changes",
    [
        {"capacity": {"cpu": HUGE}},
        {"capacity": {"cpu": 10**9 + 1}},
        {"capacity": {"cpu": 2**70}},
        {"capacity": {"memMb": 1e308}},
        {"capacity": {"gpu": 10**4000}},
        {"born": HUGE},
        {"born": 1e18},
        {"remainingMs": HUGE},
        {"remainingMs": -HUGE},
        {"service": SURROGATE},
        {"service": "x" * 201},
        {"zone": SURROGATE},
        {"labels": ["a", SURROGATE]},
        {"labels": ["a"] * 65},
        {"labels": [""]},
    ],
    ids=lambda changes: str(changes)[:40],
)
def test_entry_beyond_a_limit_names_no_worker(changes: dict[str, Any]) -> None:
    """Guards against numbers on which the ranking and the load of a pool fail."""
    with pytest.raises(RecordInvalid) as caught:
        decode_worker("i-1", encode_entry(**changes))
    assert len(str(caught.value)) < 400


@pytest.mark.parametrize("worker", ["", "i 1\n", "i-1\r\nX: y", "wörker", SURROGATE])
def test_name_that_no_header_can_hold_names_no_worker(worker: str) -> None:
    """Guards against threads that end at each call to the worker."""
    with pytest.raises(RecordInvalid):
        decode_worker(worker, encode_entry())


@pytest.mark.parametrize("address", ["%zz:1", "a..b:80", "x" * 64 + ":80"])
def test_call_to_an_unusable_address_was_not_sent(address: str) -> None:
    """Guards against starts that count as possibly carried out."""
    client = object.__new__(HttpClient)
    client.address = address
    try:
        client.__init__(address)  # type: ignore[misc]
        with pytest.raises(CallNotSent):
            client.call("GET", "/")
    except ValueError:
        # The connection pool refuses the address; nothing can be sent.
        assert address == "%zz:1"


@pytest.mark.parametrize(
    ("step", "field"),
    [
        ({"count": 0}, "steps[0].count"),
        ({"count": -1}, "steps[0].count"),
        ({"count": 1.5}, "steps[0].count"),
        ({"count": "1"}, "steps[0].count"),
        ({"count": True}, "steps[0].count"),
        ({"cpu": -1}, "steps[0].cpu"),
        ({"cpu": 0.5 - 1}, "steps[0].cpu"),
        ({"memMb": -1}, "steps[0].memMb"),
        ({"gpu": -1}, "steps[0].gpu"),
        ({"cpu": "many"}, "steps[0].cpu"),
        ({"estMs": -1}, "steps[0].estMs"),
        ({"after": [-1]}, "steps[0].after"),
        ({"after": [0]}, "steps[0].after"),
        ({"after": ["0"]}, "steps[0].after"),
        ({"after": [0.0]}, "steps[0].after"),
        ({"after": 0}, "steps[0].after"),
        ({"antiAffinity": -1}, "steps[0].antiAffinity"),
        ({"mayMiss": -1}, "steps[0].mayMiss"),
        ({"requires": 7}, "steps[0].requires"),
        ({"dataRack": SURROGATE}, "steps[0].dataRack"),
        ({"gang": "yes"}, "steps[0].gang"),
    ],
    ids=lambda value: str(value)[:40],
)
def test_malformed_step_is_refused_with_its_field(
    step: dict[str, Any], field: str
) -> None:
    """Guards against jobs that are stored before an owner fails on them.

    Each owner of the pool read them in turn. A negative number of cores made room
    for others on a full worker.
    """
    body = json.dumps({"spec": "", "steps": [{**STEP, **step}]}).encode()
    with pytest.raises(RecordInvalid, match=field.replace("[", r"\[")) as caught:
        decode_job(body)
    assert not isinstance(caught.value, RecordTooLarge)


def encode_job(**changes: Any) -> bytes:
    return json.dumps({**JOB, **changes}).encode()


@pytest.mark.parametrize(
    ("body", "text"),
    [
        (
            encode_job(steps=[{"count": 5_000_000}]),
            r"steps\[0\].count is 5000000, more",
        ),
        (encode_job(steps=[{"count": MAX_SUBTASKS + 1}]), "count"),
        (encode_job(steps=[{"count": MAX_SUBTASKS}, {"count": 1}]), "counts of steps"),
        (encode_job(steps=[STEP] * (MAX_STEPS + 1)), "steps has 501 entries"),
        (encode_job(times=10**12), "times is 1000000000000"),
        (encode_job(times=MAX_OCCURRENCES + 1), "times"),
        (encode_job(startAtMs=HUGE), "startAtMs"),
        (encode_job(intervalMs=1e300), "intervalMs"),
        (encode_job(steps=[{**STEP, "cpu": HUGE}]), r"steps\[0\].cpu"),
        (encode_job(steps=[{**STEP, "image": "x" * 201}]), r"steps\[0\].image"),
        (encode_job(spec="x" * (MAX_PAYLOAD_BYTES + 1)), "spec has 4001 bytes"),
        (
            encode_job(steps=[{**STEP, "daemon": True}], times=MAX_SUBTASKS),
            "times is 10000, more than 200 for steps that last",
        ),
    ],
    ids=lambda value: str(value)[:40],
)
def test_job_beyond_a_limit_is_refused(body: bytes, text: str) -> None:
    """Guards against a body of 50 bytes that takes down every owner of its pool.

    A count of five million took 3 GB, and an owner has 200 MB.
    """
    with pytest.raises(RecordTooLarge, match=text):
        decode_job(body)


@pytest.mark.parametrize(
    "body",
    [
        encode_job(steps=[{"count": MAX_SUBTASKS}]),
        encode_job(steps=[STEP] * MAX_STEPS),
        encode_job(times=MAX_OCCURRENCES, startAtMs=1_700_000_000_000, intervalMs=1),
        encode_job(spec="x" * MAX_PAYLOAD_BYTES),
        encode_job(spec="ä" * (MAX_PAYLOAD_BYTES // 2)),
        encode_job(steps=[STEP, {**STEP, "after": [0]}]),
        encode_job(steps=[{**STEP, "daemon": True}], times=200),
    ],
    ids=lambda body: repr(body[:40]),
)
def test_job_at_a_limit_is_accepted(body: bytes) -> None:
    assert decode_job(body).steps


@pytest.mark.parametrize(
    "changes",
    [
        {"machine": None},
        {"machine": ""},
        {"machine": 7},
        {"pool": None},
        {"state": "resting"},
        {"state": ["up"]},
        {"zone": 7},
        {"labels": "a"},
        {"labels": [1]},
        {"capacity": 8},
        {"capacity": {"cpu": HUGE}},
        {"capacity": {"cpu": -1}},
        {"id": 7},
        {"id": SURROGATE},
    ],
    ids=lambda changes: str(changes)[:40],
)
def test_odd_row_does_not_hide_the_other_vms(changes: dict[str, Any]) -> None:
    """Guards against one row for which the whole VM list is refused."""
    odd = {**ROW, "machine": "m-2", **changes}
    vm_list = list_vms(FixedHttp(200, {"machines": [odd, ROW]}))
    assert isinstance(vm_list, VmList)
    assert vm_list.vms == [VM]
    has_name = "machine" not in changes
    assert list(vm_list.unreadable) == (["m-2"] if has_name else [])
    assert len(vm_list.unnamed) == (0 if has_name else 1)


@pytest.mark.parametrize(
    ("decode", "value"),
    [
        (decode_configuration, {**CONFIGURATION, "version": HUGE}),
        (decode_configuration, {**CONFIGURATION, "limits": {"bodyBytes": HUGE}}),
        (decode_configuration, {**CONFIGURATION, "limits": 7}),
        (
            decode_configuration,
            {**CONFIGURATION, "services": [{"name": SURROGATE}]},
        ),
        (
            decode_configuration,
            {
                **CONFIGURATION,
                "routes": [
                    {"name": "q", "host": "h", "prefix": "/", "service": "chair"}
                    | {"stretch": HUGE}
                ],
            },
        ),
        (decode_wave, {**WAVE, "wave": HUGE}),
        (decode_wave, {**WAVE, "finishByS": HUGE}),
        (decode_wave, {**WAVE, "machines": "m-1"}),
        (decode_wave, {**WAVE, "machines": [7]}),
        (decode_wave, {**WAVE, "cap": -1}),
    ],
    ids=lambda value: str(value)[:40],
)
def test_operator_record_beyond_a_limit_is_refused(
    decode: Callable[[bytes], object], value: dict[str, Any]
) -> None:
    """Guards against operators' records on which a planner fails later."""
    with pytest.raises(RecordInvalid):
        decode(json.dumps(value).encode())


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([HUGE, -HUGE, 2**63, 99_999])
    | st.floats()
    | st.text(st.characters()),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(field=st.sampled_from(sorted(ENTRY)), value=JSON_VALUES)
def test_any_entry_is_read_or_refused(field: str, value: Any) -> None:
    """Guards against entries whose decoding ends in any other error."""
    try:
        record = decode_worker("i-1", json.dumps({**ENTRY, field: value}).encode())
    except RecordInvalid:
        return
    HttpClient(record.address).close()
    assert 0 <= record.capacity.cpu_millis <= 10**9
    json.dumps([record.pool, record.zone, record.labels]).encode()


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    field=st.sampled_from(["spec", "steps", "times", "startAtMs", "intervalMs"]),
    step_field=st.sampled_from(["count", "cpu", "after", "gang", "requires", "estMs"]),
    value=JSON_VALUES,
)
def test_any_job_is_read_or_refused(field: str, step_field: str, value: Any) -> None:
    """Guards against bodies whose decoding ends in any other error."""
    for body in (
        {**JOB, field: value},
        {**JOB, "steps": [{**STEP, step_field: value}]},
    ):
        try:
            spec = decode_job(json.dumps(body).encode())
        except RecordInvalid:
            continue
        assert 1 <= sum(step.count for step in spec.steps) <= MAX_SUBTASKS
        assert all(step.needs.cpu_millis >= 0 for step in spec.steps)
