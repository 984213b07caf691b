"""Stand-in of the platform: key-value store, worker registration and VM list.

It follows PROTOCOL.md and uses only the standard library. It runs in the driver's
process; each connection has its own thread.
"""

import json
import threading
import time
from base64 import b64decode, b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

HEARTBEAT_S = 1.5
PAGE_ITEMS = 500
MAX_ENTRIES = 32
MIN_TTL_MS = 1000


class JsonHandler(BaseHTTPRequestHandler):
    """Passes a call with a JSON body to ``server.answer``."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def handle_call(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else {}
        url = urlsplit(self.path)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        answer = self.server.answer(self.command, url.path, query, body, self.headers)
        if answer is None:  # the channel is reset without a response
            self.close_connection = True
            return
        status, fields = answer
        data = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_DELETE = handle_call

    def log_message(self, *args):
        pass


class JsonServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, host, answer, port=0):
        super().__init__((host, port), JsonHandler)
        self.answer = answer

    @property
    def address(self):
        return f"{self.server_address[0]}:{self.server_address[1]}"

    def start(self):
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        pass  # a caller that was killed


class Platform:
    """The store and the VM list. All fields are guarded by ``changed``."""

    def __init__(self):
        self.changed = threading.Condition(threading.RLock())
        self.items = {}  # key -> dict with key, value (text), rev, created, lease
        self.revision = 1
        self.history = []
        self.leases = {}  # lease -> [expires_at, ttl_s]
        self.heard_at = {}  # worker -> time of its latest liveness report
        self.is_down = False
        self.down_since = 0.0
        self.machines = {}  # machine -> row of the VM list
        self.orders = []  # moves and upkeeps: time, kind, machine, holder, fence
        self.server = JsonServer("127.0.0.1", self.answer)
        self.server.start()
        threading.Thread(target=self._expire, daemon=True).start()

    # Faults ----------------------------------------------------------------

    def set_down(self, down):
        """Answer 503 to everything; leases pause meanwhile."""
        with self.changed:
            if self.is_down and not down:
                pause = time.monotonic() - self.down_since
                for lease in self.leases.values():
                    lease[0] += pause
                for worker in self.heard_at:
                    self.heard_at[worker] += pause
            if down and not self.is_down:
                self.down_since = time.monotonic()
            self.is_down = down
            self.changed.notify_all()

    # Operator --------------------------------------------------------------

    def write(self, key, value, lease=0):
        with self.changed:
            self.revision += 1
            self._put(key, b64encode(value).decode(), lease)
            self.changed.notify_all()

    def read(self, key):
        with self.changed:
            item = self.items.get(key)
            return b64decode(item["value"]) if item else None

    # Calls -----------------------------------------------------------------

    def answer(self, method, path, query, body, headers):
        if path == "/standin/register":
            return self._register(body)
        if path == "/standin/leave":
            return self._remove_worker(body)
        if path.startswith("/v1/machine"):
            return self._answer_cloud(path, body, headers)
        with self.changed:
            if self.is_down:
                return 503, {}
            if path == "/v1/kv-key":
                item = self.items.get(query["key"])
                return (404, {"asOf": self.revision}) if item is None else (
                    200, {**item, "asOf": self.revision})
            if path == "/v1/kv-range":
                prefix, after = query["prefix"], query.get("after", "")
                keys = sorted(
                    k for k in self.items if k.startswith(prefix) and k > after
                )
                rows = [self.items[key] for key in keys[:PAGE_ITEMS]]
                return 200, {"items": rows, "morePages": len(keys) > PAGE_ITEMS,
                             "asOf": self.revision}
            if path == "/v1/kv-watch":
                return self._watch(query)
            if path == "/v1/kv-txn":
                return self._commit(body)
            if path == "/v1/kv-lease":
                ttl_s = max(MIN_TTL_MS, body["ttlMs"]) / 1000
                self.revision += 1
                self.leases[self.revision] = [time.monotonic() + ttl_s, ttl_s]
                return 200, {"lease": self.revision, "ttlMs": int(ttl_s * 1000)}
            number = int(path.rpartition("/")[2])
            lease = self.leases.get(number)
            if lease is None or lease[0] <= time.monotonic():
                return 404, {}
            if path.startswith("/v1/kv-keep/"):
                lease[0] = time.monotonic() + lease[1]
                return 200, {"ttlMs": int(lease[1] * 1000)}
            del self.leases[number]
            self._remove_leased(number)
            return 200, {}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if self.is_down:
                return 503, {}
            events = [
                event for event in self.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            self.changed.wait(left)

    def _commit(self, body):
        rows, puts = body.get("precondition") or [], body.get("puts") or []
        removals = body.get("remove") or []
        if len(rows) + len(puts) + len(removals) > MAX_ENTRIES:
            return 400, {}
        if any(self._revision_of(row["key"]) != row["rev"] for row in rows):
            current = [self.items[r["key"]] for r in rows if r["key"] in self.items]
            return 412, {"items": current}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        self.revision += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease") or 0)
        for key in removals:
            self._remove(key)
        self.changed.notify_all()
        return 200, {"rev": self.revision}

    def _revision_of(self, key):
        return self.items[key]["rev"] if key in self.items else 0

    def _put(self, key, value, lease):
        old = self.items.get(key)
        item = {"key": key, "value": value, "rev": self.revision,
                "created": old["created"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "rev": self.revision, "removed": True})

    def _remove_leased(self, lease):
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self.changed.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                if self.is_down:
                    continue
                now = time.monotonic()
                for number in [n for n, row in self.leases.items() if row[0] <= now]:
                    del self.leases[number]
                    self._remove_leased(number)
                for worker, at in list(self.heard_at.items()):
                    if now - at > 3 * HEARTBEAT_S:
                        del self.heard_at[worker]
                        self.revision += 1
                        self._remove(f"servers/{worker}")
                        self.changed.notify_all()

    # Workers and VMs -------------------------------------------------------

    def _register(self, body):
        with self.changed:
            if self.is_down:
                return 503, {}
            self.heard_at[body["id"]] = time.monotonic()
            self.revision += 1
            value = b64encode(json.dumps(body["entry"]).encode()).decode()
            self._put(f"servers/{body['id']}", value, 0)
            self.changed.notify_all()
            return 200, {}

    def _remove_worker(self, body):
        """Remove the entry of a worker that has left, and its machine."""
        with self.changed:
            self.heard_at.pop(body["id"], None)
            self.machines.pop(f"m-{body['id']}", None)
            self.revision += 1
            self._remove(f"servers/{body['id']}")
            self.changed.notify_all()
            return 200, {}

    def _answer_cloud(self, path, body, headers):
        with self.changed:
            if path == "/v1/machines":
                return 200, {"machines": list(self.machines.values()),
                             "nextToken": None}
            holder = headers.get("X-Sesameladder-Duty-Holder")
            fence = headers.get("X-Sesameladder-Fence-Token")
            machine = self.machines.get(body["machine"])
            kind = "move" if path.endswith("move") else "upkeep"
            self.orders.append((time.monotonic(), kind, body, holder, fence))
            if machine is None:
                return 400, {}
            return 409, {"reason": "busy"}  # no case here lets a VM move
