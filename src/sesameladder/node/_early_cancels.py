"""Marks that keep a job that was cancelled first from being accepted afterwards.

The load is callers who give a submission up and cancel it while its write may still be
executed: the store may carry out a write without an answer seconds later, and the
process that got the submission repeats it without knowing that its caller has left. No
process can tell whether such a write is under way. So before a cancelling of an unknown
job is acknowledged, a mark takes the place of the key that each submission requires not
to exist.

A mark costs callers one write of the store; marks of one process share a lease, with
which the store removes them.
"""

from collections.abc import Callable
from concurrent.futures import Future
from threading import Lock

from sesameladder.node._client_store import ClientStore, ShareUsedUp
from sesameladder.node._keys import accepted_key
from sesameladder.node._records import decode_acceptance, encode_mark
from sesameladder.node._results import CancelledFirst
from sesameladder.node._telemetry import log_event, log_warning
from sesameladder.platform import Conflict, LeaseNotFound, Put, RecordInvalid
from sesameladder.service_calls import Caller, RateKind

LEASE_REUSE_S = 60.0


class EarlyCancels:
    """Marks jobs that are cancelled before they are accepted; thread-safe."""

    __slots__ = (
        "grant",
        "lease",
        "lock",
        "mark_s",
        "read_clock",
        "renew_at",
        "store",
    )

    def __init__(
        self, store: ClientStore, mark_s: float, read_clock: Callable[[], float]
    ) -> None:
        self.store = store
        self.mark_s = mark_s
        """Time for which a mark is kept at least, in seconds."""

        self.read_clock = read_clock
        self.lock = Lock()
        self.grant: Future[int] | None = None
        """The call for a lease that is under way, if there is one."""

        self.lease = 0
        self.renew_at = 0.0
        """Steady time from which new marks need another lease."""

    def mark(self, job: str, caller: Caller) -> str:
        """Keep a job from being accepted.

        Returns the pool of a job that has been accepted meanwhile, else "". Raises
        ``PlatformCallError``.
        """
        lease = self._get_lease(caller)
        key = accepted_key(job)
        try:
            outcome = self.store.commit(
                caller, (Put(key, encode_mark(), lease),), (), ((key, 0),)
            )
        except LeaseNotFound:
            self._drop_lease(lease)
            raise
        if not isinstance(outcome, Conflict):
            log_event("job_cancelled_first", job=job)
            return ""
        for item in outcome.items:
            try:
                accepted = decode_acceptance(job, item.value)
            except RecordInvalid as error:
                # No submission is stored beside it either.
                log_warning("job_record_refused", job=job, error=str(error))
                return ""
            return "" if isinstance(accepted, CancelledFirst) else accepted
        return ""

    def _get_lease(self, caller: Caller) -> int:
        """Return the lease of the next mark; raises ``PlatformCallError``.

        Callers who need a new one at the same time share the call and its failure.
        """
        while True:
            with self.lock:
                now = self.read_clock()
                if now < self.renew_at:
                    return self.lease
                other = self.grant
                if other is None:
                    grant = self.grant = Future()
                    break
            try:
                return other.result()
            except ShareUsedUp:
                continue  # the share of another caller; this one has its own
        try:
            self.store.take(RateKind.WRITE, caller)
            ttl_ms = round((self.mark_s + LEASE_REUSE_S) * 1000)
            lease = self.store.store.grant_lease(ttl_ms)
        except BaseException as error:
            self._end_grant()
            grant.set_exception(error)
            raise
        self._end_grant(lease, now + LEASE_REUSE_S)
        grant.set_result(lease)
        return lease

    def _end_grant(self, lease: int = 0, renew_at: float = 0.0) -> None:
        """Let others use a lease until ``renew_at``, or ask for one."""
        with self.lock:
            self.grant = None
            self.lease, self.renew_at = lease, renew_at

    def _drop_lease(self, lease: int) -> None:
        with self.lock:
            if self.lease == lease:
                self.renew_at = 0.0
