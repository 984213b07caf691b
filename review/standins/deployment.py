"""A small deployment on loopback: node processes, workers and the platform.

Shared by the cases. The node processes are started with the command of
``deploy/system.toml``, with settings as in DEPLOY.md.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from platform_standin import Platform
from proxy import Proxy

ROOT = Path(__file__).resolve().parents[2]
HOST = "pule25.example"
PREFIX = "/puxa400/"
QUEUE = "r-1"
CANNOT_RUN, HELD, BROKEN = 2, 0, 1
# Each script has ports of its own, so that several can run at the same time.
FIRST_PORT = 20_000 + os.getpid() % 24 * 500
PORTS = set(range(FIRST_PORT, FIRST_PORT + 500))
CASE_LIMIT_S = 115
SETTINGS = """node={name}
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
listen.controlAddr=127.0.0.1:{control}
portRange=7060,7075
seeds=
bootstrap=true
inTolerance=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.stableMs=3000
bounds.ackMs=4000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.holdMaxMs=10000
bounds.stopGraceMs=900
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.requireFence=false
bounds.leaseMs=3000
orders=call
platform.addr={platform}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloud.addr={platform}
cloud.ratePerS=64.0
cloud.duties=
cloud.dutyPerS=64.0
"""


class CannotRun(Exception):
    """The deployment did not come up, or a precondition of the case was not met."""


class Deployment:
    """Processes of one case. ``note`` writes a line to record.txt."""

    def __init__(self, record_path):
        self.record_file = Path(record_path).open("w", buffering=1)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.events_path = self.folder / "events"
        self.events_path.touch()
        self.started_at = time.monotonic()
        self.platform = Platform()
        self.nodes, self.node_ports = {}, {}
        self.workers, self.worker_ports, self.proxies = {}, {}, {}
        self.records_seen = 0

    def note(self, text):
        line = f"{time.monotonic() - self.started_at:8.3f}  {text}"
        self.record_file.write(line + "\n")
        print(line)

    # Processes -------------------------------------------------------------

    def start_node(self, name, zone="qld-bne"):
        if name not in self.node_ports:
            self.node_ports[name] = [find_port() for _ in range(3)]
        front, ready, control = self.node_ports[name]
        path = self.folder / f"{name}.conf"
        path.write_text(SETTINGS.format(
            name=name, zone=zone, front=front, ready=ready, control=control,
            platform=self.platform.server.address))
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["SESAMELADDER_BOOT"] = str(path)
        log = (self.folder / f"{name}.log").open("ab")
        self.nodes[name] = subprocess.Popen(
            ["python3", "deploy/run_node.py"], cwd=ROOT, env=env,
            stdout=log, stderr=log)
        self.note(f"node {name} started")

    def start_worker(self, name, service, cpu=32000, rack="r1-1", zone="qld-bne"):
        port = self.worker_ports.setdefault(name, find_port())
        proxy = self.proxies.get(name)
        self.workers[name] = subprocess.Popen(
            [sys.executable, str(Path(__file__).parent / "worker_standin.py"),
             "--id", name, "--service", service, "--zone", zone, "--rack", rack,
             "--platform", self.platform.server.address,
             "--events", str(self.events_path), "--cpu", str(cpu),
             "--port", str(port), "--reached-at", proxy.address if proxy else ""])
        with self.platform.changed:
            self.platform.machines[f"m-{name}"] = {
                "machine": f"m-{name}", "pool": service, "state": "up",
                "zone": zone, "labels": ["a", rack], "id": name,
                "capacity": {"cpu": cpu, "memMb": 65536, "gpu": 0}}

    def add_proxy(self, name):
        """Let a worker that is started later be reached through a proxy only."""
        self.worker_ports[name] = find_port()
        self.proxies[name] = Proxy(self.worker_ports[name])

    def crash_worker(self, name, shows_down=True):
        """Kill a worker; the VM list shows its machine as down, unless it stays up."""
        self.workers[name].kill()
        self.workers[name].wait()
        self.note(f"worker {name} killed with SIGKILL")
        if not shows_down:
            return
        with self.platform.changed:
            row = self.platform.machines[f"m-{name}"]
            row["state"], row["id"] = "down", ""

    def restart_worker(self, name):
        """Start a killed worker again, under the identifier that it had."""
        row = self.platform.machines[f"m-{name}"]
        self.start_worker(name, row["pool"], row["capacity"]["cpu"],
                          row["labels"][1], row["zone"])
        self.note(f"worker {name} started again")

    def drain_worker(self, name, leaves_after_s):
        """Let a worker report that it drains; it leaves for good later."""
        self.note(f"worker {name} drains and leaves in {leaves_after_s} s")
        self.request(self.worker_ports[name], "POST", "/standin/drain",
                     {"ms": leaves_after_s * 1000})

    def set_refusing(self, name, refuses):
        """Let a worker answer 503 to every start, or no longer."""
        self.request(self.worker_ports[name], "POST", "/standin/refuse",
                     {"on": refuses})
        self.note(f"worker {name} {'refuses' if refuses else 'accepts'} starts")

    def terminate_node(self, name, restart_after_s=0.5):
        """Stop a node as the platform does for planned work, and start it again."""
        process = self.nodes[name]
        self.note(f"node {name} gets SIGTERM")
        process.send_signal(signal.SIGTERM)
        self.finish_restart(name, restart_after_s)

    def begin_restart(self, name):
        """As ``terminate_node``, but don't wait for it."""
        self.note(f"node {name} gets SIGTERM")
        self.nodes[name].send_signal(signal.SIGTERM)
        threading.Thread(target=self.finish_restart, args=(name,), daemon=True).start()

    def finish_restart(self, name, restart_after_s=0.5):
        process = self.nodes[name]
        try:
            process.wait(6)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.note(f"node {name} has ended")
        time.sleep(restart_after_s)
        self.start_node(name)

    def wait_ready(self, limit_s=30):
        until = time.monotonic() + limit_s
        for name in self.nodes:
            while True:
                try:
                    if self.request(self.node_ports[name][1], "GET", "/v1/ready")[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > until:
                    raise CannotRun(f"node {name} is not ready")
                time.sleep(0.05)

    def wait_for_owner(self, role, limit_s=20):
        value = self.wait(lambda: self.platform.read(f"own/{role}"), limit_s)
        if not value:
            raise CannotRun(f"nobody holds {role}")
        return json.loads(value)["node"]

    def wait(self, condition, limit_s, pause_s=0.02):
        """Return the first true value of ``condition``, or None after the limit."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            value = condition()
            if value:
                return value
            time.sleep(pause_s)
        return None

    def close(self):
        for process in [*self.nodes.values(), *self.workers.values()]:
            if process.poll() is None:
                process.kill()
                process.wait()
        for row in self.read_events():
            self.record_file.write(f"{row[0] - self.started_at:8.3f}  worker {row[1]} "
                                   f"{row[2]} {row[3]} run {row[4]} {row[5]}\n")
        self.record_file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    # Calls -----------------------------------------------------------------

    def request(self, port, method, path, body=None, timeout_s=3):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
        try:
            data = None if body is None else json.dumps(body)
            headers = {"Host": HOST, "X-Sesameladder-Deadline-Ms": "3000",
                       "Content-Type": "application/json"}
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            text = response.read()
            return response.status, json.loads(text or b"{}")
        except http.client.HTTPException as error:
            raise OSError(str(error)) from error
        finally:
            connection.close()

    def call(self, node, method, path, body=None, quiet=False):
        """Call a node as a client; returns (0, {}) without an answer."""
        try:
            answer = self.request(self.node_ports[node][0], method, path, body)
        except OSError as error:
            answer = 0, {"error": str(error)}
        if not quiet:
            self.note(f"client -> {node}: {method} {path} -> {answer[0]} {answer[1]}")
        return answer

    def configure(self, version, service, services, queue=QUEUE):
        """Write the operator's configuration: one queue, run by ``service``."""
        route = {"name": queue, "host": HOST, "prefix": PREFIX, "service": service,
                 "prio": 0, "attempts": 4, "stretch": 1.6, "goalMs": 600,
                 "timeoutMs": 3000}
        rows = [{"name": name, "admissionCheck": True} for name in services]
        self.platform.write("op/config", json.dumps({
            "version": version, "routes": [route], "services": rows,
            "limits": {"bodyBytes": 262144}}).encode())
        self.note(f"operator: version {version}, queue {queue} -> service {service}")

    # What the workers have seen --------------------------------------------

    def read_events(self):
        rows = []
        for line in self.events_path.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                pass  # cut off by a kill
        return sorted(rows)

    def list_running(self, job=""):
        """Return (worker, task, run) of what runs on workers that are up."""
        running = {}
        for _, worker, event, task, run, _ in self.read_events():
            if event == "up":  # another life of the worker, which runs nothing
                for key in [key for key in running if key[0] == worker]:
                    del running[key]
            elif event == "start":
                running[worker, task] = run
            elif event == "end":
                running.pop((worker, task), None)
        return [(worker, task, run) for (worker, task), run in running.items()
                if task.startswith(job) and self.workers[worker].poll() is None]

    def list_noted_ends(self, events):
        """Return (worker, task, run) of the ends `done` that are taken note of."""
        ended_at, lapsed_at, noted = {}, {}, set()
        for at, worker, event, task, run, how in events:
            if event == "lapse":
                lapsed_at[worker] = at
            elif event == "end":
                ended_at[worker, task, run] = at
            elif event == "noted" and how == "done":
                end = ended_at.get((worker, task, run), at)
                if not end <= lapsed_at.get(worker, -1) <= at:
                    noted.add((worker, task, run))
        return noted

    def find_double_starts(self):
        """Return breaches of TWICE: a second run beside one, or after a noted end.

        An end is not noted if the worker's lease lapsed between the two. Workers that
        were killed count as ended at their last event.
        """
        events = self.read_events()
        noted = self.list_noted_ends(events)
        active, done, breaches = {}, {}, []
        for at, worker, event, task, run, how in events:
            if event == "up":
                for row in active.values():
                    row.pop(worker, None)
            elif event == "start":
                others = [w for w in active.get(task, {})
                          if self.workers[w].poll() is None]
                if others:
                    breaches.append(f"{task} run {run} starts on {worker} while it "
                                    f"runs on {others[0]}")
                elif task in done:
                    breaches.append(f"{task} run {run} starts on {worker} after its "
                                    f"end as done on {done[task]} was noted")
                active.setdefault(task, {})[worker] = run
            elif event == "end":
                active.get(task, {}).pop(worker, None)
                if how == "done" and (worker, task, run) in noted:
                    done[task] = worker
        return breaches


def build_job(count, cpu, ms=None, how="done", **step):
    spec = {"cpu": cpu, "memMb": 50, "how": how} | ({"ms": ms} if ms else {})
    row = {"count": count, "cpu": cpu, "memMb": 50, "estMs": ms or 1000, **step}
    return {"spec": json.dumps(spec), "steps": [row]}


def find_port():
    """Return a free port outside the range of outgoing connections, each once."""
    while True:
        port = random.choice(sorted(PORTS))
        PORTS.discard(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def raise_time_out(*_):
    raise CannotRun("the case took too long")


def run_case(body):
    """Run a case and exit with its verdict; ``body`` returns the breaches."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, raise_time_out)
    signal.signal(signal.SIGALRM, raise_time_out)
    signal.alarm(CASE_LIMIT_S)
    deployment = Deployment(Path(sys.argv[0]).resolve().parent / "record.txt")
    deployment.note(f"trouble: {trouble}")
    verdict = CANNOT_RUN
    try:
        breaches = body(deployment, trouble)
        for breach in breaches[:20]:
            deployment.note(f"BROKEN {breach}")
        deployment.note(f"{len(breaches)} breaches")
        verdict = BROKEN if breaches else HELD
    except (CannotRun, OSError) as error:
        deployment.note(f"the case could not run: {error!r}")
    finally:
        deployment.note(f"exit {verdict}")
        deployment.close()
    sys.exit(verdict)
