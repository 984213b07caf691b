"""Subtask durations learned from ended runs.

The estimates that callers submit are too inaccurate to be used alone.
"""

from dataclasses import dataclass, field
from math import sqrt

from sesameladder.jobs._job import Job, Step, Submission
from sesameladder.jobs._model import Resources

SAMPLE_WEIGHT = 0.1  # a demand peak yields over 20 ended runs of a queue in seconds
MIN_SAMPLES = 5  # with fewer ended runs the caller's estimate is more accurate
DEFAULT_DURATION_S = 1.0  # used without a caller's estimate and without samples


@dataclass(slots=True)
class RatioEstimate:
    """Moving averages for one queue and image.

    ``ratio`` averages the actual duration divided by the caller's estimate,
    ``mean_s`` the actual duration in seconds.
    """

    ratio: float = 1.0
    mean_s: float = DEFAULT_DURATION_S
    samples: int = 0

    def add(self, actual_s: float, estimated_s: float) -> None:
        """Add the duration of a successful run; an estimate of 0 is ignored."""
        weight = max(SAMPLE_WEIGHT, 1 / (self.samples + 1))
        if estimated_s > 0:
            self.ratio += weight * (actual_s / estimated_s - self.ratio)
        self.mean_s += weight * (actual_s - self.mean_s)
        self.samples += 1


def count_cores(needs: Resources) -> float:
    """Return the cores that a subtask takes; a GPU counts as 8 cores."""
    return max(needs.cpu_millis / 1000, needs.gpus * 8)


@dataclass(slots=True)
class DurationTable:
    """Expected subtask durations, by queue and image."""

    by_kind: dict[tuple[str, str], RatioEstimate] = field(default_factory=dict)

    def add(self, step: Step, actual_s: float) -> None:
        """Add the duration of a successful run of a step's subtask."""
        kind = step.job.submission.queue, step.spec.image
        estimate = self.by_kind.setdefault(kind, RatioEstimate())
        estimate.add(actual_s, step.spec.estimate_ms / 1000)

    def estimate_duration(self, submission: Submission, number: int) -> float:
        """Return the expected duration of a step's subtasks in seconds.

        The error of the caller's estimate varies from job to job. The geometric mean
        of the corrected estimate and the average duration of the queue has a smaller
        error than either of them.
        """
        spec = submission.spec.steps[number]
        estimated_s = spec.estimate_ms / 1000
        learned = self.by_kind.get((submission.queue, spec.image))
        if learned is None or learned.samples < MIN_SAMPLES:
            return estimated_s or DEFAULT_DURATION_S
        if not estimated_s:
            return learned.mean_s
        return sqrt(learned.mean_s * estimated_s * learned.ratio)

    def estimate_path(self, submission: Submission) -> float:
        """Return the critical path of a job of which nothing is done, in seconds."""
        path_ends_s: list[float] = []
        for number, spec in enumerate(submission.spec.steps):
            begin_s = max((path_ends_s[step] for step in spec.after), default=0.0)
            path_ends_s.append(begin_s + self.estimate_duration(submission, number))
        return max(path_ends_s, default=0.0)

    def estimate_work(self, submission: Submission) -> float:
        """Return the work of a job of which nothing is done, in core-seconds."""
        occurrence_core_s = sum(
            spec.count
            * count_cores(spec.needs)
            * self.estimate_duration(submission, number)
            for number, spec in enumerate(submission.spec.steps)
        )
        return occurrence_core_s * max(1, submission.spec.occurrences)

    def estimate_critical_path(
        self, job: Job, occurrence: int, only_remaining: bool
    ) -> float:
        """Return the length of an occurrence's critical path in seconds.

        With ``only_remaining`` the steps whose subtasks are all done count as 0.
        """
        path_ends_s: list[float] = []
        for number, spec in enumerate(job.submission.spec.steps):
            has_remaining = job.steps[occurrence, number].remaining_subtasks > 0
            step_s = (
                self.estimate_duration(job.submission, number)
                if has_remaining or not only_remaining
                else 0
            )
            path_ends_s.append(
                step_s + max((path_ends_s[step] for step in spec.after), default=0.0)
            )
        return max(path_ends_s, default=0.0)

    def estimate_subtask_work(self, job: Job, number: int) -> float:
        """Return the work of one subtask of a step in core-seconds."""
        cores = count_cores(job.submission.spec.steps[number].needs)
        return cores * self.estimate_duration(job.submission, number)

    def estimate_job_work(self, job: Job) -> float:
        """Return the remaining work of all occurrences of a job in core-seconds."""
        built = range(job.first_kept_occurrence, job.next_occurrence)
        built_core_s = sum(self.estimate_remaining_work(job, o) for o in built)
        occurrence_core_s = sum(
            spec.count * self.estimate_subtask_work(job, number)
            for number, spec in enumerate(job.submission.spec.steps)
        )
        return built_core_s + occurrence_core_s * (
            job.occurrences - job.next_occurrence
        )

    def estimate_remaining_work(self, job: Job, occurrence: int) -> float:
        """Return the remaining work of an occurrence in core-seconds."""
        return sum(
            remaining * self.estimate_subtask_work(job, number)
            for number in range(len(job.submission.spec.steps))
            if (remaining := job.steps[occurrence, number].remaining_subtasks)
        )
