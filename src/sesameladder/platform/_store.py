"""Client of the platform's key-value store."""

from base64 import b64decode, b64encode
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from time import CLOCK_BOOTTIME, clock_gettime
from typing import Any
from urllib.parse import urlencode

from sesameladder.platform._errors import (
    MALFORMED,
    CallRejected,
    LeaseNotFound,
    NoTimeLeft,
    OutcomeUnknown,
    RateExceeded,
    RevisionExpired,
    UnexpectedResponse,
    decoding_response,
)
from sesameladder.platform._http import HttpClient, HttpResponse
from sesameladder.platform._service_http import ServiceHttp
from sesameladder.service_calls import (
    LEASE_END,
    LEASE_GRANT,
    LEASE_RENEWAL,
    PAGE_READ,
    READ,
    TRANSACTION,
    WATCH,
    CallRules,
)

MAX_TRANSACTION_ENTRIES = 32  # published limit of preconditions, puts and removals


@dataclass(frozen=True, slots=True)
class StoredItem:
    """One key of the store with its value."""

    key: str
    value: bytes
    revision: int
    """Revision of the last change; 0 if the key doesn't exist."""

    lease: int = 0
    """Lease with which the key expires; 0 for none."""


@dataclass(frozen=True, slots=True)
class RangeResult:
    """All items under a prefix, or one page of them."""

    items: tuple[StoredItem, ...]
    revision: int
    """Revision of the store when the first page was read."""

    has_more: bool = False
    """Whether further pages follow."""


@dataclass(frozen=True, slots=True)
class StoreChange:
    """One change that a watch returns; the value is None for a removed key."""

    key: str
    value: bytes | None
    revision: int
    lease: int = 0
    """Lease with which the key expires; 0 for none."""


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes after a revision, and the revision from which to watch next."""

    changes: tuple[StoreChange, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write in a transaction; lease 0 means none."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was committed at a revision of the store."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A precondition did not hold; nothing was written."""

    items: tuple[StoredItem, ...]
    """Current items of the preconditions' keys, without keys that don't exist."""


class StoreClient:
    """Calls the key-value store; thread-safe."""

    __slots__ = ("http", "last_served_call_at", "limit_timeout")

    def __init__(self, http: HttpClient) -> None:
        self.http = ServiceHttp(http)
        self.limit_timeout: Callable[[float], float] = lambda timeout_s: timeout_s
        """Returns the timeout, in seconds, of a call that usually has the given one.

        If it is 0, the call is not made and raises ``NoTimeLeft``. Watches are not
        limited.
        """

        self.last_served_call_at = 0.0
        """Time at which the latest call that the store served was sent.

        In seconds of ``CLOCK_BOOTTIME``; 0 before the first such call.
        """

    @classmethod
    def from_address(cls, address: str) -> "StoreClient":
        """Return a client for the store at ``host:port``."""
        return cls(HttpClient(address))

    def read(self, key: str) -> StoredItem | None:
        """Return the item of a key, or None if the key doesn't exist."""
        query = urlencode({"key": key})
        response = self._call(READ, "GET", f"/v1/kv-key?{query}")
        if response.status == 404:
            return None
        with decoding_response("the store"):
            return _decode_item(response.body)

    def read_range(self, prefix: str) -> RangeResult:
        """Return all items under a prefix.

        The pages are read one after the other, so the result is not a snapshot.
        """
        items: list[StoredItem] = []
        revision = 0
        for page in self.read_pages(prefix):
            items.extend(page.items)
            revision = page.revision
        return RangeResult(tuple(items), revision)

    def read_pages(self, prefix: str) -> Iterator[RangeResult]:
        """Yield the items under a prefix page by page, each read when asked for.

        All pages have the revision of the first one: later changes may be in the
        pages that follow, and a watch from that revision returns them all.
        """
        revision: int | None = None
        after = ""
        while True:
            fields = {"prefix": prefix} | ({"after": after} if after else {})
            path = f"/v1/kv-range?{urlencode(fields)}"
            response = self._call(PAGE_READ, "GET", path)
            with decoding_response("the store"):
                page = [_decode_item(row) for row in response.body.get("items") or ()]
                if revision is None:
                    revision = int(response.body["asOf"])
            has_more = bool(response.body.get("morePages")) and bool(page)
            yield RangeResult(tuple(page), revision, has_more)
            if not has_more:
                return
            after = page[-1].key

    def watch(self, prefix: str, after: int, wait_ms: int) -> WatchBatch:
        """Return the changes under a prefix after revision ``after``.

        Waits up to ``wait_ms`` for one, then returns an empty batch. Raises
        ``RevisionExpired`` if the store no longer keeps these changes.
        """
        fields = {"prefix": prefix, "after": after, "waitMs": wait_ms}
        timeout_s = wait_ms / 1000 + WATCH.timeout_s
        path = f"/v1/kv-watch?{urlencode(fields)}"
        response = self._send(WATCH, "GET", path, None, timeout_s)
        if response.status == 410:
            raise RevisionExpired(f"no changes of {prefix} after revision {after}")
        with decoding_response("the store"):
            changes = tuple(map(_decode_change, response.body.get("events") or ()))
            return WatchBatch(changes, int(response.body["asOf"]))

    def commit(
        self,
        puts: tuple[Put, ...] = (),
        removals: tuple[str, ...] = (),
        preconditions: tuple[tuple[str, int], ...] = (),
    ) -> Committed | Conflict:
        """Commit a transaction: all writes take effect or none does.

        A precondition is a key and the revision that it must have; 0 means that the
        key must not exist. Raises ``LeaseNotFound`` if a lease of the puts does not
        exist, and ``OutcomeUnknown`` if the response does not name the revision.
        """
        body: dict[str, Any] = {}
        if preconditions:
            rows = [{"key": key, "rev": revision} for key, revision in preconditions]
            body["precondition"] = rows
        if puts:
            body["puts"] = [_encode_put(put) for put in puts]
        if removals:
            body["remove"] = list(removals)
        response = self._call(TRANSACTION, "POST", "/v1/kv-txn", body)
        if response.status == 412:
            try:
                items = [_decode_item(row) for row in response.body.get("items") or ()]
            except MALFORMED as error:
                raise OutcomeUnknown(f"a malformed conflict: {error!r}") from error
            return Conflict(tuple(item for item in items if item.revision))
        if response.status == 404:
            raise LeaseNotFound("a lease of the transaction does not exist")
        try:
            return Committed(int(response.body["rev"]))
        except MALFORMED as error:
            raise OutcomeUnknown(f"no revision of a commit: {error!r}") from error

    def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its number."""
        response = self._call(LEASE_GRANT, "POST", "/v1/kv-lease", {"ttlMs": ttl_ms})
        with decoding_response("the store"):
            return int(response.body["lease"])

    def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises ``LeaseNotFound`` if it has ended."""
        path = f"/v1/kv-keep/{lease}"
        if self._call(LEASE_RENEWAL, "POST", path, {}).status == 404:
            raise LeaseNotFound(f"lease {lease} has ended")

    def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        self._call(LEASE_END, "DELETE", f"/v1/kv-lease-end/{lease}")

    def _call(
        self,
        rules: CallRules,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> HttpResponse:
        limited_s = self.limit_timeout(rules.timeout_s)
        if limited_s <= 0:
            raise NoTimeLeft(f"the process ends before a response to {path}")
        return self._send(rules, method, path, body, limited_s)

    def _send(
        self,
        rules: CallRules,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        timeout_s: float,
    ) -> HttpResponse:
        sent_at = clock_gettime(CLOCK_BOOTTIME)
        response = self.http.call(rules, method, path, body, timeout_s=timeout_s)
        if response.status == 429:
            raise RateExceeded(f"the store answered 429 to {path}")
        if response.status == 503:
            raise CallRejected(f"the store answered {response.status} to {path}")
        if response.status in (200, 404, 410, 412):
            self.last_served_call_at = max(self.last_served_call_at, sent_at)
            return response
        if response.status in (400, 403):
            raise UnexpectedResponse(f"the store answered {response.status} to {path}")
        raise OutcomeUnknown(f"the store answered {response.status} to {path}")


def _encode_put(put: Put) -> dict[str, Any]:
    row: dict[str, Any] = {"key": put.key, "value": b64encode(put.value).decode()}
    if put.lease:
        row["lease"] = put.lease
    return row


def _decode_item(row: dict[str, Any]) -> StoredItem:
    return StoredItem(
        str(row["key"]),
        b64decode(row.get("value") or ""),
        int(row.get("rev") or 0),
        int(row.get("lease") or 0),
    )


def _decode_change(row: dict[str, Any]) -> StoreChange:
    value = None if row.get("removed") else b64decode(row.get("value") or "")
    return StoreChange(
        str(row["key"]), value, int(row["rev"]), int(row.get("lease") or 0)
    )
