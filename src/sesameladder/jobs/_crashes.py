"""Counts the ends and silences of workers against the subtasks that they had.

What follows from the counts is decided in ``_probation.py``.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sesameladder.jobs._durations import DurationTable
from sesameladder.jobs._job import Job, Subtask
from sesameladder.jobs._job_table import JobTable
from sesameladder.jobs._model import Crash
from sesameladder.jobs._probation import (
    Probation,
    find_culprits,
    find_suspects,
    is_ended_by_crash,
    must_give_up,
)
from sesameladder.jobs._runs import Run, WorkerView

MAX_LOGGED_SUSPECTS = 20


@dataclass(slots=True, eq=False)
class CrashRecorder:
    """Records crashes in the subtasks of a pool; shares the state of its owner."""

    job_table: JobTable
    durations: DurationTable
    probation: Probation
    dirty_jobs: dict[str, Job]
    is_current: Callable[[Run], bool]
    """Tells whether a run is a current run of its subtask."""

    log_event: Callable[..., None]

    def record(self, worker: WorkerView, now: float, has_ended: bool) -> list[Subtask]:
        """Count the end or silence of a worker against the subtasks it had.

        A silent worker may be cut off, so its silence alone is not conclusive. Returns
        the subtasks to give up. A worker that drains may have been stopped on purpose.
        """
        if worker.is_draining:
            return []
        lapsed = self._confirm_crashes(worker) if has_ended else []
        runs = [run for run in worker.runs.values() if self.is_current(run)]
        if not runs:
            return [subtask for subtask in lapsed if must_give_up(subtask)]
        noticed_at = worker.get_noticed_at(now)
        self.probation.record_crash(worker, noticed_at)
        suspects = find_suspects(worker.runs.values(), self.probation.suspects)
        certain = {
            run for run in runs if has_ended and self._is_ended_by(run, noticed_at)
        }
        culprits = [
            run
            for run in find_culprits(suspects, certain, noticed_at)
            if not self.probation.has_common_cause(run, noticed_at)
        ]
        for run in runs:
            subtask, is_suspect = run.subtask, run in suspects
            if not is_suspect and subtask.step.spec.is_long_running:
                continue
            subtask.retract_announcement()
            subtask.crashes[run.number] = Crash(
                worker.record.address,
                is_suspect,
                run in culprits,
                has_begun=has_ended and run.has_begun,
                is_certain=run in certain,
                age_ms=_describe_age(run),
            )
            if is_suspect:
                subtask.crashed_at = now
                self.probation.add(subtask)
                self.dirty_jobs[subtask.step.job.id] = subtask.step.job
        if suspects:
            logged = suspects[:MAX_LOGGED_SUSPECTS]
            self.log_event(
                "crash_suspected",
                worker=worker.id,
                suspects=[name_run(run) for run in logged],
                ages_ms=[_describe_age(run) for run in logged],
                count=len(suspects),
                certain=sum(run in certain for run in suspects),
                has_ended=has_ended,
                noticed_s_ago=round(now - noticed_at, 3),
                conclusive=bool(culprits),
            )
        counted = [*lapsed, *(run.subtask for run in runs)]
        return [subtask for subtask in counted if must_give_up(subtask)]

    def _is_ended_by(self, run: Run, noticed_at: float) -> bool:
        """Return whether a crash noticed at a time has certainly ended a run."""
        step = run.subtask.step
        expected_s = self.durations.estimate_duration(step.job.submission, step.number)
        return is_ended_by_crash(run, noticed_at, expected_s)

    def _confirm_crashes(self, worker: WorkerView) -> list[Subtask]:
        """Count the runs that were given up by silence, now that the worker has ended.

        Returns their subtasks. Other runs of these may be under way.
        """
        subtasks = []
        for run in worker.lapsed_runs:
            subtask, job = run.subtask, run.subtask.step.job
            crash = subtask.crashes.get(run.number)
            if crash is not None and run.has_begun and job.id in self.job_table.jobs:
                crash.has_begun = True
                self.dirty_jobs[job.id] = job
                subtasks.append(subtask)
        worker.lapsed_runs.clear()
        return subtasks

    def withdraw(self, worker: WorkerView) -> None:
        """Take back the crashes counted for a worker that was only silent."""
        for run in worker.lapsed_runs:
            subtask, job = run.subtask, run.subtask.step.job
            if subtask.crashes.pop(run.number, None) is None:
                continue
            if not any(crash.is_suspected for crash in subtask.crashes.values()):
                self.probation.suspects.pop(subtask.id, None)
            if job.id in self.job_table.jobs:
                self.dirty_jobs[job.id] = job
        worker.lapsed_runs.clear()


def name_run(run: Run) -> str:
    """Return the name of a run for log lines."""
    subtask = run.subtask.id
    path = f"{subtask.occurrence}.{subtask.step}.{subtask.position}"
    return f"{subtask.job}.{path} run {run.number}"


def _describe_age(run: Run) -> int | None:
    """Return for how many ms the worker is known to have had a run.

    None if no response of the worker has confirmed the run.
    """
    return None if run.confirmed_at is None else round(run.known_age_s * 1000)
