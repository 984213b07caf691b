"""Accepts, shows and cancels jobs on behalf of callers.

A job is accepted once its submission is in the store, and only then. All processes
read the same records, so every process returns the same state of a job.
"""

import re
from collections import OrderedDict
from collections.abc import Callable, Iterable
from math import inf
from threading import Lock
from time import sleep
from typing import TypeVar

from sesameladder.jobs import (
    Configuration,
    JobSpec,
    JobState,
    ProgressInvalid,
    QueuePolicy,
    decode_progress,
    estimate_held_bytes,
    explain_impossible_gang,
)
from sesameladder.node._admission import AdmissionControl
from sesameladder.node._client_store import (
    UNNAMED,
    ClientStore,
    ShareUsedUp,
    classify_client_failure,
)
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._early_cancels import EarlyCancels
from sesameladder.node._keys import (
    accepted_key,
    cancel_key,
    progress_key,
    submission_key,
    summary_key,
)
from sesameladder.node._pending_elsewhere import PendingElsewhere
from sesameladder.node._pending_records import count_pending_records
from sesameladder.node._records import (
    decode_acceptance,
    decode_summary,
    encode_pool,
    encode_submission,
)
from sesameladder.node._results import (
    Accepted,
    Cancelled,
    CancelledFirst,
    Found,
    InvalidRequest,
    NotFound,
    PendingCount,
    Rejected,
    Result,
    TooLarge,
    Unknown,
)
from sesameladder.node._telemetry import log_warning
from sesameladder.organisations import Organisation
from sesameladder.platform import (
    Committed,
    Conflict,
    PlatformCallError,
    Put,
    RecordInvalid,
    RecordTooLarge,
    StoreClient,
    StoredItem,
    decode_job,
)
from sesameladder.request_limits import MAX_CONTAINERS, DecodingGate, count_containers
from sesameladder.service_calls import Caller, ClientCalls, ClientRepeats, Decision

JOB_ID = re.compile(r"[0-9a-f]{16}")
STORE_CHECK_AGE_S = 0.6  # lease renewals come every 0.4 s; a longer gap is a failure
# Jobs accepted elsewhere may be shown as unknown for so long; the users allow 3 s.
UNKNOWN_JOB_AGE_S = 1.0
DEFAULT_RETENTION_S = 120.0  # for which the states of ended jobs are kept
MAX_CACHED_JOBS = 20_000  # about 2 MB; saves a read per request for a job's state

ResultT = TypeVar("ResultT")


# Returned instead of a call that would probably get no response. A write without a
# response can only be reported as unknown, which callers can't retry elsewhere.
STORE_UNREACHABLE = Rejected("the store does not answer this VM", retry_after_s=1)


COUNTING = "the queue's jobs are being counted for other callers"
NO_ROOM = "the queue's backlog is too large for the job to be kept"
TOO_LATE = "the queue's backlog is too long for the job to be done in time"


class Intake:
    """Reads and writes the records of jobs; thread-safe."""

    __slots__ = (
        "admission",
        "client_store",
        "counting",
        "decoding",
        "early_cancels",
        "is_store_unreachable",
        "lock",
        "pending_elsewhere",
        "pool_by_job",
        "store",
        "unknown_jobs",
    )

    def __init__(
        self,
        store: StoreClient,
        is_store_unreachable: Callable[[], bool] = lambda: False,
        admission: AdmissionControl | None = None,
        calls: ClientCalls | None = None,
        job_state_retention_s: float = DEFAULT_RETENTION_S,
        list_open_pools: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        """Create an intake.

        ``list_open_pools`` returns the pools that may have pending jobs.
        """
        self.store = store
        self.client_store = ClientStore(store, calls)
        """The store for calls that requests cause."""

        self.early_cancels = EarlyCancels(
            self.client_store, job_state_retention_s, read_steady_clock
        )
        self.is_store_unreachable = is_store_unreachable
        self.admission = admission
        self.decoding = DecodingGate()
        self.pending_elsewhere = PendingElsewhere(
            self.client_store, read_steady_clock, list_open_pools
        )
        self.counting = Lock()
        """Held while the records of a pool are counted."""

        self.pool_by_job: OrderedDict[str, str] = OrderedDict()
        """Pool by job, for up to ``MAX_CACHED_JOBS`` jobs known to be accepted."""

        self.unknown_jobs: OrderedDict[str, float] = OrderedDict()
        """Steady time at which the store had no such job, by its identifier."""

        self.lock = Lock()

    def submit(
        self,
        queue: QueuePolicy,
        job: str,
        body: bytes,
        deadline: float,
        organisation: Organisation | None = None,
        caller: Caller = UNNAMED,
    ) -> Result:
        """Store a job; ``deadline`` is the steady time by which to return.

        ``organisation`` is that of the caller's key; None on public routes.
        """
        if not JOB_ID.fullmatch(job):
            return InvalidRequest(
                f"job identifier {job!r} is not 16 hexadecimal digits"
            )
        if job in self.pool_by_job:
            return Accepted(is_new=False)
        try:
            spec = self._decode(body)
            if organisation is not None:
                reason = explain_impossible_gang(spec, organisation)
                if reason:
                    raise RecordTooLarge(reason)
        except RecordInvalid as error:
            return self._refuse(error, queue.pool, job, caller)
        if self.is_store_unreachable():
            return STORE_UNREACHABLE
        key = submission_key(queue.pool, job)
        if not self._is_store_responding(key):
            return STORE_UNREACHABLE
        name = organisation.name if organisation is not None else ""
        try:
            refusal = self._check_admission(queue, name, job, spec, caller)
        except ShareUsedUp as error:
            return Rejected(str(error), error.retry_after_s)
        if refusal is not None:
            return refusal
        puts = (
            Put(key, encode_submission(queue, body, name)),
            Put(accepted_key(job), encode_pool(queue.pool)),
        )
        # Older versions have stored jobs without the key that names their pool.
        keys = accepted_key(job), key, progress_key(queue.pool, job)
        preconditions = tuple((key, 0) for key in keys)
        outcome = self._call_with_retries(
            lambda: self.client_store.commit(caller, puts, (), preconditions),
            deadline,
            lambda: self._find_commit(key),
        )
        if isinstance(outcome, (Rejected, Unknown)):
            return outcome
        self.unknown_jobs.pop(job, None)
        if not isinstance(outcome, Conflict):
            self._cache_pool(job, queue.pool)
            return Accepted(is_new=True)
        accepted = self._find_acceptance(outcome.items, job)
        if isinstance(accepted, CancelledFirst):
            return accepted
        self._cache_pool(job, accepted or queue.pool)
        return Accepted(is_new=False)

    def _decode(self, body: bytes) -> JobSpec:
        """Decode a job; raises ``RecordInvalid``."""
        containers = count_containers(body)
        if containers > MAX_CONTAINERS:
            if not body.lstrip().startswith(b"{"):
                raise RecordInvalid("the body is not an object")
            raise RecordTooLarge(
                f"the body has {containers} lists and objects, "
                f"more than {MAX_CONTAINERS}"
            )
        with self.decoding.enter(body):
            return decode_job(body)

    def _find_acceptance(
        self, items: tuple[StoredItem, ...], job: str
    ) -> str | CancelledFirst | None:
        """Return the pool that a job was accepted for, if one of the items names it.

        A job that was cancelled first has a mark in its place.
        """
        for item in items:
            if item.key == accepted_key(job):
                try:
                    return decode_acceptance(job, item.value)
                except RecordInvalid as error:
                    log_warning("job_record_refused", job=job, error=str(error))
        return None

    def _refuse(
        self, error: RecordInvalid, pool: str, job: str, caller: Caller
    ) -> Result:
        """Return the refusal of a body, or that the job is accepted already.

        An older version may have accepted the body, or the identifier may have been
        used with another one. Its job may have run.
        """
        is_new_job = not self.is_store_unreachable()
        if is_new_job:
            try:
                earlier = self._find_earlier(pool, job, caller)
                if isinstance(earlier, Accepted):
                    return earlier
            except ShareUsedUp:
                is_new_job = False
            except PlatformCallError as failure:
                log_warning("earlier_job_unread", job=job, error=str(failure))
                is_new_job = False
        if isinstance(error, RecordTooLarge):
            return TooLarge(str(error), is_new_job)
        return InvalidRequest(str(error), is_new_job)

    def _check_admission(
        self,
        queue: QueuePolicy,
        organisation: str,
        job: str,
        spec: JobSpec,
        caller: Caller,
    ) -> Result | None:
        """Return the refusal of a job that can't be kept or done in time, or None.

        Another process may have accepted the job. If the store doesn't tell, the job is
        not refused: the write that follows finds out. Raises ``ShareUsedUp``.
        """
        if self.admission is None:
            return None
        job_bytes = estimate_held_bytes(spec)
        shortage = self.admission.find_shortage(queue.pool, organisation, job_bytes)
        excess = self.admission.find_excess(queue, organisation, spec)
        if shortage is None and excess is None:
            return None
        try:
            earlier = self._find_earlier(queue.pool, job, caller)
            if earlier is not None:
                return earlier
        except ShareUsedUp:
            raise
        except PlatformCallError as error:
            log_warning("earlier_job_unread", job=job, error=str(error))
            return None
        if shortage is not None:
            retry_after_s = self.admission.record_shortage(
                queue.pool, organisation, shortage
            )
            return Rejected(NO_ROOM, retry_after_s)
        assert excess is not None
        retry_after_s = self.admission.record_refusal(queue, organisation, excess)
        return Rejected(TOO_LATE, retry_after_s)

    def _find_earlier(
        self, pool: str, job: str, caller: Caller
    ) -> Accepted | CancelledFirst | None:
        """Return what the store says of an earlier request about a job.

        Raises ``PlatformCallError``.
        """
        item = self.client_store.read(accepted_key(job), caller)
        if item is not None:
            accepted = self._find_acceptance((item,), job)
            if isinstance(accepted, CancelledFirst):
                return accepted
            return Accepted(is_new=False)
        keys = submission_key(pool, job), progress_key(pool, job)
        if any(self.client_store.read(key, caller) is not None for key in keys):
            return Accepted(is_new=False)
        return None

    def _find_commit(self, key: str) -> Committed | None:
        """Return the outcome of a write without a response if it took effect."""
        try:
            # Not bounded: the caller's answer depends on it, and it is rare.
            item = self.store.read(key)
        except PlatformCallError as error:
            log_warning("unanswered_write_unread", key=key, error=str(error))
            return None
        return Committed(item.revision) if item is not None else None

    def _is_store_responding(self, key: str) -> bool:
        """Return whether the store has served a recent call or serves a read now.

        A write without a response can only be reported as unknown, which callers
        can't retry elsewhere. After a failed read, the job can still be rejected.
        """
        if read_steady_clock() - self.store.last_served_call_at < STORE_CHECK_AGE_S:
            return True
        try:
            self.store.read(key)
        except PlatformCallError as error:
            log_warning("store_silent", key=key, error=str(error))
            return False
        return True

    def get_state(
        self,
        configuration: Configuration,
        queue: QueuePolicy,
        job: str,
        deadline: float,
        caller: Caller = UNNAMED,
    ) -> Result:
        """Return the state of a job as its pool's owner last stored it.

        That there is no such job is remembered for ``UNKNOWN_JOB_AGE_S``.
        """
        if not JOB_ID.fullmatch(job):
            return NotFound()
        if self.is_store_unreachable():
            return STORE_UNREACHABLE
        sent_at = read_steady_clock()
        is_known = job in self.pool_by_job
        unknown_at = self.unknown_jobs.get(job, -inf)
        if not is_known and sent_at - unknown_at < UNKNOWN_JOB_AGE_S:
            return NotFound()
        pool = self._find_pool(configuration, queue, job, deadline, caller)
        if isinstance(pool, (NotFound, CancelledFirst)):
            self._remember_unknown(job, sent_at)
            return NotFound()
        if not isinstance(pool, str):
            return pool
        item = self._call_with_retries(
            lambda: self.client_store.read(progress_key(pool, job), caller), deadline
        )
        if isinstance(item, (Rejected, Unknown)):
            return item
        if item is None:
            return Found(JobState.QUEUED)
        try:
            return Found(decode_progress(job, item.value, None).state)
        except ProgressInvalid as error:
            log_warning("job_record_refused", pool=pool, job=job, error=str(error))
            return Unknown(str(error))

    def cancel(
        self,
        configuration: Configuration,
        queue: QueuePolicy,
        job: str,
        deadline: float,
        caller: Caller = UNNAMED,
    ) -> Result:
        """Store the cancellation of a job, if it has not ended.

        A job that does not exist is not accepted any more, for as long as the state of
        a cancelled one would be kept: its submission may be under way.
        """
        if not JOB_ID.fullmatch(job):
            return NotFound()
        pool = self._find_pool(configuration, queue, job, deadline, caller)
        if isinstance(pool, NotFound):
            # Names the pool if the job has been accepted since.
            pool = self._call_with_retries(
                lambda: self.early_cancels.mark(job, caller), deadline
            )
        if pool == "" or isinstance(pool, CancelledFirst):
            return NotFound()
        if not isinstance(pool, str):
            return pool
        key = submission_key(pool, job)
        item = self._call_with_retries(
            lambda: self.client_store.read(key, caller), deadline
        )
        if item is None:
            return Cancelled()  # it has ended; nobody would remove the record
        if isinstance(item, (Rejected, Unknown)):
            return item
        put = Put(cancel_key(pool, job), b"1")
        preconditions = ((key, item.revision),)
        outcome = self._call_with_retries(
            lambda: self.client_store.commit(caller, (put,), (), preconditions),
            deadline,
        )
        if isinstance(outcome, (Rejected, Unknown)):
            return outcome
        return Cancelled()

    def count_pending(
        self, queue: QueuePolicy, deadline: float, caller: Caller = UNNAMED
    ) -> Result:
        """Return the number of a queue's jobs that haven't started.

        Those accepted while its route led to another pool are counted, too.
        """
        if self.is_store_unreachable():
            return STORE_UNREACHABLE
        item = self._call_with_retries(
            lambda: self.client_store.read(summary_key(queue.pool), caller), deadline
        )
        if isinstance(item, (Rejected, Unknown)):
            return item
        elsewhere = self._call_with_retries(
            lambda: self.pending_elsewhere.count(queue.name, queue.pool, caller),
            deadline,
        )
        if isinstance(elsewhere, (Rejected, Unknown)):
            return elsewhere
        if item is not None:
            try:
                summary = decode_summary(item.value)
                return PendingCount(summary.pending.get(queue.name, 0) + elsewhere)
            except RecordInvalid as error:
                log_warning("summary_refused", pool=queue.pool, error=str(error))
        return self._count_pending_records(queue, elsewhere, deadline, caller)

    def _count_pending_records(
        self, queue: QueuePolicy, elsewhere: int, deadline: float, caller: Caller
    ) -> Result:
        """Count the pending jobs in the records while there is no valid summary.

        One count at a time: the records of a pool may be larger than the memory.
        """
        wait_s = max(0.0, deadline - read_steady_clock())
        if not self.counting.acquire(timeout=wait_s):
            return Rejected(COUNTING, retry_after_s=1)
        try:
            counts = self._call_with_retries(
                lambda: count_pending_records(self.client_store, queue.pool, caller),
                deadline,
            )
        finally:
            self.counting.release()
        if isinstance(counts, (Rejected, Unknown)):
            return counts
        return PendingCount(counts[queue.name] + elsewhere)

    def _find_pool(
        self,
        configuration: Configuration,
        queue: QueuePolicy,
        job: str,
        deadline: float,
        caller: Caller,
    ) -> str | NotFound | CancelledFirst | Rejected | Unknown:
        """Return the pool that a job was accepted for."""
        cached_pool = self.pool_by_job.get(job)
        if cached_pool is not None:
            return cached_pool
        item = self._call_with_retries(
            lambda: self.client_store.read(accepted_key(job), caller), deadline
        )
        if isinstance(item, (Rejected, Unknown)):
            return item
        accepted = self._find_acceptance((item,), job) if item is not None else None
        if isinstance(accepted, CancelledFirst):
            return accepted
        if accepted is not None:
            self._cache_pool(job, accepted)
            return accepted
        other_pools = sorted(set(configuration.pools) - {queue.pool})
        # An older version has stored the job, perhaps for another pool of its queue.
        for pool in (queue.pool, *other_pools):
            for key in (progress_key(pool, job), submission_key(pool, job)):
                item = self._call_with_retries(
                    lambda key=key: self.client_store.read(  # type: ignore[misc]
                        key, caller
                    ),
                    deadline,
                )
                if isinstance(item, (Rejected, Unknown)):
                    return item
                if item is not None:
                    self._cache_pool(job, pool)
                    return pool
        return NotFound()

    def _remember_unknown(self, job: str, sent_at: float) -> None:
        with self.lock:
            self.unknown_jobs[job] = sent_at
            self.unknown_jobs.move_to_end(job)
            while len(self.unknown_jobs) > MAX_CACHED_JOBS:
                self.unknown_jobs.popitem(last=False)

    def _cache_pool(self, job: str, pool: str) -> None:
        with self.lock:
            self.pool_by_job[job] = pool
            while len(self.pool_by_job) > MAX_CACHED_JOBS:
                self.pool_by_job.popitem(last=False)

    def _call_with_retries(
        self,
        call: Callable[[], ResultT],
        deadline: float,
        find_outcome: Callable[[], ResultT | None] = lambda: None,
    ) -> ResultT | Rejected | Unknown:
        """Repeat a call as ``ClientRepeats`` decides.

        After a write without a response, ``find_outcome`` reads whether it took
        effect: the read may succeed while responses to writes are lost.
        """
        repeats = ClientRepeats(deadline, self.client_store.random)
        while True:
            retry_after_s = 1
            try:
                return call()
            except PlatformCallError as error:
                repeats.record_failure(classify_client_failure(error))
                reason = str(error)
                if isinstance(error, ShareUsedUp):
                    retry_after_s = error.retry_after_s
            if repeats.needs_outcome:
                outcome = find_outcome()
                if outcome is not None:
                    return outcome
            match repeats.decide(read_steady_clock()):
                case Decision.REJECT:
                    return Rejected(reason, retry_after_s)
                case Decision.ANSWER_UNKNOWN:
                    return Unknown(reason)
            sleep(repeats.pause_s)
