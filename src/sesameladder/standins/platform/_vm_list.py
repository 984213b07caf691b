"""Lagging VM list with the states that probes find, and the VM actions."""

import threading
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException

from pydantic import TypeAdapter, ValidationError
from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import HTTPError

from sesameladder.environment import VmState
from sesameladder.settings import PlatformStandinSettings, VmRow
from sesameladder.standins._clock import Clock
from sesameladder.standins._http import RequestRejected
from sesameladder.standins.platform._faults import UNREACHABLE_MODES, ActiveFaults

PROBE_TIMEOUT_S = 1.0
CLOSE_HEADERS = {"Connection": "close"}
MAX_HISTORY_CHANGES = 64
PROBE_THREADS = 8

VM_ROWS: TypeAdapter[list[VmRow]] = TypeAdapter(list[VmRow])


@dataclass(slots=True)
class ListedVm:
    """A VM and the recent changes of its state."""

    row: VmRow
    """Registered name, zone, address and kind."""

    history: deque[tuple[float, float, VmState]] = field(
        default_factory=lambda: deque(maxlen=MAX_HISTORY_CHANGES)
    )
    """Clock time and Unix time in seconds and state of each change, oldest first."""

    has_responded: bool = False
    """Whether the VM has responded to a probe since it was registered."""

    def record_state(self, now: float, unix_time: float, state: VmState) -> None:
        """Record the state that a probe found.

        A VM whose process has not started yet counts as live, so a refused
        connection is ignored until the VM has responded to a probe.
        """
        if state is VmState.GONE and not self.has_responded:
            return
        self.has_responded = True
        if not self.history or self.history[-1][2] is not state:
            self.history.append((now, unix_time, state))

    def get_change_at(self, at: float) -> tuple[float, VmState]:
        """Return the last change up to a clock time, as Unix time and state.

        If there is none, returns the oldest change that is kept.
        """
        latest = self.history[0]
        for change in self.history:
            if change[0] <= at:
                latest = change
        return latest[1], latest[2]


class VmList:
    """Probes the registered VMs and lists their states with the configured lag."""

    __slots__ = (
        "clock",
        "executor",
        "faults",
        "http",
        "lock",
        "probe_lock",
        "settings",
        "stopped",
        "thread",
        "vms",
    )

    def __init__(
        self, settings: PlatformStandinSettings, clock: Clock, faults: ActiveFaults
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.faults = faults
        self.lock = threading.Lock()
        self.probe_lock = threading.Lock()
        self.vms: dict[str, ListedVm] = {}
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._probe_until_stopped, daemon=True)
        self.executor = ThreadPoolExecutor(PROBE_THREADS)
        timeout = Timeout(connect=PROBE_TIMEOUT_S, read=PROBE_TIMEOUT_S)
        self.http = PoolManager(timeout=timeout, retries=Retry(0))
        self.add(settings.vms)

    def start(self) -> None:
        """Start the probe thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the probe thread and wait for its end."""
        self.stopped.set()
        self.thread.join()
        self.executor.shutdown()

    def add(self, rows: tuple[VmRow, ...] | list[VmRow]) -> None:
        """Register VMs as live; a VM of the same name is replaced."""
        with self.lock:
            for row in rows:
                vm = ListedVm(row)
                initial_change = (
                    self.clock.now(),
                    self.clock.unix_time(),
                    VmState.LIVE,
                )
                vm.history.append(initial_change)
                self.vms[row.name] = vm

    def add_from_json(self, body: bytes) -> None:
        """Register the VMs of a ``POST /vms`` body, a JSON list of rows.

        Raises ``RequestRejected`` when the body is invalid.
        """
        try:
            rows = VM_ROWS.validate_json(body, strict=True)
        except ValidationError as error:
            raise RequestRejected(str(error)) from error
        self.add(rows)

    def list_rows(self) -> list[dict[str, object]]:
        """Return the list of ``vm_list_lag_ms`` ago, as JSON rows sorted by name."""
        at = self.clock.now() - self.settings.vm_list_lag_ms / 1000
        with self.lock:
            vms = sorted(self.vms.values(), key=lambda vm: vm.row.name)
            return [_encode_vm(vm, at) for vm in vms]

    def run_action(self, name: str, action: str) -> None:
        """Forward a drain or reboot to the VM.

        Raises ``RequestRejected`` if the VM is unknown, runs an entry instance or
        can't be reached.
        """
        with self.lock:
            vm = self.vms.get(name)
        if vm is None:
            raise RequestRejected(f"no such VM: {name[:200]}", 404)
        if vm.row.kind == "entry":
            raise RequestRejected(f"VM {name} is an entry VM")
        if not self._is_reachable(vm):
            raise RequestRejected(f"VM {name} is in a zone that is cut off", 502)
        try:
            self.http.request(
                "POST", f"http://{vm.row.address}/-/{action}", headers=CLOSE_HEADERS
            )
        except HTTPError as error:
            raise RequestRejected(f"VM {name} did not answer: {error}", 502) from error

    def probe_all(self) -> None:
        """Probe every VM once, except in zones that are down or cut off."""
        with self.probe_lock:
            with self.lock:
                vms = [vm for vm in self.vms.values() if self._is_reachable(vm)]
            states = list(self.executor.map(self._probe, [vm.row for vm in vms]))
            self._record_states(vms, states)

    def _record_states(self, vms: list[ListedVm], states: list[VmState | None]) -> None:
        now, unix_time = self.clock.now(), self.clock.unix_time()
        with self.lock:
            for vm, state in zip(vms, states, strict=True):
                if state is not None:
                    vm.record_state(now, unix_time, state)

    def _is_reachable(self, vm: ListedVm) -> bool:
        return self.faults.get_fault(vm.row.zone).mode not in UNREACHABLE_MODES

    def _probe_until_stopped(self) -> None:
        while not self.stopped.wait(self.settings.probe_interval_ms / 1000):
            self.probe_all()

    def _probe(self, row: VmRow) -> VmState | None:
        """Probe a VM and return its state.

        Returns None if the probe fails for another reason than a refused connection,
        because a paused process accepts connections but does not respond.
        """
        connection = HTTPConnection(row.address, timeout=PROBE_TIMEOUT_S)
        try:
            connection.request("GET", "/-/health", headers=CLOSE_HEADERS)
            is_healthy = connection.getresponse().status == 200
        except ConnectionRefusedError:
            return VmState.GONE
        except (OSError, HTTPException):
            return None
        finally:
            connection.close()
        return VmState.LIVE if is_healthy else VmState.LEAVING


def _encode_vm(vm: ListedVm, at: float) -> dict[str, object]:
    changed_at, state = vm.get_change_at(at)
    return {
        "name": vm.row.name,
        "zone": vm.row.zone,
        "state": state.value,
        "changed_at": changed_at,
    }
