"""What one intake may accept for a pool, by the room that its owner publishes.

The load is a crowd that submits sound jobs faster than they end, through all processes
at once. Refusing a job at once is cheap for its caller, who is told when room is
expected; accepting it would cost every owner of the pool memory until it ends.
"""

from collections import deque
from enum import StrEnum
from math import inf

from sesameladder.accepted_work._room import PoolRoom

# Bytes accepted since the latest reading after which the room is read again.
READ_AFTER_BYTES = 250_000
READ_INTERVAL_S = 1.0  # of a pool with little room; owners publish it as often
MIN_READ_INTERVAL_S = 0.1
SCARCE_SHARE = 0.5  # of the limit; with less room than that it is read again in time
ROOM_VALID_S = 2.0  # a refusal relies on nothing older
# What was accepted so long ago is in the published room: owners publish it once a
# second, and learn of jobs some milliseconds after their acceptance.
SETTLED_S = 2.0
LEARNT_S = 0.5  # after this an owner has read a job, unless it is very busy
# Bytes that an intake accepts in that time, of small jobs and of others each; one job
# may go beyond it.
CREDIT_BYTES = 4_000_000
SMALL_JOB_BYTES = 20_000  # a usual job of two to five steps is smaller
CREDIT_SHARE = 0.125  # of the free room, if that is less
# A job leaves room for as many more of its size, but at most for a part of the limit:
# small jobs find room after large ones are refused.
RESERVED_JOBS = 64
RESERVED_SHARE = 0.25
CALM_SHARE = 0.75  # of the limit; with so much room any job within the limits may come
# In place of a room that isn't published; so large that only the credit holds.
UNKNOWN_ROOM = PoolRoom(32_000_000, 32_000_000)
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0
UNKNOWN_RETRY_S = 10.0  # while hardly any job ends
# Around the time at which room is expected, callers are told to come again.
RETRY_SPREAD = (0.5, 1.5)


class ShortageCause(StrEnum):
    """Which bound a job would exceed."""

    ROOM = "room"
    JOB_SIZE = "job_size"
    ORGANISATION = "organisation"
    CREDIT = "credit"
    """The intake has accepted all that it may before the room is published anew."""


class RoomShortage:
    """A refusal for want of room, with the counts that decided it."""

    __slots__ = ("cause", "free_bytes", "job_bytes", "limit_bytes", "retry_after_s")

    def __init__(
        self,
        cause: ShortageCause,
        job_bytes: int,
        free_bytes: int,
        limit_bytes: int,
        retry_after_s: float,
    ) -> None:
        self.cause = cause
        self.job_bytes = job_bytes
        self.free_bytes = free_bytes
        self.limit_bytes = limit_bytes
        self.retry_after_s = retry_after_s
        """Time after which room is expected, in seconds, without a spread."""


class RoomAccount:
    """Room of one pool as an intake knows it; not thread-safe.

    Several intakes rely on the same published room. Each accepts at most twice
    ``CREDIT_BYTES`` and one job in ``SETTLED_S``, so N intakes exceed the room by at
    most N times that. Owners hold no more in memory for it: what doesn't fit stays in
    the store (``WaitingJobs``).
    """

    __slots__ = (
        "accepted",
        "accepted_bytes",
        "read_at",
        "requested_at",
        "room",
        "unread_bytes",
    )

    def __init__(self) -> None:
        self.room: PoolRoom | None = None
        """The room by the latest reading; None if the owner publishes none."""

        self.read_at: float | None = None
        """Steady time at which the latest reading was sent; None before the first."""

        self.requested_at = -inf
        self.unread_bytes = 0
        """Bytes of the jobs accepted here since then."""

        self.accepted: deque[tuple[float, int, str]] = deque()
        """Time, bytes and organisation of the jobs accepted in ``SETTLED_S``."""

        self.accepted_bytes = 0
        """Their bytes."""

    def apply(self, room: PoolRoom | None, sent_at: float) -> None:
        """Take over what a reading has returned, which was sent at ``sent_at``.

        A room that has changed was published after the reading before.
        """
        if room != self.room and self.read_at is not None:
            self._forget_accepted(self.read_at - LEARNT_S)
        self.room, self.read_at = room, sent_at

    def take_reading(self, now: float) -> bool:
        """Return whether to read the room now; counts as done."""
        if now - self.requested_at < MIN_READ_INTERVAL_S:
            return False  # one is under way
        room = self.room
        is_due = self.unread_bytes >= READ_AFTER_BYTES or self.read_at is None
        if room is not None and room.free_bytes < SCARCE_SHARE * room.limit_bytes:
            is_due = is_due or now - self.requested_at >= READ_INTERVAL_S
        if is_due:
            self.requested_at = now
            self.unread_bytes = 0
        return is_due

    def admit(
        self, job_bytes: int, organisation: str, now: float
    ) -> RoomShortage | None:
        """Return why a job has no room; None to accept it, which counts it.

        Whatever is uncertain is accepted, but not more than the credit.
        """
        self._forget_accepted(now - SETTLED_S)
        shortage = self._find_shortage(job_bytes, organisation, now)
        if shortage is None:
            self.accepted.append((now, job_bytes, organisation))
            self.accepted_bytes += job_bytes
            self.unread_bytes += job_bytes
        return shortage

    def _forget_accepted(self, before: float) -> None:
        """Forget jobs accepted before a time; the published room includes them."""
        while self.accepted and self.accepted[0][0] < before:
            self.accepted_bytes -= self.accepted.popleft()[1]

    def _find_shortage(
        self, job_bytes: int, organisation: str, now: float
    ) -> RoomShortage | None:
        # Without an owner, or with one of an earlier version, only the credit holds.
        room = self.room or UNKNOWN_ROOM
        free_bytes = room.free_bytes - self.accepted_bytes
        cause: ShortageCause | None
        is_valid = self.read_at is not None and now - self.read_at <= ROOM_VALID_S
        if room is UNKNOWN_ROOM:
            cause = self._check_credit(room, job_bytes)
        elif is_valid:
            cause = self._check(room, job_bytes, organisation, free_bytes)
        elif not self.accepted:
            cause = None  # what has ended since isn't known; one job finds out
        else:
            cause = self._check_credit(room, job_bytes)
        if cause is None:
            return None
        missing = job_bytes - free_bytes
        if cause is ShortageCause.JOB_SIZE:
            missing += _compute_reserve(room, job_bytes)
        elif cause is ShortageCause.ORGANISATION:
            missing = job_bytes
        return RoomShortage(
            cause,
            job_bytes,
            free_bytes,
            room.limit_bytes,
            _estimate_wait_s(cause, max(0, missing), room.release_bytes_per_s),
        )

    def _check(
        self, room: PoolRoom, job_bytes: int, organisation: str, free_bytes: int
    ) -> ShortageCause | None:
        if free_bytes >= CALM_SHARE * room.limit_bytes:
            return self._check_credit(room, job_bytes)
        if job_bytes > free_bytes:
            return ShortageCause.ROOM
        if job_bytes + _compute_reserve(room, job_bytes) > free_bytes:
            return ShortageCause.JOB_SIZE
        if organisation:
            held = room.held_by_organisation.get(organisation, 0)
            held += sum(row[1] for row in self.accepted if row[2] == organisation)
            if held + job_bytes > free_bytes:
                return ShortageCause.ORGANISATION
        return self._check_credit(room, job_bytes)

    def _check_credit(self, room: PoolRoom, job_bytes: int) -> ShortageCause | None:
        credit = min(CREDIT_BYTES, max(0.0, CREDIT_SHARE * room.free_bytes))
        is_small = job_bytes <= SMALL_JOB_BYTES
        alike = [n for _, n, _ in self.accepted if (n <= SMALL_JOB_BYTES) is is_small]
        if alike and sum(alike) + job_bytes > credit:
            return ShortageCause.CREDIT
        return None


def _compute_reserve(room: PoolRoom, job_bytes: int) -> int:
    """Return the room that a job has to leave for smaller ones."""
    return min(RESERVED_JOBS * job_bytes, int(RESERVED_SHARE * room.limit_bytes))


def _estimate_wait_s(
    cause: ShortageCause, missing_bytes: int, release_bytes_per_s: int
) -> float:
    """Return after how many seconds as much room is expected."""
    if cause is ShortageCause.CREDIT:
        return MIN_RETRY_S  # the next reading is under way
    if release_bytes_per_s <= 0:
        return UNKNOWN_RETRY_S
    return min(MAX_RETRY_S, max(MIN_RETRY_S, missing_bytes / release_bytes_per_s))
