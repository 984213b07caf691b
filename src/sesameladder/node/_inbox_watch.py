"""Follows the records of a pool that its owner watches."""

from collections.abc import Callable, Iterator
from threading import Event

from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import cancel_key, inbox_prefix
from sesameladder.node._roles import HeldRole
from sesameladder.node._supervision import build_thread
from sesameladder.platform import PlatformCallError, RevisionExpired, StoreClient

WATCH_WAIT_MS = 1000
PASS_INTERVAL_S = 0.15
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


def read_records(
    store: StoreClient, pool: str
) -> Iterator[tuple[int, tuple[Change, ...]]]:
    """Yield the records of a pool page by page, without cancel records.

    Each page comes with the revision from which to watch for changes. Raises
    ``PlatformCallError``.
    """
    cancel_prefix = cancel_key(pool, "")
    for page in store.read_pages(inbox_prefix(pool)):
        items = [i for i in page.items if not i.key.startswith(cancel_prefix)]
        yield page.revision, tuple((i.key, i.value, i.revision) for i in items)


def read_cancels(
    store: StoreClient, pool: str, revision: int
) -> Iterator[tuple[Change, ...]]:
    """Yield the cancel records up to a revision page by page.

    They are read after the other records, since the store names them first, and in any
    number. Later ones are left to the watch, which names their jobs before them. Raises
    ``PlatformCallError``.
    """
    for page in store.read_pages(cancel_key(pool, "")):
        items = [i for i in page.items if i.revision <= revision]
        yield tuple((i.key, i.value, i.revision) for i in items)


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
        while not self.stopping.is_set():
            try:
                if revision is None:
                    revision = self._read_all()
                    changes: tuple[Change, ...] = ()
                else:
                    prefix = inbox_prefix(self.pool)
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
                self.stopping.wait(self.dependency.draw_pause())
                continue
            self.dependency.record_success()
            self.role.record_pass(INBOX_THREAD)
            if changes:
                self.post(InboxChanges(changes))

    def _read_all(self) -> int | None:
        """Pass all records on; returns the revision after which to watch them."""
        revision: int | None = None
        for page_revision, changes in read_records(self.store, self.pool):
            revision = page_revision
            self._post_page(changes)
        if revision is not None:
            for changes in read_cancels(self.store, self.pool, revision):
                self._post_page(changes)
        return revision

    def _post_page(self, changes: tuple[Change, ...]) -> None:
        """Pass a page on and wait until it is applied."""
        applied = Event()
        if changes:
            self.post(InboxChanges(changes, applied))
            while not applied.wait(PASS_INTERVAL_S) and not self.stopping.is_set():
                self.role.record_pass(INBOX_THREAD)
