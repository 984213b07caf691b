"""No crowd of clients ends a process, takes its memory or keeps others out.

The checks hold at any speed of the machine: a process lives, its memory and its
descriptors stay under a bound, and an ordinary request is answered.
"""

import struct
import subprocess
import threading
from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path

import pytest

from sesameladder.node.tests.test_whole_path import (
    Cluster,
    build_configuration,
    build_job,
)
from sesameladder.standins.system import SimulatedWork, SystemStandin
from tests.processes.crowd import (
    ENDLESS_CLIENTS,
    HTTP_INPUTS,
    MAX_DESCRIPTORS,
    MAX_MEMORY_KB,
    OPEN_CLIENTS,
    WAITING_CLIENTS,
    WAITING_HTTP_STARTS,
    Input,
    build_get,
    build_submit,
    connect,
    count_descriptors,
    open_connections,
    read_peak_memory_kb,
    request_once,
    send_endless,
)
from tests.processes.fleet import Fleet

POOL = "chair"
NODE = "n1"
NODE_ADDRESSES = ("job API", "probe")
ENTRY_ADDRESSES = ("front end", "admin")
JOB_NUMBERS = count(0xC000)
LIMITS = {
    "headerBytes": 16_384,
    "bodyBytes": 100_000,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
PEER_INPUTS = (
    Input("announced frame", struct.pack(">I", 0xFFFFFFFF), b"x" * 65_536),
    Input("frame of zeros", struct.pack(">I", 16 * 1024 * 1024), b"\0" * 65_536),
    Input("frames of nothing", b"", struct.pack(">I", 0) * 16_384),
    Input("text", b"GET / HTTP/1.1\r\n", b"x" * 65_536),
)
PEER_STARTS = {
    "frame": struct.pack(">I", 16 * 1024 * 1024) + b"x",
    "length": b"\0",
    "nothing": b"",
}


class Target:
    """One process under test, with the addresses that clients reach."""

    def __init__(
        self,
        process: "subprocess.Popen[bytes]",
        addresses: dict[str, str],
        check_service: Callable[[], None],
        check_readiness: Callable[[], None],
    ) -> None:
        self.process = process
        self.addresses = addresses
        self.check_service = check_service
        """Sends one ordinary request to each address and checks its answer."""

        self.check_readiness = check_readiness

    def check_alive(self) -> None:
        """Check that the process lives within its bounds."""
        assert self.process.poll() is None, "the process has ended"
        assert read_peak_memory_kb(self.process.pid) <= MAX_MEMORY_KB
        assert count_descriptors(self.process.pid) <= MAX_DESCRIPTORS


def run_endless_clients(address: str, sent: Input) -> None:
    threads = [
        threading.Thread(target=send_endless, args=(address, sent))
        for _ in range(ENDLESS_CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Target]:
    standin = SystemStandin(POOL, workers=1)
    standin.start()
    standin.configure({**build_configuration(version=3), "limits": LIMITS})
    cluster = Cluster(standin, tmp_path)
    try:
        cluster.start_node(NODE, f"limits.maxFds={MAX_DESCRIPTORS}\n")
        cluster.wait_ready(NODE)
        yield build_node_target(cluster)
    finally:
        cluster.stop()
        standin.stop()


def build_node_target(cluster: Cluster) -> Target:
    api_port, probe_port = cluster.ports[NODE]
    api, probe = f"127.0.0.1:{api_port}", f"127.0.0.1:{probe_port}"

    def check_service() -> None:
        job = f"{next(JOB_NUMBERS):016x}"
        request = build_submit(job, build_job(SimulatedWork(duration_ms=10)))
        assert request_once(api, request)[0] == 200
        assert request_once(api, build_get(f"/jobs/{job}"))[0] == 200
        assert request_once(probe, build_get("/metrics"))[0] == 200

    def check_readiness() -> None:
        assert request_once(probe, build_get("/v1/ready"))[0] == 200

    return Target(
        cluster.processes[NODE],
        {"job API": api, "probe": probe},
        check_service,
        check_readiness,
    )


@pytest.fixture
def entry(tmp_path: Path) -> Iterator[Target]:
    fleet = Fleet.build("coral-strand", tmp_path)
    name = next(iter(fleet.entries))
    settings = fleet.settings[name]
    front_end, admin = settings.http_address, settings.admin_address
    try:
        fleet.start_entry(name)
        fleet.wait_for(lambda: answers_connections(front_end), "the front end")
        fleet.wait_for(lambda: fleet.read_status(name) is not None, "the admin address")

        def check_service() -> None:
            # The instance has no plan, so its health check fails with an answer.
            assert request_once(front_end, build_get("/-/health"))[0] in (200, 503)
            assert request_once(admin, build_get("/-/status"))[0] == 200
            connect(settings.peer_address).close()

        def check_readiness() -> None:
            assert request_once(admin, build_get("/-/health"))[0] == 200

        yield Target(
            fleet.processes[name],
            {
                "front end": front_end,
                "admin": admin,
                "peer": settings.peer_address,
            },
            check_service,
            check_readiness,
        )
    finally:
        fleet.stop()


def answers_connections(address: str) -> bool:
    try:
        connect(address).close()
    except OSError:
        return False
    return True


@pytest.mark.parametrize("sent", HTTP_INPUTS, ids=str)
@pytest.mark.parametrize("address", NODE_ADDRESSES)
def test_node_outlives_endless_input(node: Target, address: str, sent: Input) -> None:
    """Guards against a node that keeps all that a client sends in memory."""
    run_endless_clients(node.addresses[address], sent)
    node.check_alive()
    node.check_service()
    node.check_readiness()
    node.check_alive()


@pytest.mark.parametrize("start", WAITING_HTTP_STARTS)
@pytest.mark.parametrize("address", NODE_ADDRESSES)
def test_node_answers_beside_waiting_clients(
    node: Target, address: str, start: str
) -> None:
    """Guards against request threads that wait for clients which send nothing."""
    with open_connections(
        node.addresses[address], WAITING_CLIENTS, WAITING_HTTP_STARTS[start]
    ):
        node.check_readiness()
        node.check_service()
        node.check_alive()
    node.check_service()


@pytest.mark.parametrize("address", NODE_ADDRESSES)
def test_node_bounds_open_connections(node: Target, address: str) -> None:
    """Guards against a node that runs out of descriptors."""
    with open_connections(node.addresses[address], OPEN_CLIENTS, b"GET /"):
        node.check_alive()
        node.check_readiness()
        node.check_service()
    node.check_alive()


def test_node_bounds_what_callers_do_not_read(node: Target) -> None:
    """Guards against threads that wait for clients which read no answers."""
    request = build_get("/metrics").replace(b"Connection: close\r\n", b"")
    address = node.addresses["probe"]
    with open_connections(address, WAITING_CLIENTS, request * 400):
        node.check_readiness()
        node.check_service()
        node.check_alive()


@pytest.mark.parametrize("sent", HTTP_INPUTS, ids=str)
@pytest.mark.parametrize("address", ENTRY_ADDRESSES)
def test_entry_outlives_endless_input(entry: Target, address: str, sent: Input) -> None:
    """Guards against an entry instance that keeps all that a client sends."""
    run_endless_clients(entry.addresses[address], sent)
    entry.check_alive()
    entry.check_service()
    entry.check_readiness()


@pytest.mark.parametrize("start", WAITING_HTTP_STARTS)
@pytest.mark.parametrize("address", ENTRY_ADDRESSES)
def test_entry_answers_beside_waiting_clients(
    entry: Target, address: str, start: str
) -> None:
    """Guards against threads of an entry instance that wait for clients."""
    with open_connections(
        entry.addresses[address], WAITING_CLIENTS, WAITING_HTTP_STARTS[start]
    ):
        entry.check_readiness()
        entry.check_service()
        entry.check_alive()


@pytest.mark.parametrize("sent", PEER_INPUTS, ids=str)
def test_entry_outlives_endless_frames(entry: Target, sent: Input) -> None:
    """Guards against a peer address that keeps whatever arrives."""
    run_endless_clients(entry.addresses["peer"], sent)
    entry.check_alive()
    entry.check_service()
    entry.check_readiness()


@pytest.mark.parametrize("start", PEER_STARTS)
def test_entry_bounds_open_peer_connections(entry: Target, start: str) -> None:
    """Guards against two threads and a descriptor for each client that connects."""
    address = entry.addresses["peer"]
    with open_connections(address, OPEN_CLIENTS, PEER_STARTS[start]):
        entry.check_alive()
        entry.check_service()
        entry.check_readiness()
