"""Memory that an owner needs for the jobs that it holds.

The load is clients that submit sound jobs which have to wait, as many as they can. The
figures are upper estimates for the objects of CPython 3.11 on a 64-bit machine;
``tests/test_held_bytes.py`` compares them with what the allocator shows.
"""

from sesameladder.jobs._model import JobSpec

JOB_BYTES = 3000  # of a job without steps: submission, job, entries of tables
STEP_SPEC_BYTES = 700  # of a step's specification; equal ones of a job are one object
STEP_BYTES = 1200  # of an open step: its state and its rank
SUBTASK_BYTES = 1600  # of a subtask that is built, with its run
# Done occurrences are forgotten, oldest first, once a job has built more than this many
# subtasks or occurrences; at twice as many, no more are opened.
MAX_BUILT_SUBTASKS = 10_000
# A late report about a forgotten occurrence counts as one about an unknown run.
MAX_KEPT_OCCURRENCES = 200


def estimate_held_bytes(spec: JobSpec) -> int:
    """Return the bytes of memory that an owner needs for a job while it waits."""
    steps = len(spec.steps) * count_open_occurrences(spec)
    return (
        JOB_BYTES
        + len(spec.payload.encode())
        + len(set(spec.steps)) * STEP_SPEC_BYTES
        + steps * STEP_BYTES
        + count_waiting_subtasks(spec) * SUBTASK_BYTES
    )


def count_waiting_subtasks(spec: JobSpec) -> int:
    """Return how many subtasks of a job are built while it waits, at most.

    Of a step the first one is, of a gang all are.
    """
    first = sum(step.count if step.gang else 1 for step in spec.steps)
    return first * count_open_occurrences(spec)


def count_open_occurrences(spec: JobSpec) -> int:
    """Return how many occurrences of a job an owner has open at a time, at most."""
    return max(1, min(spec.occurrences, 2 * count_kept_occurrences(spec)))


def count_kept_occurrences(spec: JobSpec) -> int:
    """Return how many of a job's built occurrences are kept when they are done."""
    subtasks = sum(step.count for step in spec.steps)
    return max(1, min(MAX_KEPT_OCCURRENCES, MAX_BUILT_SUBTASKS // max(1, subtasks)))
