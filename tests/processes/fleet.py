"""Runs the programs of a deployment as separate processes on loopback."""

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import json5
from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from sesameladder.environment import PlatformClient
from sesameladder.measure._load_generator import EntryEndpoint
from sesameladder.planning import PlanStore, RegionPlan
from sesameladder.settings import EntrySettings
from sesameladder.settings.examples import ExampleFiles, write_example

PORTS_PER_FLEET = 200
FIRST_PORT = 22_000
LAST_PORT = 60_000
POLL_INTERVAL_S = 0.1
# Ends a hanging run; no check depends on the value.
WAIT_LIMIT_S = 600.0


@dataclass
class Fleet:
    """Processes of nine entry instances, thirty workers and the platform."""

    directory: Path
    """Directory of the settings and log files."""

    entries: dict[str, Path]
    """Settings files by entry instance."""

    settings: dict[str, EntrySettings]
    tickets: tuple[Path, ...]
    client: Path
    """Settings file of the operators' command."""

    worker_addresses: tuple[str, ...]
    platform_address: str
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    out_of_rotation: set[str] = field(default_factory=set)
    latest_numbers: dict[tuple[str, int], tuple[int, int]] = field(default_factory=dict)
    """Configuration number and plan version, by instance and incarnation."""

    number_regressions: int = 0
    """How often one of these numbers decreased within an incarnation."""

    http: PoolManager = field(
        default_factory=lambda: PoolManager(
            maxsize=16, timeout=Timeout(connect=1.0, read=20.0), retries=Retry(0)
        )
    )

    @classmethod
    def build(cls, deployment: str, directory: Path) -> "Fleet":
        """Write the example settings; no program is started."""
        return cls._from_files(
            directory, write_example(deployment, directory, find_base_port())
        )

    @classmethod
    def _from_files(cls, directory: Path, files: ExampleFiles) -> "Fleet":
        platform = json5.loads(files.platform.read_text())
        workers = [
            str(row["address"]) for row in platform["vms"] if row["kind"] == "upstream"
        ]
        return cls(
            directory,
            files.entries,
            {name: EntrySettings.from_file(p) for name, p in files.entries.items()},
            files.tickets,
            files.client,
            tuple(workers),
            platform["address"],
        )

    @classmethod
    def start(cls, deployment: str, directory: Path) -> "Fleet":
        """Write the example settings and start all programs."""
        files = write_example(deployment, directory, find_base_port())
        fleet = cls._from_files(directory, files)
        for rack, path in files.upstreams.items():
            fleet.run_program(rack, "sesameladder.standins.upstream", path)
        fleet.run_program("platform", "sesameladder.standins.platform", files.platform)
        for instance in files.entries:
            fleet.start_entry(instance)
        return fleet

    def start_entry(self, instance: str) -> None:
        """Start one entry process with fault injection, so that it can be cut off."""
        path = self.entries[instance]
        text = path.read_text()
        if "fault_injection" not in text:
            head, _, tail = text.rpartition("}")
            path.write_text(head.rstrip() + ',\n  "fault_injection": true\n}' + tail)
        self.run_program(instance, "sesameladder.entry", path)

    def run_program(self, name: str, module: str, settings: Path) -> None:
        """Start a program in the background; its output is appended to a log file."""
        code = f"from {module} import main; main()"
        command = [sys.executable, "-c", code, "--settings", str(settings)]
        log = (self.directory / f"{name}.log").open("ab")
        with log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def run_client(self, *arguments: str) -> tuple[int, str]:
        """Run the operators' command; returns its exit code and output."""
        code = "from sesameladder.client import main; main()"
        command = [sys.executable, "-c", code, *arguments, "--settings"]
        result = subprocess.run(
            [*command, str(self.client)],
            capture_output=True,
            text=True,
            timeout=WAIT_LIMIT_S,
            check=False,
        )
        return result.returncode, result.stdout + result.stderr

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process that this fleet started."""
        self.processes[name].send_signal(number)

    def wait_for_exit(self, name: str) -> int:
        """Wait for a process to end; returns its exit code."""
        return self.processes[name].wait(WAIT_LIMIT_S)

    def stop(self) -> None:
        """Kill all processes that this fleet started."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait(WAIT_LIMIT_S)

    def list_endpoints(self) -> list[EntryEndpoint]:
        """Return the entry instances that the load balancer sends callers to."""
        return [
            EntryEndpoint(name, settings.http_address)
            for name, settings in self.settings.items()
            if name not in self.out_of_rotation
        ]

    def read_status(self, instance: str) -> dict[str, Any] | None:
        """Return the status of an entry instance; None if it can't be read.

        Also records the configuration number and plan version that it contains.
        """
        address = self.settings[instance].admin_address
        try:
            response = self.http.request("GET", f"http://{address}/-/status")
        except HTTPError:
            return None
        if response.status != 200:
            return None
        status: dict[str, Any] = response.json()
        self._record_numbers(status)
        return status

    def _record_numbers(self, status: dict[str, Any]) -> None:
        """Record configuration number and plan version, and count their decreases."""
        process_key = (status["instance"], status["incarnation"])
        numbers = (status["configuration_number"], status["plan_version"])
        previous = self.latest_numbers.get(process_key, (0, 0))
        self.number_regressions += sum(
            new < old for new, old in zip(numbers, previous, strict=True)
        )
        self.latest_numbers[process_key] = numbers

    def read_counters(self) -> list[dict[str, Any]]:
        """Return the counters of all workers."""
        return [
            self.http.request("GET", f"http://{address}/-/counters").json()
            for address in self.worker_addresses
        ]

    def read_plan(self) -> RegionPlan:
        """Return the plan that is in the store."""
        settings = next(iter(self.settings.values()))
        client = PlatformClient.from_address(self.platform_address, settings.zone)
        return PlanStore(client, settings.region).read().plan

    def post(self, address: str, path: str, content: dict[str, Any]) -> None:
        """POST a JSON body to a stand-in or an admin endpoint."""
        body = json.dumps(content).encode()
        response = self.http.request("POST", f"http://{address}{path}", body=body)
        assert response.status < 300, response.data

    def partition_zone(self, zone: str, zones: set[str]) -> None:
        """Cut a zone off from the platform and the other zones."""
        body = {"mode": "cut", "zones": [zone]}
        self.post(self.platform_address, "/faults", body)
        self._block_zones({z: zones - {zone} if z == zone else {zone} for z in zones})

    def end_partition(self, zone: str, zones: set[str]) -> None:
        """Reconnect a zone after ``partition_zone``."""
        body = {"mode": "up", "zones": [zone]}
        self.post(self.platform_address, "/faults", body)
        self._block_zones({z: set() for z in zones})

    def wait_for(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds; fails after ``WAIT_LIMIT_S``."""
        deadline = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            assert time.monotonic() < deadline, (
                f"gave up after {WAIT_LIMIT_S:.0f} s waiting for {what}"
            )
            time.sleep(POLL_INTERVAL_S)

    def _block_zones(self, blocked_zones: dict[str, set[str]]) -> None:
        for settings in self.settings.values():
            body = {"zones": sorted(blocked_zones[settings.zone])}
            self.post(settings.admin_address, "/-/cut", body)


def find_base_port() -> int:
    """Return the first port of a range of ``PORTS_PER_FLEET`` free ports."""
    for base in range(FIRST_PORT, LAST_PORT, PORTS_PER_FLEET):
        if all(is_free(port) for port in range(base, base + PORTS_PER_FLEET)):
            return base
    raise AssertionError(
        f"no free range of {PORTS_PER_FLEET} ports from {FIRST_PORT} to {LAST_PORT}"
    )


def is_free(port: int) -> bool:
    """Return whether nothing accepts connections on a loopback port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return probe.connect_ex(("127.0.0.1", port)) != 0
