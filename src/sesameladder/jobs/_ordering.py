"""In which order steps get workers when a pool is short of room.

Answers the load in which a queue asks for about five times its mean for some
seconds, more than its pool holds. A job is worth most if it ends within its
target duration, little up to three times that, and nothing later. Jobs that can
still make their target go first, the least remaining work first among them:
that ends the most jobs in time. Work that is late already uses the lull after.
"""

from enum import IntEnum

from sesameladder.jobs._book import Job, Step
from sesameladder.jobs._durations import DurationTable

LATE_FACTOR = 3.0  # a job is worth nothing after this multiple of its target


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
    return submission.stretch * chain_s + submission.goal_ms / 1000


def rank_step(
    step: Step, durations: DurationTable, now: float
) -> tuple[int, int, float, float]:
    """Return a sort key: urgency, priority, work left, time of acceptance."""
    job = step.job
    priority = job.submission.priority
    if step.spec.fills:
        return Urgency.FILLING, priority, 0.0, job.accepted_at
    if step.spec.lasting:
        return Urgency.LASTING, priority, 0.0, job.accepted_at
    target_s = compute_target(job, step.occurrence, durations)
    left_s = durations.expect_chain(job, step.occurrence, only_left=True)
    age_s = now - job.accepted_at
    work = durations.expect_work(job, step.occurrence)
    if age_s + left_s <= target_s:
        urgency = Urgency.IN_TIME
    elif age_s + left_s <= LATE_FACTOR * target_s:
        urgency = Urgency.LATE
    else:
        urgency = Urgency.OVERDUE
    return urgency, priority, work, job.accepted_at
