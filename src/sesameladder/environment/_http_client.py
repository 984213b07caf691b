"""HTTP client of the platform's store, VM list and VM actions."""

from collections.abc import Callable
from urllib.parse import quote

from urllib3 import PoolManager, Retry, Timeout
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from sesameladder.environment._errors import (
    PlatformError,
    StoreCallRejected,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from sesameladder.environment._fleet import VmState, VmStatus
from sesameladder.environment._store import (
    MAX_VALUE_BYTES,
    StoreEntry,
    SwapConflict,
    SwapOutcome,
    Swapped,
)
from sesameladder.response_limits import WholeResponse, bound_manager

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 5.0
REVISION_HEADER = "Store-Revision"


class PlatformClient:
    """Implements ``Store`` and ``Fleet`` over HTTP; threads may share a client."""

    __slots__ = ("base_url", "headers", "http", "on_call_finished")

    def __init__(self, base_url: str, zone: str, http: PoolManager) -> None:
        self.base_url = base_url
        self.headers = {"From-Zone": zone}
        self.http = http
        # Called after each call with the HTTP method and whether the call failed.
        self.on_call_finished: Callable[[str, bool], None] = _ignore_finished_call

    @classmethod
    def from_address(cls, address: str, zone: str) -> "PlatformClient":
        """Return a client of the platform at ``host:port`` that calls from a zone."""
        timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        http = PoolManager(timeout=timeout, retries=Retry(0, redirect=0), maxsize=4)
        return cls(f"http://{address}", zone, bound_manager(http))

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry of a key, or None when it is absent."""
        response = self._call("GET", f"/v1/kv/{quote(key)}")
        if response.status == 404:
            return None
        return _decode_entry(key, response)

    def list_entries(self, prefix: str) -> list[StoreEntry]:
        """Return the entries whose keys start with a prefix, sorted by key."""
        response = self._call("GET", f"/v1/kv?prefix={quote(prefix, safe='')}")
        rows = _decode_rows(response)
        try:
            return [
                StoreEntry(
                    str(row["key"]),
                    bytes.fromhex(str(row["value_hex"])),
                    int(str(row["revision"])),
                )
                for row in rows
            ]
        except (KeyError, ValueError) as error:
            raise StoreUnavailable(
                f"malformed response to a list call: {error}"
            ) from error

    def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease: int | None = None,
    ) -> SwapOutcome:
        """Write a value if the key has the expected revision; 0 expects no key."""
        if len(value) > MAX_VALUE_BYTES:
            raise StoreCallRejected(
                f"value of {key} has {len(value)} bytes, more than {MAX_VALUE_BYTES}"
            )
        path = f"/v1/kv/{quote(key)}?expected={expected_revision}"
        if lease is not None:
            path += f"&lease={lease}"
        return self._decode_swap(key, self._call("PUT", path, value))

    def delete(self, key: str, expected_revision: int) -> SwapOutcome:
        """Delete a key if it has the expected revision."""
        path = f"/v1/kv/{quote(key)}?expected={expected_revision}"
        return self._decode_swap(key, self._call("DELETE", path))

    def grant_lease(self, seconds: float) -> int:
        """Create a lease and return its number; its keys are deleted at its expiry."""
        response = self._call("POST", f"/v1/leases?ttl_ms={int(seconds * 1000)}")
        try:
            return int(response.data)
        except ValueError as error:
            raise StoreOutcomeUnknown(
                f"malformed response to a lease call: {error}"
            ) from error

    def keep_alive(self, lease: int) -> bool:
        """Renew a lease for its duration; returns False if it has expired."""
        response = self._call("POST", f"/v1/leases/{lease}/keepalive")
        return response.status == 200

    def watch(self, key: str, after_revision: int, timeout: float) -> StoreEntry | None:
        """Wait up to ``timeout`` seconds for a write of a key after a revision."""
        path = f"/v1/watch/{quote(key)}?after={after_revision}"
        path += f"&timeout_ms={int(timeout * 1000)}"
        response = self._call("GET", path, read_timeout_s=timeout + READ_TIMEOUT_S)
        if response.status in (204, 404):
            return None
        return _decode_entry(key, response)

    def list_vms(self) -> list[VmStatus]:
        """Return the VM list, which lags behind the state of the VMs."""
        rows = _decode_rows(self._call("GET", "/v1/vms"))
        try:
            return [
                VmStatus(
                    str(row["name"]),
                    str(row["zone"]),
                    VmState(str(row["state"])),
                    float(str(row["changed_at"])),
                )
                for row in rows
            ]
        except (KeyError, ValueError) as error:
            raise PlatformError(f"malformed VM list: {error}") from error

    def drain(self, vm: str) -> None:
        """Ask a VM to accept no new tasks; idempotent."""
        self._post_vm_action(vm, "drain")

    def reboot(self, vm: str) -> None:
        """Reboot a VM; idempotent while the reboot is running."""
        self._post_vm_action(vm, "reboot")

    def _post_vm_action(self, vm: str, action: str) -> None:
        response = self._call("POST", f"/v1/vms/{quote(vm)}/{action}")
        if response.status >= 300:
            raise PlatformError(
                f"{action} of VM {vm}: the platform answered {response.status}"
            )

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> WholeResponse:
        timeout = Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)
        try:
            response = WholeResponse.from_stream(
                self.http.request(
                    method,
                    self.base_url + path,
                    body=body,
                    headers=self.headers,
                    timeout=timeout,
                    preload_content=False,
                )
            )
        except HTTPError as error:
            self.on_call_finished(method, True)
            raise _translate_error(error) from error
        self.on_call_finished(method, response.status >= 500)
        if response.status == 503:
            raise StoreUnavailable("the platform answered 503")
        if response.status in (400, 413):
            raise StoreCallRejected(response.data.decode("utf-8", "replace"))
        if response.status >= 500:
            raise StoreOutcomeUnknown(f"the platform answered {response.status}")
        return response

    def _decode_swap(self, key: str, response: WholeResponse) -> SwapOutcome:
        if response.status == 409:
            if REVISION_HEADER not in response.headers:
                return SwapConflict(None)
            return SwapConflict(_decode_entry(key, response))
        try:
            return Swapped(int(response.headers[REVISION_HEADER]))
        except (KeyError, ValueError) as error:
            raise StoreOutcomeUnknown(
                f"malformed response to a write: {error}"
            ) from error


def _ignore_finished_call(_method: str, _failed: bool) -> None:
    """Do nothing; default of ``on_call_finished``."""


def _translate_error(error: HTTPError) -> PlatformError:
    cause = getattr(error, "reason", error)
    if isinstance(cause, NewConnectionError | ConnectTimeoutError):
        return StoreUnavailable(str(error))
    return StoreOutcomeUnknown(str(error))


def _decode_entry(key: str, response: WholeResponse) -> StoreEntry:
    try:
        revision = int(response.headers[REVISION_HEADER])
    except (KeyError, ValueError) as error:
        raise StoreUnavailable(f"malformed response for key {key}: {error}") from error
    return StoreEntry(key, response.data, revision)


def _decode_rows(response: WholeResponse) -> list[dict[str, object]]:
    try:
        rows = response.json()
    except ValueError as error:
        raise StoreUnavailable(f"the response is not JSON: {error}") from error
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise StoreUnavailable("malformed response: expected a list of objects")
    return rows
