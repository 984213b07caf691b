"""End-to-end tests of real node processes against the stand-in of the platform."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from sesameladder.standins.system import SimulatedWork, SystemStandin

PORTS = range(24_000, 32_000)
RETURNED_PORTS: set[int] = set()
RUN_NODE = Path(__file__).parents[4] / "deploy" / "run_node.py"
POOL = "chair"
HOST = "chair.example"
PREFIX = "/jobs/"
READY_LIMIT_S = 20.0
END_LIMIT_S = 40.0


class Cluster:
    """Three node processes and the stand-in of the platform."""

    def __init__(self, standin: SystemStandin, folder: Path) -> None:
        self.standin = standin
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, tuple[int, int]] = {}
        self.headers: dict[str, str] = {}
        """Headers of each call beside the usual ones."""

        self.http = PoolManager(retries=Retry(0), timeout=Timeout(connect=1, read=4))

    def start_node(self, name: str, more_settings: str = "") -> None:
        api_port, readiness_port = self.ports.setdefault(
            name, (find_port(), find_port())
        )
        settings = self.folder / f"{name}.conf"
        settings.write_text(
            f"node={name}\nzone=zone-a\n"
            f"listen.front=127.0.0.1:{api_port}\nlisten.readyAddr=127.0.0.1:{readiness_port}\n"
            f"platform.addr={self.standin.address}\ncloud.addr={self.standin.address}\n"
            f"bounds.graceS=3\n{more_settings}"
        )
        environment = {**os.environ, "SESAMELADDER_BOOT": str(settings)}
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, str(RUN_NODE)], env=environment, stdout=log
        )

    def call(
        self, name: str, method: str, path: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        port = self.ports[name][0]
        data = None if body is None else json.dumps(body)
        response = self.http.request(
            method,
            f"http://127.0.0.1:{port}{path}",
            body=data,
            headers={
                "Host": HOST,
                "X-Sesameladder-Deadline-Ms": "3000",
                **self.headers,
            },
        )
        return response.status, json.loads(response.data or b"{}")

    def wait_ready(self, name: str) -> None:
        until = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < until:
            try:
                port = self.ports[name][1]
                url = f"http://127.0.0.1:{port}/v1/ready"
                if self.http.request("GET", url).status == 200:
                    return
            except HTTPError:
                pass  # the process has not bound its port yet
            time.sleep(0.05)
        raise AssertionError(f"{name} is not ready")

    def wait_state(self, name: str, job: str, state: str) -> None:
        until = time.monotonic() + END_LIMIT_S
        seen: object = None
        while time.monotonic() < until:
            seen = self.call(name, "GET", PREFIX + job)
            if seen == (200, {"state": state}):
                return
            time.sleep(0.05)
        raise AssertionError(f"job {job} is {seen}, not {state}")

    def wait_for_owner(self) -> str:
        until = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < until:
            item = self.standin.store.items.get(f"own/pool.{POOL}")
            if item is not None:
                return str(json.loads(item.value)["node"])
            time.sleep(0.02)
        raise AssertionError("no process owns the pool")

    def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()


def find_port() -> int:
    """Return a free port that the system doesn't give to outgoing connections.

    A process that restarts could find a port of that range in use. No port is
    returned twice, since a process binds its port later.
    """
    while True:
        port = random.choice(PORTS)
        if port in RETURNED_PORTS:
            continue
        RETURNED_PORTS.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue  # in use by another test
        return port


def build_configuration(version: int) -> dict[str, Any]:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": HOST,
                "prefix": PREFIX,
                "service": POOL,
                "attempts": 3,
                "stretch": 1.6,
                "goalMs": 600,
                "timeoutMs": 3000,
            }
        ],
        "services": [{"name": POOL, "admissionCheck": True}],
        "limits": {"bodyBytes": 100_000},
    }


@contextmanager
def run_cluster(folder: Path) -> Iterator[Cluster]:
    standin = SystemStandin(POOL, workers=4)
    standin.start()
    standin.configure(build_configuration(version=3))
    cluster = Cluster(standin, folder)
    try:
        for name in ("n1", "n2", "n3"):
            cluster.start_node(name)
        for name in ("n1", "n2", "n3"):
            cluster.wait_ready(name)
        yield cluster
    finally:
        cluster.stop()
        standin.stop()


def build_job(work: SimulatedWork, width: int = 3) -> dict[str, Any]:
    step = {"count": width, "cpu": work.cpu, "memMb": 100, "estMs": work.duration_ms}
    return {"spec": work.to_text(), "steps": [step, {**step, "after": [0]}]}


def watch_runs(standin: SystemStandin) -> tuple[list[str], dict[str, int]]:
    """Return violations and the number of starts by task; filled while workers run."""
    violations: list[str] = []
    starts: dict[str, int] = {}
    active: dict[str, str] = {}
    done: set[str] = set()

    def record_start(worker: Any, task: str, run: int) -> None:
        starts[task] = starts.get(task, 0) + 1
        if task in active or task in done:
            violations.append(f"{task} run {run} on {worker.name}: started again")
        active[task] = worker.name

    def record_end(worker: Any, task: str, run: int, reason: str) -> None:
        active.pop(task, None)
        if reason == "done":
            done.add(task)

    for worker in standin.workers.values():
        worker.on_start = record_start
        worker.on_end = record_end
    return violations, starts


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    with run_cluster(tmp_path) as running:
        yield running


def test_jobs_run_once_despite_owner_crash_and_lost_responses(cluster: Cluster) -> None:
    """Guards against lost or repeated subtasks on the whole path of a job.

    The path covers intake, election, orders, progress and takeover. The owner is
    killed halfway, and two responses of the store are dropped.
    """
    violations, starts = watch_runs(cluster.standin)
    jobs = [f"{number:016x}" for number in range(12)]
    for number, job in enumerate(jobs):
        if number == 6:
            owner = cluster.wait_for_owner()
            cluster.processes[owner].kill()
            cluster.processes[owner].wait()
            cluster.standin.store.responses_to_drop = 2
        alive = [n for n, p in cluster.processes.items() if p.poll() is None]
        name = alive[number % len(alive)]
        body = build_job(SimulatedWork(duration_ms=200))
        assert cluster.call(name, "POST", PREFIX + job, body)[0] == 200
        # The caller repeats the submission at a process that may be another one.
        assert cluster.call(alive[0], "POST", PREFIX + job, body)[0] == 200
    for job in jobs:
        cluster.wait_state(alive[-1], job, "done")
    assert violations == []
    assert sorted(starts) == sorted(
        f"{j}.0.{s}.{i}" for j in jobs for s in (0, 1) for i in range(3)
    )


def test_cancelled_job_is_stopped_and_unknown_job_is_gone(cluster: Cluster) -> None:
    """Guards against cancellations that don't reach the workers."""
    work = SimulatedWork(lasts=True)
    job = "00000000000000aa"
    assert cluster.call("n1", "POST", PREFIX + job, build_job(work))[0] == 200
    cluster.wait_state("n2", job, "running")
    assert cluster.call("n3", "DELETE", PREFIX + job)[0] == 200
    cluster.wait_state("n1", job, "cancelled")
    until = time.monotonic() + 3.0
    while any(worker.runs for worker in cluster.standin.workers.values()):
        assert time.monotonic() < until, "subtasks run on after the cancellation"
        time.sleep(0.05)
    assert cluster.call("n1", "GET", PREFIX + "00000000000000ab")[0] == 410
    assert cluster.call("n1", "GET", "/elsewhere/")[0] == 404


@pytest.mark.parametrize(
    "body", ["", "{}", '{"steps": []}', '{"steps": [{"count": 1, "after": [0]}]}']
)
def test_malformed_job_is_rejected(cluster: Cluster, body: str) -> None:
    """Guards against a malformed body that crashes a process or is accepted."""
    port = cluster.ports["n1"][0]
    url = f"http://127.0.0.1:{port}{PREFIX}00000000000000ac"
    response = cluster.http.request("POST", url, body=body, headers={"Host": HOST})
    assert response.status == 400
    assert json.loads(response.data)["has_run"] is False
    assert cluster.call("n1", "GET", PREFIX + "00000000000000ac")[0] == 410


def test_store_outage_rejects_at_once_and_recovers(cluster: Cluster) -> None:
    """Guards against requests that wait for the store until their time limit."""
    cluster.wait_for_owner()
    cluster.standin.store.is_down = True
    started = time.monotonic()
    body = build_job(SimulatedWork())
    status, response_body = cluster.call(
        "n1", "POST", PREFIX + "00000000000000ad", body
    )
    assert (status, response_body["has_run"]) == (503, False)
    assert time.monotonic() - started < 1.0
    time.sleep(1.0)
    cluster.standin.store.is_down = False
    until = time.monotonic() + END_LIMIT_S
    while cluster.call("n1", "POST", PREFIX + "00000000000000ad", body)[0] != 200:
        assert time.monotonic() < until
        time.sleep(0.1)
    cluster.wait_state("n2", "00000000000000ad", "done")


def test_sigterm_hands_over_and_serves_until_the_end(cluster: Cluster) -> None:
    """Guards against requests that a planned shutdown interrupts."""
    owner = cluster.wait_for_owner()
    job = "00000000000000ae"
    body = build_job(SimulatedWork(duration_ms=500))
    assert cluster.call(owner, "POST", PREFIX + job, body)[0] == 200
    process = cluster.processes[owner]
    process.send_signal(signal.SIGTERM)
    responses = 0
    until = time.monotonic() + 1.5
    while time.monotonic() < until:
        assert cluster.call(owner, "GET", PREFIX + job)[0] == 200
        responses += 1
    assert responses > 10
    assert process.wait(5) == 0
    other = next(name for name in cluster.processes if name != owner)
    cluster.wait_state(other, job, "done")
    assert cluster.wait_for_owner() != owner
