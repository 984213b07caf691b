"""Tests of the reservations of workers for wide subtasks."""

from collections.abc import Callable

import pytest

from sesameladder.jobs import (
    EndReason,
    JobSpec,
    PoolScheduler,
    Resources,
    RunEnd,
    StartCommand,
    StartOutcome,
    StepSpec,
    Submission,
    WorkerRecord,
    WorkerReport,
)
from sesameladder.jobs._reservations import NEVER, SEARCH_PAUSE_S

WIDE, NARROW = "wide", "narrow"
NARROW_CORES = 8


class Pool:
    """Workers of 32 cores, full of runs of one second each, with reservations."""

    def __init__(self, workers: int = 1, is_enabled: bool = True) -> None:
        self.events: list[str] = []
        self.scheduler = PoolScheduler(1, lambda event, **_: self.events.append(event))
        self.reservations = self.scheduler.reservations
        self.reservations.is_enabled = is_enabled
        self.records = [build_record(number) for number in range(workers)]
        self.scheduler.update_workers(self.records, 0.0)
        for record in self.records:
            self.report(record.worker, 0.0)
        self.ends = 0

    def submit(
        self, job: str, cores: int, now: float, count: int = 1, **fields: object
    ) -> None:
        fields = {"estimate_ms": 1000} | fields
        step = StepSpec(count, Resources(cores * 1000, 100), **fields)  # type: ignore[arg-type]
        submission = Submission(
            job, "queue", JobSpec("", (step,)), stretch=1.6, target_offset_ms=600
        )
        self.scheduler.add_job(submission, None, now)

    def schedule(self, now: float) -> list[str]:
        """Confirm all starts; return the jobs of the started subtasks."""
        started = []
        for command in self.scheduler.schedule(now, 1000 * now):
            if isinstance(command, StartCommand):
                order = command.order
                started.append(order.subtask.job)
                self.scheduler.apply_start_outcome(
                    command.worker, order.subtask, order.run, StartOutcome.STARTED, now
                )
        return started

    def end_one(self, job: str, now: float) -> None:
        run = next(r for r in self.scheduler.runs.values() if r.subtask.id.job == job)
        self.ends += 1
        end = RunEnd(self.ends, run.subtask.id, run.number, EndReason.DONE, "")
        self.report(run.worker.id, now, end)

    def report(self, worker: str, now: float, *ends: RunEnd) -> None:
        report = WorkerReport(0, 1, (), ends)
        self.scheduler.apply_report(worker, report, now - 10.0, now)

    def get_reservation(self) -> tuple[str, float] | None:
        """Return the worker and the expected start of the only reservation."""
        rows = list(self.reservations.current.values())
        assert len(rows) <= 1
        return (rows[0].worker.id, round(rows[0].starts_at, 3)) if rows else None


def build_record(number: int, is_draining: bool = False) -> WorkerRecord:
    capacity = Resources(32_000, 64_000)
    labels = ("a", "r1-1", f"w-{number}")
    return WorkerRecord(
        f"i-{number}", 1, "pool", "10.0.0.1:1", "zone-a", capacity, labels, is_draining
    )


def fill(pool: Pool, now: float = 0.0) -> None:
    """Fill each worker with four narrow runs, which start together at ``now``."""
    for number in range(len(pool.records)):
        pool.submit(f"{NARROW}-{number}", NARROW_CORES, now, 4, label=f"w-{number}")
    assert len(pool.schedule(now)) == 4 * len(pool.records)


@pytest.mark.parametrize(
    ("is_enabled", "started"), [(True, [WIDE]), (False, ["late"] * 2)]
)
def test_room_that_comes_is_kept_for_a_wide_subtask(
    is_enabled: bool, started: list[str]
) -> None:
    """Guards against late narrow subtasks that take each gap before a wide one.

    Without reservations the pool places as it did before they existed.
    """
    pool = Pool(is_enabled=is_enabled)
    pool.submit("late", NARROW_CORES, -4.0, 8)
    assert pool.schedule(0.0) == ["late"] * 4
    pool.submit(WIDE, 16, 0.5)
    assert pool.schedule(0.5) == []
    pool.end_one("late", 1.0)
    first = pool.schedule(1.0)
    pool.end_one("late", 1.01)
    assert first + pool.schedule(1.01) == started


@pytest.mark.parametrize(
    ("cores", "estimate_ms", "fields", "is_admitted"),
    [
        pytest.param(8, 100, {}, True, id="ends before"),
        pytest.param(8, 3000, {}, False, id="takes the room for too long"),
        pytest.param(4, 3000, {}, True, id="leaves room enough"),
        pytest.param(8, 100, {"is_long_running": True}, False, id="never ends"),
        pytest.param(4, 3000, {"gang": True}, False, id="room for one member only"),
    ],
)
def test_reserved_worker_takes_what_does_not_delay_the_reservation(
    cores: int, estimate_ms: int, fields: dict[str, object], is_admitted: bool
) -> None:
    """Guards against backfill that pushes the reservation on, and idle workers.

    Of the worker 12 cores are free and 20 come within a second; the wide subtask
    needs 28 of them.
    """
    pool = Pool()
    pool.submit(NARROW, 10, 0.0, 2)
    assert len(pool.schedule(0.0)) == 2
    pool.submit(WIDE, 28, 0.0)
    assert pool.schedule(0.0) == []
    assert pool.get_reservation() == ("i-0", 1.1)
    pool.submit("other", cores, -9.0, 2, estimate_ms=estimate_ms, **fields)
    other = next(
        row
        for row in pool.scheduler.job_table.open_steps.values()
        if row.job.id == "other"
    )
    assert bool(pool.reservations.list_open(other)) is is_admitted


def drain(pool: Pool) -> None:
    pool.scheduler.set_workers_to_drain({"i-0"})


def leave(pool: Pool) -> None:
    pool.scheduler.update_workers([build_record(1)], 0.5)


def silence(pool: Pool) -> None:
    pool.scheduler.apply_report_failure("i-0", 0.5)


def eject(pool: Pool) -> None:
    pool.scheduler.workers["i-0"].ejected_until = 9.0


def crash(pool: Pool) -> None:
    pool.scheduler.apply_incarnation_end("i-0", 1, 0.5)


def restart(pool: Pool) -> None:
    pool.scheduler.apply_worker_replacement("i-0", 0.5)


def cancel(pool: Pool) -> None:
    pool.scheduler.cancel_job(WIDE, 0.5)


def exceed_cap(pool: Pool) -> None:
    pool.reservations.is_over_cap = lambda step: step.job.id == WIDE


def switch_off(pool: Pool) -> None:
    pool.reservations.is_enabled = False


def wait_until_late(pool: Pool) -> None:
    pool.scheduler.job_table.jobs[WIDE].accepted_at -= 2.0


@pytest.mark.parametrize(
    ("lose", "worker"),
    [
        (drain, "i-1"),
        (leave, "i-1"),
        (silence, "i-1"),
        (eject, "i-1"),
        (crash, "i-1"),
        (restart, "i-1"),
        (cancel, None),
        (exceed_cap, None),
        (switch_off, None),
        (wait_until_late, None),
    ],
)
def test_reservation_ends_with_its_reason(
    lose: Callable[[Pool], None], worker: str | None
) -> None:
    """Guards against room that is kept on a worker or for a step that is no use."""
    pool = Pool(workers=2)
    fill(pool)
    pool.submit(WIDE, 20, 0.4)
    pool.schedule(0.4)
    assert pool.get_reservation() == ("i-0", 1.1)
    lose(pool)
    pool.schedule(0.5)
    reservation = pool.get_reservation()
    assert (reservation and reservation[0]) == worker


def test_overdue_ends_push_a_reservation_on_until_it_expires() -> None:
    """Guards against room that is held for long because of a bad estimate."""
    pool = Pool()
    fill(pool)
    pool.submit(WIDE, 16, 0.9, estimate_ms=2000)
    pool.scheduler.job_table.jobs[WIDE].submission.target_offset_ms = 9000
    pool.schedule(0.9)
    assert pool.get_reservation() == ("i-0", 1.1)
    pool.schedule(1.2)  # counts as ending after a quarter of 1.1 s
    assert pool.get_reservation() == ("i-0", 1.475)
    # The subtask lasts 2.2 s with the margin for errors.
    pool.schedule(3.0)
    assert pool.get_reservation() == ("i-0", 3.275)
    pool.schedule(3.1)
    assert (pool.get_reservation(), pool.reservations.expired) == (None, 1)
    pool.schedule(5.2)
    assert pool.get_reservation() is None, "the step is barred for its duration"
    pool.schedule(5.4)
    assert pool.get_reservation() == ("i-0", 5.675)


def test_reservation_stays_on_its_worker() -> None:
    """Guards against reservations that move with each pass and hold several gaps."""
    pool = Pool(workers=3)
    fill(pool)
    pool.submit(WIDE, 20, 0.1)
    seen = set()
    for tick in range(1, 11):
        pool.schedule(tick / 10)
        seen.add(pool.get_reservation())
    assert seen == {("i-0", 1.1)}
    assert (pool.reservations.made, pool.events.count("worker_reserved")) == (1, 1)


@pytest.mark.parametrize(
    ("cores", "fields"),
    [
        pytest.param(4, {}, id="narrow"),
        pytest.param(20, {"gang": True}, id="gang"),
        pytest.param(20, {"label": "none"}, id="no worker may have it"),
        pytest.param(40, {}, id="wider than any worker"),
    ],
)
def test_steps_that_reserve_nothing(cores: int, fields: dict[str, object]) -> None:
    """Guards against workers that are kept for steps which gain nothing by it."""
    pool = Pool()
    fill(pool)
    pool.submit(WIDE, cores, 0.1, **fields)
    pool.schedule(0.1)
    pool.schedule(0.1 + SEARCH_PAUSE_S)
    assert pool.get_reservation() is None


def test_long_running_runs_are_no_room_that_comes() -> None:
    """Guards against workers that are kept though no run on them ever ends."""
    pool = Pool(workers=2)
    pool.submit("lasting", 16, 0.0, 1, label="w-0", is_long_running=True)
    pool.submit(NARROW, NARROW_CORES, 0.0, 2, label="w-0")
    pool.submit("slow", 16, 0.0, 2, label="w-1", estimate_ms=5000)
    assert len(pool.schedule(0.0)) == 5
    pool.submit(WIDE, 24, 0.0, estimate_ms=8000)
    pool.schedule(0.1)
    assert pool.get_reservation() == ("i-1", 5.5)
    assert pool.reservations.current["i-1"].starts_at < NEVER
