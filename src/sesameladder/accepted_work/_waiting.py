"""Accepted jobs that stay in the store until their pool's owner has room.

The load is a store that holds more than one process can: a crowd went through several
intakes at once, an earlier version accepted without a bound, or the bound was lowered.
Nothing of such a job has been started, so it costs its caller time and nothing else.
"""

from heapq import heappop, heappush, nsmallest
from itertools import count

# Jobs are taken up in the order in which steps get workers (``StepRanking``).
LATE_FACTOR = 3.0  # a job has no value after this multiple of its target

WaitingRank = tuple[int, int, float, int]
"""Urgency, priority, work in core-seconds, store revision; lower ones come first."""


class WaitingJob:
    """What an owner keeps of a job that waits in the store."""

    __slots__ = (
        "accepted_at",
        "core_s",
        "is_long_running",
        "job",
        "job_bytes",
        "organisation",
        "path_s",
        "priority",
        "queue",
        "revision",
        "target_s",
    )

    def __init__(
        self,
        job: str,
        queue: str,
        organisation: str,
        revision: int,
        job_bytes: int,
        priority: int,
        core_s: float,
        path_s: float,
        target_s: float,
        is_long_running: bool,
        accepted_at: float,
    ) -> None:
        self.job = job
        self.queue = queue
        self.organisation = organisation
        self.revision = revision
        """Store revision at which it was accepted."""

        self.job_bytes = job_bytes
        """Memory that an owner needs for it while it waits, as estimated."""

        self.priority = priority
        self.core_s = core_s
        """Its work in core-seconds."""

        self.path_s = path_s
        """Length of its critical path in seconds."""

        self.target_s = target_s
        """Time in which it should end, in seconds from its acceptance."""

        self.is_long_running = is_long_running
        self.accepted_at = accepted_at
        """Steady time in seconds at which the owner first saw it."""

    def rank(self, now: float) -> WaitingRank:
        """Return the place of the job among all that wait, at the steady time."""
        ends_after_s = now - self.accepted_at + self.path_s
        if self.is_long_running:
            urgency = 0
        elif ends_after_s <= self.target_s:
            urgency = 1
        else:
            urgency = 2 if ends_after_s <= LATE_FACTOR * self.target_s else 3
        return urgency, self.priority, self.core_s, self.revision


class WaitingJobs:
    """Jobs of one pool that wait in the store; times are steady, in seconds."""

    __slots__ = ("by_job", "waiting_bytes")

    def __init__(self) -> None:
        self.by_job: dict[str, WaitingJob] = {}
        self.waiting_bytes = 0
        """Memory that they would need, as estimated."""

    def add(self, waiting: WaitingJob) -> None:
        """Let a job wait; one that waits already keeps its entry."""
        if waiting.job not in self.by_job:
            self.by_job[waiting.job] = waiting
            self.waiting_bytes += waiting.job_bytes

    def remove(self, job: str) -> WaitingJob | None:
        """Remove a job that is taken up or cancelled; returns it if it waited."""
        waiting = self.by_job.pop(job, None)
        if waiting is not None:
            self.waiting_bytes -= waiting.job_bytes
        return waiting

    def list_next(self, limit: int, now: float) -> list[WaitingJob]:
        """Return the jobs to take up next, the first one first."""
        return nsmallest(limit, self.by_job.values(), key=lambda row: row.rank(now))

    def count_by_queue(self) -> dict[str, int]:
        """Return the number of waiting jobs by queue."""
        counts: dict[str, int] = {}
        for waiting in self.by_job.values():
            counts[waiting.queue] = counts.get(waiting.queue, 0) + 1
        return counts


class LoadSelection:
    """The first of all jobs in the store, chosen while a new owner reads them.

    The store returns jobs by identifier, page after page, and the owner can't hold
    all of them until it has seen the last one.
    """

    __slots__ = ("chosen", "chosen_bytes", "limit_bytes", "now", "numbers")

    def __init__(self, limit_bytes: int, now: float) -> None:
        self.limit_bytes = limit_bytes
        self.now = now
        self.chosen: list[tuple[tuple[float, ...], int, WaitingJob, object]] = []
        """Heap of the chosen jobs with what the owner needs, the last one first."""

        self.chosen_bytes = 0
        self.numbers = count()

    def offer(self, waiting: WaitingJob, content: object) -> list[WaitingJob]:
        """Choose a job if it precedes others; returns those that wait now."""
        rank = tuple(-float(part) for part in waiting.rank(self.now))
        heappush(self.chosen, (rank, -next(self.numbers), waiting, content))
        self.chosen_bytes += waiting.job_bytes
        displaced = []
        while self.chosen_bytes > self.limit_bytes and len(self.chosen) > 1:
            last = heappop(self.chosen)[2]
            self.chosen_bytes -= last.job_bytes
            displaced.append(last)
        return displaced

    def take(self) -> list[tuple[WaitingJob, object]]:
        """Return the chosen jobs with their contents, the first one first."""
        rows = sorted(self.chosen, key=lambda entry: entry[:2], reverse=True)
        self.chosen, self.chosen_bytes = [], 0
        return [(waiting, content) for _, _, waiting, content in rows]
