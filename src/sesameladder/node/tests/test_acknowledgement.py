"""What an owner does with the outcome of a write: ends to forget, suspects to start."""

from dataclasses import replace

import pytest

from sesameladder.jobs.tests.test_probation import CRASHING, Pool
from sesameladder.jobs.tests.test_rules import build_record
from sesameladder.node._clock import read_steady_clock
from sesameladder.node._pool_task import PROGRESS_INTERVAL_S
from sesameladder.node._pool_writer import WriteBatch, WriteDone
from sesameladder.node._worker_link import WorkerLink
from sesameladder.node.tests.builders import build_pool_task

WORKER = "i-1"


@pytest.mark.parametrize(("present_born_ms", "acknowledged"), [(1, 8), (2, 0)])
def test_ends_are_acknowledged_to_their_incarnation(
    present_born_ms: int, acknowledged: int
) -> None:
    """Guards against ends that a restarted worker forgets before they are read.

    Progress was being stored while the worker restarted, and the number of the last
    end of its earlier incarnation was acknowledged to the next one.
    """
    task = build_pool_task()
    record = replace(build_record(1), born_ms=1)
    task.scheduler.update_workers([record], 0.0)
    task.scheduler.workers[WORKER].last_applied_end = 8
    batch = WriteBatch((), (), (), task.scheduler.get_applied_ends())
    present = replace(record, born_ms=present_born_ms)
    task.links[WORKER] = WorkerLink(
        present, 9, 4000, 10_000, lambda: True, lambda _: None
    )
    task._apply_write_result(WriteDone(batch, True))
    assert task.links[WORKER].acknowledged_end == acknowledged


def test_ends_of_a_batch_that_was_not_stored_are_not_acknowledged() -> None:
    """Guards against ends that are lost to the next owner, which runs the work again.

    The writer had given a batch up and counted as free, while the message that said
    so was still queued; the pass under way found nothing to store.
    """
    task = build_pool_task()
    record = replace(build_record(1), born_ms=1)
    task.scheduler.update_workers([record], 0.0)
    task.scheduler.workers[WORKER].last_applied_end = 8
    task.links[WORKER] = WorkerLink(
        record, 9, 4000, 10_000, lambda: True, lambda _: None
    )
    task.tracked_workers = task.scheduler.list_tracked_workers(read_steady_clock())
    task.writer.write(WriteBatch((), (), (), task.scheduler.get_applied_ends()))
    task.writer.stop()  # before the batch is stored, which is then given up
    task.writer._run()
    task._write(read_steady_clock() + PROGRESS_INTERVAL_S)
    assert task.links[WORKER].acknowledged_end == 0
    task._process_messages()
    assert not task.writer.is_busy


def test_suspect_is_not_started_after_a_write_that_was_not_stored() -> None:
    """Guards against a crash count that is lost with a write without effect.

    The start of a suspect is announced in the store; the write is repeated first.
    """
    pool = Pool(workers=2)
    pool.submit(CRASHING)
    pool.step()
    (worker,) = {worker for _, worker in pool.starts}
    pool.crash(worker)
    pool.is_storing = False
    pool.step(0.5)
    task = build_pool_task()
    task.scheduler = pool.scheduler
    jobs = tuple(pool.scheduler.take_dirty_jobs())
    assert [job.id for job in jobs] == [CRASHING]
    batch = WriteBatch((), (), jobs, {})
    task._apply_write_result(WriteDone(batch, is_stored=False))
    assert list(pool.scheduler.dirty_jobs) == [CRASHING]
    pool.step(0.5)
    assert len(pool.starts) == 1
    pool.scheduler.take_dirty_jobs()
    task._apply_write_result(WriteDone(batch, is_stored=True))
    pool.step(0.5)
    assert len(pool.starts) == 2
