"""What large jobs, and jobs with many occurrences, cost a pool's owner."""

import gc
import json
import tracemalloc
from dataclasses import replace
from typing import Any

import pytest

from sesameladder.jobs import (
    EndReason,
    JobSpec,
    JobState,
    PoolScheduler,
    ProgressInvalid,
    Resources,
    RunEnd,
    RunStatus,
    StartCommand,
    StepSpec,
    StopCommand,
    Submission,
    SubtaskId,
    WorkerReport,
    decode_progress,
    encode_progress,
)
from sesameladder.jobs._held_bytes import MAX_KEPT_OCCURRENCES
from sesameladder.jobs._ordering import StepRanking
from sesameladder.jobs.tests.test_rules import (
    JOB,
    build_record,
    build_scheduler,
    confirm_starts,
    list_starts,
    report_ends,
)

LARGEST_COUNT = 10_000
STEP = StepSpec(1, Resources(1000, 100), estimate_ms=500)
SLOTS = 4


def build_submission(count: int = 1, occurrences: int = 0) -> Submission:
    spec = JobSpec("", (replace(STEP, count=count),), occurrences)
    return Submission(JOB, "queue", spec, max_attempts=2)


def run_pass(scheduler: PoolScheduler, now: float) -> int:
    """Start what can start and report all of it as done; return the starts."""
    commands = scheduler.schedule(now, 1e12)
    confirm_starts(scheduler, commands, now)
    report_ends(scheduler, "i-1", EndReason.DONE, now + 0.1)
    return len(list_starts(commands))


@pytest.mark.parametrize(
    ("count", "occurrences"),
    [
        (1, 0),
        (1000, 0),
        (LARGEST_COUNT, 0),
        (1, 1_000_000),
        (10, 1_000_000),
        (LARGEST_COUNT, 1_000_000),
    ],
)
def test_memory_goes_with_what_can_start(count: int, occurrences: int) -> None:
    """Guards against a job of 50 bytes that takes the memory of its pool's owner.

    Each subtask of each occurrence was built when the job was accepted.
    """
    scheduler = build_scheduler(build_record(1))
    gc.collect()
    tracemalloc.start()
    scheduler.add_job(build_submission(count, occurrences), None, 0.0)
    scheduler.schedule(0.1, 1e12)
    scheduler.measure_load(0.1)
    scheduler.estimate_demand(0.0)
    taken_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # A thousand of the largest jobs have to fit on a VM with 200 MB for the process.
    assert taken_bytes < 500_000
    job = scheduler.job_table.jobs[JOB]
    assert sum(1 for _ in job.iterate_known()) <= SLOTS + 1


def test_subtasks_of_a_large_job_all_run_once() -> None:
    """Guards against subtasks that are passed over, or built twice."""
    scheduler = build_scheduler(build_record(1))
    scheduler.add_job(build_submission(count=50), None, 0.0)
    started: list[tuple[int, int, str]] = []
    now = 0.0
    while scheduler.job_table.jobs:
        now += 1.0
        commands = scheduler.schedule(now, now)
        confirm_starts(scheduler, commands, now)
        started += list_starts(commands)
        report_ends(scheduler, "i-1", EndReason.DONE, now + 0.1)
    assert sorted(position for _, position, _ in started) == list(range(50))
    assert scheduler.job_table.ended[JOB][0] is JobState.DONE


def test_failed_subtask_of_a_large_job_runs_again() -> None:
    scheduler = build_scheduler(build_record(1))
    scheduler.add_job(build_submission(count=20), None, 0.0)
    commands = scheduler.schedule(0.0, 0.0)
    confirm_starts(scheduler, commands, 0.0)
    report_ends(scheduler, "i-1", EndReason.FAILED, 0.1)
    job = scheduler.job_table.jobs[JOB]
    assert sorted(s.id.position for s in job.iterate_known() if s.failures) == [
        position for _, position, _ in list_starts(commands)
    ]
    assert job.steps[0, 0].waiting_count == 20


def test_all_occurrences_run_and_old_ones_are_forgotten() -> None:
    """Guards against progress that grows with each occurrence of a job."""
    occurrences = 3 * MAX_KEPT_OCCURRENCES
    scheduler = build_scheduler(build_record(1))
    scheduler.add_job(build_submission(1, occurrences), None, 0.0)
    job = scheduler.job_table.jobs[JOB]
    starts = passes = 0
    while scheduler.job_table.jobs and passes < occurrences:
        starts += run_pass(scheduler, float(passes))
        passes += 1
        assert len(job.steps) <= 2 * MAX_KEPT_OCCURRENCES
        assert len(encode_progress(job)) < 10_000
    assert starts == occurrences
    assert scheduler.job_table.ended[JOB][0] is JobState.DONE


@pytest.mark.parametrize("done", [0, 7, MAX_KEPT_OCCURRENCES + 60])
def test_next_owner_goes_on_where_the_progress_ends(done: int) -> None:
    """Guards against occurrences that run again after a change of the owner."""
    occurrences = 2 * MAX_KEPT_OCCURRENCES
    submission = build_submission(1, occurrences)
    scheduler = build_scheduler(build_record(1))
    scheduler.add_job(submission, None, 0.0)
    job = scheduler.job_table.jobs[JOB]
    starts = 0
    now = 0.0
    while starts < done:
        now += 1.0
        starts += run_pass(scheduler, now)
    value = encode_progress(job)
    following = build_scheduler(build_record(1))
    following.add_job(submission, decode_progress(JOB, value, submission.spec), now)
    while following.job_table.jobs:
        now += 1.0
        starts += run_pass(following, now)
        assert starts <= occurrences
    assert starts == occurrences


def test_run_of_an_occurrence_beyond_the_stored_progress_is_adopted() -> None:
    """Guards against work that is stopped after a change of the owner.

    The earlier owner had built later occurrences than the stored progress allows,
    since it knew of more that were done.
    """
    submission = build_submission(1, 5 * MAX_KEPT_OCCURRENCES)
    scheduler = build_scheduler(build_record(1))
    scheduler.add_job(submission, None, 0.0)
    scheduler.schedule(0.0, 1e12)
    first = scheduler.job_table.jobs[JOB].next_occurrence
    subtask = SubtaskId(JOB, first + 10, 0, 0)
    running = (RunStatus(subtask, 9, "", 50),)
    scheduler.apply_report("i-1", WorkerReport(0, 1, running, ()), 1.0, 1.0)
    assert subtask in scheduler.runs
    commands = scheduler.schedule(1.0, 1e12)
    assert not any(
        isinstance(command, StopCommand) and command.subtask == subtask
        for command in commands
    )


@pytest.mark.parametrize(
    "subtask",
    [
        SubtaskId(JOB, 0, 0, LARGEST_COUNT),
        SubtaskId(JOB, 0, 0, -1),
        SubtaskId(JOB, 0, 1, 0),
        SubtaskId(JOB, 999_999, 0, 0),
        SubtaskId(JOB, -1, 0, 0),
    ],
)
def test_reported_subtask_that_does_not_exist_is_stopped(subtask: SubtaskId) -> None:
    """Guards against reports that make an owner build what nobody asked for."""
    scheduler = build_scheduler(build_record(1))
    scheduler.add_job(build_submission(LARGEST_COUNT, 1_000_000), None, 0.0)
    scheduler.schedule(0.0, 0.0)
    running = (RunStatus(subtask, 9, "", 50),)
    scheduler.apply_report("i-1", WorkerReport(0, 1, running, ()), 1.0, 1.0)
    assert subtask not in scheduler.runs
    assert StopCommand("i-1", subtask, 9) in scheduler.schedule(1.0, 0.0)
    assert len(scheduler.job_table.jobs[JOB].steps) <= 2


def test_late_failure_of_a_subtask_that_is_done_does_not_fail_its_job() -> None:
    """Guards against a job that is shown as failed although its work is done."""
    scheduler = build_scheduler(build_record(1), build_record(2))
    submission = build_submission(count=2)
    submission.max_attempts = 1
    scheduler.add_job(submission, None, 0.0)
    commands = scheduler.schedule(0.0, 0.0)
    confirm_starts(scheduler, commands, 0.0)
    start = next(c for c in commands if isinstance(c, StartCommand))
    subtask, run = start.order.subtask, start.order.run
    done = (RunEnd(1, subtask, run, EndReason.DONE, ""),)
    scheduler.apply_report(start.worker, WorkerReport(0, 1, (), done), 1.0, 1.0)
    other = next(name for name in scheduler.workers if name != start.worker)
    failed = (RunEnd(1, subtask, run + 1, EndReason.FAILED, ""),)
    scheduler.apply_report(other, WorkerReport(0, 1, (), failed), 2.0, 2.0)
    assert JOB in scheduler.job_table.jobs


def test_unreadable_job_ends_as_failed() -> None:
    scheduler = build_scheduler(build_record(1))
    scheduler.end_unstarted_job(JOB, "queue", JobState.FAILED, 0.0)
    assert scheduler.job_table.ended[JOB][0] is JobState.FAILED
    (job,) = scheduler.take_dirty_jobs()
    record = decode_progress(JOB, encode_progress(job), None)
    assert (record.queue, record.state) == ("queue", JobState.FAILED)


@pytest.mark.parametrize("place", ["rank", "choice"])
def test_error_about_one_job_costs_the_others_nothing(
    place: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one job whose error ends each pass of its pool."""
    events: list[str] = []
    scheduler = build_scheduler(build_record(1))
    scheduler.log_event = lambda event, **fields: events.append(event)
    other = "0" * 16
    for job in (JOB, other):
        submission = build_submission()
        submission.job = job
        scheduler.add_job(submission, None, 0.0)
    name = "rank" if place == "rank" else "_place_step"
    target = StepRanking if place == "rank" else PoolScheduler
    original = getattr(target, name)

    def fail_for_one(this: Any, step: Any, now: float) -> Any:
        if step.job.id == JOB:
            raise KeyError("unexpected")
        return original(this, step, now)

    monkeypatch.setattr(target, name, fail_for_one)
    started = set()
    for tick in range(20):
        commands = scheduler.schedule(tick * 0.1, 0.0)
        started |= {c.order.subtask.job for c in commands}  # type: ignore[union-attr]
    assert started == {other}
    assert events.count("job_set_aside") == 1
    monkeypatch.setattr(target, name, original)
    commands = scheduler.schedule(10.0, 0.0)
    assert {c.order.subtask.job for c in commands} == {JOB}  # type: ignore[union-attr]


def test_runs_of_a_gang_that_is_done_end_with_its_job() -> None:
    """Guards against runs that nobody stops any more.

    One end of a gang stands for all; the other members may still be listed as running
    when their job is cancelled.
    """
    scheduler = build_scheduler(build_record(1), build_record(2))
    steps = replace(STEP, count=2, gang=True), replace(STEP, after=(0,))
    submission = build_submission()
    submission.spec = JobSpec("", steps)
    scheduler.add_job(submission, None, 0.0)
    commands = scheduler.schedule(0.0, 0.0)
    confirm_starts(scheduler, commands, 0.0)
    first, other = (c for c in commands if isinstance(c, StartCommand))
    done = (RunEnd(1, first.order.subtask, first.order.run, EndReason.DONE, ""),)
    running = (RunStatus(other.order.subtask, other.order.run, "", 50),)
    report = WorkerReport(0, 1, running, done)
    scheduler.apply_report(first.worker, report, 0.0, 0.1)
    assert scheduler.job_table.jobs[JOB].steps[0, 1].is_open
    scheduler.cancel_job(JOB, 0.2)
    stop = StopCommand(other.worker, other.order.subtask, other.order.run)
    assert stop in scheduler.schedule(0.2, 0.0)


@pytest.mark.parametrize(
    ("fields", "is_valid"),
    [
        ({"done": {"0.0": "1", "1.0": "1", "300.0": "1"}}, True),
        ({"finished": 900_000, "done": {"900300.0": "1"}}, True),
        ({"done": {f"{n}.0": "1" for n in range(60_000)}}, True),
        ({"done": {"999999.0": "1"}}, False),
        ({"failed_runs": {"999999.0.0": [1]}}, False),
        ({"crashes": {"999999.0.0": [[1, "10.0.0.1:1", 1, 0]]}}, False),
        ({"finished": 1, "done": {"999999.0": "1"}}, False),
        ({"finished": -5}, False),
        ({"done": {"0.0": "-1"}}, False),
    ],
    ids=lambda value: str(value)[:50],
)
def test_record_that_names_a_far_occurrence_is_refused(
    fields: dict[str, Any], is_valid: bool
) -> None:
    """Guards against an odd record that takes the memory of each owner in turn.

    An owner builds all occurrences up to the last one that a record names.
    """
    spec = build_submission(1, 1_000_000).spec
    body = {"queue": "queue", "state": "running", **fields}
    value = json.dumps(body).encode()
    if is_valid:
        assert decode_progress(JOB, value, spec).has_begun
    else:
        with pytest.raises(ProgressInvalid):
            decode_progress(JOB, value, spec)
