"""Accepts, shows and cancels jobs on behalf of callers.

A job is accepted once its submission is in the store, and only then. Whatever
process is asked reads the same records, so each gives the same answer.
"""

import re
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from threading import Lock
from time import sleep
from typing import TypeVar

from sesameladder.jobs import (
    Configuration,
    JobState,
    ProgressInvalid,
    QueuePolicy,
    decode_progress,
)
from sesameladder.node._clock import read_steady
from sesameladder.node._keys import (
    cancel_key,
    inbox_prefix,
    progress_key,
    progress_prefix,
    submission_key,
    summary_key,
)
from sesameladder.node._records import decode_summary, encode_submission
from sesameladder.node._telemetry import warn
from sesameladder.platform import (
    Committed,
    Conflict,
    PlatformCallError,
    Put,
    RecordInvalid,
    StoreClient,
    decode_job,
)
from sesameladder.platform import OutcomeUnknown as StoreOutcomeUnknown

JOB_ID = re.compile(r"[0-9a-f]{16}")
RETRY_PAUSE_S = 0.05  # a store that is not overloaded answers in 4 ms
REJECTED_TRIES = 3  # a store that turns calls away does so for seconds
ANSWER_SHARE = 0.6  # of the caller's time limit; the rest carries the answer back
SILENCE_S = 0.6  # the role's lease is renewed every 0.4 s; a longer silence is a loss
KNOWN_JOBS = 20_000  # about 2 MB; spares a read when a job's state is asked for

ResultT = TypeVar("ResultT")


@dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored."""

    is_new: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """The job has not been accepted and never will be by this attempt."""

    reason: str
    retry_after_s: int


@dataclass(frozen=True, slots=True)
class Unknown:
    """The store did not answer; the attempt may or may not have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The request is malformed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Missing:
    """There is no such job."""


@dataclass(frozen=True, slots=True)
class Found:
    """The state of a job."""

    state: JobState


@dataclass(frozen=True, slots=True)
class Pending:
    """Number of a queue's jobs that haven't begun."""

    count: int


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The cancellation is stored, or the job had ended."""


Result = Accepted | Refused | Unknown | Invalid | Missing | Found | Pending | Cancelled


# Sent before a call whose answer is not to be expected: a write without an answer
# could only be reported as unknown, and callers can't repeat those elsewhere.
STORE_LOST = Refused("the store does not answer this VM", retry_after_s=1)


class Intake:
    """Reads and writes the records of jobs; safe to share by threads."""

    __slots__ = ("is_store_lost", "known", "lock", "past_pools", "store")

    def __init__(
        self, store: StoreClient, is_store_lost: Callable[[], bool] = lambda: False
    ) -> None:
        self.store = store
        self.is_store_lost = is_store_lost
        self.known: OrderedDict[str, str] = OrderedDict()
        """Pool by job, for jobs that are known to be accepted."""

        self.past_pools: dict[str, set[str]] = {}
        """Pools that a queue has been sent to, by queue."""

        self.lock = Lock()

    def submit(self, queue: QueuePolicy, job: str, body: bytes, by: float) -> Result:
        """Accept a job; ``by`` is the steady time at which to have answered."""
        if not JOB_ID.fullmatch(job):
            return Invalid(f"job identifier {job!r} is not 16 hexadecimal digits")
        try:
            decode_job(body)
        except RecordInvalid as error:
            return Invalid(str(error))
        pools = self._list_pools(queue)
        if job in self.known:
            return Accepted(is_new=False)
        if self.is_store_lost():
            return STORE_LOST
        for pool in pools - {queue.pool}:
            if self._try_read(submission_key(pool, job)):
                return Accepted(is_new=False)
        key = submission_key(queue.pool, job)
        if not self._answers_reads(key):
            return STORE_LOST
        puts = (Put(key, encode_submission(queue, body)),)
        preconditions = ((key, 0), (progress_key(queue.pool, job), 0))
        outcome = self._attempt(
            lambda: self.store.commit(puts, (), preconditions),
            by,
            lambda: self._find_stored(key),
        )
        if isinstance(outcome, (Refused, Unknown)):
            return outcome
        self._remember(job, queue.pool)
        return Accepted(is_new=not isinstance(outcome, Conflict))

    def _find_stored(self, key: str) -> Committed | None:
        """Return the outcome of a write without an answer if it is in the store."""
        try:
            item = self.store.read(key)
        except PlatformCallError as error:
            warn("unanswered_write_unread", key=key, error=str(error))
            return None
        return Committed(item.revision) if item is not None else None

    def _answers_reads(self, key: str) -> bool:
        """Return whether the store is worth a write.

        A write into silence can only be answered as unknown, which callers can't
        repeat; a read that fails leaves a refusal true.
        """
        if read_steady() - self.store.last_served_call_at < SILENCE_S:
            return True
        try:
            self.store.read(key)
        except PlatformCallError as error:
            warn("store_silent", key=key, error=str(error))
            return False
        return True

    def show(
        self, configuration: Configuration, queue: QueuePolicy, job: str, by: float
    ) -> Result:
        """Return a job's state."""
        if not JOB_ID.fullmatch(job):
            return Missing()
        if self.is_store_lost():
            return STORE_LOST
        pool = self._find_pool(configuration, queue, job, by)
        if not isinstance(pool, str):
            return pool
        item = self._attempt(lambda: self.store.read(progress_key(pool, job)), by)
        if isinstance(item, (Refused, Unknown)):
            return item
        if item is None:
            return Found(JobState.QUEUED)
        try:
            return Found(decode_progress(job, item.value, None).state)
        except ProgressInvalid as error:
            warn("job_record_refused", pool=pool, job=job, error=str(error))
            return Unknown(str(error))

    def cancel(
        self, configuration: Configuration, queue: QueuePolicy, job: str, by: float
    ) -> Result:
        """Store a job's cancellation."""
        if not JOB_ID.fullmatch(job):
            return Missing()
        pool = self._find_pool(configuration, queue, job, by)
        if not isinstance(pool, str):
            return pool
        put = Put(cancel_key(pool, job), b"1")
        outcome = self._attempt(lambda: self.store.commit((put,)), by)
        if isinstance(outcome, (Refused, Unknown)):
            return outcome
        return Cancelled()

    def count_pending(self, queue: QueuePolicy, by: float) -> Result:
        """Return the number of a queue's jobs that haven't begun."""
        if self.is_store_lost():
            return STORE_LOST
        item = self._attempt(lambda: self.store.read(summary_key(queue.pool)), by)
        if isinstance(item, (Refused, Unknown)):
            return item
        if item is not None:
            try:
                summary = decode_summary(item.value)
                return Pending(summary.pending.get(queue.name, 0))
            except RecordInvalid as error:
                warn("summary_refused", pool=queue.pool, error=str(error))
        return self._count_records(queue, by)

    def _count_records(self, queue: QueuePolicy, by: float) -> Result:
        """Count in the records themselves while no owner summarizes them."""
        page = self._attempt(
            lambda: self.store.read_range(inbox_prefix(queue.pool)), by
        )
        if isinstance(page, (Refused, Unknown)):
            return page
        begun = self._attempt(
            lambda: self.store.read_range(progress_prefix(queue.pool)), by
        )
        if isinstance(begun, (Refused, Unknown)):
            return begun
        prefix = submission_key(queue.pool, "")
        started = {i.key.removeprefix(progress_prefix(queue.pool)) for i in begun.items}
        marker = f'{{"queue":"{queue.name}"'.encode()
        waiting = [
            item
            for item in page.items
            if item.key.startswith(prefix)
            and item.value.startswith(marker)
            and item.key.removeprefix(prefix) not in started
        ]
        return Pending(len(waiting))

    def _list_pools(self, queue: QueuePolicy) -> set[str]:
        with self.lock:
            pools = self.past_pools.setdefault(queue.name, set())
            pools.add(queue.pool)
            return set(pools)

    def _find_pool(
        self, configuration: Configuration, queue: QueuePolicy, job: str, by: float
    ) -> str | Missing | Refused | Unknown:
        """Return the pool that a job was accepted for."""
        known = self.known.get(job)
        if known is not None:
            return known
        others = sorted(set(configuration.pools) - {queue.pool})
        # A queue may have been sent to another pool when the job was accepted.
        for pool in (queue.pool, *others):
            for key in (progress_key(pool, job), submission_key(pool, job)):
                item = self._attempt(lambda key=key: self.store.read(key), by)  # type: ignore[misc]
                if isinstance(item, (Refused, Unknown)):
                    return item
                if item is not None:
                    self._remember(job, pool)
                    return pool
        return Missing()

    def _try_read(self, key: str) -> bool:
        try:
            return self.store.read(key) is not None
        except PlatformCallError as error:
            warn("earlier_pool_unread", key=key, error=str(error))
            return False

    def _remember(self, job: str, pool: str) -> None:
        with self.lock:
            self.known[job] = pool
            while len(self.known) > KNOWN_JOBS:
                self.known.popitem(last=False)

    def _attempt(
        self,
        call: Callable[[], ResultT],
        by: float,
        check: Callable[[], ResultT | None] = lambda: None,
    ) -> ResultT | Refused | Unknown:
        """Make a call until it is answered, the time is up or the store refuses.

        ``check`` looks whether a write without an answer took effect. A read gets
        through where only the answers to writes are lost.
        """
        unanswered = False
        rejected = 0
        while True:
            try:
                return call()
            except StoreOutcomeUnknown as error:
                unanswered = True
                reason = str(error)
            except PlatformCallError as error:
                rejected += 1
                reason = str(error)
            if unanswered:
                stored = check()
                if stored is not None:
                    return stored
            is_late = read_steady() + RETRY_PAUSE_S >= by
            if unanswered and is_late:
                return Unknown(reason)
            if not unanswered and (is_late or rejected >= REJECTED_TRIES):
                return Refused(reason, retry_after_s=1)
            sleep(RETRY_PAUSE_S)


def compute_answer_time(limit_ms: float | None, default_ms: float) -> float:
    """Return the steady time at which a caller's answer has to be sent."""
    allowed_ms = limit_ms if limit_ms is not None else default_ms
    return read_steady() + ANSWER_SHARE * allowed_ms / 1000
