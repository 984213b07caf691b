"""HTTP routes of the platform stand-in, with rate limits and injected faults."""

import re
from functools import partial

from sesameladder.settings import PlatformStandinSettings
from sesameladder.standins._clock import Clock, SystemClock
from sesameladder.standins._http import (
    DropConnection,
    Handler,
    Request,
    RequestRejected,
    Response,
    StandinServer,
)
from sesameladder.standins.platform._call import Call
from sesameladder.standins.platform._faults import (
    UNREACHABLE_MODES,
    ActiveFaults,
    Fault,
    FaultMode,
)
from sesameladder.standins.platform._rates import CallCounters, CallKind
from sesameladder.standins.platform._shared_store import SharedStore
from sesameladder.standins.platform._store_api import StoreApi
from sesameladder.standins.platform._vm_list import VmList

HTTP_THREADS = 96

VM_ACTION_PATH = re.compile(r"^/v1/vms/([^/]+)/(drain|reboot)$")


class PlatformStandin:
    """Serves the platform's HTTP API on one address.

    ``/faults``, ``/vms`` and ``/counters`` control the stand-in; they are exempt from
    faults and rate limits.
    """

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
        self.faults = ActiveFaults()
        self.counters = CallCounters(settings, self.clock)
        self.vms = VmList(settings, self.clock, self.faults)
        self.server = StandinServer(settings.address, self.handle, HTTP_THREADS)

    @property
    def address(self) -> str:
        """The ``ip:port`` in use, known once the stand-in has started."""
        return self.server.address

    def start(self) -> None:
        """Bind the address, serve it and start probing the listed VMs."""
        self.server.start()
        self.vms.start()

    def stop(self) -> None:
        """End waiting calls and stop serving."""
        self.set_fault({"mode": FaultMode.DOWN})
        self.vms.stop()
        self.server.stop()

    def set_fault(self, body: dict[str, object]) -> None:
        """Apply a ``POST /faults`` body and wake the calls that wait."""
        self.faults.apply(body)
        self.store.wake_all()

    def handle(self, request: Request) -> Response:
        """Respond to one request."""
        control_handler = self._find_control_handler(request)
        if control_handler is not None:
            return control_handler(request)
        zone = request.get_header("From-Zone") or ""
        call = self._find_call(request, zone)
        return self._execute_call(request, call, zone)

    def _execute_call(self, request: Request, call: Call, zone: str) -> Response:
        if self.faults.get_fault(zone).mode is FaultMode.CUT:
            raise DropConnection
        self.counters.count_call(call.operation, call.kind, zone)
        self._apply_delay(zone)
        self._raise_if_unreachable(zone)
        self.counters.enforce_rate_limit(call.kind)
        response = call.handler(request)
        # A watch also ends when its zone becomes unreachable, which must not look like
        # a timeout.
        if call.operation == "watch":
            self._raise_if_unreachable(zone)
        if self.faults.get_fault(zone).mode is FaultMode.DROP_RESPONSES:
            raise DropConnection
        return response

    def _raise_if_unreachable(self, zone: str) -> None:
        mode = self.faults.get_fault(zone).mode
        if mode is FaultMode.CUT:
            raise DropConnection
        if mode is FaultMode.DOWN:
            raise RequestRejected("the platform is down", 503)

    def _apply_delay(self, zone: str) -> None:
        fault = self.faults.get_fault(zone)
        if fault.mode is FaultMode.SLOW:
            has_changed = partial(self._has_fault_changed, zone, fault)
            self.store.delay(fault.delay_ms / 1000, has_changed)

    def _has_fault_changed(self, zone: str, fault: Fault) -> bool:
        return self.faults.get_fault(zone) != fault

    def _is_unreachable(self, zone: str) -> bool:
        return self.faults.get_fault(zone).mode in UNREACHABLE_MODES

    def _find_call(self, request: Request, zone: str) -> Call:
        call = self.store_api.find_call(request, partial(self._is_unreachable, zone))
        if call is not None:
            return call
        if (request.method, request.path) == ("GET", "/v1/vms"):
            return Call("list_vms", CallKind.READ, self._list_vms)
        match = VM_ACTION_PATH.match(request.path)
        if request.method == "POST" and match:
            run_action = partial(self._run_vm_action, vm=match[1], action=match[2])
            return Call(match[2], CallKind.ACTION, run_action)
        raise RequestRejected("no such call", 404)

    def _find_control_handler(self, request: Request) -> Handler | None:
        routes: dict[tuple[str, str], Handler] = {
            ("POST", "/faults"): self._set_fault,
            ("POST", "/vms"): self._add_vms,
            ("GET", "/counters"): self._get_counters,
        }
        return routes.get((request.method, request.path))

    def _list_vms(self, _request: Request) -> Response:
        return Response.from_json(self.vms.list_rows())

    def _run_vm_action(self, _request: Request, vm: str, action: str) -> Response:
        self.vms.run_action(vm, action)
        return Response(204)

    def _set_fault(self, request: Request) -> Response:
        self.set_fault(request.parse_json_object())
        return Response(204)

    def _add_vms(self, request: Request) -> Response:
        self.vms.add_from_json(request.body)
        return Response(204)

    def _get_counters(self, _request: Request) -> Response:
        gauges = {
            "revision": self.store.store.revision,
            "keys": len(self.store.store.entries),
            "leases": len(self.store.store.leases),
            "waiting_calls": self.store.waiting_calls,
            "vms": len(self.vms.vms),
        }
        return Response.from_json({**self.counters.to_json(), **gauges})
