"""HTTP servers of the stand-in: one for store and VM list, one for each worker."""

import json
import random
import time
from collections.abc import Callable, Iterable
from threading import Lock, Thread
from typing import Any
from urllib.parse import parse_qsl

from cheroot.wsgi import Server

from sesameladder.standins.system._rates import CallRates
from sesameladder.standins.system._store import KeyValueStore
from sesameladder.standins.system._worker import SimulatedWorker

THREADS_PER_SERVER = 48  # each waiting watch or report occupies one
POLL_INTERVAL_S = 0.005
HEARTBEAT_INTERVAL_S = 0.5
RESTART_DELAY_S = (1.0, 4.0)
"""Shortest and longest time until a worker that a run has crashed is back.

The users' record of such a day shows about 3 s.
"""

Response = tuple[int, dict[str, Any]]


class SystemStandin:
    """A platform with pools of workers, for tests of the real processes.

    Each worker has its own port, because calls to a worker do not name it.
    """

    def __init__(
        self, pool: str, workers: int, capacity: int = 8000, seed: int = 0
    ) -> None:
        self.pool = pool
        self.random = random.Random(seed)
        self.store = KeyValueStore(time.monotonic)
        self.store_rates = CallRates(time.monotonic)
        self.lock = Lock()
        self.is_stopping = False
        self.servers = [_build_server(self._handle_store)]
        self.workers: dict[str, SimulatedWorker] = {}
        self.addresses: dict[str, str] = {}
        self.pools: dict[str, str] = {}
        """Pools of the workers that aren't in the first pool, by worker."""

        self.restart_delay_s = RESTART_DELAY_S
        self.restart_at: dict[str, float] = {}
        """Time at which a worker that a run has crashed is back, by worker."""

        for number in range(workers):
            name = f"i-{number:04d}"
            worker = SimulatedWorker(
                name, _read_clock_ms, capacity, on_crash=self._plan_restart
            )
            server = _build_server(self._build_worker_handler(worker))
            self.workers[name] = worker
            self.servers.append(server)
        self.threads = [
            Thread(target=server.serve, daemon=True) for server in self.servers
        ]
        self.threads.append(Thread(target=self._publish_heartbeats, daemon=True))

    @property
    def address(self) -> str:
        """The ``host:port`` of the store, known once the stand-in has started."""
        return _format_address(self.servers[0])

    def start(self) -> None:
        """Start all servers and the registration of workers in the store."""
        for server in self.servers:
            server.prepare()
        for name, server in zip(self.workers, self.servers[1:], strict=True):
            self.addresses[name] = _format_address(server)
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop all servers and the registration of workers."""
        self.is_stopping = True
        for server in self.servers:
            server.stop()

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write the operators' configuration to the store, under ``op/config``."""
        self.store.put("op/config", json.dumps(configuration).encode())

    def _publish_heartbeats(self) -> None:
        sequence = 0
        while not self.is_stopping:
            sequence += 1
            self._restart_due_workers()
            for name, worker in self.workers.items():
                if worker.is_up:
                    self.store.put(
                        f"servers/{name}", self._encode_registration(worker, sequence)
                    )
                else:
                    self.store.commit({"remove": [f"servers/{name}"]})
            time.sleep(HEARTBEAT_INTERVAL_S)

    def _plan_restart(self, worker: SimulatedWorker, task: str, run: int) -> None:
        del task, run
        delay_s = self.random.uniform(*self.restart_delay_s)
        self.restart_at[worker.name] = time.monotonic() + delay_s

    def _restart_due_workers(self) -> None:
        with self.lock:
            for worker in self.workers.values():
                worker.advance()
            now = time.monotonic()
            for name, at in list(self.restart_at.items()):
                if at <= now:
                    del self.restart_at[name]
                    # Whoever crashed it otherwise may have restarted it already.
                    if not self.workers[name].is_up:
                        self.workers[name].restart()

    def _encode_registration(self, worker: SimulatedWorker, sequence: int) -> bytes:
        registration = {
            "service": self.pools.get(worker.name, self.pool),
            "addr": self.addresses[worker.name],
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": worker.capacity, "memMb": 64_000, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": int(_read_clock_ms()),
            "born": worker.born_ms,
            "seq": sequence,
        }
        return json.dumps(registration).encode()

    def _handle_store(
        self, method: str, path: str, query: dict[str, str], body: Any
    ) -> Response:
        store = self.store
        store.calls += 1
        if store.is_down:
            return 503, {}
        if not self.store_rates.allows(path):
            return 429, {}
        if path == "/v1/kv-key":
            return store.get(query["key"])
        if path == "/v1/kv-range":
            return store.list_range(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            wait_s = int(query.get("waitMs", 0)) / 1000
            return store.watch(query["prefix"], int(query["after"]), wait_s)
        if path == "/v1/kv-txn":
            if store.transactions_to_delay > 0:
                store.transactions_to_delay -= 1
                store.delayed_transactions.append(body)
                return 502, {}
            response = store.commit(body)
            if store.responses_to_drop > 0:
                store.responses_to_drop -= 1
                return 502, {}
            return response
        if path == "/v1/kv-lease":
            return store.grant_lease(body["ttlMs"])
        if path.startswith("/v1/kv-keep/"):
            response = store.renew_lease(int(path.rpartition("/")[2]))
            if store.renewal_responses_to_drop > 0:
                store.renewal_responses_to_drop -= 1
                return 502, {}
            return response
        if path.startswith("/v1/kv-lease-end/"):
            return store.end_lease(int(path.rpartition("/")[2]))
        if path == "/v1/machines":
            return 200, {"machines": [], "nextToken": None}
        return 404, {"error": f"no {method} {path}"}

    def _build_worker_handler(self, worker: SimulatedWorker) -> Callable[..., Response]:
        def handle(
            method: str, path: str, query: dict[str, str], body: Any
        ) -> Response:
            del method, query
            if not worker.is_up:
                return 503, {}
            if path == "/v1/hold":
                self._wait_for_end(worker, body)
            with self.lock:
                calls = {
                    "/v1/run-start": worker.start,
                    "/v1/run-stop": worker.stop,
                    "/v1/hold": worker.report,
                    "/v1/pace": worker.pace,
                }
                return calls[path](body)

        return handle

    def _wait_for_end(self, worker: SimulatedWorker, body: dict[str, Any]) -> None:
        deadline = time.monotonic() + body.get("waitMs", 0) / 1000
        while time.monotonic() < deadline:
            with self.lock:
                if worker.has_end_after(body.get("lastSeen", 0)):
                    return
                if not worker.is_up:
                    return
            time.sleep(POLL_INTERVAL_S)


def _read_clock_ms() -> float:
    return time.monotonic() * 1000


def _format_address(server: Server) -> str:
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"


def _build_server(handle: Callable[..., Response]) -> Server:
    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        data = environ["wsgi.input"].read()
        query = dict(parse_qsl(environ["QUERY_STRING"], keep_blank_values=True))
        body = json.loads(data) if data else {}
        status, response_body = handle(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], query, body
        )
        content = json.dumps(response_body).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(content))),
        ]
        start_response(f"{status} Status", headers)
        return [content]

    return Server(
        ("127.0.0.1", 0),
        application,
        numthreads=THREADS_PER_SERVER,
        max=THREADS_PER_SERVER,
    )
