"""The upstream stand-in runs work and implements the task interface."""

import hashlib
import threading
from collections.abc import Callable, Iterator

import pytest
from urllib3 import BaseHTTPResponse, PoolManager, Retry
from urllib3.exceptions import HTTPError

from sesameladder.environment import HttpWorkerTasks
from sesameladder.settings import UpstreamSettings, UpstreamStandinSettings
from sesameladder.standins import ManualClock
from sesameladder.standins.upstream import UpstreamStandin

HTTP = PoolManager(retries=Retry(0), maxsize=16)
TASKS = HttpWorkerTasks.create()


@pytest.fixture(scope="module")
def shared_standin() -> Iterator[UpstreamStandin]:
    upstream = UpstreamSettings("worker-1", "127.0.0.1:0")
    server = UpstreamStandin(upstream, UpstreamStandinSettings((upstream,)))
    server.start()
    yield server
    server.stop()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def standin(clock: ManualClock) -> Iterator[UpstreamStandin]:
    upstream = UpstreamSettings("worker-1", "127.0.0.1:0", slots=2, connections=8)
    settings = UpstreamStandinSettings((upstream,), report_lag_ms=500, reboot_ms=2000)
    server = UpstreamStandin(upstream, settings, clock)
    server.start()
    yield server
    server.stop()


class BackgroundRequest:
    """A request that is sent on a background thread."""

    def __init__(self, standin: UpstreamStandin, **headers: str) -> None:
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        self.headers = {"Work-Ms": "1000", "Task-Lease-Ms": "3000", **names}
        self.url = f"http://{standin.address}/previews"
        self.response: BaseHTTPResponse | None = None
        self.error: Exception | None = None
        self.thread = threading.Thread(target=self.send)
        self.thread.start()

    def send(self) -> None:
        try:
            self.response = HTTP.request(
                "POST", self.url, body=b"scalp", headers=self.headers
            )
        except HTTPError as error:
            self.error = error

    def join(self) -> "BackgroundRequest":
        self.thread.join()
        return self


def send_now(standin: UpstreamStandin, **headers: str) -> BaseHTTPResponse:
    request = BackgroundRequest(standin, Work_Ms="0", **headers).join()
    assert request.response is not None
    return request.response


def start_tasks(
    standin: UpstreamStandin, count: int = 1, **headers: str
) -> list[BackgroundRequest]:
    requests = [
        BackgroundRequest(standin, Task_Id=f"t{number}", **headers)
        for number in range(count)
    ]
    standin.worker.wait_for_running(count)
    return requests


def test_response_echoes_the_request(standin: UpstreamStandin) -> None:
    """Guards against responses that can't be matched to their request."""
    response = send_now(
        standin,
        Task_Id="t1",
        Idempotency_Key="key-1",
        Sesameladder_Request_Id="request-1",
    ).json()
    assert (response["task_id"], response["request_id"]) == ("t1", "request-1")
    assert response["body_digest"] == hashlib.sha256(b"scalp").hexdigest()
    counters = standin.worker.read_counters()
    assert counters["runs_by_key"] == {"key-1": 1}
    assert counters["runs_by_request"] == {"request-1": 1}


def test_expired_lease_stops_the_task(
    standin: UpstreamStandin, clock: ManualClock
) -> None:
    """Guards against tasks that keep running after their forwarder is gone.

    Without the forwarder nobody renews the lease, and the task ends at its expiry.
    """
    (request,) = start_tasks(standin, Work_Ms="60000")
    clock.advance(2.0)
    assert TASKS.renew(standin.address, "t0", 3000)
    clock.advance(2.9)
    assert TASKS.renew(standin.address, "t0", 3000)
    clock.advance(3.0)
    response = request.join().response
    assert (response.status, response.headers["Task-End"]) == (500, "lapsed")
    assert not TASKS.renew(standin.address, "t0", 3000)


def test_report_lags(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against reports that show the current state without the lag."""
    (request,) = start_tasks(standin)
    assert TASKS.list_tasks(standin.address) == []
    clock.advance(0.6)
    (row,) = TASKS.list_tasks(standin.address)
    assert (row.task_id, round(row.running_ms)) == ("t0", 100)
    clock.advance(0.6)
    assert len(TASKS.list_tasks(standin.address)) == 1
    # The task's thread records its end when it wakes, which must happen before
    # the clock advances.
    request.join()
    clock.advance(0.6)
    assert TASKS.list_tasks(standin.address) == []


def test_full_worker_refuses(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against a worker that runs more tasks than it has slots."""
    requests = start_tasks(standin, 2)
    refusal = send_now(standin, Task_Id="t9")
    assert (refusal.status, refusal.headers["Worker-State"]) == (503, "full")
    clock.advance(1.0)
    assert [request.join().response.status for request in requests] == [200, 200]
    counters = standin.worker.read_counters()
    assert (counters["peak_slots"], counters["refused"]) == (2, {"full": 1})


def test_running_task_id_is_refused(standin: UpstreamStandin) -> None:
    """Guards against two tasks that run under the same task id and lease."""
    start_tasks(standin)
    assert send_now(standin, Task_Id="t0").status == 409


def test_checkpoint_and_resume(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against a resumed task that starts from the beginning."""
    (request,) = start_tasks(standin, Idempotency_Key="order")
    clock.advance(0.75)
    assert TASKS.checkpoint(standin.address, "t0")
    response = request.join().response
    assert response.status == 202
    checkpoint = response.headers["Task-Checkpoint"]
    (resumed,) = start_tasks(standin, Idempotency_Key="order", Task_Resume=checkpoint)
    clock.advance(0.25)
    assert resumed.join().response.status == 200
    counters = standin.worker.read_counters()
    assert counters["runs_by_key"] == {"order": 1}
    assert list(counters["resumes"].values()) == [1]


def test_throttle_and_stop(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against a throttled task that runs at full speed."""
    (request,) = start_tasks(standin)
    assert TASKS.throttle(standin.address, "t0", 0.5)
    clock.advance(1.0)
    assert TASKS.stop(standin.address, "t0")
    response = request.join().response
    assert (response.status, response.headers["Task-End"]) == (500, "stopped")
    assert not TASKS.stop(standin.address, "t0")


def test_leaving_worker(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against a drain that interrupts running tasks or accepts new ones."""
    (request,) = start_tasks(standin)
    HTTP.request("POST", f"http://{standin.address}/-/drain")
    refusal = send_now(standin)
    assert (refusal.status, refusal.headers["Worker-State"]) == (503, "leaving")
    assert not TASKS.check_health(standin.address)
    clock.advance(1.0)
    assert request.join().response.status == 200
    assert standin.worker.read_counters()["late_attempts"] == 0
    clock.advance(2.5)
    send_now(standin)
    counters = standin.worker.read_counters()
    assert (counters["late_attempts"], counters["work_after_leaving"]) == (1, 0)


def test_reboot_interrupts_running_tasks(
    standin: UpstreamStandin, clock: ManualClock
) -> None:
    """Guards against reboots that do not interrupt running tasks or count them."""
    (request,) = start_tasks(standin)
    HTTP.request("POST", f"http://{standin.address}/-/reboot")
    assert request.join().error is not None
    assert send_now(standin).status == 503
    assert not TASKS.check_health(standin.address)
    clock.advance(2.0)
    assert TASKS.check_health(standin.address)
    assert send_now(standin).status == 200
    assert standin.worker.read_counters()["cut_requests"] == 1


def expect_failure(
    standin: UpstreamStandin, clock: ManualClock, request: BackgroundRequest
) -> None:
    assert request.join().response.status == 500


def expect_hang(
    standin: UpstreamStandin, clock: ManualClock, request: BackgroundRequest
) -> None:
    standin.worker.wait_for_running(1)
    clock.advance(3.0)
    assert request.join().response.headers["Task-End"] == "lapsed"


def expect_crash(
    standin: UpstreamStandin, clock: ManualClock, request: BackgroundRequest
) -> None:
    standin.worker.wait_for_running(1)
    clock.advance(1.0)
    assert request.join().error is not None


def expect_withheld_response(
    standin: UpstreamStandin, clock: ManualClock, request: BackgroundRequest
) -> None:
    standin.worker.wait_for_running(1)
    clock.advance(1.0)
    standin.worker.wait_for_ended("done", 1)
    assert request.response is None
    clock.advance(60.0)
    assert request.join().error is not None


def expect_slow(
    standin: UpstreamStandin, clock: ManualClock, request: BackgroundRequest
) -> None:
    standin.worker.wait_for_running(1)
    clock.advance(1.0)
    assert TASKS.renew(standin.address, "t1", 3000)
    clock.advance(1.0)
    assert request.join().response.json()["running_ms"] == 2000


@pytest.mark.parametrize(
    ("fault_body", "expect"),
    [
        ({"mode": "fail"}, expect_failure),
        ({"mode": "hang"}, expect_hang),
        ({"mode": "crash"}, expect_crash),
        ({"mode": "lose_answer"}, expect_withheld_response),
        ({"mode": "slow", "factor": 2}, expect_slow),
    ],
    ids=lambda value: value["mode"] if isinstance(value, dict) else "",
)
def test_fault_mode(
    standin: UpstreamStandin, clock: ManualClock, fault_body: dict, expect: Callable
) -> None:
    """Guards against a fault without effect and one that ignores its count.

    The fault has a count of 1, so the next request must succeed.
    """
    url = f"http://{standin.address}/-/faults"
    assert HTTP.request("POST", url, json={**fault_body, "count": 1}).status == 204
    expect(
        standin, clock, BackgroundRequest(standin, Task_Id="t1", Idempotency_Key="k")
    )
    assert standin.worker.read_counters()["runs_by_key"] == {"k": 1}
    assert send_now(standin).status == 200


def test_connection_limit(standin: UpstreamStandin) -> None:
    """Guards against connections above the limit that are served or not counted."""
    pools = [PoolManager(retries=Retry(0)) for _ in range(9)]
    url = f"http://{standin.address}/previews"
    responses = [pool.request("GET", url, headers={"Work-Ms": "0"}) for pool in pools]
    assert [response.status for response in responses] == [200] * 8 + [503]
    counters = HTTP.request("GET", f"http://{standin.address}/-/counters").json()
    assert counters["peak_connections"] >= 9
    assert counters["connections_over_limit"] >= 1
    for pool in pools:
        pool.clear()


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status"),
    [
        ("GET", "/preview", {"Work-Ms": "-1"}, b"", 400),
        ("GET", "/preview", {"Work-Ms": "1e3"}, b"", 400),
        ("GET", "/preview", {"Task-Lease-Ms": "0"}, b"", 400),
        ("GET", "/preview", {"Task-Resume": "AAAA"}, b"", 400),
        ("GET", "/preview", {"Task-Resume": "\u00e9"}, b"", 400),
        ("POST", "/-/tasks/t/renew", {}, b"", 400),
        ("POST", "/-/tasks/t/renew?lease_ms=9", {}, b"", 404),
        ("POST", "/-/tasks/t/throttle?share=0", {}, b"", 400),
        ("POST", "/-/tasks/t/throttle?share=nan", {}, b"", 400),
        ("POST", "/-/faults", {}, b"[]", 400),
        ("POST", "/-/faults", {}, b'{"mode": "sleepy"}', 400),
        ("POST", "/-/faults", {}, b'{"mode": "fail", "often": 1}', 400),
        ("POST", "/-/faults", {}, b'{"mode": "slow", "factor": 0}', 400),
        ("POST", "/-/faults", {}, b'{"mode": "slow", "count": true}', 400),
        ("GET", "/-/none", {}, b"", 404),
    ],
)
def test_malformed_request(
    shared_standin: UpstreamStandin,
    method: str,
    path: str,
    headers: dict,
    body: bytes,
    status: int,
) -> None:
    """Guards against malformed input that starts work or stops the server."""
    url = f"http://{shared_standin.address}{path}"
    assert HTTP.request(method, url, body=body, headers=headers).status == status
    assert TASKS.check_health(shared_standin.address)
    assert shared_standin.worker.read_counters()["runs_by_request"] == {}
