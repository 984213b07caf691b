"""The platform stand-in: store, VM list and VM actions under injected faults."""

import re
from functools import partial

from sesameladder.settings import PlatformStandinSettings
from sesameladder.standins._clock import Clock, SystemClock
from sesameladder.standins._http import (
    DropConnection,
    Handler,
    Request,
    RequestRefused,
    Response,
    StandinServer,
)
from sesameladder.standins.platform._call import Call
from sesameladder.standins.platform._faults import (
    UNREACHABLE,
    Fault,
    FaultMode,
    FaultSwitch,
)
from sesameladder.standins.platform._rates import CallCounters, CallKind
from sesameladder.standins.platform._shared_store import SharedStore
from sesameladder.standins.platform._store_api import StoreApi
from sesameladder.standins.platform._vm_list import VmList

THREADS = 96

ACTION_PATH = re.compile(r"^/v1/vms/([^/]+)/(drain|reboot)$")


class PlatformStandin:
    """Runs the platform's HTTP API on one address."""

    __slots__ = (
        "clock",
        "counters",
        "faults",
        "server",
        "settings",
        "store",
        "store_api",
        "vms",
    )

    def __init__(
        self, settings: PlatformStandinSettings, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.store = SharedStore(self.clock)
        self.store_api = StoreApi(self.store)
        self.faults = FaultSwitch()
        self.counters = CallCounters(settings, self.clock)
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
        """End waiting calls and stop serving."""
        self.set_fault({"mode": FaultMode.DOWN})
        self.vms.stop()
        self.server.stop()

    def set_fault(self, order: dict[str, object]) -> None:
        """Apply a ``POST /faults`` body and let waiting calls notice it."""
        self.faults.apply(order)
        self.store.wake()

    def handle(self, request: Request) -> Response:
        """Answer one request."""
        control = self._find_control(request)
        if control is not None:
            return control(request)
        zone = request.header("From-Zone") or ""
        call = self._find_call(request, zone)
        return self._answer_call(request, call, zone)

    def _answer_call(self, request: Request, call: Call, zone: str) -> Response:
        if self.faults.find(zone).mode is FaultMode.CUT:
            raise DropConnection
        self.counters.count(call.operation, call.kind, zone)
        self._delay(zone)
        self._refuse_unreachable(zone)
        self.counters.limit(call.kind)
        response = call.answer(request)
        if call.operation == "watch":
            self._refuse_unreachable(zone)
        if self.faults.find(zone).mode is FaultMode.LOSE_ANSWERS:
            raise DropConnection
        return response

    def _refuse_unreachable(self, zone: str) -> None:
        mode = self.faults.find(zone).mode
        if mode is FaultMode.CUT:
            raise DropConnection
        if mode is FaultMode.DOWN:
            raise RequestRefused("the platform is down", 503)

    def _delay(self, zone: str) -> None:
        fault = self.faults.find(zone)
        if fault.mode is FaultMode.SLOW:
            changed = partial(self._has_changed, zone, fault)
            self.store.delay(fault.delay_ms / 1000, changed)

    def _has_changed(self, zone: str, fault: Fault) -> bool:
        return self.faults.find(zone) != fault

    def _is_unreachable(self, zone: str) -> bool:
        return self.faults.find(zone).mode in UNREACHABLE

    def _find_call(self, request: Request, zone: str) -> Call:
        call = self.store_api.find_call(request, partial(self._is_unreachable, zone))
        if call is not None:
            return call
        if (request.method, request.path) == ("GET", "/v1/vms"):
            return Call("list_vms", CallKind.READ, self._list_vms)
        match = ACTION_PATH.match(request.path)
        if request.method == "POST" and match:
            act = partial(self._act, vm=match[1], action=match[2])
            return Call(match[2], CallKind.ACTION, act)
        raise RequestRefused("no such call", 404)

    def _find_control(self, request: Request) -> Handler | None:
        routes: dict[tuple[str, str], Handler] = {
            ("POST", "/faults"): self._set_fault,
            ("POST", "/vms"): self._add_vms,
            ("GET", "/counters"): self._show_counters,
        }
        return routes.get((request.method, request.path))

    def _list_vms(self, _request: Request) -> Response:
        return Response.from_json(self.vms.list_rows())

    def _act(self, _request: Request, vm: str, action: str) -> Response:
        self.vms.act(vm, action)
        return Response(204)

    def _set_fault(self, request: Request) -> Response:
        self.set_fault(request.json_object())
        return Response(204)

    def _add_vms(self, request: Request) -> Response:
        self.vms.add_from_json(request.body)
        return Response(204)

    def _show_counters(self, _request: Request) -> Response:
        gauges = {
            "revision": self.store.store.revision,
            "keys": len(self.store.store.entries),
            "leases": len(self.store.store.leases),
            "waiting_calls": self.store.waiting,
            "vms": len(self.vms.vms),
        }
        return Response.from_json({**self.counters.to_json(), **gauges})
