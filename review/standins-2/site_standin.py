"""Stand-ins of the users' platform and workers, and node processes beside them.

Written from PROTOCOL.md and DEPLOY.md. One thread runs all servers, each on its own
loopback port: the store, the machines' API, the advice service and every worker.
Node processes are started with the command of the deploy file.
"""

import asyncio
import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "pule25.example"
PAGE_ITEMS = 500
ANSWER_S = 0.004  # of the store and the machines' API, as the sheets state
WORK_FAILURE_S = 0.01  # from the start of a run to its failure on a faulty worker
STOP_S = 0.05  # below stopGraceMs
ENTRY_EXPIRY_S = 4.5  # three liveness reports of 1.5 s
MAX_LEASE_MS = 10_000
MAX_WAITING_ADVICE = 32
MOVE_S, UPKEEP_S = 1.5, 2.0
LONGEST_S = 110  # a case has 120 s, with the end of its processes
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

SETTINGS = """\
node={node}
role=node
class=front
serves=front
ip=127.0.0.1
zone={zone}
region=qld
zones.qld-bne=qld
zones.qld-gc=qld
zones.qld-tsv=qld
listen.front=127.0.0.1:{front}
listen.readyAddr=127.0.0.1:{ready}
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
discovery=platform
entry=vip
heartbeatMs=1500
bounds.stableMs=3000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.holdMaxMs=10000
bounds.stopGraceMs=900
bounds.gangWaitMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.requireFence=false
bounds.leaseMs=3000
orders=call
advice={advice}
platform.addr={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloud.addr={cloud}
cloud.ratePerS=64.0
cloud.dutyPerS=64.0
"""
ZONES = ("qld-bne", "qld-gc", "qld-tsv")


class CannotRun(Exception):
    """The case could not be brought to the point where the rule is judged."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self):
        self.began = time.monotonic()
        self.rows = []
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def add(self, event, **fields):
        row = {"t": round(self.now(), 4), "event": event, **fields}
        with self.lock:
            self.rows.append(row)
        return row

    def select(self, *events, **fields):
        with self.lock:
            rows = list(self.rows)
        return [
            row
            for row in rows
            if row["event"] in events
            and all(row.get(name) == value for name, value in fields.items())
        ]

    def write(self, path):
        with self.lock:
            lines = [json.dumps(row) for row in self.rows]
        path.write_text("\n".join(lines) + "\n")


class Store:
    """The platform's key-value store."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.history = []
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._notify(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify({"key": key, "rev": self.revision, "removed": True})

    def _notify(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        ended = [name for name, (until, _) in self.leases.items() if until <= now]
        for name in ended:
            self._end(name)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(self, method, path, query, headers, body):
        del method, headers
        await asyncio.sleep(ANSWER_S)
        self.expire()
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, {**item, "asOf": self.revision}
        if path == "/v1/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            rows = [self.items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": rows, "morePages": more, "asOf": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._commit(body)
        if path == "/v1/kv-lease":
            self.revision += 1
            ttl_ms = max(1000, body["ttlMs"])
            self.leases[self.revision] = time.monotonic() + ttl_ms / 1000, ttl_ms
            return 200, {"lease": self.revision, "ttlMs": ttl_ms}
        name = int(path.rpartition("/")[2])
        if name not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            ttl_ms = self.leases[name][1]
            self.leases[name] = time.monotonic() + ttl_ms / 1000, ttl_ms
            return 200, {"ttlMs": ttl_ms}
        self._end(name)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [
                e
                for e in self.history
                if e["rev"] > after and e["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass

    def _commit(self, body):
        conditions = body.get("precondition") or []
        puts, removals = body.get("puts") or [], body.get("remove") or []
        if len(conditions) + len(puts) + len(removals) > 32:
            return 400, {}
        for row in conditions:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                found = [self.items.get(row["key"]) for row in conditions]
                return 412, {"items": [item for item in found if item]}
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        for p in puts:
            self.put(p["key"], base64.b64decode(p["value"]), p.get("lease") or 0)
        for key in removals:
            self.remove(key)
        return 200, {"rev": self.revision}


class Worker:
    """A worker; ``spec`` of its work is JSON: ms, cpu, lasts, fails."""

    def __init__(self, site, name, pool, number, cpu, labels):
        self.site, self.name, self.pool = site, name, pool
        self.machine = f"m-{number:05x}"
        self.zone = ZONES[number % len(ZONES)]
        self.cpu, self.labels = cpu, labels
        self.port = 0
        self.is_up = True
        self.is_faulty = False
        """Whether all that it starts fails, while it looks healthy."""

        self.on_start = None
        self.begin()

    def begin(self):
        self.born = int(time.time() * 1000)
        self.clock_at = time.monotonic()
        self.fence = 0
        self.lease_until = 0.0
        self.runs = {}
        self.ended = []
        self.barred = Counter()
        self.next_number = 1
        self.changed = asyncio.Event()

    def clock_ms(self):
        return (time.monotonic() - self.clock_at) * 1000

    def entry(self):
        return {
            "service": self.pool,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "labels": list(self.labels),
            "clockMs": int(self.clock_ms()),
            "born": self.born,
            "seq": 1,
        }

    def _answer(self, status, **fields):
        return status, {
            "clockMs": int(self.clock_ms()),
            "born": self.born,
            **fields,
        }

    async def handle(self, method, path, query, headers, body):
        del method, query
        if headers.get("x-sesameladder-expect-instance") not in (None, self.name):
            return self._answer(421)
        if path == "/health":
            return 200, {}
        fence = body.get("fence", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        if path == "/v1/run-start":
            return self._start(body)
        if path == "/v1/run-stop":
            return self._stop(body)
        if path == "/v1/hold":
            return await self._hold(body)
        return self._answer(200)

    def _extend(self, body):
        wanted = body.get("deadlineMs") or 0
        until = min(wanted, self.clock_ms() + MAX_LEASE_MS)
        self.lease_until = max(self.lease_until, until)

    def _start(self, body):
        self._extend(body)
        task, run = body["task"], body["run"]
        known = self.runs.get(task)
        if known is not None and known["run"] == run:
            return self._answer(200)
        if known is not None or run <= self.barred[task]:
            return self._answer(409, reason="old")
        if self.lease_until <= self.clock_ms():
            return self._answer(409, reason="late")
        step = task.rpartition(".")[0]
        if step.split(".")[0] in self.site.advised_jobs:
            issued = self.site.tickets.get((step, self.name))
            if issued is None or issued != body.get("ticket"):
                return self._answer(409, reason="ticket")
        work = json.loads(body["spec"])
        used = sum(row["cpu"] for row in self.runs.values())
        if used + work["cpu"] > self.cpu:
            return self._answer(409, reason="room")
        row = {"run": run, "cpu": work["cpu"], "at": time.monotonic(), **work}
        self.runs[task] = row
        self.site.record.add("start", worker=self.name, task=task, run=run, fence=self.fence)
        how, after_s = "done", work["ms"] / 1000
        if work.get("lasts"):
            how, after_s = "", 0.0
        if self.is_faulty or work.get("fails"):
            how, after_s = "failed", WORK_FAILURE_S
        if how:
            self._plan_end(task, run, how, after_s)
        if self.on_start is not None:
            self.on_start(self, task, run)
        return self._answer(200)

    def _plan_end(self, task, run, how, after_s):
        born = self.born
        self.site.loop.call_later(after_s, self._end, task, run, how, born)

    def _end(self, task, run, how, born):
        row = self.runs.get(task)
        if born != self.born or not self.is_up or row is None or row["run"] != run:
            return
        del self.runs[task]
        self.barred[task] = max(self.barred[task], run)
        self.ended.append([self.next_number, task, run, how, ""])
        self.next_number += 1
        self.site.record.add("end", worker=self.name, task=task, run=run, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _stop(self, body):
        task, run = body["task"], body["run"]
        row = self.runs.get(task)
        self.barred[task] = max(self.barred[task], run)
        if row is not None and row["run"] <= run:
            self._plan_end(task, row["run"], "stopped", STOP_S)
        return self._answer(200)

    async def _hold(self, body):
        self._extend(body)
        seen = body.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
            except TimeoutError:
                pass
        running = [
            [task, row["run"], "", self._percent(row), row["cpu"]]
            for task, row in self.runs.items()
        ]
        return self._answer(200, running=running, ended=self.ended[:500])

    def _percent(self, row):
        age_ms = (time.monotonic() - row["at"]) * 1000
        return 100 if row.get("lasts") else int(min(99, 100 * age_ms / row["ms"]))

    def lapse(self):
        """End everything if the lease has run out."""
        if self.runs and self.lease_until <= self.clock_ms():
            for task, row in list(self.runs.items()):
                self._end(task, row["run"], "lapsed", self.born)


class Machine:
    """A machine of the spare pool, which is off."""

    def __init__(self, number, pool):
        self.machine = f"m-{number:05x}"
        self.pool = pool
        self.zone = ZONES[number % len(ZONES)]
        self.state = "up"


class Site:
    """The servers, the node processes and the client of one case."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.record = Record()
        self.temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self.loop = asyncio.new_event_loop()
        self.store = None
        self.workers = {}
        self.spares = {}
        self.spare_pool = ""
        self.allowed = set()
        self.advised_jobs = set()
        self.tickets = {}
        self.upkept = set()
        self.on_duty = None
        self.nodes = {}
        self.configuration = None
        self.servers = {}
        self.connections = {}
        self.overrides = {}
        """What answers the calls of a server in place of it, by its name."""

        self.used_ports = set()
        self.advice_lock = None
        self.waiting_advice = 0
        self.refused_advice = 0
        self.skips_abandoned_advice = False
        """Whether a call whose channel has been closed before its turn is skipped."""

        self.thread = threading.Thread(target=self._run_loop, daemon=True)

    # Servers ------------------------------------------------------------------

    def start(self):
        self.thread.start()
        self.call(self._begin())

    def call(self, coroutine):
        """Run a coroutine in the servers' thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def _run_loop(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    async def _begin(self):
        self.store = Store(self.record)
        self.advice_lock = asyncio.Lock()
        self.store_port = await self._listen("store", self.store.handle)
        self.cloud_port = await self._listen("cloud", self._handle_cloud)
        self.advice_port = await self._listen("advice", self._handle_advice)
        self.loop.create_task(self._tick())

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            self.store.expire()
            for worker in self.workers.values():
                if worker.is_up:
                    worker.lapse()

    async def _listen(self, name, handle, port=0):
        self.connections[name] = set()

        async def serve(reader, writer):
            self.connections[name].add(writer)
            try:
                await _serve_connection(
                    reader,
                    writer,
                    lambda *call: self.overrides.get(name, handle)(*call),
                    takes_reader=name == "advice",
                )
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                pass
            finally:
                self.connections[name].discard(writer)
                writer.close()

        server = await asyncio.start_server(
            serve, "127.0.0.1", port, backlog=512, reuse_address=True
        )
        self.servers[name] = server
        return server.sockets[0].getsockname()[1]

    def add_workers(self, pool, count, cpu=32_000, labels=("a", "r1-1"), first=0):
        async def add():
            for number in range(first, first + count):
                name = f"i-{number:08x}"
                worker = Worker(self, name, pool, number, cpu, labels)
                worker.port = await self._listen(name, worker.handle)
                self.workers[name] = worker
                self._write_entry(worker)

        self.call(add())
        return list(self.workers)[-count:]

    def add_spares(self, pool, count, first=0x10000):
        self.spare_pool = pool
        for number in range(first, first + count):
            machine = Machine(number, pool)
            self.spares[machine.machine] = machine

    def _write_entry(self, worker):
        self.store.put(f"servers/{worker.name}", json.dumps(worker.entry()).encode())

    def crash(self, name, back_after_s=None):
        """Crash a worker; it starts again under its name, or is lost for good."""
        self.loop.call_soon_threadsafe(self.crash_now, name, back_after_s)

    def crash_now(self, name, back_after_s=None):
        worker = self.workers[name]
        worker.is_up = False
        lost = sorted(worker.runs)
        worker.runs.clear()
        self.record.add("crash", worker=name, runs=lost, back_after_s=back_after_s)
        self.servers.pop(name).close()
        for writer in list(self.connections[name]):
            writer.transport.abort()
        born = worker.born

        def expire():
            if not worker.is_up and worker.born == born:
                self.store.remove(f"servers/{name}")

        self.loop.call_later(ENTRY_EXPIRY_S, expire)
        if back_after_s is not None:
            self.loop.call_later(
                back_after_s, lambda: self.loop.create_task(self._restart(worker))
            )

    async def _restart(self, worker):
        await self._listen(worker.name, worker.handle, worker.port)
        worker.begin()
        worker.is_up = True
        self._write_entry(worker)
        self.record.add("restart", worker=worker.name)

    async def _handle_cloud(self, method, path, query, headers, body):
        del method, query
        if path == "/v1/machines":
            await asyncio.sleep(ANSWER_S)
            rows = [
                {
                    "machine": w.machine,
                    "pool": w.pool,
                    "state": "up" if w.is_up else "down",
                    "zone": w.zone,
                    "labels": list(w.labels),
                    "capacity": {"cpu": w.cpu, "memMb": 65536, "gpu": 0},
                    "id": w.name if w.is_up else "",
                }
                for w in self.workers.values()
            ]
            rows += [
                {
                    "machine": m.machine,
                    "pool": m.pool,
                    "state": m.state,
                    "zone": m.zone,
                    "labels": ["a", "r1-9"],
                    "capacity": {"cpu": 32_000, "memMb": 65536, "gpu": 0},
                    "id": "",
                }
                for m in self.spares.values()
            ]
            return 200, {"machines": rows, "nextToken": None}
        order = "move" if path == "/v1/machine-move" else "upkeep"
        status, answer = self._carry_out(order, body)
        self.record.add(
            "duty",
            order=order,
            machine=body["machine"],
            holder=headers.get("x-sesameladder-duty-holder"),
            fence=int(headers.get("x-sesameladder-fence-token") or 0),
            status=status,
            reason=answer.get("reason", ""),
        )
        if self.on_duty is not None:
            self.on_duty(order, body["machine"])
        await asyncio.sleep(ANSWER_S)
        return status, answer

    def _carry_out(self, order, body):
        machine = self.spares.get(body["machine"])
        if machine is None:
            return 409, {"reason": "busy"}
        done = (order, body["machine"], body.get("wave"))
        if done in self.upkept:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        if order == "move":
            return 409, {"reason": "busy"}
        self.upkept.add(done)
        machine.state = "upkeep"
        self.loop.call_later(UPKEEP_S, setattr, machine, "state", "up")
        return 200, {}

    async def _handle_advice(self, method, path, query, headers, body, reader):
        del method, path, query, headers
        names = body["workers"]
        if len(names) > 100:
            return 400, {}
        if self.waiting_advice >= MAX_WAITING_ADVICE:
            self.refused_advice += 1
            return 429, {}
        policy = self.advice_policy
        self.waiting_advice += 1
        async with self.advice_lock:
            self.waiting_advice -= 1
            if self.skips_abandoned_advice and reader.at_eof():
                return 503, {}
            decision_ms = policy["decideMs"] + policy["periodMs"] * len(names)
            await asyncio.sleep(decision_ms / 1000)
            step = body["step"]
            good = []
            for name in names:
                if name in self.allowed:
                    ticket = self.tickets.setdefault(
                        (step, name), f"{random.getrandbits(48):012x}"
                    )
                    good.append([name, ticket])
            self.record.add(
                "advice",
                step=step,
                asked=len(names),
                good=len(good),
                is_abandoned=reader.at_eof(),
            )
            return 200, {"good": good, "validMs": policy["validMs"]}

    # The operator ---------------------------------------------------------------

    def configure(self, configuration):
        self.configuration = configuration

        async def write():
            self.store.put("op/config", json.dumps(configuration).encode())

        self.call(write())
        self.record.add(
            "config",
            version=configuration["version"],
            routes={r["prefix"]: r["service"] for r in configuration["routes"]},
        )

    def order_wave(self, number, machines, cap, finish_s=20):
        wave = {
            "wave": number,
            "machines": machines,
            "finishByS": finish_s,
            "cap": cap,
        }

        async def write():
            self.store.put(f"op/wave/{number}", json.dumps(wave).encode())

        self.call(write())
        self.record.add("wave", **wave)

    # Node processes ---------------------------------------------------------------

    def find_port(self):
        while True:
            port = random.randrange(20_000, 32_000)
            if port in self.used_ports:
                continue
            self.used_ports.add(port)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port

    def start_node(self, node, store_port=None, cloud_port=None):
        known = self.nodes.get(node)
        ports = known["ports"] if known else (self.find_port(), self.find_port())
        settings = self.temporary / f"{node}.conf"
        settings.write_text(
            SETTINGS.format(
                node=node,
                zone=ZONES[len(self.nodes) % len(ZONES)],
                front=ports[0],
                ready=ports[1],
                store=f"127.0.0.1:{store_port or self.store_port}",
                cloud=f"127.0.0.1:{cloud_port or self.cloud_port}",
                advice=f"127.0.0.1:{self.advice_port}",
            )
        )
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": str(self.temporary),
            "LANG": "C.UTF-8",
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "SESAMELADDER_BOOT": str(settings),
        }
        log = (self.temporary / f"{node}.log").open("ab")
        process = subprocess.Popen(
            ["python3", "deploy/run_node.py"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self.nodes[node] = {"process": process, "ports": ports}
        self.record.add("node_started", node=node)

    def kill_node(self, node):
        process = self.nodes[node]["process"]
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record.add("node_killed", node=node)

    def wait_ready(self, nodes=None, limit_s=25):
        until = time.monotonic() + limit_s
        for node in nodes or list(self.nodes):
            port = self.nodes[node]["ports"][1]
            while True:
                try:
                    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
                    connection.request("GET", "/v1/ready")
                    if connection.getresponse().status == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > until:
                    raise CannotRun(f"{node} is not ready")
                time.sleep(0.1)

    def read_log(self, node, event):
        rows = []
        for line in (self.temporary / f"{node}.log").read_text().splitlines():
            if f'"{event}"' in line:
                rows.append(json.loads(line))
        return rows

    def find_holder(self, role):
        """Return the node that holds a role, by the store, and its fence."""

        async def read():
            return self.store.items.get(f"own/{role}")

        item = self.call(read())
        if item is None:
            return None, 0
        return json.loads(base64.b64decode(item["value"]))["node"], item["rev"]

    # The client ---------------------------------------------------------------------

    def request(self, node, method, path, body=None, timeout_s=3.0):
        """Send one request; returns status and body, or None without an answer."""
        port = self.nodes[node]["ports"][0]
        data = None if body is None else json.dumps(body)
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "X-Sesameladder-Deadline-Ms": "3000",
        }
        status, answer = None, None
        try:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            content = response.read()
            status, answer = response.status, json.loads(content or b"{}")
            connection.close()
        except (OSError, http.client.HTTPException):
            pass
        self.record.add(
            "request", node=node, method=method, path=path, status=status, answer=answer
        )
        return status, answer

    def submit(self, node, prefix, job, spec, steps, tries=4, **fields):
        """Hand a job in, with retries at other nodes; returns whether accepted."""
        nodes = [node, *(other for other in self.nodes if other != node)]
        for attempt in range(tries):
            body = {"spec": json.dumps(spec), "steps": steps, **fields}
            status, _ = self.request(nodes[attempt % len(nodes)], "POST", prefix + job, body)
            if status is not None and 200 <= status < 300:
                return True
            time.sleep(0.3)
        return False

    def state(self, node, prefix, job):
        status, answer = self.request(node, "GET", prefix + job)
        return answer.get("state") if status == 200 else f"status {status}"

    # The end --------------------------------------------------------------------------

    def stop(self):
        for node in self.nodes.values():
            process = node["process"]
            if process.poll() is None:
                process.kill()
            process.wait()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


async def _serve_connection(reader, writer, handle, takes_reader=False):
    while True:
        line = await reader.readline()
        if not line:
            return
        method, target, _ = line.decode().split(" ", 2)
        headers = {}
        while True:
            line = await reader.readline()
            if line in (b"\r\n", b""):
                break
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        data = await reader.readexactly(int(headers.get("content-length") or 0))
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(data) if data else {}
        call = (method, url.path, query, headers, body)
        status, answer = await handle(*call, *([reader] if takes_reader else []))
        content = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode()
            + content
        )
        await writer.drain()


class CutProxy:
    """A link that can be cut silently.

    While it is cut, bytes of open connections are held up, both ways, and are
    delivered when the cut is over, unless their sender has reset the connection.
    Connections opened meanwhile are never established: what they carry is lost.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.is_open = threading.Event()
        self.is_open.set()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self.is_open.clear()

    def heal(self):
        self.is_open.set()

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            if not self.is_open.is_set():
                threading.Thread(target=self._lose, args=(client,), daemon=True).start()
                continue
            try:
                server = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                client.close()
                continue
            for pair in ((client, server), (server, client)):
                for end in pair:
                    end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._carry, args=pair, daemon=True).start()

    def _lose(self, client):
        self.is_open.wait()
        client.close()

    def _carry(self, source, target):
        try:
            while True:
                data = source.recv(65_536)
                if not self.is_open.is_set():
                    self.is_open.wait()
                    if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                        break  # the sender has reset it: what was held up is lost
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                target.sendall(data)
        except OSError:
            pass
        for end in (source, target):
            try:
                end.close()
            except OSError:
                pass


def build_route(name, prefix, service, attempts=4, **more):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "goalMs": 600,
        "prio": 0,
        "service": service,
        "attempts": attempts,
        "stretch": 1.6,
        **more,
    }


def build_configuration(version, routes, services, spare=()):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 64,
                "proto": "h1",
                "tls": False,
                "admissionCheck": True,
                "spare": name in spare,
            }
            for name in services
        ],
        "limits": {
            "headerBytes": 16384,
            "bodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def _give_up(number, frame):
    del frame
    raise CannotRun(f"ended by signal {number}")


def run_case(folder, play, has_trouble):
    """Play a case and exit with its verdict; ``play`` returns what broke the rule."""
    site = Site(folder)
    code = EXIT_NOT_RUN
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _give_up)
    signal.alarm(LONGEST_S)
    try:
        site.start()
        reasons = play(site, has_trouble)
        code = EXIT_BROKEN if reasons else EXIT_HELD
        verdict = "broken" if reasons else "held"
        site.record.add("verdict", trouble=has_trouble, rule=verdict, reasons=reasons)
        lines = [f"rule {verdict}", *reasons]
    except Exception as error:  # anything else than a verdict
        code = EXIT_NOT_RUN
        reason = repr(error)
        site.record.add("verdict", trouble=has_trouble, rule="not run", reasons=[reason])
        lines = [f"could not run: {reason}"]
    finally:
        site.record.write(Path(folder) / "record.txt")
        site.stop()
    with suppress(OSError):
        print(*lines, sep="\n  ", flush=True)
    os._exit(code)
