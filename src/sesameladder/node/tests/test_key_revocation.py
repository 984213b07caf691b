"""End-to-end tests of keys, with real processes and withdrawals."""

import signal
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from threading import Timer
from typing import Any

import pytest

from sesameladder.node.tests.store_link import StoreLink
from sesameladder.node.tests.test_whole_path import (
    END_LIMIT_S,
    POOL,
    PREFIX,
    Cluster,
    build_configuration,
    build_job,
)
from sesameladder.standins.system import SimulatedWork, SystemStandin

KEY_HEADER = "X-Sesameladder-Credential"
REVOCATION_S = 2.0  # the settings of these tests; shorter than usual
KEPT, WITHDRAWN, ADDED = "sk-kept-1", "sk-withdrawn-2", "sk-added-3"
JOB = f"{1:016x}"
BODY = build_job(SimulatedWork(duration_ms=50), 1)


class KeyedCluster(Cluster):
    """Two processes, each with a link to the store, and operators who change keys."""

    def __init__(self, standin: SystemStandin, folder: Path) -> None:
        super().__init__(standin, folder)
        self.version = 3
        self.links: dict[str, StoreLink] = {}

    def configure(self, *keys: str) -> float:
        """Put keys into force and return the time of the store's answer."""
        self.version += 1
        configuration = build_configuration(self.version)
        configuration["tenants"] = [
            {"name": f"o-{key}", "apiKeys": [key]} for key in keys
        ]
        self.standin.configure(configuration)
        return time.monotonic()

    def start_linked(self, name: str) -> None:
        self.links[name] = StoreLink(self.standin.address)
        self.start_node(
            name,
            f"platform.addr={self.links[name].address}\n"
            f"bounds.revokeMs={REVOCATION_S * 1000}\n",
        )

    def submit(self, name: str, key: str | None, job: str = JOB) -> tuple[int, Any]:
        self.headers = {} if key is None else {KEY_HEADER: key}
        return self.call(name, "POST", PREFIX + job, BODY)

    def stop(self) -> None:
        super().stop()
        for link in self.links.values():
            link.stop()


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[KeyedCluster]:
    standin = SystemStandin(POOL, workers=2)
    standin.start()
    cluster = KeyedCluster(standin, tmp_path)
    try:
        cluster.configure(KEPT, WITHDRAWN)
        for name in ("n1", "n2"):
            cluster.start_linked(name)
        for name in ("n1", "n2"):
            cluster.wait_ready(name)
        yield cluster
    finally:
        cluster.stop()
        standin.stop()


def wait_for(submit: Callable[[], tuple[int, Any]], status: int) -> None:
    """Submit until the status is the wanted one; a busy machine takes longer."""
    until = time.monotonic() + END_LIMIT_S
    while True:
        seen = submit()
        if seen[0] == status:
            return
        assert time.monotonic() < until, seen
        time.sleep(0.05)


def sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


def check_logs(cluster: KeyedCluster) -> None:
    """Check that no key stands in a log line or a metric."""
    for name in cluster.processes:
        port = cluster.ports[name][1]
        metrics = cluster.http.request("GET", f"http://127.0.0.1:{port}/metrics").data
        assert b"sesameladder_key_checks_total" in metrics
        assert b"sesameladder_configuration_age_seconds " in metrics
        text = (cluster.folder / f"{name}.log").read_text() + metrics.decode()
        assert f'"organisation": "o-{KEPT}"' in text
        for key in (KEPT, WITHDRAWN, ADDED, "sk-stranger"):
            assert key not in text.replace(f"o-{key}", "")


def test_missing_unknown_withdrawn_and_added_keys(cluster: KeyedCluster) -> None:
    """Guards against calls of strangers, and against refused calls of callers."""
    for name in ("n1", "n2"):
        wait_for(lambda name=name: cluster.submit(name, KEPT, f"{2:016x}"), 200)  # type: ignore[misc]
        assert cluster.submit(name, None)[0] == 401
        wait_for(lambda name=name: cluster.submit(name, "sk-stranger"), 401)  # type: ignore[misc]
    assert f"accepted/{JOB}" not in cluster.standin.store.items
    wait_for(lambda: cluster.submit("n1", WITHDRAWN), 200)
    for method, path in (("GET", JOB), ("GET", ""), ("DELETE", JOB)):
        cluster.headers = {}
        assert cluster.call("n2", method, PREFIX + path)[0] == 401
    acknowledged_at = cluster.configure(KEPT, ADDED)
    wait_for(lambda: cluster.submit("n1", WITHDRAWN), 401)
    wait_for(lambda: cluster.submit("n2", ADDED), 200)
    sleep_until(acknowledged_at + REVOCATION_S)
    # Both know the job as accepted.
    for name in ("n1", "n2"):
        assert cluster.submit(name, WITHDRAWN)[0] != 200
        wait_for(lambda name=name: cluster.submit(name, ADDED), 200)  # type: ignore[misc]
    check_logs(cluster)


def test_process_cut_off_from_the_store_accepts_no_withdrawn_key(
    cluster: KeyedCluster,
) -> None:
    """Guards against a withdrawn key that a VM accepts since it hears of nothing.

    The job is known to the VM as accepted, so its answer needs no store.
    """
    wait_for(lambda: cluster.submit("n1", WITHDRAWN), 200)
    link = cluster.links["n1"]
    link.is_cut = True
    acknowledged_at = cluster.configure(KEPT)
    sleep_until(acknowledged_at + REVOCATION_S)
    for key in (WITHDRAWN, KEPT, "sk-stranger"):
        status, body = cluster.submit("n1", key)
        assert (status, body["has_run"]) == (503, False)
    assert cluster.submit("n1", None)[0] == 401
    link.is_cut = False
    statuses = set()
    until = time.monotonic() + END_LIMIT_S
    while (status := cluster.submit("n1", WITHDRAWN)[0]) != 401:
        statuses.add(status)
        assert time.monotonic() < until
        time.sleep(0.02)
    assert statuses <= {503}
    wait_for(lambda: cluster.submit("n1", KEPT), 200)


@pytest.mark.parametrize("is_cut", [False, True], ids=["in touch", "cut off"])
def test_paused_process_accepts_no_withdrawn_key(
    cluster: KeyedCluster, is_cut: bool
) -> None:
    """Guards against a process that wakes and answers by what it knew before.

    Calls wait in its socket while it is paused; they are answered when it wakes. One
    that is cut off meanwhile has no answer of the store waiting for it either.
    """
    wait_for(lambda: cluster.submit("n1", WITHDRAWN), 200)
    process = cluster.processes["n1"]
    process.send_signal(signal.SIGSTOP)
    cluster.links["n1"].is_cut = is_cut
    acknowledged_at = cluster.configure(KEPT)
    sleep_until(acknowledged_at + REVOCATION_S)
    # The call is sent while the process is paused, beyond the bound.
    woken: list[int] = []
    timer = _wake_after(0.5, process, woken)
    status, _ = cluster.submit("n1", WITHDRAWN)
    timer.join()
    assert woken
    assert status in ((503,) if is_cut else (401, 503))
    cluster.links["n1"].is_cut = False
    wait_for(lambda: cluster.submit("n1", WITHDRAWN), 401)
    wait_for(lambda: cluster.submit("n1", KEPT), 200)


def test_unreadable_configuration_ends_the_lease(cluster: KeyedCluster) -> None:
    """Guards against an unreadable withdrawal, whose key would go on working."""
    wait_for(lambda: cluster.submit("n1", WITHDRAWN), 200)
    cluster.standin.store.put("op/config", b'{"version": 9, "tenants": [')
    acknowledged_at = time.monotonic()
    sleep_until(acknowledged_at + REVOCATION_S)
    assert cluster.submit("n1", WITHDRAWN)[0] == 503
    cluster.version = 9
    cluster.configure(KEPT)
    wait_for(lambda: cluster.submit("n1", WITHDRAWN), 401)
    wait_for(lambda: cluster.submit("n1", KEPT), 200)


def _wake_after(seconds: float, process: Any, woken: list[int]) -> Timer:
    def wake() -> None:
        process.send_signal(signal.SIGCONT)
        woken.append(1)

    timer = Timer(seconds, wake)
    timer.start()
    return timer
