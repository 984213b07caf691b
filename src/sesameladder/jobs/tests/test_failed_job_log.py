"""Tests of the log lines that tell why a job is shown as failed."""

import pytest

from sesameladder.jobs import EndReason, JobState, RunEnd, SubtaskId
from sesameladder.jobs.tests.test_probation import CRASHING, Pool

SUBTASK = SubtaskId(CRASHING, 0, 0, 0)
MAX_ATTEMPTS = 3


def list_fields(pool: Pool, name: str) -> list[dict[str, object]]:
    """Return the fields of all events with a name."""
    return [fields for event, fields in pool.events if event == name]


def fail_runs(pool: Pool, count: int) -> None:
    for _ in range(count):
        while (worker := pool.find_worker(CRASHING)) is None:
            pool.step()
        number = pool.end_numbers[worker] = pool.end_numbers.get(worker, 0) + 1
        run = pool.runs[worker].pop(SUBTASK)
        pool.report(worker, RunEnd(number, SUBTASK, run, EndReason.FAILED, ""))


@pytest.mark.parametrize("changes_owner", [False, True], ids=["same owner", "next"])
def test_line_names_the_failed_runs(changes_owner: bool) -> None:
    """Guards against a failed job whose log line has no counts."""
    pool = Pool(workers=4)
    pool.submit(CRASHING)
    fail_runs(pool, MAX_ATTEMPTS - changes_owner)
    if changes_owner:
        # The last owner has stored the last attempt and ended before it ended the job.
        (subtask,) = pool.scheduler.job_table.jobs[CRASHING].iterate_known()
        subtask.failed_runs.add(subtask.last_run + 1)
        pool.store()
        pool.take_over()
    assert pool.get_state(CRASHING) is JobState.FAILED
    (fields,) = list_fields(pool, "job_failed")
    assert fields["max_attempts"] == MAX_ATTEMPTS
    assert len(fields["failed_runs"]) == MAX_ATTEMPTS
    assert fields["crashes"] == 0


def test_line_names_the_runs_and_ages_of_the_crashes() -> None:
    """Guards against crashes that are counted without a trace of what they ended."""
    pool = Pool(workers=4)
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING)
    pool.step(5.0)
    (fields,) = list_fields(pool, "job_failed")
    assert fields["failed_runs"] == []
    assert fields["crash_runs"] == [
        [run, f"10.0.0.{run - 1}:1", "conclusive", 0] for run in (1, 2)
    ]
    suspected = list_fields(pool, "crash_suspected")
    assert [fields["ages_ms"] for fields in suspected] == [[0], [0]]
