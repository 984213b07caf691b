"""Caps of organisations with real processes that are killed, paused and replaced."""

import json
import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from threading import Lock
from typing import Any

import pytest

from sesameladder.jobs import QueuePolicy
from sesameladder.node._keys import accepted_key, submission_key
from sesameladder.node._records import encode_pool, encode_submission
from sesameladder.node.tests.test_whole_path import (
    POOL,
    READY_LIMIT_S,
    Cluster,
    build_configuration,
    build_job,
)
from sesameladder.platform import Put, StoreClient
from sesameladder.standins.system import SimulatedWork, SystemStandin

POOLS = POOL, "desk"
ORGANISATION = "org-a"
CAP_MILLIS = 6000
LOW_CAP_MILLIS = 2000
SUBTASK_MILLIS = 1000
IN_FORCE_S = 3.0
NAMES = "n1", "n2", "n3"
JOBS = 36


def configure(standin: SystemStandin, version: int, cap_millis: int) -> None:
    configuration = build_configuration(version)
    route = configuration["routes"][0]
    configuration["routes"] = [
        {**route, "name": f"r-{pool}", "prefix": f"/{pool}/", "service": pool}
        for pool in POOLS
    ]
    configuration["services"] = [
        {"name": pool, "admissionCheck": True} for pool in POOLS
    ]
    configuration["tenants"] = [
        {"name": ORGANISATION, "apiKeys": ["k"], "cap": {"cpu": cap_millis}}
    ]
    standin.configure(configuration)


class RunCounter:
    """Counts the running subtasks of all pools and checks them against the cap."""

    def __init__(
        self,
        standin: SystemStandin,
        cap_millis: int,
        is_counted: Callable[[str], bool] = lambda task: True,
    ) -> None:
        self.is_counted = is_counted
        self.lock = Lock()
        self.running: set[tuple[str, str, int]] = set()
        self.most_millis = 0
        self.done: set[str] = set()
        self.violations: list[str] = []
        self.caps = [(time.monotonic(), cap_millis)]
        for worker in standin.workers.values():
            worker.on_start = self.record_start
            worker.on_end = self.record_end

    def set_cap(self, cap_millis: int) -> None:
        self.caps.append((time.monotonic(), cap_millis))

    def record_start(self, worker: Any, task: str, run: int) -> None:
        if not self.is_counted(task):
            return
        with self.lock:
            self.running.add((worker.name, task, run))
            millis = len(self.running) * SUBTASK_MILLIS
            self.most_millis = max(self.most_millis, millis)
            now = time.monotonic()
            ends = [at for at, _ in self.caps[1:]] + [now]
            in_force = [
                cap
                for (_, cap), end in zip(self.caps, ends, strict=True)
                if now - end <= IN_FORCE_S
            ]
            if millis > max(in_force) + SUBTASK_MILLIS:
                self.violations.append(f"{task}: {millis} of {in_force}")

    def record_end(self, worker: Any, task: str, run: int, reason: str) -> None:
        with self.lock:
            self.running.discard((worker.name, task, run))
            if reason == "done":
                self.done.add(task)


def submit(store: StoreClient, pool: str, job: str, body: dict[str, Any]) -> None:
    """Store a job as the intake does for an organisation."""
    queue = QueuePolicy(f"r-{pool}", "", "/", pool, 0, 3, 1.6, 600, 0)
    value = encode_submission(queue, json.dumps(body).encode(), ORGANISATION)
    puts = (
        Put(submission_key(pool, job), value),
        Put(accepted_key(job), encode_pool(pool)),
    )
    store.commit(puts)


def wait_for_owner(standin: SystemStandin, pool: str) -> str:
    until = time.monotonic() + READY_LIMIT_S
    while time.monotonic() < until:
        item = standin.store.items.get(f"own/pool.{pool}")
        if item is not None:
            return str(json.loads(item.value)["node"])
        time.sleep(0.02)
    raise AssertionError(f"no process owns {pool}")


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    standin = SystemStandin(POOL, workers=4)
    for number, name in enumerate(standin.workers):
        standin.pools[name] = POOLS[number % len(POOLS)]
    standin.start()
    configure(standin, 3, CAP_MILLIS)
    cluster = Cluster(standin, tmp_path)
    try:
        for name in NAMES:
            cluster.start_node(name)
        for name in NAMES:
            cluster.wait_ready(name)
        yield cluster
    finally:
        cluster.stop()
        standin.stop()


def test_cap_holds_while_owners_are_killed_and_paused(cluster: Cluster) -> None:
    """Guards against more running work than the cap while the pools change owners.

    One owner is killed, one paused for longer than its role's lease, and the cap is
    lowered to a third of what runs and raised again. All jobs end, so no part of the
    cap is lost with an owner.
    """
    standin = cluster.standin
    counter = RunCounter(standin, CAP_MILLIS)
    store = StoreClient.from_address(standin.address)
    body = build_job(SimulatedWork(duration_ms=400, cpu=SUBTASK_MILLIS), width=4)
    for number in range(JOBS):
        submit(store, POOLS[number % len(POOLS)], f"{number:016x}", body)
    time.sleep(2.0)
    killed = wait_for_owner(standin, POOLS[0])
    cluster.processes[killed].kill()
    cluster.processes[killed].wait()
    time.sleep(1.0)
    configure(standin, 4, LOW_CAP_MILLIS)
    counter.set_cap(LOW_CAP_MILLIS)
    time.sleep(3.5)
    paused = wait_for_owner(standin, POOLS[1])
    cluster.processes[paused].send_signal(signal.SIGSTOP)
    time.sleep(2.5)
    cluster.processes[paused].send_signal(signal.SIGCONT)
    configure(standin, 5, CAP_MILLIS)
    counter.set_cap(CAP_MILLIS)
    until = time.monotonic() + 60.0
    tasks = JOBS * 4 * 2
    while len(counter.done) < tasks and time.monotonic() < until:
        time.sleep(0.1)
    assert counter.violations == []
    assert len(counter.done) == tasks
    assert counter.most_millis > CAP_MILLIS / 2
