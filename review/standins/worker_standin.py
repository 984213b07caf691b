"""Stand-in of one worker: a process that runs subtasks as PROTOCOL.md describes.

The ``spec`` of a job is a JSON text with ``ms`` (how long each subtask works, absent
for subtasks that last), ``cpu``, ``memMb`` and ``how`` (``failed`` for subtasks that
fail, else they end as ``done``). Every start and end is written to the
events file before it is answered, so that it outlives a kill.
"""

import argparse
import json
import os
import sys
import threading
import time
import urllib.request
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from platform_standin import HEARTBEAT_S, JsonServer

HOLD_MAX_MS = 10_000
STOP_MS = 50
MAX_ENDS = 500


class Worker:
    """Runs and ends of one incarnation, guarded by ``changed``."""

    def __init__(self, options):
        self.options = options
        self.changed = threading.Condition()
        self.started_at = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.fence = 0
        self.lease_until_ms = 0
        self.has_lease = False
        self.runs = {}  # task -> [run, spec, due_ms or None, started_ms]
        self.barred = {}  # task -> highest run that has been stopped or has ended
        self.ends = []
        self.end_number = 0
        self.leaves_at = None  # time at which a draining worker ends
        self.wake = threading.Event()
        self.refuses = False  # an unhealthy worker that answers 503 to every start
        self.events = Path(options.events).open("a", buffering=1)
        self.server = JsonServer("127.0.0.1", self.answer, options.port)

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1

    def record(self, event, task="", run=0, how=""):
        row = [round(time.monotonic(), 4), self.options.id, event, task, run, how]
        self.events.write(json.dumps(row) + "\n")

    def run_forever(self):
        self.server.start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()
        while True:
            with self.changed:
                self.advance()
                dues = [row[2] for row in self.runs.values() if row[2] is not None]
                if self.runs:
                    dues.append(self.lease_until_ms)
                wait_ms = min(dues) - self.clock_ms() if dues else 50
                self.changed.wait(max(0.001, min(wait_ms, 50) / 1000))

    def send_heartbeats(self):
        seq = 0
        while True:
            seq += 1
            entry = {
                "service": self.options.service, "addr": self.options.reached_at or self.server.address,
                "zone": self.options.zone, "version": "v1", "slots": 8,
                "state": "ready" if self.leaves_at is None else "draining",
                "coldLeftMs": 0, "seq": seq,
                "capacity": {"cpu": self.options.cpu, "memMb": 65536, "gpu": 0},
                "labels": ["a", self.options.rack], "born": self.born_ms,
                "clockMs": self.clock_ms(),
            }
            if self.leaves_at is not None:
                left = self.leaves_at - time.monotonic()
                if left <= 0:
                    self.leave()
                entry["remainingMs"] = int(left * 1000)
            data = json.dumps({"id": self.options.id, "entry": entry}).encode()
            url = f"http://{self.options.platform}/standin/register"
            try:
                urllib.request.urlopen(url, data, timeout=1).close()
                pause = HEARTBEAT_S
            except OSError:
                pause = 0.3
            if self.leaves_at is not None:
                pause = max(0.01, min(pause, self.leaves_at - time.monotonic()))
            self.wake.wait(pause)
            self.wake.clear()

    def leave(self):
        """End as planned: what runs here terminates, and the entry is removed."""
        with self.changed:
            for task in list(self.runs):
                self.end(task, "left")
            self.record("left")
            data = json.dumps({"id": self.options.id}).encode()
            url = f"http://{self.options.platform}/standin/leave"
            urllib.request.urlopen(url, data, timeout=2).close()
            os._exit(0)

    def advance(self):
        now = self.clock_ms()
        if self.lease_until_ms <= now and self.has_lease:
            self.has_lease = False
            self.record("lapse")
        if self.runs and self.lease_until_ms <= now:
            for task in list(self.runs):
                self.end(task, "lapsed")
        due = [(row[2], task) for task, row in self.runs.items()
               if row[2] is not None and row[2] <= now]
        for _, task in sorted(due):
            row = self.runs[task]
            how = "stopped" if row[4] else row[1].get("how", "done")
            self.end(task, how)

    def end(self, task, how):
        run = self.runs.pop(task)[0]
        self.barred[task] = max(self.barred.get(task, 0), run)
        self.end_number += 1
        self.ends.append([self.end_number, task, run, how, ""])
        self.record("end", task, run, how)
        self.changed.notify_all()

    def answer(self, method, path, query, body, headers):
        expected = headers.get("X-Sesameladder-Expect-Instance")
        with self.changed:
            if path == "/standin/drain":
                self.leaves_at = time.monotonic() + body["ms"] / 1000
                self.wake.set()
                return 200, {}
            if path == "/standin/refuse":
                self.refuses = body["on"]
                return 200, {}
            if expected is not None and expected != self.options.id:
                return 421, {"clockMs": self.clock_ms()}
            self.advance()
            if body.get("fence", 0) < self.fence:
                return self.reject("fence")
            self.fence = max(self.fence, body.get("fence", 0))
            if path == "/v1/hold":
                return self.hold(body)
            task, run = body["task"], body["run"]
            if path == "/v1/run-start" and self.refuses:
                self.record("refused", task, run)
                return 503, {}
            if path == "/v1/run-start":
                return self.start(task, run, body)
            if path == "/v1/run-stop":
                row = self.runs.get(task)
                if row is not None and row[0] <= run:
                    row[2], row[4] = self.clock_ms() + STOP_MS, True
                else:
                    self.barred[task] = max(self.barred.get(task, 0), run)
                self.changed.notify_all()
            return 200, {"clockMs": self.clock_ms(), "born": self.born_ms}

    def reject(self, reason):
        return 409, {"clockMs": self.clock_ms(), "born": self.born_ms, "reason": reason}

    def extend_lease(self, body):
        wanted = min(body.get("deadlineMs", 0), self.clock_ms() + HOLD_MAX_MS)
        self.lease_until_ms = max(self.lease_until_ms, wanted)
        self.has_lease = self.lease_until_ms > self.clock_ms()

    def start(self, task, run, body):
        row = self.runs.get(task)
        if row is not None and row[0] == run:
            self.extend_lease(body)
            return 200, {"clockMs": self.clock_ms(), "born": self.born_ms}
        if row is not None or run <= self.barred.get(task, 0):
            self.extend_lease(body)
            return self.reject("old")
        if body.get("deadlineMs", 0) <= self.clock_ms():
            return self.reject("late")
        self.extend_lease(body)
        spec = json.loads(body["spec"])
        used = sum(other[1]["cpu"] for other in self.runs.values())
        memory = sum(other[1]["memMb"] for other in self.runs.values())
        if used + spec["cpu"] > self.options.cpu or memory + spec["memMb"] > 65536:
            return self.reject("room")
        now = self.clock_ms()
        due = now + spec["ms"] if "ms" in spec else None
        self.runs[task] = [run, spec, due, now, False]
        self.record("start", task, run)
        self.changed.notify_all()
        return 200, {"clockMs": self.clock_ms(), "born": self.born_ms}

    def hold(self, body):
        self.extend_lease(body)
        seen = body.get("lastSeen", 0)
        for number, task, run, how, _ in self.ends:
            if number <= seen:
                self.record("noted", task, run, how)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.wait(until - time.monotonic())
            if body.get("fence", 0) < self.fence:
                return self.reject("fence")
        self.advance()
        now = self.clock_ms()
        running = [
            [task, row[0], "",
             100 if "ms" not in row[1]
             else min(99, int(100 * (now - row[3]) / max(1, row[1]["ms"]))),
             row[1]["cpu"]]
            for task, row in self.runs.items()
        ]
        return 200, {"clockMs": now, "born": self.born_ms, "running": running,
                     "ended": self.ends[:MAX_ENDS]}


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "zone", "rack", "platform", "events"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--cpu", type=int, default=32000)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--reached-at", default="", help="address to register")
    worker = Worker(parser.parse_args())
    worker.record("up", how=str(worker.born_ms))
    worker.run_forever()


if __name__ == "__main__":
    main()
