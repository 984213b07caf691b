"""The upstream stand-in runs work and answers the task interface."""

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


class Work:
    """A request that is sent on a thread of its own."""

    def __init__(self, standin: UpstreamStandin, **headers: str) -> None:
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        self.headers = {"Work-Ms": "1000", "Task-Lease-Ms": "3000", **names}
        self.url = f"http://{standin.address}/previews"
        self.answer: BaseHTTPResponse | None = None
        self.error: Exception | None = None
        self.thread = threading.Thread(target=self.send)
        self.thread.start()

    def send(self) -> None:
        try:
            self.answer = HTTP.request(
                "POST", self.url, body=b"scalp", headers=self.headers
            )
        except HTTPError as error:
            self.error = error

    def join(self) -> "Work":
        self.thread.join()
        return self


def send_now(standin: UpstreamStandin, **headers: str) -> BaseHTTPResponse:
    work = Work(standin, Work_Ms="0", **headers).join()
    assert work.answer is not None
    return work.answer


def start(standin: UpstreamStandin, count: int = 1, **headers: str) -> list[Work]:
    works = [Work(standin, Task_Id=f"t{number}", **headers) for number in range(count)]
    standin.worker.await_running(count)
    return works


def test_answer_echoes_the_request(standin: UpstreamStandin) -> None:
    """Guards against answers that can't be matched to their request."""
    answer = send_now(
        standin,
        Task_Id="t1",
        Idempotency_Key="key-1",
        Sesameladder_Request_Id="request-1",
    ).json()
    assert (answer["task_id"], answer["request_id"]) == ("t1", "request-1")
    assert answer["body_digest"] == hashlib.sha256(b"scalp").hexdigest()
    counters = standin.worker.read_counters()
    assert counters["runs_by_key"] == {"key-1": 1}
    assert counters["runs_by_request"] == {"request-1": 1}


def test_lapsed_lease_stops_the_task(
    standin: UpstreamStandin, clock: ManualClock
) -> None:
    """Guards against tasks that outlive a forwarder that is gone."""
    (work,) = start(standin, Work_Ms="60000")
    clock.advance(2.0)
    assert TASKS.renew(standin.address, "t0", 3000)
    clock.advance(2.9)
    assert TASKS.renew(standin.address, "t0", 3000)
    clock.advance(3.0)
    answer = work.join().answer
    assert (answer.status, answer.headers["Task-End"]) == (500, "lapsed")
    assert not TASKS.renew(standin.address, "t0", 3000)


def test_report_lags(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against readers that take the report for the present state."""
    (work,) = start(standin)
    assert TASKS.list_tasks(standin.address) == []
    clock.advance(0.6)
    (row,) = TASKS.list_tasks(standin.address)
    assert (row.task_id, round(row.running_ms)) == ("t0", 100)
    clock.advance(0.6)
    assert len(TASKS.list_tasks(standin.address)) == 1
    # The task's thread notes its end when it wakes, which has to be before the
    # clock moves on.
    work.join()
    clock.advance(0.6)
    assert TASKS.list_tasks(standin.address) == []


def test_full_worker_refuses(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against a worker that runs more tasks than it has slots."""
    works = start(standin, 2)
    refused = send_now(standin, Task_Id="t9")
    assert (refused.status, refused.headers["Worker-State"]) == (503, "full")
    clock.advance(1.0)
    assert [work.join().answer.status for work in works] == [200, 200]
    counters = standin.worker.read_counters()
    assert (counters["peak_slots"], counters["refused"]) == (2, {"full": 1})


def test_running_identity_is_refused(standin: UpstreamStandin) -> None:
    """Guards against two tasks that share one lease."""
    start(standin)
    assert send_now(standin, Task_Id="t0").status == 409


def test_checkpoint_and_resume(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against a resumed task that starts from the beginning."""
    (work,) = start(standin, Idempotency_Key="order")
    clock.advance(0.75)
    assert TASKS.checkpoint(standin.address, "t0")
    answer = work.join().answer
    assert answer.status == 202
    checkpoint = answer.headers["Task-Checkpoint"]
    (resumed,) = start(standin, Idempotency_Key="order", Task_Resume=checkpoint)
    clock.advance(0.25)
    assert resumed.join().answer.status == 200
    counters = standin.worker.read_counters()
    assert counters["runs_by_key"] == {"order": 1}
    assert list(counters["resumes"].values()) == [1]


def test_throttle_and_stop(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against a throttled task that runs at full speed."""
    (work,) = start(standin)
    assert TASKS.throttle(standin.address, "t0", 0.5)
    clock.advance(1.0)
    assert TASKS.stop(standin.address, "t0")
    answer = work.join().answer
    assert (answer.status, answer.headers["Task-End"]) == (500, "stopped")
    assert not TASKS.stop(standin.address, "t0")


def test_leaving_worker(standin: UpstreamStandin, clock: ManualClock) -> None:
    """Guards against a drain that cuts running tasks or accepts new ones."""
    (work,) = start(standin)
    HTTP.request("POST", f"http://{standin.address}/-/drain")
    refused = send_now(standin)
    assert (refused.status, refused.headers["Worker-State"]) == (503, "leaving")
    assert not TASKS.check_health(standin.address)
    clock.advance(1.0)
    assert work.join().answer.status == 200
    assert standin.worker.read_counters()["late_attempts"] == 0
    clock.advance(2.5)
    send_now(standin)
    counters = standin.worker.read_counters()
    assert (counters["late_attempts"], counters["work_after_leaving"]) == (1, 0)


def test_reboot_cuts_running_tasks(
    standin: UpstreamStandin, clock: ManualClock
) -> None:
    """Guards against reboots that hide the work that they cut."""
    (work,) = start(standin)
    HTTP.request("POST", f"http://{standin.address}/-/reboot")
    assert work.join().error is not None
    assert send_now(standin).status == 503
    assert not TASKS.check_health(standin.address)
    clock.advance(2.0)
    assert TASKS.check_health(standin.address)
    assert send_now(standin).status == 200
    assert standin.worker.read_counters()["cut_requests"] == 1


def expect_failure(standin: UpstreamStandin, clock: ManualClock, work: Work) -> None:
    assert work.join().answer.status == 500


def expect_hang(standin: UpstreamStandin, clock: ManualClock, work: Work) -> None:
    standin.worker.await_running(1)
    clock.advance(3.0)
    assert work.join().answer.headers["Task-End"] == "lapsed"


def expect_crash(standin: UpstreamStandin, clock: ManualClock, work: Work) -> None:
    standin.worker.await_running(1)
    clock.advance(1.0)
    assert work.join().error is not None


def expect_lost_answer(
    standin: UpstreamStandin, clock: ManualClock, work: Work
) -> None:
    standin.worker.await_running(1)
    clock.advance(1.0)
    standin.worker.await_ended("done", 1)
    assert work.answer is None
    clock.advance(60.0)
    assert work.join().error is not None


def expect_slow(standin: UpstreamStandin, clock: ManualClock, work: Work) -> None:
    standin.worker.await_running(1)
    clock.advance(1.0)
    assert TASKS.renew(standin.address, "t1", 3000)
    clock.advance(1.0)
    assert work.join().answer.json()["running_ms"] == 2000


@pytest.mark.parametrize(
    ("order", "expect"),
    [
        ({"mode": "fail"}, expect_failure),
        ({"mode": "hang"}, expect_hang),
        ({"mode": "crash"}, expect_crash),
        ({"mode": "lose_answer"}, expect_lost_answer),
        ({"mode": "slow", "factor": 2}, expect_slow),
    ],
    ids=lambda value: value["mode"] if isinstance(value, dict) else "",
)
def test_fault_mode(
    standin: UpstreamStandin, clock: ManualClock, order: dict, expect: Callable
) -> None:
    """Guards against a fault mode that does not cause its failure, or only once."""
    url = f"http://{standin.address}/-/faults"
    assert HTTP.request("POST", url, json={**order, "count": 1}).status == 204
    expect(standin, clock, Work(standin, Task_Id="t1", Idempotency_Key="k"))
    assert standin.worker.read_counters()["runs_by_key"] == {"k": 1}
    assert send_now(standin).status == 200


def test_connection_limit(standin: UpstreamStandin) -> None:
    """Guards against connections above the limit that go unnoticed."""
    pools = [PoolManager(retries=Retry(0)) for _ in range(9)]
    url = f"http://{standin.address}/previews"
    answers = [pool.request("GET", url, headers={"Work-Ms": "0"}) for pool in pools]
    assert [answer.status for answer in answers] == [200] * 8 + [503]
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
    """Guards against malformed input that runs, or that ends the server."""
    url = f"http://{shared_standin.address}{path}"
    assert HTTP.request(method, url, body=body, headers=headers).status == status
    assert TASKS.check_health(shared_standin.address)
    assert shared_standin.worker.read_counters()["runs_by_request"] == {}
