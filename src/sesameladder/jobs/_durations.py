"""Learned durations of subtasks, since the clients' estimates are far off."""

from dataclasses import dataclass, field
from math import sqrt

from sesameladder.jobs._book import Job, Step, Submission

SAMPLE_WEIGHT = 0.1  # a turn of demand brings over 20 ends of a queue within seconds
MIN_SAMPLES = 5  # fewer ends than this say less than the client's estimate
DEFAULT_DURATION_S = 1.0  # used where neither ends nor an estimate are known


@dataclass(slots=True)
class RatioEstimate:
    """Mean of actual durations against estimated ones, and of the durations."""

    ratio: float = 1.0
    mean_s: float = DEFAULT_DURATION_S
    samples: int = 0

    def add(self, actual_s: float, estimated_s: float) -> None:
        """Take one run that ended done into account."""
        weight = max(SAMPLE_WEIGHT, 1 / (self.samples + 1))
        if estimated_s > 0:
            self.ratio += weight * (actual_s / estimated_s - self.ratio)
        self.mean_s += weight * (actual_s - self.mean_s)
        self.samples += 1


@dataclass(slots=True)
class DurationTable:
    """Expected durations by queue and image."""

    by_kind: dict[tuple[str, str], RatioEstimate] = field(default_factory=dict)

    def add(self, step: Step, actual_s: float) -> None:
        """Take one run that ended done into account."""
        kind = step.job.submission.queue, step.spec.image
        estimate = self.by_kind.setdefault(kind, RatioEstimate())
        estimate.add(actual_s, step.spec.estimate_ms / 1000)

    def estimate_duration(self, submission: Submission, number: int) -> float:
        """Return the expected duration of a step's subtasks in seconds.

        The client's estimate is off by a random factor for each job; halfway
        between it and the mean of the queue errs less than either.
        """
        spec = submission.spec.steps[number]
        estimated_s = spec.estimate_ms / 1000
        learned = self.by_kind.get((submission.queue, spec.image))
        if learned is None or learned.samples < MIN_SAMPLES:
            return estimated_s or DEFAULT_DURATION_S
        if not estimated_s:
            return learned.mean_s
        return sqrt(learned.mean_s * estimated_s * learned.ratio)

    def estimate_critical_path(
        self, job: Job, occurrence: int, only_remaining: bool
    ) -> float:
        """Return the longest chain of work of an occurrence in seconds."""
        path_ends_s: list[float] = []
        for number, spec in enumerate(job.submission.spec.steps):
            remaining = job.steps[occurrence, number].remaining > 0
            step_s = (
                self.estimate_duration(job.submission, number)
                if remaining or not only_remaining
                else 0
            )
            path_ends_s.append(
                step_s + max((path_ends_s[step] for step in spec.after), default=0.0)
            )
        return max(path_ends_s, default=0.0)

    def estimate_remaining_work(self, job: Job, occurrence: int) -> float:
        """Return the work that is left of an occurrence in core-seconds."""
        total = 0.0
        for number, spec in enumerate(job.submission.spec.steps):
            remaining = job.steps[occurrence, number].remaining
            if remaining:
                cores = max(spec.needs.cpu_millis / 1000, spec.needs.gpus * 8)
                total += (
                    remaining * cores * self.estimate_duration(job.submission, number)
                )
        return total
