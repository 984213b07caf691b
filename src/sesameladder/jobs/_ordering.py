"""In which order steps get workers when a pool is short of room.

Answers the load in which a queue asks for about five times its mean for some
seconds, more than its pool holds. A job is worth most if it ends within its
target duration, little up to three times that, and nothing later. Jobs that can
still make their target go first, the least remaining work first among them:
that ends the most jobs in time. Work that is late already uses the lull after.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from sesameladder.jobs._book import Job, Step
from sesameladder.jobs._durations import DurationTable

OUTLOOK_S = 0.3  # a tenth of a target; ends of a step's subtasks change little of it
MAX_IDLE_OUTLOOKS = 200  # about 40 KB; spares a sweep at each pass
LATE_FACTOR = 3.0  # a job is worth nothing after this multiple of its target


Rank = tuple[int, int, float, float]
"""Urgency, priority, work left in core-seconds, time of acceptance."""


class Urgency(IntEnum):
    """Groups of steps; lower ones get workers first."""

    LASTING = 0
    IN_TIME = 1
    LATE = 2
    OVERDUE = 3
    FILLING = 4


def compute_target(job: Job, occurrence: int, durations: DurationTable) -> float:
    """Return the target duration of an occurrence in seconds."""
    submission = job.submission
    chain_s = durations.expect_chain(job, occurrence, only_left=False)
    return submission.stretch * chain_s + submission.target_offset_ms / 1000


@dataclass(slots=True)
class StepOutlook:
    """What a step's rank is worked out from; holds for a moment."""

    target_s: float
    left_s: float
    """Longest chain of work that is left."""

    work: float
    """Work that is left, in core-seconds."""

    valid_until: float


class StepRanking:
    """Ranks steps; remembers what is costly to work out.

    Answers turns of demand in which over a thousand steps wait: an owner on a small
    VM that worked out every chain anew after each report had no time for orders.
    """

    __slots__ = ("durations", "outlooks")

    def __init__(self, durations: DurationTable) -> None:
        self.durations = durations
        self.outlooks: dict[tuple[str, int, int], StepOutlook] = {}

    def sort(self, steps: Iterable[Step], now: float) -> list[tuple[Rank, Step]]:
        """Return the steps with their ranks, the most urgent first."""
        rows = [(self.rank(step, now), step) for step in steps]
        rows.sort(key=lambda row: row[0])
        if len(self.outlooks) > 2 * len(rows) + MAX_IDLE_OUTLOOKS:
            kept = {step.key for _, step in rows}
            self.outlooks = {k: o for k, o in self.outlooks.items() if k in kept}
        return rows

    def rank(self, step: Step, now: float) -> Rank:
        """Return a sort key: urgency, priority, work left, time of acceptance."""
        job = step.job
        priority = job.submission.priority
        if step.spec.is_best_effort:
            return Urgency.FILLING, priority, 0.0, job.accepted_at
        if step.spec.is_long_running:
            return Urgency.LASTING, priority, 0.0, job.accepted_at
        outlook = self.outlooks.get(step.key)
        if outlook is None or now >= outlook.valid_until:
            outlook = self.outlooks[step.key] = self._look_ahead(step, now)
        ends_after_s = now - job.accepted_at + outlook.left_s
        if ends_after_s <= outlook.target_s:
            urgency = Urgency.IN_TIME
        elif ends_after_s <= LATE_FACTOR * outlook.target_s:
            urgency = Urgency.LATE
        else:
            urgency = Urgency.OVERDUE
        return urgency, priority, outlook.work, job.accepted_at

    def _look_ahead(self, step: Step, now: float) -> StepOutlook:
        job, occurrence = step.job, step.occurrence
        return StepOutlook(
            compute_target(job, occurrence, self.durations),
            self.durations.expect_chain(job, occurrence, only_left=True),
            self.durations.expect_work(job, occurrence),
            now + OUTLOOK_S,
        )
