"""HTTP calls of the store for keys, leases and watches."""

import re
from functools import partial

from sesameladder.environment import (
    MAX_VALUE_BYTES,
    StoreCallRejected,
    StoreEntry,
    SwapConflict,
    SwapOutcome,
)
from sesameladder.standins._http import Request, RequestRejected, Response
from sesameladder.standins.platform._call import Call
from sesameladder.standins.platform._rates import CallKind
from sesameladder.standins.platform._shared_store import IsInterrupted, SharedStore

MAX_KEY_BYTES = 1_024
MAX_REVISION = 2**53
MAX_WATCH_MS = 600_000
MAX_TTL_MS = 100 * 3_600_000
REVISION_HEADER = "Store-Revision"

KEY_PREFIX = "/v1/kv/"
WATCH_PREFIX = "/v1/watch/"
LEASE_PATH = re.compile(r"^/v1/leases/(\d{1,15})/keepalive$", re.ASCII)


class StoreApi:
    """Routes and executes the calls of the store."""

    __slots__ = ("store",)

    def __init__(self, store: SharedStore) -> None:
        self.store = store

    def find_call(self, request: Request, is_interrupted: IsInterrupted) -> Call | None:
        """Return the call that a request makes, or None when it is no store call."""
        method, path = request.method, request.path
        if path.startswith(KEY_PREFIX):
            return self._find_key_call(method)
        if (method, path) == ("GET", "/v1/kv"):
            return Call("list", CallKind.READ, self._list_entries)
        if method == "GET" and path.startswith(WATCH_PREFIX):
            watch = partial(self._watch, is_interrupted=is_interrupted)
            return Call("watch", CallKind.READ, watch)
        if (method, path) == ("POST", "/v1/leases"):
            return Call("grant_lease", CallKind.WRITE, self._grant_lease)
        match = LEASE_PATH.match(path)
        if method == "POST" and match:
            keep_alive = partial(self._keep_alive, lease=int(match[1]))
            return Call("keep_alive", CallKind.WRITE, keep_alive)
        return None

    def _find_key_call(self, method: str) -> Call | None:
        calls = {
            "GET": Call("get", CallKind.READ, self._get),
            "PUT": Call("compare_and_swap", CallKind.WRITE, self._compare_and_swap),
            "DELETE": Call("delete", CallKind.WRITE, self._delete),
        }
        return calls.get(method)

    def _get(self, request: Request) -> Response:
        key = _read_key(request, KEY_PREFIX)
        return _encode_entry(200, self.store.call(lambda store: store.get(key)))

    def _list_entries(self, request: Request) -> Response:
        prefix = request.query.get("prefix", "")
        entries = self.store.call(lambda store: store.list_entries(prefix))
        return Response.from_json([_encode_list_row(entry) for entry in entries])

    def _compare_and_swap(self, request: Request) -> Response:
        key = _read_key(request, KEY_PREFIX)
        value = request.body
        expected = request.get_int_parameter("expected", None, 0, MAX_REVISION)
        lease = request.get_int_parameter("lease", 0, 0, MAX_REVISION) or None
        if len(value) > MAX_VALUE_BYTES:
            raise RequestRejected(f"value of {key} has {len(value)} bytes", 413)
        try:
            outcome = self.store.call(
                lambda store: store.compare_and_swap(key, expected, value, lease)
            )
        except StoreCallRejected as error:
            raise RequestRejected(str(error)) from error
        return _encode_outcome(outcome)

    def _delete(self, request: Request) -> Response:
        key = _read_key(request, KEY_PREFIX)
        expected = request.get_int_parameter("expected", None, 0, MAX_REVISION)
        outcome = self.store.call(lambda store: store.delete(key, expected))
        return _encode_outcome(outcome)

    def _watch(self, request: Request, is_interrupted: IsInterrupted) -> Response:
        key = _read_key(request, WATCH_PREFIX)
        after = request.get_int_parameter("after", 0, 0, MAX_REVISION)
        timeout_ms = request.get_int_parameter("timeout_ms", 0, 0, MAX_WATCH_MS)
        entry = self.store.watch(key, after, timeout_ms / 1000, is_interrupted)
        return _encode_entry(200, entry) if entry else Response(204)

    def _grant_lease(self, request: Request) -> Response:
        ttl_ms = request.get_int_parameter("ttl_ms", None, 1, MAX_TTL_MS)
        lease = self.store.call(lambda store: store.grant_lease(ttl_ms / 1000))
        return Response(200, str(lease).encode())

    def _keep_alive(self, _request: Request, lease: int) -> Response:
        is_alive = self.store.call(lambda store: store.keep_alive(lease))
        return Response(200 if is_alive else 404)


def _read_key(request: Request, prefix: str) -> str:
    key = request.path.removeprefix(prefix)
    if not 0 < len(key.encode()) <= MAX_KEY_BYTES:
        raise RequestRejected(f"the key does not have 1 to {MAX_KEY_BYTES} bytes")
    return key


def _encode_list_row(entry: StoreEntry) -> dict[str, object]:
    return {
        "key": entry.key,
        "value_hex": entry.value.hex(),
        "revision": entry.revision,
    }


def _encode_entry(status: int, entry: StoreEntry | None) -> Response:
    if entry is None:
        return Response(404)
    return Response(status, entry.value, {REVISION_HEADER: str(entry.revision)})


def _encode_outcome(outcome: SwapOutcome) -> Response:
    if not isinstance(outcome, SwapConflict):
        return Response(200, b"", {REVISION_HEADER: str(outcome.revision)})
    if outcome.current is None:
        return Response(409)
    return _encode_entry(409, outcome.current)
