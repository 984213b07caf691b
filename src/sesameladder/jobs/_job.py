"""A job, its steps and the state of each subtask.

Subtasks are built when something happens to them. A job may have thousands, of which
only as many can run at a time as its pool has room for.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from sesameladder.jobs._model import (
    AdvicePolicy,
    Crash,
    JobSpec,
    JobState,
    StepSpec,
    SubtaskId,
)


@dataclass(slots=True, eq=False)
class Subtask:
    """A subtask with the state of its runs as this owner knows it."""

    id: SubtaskId
    step: "Step"
    is_done: bool = False
    is_placed: bool = False
    """Whether a run of this subtask may be present on a worker."""

    failed_runs: set[int] = field(default_factory=set)
    """Numbers of failed runs.

    A set, since a worker may report the same end more than once.
    """

    last_run: int = 0
    """Highest run number known to have been used."""

    checkpoint: str = ""
    """Latest checkpoint; empty before the first."""

    not_before: float = 0.0
    """Earliest time of the next start, in seconds of the steady clock."""

    failed_workers: set[str] = field(default_factory=set)
    """Identifiers of the workers on which a run failed."""

    restart_pause_s: float = 0.0
    """Time in seconds that the subtask waits after its latest failure.

    It grows with each early failure of a long-running subtask, under one owner.
    """

    crashes: dict[int, Crash] = field(default_factory=dict)
    """Crashes of workers under the subtask, by the number of the run they ended."""

    crashed_at: float = 0.0
    """Time at which the latest of them was known, in seconds of the steady clock."""

    announced_run: int = 0
    """Number of the run that is stored as a crash before it starts; 0 for none.

    Only starts of suspects are announced. An owner that ends before it has seen the
    outcome leaves a crash too many rather than one too few.
    """

    is_announcement_stored: bool = False

    encoded_run: int = 0
    """Number of the announced run in the progress that is being stored; 0 for none."""

    @property
    def failures(self) -> int:
        """Return the number of failed runs."""
        return len(self.failed_runs)

    def clear_suspicion(self) -> None:
        """Record that the subtask has crashed none of the workers under it."""
        self.retract_announcement()
        if self.step.spec.is_long_running:
            self.crashes.clear()
        for crash in self.crashes.values():
            crash.is_suspected = crash.is_conclusive = False

    def announce_run(self, number: int) -> None:
        """Count a run as a crash until its outcome is known."""
        self.retract_announcement()
        self.announced_run = number
        self.crashes[number] = Crash("", is_suspected=True, is_conclusive=False)

    def retract_announcement(self) -> None:
        """Take back the crash that was counted for a run before its outcome."""
        if self.announced_run:
            self.crashes.pop(self.announced_run, None)
        self.announced_run = 0
        self.is_announcement_stored = False


class Step:
    """One step of one occurrence of a job."""

    __slots__ = (
        "checkpoint",
        "done_mask",
        "failed_workers",
        "is_open",
        "job",
        "known",
        "next_unknown",
        "number",
        "occurrence",
        "remaining_subtasks",
        "spec",
        "urgency",
        "waiting",
    )

    def __init__(
        self,
        job: "Job",
        occurrence: int,
        number: int,
        spec: StepSpec,
        done_mask: int = 0,
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.done_mask = done_mask
        """Bit mask of the subtasks that are done, by position."""

        self.remaining_subtasks = spec.count - done_mask.bit_count()
        """Number of subtasks that are not done."""

        self.known: dict[int, Subtask] = {}
        """Subtasks that have been built and are not done, by position."""

        self.next_unknown = 0
        """Position from which ``iterate_waiting`` looks for subtasks to build."""

        self.waiting: dict[SubtaskId, Subtask] = {}
        """Known subtasks that may be started and have no run, by identifier."""

        self.is_open = False
        """Whether all steps before it are done and its occurrence is due."""

        self.urgency = 0
        """``Urgency`` at the latest ranking; 0 before the first.

        A step is ranked while it has waiting subtasks.
        """

        self.failed_workers: set[str] = set()
        """Workers on which a long-running step has failed early, by identifier."""

        self.checkpoint = ""
        """Latest checkpoint of a gang; a checkpoint of any member restores all."""

    @property
    def key(self) -> tuple[str, int, int]:
        """Return the job, the occurrence and the step number."""
        return self.job.id, self.occurrence, self.number

    @property
    def waiting_count(self) -> int:
        """Return the number of subtasks that may be started and have no run."""
        if not self.is_open:
            return 0
        unknown_count = self.remaining_subtasks - len(self.known)
        return len(self.waiting) + unknown_count

    @property
    def subtasks(self) -> list[Subtask]:
        """Return all subtasks, for steps that need each of them, such as gangs."""
        return [self.get_subtask(position) for position in range(self.spec.count)]

    def is_done(self, position: int) -> bool:
        """Return whether the subtask at a position is done."""
        return bool(self.done_mask >> position & 1)

    def get_subtask(self, position: int) -> Subtask:
        """Return the subtask at a position, which is built if it isn't known."""
        subtask = self.known.get(position)
        if subtask is not None:
            return subtask
        subtask_id = SubtaskId(self.job.id, self.occurrence, self.number, position)
        subtask = Subtask(subtask_id, self, is_done=self.is_done(position))
        if not subtask.is_done:
            self.known[position] = subtask
            self.job.built_subtasks += 1
            if self.is_open:
                self.waiting[subtask_id] = subtask
        return subtask

    def iterate_waiting(self, may_build: bool = True) -> Iterator[Subtask]:
        """Yield the waiting subtasks, and build the unknown ones as they are needed.

        Without ``may_build`` the unknown ones are left for later. Subtasks may be
        placed between two of them, but not set to wait.
        """
        yield from list(self.waiting.values())
        while may_build and self.is_open and self.next_unknown < self.spec.count:
            position = self.next_unknown
            self.next_unknown += 1
            if position not in self.known and not self.is_done(position):
                yield self.get_subtask(position)

    def count_failures(self, subtask: Subtask) -> int:
        """Return the number of failed attempts that count for a subtask.

        A gang fails as a whole: members that fail in the same run fail once.
        """
        if not self.spec.gang:
            return subtask.failures
        return len({run for member in self.subtasks for run in member.failed_runs})

    def set_done(self, subtask: Subtask) -> None:
        """Mark a subtask as done and forget what is known of it."""
        subtask.is_done = True
        self.waiting.pop(subtask.id, None)
        if self.known.pop(subtask.id.position, None) is not None:
            self.job.built_subtasks -= 1
        self.done_mask |= 1 << subtask.id.position
        self.remaining_subtasks -= 1


@dataclass(slots=True, eq=False)
class Submission:
    """A job with the policy of its queue at the time of acceptance."""

    job: str
    queue: str
    spec: JobSpec
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_offset_ms: int = 0
    advice: AdvicePolicy | None = None
    revision: int = 0
    """Store revision at which the job was accepted."""

    organisation: str = ""
    """Name of the organisation that sent the job; empty for none."""


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job with its state and its steps."""

    submission: Submission
    accepted_at: float
    """Time of acceptance, in seconds of the steady clock.

    Taken as the time at which the caller sent its first attempt.
    """

    state: JobState = JobState.QUEUED
    steps: dict[tuple[int, int], Step] = field(default_factory=dict)
    """Steps by occurrence and step number, of the occurrences that are built."""

    first_kept_occurrence: int = 0
    """Occurrence before which all are done and forgotten."""

    next_occurrence: int = 0
    """First occurrence that has not been built."""

    is_awaiting_time: bool = False
    """Whether the next occurrence waits until it is due."""

    unfinished_steps: int = 0
    """Number of built steps with subtasks that are not done."""

    size_band: int = 0
    """Band of its work among the jobs of its queue; 0 for all but the large ones."""

    has_missed_target: bool = False
    """Whether it had not begun when it could no longer end in time."""

    goes_first: bool = False
    """Whether it precedes smaller jobs; see ``SizeFairness``."""

    is_within_rate: bool = True
    """Whether it came within its organisation's rate; see ``Shares``."""

    waiting_bytes: int = 0
    """Memory that it needs while it waits, as estimated."""

    waiting_subtasks: int = 0
    """Number of subtasks that ``waiting_bytes`` includes."""

    built_subtasks: int = 0
    """Number of subtasks that have been built and are not done."""

    @property
    def id(self) -> str:
        """Return the job identifier that the caller chose."""
        return self.submission.job

    @property
    def is_long_running(self) -> bool:
        """Return whether any step runs until the job is cancelled."""
        return any(step.is_long_running for step in self.submission.spec.steps)

    @property
    def occurrences(self) -> int:
        """Return the number of times that the steps run."""
        return max(1, self.submission.spec.occurrences)

    @property
    def is_finished(self) -> bool:
        """Return whether all subtasks of all occurrences are done."""
        return not self.unfinished_steps and self.next_occurrence >= self.occurrences

    def iterate_known(self) -> Iterator[Subtask]:
        """Yield the subtasks that something has happened to and that are not done."""
        for step in self.steps.values():
            yield from list(step.known.values())
