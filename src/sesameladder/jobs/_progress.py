"""Encoding of the stored progress of jobs as JSON."""

import json
from typing import Any

from sesameladder.jobs._job import Job
from sesameladder.jobs._model import Crash, JobRecord, JobSpec, JobState, SubtaskId

# Steps of occurrences that have begun without a subtask done or failed. Owners open
# fewer than half as many at a time; each takes about 0.5 KB.
MAX_UNNAMED_STEPS = 50_000


class ProgressInvalid(ValueError):
    """Raised when a stored progress record is malformed."""


def encode_progress(job: Job) -> bytes:
    """Encode the state of a job, its done subtasks, failed runs and crashes.

    A job in a final state is stored without subtasks and runs.
    """
    body: dict[str, Any] = {"queue": job.submission.queue, "state": job.state.value}
    if not job.state.is_final:
        if job.first_kept_occurrence:
            body["finished"] = job.first_kept_occurrence
        body["done"] = {
            f"{occurrence}.{number}": f"{step.done_mask:x}"
            for (occurrence, number), step in job.steps.items()
            if step.done_mask
        }
        body["failed_runs"] = {
            _encode_subtask_name(subtask.id): sorted(subtask.failed_runs)
            for subtask in job.iterate_known()
            if subtask.failed_runs
        }
        body["crashes"] = {
            _encode_subtask_name(subtask.id): _encode_crashes(subtask.crashes)
            for subtask in job.iterate_known()
            if subtask.crashes
        }
        # Beside the crashes, since earlier versions read four columns of those.
        body["crashes_under_runs"] = {
            _encode_subtask_name(subtask.id): rows
            for subtask in job.iterate_known()
            if (rows := _encode_crashes_under_runs(subtask.crashes))
        }
    return json.dumps(body, separators=(",", ":")).encode()


def decode_progress(job: str, value: bytes, spec: JobSpec | None) -> JobRecord:
    """Decode a progress record; raises ``ProgressInvalid``.

    Without the ``spec`` of the job only the queue and the state are read.
    """
    try:
        body = json.loads(value)
        record = JobRecord(job, body["queue"], spec or JobSpec("", ()))
        record.state = JobState(body["state"])
        if spec is not None:
            record.finished_occurrences = int(body.get("finished") or 0)
            record.done_masks = _decode_done(body.get("done") or {}, spec)
            for name, runs in (body.get("failed_runs") or {}).items():
                record.failed_runs[_decode_subtask_name(job, name)] = set(
                    map(int, runs)
                )
            for name, rows in (body.get("crashes") or {}).items():
                record.crashes[_decode_subtask_name(job, name)] = _decode_crashes(rows)
            for name, rows in (body.get("crashes_under_runs") or {}).items():
                crashes = record.crashes[_decode_subtask_name(job, name)]
                _apply_crashes_under_runs(crashes, rows)
            _check_occurrences(record, spec)
    except (
        ValueError,
        LookupError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ProgressInvalid(f"progress of job {job} is malformed") from error
    return record


def _check_occurrences(record: JobRecord, spec: JobSpec) -> None:
    """Raise ``ValueError`` if an owner would have to build too many occurrences.

    It builds all up to the last one that the record names.
    """
    first, named = record.finished_occurrences, record.list_named_occurrences()
    unnamed = max(named, default=first) - first - len(named)
    if first < 0 or unnamed * len(spec.steps) > MAX_UNNAMED_STEPS:
        raise ValueError(f"{unnamed} occurrences after {first} are not named")


def _decode_done(masks: dict[str, str], spec: JobSpec) -> dict[tuple[int, int], int]:
    """Return bit masks of the done subtasks, by occurrence and step number."""
    done = {}
    for name, text in masks.items():
        occurrence, number = map(int, name.split("."))
        mask = int(text, 16)
        if min(occurrence, number, mask) < 0:
            raise ValueError(f"{name} of the done subtasks is negative")
        done[occurrence, number] = mask & ((1 << spec.steps[number].count) - 1)
    return done


def _encode_crashes(crashes: dict[int, Crash]) -> list[list[Any]]:
    """Return rows of run number, address, is_suspected and is_conclusive."""
    return [
        [run, crash.address, int(crash.is_suspected), int(crash.is_conclusive)]
        for run, crash in crashes.items()
    ]


def _decode_crashes(rows: list[list[Any]]) -> dict[int, Crash]:
    return {
        int(run): Crash(str(address), bool(is_suspected), bool(is_conclusive))
        for run, address, is_suspected, is_conclusive in rows
    }


def _encode_crashes_under_runs(crashes: dict[int, Crash]) -> list[list[int | None]]:
    """Return rows of run number, is_certain, and age in ms, None if it is unknown.

    Crashes of workers on which the run may not have begun are left out.
    """
    return [
        [run, int(crash.is_certain), crash.age_ms]
        for run, crash in crashes.items()
        if crash.has_begun
    ]


def _apply_crashes_under_runs(crashes: dict[int, Crash], rows: list[list[Any]]) -> None:
    for run, is_certain, age_ms in rows:
        crash = crashes[int(run)]
        crash.has_begun, crash.is_certain = True, bool(is_certain)
        crash.age_ms = None if age_ms is None else int(age_ms)


def _encode_subtask_name(subtask: SubtaskId) -> str:
    return f"{subtask.occurrence}.{subtask.step}.{subtask.position}"


def _decode_subtask_name(job: str, name: str) -> SubtaskId:
    occurrence, step, position = map(int, name.split("."))
    return SubtaskId(job, occurrence, step, position)
