"""The jobs of one pool, with the steps that wait for workers or for their time."""

from heapq import heappop, heappush
from itertools import count

from sesameladder.jobs._held_bytes import (
    SUBTASK_BYTES,
    count_kept_occurrences,
    count_waiting_subtasks,
    estimate_held_bytes,
)
from sesameladder.jobs._job import Job, Step, Submission, Subtask
from sesameladder.jobs._model import JobRecord, JobState, SubtaskId


class JobTable:
    """The open jobs of a pool, and the final states of ended jobs."""

    __slots__ = (
        "ended",
        "ended_bytes",
        "entry_numbers",
        "jobs",
        "may_build",
        "open_steps",
        "timed_occurrences",
        "waiting_bytes",
    )

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.ended: dict[str, tuple[JobState, float]] = {}
        """Final state and time of the end, by job identifier."""

        self.open_steps: dict[tuple[str, int, int], Step] = {}
        """Steps with subtasks that wait for a worker, by step key."""

        self.timed_occurrences: list[tuple[float, int, Job, int]] = []
        """Heap of the next occurrence of each job that waits until it is due.

        Due time, in milliseconds of the wall clock; number of the entry; job;
        occurrence.
        """

        self.entry_numbers = count()
        self.waiting_bytes = 0
        """Memory that the open jobs need while they wait, as estimated."""

        self.ended_bytes = 0
        """Memory that the jobs which have ended so far needed, as estimated."""

        self.may_build = True
        """Whether subtasks that are not known yet may be built and started."""

    @property
    def built_subtasks(self) -> int:
        """Return the number of subtasks that have been built and are not done."""
        return sum(job.built_subtasks for job in self.jobs.values())

    @property
    def held_bytes(self) -> int:
        """Return the memory that the open jobs need, as estimated."""
        further_subtasks = sum(
            max(0, job.built_subtasks - job.waiting_subtasks)
            for job in self.jobs.values()
        )
        return self.waiting_bytes + SUBTASK_BYTES * further_subtasks

    def knows(self, job: str) -> bool:
        """Return whether a job is open or has ended."""
        return job in self.jobs or job in self.ended

    def add(self, submission: Submission, record: JobRecord | None, now: float) -> Job:
        """Add an accepted job and restore its stored progress, if there is any.

        ``now`` is in seconds of the steady clock.
        """
        spec = submission.spec
        job = Job(
            submission,
            now,
            waiting_bytes=estimate_held_bytes(spec),
            waiting_subtasks=count_waiting_subtasks(spec),
        )
        self.jobs[job.id] = job
        self.waiting_bytes += job.waiting_bytes
        if record is not None:
            self._restore(job, record, now)
        self._build_occurrences(job)
        return job

    def open_due(self, wall_ms: float) -> None:
        """Open the steps of occurrences that are due at ``wall_ms``."""
        while self.timed_occurrences and self.timed_occurrences[0][0] <= wall_ms:
            _, _, job, occurrence = heappop(self.timed_occurrences)
            if self.jobs.get(job.id) is not job:
                continue
            job.is_awaiting_time = False
            if occurrence == job.next_occurrence:
                self._build_occurrence(job, occurrence)
            self._build_occurrences(job)

    def find(self, subtask: SubtaskId) -> Subtask | None:
        """Return a subtask of an open job, or None if there is no such subtask."""
        job = self.jobs.get(subtask.job)
        if job is None:
            return None
        # A worker may have been told to run it by an earlier owner, which knew that
        # more occurrences were done.
        limit = min(
            job.occurrences,
            job.next_occurrence + count_kept_occurrences(job.submission.spec),
        )
        if job.next_occurrence <= subtask.occurrence < limit:
            for occurrence in range(job.next_occurrence, subtask.occurrence + 1):
                self._build_occurrence(job, occurrence)
        step = job.steps.get((subtask.occurrence, subtask.step))
        if step is None or not 0 <= subtask.position < step.spec.count:
            return None
        return step.get_subtask(subtask.position)

    def set_waiting(self, subtask: Subtask) -> None:
        """Mark a subtask as having no run, so that it can be started again."""
        subtask.is_placed = False
        step = subtask.step
        if subtask.is_done or not step.is_open or step.job.id not in self.jobs:
            return
        step.waiting[subtask.id] = subtask
        self.open_steps[step.key] = step

    def set_placed(self, subtask: Subtask) -> None:
        """Mark a subtask as placed; it no longer waits for a worker."""
        subtask.is_placed = True
        step = subtask.step
        step.waiting.pop(subtask.id, None)
        if not step.waiting_count:
            self.open_steps.pop(step.key, None)

    def set_done(self, subtask: Subtask) -> bool:
        """Mark a subtask as done and open the steps that waited for it.

        Returns True if it was the last subtask of its job.
        """
        if subtask.is_done:
            return False
        step = subtask.step
        subtask.is_placed = True
        step.set_done(subtask)
        if not step.waiting_count:
            self.open_steps.pop(step.key, None)
        if step.remaining_subtasks:
            return False
        job = step.job
        job.unfinished_steps -= 1
        for later in _list_steps(job, step.occurrence):
            if not later.is_open:
                self._open_if_ready(later)
        if _is_occurrence_done(job, step.occurrence):
            _forget_old_occurrences(job)
            self._build_occurrences(job)
        return job.is_finished

    def end(self, job: Job, state: JobState, now: float) -> None:
        """Move a job from the open jobs to the ended ones."""
        job.state = state
        del self.jobs[job.id]
        self.waiting_bytes -= job.waiting_bytes
        self.ended_bytes += job.waiting_bytes
        self.ended[job.id] = (state, now)
        for step in job.steps.values():
            self.open_steps.pop(step.key, None)

    def count_pending(self) -> dict[str, int]:
        """Return the number of jobs that have not started, by queue."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if job.state is JobState.QUEUED:
                queue = job.submission.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def _restore(self, job: Job, record: JobRecord, now: float) -> None:
        """Build the occurrences that the stored progress names, and those before."""
        if record.has_begun:
            job.state = JobState.RUNNING
        job.first_kept_occurrence = min(record.finished_occurrences, job.occurrences)
        job.next_occurrence = job.first_kept_occurrence
        named = record.list_named_occurrences()
        for occurrence in range(
            job.next_occurrence, min(max(named, default=-1) + 1, job.occurrences)
        ):
            self._build_occurrence(job, occurrence, record)
        for subtask_id, runs in record.failed_runs.items():
            subtask = self.find(subtask_id)
            if subtask is not None:
                subtask.failed_runs = set(runs)
        for subtask_id, crashes in record.crashes.items():
            subtask = self.find(subtask_id)
            if subtask is not None:
                subtask.crashes = dict(crashes)
                subtask.crashed_at = now
        _forget_old_occurrences(job)

    def _build_occurrences(self, job: Job) -> None:
        """Build the next occurrence, or wait until it is due or there is room for it.

        Later occurrences follow when it is built, or an earlier one is done.
        """
        spec = job.submission.spec
        limit = job.first_kept_occurrence + 2 * count_kept_occurrences(
            job.submission.spec
        )
        while job.next_occurrence < min(job.occurrences, limit):
            if job.is_awaiting_time:
                return
            if spec.occurrences:
                job.is_awaiting_time = True
                due_ms = spec.first_due_ms + job.next_occurrence * spec.interval_ms
                entry = due_ms, next(self.entry_numbers), job, job.next_occurrence
                heappush(self.timed_occurrences, entry)
                return
            self._build_occurrence(job, job.next_occurrence)

    def _build_occurrence(
        self, job: Job, occurrence: int, record: JobRecord | None = None
    ) -> None:
        steps = []
        for number, spec in enumerate(job.submission.spec.steps):
            mask = record.done_masks.get((occurrence, number), 0) if record else 0
            step = Step(job, occurrence, number, spec, mask)
            job.steps[occurrence, number] = step
            job.unfinished_steps += step.remaining_subtasks > 0
            steps.append(step)
        job.next_occurrence = max(job.next_occurrence, occurrence + 1)
        for step in steps:
            self._open_if_ready(step)

    def _open_if_ready(self, step: Step) -> None:
        steps = step.job.steps
        if any(
            steps[step.occurrence, earlier].remaining_subtasks
            for earlier in step.spec.after
        ):
            return
        step.is_open = True
        for subtask in step.known.values():
            # A previous owner may have started it, if it read the ends of the earlier
            # steps first.
            if not subtask.is_placed:
                step.waiting[subtask.id] = subtask
        if step.waiting_count:
            self.open_steps[step.key] = step


def _list_steps(job: Job, occurrence: int) -> list[Step]:
    numbers = range(len(job.submission.spec.steps))
    return [job.steps[occurrence, number] for number in numbers]


def _is_occurrence_done(job: Job, occurrence: int) -> bool:
    return not any(step.remaining_subtasks for step in _list_steps(job, occurrence))


def _forget_old_occurrences(job: Job) -> None:
    kept = count_kept_occurrences(job.submission.spec)
    while job.next_occurrence - job.first_kept_occurrence > kept:
        oldest = _list_steps(job, job.first_kept_occurrence)
        if any(step.remaining_subtasks for step in oldest):
            return
        for step in oldest:
            del job.steps[step.occurrence, step.number]
        job.first_kept_occurrence += 1
