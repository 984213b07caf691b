"""Client of the platform's VM API: the VM list, moves and maintenance."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import urlencode

from sesameladder.fleet import Vm, VmPhase
from sesameladder.platform._errors import (
    CallRejected,
    FieldInvalid,
    OutcomeUnknown,
    RecordInvalid,
    decoding_record,
    decoding_response,
)
from sesameladder.platform._fields import (
    check_name,
    check_object,
    read_labels,
    read_list,
    read_name,
    read_text,
    show,
)
from sesameladder.platform._http import HttpClient
from sesameladder.platform._limits import MAX_ROWS
from sesameladder.platform._service_http import ServiceHttp
from sesameladder.platform._workers import decode_resources
from sesameladder.service_calls import VM_LIST, VM_ORDER

PHASES_BY_STATE = {
    "up": VmPhase.UP,
    "moving": VmPhase.MOVING,
    "upkeep": VmPhase.IN_MAINTENANCE,
    "down": VmPhase.DOWN,
}


class OrderOutcome(StrEnum):
    """Outcome of a move or maintenance order."""

    DONE = "done"
    FENCED = "fenced"
    BUSY = "busy"
    WRONG_WAVE = "wrong_wave"
    INVALID = "invalid"


@dataclass(slots=True)
class VmList:
    """One reading of the platform's VM list."""

    vms: list[Vm] = field(default_factory=list)
    unreadable: dict[str, str] = field(default_factory=dict)
    """Why a row can't be read, by name of the VM."""

    unnamed: list[str] = field(default_factory=list)
    """Why rows can't be read that don't even name their VM."""

    def add(self, row: object) -> None:
        """Add a row of the list, or the reason why it can't be read."""
        try:
            self.vms.append(_decode_vm(row))
        except RecordInvalid as error:
            name = _find_vm_name(row)
            if name is None:
                self.unnamed.append(str(error))
            else:
                self.unreadable[name] = str(error)


class VmClient:
    """Lists VMs and orders moves and maintenance.

    The platform accepts orders of one holder of the fleet role at a time; each order
    names the holder and its fencing token.
    """

    __slots__ = ("http",)

    def __init__(self, address: str) -> None:
        self.http = ServiceHttp(HttpClient(address, VM_ORDER.timeout_s))

    def list_vms(self) -> VmList:
        """Return the VMs of all pools, page by page; raises ``PlatformCallError``."""
        vm_list = VmList()
        page_token = ""
        while True:
            query = f"?{urlencode({'pageToken': page_token})}" if page_token else ""
            response = self.http.call(VM_LIST, "GET", f"/v1/machines{query}")
            if response.status != 200:
                raise CallRejected(
                    f"the VM list returned HTTP status {response.status}"
                )
            with decoding_response("the VM list"):
                for row in read_list(response.body, "machines", MAX_ROWS):
                    vm_list.add(row)
            page_token = str(response.body.get("nextToken") or "")
            if not page_token:
                return vm_list

    def move(self, vm: str, pool: str, holder: str, fence: int) -> OrderOutcome:
        """Order a VM's move to a pool, which terminates what it runs."""
        body = {"machine": vm, "pool": pool}
        return self._send_order("/v1/machine-move", body, holder, fence)

    def start_maintenance(
        self, vm: str, wave: int, holder: str, fence: int
    ) -> OrderOutcome:
        """Order a VM's maintenance, which terminates what it runs."""
        body = {"machine": vm, "wave": wave}
        return self._send_order("/v1/machine-upkeep", body, holder, fence)

    def _send_order(
        self, path: str, body: dict[str, Any], holder: str, fence: int
    ) -> OrderOutcome:
        headers = {
            "X-Sesameladder-Duty-Holder": holder,
            "X-Sesameladder-Fence-Token": str(fence),
        }
        response = self.http.call(VM_ORDER, "POST", path, body, headers)
        if response.status == 200:
            return OrderOutcome.DONE
        if response.status == 409:
            reasons = {
                "fence": OrderOutcome.FENCED,
                "busy": OrderOutcome.BUSY,
                "wave": OrderOutcome.WRONG_WAVE,
            }
            return reasons.get(str(response.body.get("reason")), OrderOutcome.INVALID)
        if response.status == 400:
            return OrderOutcome.INVALID
        if response.status in (429, 503):
            raise CallRejected(
                f"the platform returned HTTP status {response.status} for {path}"
            )
        raise OutcomeUnknown(
            f"the platform returned HTTP status {response.status} for {path}"
        )


def _decode_vm(value: object) -> Vm:
    with decoding_record("VM row"):
        row = check_object("the row", value)
        phase = PHASES_BY_STATE.get(read_name(row, "state"))
        if phase is None:
            raise FieldInvalid(f"state is {show(row['state'])}, which is unknown")
        return Vm(
            name=read_name(row, "machine"),
            pool=read_name(row, "pool"),
            phase=phase,
            zone=read_text(row, "zone"),
            labels=read_labels(row),
            capacity=decode_resources(
                check_object("capacity", row.get("capacity") or {})
            ),
            worker=read_text(row, "id"),
        )


def _find_vm_name(row: object) -> str | None:
    try:
        return check_name("machine", row["machine"])  # type: ignore[index]
    except (FieldInvalid, LookupError, TypeError):
        return None
