"""Submissions that arrive again after the route of their queue has changed."""

from collections.abc import Iterator
from dataclasses import replace

import pytest

from sesameladder.jobs import Configuration, JobState
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._intake import (
    Accepted,
    Cancelled,
    Found,
    Intake,
    NotFound,
    Result,
)
from sesameladder.node._keys import (
    accepted_key,
    cancel_key,
    progress_key,
    submission_key,
)
from sesameladder.node.tests.builders import build_pool_task
from sesameladder.node.tests.test_intake import BODY, JOB, QUEUE
from sesameladder.platform import CallRejected, StoreClient, StoredItem
from sesameladder.standins.system import SystemStandin

EARLIER = QUEUE.pool
RENAMED = replace(QUEUE, name="r-2", pool="other")
REDIRECTED = replace(QUEUE, pool="other")
RUNNING = b'{"queue": "q", "state": "running", "done": []}'
DONE = b'{"queue": "q", "state": "done", "done": []}'
UNCONFIGURED = Configuration(2, (RENAMED,), {}, 1000)
TIME_LIMIT_S = 2.0


class StoreWithoutReads(StoreClient):
    """Rejects all reads, as an overloaded store does."""

    def read(self, key: str) -> StoredItem | None:
        raise CallRejected(f"the store is busy: {key}")


@pytest.fixture(name="standin")
def _build_standin() -> Iterator[SystemStandin]:
    standin = SystemStandin(EARLIER, workers=0)
    standin.start()
    yield standin
    standin.stop()


def submit_to(intake: Intake, queue: object, body: bytes = BODY) -> Result:
    deadline = read_steady_clock() + TIME_LIMIT_S
    return intake.submit(queue, JOB, body, deadline)  # type: ignore[arg-type]


@pytest.mark.parametrize("queue", [RENAMED, REDIRECTED, QUEUE])
@pytest.mark.parametrize("progress", [None, RUNNING, DONE])
@pytest.mark.parametrize("has_submission", [True, False])
@pytest.mark.parametrize("store_class", [StoreClient, StoreWithoutReads])
def test_job_sent_again_after_a_change_of_its_route_remains_one_job(
    standin: SystemStandin,
    queue: object,
    progress: bytes | None,
    has_submission: bool,
    store_class: type[StoreClient],
) -> None:
    """Guards against a job that runs on the services of both routes.

    The record of a job lies under its pool. A process that had seen no submission of
    the queue before its route changed looked into the new pool only.
    """
    first = Intake(StoreClient.from_address(standin.address))
    assert submit_to(first, QUEUE) == Accepted(is_new=True)
    if progress is not None:
        standin.store.put(progress_key(EARLIER, JOB), progress)
    if not has_submission:
        first.store.commit((), (submission_key(EARLIER, JOB),))
    # A process whose store has responded lately doesn't read before it writes.
    store = store_class.from_address(standin.address)
    store.last_served_call_at = read_steady_clock()
    second = Intake(store)
    assert submit_to(second, queue) == Accepted(is_new=False)
    assert submission_key("other", JOB) not in standin.store.items
    assert second.pool_by_job[JOB] == EARLIER


@pytest.mark.parametrize("queue", [RENAMED, REDIRECTED])
def test_malformed_repetition_is_not_refused_as_not_run(
    standin: SystemStandin, queue: object
) -> None:
    """Guards against "has not run" about a job that runs on another service."""
    first = Intake(StoreClient.from_address(standin.address))
    submit_to(first, QUEUE)
    second = Intake(StoreClient.from_address(standin.address))
    assert submit_to(second, queue, b"[") == Accepted(is_new=False)


def test_job_is_found_in_a_pool_that_is_not_configured_any_more(
    standin: SystemStandin,
) -> None:
    """Guards against 410 for an accepted job whose service has been removed."""
    submit_to(Intake(StoreClient.from_address(standin.address)), QUEUE)
    standin.store.put(progress_key(EARLIER, JOB), RUNNING)
    other = Intake(StoreClient.from_address(standin.address))
    deadline = read_steady_clock() + TIME_LIMIT_S
    state = other.get_state(UNCONFIGURED, RENAMED, JOB, deadline)
    assert state == Found(JobState.RUNNING)
    assert other.cancel(UNCONFIGURED, RENAMED, JOB, deadline) == Cancelled()
    assert cancel_key(EARLIER, JOB) in standin.store.items


@pytest.mark.parametrize(
    "key", [submission_key(EARLIER, JOB), progress_key(EARLIER, JOB)]
)
def test_job_of_an_older_version_is_found_and_not_stored_again(
    standin: SystemStandin, key: str
) -> None:
    """Guards against lost jobs while processes are updated one after the other."""
    standin.store.put(key, RUNNING)
    intake = Intake(StoreClient.from_address(standin.address))
    deadline = read_steady_clock() + TIME_LIMIT_S
    configuration = Configuration(2, (QUEUE,), {}, 1000)
    state = intake.get_state(configuration, QUEUE, JOB, deadline)
    assert not isinstance(state, NotFound)
    other = Intake(StoreClient.from_address(standin.address))
    assert submit_to(other, QUEUE) == Accepted(is_new=False)


@pytest.mark.parametrize("value", [b"[]", b"\xff", b'{"pool": 3}'])
def test_unreadable_pool_of_an_accepted_job_does_not_end_the_request(
    standin: SystemStandin, value: bytes
) -> None:
    standin.store.put(accepted_key(JOB), value)
    standin.store.put(submission_key(EARLIER, JOB), b"")
    intake = Intake(StoreClient.from_address(standin.address))
    assert submit_to(intake, QUEUE) == Accepted(is_new=False)
    deadline = read_steady_clock() + TIME_LIMIT_S
    configuration = Configuration(2, (QUEUE,), {}, 1000)
    state = intake.get_state(configuration, QUEUE, JOB, deadline)
    assert state == Found(JobState.QUEUED)


def test_pool_of_a_job_is_forgotten_with_its_progress() -> None:
    """Guards against a key for each job that was ever accepted."""
    task = build_pool_task()
    task.scheduler.job_table.ended[JOB] = JobState.DONE, 0.0
    task._expire_progress(1000.0)
    assert set(task.keys_to_remove) == {progress_key("chair", JOB), accepted_key(JOB)}
