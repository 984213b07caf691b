"""Accepted work takes no owner's memory, however much of it clients submit.

The crowds submit sound jobs that have to wait. Crowd sizes and bounds are fixed; the
bound of the memory is what the settings of the processes state.
"""

import http.client
import json
import signal
import threading
import time
from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path
from typing import Any

import pytest

from sesameladder.jobs import QueuePolicy
from sesameladder.node._keys import accepted_key, submission_key
from sesameladder.node._records import encode_pool, encode_submission
from sesameladder.node.tests.test_whole_path import (
    HOST,
    PREFIX,
    Cluster,
    build_configuration,
    build_job,
)
from sesameladder.standins.system import SimulatedWork, SystemStandin
from tests.processes.crowd import (
    HANG_LIMIT_S,
    MAX_DESCRIPTORS,
    count_descriptors,
    read_peak_memory_kb,
)

POOL = "chair"
WORKER_CAPACITY = 64_000  # room for one subtask of the crowd, and for ordinary ones
CLIENTS = 8
JOBS_PER_CLIENT = {
    "wide steps": 200,
    "many steps": 25,
    "steps in a row": 25,
    "gangs": 25,
}
MEMORY_MB = 100  # half of the smallest VM of a deployment, for a smaller crowd
BODY_BYTES = 262_144
SETTINGS = f"limits.memoryMb={MEMORY_MB}\nlimits.maxFds={MAX_DESCRIPTORS}\n"
QUEUE = QueuePolicy("r-1", HOST, PREFIX, POOL, 0, 3, 1.6, 600, 3000)
JOB_NUMBERS = count(0xACCE)
WORK = SimulatedWork(duration_ms=60_000, cpu=45_000).to_text()
WAITING_STEP = {"cpu": 45_000, "memMb": 100, "estMs": 60_000}
WAITING_JOBS: dict[str, dict[str, Any]] = {
    "wide steps": {"spec": WORK, "steps": [{"count": 300, **WAITING_STEP}] * 30},
    "many steps": {"spec": WORK, "steps": [{"count": 1, **WAITING_STEP}] * 500},
    "steps in a row": {
        "spec": WORK,
        "steps": [
            {"count": 1, **WAITING_STEP, **({"after": [n - 1]} if n else {})}
            for n in range(500)
        ],
    },
    "gangs": {"spec": WORK, "steps": [{"count": 2000, **WAITING_STEP, "gang": True}]},
}


def take_job_id() -> str:
    return f"{next(JOB_NUMBERS):016x}"


class JobClient:
    """Submits jobs over one connection, one after the other."""

    def __init__(self, cluster: Cluster, node: str, body: dict[str, Any]) -> None:
        self.port = cluster.ports[node][0]
        self.body = json.dumps(body)
        self.statuses: list[int] = []

    def run(self, jobs: int) -> None:
        connection: http.client.HTTPConnection | None = None
        for _ in range(jobs):
            if connection is None:
                connection = http.client.HTTPConnection(
                    "127.0.0.1", self.port, timeout=HANG_LIMIT_S
                )
            try:
                path = PREFIX + take_job_id()
                connection.request("POST", path, self.body, {"Host": HOST})
                response = connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
                self.statuses.append(0)
                continue
            self.statuses.append(response.status)


def run_crowd(cluster: Cluster, node: str, kind: str, share: float = 1.0) -> None:
    """Let all clients submit that share of their jobs."""
    jobs = int(JOBS_PER_CLIENT[kind] * share)
    clients = [JobClient(cluster, node, WAITING_JOBS[kind]) for _ in range(CLIENTS)]
    threads = [threading.Thread(target=client.run, args=(jobs,)) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    answered = {status for client in clients for status in client.statuses}
    assert answered <= {200, 503}, f"the crowd got {answered}"


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    standin = SystemStandin(POOL, workers=1, capacity=WORKER_CAPACITY)
    standin.start()
    configuration = build_configuration(version=3)
    configuration["limits"] = {"bodyBytes": BODY_BYTES}
    standin.configure(configuration)
    cluster = Cluster(standin, tmp_path)
    try:
        yield cluster
    finally:
        cluster.stop()
        standin.stop()


def start_node(cluster: Cluster, name: str) -> None:
    cluster.start_node(name, SETTINGS)
    cluster.wait_ready(name)


def wait_for_owner(cluster: Cluster, name: str) -> None:
    until = time.monotonic() + HANG_LIMIT_S
    while cluster.wait_for_owner() != name:
        assert time.monotonic() < until, f"{name} does not own the pool"
        time.sleep(0.05)


def check_bounds(cluster: Cluster, name: str) -> None:
    process = cluster.processes[name]
    assert process.poll() is None, f"{name} has ended"
    assert read_peak_memory_kb(process.pid) <= MEMORY_MB * 1000
    assert count_descriptors(process.pid) <= MAX_DESCRIPTORS


def check_ordinary_job(cluster: Cluster, name: str) -> None:
    """Check that an ordinary job is accepted and ends."""
    job = take_job_id()
    body = build_job(SimulatedWork(duration_ms=10))
    answer = cluster.call(name, "POST", PREFIX + job, body)
    assert answer[0] == 200, answer
    cluster.wait_state(name, job, "done")


@pytest.mark.parametrize("kind", WAITING_JOBS)
def test_owner_stays_within_its_memory(cluster: Cluster, kind: str) -> None:
    """Guards against an owner that ends since it holds all that clients submit."""
    start_node(cluster, "n1")
    wait_for_owner(cluster, "n1")
    run_crowd(cluster, "n1", kind)
    check_ordinary_job(cluster, "n1")
    check_bounds(cluster, "n1")


def terminate(cluster: Cluster, name: str) -> None:
    cluster.processes[name].send_signal(signal.SIGTERM)
    cluster.processes[name].wait(timeout=HANG_LIMIT_S)


def kill(cluster: Cluster, name: str) -> None:
    cluster.processes[name].kill()
    cluster.processes[name].wait(timeout=HANG_LIMIT_S)


@pytest.mark.parametrize("end", [terminate, kill])
def test_next_owner_stays_within_its_memory(
    cluster: Cluster, end: Callable[[Cluster, str], None]
) -> None:
    """Guards against accepted work that ends one owner after the other.

    The owner ends in the middle of the crowd; a process that had no client before
    takes over what has been accepted.
    """
    start_node(cluster, "n1")
    wait_for_owner(cluster, "n1")
    run_crowd(cluster, "n1", "wide steps", share=0.5)
    start_node(cluster, "n2")
    crowd = threading.Thread(target=run_crowd, args=(cluster, "n2", "wide steps", 0.5))
    crowd.start()
    end(cluster, "n1")
    crowd.join()
    wait_for_owner(cluster, "n2")
    check_ordinary_job(cluster, "n2")
    check_bounds(cluster, "n2")


def test_owner_loads_what_is_more_than_its_memory(cluster: Cluster) -> None:
    """Guards against an owner that ends at what earlier versions have accepted."""
    jobs = [take_job_id() for _ in range(CLIENTS * JOBS_PER_CLIENT["wide steps"])]
    body = json.dumps(WAITING_JOBS["wide steps"]).encode()
    for job in jobs:
        value = encode_submission(QUEUE, body)
        cluster.standin.store.put(submission_key(POOL, job), value)
        cluster.standin.store.put(accepted_key(job), encode_pool(POOL))
    start_node(cluster, "n1")
    wait_for_owner(cluster, "n1")
    check_ordinary_job(cluster, "n1")
    for job in jobs[::100]:
        status, state = cluster.call("n1", "GET", PREFIX + job)
        assert (status, state["state"]) in ((200, "queued"), (200, "running"))
    check_bounds(cluster, "n1")


def test_node_decodes_large_bodies_within_its_memory(cluster: Cluster) -> None:
    """Guards against bodies that are small on the wire and large when decoded."""
    start_node(cluster, "n1")
    body = b"[" + b"[]," * (BODY_BYTES // 3 - 1) + b"[]]"
    threads = [
        threading.Thread(target=send_in_series, args=(cluster, body))
        for _ in range(3 * CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check_ordinary_job(cluster, "n1")
    check_bounds(cluster, "n1")


def send_in_series(cluster: Cluster, body: bytes, times: int = 10) -> None:
    """Send a body that is refused some times, each over its own connection."""
    for _ in range(times):
        connection = http.client.HTTPConnection(
            "127.0.0.1", cluster.ports["n1"][0], timeout=HANG_LIMIT_S
        )
        connection.request("POST", PREFIX + take_job_id(), body, {"Host": HOST})
        status = connection.getresponse().status
        connection.close()
        assert status in (400, 413, 503)
