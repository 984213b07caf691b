"""Node processes on this machine, beside the stand-in of the platform."""

import json
import os
import socket
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from sesameladder.settings import LoadDescription
from sesameladder.standins.system import SystemStandin

POOL = "load"
HOST = "load.example"
PREFIX = "/jobs/"
KEY_HEADER = "X-Sesameladder-Credential"
ROLES = {f"own/pool.{POOL}", "own/fleet"}
READY_LIMIT_S = 30.0
GRACE_S = 3
TIME_LIMIT_MS = 3000


class Nodes:
    """Node processes that share a stand-in."""

    __slots__ = ("description", "folder", "http", "ports", "processes", "standin")

    def __init__(self, description: LoadDescription, folder: Path) -> None:
        self.description = description
        self.folder = folder
        """Folder of the settings and logs of the nodes."""

        self.standin = SystemStandin(POOL, description.workers)
        self.http = PoolManager(retries=Retry(0), timeout=Timeout(connect=1, read=4))
        self.ports = [(_find_port(), _find_port()) for _ in range(description.nodes)]
        """Ports of the job API and of the readiness probe, by node."""

        self.processes: list[subprocess.Popen[bytes]] = []

    def start(self) -> None:
        """Start everything; raises ``TimeoutError`` if a node is not ready in time."""
        store = self.description.store
        self.standin.start()
        self.standin.configure(self._build_configuration())
        for node in range(self.description.nodes):
            self.processes.append(self._start_node(node))
        until = time.monotonic() + READY_LIMIT_S
        for _, port in self.ports:
            self._wait_ready(port, until)
        while not self.standin.store.items.keys() >= ROLES:
            if time.monotonic() >= until:
                raise TimeoutError(f"a role has no holder, see {self.folder}")
            time.sleep(0.05)
        self.standin.store_rates.limit(store.writes_per_s, store.reads_per_s)

    def stop(self) -> None:
        """End all processes and the stand-in."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.standin.stop()

    def find_owner(self) -> int | None:
        """Return the node that owns the pool by the store, or None."""
        item = self.standin.store.items.get(f"own/pool.{POOL}")
        if item is None:
            return None
        name = str(json.loads(item.value)["node"])
        return int(name.removeprefix("n"))

    def count_terms(self) -> int:
        """Return how often a role has been taken so far."""
        items = list(self.standin.store.items.items())
        return sum(int(i.value) for key, i in items if key.startswith("term/"))

    def kill(self, node: int) -> None:
        """Kill a node, and start it again."""
        self.processes[node].kill()
        self.processes[node].wait()
        self.processes[node] = self._start_node(node)

    def read_state(self, job: str, key: str) -> str:
        """Return the state of a job as the first node that answers shows it."""
        headers = {"Host": HOST, **({KEY_HEADER: key} if key else {})}
        answer = "no answer"
        for port, _ in self.ports:
            url = f"http://127.0.0.1:{port}{PREFIX}{job}"
            with suppress(HTTPError):
                response = self.http.request("GET", url, headers=headers)
                if response.status == 200:
                    return str(json.loads(response.data)["state"])
                answer = f"status {response.status}"
        return answer

    def read_peak_memory_mb(self) -> float:
        """Return the greatest resident memory of a node so far."""
        peaks = [0.0]
        for process in self.processes:
            with suppress(OSError):
                status = Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
                rows = [row for row in status.splitlines() if row.startswith("VmHWM")]
                peaks += [int(row.split()[1]) / 1000 for row in rows]
        return max(peaks)

    def _start_node(self, node: int) -> subprocess.Popen[bytes]:
        store = self.description.store
        api_port, probe_port = self.ports[node]
        settings = self.folder / f"n{node}.conf"
        rows = {
            "node": f"n{node}",
            "zone": "zone-a",
            "listen.front": f"127.0.0.1:{api_port}",
            "listen.readyAddr": f"127.0.0.1:{probe_port}",
            "platform.addr": self.standin.address,
            "cloud.addr": self.standin.address,
            "platform.writesPerS": store.writes_per_s,
            "platform.readsPerS": store.reads_per_s,
            "bounds.graceS": GRACE_S,
        }
        text = "".join(f"{key}={value}\n" for key, value in rows.items())
        settings.write_text(text, encoding="utf-8")
        environment = {**os.environ, "SESAMELADDER_BOOT": str(settings)}
        command = [sys.executable, "-m", "sesameladder.node"]
        with (self.folder / f"n{node}.log").open("ab") as log:
            return subprocess.Popen(command, env=environment, stdout=log)

    def _wait_ready(self, port: int, until: float) -> None:
        while time.monotonic() < until:
            with suppress(HTTPError):
                url = f"http://127.0.0.1:{port}/v1/ready"
                if self.http.request("GET", url).status == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(f"the node at port {port} is not ready, see {self.folder}")

    def _build_configuration(self) -> dict[str, Any]:
        streams = self.description.streams
        route = {
            "name": "load",
            "host": HOST,
            "prefix": PREFIX,
            "service": POOL,
            "attempts": 3,
            "stretch": 1.6,
            "goalMs": 600,
            "timeoutMs": TIME_LIMIT_MS,
        }
        configuration: dict[str, Any] = {
            "version": 1,
            "routes": [route],
            "services": [{"name": POOL, "admissionCheck": True}],
            "limits": {"bodyBytes": 100_000},
        }
        if self.description.has_keys:
            rows = [{"name": s.name, "apiKeys": [build_key(s.name)]} for s in streams]
            configuration["tenants"] = rows
        return configuration


def build_key(stream: str) -> str:
    """Return the key of a stream's clients."""
    return f"key-of-{stream}"


def _find_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
