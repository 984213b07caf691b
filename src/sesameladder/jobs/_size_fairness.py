"""Share of the large jobs that is served while a pool is short of capacity.

The ranking prefers jobs with little work, which ends the most jobs in time. While a
demand peak lasts, there are always enough small jobs, and large ones would get nothing.
This module lets single large jobs go first, so many that those of each size band begin
almost as often as all jobs of the queue.
"""

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp

from sesameladder.jobs._job import Job

# Lower bounds of the bands of large jobs, as quantiles of a queue's recent jobs: users
# look at the largest tenth and at the fifth below it.
BAND_QUANTILES = (0.7, 0.9)
# The share of a band's jobs that begin, compared with that of all jobs. Users ask for
# half; some jobs that begin don't end in time.
LEAST_RELATIVE_SHARE = 0.8
MEMORY_S = 8.0  # about the length of a demand peak
RECENT_JOBS = 200  # from which the quantiles are taken; a demand peak has over 100
MIN_OFFERED = 3.0  # jobs of a band, before their share says anything
# Share of all jobs that miss their target before they begin. Below it, waiting large
# jobs still get their turn, and sending them first would only delay others.
MIN_MISSED_SHARE = 0.02


@dataclass(slots=True)
class JobCounts:
    """Recent jobs of one queue: their work, and weighted numbers by band.

    Band 0 holds the jobs below ``BAND_QUANTILES``.
    """

    recent: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_JOBS))
    """Work in core-seconds, oldest first."""

    ordered: list[float] = field(default_factory=list)
    """The same, in ascending order."""

    offered: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    begun: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    missed: float = 0.0
    """Jobs that had not begun when they could no longer be in time."""

    counted_at: float = 0.0
    """Steady time of the latest change in seconds."""

    def find_band(self, core_s: float) -> int:
        """Return the band of a job and add its work to the recent ones."""
        if len(self.recent) == RECENT_JOBS:
            del self.ordered[bisect_left(self.ordered, self.recent[0])]
        self.recent.append(core_s)
        insort(self.ordered, core_s)
        rank = bisect_left(self.ordered, core_s) / len(self.ordered)
        return sum(rank >= quantile for quantile in BAND_QUANTILES)

    def is_starved(self, band: int) -> bool:
        """Return whether the jobs of a band begin too seldom."""
        if self.offered[band] < MIN_OFFERED:
            return False
        if self.missed < MIN_MISSED_SHARE * sum(self.offered):
            return False
        share = self.begun[band] / self.offered[band]
        return share < LEAST_RELATIVE_SHARE * sum(self.begun) / sum(self.offered)

    def fade(self, now: float) -> None:
        """Reduce the numbers by the time that has passed."""
        factor = exp((self.counted_at - now) / MEMORY_S)
        self.counted_at = now
        self.offered = [count * factor for count in self.offered]
        self.begun = [count * factor for count in self.begun]
        self.missed *= factor


@dataclass(slots=True)
class SizeFairness:
    """Counts the jobs of each queue and chooses the large ones that go first."""

    by_queue: dict[str, JobCounts] = field(default_factory=dict)

    def record_offer(self, job: Job, core_s: float, now: float) -> None:
        """Count a job that arrives with ``core_s`` core-seconds of work."""
        counts = self.by_queue.setdefault(
            job.submission.queue, JobCounts(counted_at=now)
        )
        counts.fade(now)
        job.size_band = counts.find_band(core_s)
        counts.offered[job.size_band] += 1

    def record_begin(self, job: Job, now: float) -> None:
        """Count a job of which the first subtask is started, or which goes first."""
        counts = self.by_queue.get(job.submission.queue)
        if counts is not None and not job.goes_first:
            counts.fade(now)
            counts.begun[job.size_band] += 1

    def record_miss(self, job: Job, now: float) -> None:
        """Count a job, once, that has not begun and can no longer end in time."""
        counts = self.by_queue.get(job.submission.queue)
        if counts is not None and not job.has_missed_target:
            job.has_missed_target = True
            counts.fade(now)
            counts.missed += 1

    def choose(self, waiting: Iterable[Job], now: float) -> list[Job]:
        """Return the large jobs that go first from now on, and mark them.

        ``waiting`` are jobs that have not begun and can still end in time. The
        youngest are chosen: they have the most time left for all their subtasks.
        """
        candidates = [job for job in waiting if job.size_band and not job.goes_first]
        candidates.sort(key=lambda job: job.accepted_at, reverse=True)
        chosen = []
        for job in candidates:
            if self.by_queue[job.submission.queue].is_starved(job.size_band):
                self.record_begin(job, now)
                job.goes_first = True
                chosen.append(job)
        return chosen
