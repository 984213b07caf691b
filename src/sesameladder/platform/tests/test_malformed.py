"""What happens with documents and responses that do not have the published form."""

import json
from collections.abc import Callable

import pytest

from sesameladder.platform import (
    AdviceClient,
    OutcomeUnknown,
    Put,
    RecordInvalid,
    StoreClient,
    UnexpectedResponse,
    VmClient,
    WorkerClient,
    decode_configuration,
    decode_job,
    decode_wave,
    decode_worker,
)
from sesameladder.platform._http import HttpResponse

DEEP = b"[" * 100_000
JOB = {"spec": "", "steps": [{"count": 1, "cpu": 1000, "memMb": 100, "estMs": 500}]}
CONFIGURATION = {"version": 3, "routes": [], "services": [], "limits": {}}
WAVE = {"wave": 1, "machines": ["m-1"], "finishByS": 60, "cap": 1}
WORKER = {
    "service": "chair",
    "addr": "10.0.0.1:1",
    "zone": "zone-a",
    "state": "ready",
    "capacity": {"cpu": 4000, "memMb": 8000},
    "labels": ["a", "r1-1"],
}


def encode_infinite(body: dict[str, object], field: str) -> bytes:
    return json.dumps({**body, field: "X"}).replace('"X"', "1e999").encode()


@pytest.mark.parametrize(
    ("decode", "value"),
    [
        (decode_job, encode_infinite(JOB, "times")),
        (decode_configuration, encode_infinite(CONFIGURATION, "version")),
        (decode_wave, encode_infinite(WAVE, "wave")),
        (lambda value: decode_worker("i-1", value), encode_infinite(WORKER, "born")),
        (decode_job, DEEP),
        (decode_configuration, DEEP),
        (decode_wave, DEEP),
        (lambda value: decode_worker("i-1", value), DEEP),
    ],
)
def test_malformed_document_is_refused(
    decode: Callable[[bytes], object], value: bytes
) -> None:
    """Guards against one document that keeps the others from being read.

    Its error was none of those that are expected of a malformed document, so it ended
    the thread, or the reading of the whole list.
    """
    with pytest.raises(RecordInvalid):
        decode(value)


class FixedHttp:
    """Answers every call with the same status and body."""

    def __init__(self, status: int, body: dict[str, object]) -> None:
        self.response = HttpResponse(status, body)

    def call(self, *args: object, **options: object) -> HttpResponse:
        return self.response


def build_store(http: FixedHttp) -> StoreClient:
    return StoreClient(http)  # type: ignore[arg-type]


def list_vms(http: FixedHttp) -> object:
    client = VmClient("127.0.0.1:1")
    client.http = http  # type: ignore[assignment]
    return client.list_vms()


def ask_for_advice(http: FixedHttp) -> object:
    client = AdviceClient("127.0.0.1:1")
    client.http = http  # type: ignore[assignment]
    return client.advise(("0a", 0, 0), ["i-1"], 0.1)


def poll_report(http: FixedHttp) -> object:
    client = WorkerClient("127.0.0.1:1", "i-1", 9)
    client.reports_http = http  # type: ignore[assignment]
    return client.poll_report(0, None, 0)


@pytest.mark.parametrize(
    ("call", "status", "body", "error"),
    [
        (lambda http: build_store(http).read("k"), 200, {}, UnexpectedResponse),
        (
            lambda http: build_store(http).read("k"),
            200,
            {"key": "k", "value": "", "rev": [1]},
            UnexpectedResponse,
        ),
        (lambda http: build_store(http).read_range("k"), 200, {}, UnexpectedResponse),
        (
            lambda http: build_store(http).read_range("k"),
            200,
            {"items": [1], "asOf": 3},
            UnexpectedResponse,
        ),
        (
            lambda http: build_store(http).watch("k", 1, 0),
            200,
            {"events": [{"key": "k"}], "asOf": 3},
            UnexpectedResponse,
        ),
        (
            lambda http: build_store(http).commit((), (), (("k", 1),)),
            412,
            {"items": [{}]},
            OutcomeUnknown,
        ),
        (
            lambda http: build_store(http).commit((Put("k", b""),)),
            200,
            {},
            OutcomeUnknown,
        ),
        (lambda http: build_store(http).grant_lease(9), 200, {}, UnexpectedResponse),
        (list_vms, 200, {"machines": {}}, UnexpectedResponse),
        (list_vms, 200, {"machines": 7}, UnexpectedResponse),
        (ask_for_advice, 200, {"good": [{}]}, UnexpectedResponse),
        (
            poll_report,
            200,
            {"clockMs": 1, "running": [[1, 1, "", 0]]},
            UnexpectedResponse,
        ),
        (poll_report, 200, {"clockMs": 10**400}, UnexpectedResponse),
        (poll_report, 200, {"clockMs": 1, "born": 10**400}, UnexpectedResponse),
        (
            poll_report,
            200,
            {"clockMs": 1, "running": [["0a.0.0.0", 10**400, "", 0]]},
            UnexpectedResponse,
        ),
        (
            poll_report,
            200,
            {"clockMs": 1, "running": [["0a.0.0.0", 1, ["0a"], 0]]},
            UnexpectedResponse,
        ),
        (
            poll_report,
            200,
            {"clockMs": 1, "ended": [[10**400, "0a.0.0.0", 1, "done", ""]]},
            UnexpectedResponse,
        ),
        (
            poll_report,
            200,
            {"clockMs": 1, "ended": [[1, "0a.0.0.0", 1, "done", {}]]},
            UnexpectedResponse,
        ),
    ],
)
def test_malformed_response_counts_as_a_failed_call(
    call: Callable[[FixedHttp], object],
    status: int,
    body: dict[str, object],
    error: type[Exception],
) -> None:
    """Guards against tasks that take a malformed response for a fault of their own.

    They repeat a failed call; the error of a malformed response ended their thread. A
    commit without a revision may have taken effect.
    """
    with pytest.raises(error):
        call(FixedHttp(status, body))
