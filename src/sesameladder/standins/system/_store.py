"""Key-value store with transactions, leases, watches and injected faults."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from threading import Condition
from typing import Any

MAX_PAGE_ITEMS = 500  # documented page size of the users' platform
MAX_TRANSACTION_ENTRIES = 32  # documented limit of the users' platform

Response = tuple[int, dict[str, Any]]


@dataclass(slots=True)
class Item:
    """A key's value, with the revisions of its last write and of its creation.

    Lease 0 means no lease.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class KeyValueStore:
    """Executes the store's HTTP calls; thread-safe.

    A response is a status and a JSON body.
    """

    now_s: Callable[[], float]
    items: dict[str, Item] = field(default_factory=dict)
    revision: int = 1
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    """Expiry time and duration in seconds, by lease."""

    history: list[dict[str, Any]] = field(default_factory=list)
    compacted_revision: int = 0
    """Revision up to which the history is discarded."""

    is_down: bool = False
    leases_suspended_at: float | None = None
    """Time since which leases don't run; None if they run."""

    responses_to_drop: int = 0
    """Number of further transactions that are executed but get status 502."""

    renewal_responses_to_drop: int = 0
    """Number of further renewals of leases that are executed but get status 502."""

    transactions_to_delay: int = 0
    """Number of further transactions that get status 502 and are executed late."""

    delayed_transactions: list[dict[str, Any]] = field(default_factory=list)
    """Bodies of the transactions that ``execute_delayed`` executes."""

    calls: int = 0
    changed: Condition = field(default_factory=Condition)

    def get(self, key: str) -> Response:
        """Respond to ``kv-key``: one item."""
        with self.changed:
            self._expire_leases()
            item = self.items.get(key)
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, {**_encode_item(item), "asOf": self.revision}

    def list_range(self, prefix: str, after: str = "") -> Response:
        """Respond to ``kv-range``: a page of items whose keys have a prefix."""
        with self.changed:
            self._expire_leases()
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [_encode_item(self.items[key]) for key in keys[:MAX_PAGE_ITEMS]]
            has_more = len(keys) > MAX_PAGE_ITEMS
            return 200, {"items": page, "morePages": has_more, "asOf": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> Response:
        """Respond to ``kv-watch``: events after a revision.

        Waits for the first such event. The status is 410 if the history after the
        revision is no longer complete.
        """
        with self.changed:
            self._expire_leases()
            if after < self.compacted_revision:
                return 410, {}
            self.changed.wait_for(
                lambda: bool(self._list_events(prefix, after)), wait_s
            )
            if after < self.compacted_revision:
                return 410, {}
            events = self._list_events(prefix, after)
            return 200, {"events": events, "asOf": self.revision}

    def commit(self, body: dict[str, Any]) -> Response:
        """Respond to ``kv-txn``: writes and removals if all preconditions hold.

        The status is 412 if a precondition fails, 404 if a lease does not exist and
        400 if there are more than ``MAX_TRANSACTION_ENTRIES`` entries.
        """
        preconditions = body.get("precondition") or []
        puts = body.get("puts") or []
        removals = body.get("remove") or []
        if len(preconditions) + len(puts) + len(removals) > MAX_TRANSACTION_ENTRIES:
            return 400, {}
        with self.changed:
            self._expire_leases()
            for precondition in preconditions:
                item = self.items.get(precondition["key"])
                if (item.revision if item else 0) != precondition["rev"]:
                    return 412, {"items": self._encode_existing_items(preconditions)}
            if any(
                put.get("lease") and put["lease"] not in self.leases for put in puts
            ):
                return 404, {}
            for put in puts:
                self.put(put["key"], b64decode(put["value"]), put.get("lease") or 0)
            for key in removals:
                self._remove(key)
            self.changed.notify_all()
            return 200, {"rev": self.revision}

    def execute_delayed(self) -> None:
        """Execute the delayed transactions, each if its preconditions hold by now."""
        delayed, self.delayed_transactions = self.delayed_transactions, []
        for body in delayed:
            self.commit(body)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write one key without a precondition."""
        with self.changed:
            self.revision += 1
            existing = self.items.get(key)
            created = existing.created if existing else self.revision
            item = Item(key, value, self.revision, created, lease)
            self.items[key] = item
            self.history.append(_encode_item(item))
            self.changed.notify_all()

    def grant_lease(self, ttl_ms: int) -> Response:
        """Respond to ``kv-lease``: create a lease, numbered by the revision."""
        with self.changed:
            self.revision += 1
            self.leases[self.revision] = self.now_s() + ttl_ms / 1000, ttl_ms / 1000
            return 200, {"lease": self.revision, "ttlMs": ttl_ms}

    def renew_lease(self, lease: int) -> Response:
        """Respond to ``kv-keep``: renew a lease; status 404 if it does not exist."""
        with self.changed:
            self._expire_leases()
            if lease not in self.leases:
                return 404, {}
            duration_s = self.leases[lease][1]
            self.leases[lease] = self.now_s() + duration_s, duration_s
            return 200, {"ttlMs": int(duration_s * 1000)}

    def end_lease(self, lease: int) -> Response:
        """Respond to ``kv-lease-end``: delete a lease and its keys."""
        with self.changed:
            if self.leases.pop(lease, None) is None:
                return 404, {}
            self._remove_items_without_lease()
            return 200, {}

    def suspend_leases(self) -> None:
        """Let no lease expire, as the platform's store may do while it is down."""
        with self.changed:
            self._expire_leases()
            if self.leases_suspended_at is None:
                self.leases_suspended_at = self.now_s()

    def resume_leases(self) -> None:
        """Let leases run again; each has as much time left as when it was suspended."""
        with self.changed:
            if self.leases_suspended_at is None:
                return
            pause_s = self.now_s() - self.leases_suspended_at
            self.leases_suspended_at = None
            for lease, (expires_at, duration_s) in self.leases.items():
                self.leases[lease] = expires_at + pause_s, duration_s

    def compact(self) -> None:
        """Discard the history, so that watches from earlier revisions get 410."""
        with self.changed:
            self.history.clear()
            self.compacted_revision = self.revision
            self.changed.notify_all()

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event["rev"] > after and event["key"].startswith(prefix)
        ]

    def _encode_existing_items(
        self, preconditions: list[dict[str, Any]]
    ) -> list[dict[str, Any]]:
        found = (self.items.get(precondition["key"]) for precondition in preconditions)
        return [_encode_item(item) for item in found if item is not None]

    def _expire_leases(self) -> None:
        if self.leases_suspended_at is not None:
            return
        now = self.now_s()
        expired = [
            lease for lease, (expires_at, _) in self.leases.items() if expires_at <= now
        ]
        for lease in expired:
            del self.leases[lease]
        if expired:
            self._remove_items_without_lease()

    def _remove_items_without_lease(self) -> None:
        for key, item in list(self.items.items()):
            if item.lease and item.lease not in self.leases:
                self._remove(key)
        self.changed.notify_all()

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "rev": self.revision, "removed": True}
            self.history.append(event)


def _encode_item(item: Item) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": b64encode(item.value).decode(),
        "rev": item.revision,
        "created": item.created,
        "lease": item.lease,
    }
