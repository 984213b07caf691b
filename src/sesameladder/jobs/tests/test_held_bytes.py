"""The estimate of a waiting job's memory, against the allocator's."""

import gc
import json
import tracemalloc

import pytest

from sesameladder.jobs import Submission, estimate_held_bytes
from sesameladder.jobs._held_bytes import count_open_occurrences
from sesameladder.jobs.tests.test_rules import build_record, build_scheduler
from sesameladder.platform import decode_job

JOBS = 20
STEP = {"count": 300, "cpu": 45_000, "memMb": 100, "estMs": 60_000}
BODIES = {
    "one step": {"spec": "x" * 3500, "steps": [{"count": 1, "cpu": 45_000}]},
    "wide steps": {"spec": "x", "steps": [STEP] * 30},
    "many steps": {"spec": "x", "steps": [{"count": 1, "cpu": 45_000}] * 500},
    "different steps": {
        "spec": "x",
        "steps": [{**STEP, "estMs": 1000 + n} for n in range(30)],
    },
    "steps in a row": {
        "spec": "x",
        "steps": [
            {"count": 1, "cpu": 45_000, **({"after": [n - 1]} if n else {})}
            for n in range(100)
        ],
    },
    "gang": {"spec": "x", "steps": [{**STEP, "gang": True}]},
    "occurrences": {"spec": "x", "steps": [STEP], "times": 30},
}


@pytest.mark.parametrize("kind", BODIES)
def test_estimate_covers_what_a_waiting_job_needs(kind: str) -> None:
    """Guards against an owner that holds more than its bound counts.

    The estimate may be up to four times as large: it has to hold for any job.
    """
    spec = decode_job(json.dumps(BODIES[kind]).encode())
    scheduler = build_scheduler(build_record(1))
    bodies = [json.dumps(BODIES[kind]).encode() for _ in range(JOBS)]
    gc.collect()
    tracemalloc.start()
    for number, body in enumerate(bodies):
        submission = Submission(f"{number:016x}", "queue", decode_job(body))
        scheduler.add_job(submission, None, 0.0)
    scheduler.schedule(0.1, 1e12)
    scheduler.schedule(1.0, 1e12)
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0] / JOBS
    tracemalloc.stop()
    estimate = estimate_held_bytes(spec)
    assert used_bytes <= estimate <= 4 * used_bytes + 3000
    assert scheduler.job_table.held_bytes >= JOBS * estimate


def test_ended_jobs_free_what_they_were_counted_with() -> None:
    """Guards against an owner that takes up less and less."""
    spec = decode_job(json.dumps(BODIES["wide steps"]).encode())
    scheduler = build_scheduler(build_record(1))
    for number in range(JOBS):
        submission = Submission(f"{number:016x}", "queue", spec)
        scheduler.add_job(submission, None, 0.0)
    for number in range(JOBS):
        scheduler.cancel_job(f"{number:016x}", 1.0)
    assert scheduler.job_table.held_bytes == 0
    assert scheduler.job_table.ended_bytes == JOBS * estimate_held_bytes(spec)


@pytest.mark.parametrize(
    ("times", "count", "opened"),
    [(0, 1, 1), (30, 1, 30), (1_000_000, 1, 400), (1_000_000, 10_000, 2)],
)
def test_open_occurrences_are_bounded(times: int, count: int, opened: int) -> None:
    body = {"spec": "", "steps": [{"count": count}], "times": times}
    assert count_open_occurrences(decode_job(json.dumps(body).encode())) == opened
