"""The platform stand-in: HTTP routes over store, VM list, faults and counters."""

import re
import threading
from collections import Counter
from collections.abc import Callable
from functools import partial

from sesameladder.platform import (
    StoreEntry,
    StoreRefused,
    SwapConflict,
    SwapOutcome,
)
from sesameladder.settings import PlatformStandinSettings
from sesameladder.standins._clock import Clock, SystemClock
from sesameladder.standins._http import (
    DropConnection,
    Request,
    RequestRefused,
    Response,
    StandinServer,
)
from sesameladder.standins.platform._faults import Fault, FaultMode, FaultSwitch
from sesameladder.standins.platform._shared_store import SharedStore
from sesameladder.standins.platform._vm_list import VmList

THREADS = 96
MAX_REVISION = 2**53
MAX_WATCH_MS = 600_000
MAX_TTL_MS = 100 * 3_600_000
REVISION_HEADER = "Store-Revision"

LEASE_PATH = re.compile(r"^/v1/leases/(\d{1,15})/keepalive$", re.ASCII)
ACTION_PATH = re.compile(r"^/v1/vms/([^/]+)/(drain|reboot)$")


class PlatformStandin:
    """Runs the platform's HTTP API on one address."""

    __slots__ = ("clock", "counters", "faults", "server", "settings", "store", "vms")

    def __init__(
        self, settings: PlatformStandinSettings, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.store = SharedStore(self.clock)
        self.faults = FaultSwitch()
        self.counters = CallCounters()
        self.vms = VmList(settings, self.clock, self.faults)
        self.server = StandinServer(settings.address, self.handle, THREADS)

    @property
    def address(self) -> str:
        """The ``ip:port`` in use, known once the stand-in has started."""
        return self.server.address

    def start(self) -> None:
        """Bind the address, serve it and probe the listed VMs."""
        self.server.start()
        self.vms.start()

    def stop(self) -> None:
        """End waiting watches and stop serving."""
        self.faults.apply({"mode": "down"})
        self.store.wake()
        self.vms.stop()
        self.server.stop()

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        control = self._find_control(request)
        if control is not None:
            return control(request)
        zone = request.header("From-Zone") or ""
        operation, action = self._find_call(request)
        self.counters.count(operation, zone)
        fault = self.faults.find(zone)
        self._refuse(fault)
        response = action(request)
        if fault.mode is FaultMode.LOSE_ANSWERS:
            raise DropConnection
        return response

    def _refuse(self, fault: Fault) -> None:
        if fault.mode is FaultMode.DOWN:
            raise RequestRefused("the platform is down", 503)
        if fault.mode is FaultMode.CUT:
            raise DropConnection
        if fault.mode is FaultMode.SLOW:
            self._delay(fault.delay_ms / 1000)

    def _delay(self, seconds: float) -> None:
        end = self.clock.now() + seconds
        condition = threading.Condition()
        with condition:
            while (left := end - self.clock.now()) > 0:
                self.clock.wait(condition, left)

    def _find_control(self, request: Request) -> Callable[[Request], Response] | None:
        routes = {
            ("POST", "/faults"): self._set_fault,
            ("POST", "/vms"): self._add_vms,
            ("GET", "/counters"): self._show_counters,
        }
        return routes.get((request.method, request.path))

    def _find_call(self, request: Request) -> tuple[str, Callable[[Request], Response]]:
        method, path = request.method, request.path
        if path.startswith("/v1/kv/"):
            calls = {"GET": self._get, "PUT": self._swap, "DELETE": self._delete}
            if method in calls:
                return method.lower(), calls[method]
        if method == "GET" and path == "/v1/kv":
            return "list", self._list_entries
        if method == "GET" and path.startswith("/v1/watch/"):
            return "watch", self._watch
        if method == "POST" and path == "/v1/leases":
            return "grant_lease", self._grant_lease
        if method == "POST" and (match := LEASE_PATH.match(path)):
            return "keep_alive", partial(self._keep_alive, int(match[1]))
        if method == "GET" and path == "/v1/vms":
            return "list_vms", self._list_vms
        if method == "POST" and (match := ACTION_PATH.match(path)):
            return match[2], partial(self._act, match[1], match[2])
        raise RequestRefused(f"no such call: {method} {path[:200]}", 404)

    def _get(self, request: Request) -> Response:
        key = _read_key(request, "/v1/kv/")
        entry = self.store.call(lambda store: store.get(key))
        return _encode_entry(200, entry)

    def _list_entries(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "")
        entries = self.store.call(lambda store: store.list_entries(prefix))
        return Response.from_json(
            [
                {
                    "key": entry.key,
                    "value_hex": entry.value.hex(),
                    "revision": entry.revision,
                }
                for entry in entries
            ]
        )

    def _swap(self, request: Request) -> Response:
        key = _read_key(request, "/v1/kv/")
        expected = request.query_int("expected", None, 0, MAX_REVISION)
        lease = request.query_int("lease", 0, 0, MAX_REVISION) or None
        try:
            outcome = self.store.call(
                lambda store: store.compare_and_swap(key, expected, request.body, lease)
            )
        except StoreRefused as error:
            raise RequestRefused(
                str(error), 413 if "bytes" in str(error) else 400
            ) from error
        return _encode_outcome(outcome)

    def _delete(self, request: Request) -> Response:
        key = _read_key(request, "/v1/kv/")
        expected = request.query_int("expected", None, 0, MAX_REVISION)
        return _encode_outcome(
            self.store.call(lambda store: store.delete(key, expected))
        )

    def _watch(self, request: Request) -> Response:
        key = _read_key(request, "/v1/watch/")
        after = request.query_int("after", 0, 0, MAX_REVISION)
        timeout_ms = request.query_int("timeout_ms", 0, 0, MAX_WATCH_MS)
        zone = request.header("From-Zone") or ""

        def interrupted() -> bool:
            return self.faults.find(zone).mode in (FaultMode.DOWN, FaultMode.CUT)

        entry = self.store.watch(key, after, timeout_ms / 1000, interrupted)
        self._refuse(self.faults.find(zone))
        return _encode_entry(200, entry) if entry else Response(204)

    def _grant_lease(self, request: Request) -> Response:
        ttl_ms = request.query_int("ttl_ms", None, 1, MAX_TTL_MS)
        lease = self.store.call(lambda store: store.grant_lease(ttl_ms / 1000))
        return Response.from_text(200, str(lease))

    def _keep_alive(self, lease: int, request: Request) -> Response:
        del request
        alive = self.store.call(lambda store: store.keep_alive(lease))
        return Response(200 if alive else 404)

    def _list_vms(self, request: Request) -> Response:
        del request
        return Response.from_json(self.vms.list_rows())

    def _act(self, vm: str, action: str, request: Request) -> Response:
        del request
        return self.vms.act(vm, action)

    def _set_fault(self, request: Request) -> Response:
        self.faults.apply(request.json_object())
        self.store.wake()
        return Response(204)

    def _add_vms(self, request: Request) -> Response:
        self.vms.add_from_json(request.body)
        return Response(204)

    def _show_counters(self, request: Request) -> Response:
        del request
        return Response.from_json(self.counters.to_json())


class CallCounters:
    """Counts calls by operation and by zone."""

    __slots__ = ("by_operation", "by_zone", "lock")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.by_operation: Counter[str] = Counter()
        self.by_zone: Counter[str] = Counter()

    def count(self, operation: str, zone: str) -> None:
        """Count one call."""
        with self.lock:
            self.by_operation[operation] += 1
            self.by_zone[zone] += 1

    def to_json(self) -> dict[str, object]:
        """Return the counts as a JSON object."""
        with self.lock:
            return {"calls": dict(self.by_operation), "zones": dict(self.by_zone)}


def _read_key(request: Request, prefix: str) -> str:
    key = request.path.removeprefix(prefix)
    if not key:
        raise RequestRefused("the key is empty")
    return key


def _encode_entry(status: int, entry: StoreEntry | None) -> Response:
    if entry is None:
        return Response(404)
    return Response(status, entry.value, {REVISION_HEADER: str(entry.revision)})


def _encode_outcome(outcome: SwapOutcome) -> Response:
    if isinstance(outcome, SwapConflict):
        if outcome.current is None:
            return Response(409)
        return _encode_entry(409, outcome.current)
    return Response(200, b"", {REVISION_HEADER: str(outcome.revision)})
