"""Jobs of one pool, their steps and the state of every subtask."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from sesameladder.jobs._model import (
    AdvicePolicy,
    JobRecord,
    JobSpec,
    JobState,
    StepSpec,
    SubtaskId,
)


@dataclass(slots=True, eq=False)
class Subtask:
    """One subtask and what is known of its runs."""

    id: SubtaskId
    step: "Step"
    is_done: bool = False
    is_placed: bool = False
    """Whether a run of it may be present on a worker."""

    failed_runs: set[int] = field(default_factory=set)
    """Numbers of the runs that failed; a worker may list an end more than once."""

    last_run: int = 0
    """Highest run number that is known to have been used."""

    checkpoint: str = ""
    not_before: float = 0.0
    """Time before which it isn't started again, in steady seconds."""

    failed_workers: set[str] = field(default_factory=set)
    """Workers on which it failed."""

    @property
    def failures(self) -> int:
        """Return the number of runs that ended by a failure."""
        return len(self.failed_runs)


@dataclass(slots=True, eq=False)
class Step:
    """One step of one occurrence."""

    job: "Job"
    occurrence: int
    number: int
    spec: StepSpec
    subtasks: list[Subtask] = field(default_factory=list)
    remaining: int = 0
    """Subtasks that haven't ended done."""

    waiting: dict[SubtaskId, Subtask] = field(default_factory=dict)
    """Subtasks that may be started and have no run."""

    is_open: bool = False
    """Whether all earlier steps are done and the time has come."""

    checkpoint: str = ""
    """Latest progress of a gang; any member's is good for all."""

    @property
    def key(self) -> tuple[str, int, int]:
        """Return job, occurrence and step number."""
        return self.job.id, self.occurrence, self.number


@dataclass(slots=True, eq=False)
class Submission:
    """A job as it was accepted."""

    job: str
    queue: str
    spec: JobSpec
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_offset_ms: int = 0
    advice: AdvicePolicy | None = None
    revision: int = 0
    """Revision of the store at which it was accepted."""


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job."""

    submission: Submission
    accepted_at: float
    """Steady time at which the first attempt is taken to have been sent."""

    state: JobState = JobState.QUEUED
    steps: dict[tuple[int, int], Step] = field(default_factory=dict)
    """Steps by occurrence and number."""

    unfinished: int = 0
    """Steps with subtasks that haven't ended done."""

    @property
    def id(self) -> str:
        """Return the client's identifier of the job."""
        return self.submission.job

    @property
    def is_long_running(self) -> bool:
        """Return whether a step runs until the job is cancelled."""
        return any(step.is_long_running for step in self.submission.spec.steps)

    def iterate_subtasks(self) -> Iterator[Subtask]:
        """Yield all subtasks."""
        for step in self.steps.values():
            yield from step.subtasks


class JobTable:
    """Open jobs, and the states of ended ones."""

    __slots__ = ("ended", "jobs", "open_steps", "timed_steps")

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.ended: dict[str, tuple[JobState, float]] = {}
        """State and time of the end, by job."""

        self.open_steps: dict[tuple[str, int, int], Step] = {}
        """Steps with subtasks that wait for a worker."""

        self.timed_steps: list[tuple[float, Step]] = []
        """Steps of occurrences that aren't due yet, with their wall time."""

    def add(self, submission: Submission, record: JobRecord | None, now: float) -> Job:
        """Add an accepted job with its stored progress; ``now`` is steady time."""
        job = Job(submission, now)
        spec = submission.spec
        for occurrence in range(max(1, spec.occurrences)):
            for number, step_spec in enumerate(spec.steps):
                step = _build_step(job, occurrence, number, step_spec, record)
                job.steps[occurrence, number] = step
                job.unfinished += step.remaining > 0
        self.jobs[job.id] = job
        if record is not None and (record.done_subtasks or record.failed_runs):
            job.state = JobState.RUNNING
        for step in job.steps.values():
            self._open_if_ready(step)
        return job

    def open_due(self, wall_ms: float) -> None:
        """Open the steps of occurrences whose time has come."""
        due = [step for at, step in self.timed_steps if at <= wall_ms]
        if due:
            self.timed_steps = [row for row in self.timed_steps if row[0] > wall_ms]
        for step in due:
            if step.job.id in self.jobs:
                self._open_if_ready(step, is_due=True)

    def find(self, subtask: SubtaskId) -> Subtask | None:
        """Return a subtask of an open job, if it exists."""
        job = self.jobs.get(subtask.job)
        if job is None:
            return None
        step = job.steps.get((subtask.occurrence, subtask.step))
        if step is None or not 0 <= subtask.position < len(step.subtasks):
            return None
        return step.subtasks[subtask.position]

    def set_waiting(self, subtask: Subtask) -> None:
        """Let a subtask without a run be started again."""
        subtask.is_placed = False
        step = subtask.step
        if subtask.is_done or not step.is_open or step.job.id not in self.jobs:
            return
        step.waiting[subtask.id] = subtask
        self.open_steps[step.key] = step

    def set_placed(self, subtask: Subtask) -> None:
        """Take a subtask out of the waiting ones."""
        subtask.is_placed = True
        step = subtask.step
        step.waiting.pop(subtask.id, None)
        if not step.waiting:
            self.open_steps.pop(step.key, None)

    def set_done(self, subtask: Subtask) -> bool:
        """Note the end of a subtask; True when it was the last of its job."""
        if subtask.is_done:
            return False
        subtask.is_done = True
        self.set_placed(subtask)
        step = subtask.step
        step.remaining -= 1
        if step.remaining:
            return False
        job = step.job
        job.unfinished -= 1
        for later in job.steps.values():
            if later.occurrence == step.occurrence and not later.is_open:
                self._open_if_ready(later)
        return job.unfinished == 0

    def end(self, job: Job, state: JobState, now: float) -> None:
        """Move a job to the ended ones."""
        job.state = state
        del self.jobs[job.id]
        self.ended[job.id] = (state, now)
        for step in job.steps.values():
            self.open_steps.pop(step.key, None)

    def count_pending(self) -> dict[str, int]:
        """Return the number of jobs that haven't begun, by queue."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if job.state is JobState.QUEUED:
                queue = job.submission.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def _open_if_ready(self, step: Step, is_due: bool = False) -> None:
        spec = step.job.submission.spec
        steps = step.job.steps
        if any(
            steps[step.occurrence, earlier].remaining for earlier in step.spec.after
        ):
            return
        if spec.occurrences and not is_due and not step.spec.after:
            due_ms = spec.first_due_ms + step.occurrence * spec.interval_ms
            self.timed_steps.append((due_ms, step))
            return
        step.is_open = True
        for subtask in step.subtasks:
            # An earlier owner, which knew of ends first, may have started it.
            if not subtask.is_placed:
                self.set_waiting(subtask)


def _build_step(
    job: Job, occurrence: int, number: int, spec: StepSpec, record: JobRecord | None
) -> Step:
    step = Step(job, occurrence, number, spec)
    for index in range(spec.count):
        subtask = Subtask(SubtaskId(job.id, occurrence, number, index), step)
        if record is not None:
            subtask.is_done = subtask.id in record.done_subtasks
            subtask.failed_runs = set(record.failed_runs.get(subtask.id, ()))
        step.subtasks.append(subtask)
        step.remaining += not subtask.is_done
    return step
