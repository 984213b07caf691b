"""Follows the records of a pool that its owner watches."""

from collections.abc import Callable
from threading import Event

from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import inbox_prefix
from sesameladder.node._roles import HeldRole
from sesameladder.node._supervision import build_thread
from sesameladder.platform import PlatformCallError, RevisionExpired, StoreClient

WATCH_WAIT_MS = 1000
RETRY_PAUSE_S = 0.15
INBOX_THREAD = "inbox"

Change = tuple[str, bytes | None, int]
"""Key, value and store revision; the value is None for a removed key."""


class InboxChanges:
    """Changes of the records that the owner watches."""

    __slots__ = ("applied", "changes")

    def __init__(
        self, changes: tuple[Change, ...], applied: Event | None = None
    ) -> None:
        self.changes = changes
        self.applied = applied
        """Set once the changes are applied, if somebody waits for that."""


class InboxWatch:
    """Thread that passes the changes of a pool's records on.

    If the store has discarded the history, all records are read again, page by page.
    The next page is read when the one before it is applied, so that a store with more
    jobs than fit into memory is never held whole.
    """

    __slots__ = (
        "dependency",
        "pool",
        "post",
        "revision",
        "role",
        "stopping",
        "store",
        "thread",
    )

    def __init__(
        self,
        pool: str,
        role: HeldRole,
        store: StoreClient,
        post: Callable[[InboxChanges], None],
        stopping: Event,
    ) -> None:
        self.pool = pool
        self.role = role
        self.store = store
        self.post = post
        self.stopping = stopping
        self.dependency = DependencyState(f"store:inbox {pool}")
        self.revision: int | None = None
        """Store revision after which to watch the records; None to read them anew."""

        self.thread = build_thread(f"inbox {pool}", self._run, stopping)

    def _run(self) -> None:
        revision, self.revision = self.revision, None
        prefix = inbox_prefix(self.pool)
        while not self.stopping.is_set():
            try:
                if revision is None:
                    revision = self._read_all(prefix)
                    changes: tuple[Change, ...] = ()
                else:
                    batch = self.store.watch(prefix, revision, WATCH_WAIT_MS)
                    changes = tuple((c.key, c.value, c.revision) for c in batch.changes)
                    revision = batch.revision
            except RevisionExpired:
                revision = None
                continue
            except PlatformCallError as error:
                self.dependency.record_failure(error)
                self.role.record_pass(INBOX_THREAD)
                revision = None
                self.stopping.wait(RETRY_PAUSE_S)
                continue
            self.dependency.record_success()
            self.role.record_pass(INBOX_THREAD)
            if changes:
                self.post(InboxChanges(changes))

    def _read_all(self, prefix: str) -> int | None:
        """Pass all records on; returns the revision after which to watch them."""
        revision: int | None = None
        for page in self.store.read_pages(prefix):
            revision = page.revision
            if not page.items:
                break
            applied = Event()
            changes = tuple((i.key, i.value, i.revision) for i in page.items)
            self.post(InboxChanges(changes, applied))
            while not applied.wait(RETRY_PAUSE_S) and not self.stopping.is_set():
                self.role.record_pass(INBOX_THREAD)
        return revision
