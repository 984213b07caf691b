"""Writes a pool's progress to the store, one transaction at a time.

Every transaction requires the revision of a sequence key and rewrites that key. A
transaction without a response that takes effect late can therefore neither overwrite
a later one nor be mistaken for another.
"""

from collections.abc import Callable
from dataclasses import dataclass
from queue import SimpleQueue
from threading import Event
from time import sleep

from sesameladder.jobs import Job
from sesameladder.node._dependency import DependencyState
from sesameladder.node._keys import role_key, sequence_key
from sesameladder.node._roles import HeldRole
from sesameladder.node._supervision import build_thread
from sesameladder.platform import (
    Conflict,
    LeaseNotFound,
    PlatformCallError,
    Put,
    StoreClient,
)

WRITER_THREAD = "writer"


@dataclass(frozen=True, slots=True)
class WriteBatch:
    """Contents of one transaction."""

    puts: tuple[Put, ...]
    removals: tuple[str, ...]
    jobs: tuple[Job, ...]
    """Jobs whose progress is in ``puts``."""

    acknowledged_ends: dict[tuple[str, int], int]
    """Number of the last end to acknowledge once this is stored.

    By worker and start time: while the batch is under way, another incarnation may
    have begun to number its ends anew.
    """


@dataclass(frozen=True, slots=True)
class WriteDone:
    """A batch was stored, or was given up.

    After a shutdown, the loss of the lease or an unexpected error, a batch that was
    given up may still have taken effect.
    """

    batch: WriteBatch
    is_stored: bool


class PoolWriter:
    """Thread that stores batches in order."""

    __slots__ = (
        "batch_number",
        "batches",
        "dependency",
        "give_up_role",
        "is_busy",
        "pool",
        "post",
        "role",
        "sequence_revision",
        "stopping",
        "store",
        "thread",
    )

    def __init__(
        self,
        pool: str,
        role: HeldRole,
        store: StoreClient,
        post: Callable[[WriteDone], None],
        give_up_role: Callable[[str], None],
    ) -> None:
        self.pool = pool
        self.role = role
        self.store = store
        self.post = post
        self.give_up_role = give_up_role
        self.batches: SimpleQueue[WriteBatch | None] = SimpleQueue()
        self.is_busy = False
        """Whether a batch is under way or its result has not been applied.

        Set and cleared by the caller's thread only, so that it never takes a batch
        for stored before it knows the result.
        """

        self.batch_number = 0
        self.sequence_revision = 0
        self.dependency = DependencyState(f"store:pool {pool}")
        self.stopping = Event()
        self.thread = build_thread(f"writer {pool}", self._run, self.stopping)

    def load_sequence(self) -> None:
        """Read the sequence key; raises ``PlatformCallError``."""
        item = self.store.read(sequence_key(self.pool))
        self.sequence_revision = item.revision if item is not None else 0

    def stop(self) -> None:
        """Ask the thread to end after the call under way."""
        self.stopping.set()
        self.batches.put(None)

    def write(self, batch: WriteBatch) -> None:
        """Store a batch; a ``WriteDone`` message follows.

        The caller has to wait for it before the next batch.
        """
        self.is_busy = True
        self.batches.put(batch)

    def _run(self) -> None:
        while True:
            batch = self.batches.get()
            if batch is None:
                return
            is_stored = False
            self.role.begin_passes(WRITER_THREAD)
            try:
                is_stored = self._store(batch)
                self.role.end_passes(WRITER_THREAD)
            finally:
                # Without a message, the task would never write again.
                self.post(WriteDone(batch, is_stored))

    def _store(self, batch: WriteBatch) -> bool:
        self.batch_number += 1
        sequence_value = f"{self.role.fence}.{self.batch_number}".encode()
        puts = (*batch.puts, Put(sequence_key(self.pool), sequence_value))
        preconditions = (
            (role_key(self.role.role), self.role.fence),
            (sequence_key(self.pool), self.sequence_revision),
        )
        while self.batches.empty():
            try:
                outcome = self.store.commit(puts, batch.removals, preconditions)
            except LeaseNotFound:
                return False
            except PlatformCallError as error:
                self.dependency.record_failure(error)
                self.role.record_pass(WRITER_THREAD)
                sleep(self.dependency.draw_pause())
                continue
            self.dependency.record_success()
            if not isinstance(outcome, Conflict):
                self.sequence_revision = outcome.revision
                return True
            return self._settle_conflict(outcome, sequence_value)
        return False

    def _settle_conflict(self, conflict: Conflict, sequence_value: bytes) -> bool:
        """Return whether the transaction took effect in an earlier attempt.

        If not, gives up the role if another process holds it.
        """
        items = {item.key: item for item in conflict.items}
        sequence = items.get(sequence_key(self.pool))
        if sequence is not None:
            self.sequence_revision = sequence.revision
            if sequence.value == sequence_value:
                return True
        holder = items.get(role_key(self.role.role))
        if holder is None or holder.revision != self.role.fence:
            self.give_up_role("another owner has written")
        return False
