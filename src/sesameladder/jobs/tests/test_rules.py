"""Tests of the rules for starts.

They cover step order, labels, racks, spread, gangs, due times and attempts.
"""

from collections import Counter
from dataclasses import replace

import pytest

from sesameladder.jobs import (
    AdviceCommand,
    AdvicePolicy,
    Command,
    EndReason,
    JobSpec,
    JobState,
    PoolScheduler,
    Resources,
    RunEnd,
    StartCommand,
    StartOutcome,
    StepSpec,
    StopCommand,
    Submission,
    WorkerRecord,
    WorkerReport,
    decode_progress,
    encode_progress,
)

JOB = "00000000000000aa"
STEP = StepSpec(2, Resources(1000, 100), estimate_ms=500)


def build_record(number: int, rack: str = "r1-1", kind: str = "a") -> WorkerRecord:
    return WorkerRecord(
        f"i-{number}",
        1,
        "pool",
        "10.0.0.1:1",
        "zone-a",
        Resources(4000, 8000),
        (kind, rack),
        is_draining=False,
    )


def build_scheduler(*records: WorkerRecord) -> PoolScheduler:
    scheduler = PoolScheduler(1, lambda event, **fields: None)
    scheduler.update_workers(list(records), 0.0)
    for record in records:
        scheduler.apply_report(record.worker, WorkerReport(0, 1, (), ()), 0.0, 0.0)
    return scheduler


def submit(scheduler: PoolScheduler, *steps: StepSpec, **fields: object) -> None:
    spec = JobSpec("", steps)
    submission = Submission(JOB, "queue", spec, max_attempts=2)
    for name, value in fields.items():
        setattr(submission, name, value)
    scheduler.add_job(submission, None, 0.0)


def list_starts(commands: list[Command]) -> list[tuple[int, int, str]]:
    """Return the step, the position and the worker of each start."""
    return [
        (c.order.subtask.step, c.order.subtask.position, c.worker)
        for c in commands
        if isinstance(c, StartCommand)
    ]


def confirm_starts(
    scheduler: PoolScheduler, commands: list[Command], now: float
) -> None:
    for command in commands:
        if isinstance(command, StartCommand):
            order = command.order
            scheduler.apply_start_outcome(
                command.worker, order.subtask, order.run, StartOutcome.STARTED, now
            )


def report_ends(
    scheduler: PoolScheduler, worker: str, reason: EndReason, now: float
) -> None:
    """Apply a report in which all runs of a worker have ended."""
    view = scheduler.workers[worker]
    number = view.last_applied_end
    ends = []
    for run in list(view.runs.values()):
        number += 1
        ends.append(RunEnd(number, run.subtask.id, run.number, reason, ""))
    report = WorkerReport(0, 1, (), tuple(ends))
    scheduler.apply_report(worker, report, now, now)


def test_step_waits_for_the_steps_before_it() -> None:
    """Guards against steps that start before the steps they depend on are done."""
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, STEP, replace(STEP, after=(0,)))
    commands = scheduler.schedule(0.1, 100.0)
    assert {row[0] for row in list_starts(commands)} == {0}
    confirm_starts(scheduler, commands, 0.2)
    assert list_starts(scheduler.schedule(0.3, 300.0)) == []
    report_ends(scheduler, "i-1", EndReason.DONE, 1.0)
    assert {row[0] for row in list_starts(scheduler.schedule(1.1, 1100.0))} == {1}


@pytest.mark.parametrize(
    ("constraint", "workers"),
    [
        ({"label": "b"}, {"i-2"}),
        ({"max_per_worker": 1}, {"i-1", "i-2"}),
        ({"data_rack": "r1-2"}, {"i-2"}),
        ({"needs": Resources(3000, 100)}, {"i-1", "i-2"}),
        ({"needs": Resources(5000, 100)}, set()),
    ],
    ids=["label", "spread", "data", "room", "too large"],
)
def test_start_respects_placement_constraints(
    constraint: dict[str, object], workers: set[str]
) -> None:
    """Guards against starts on workers without the label, the data or the room."""
    records = build_record(1), build_record(2, "r1-2", "b")
    scheduler = build_scheduler(*records)
    submit(scheduler, replace(STEP, **constraint))  # type: ignore[arg-type]
    starts = list_starts(scheduler.schedule(0.1, 100.0))
    assert {row[2] for row in starts} == workers


@pytest.mark.parametrize(
    ("same_rack", "racks", "expected"),
    [
        (False, ("r1-1", "r1-2"), 6),
        (True, ("r1-1", "r1-2"), 0),
        (True, ("r1-1", "r1-1"), 6),
    ],
)
def test_gang_starts_completely_or_not_at_all(
    same_rack: bool, racks: tuple[str, str], expected: int
) -> None:
    """Guards against gang members that wait for others which find no room."""
    records = build_record(1, racks[0]), build_record(2, racks[1])
    scheduler = build_scheduler(*records)
    submit(scheduler, replace(STEP, count=6, gang=True, same_rack=same_rack))
    commands = scheduler.schedule(0.1, 100.0)
    assert len(list_starts(commands)) == expected
    runs = {c.order.run for c in commands if isinstance(c, StartCommand)}
    assert len(runs) <= 1


def test_gang_is_stopped_when_a_member_finds_no_place() -> None:
    """Guards against gang members that wait until their time limit for a lost one."""
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, replace(STEP, count=4, gang=True))
    commands = scheduler.schedule(0.1, 100.0)
    confirm_starts(scheduler, commands[:3], 0.2)
    rejected = commands[3]
    assert isinstance(rejected, StartCommand)
    scheduler.apply_start_outcome(
        "i-1", rejected.order.subtask, rejected.order.run, StartOutcome.NO_ROOM, 0.2
    )
    scheduler.workers["i-1"].used_cpu_millis = 4000
    scheduler.schedule(0.5, 500.0)
    stops = [c for c in scheduler.schedule(2.0, 2000.0) if isinstance(c, StopCommand)]
    assert len(stops) == 3


def test_one_done_member_completes_the_gang() -> None:
    """Guards against gang members that are restarted after the gang is done."""
    scheduler = build_scheduler(build_record(1), build_record(2))
    submit(scheduler, replace(STEP, count=6, gang=True))
    confirm_starts(scheduler, scheduler.schedule(0.1, 100.0), 0.2)
    report_ends(scheduler, "i-1", EndReason.DONE, 1.0)
    assert scheduler.job_table.ended[JOB][0] is JobState.DONE


@pytest.mark.parametrize("changes_owner", [False, True], ids=["same owner", "next"])
@pytest.mark.parametrize(
    ("failing_runs", "state"),
    [(1, JobState.RUNNING), (2, JobState.FAILED)],
    ids=["one run", "two runs"],
)
def test_gang_fails_once_however_many_members_fail(
    failing_runs: int, state: JobState, changes_owner: bool
) -> None:
    """Guards against a gang that uses up its attempts in one run."""
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, replace(STEP, count=2, gang=True))
    for attempt in range(failing_runs):
        now = 1.0 + attempt
        commands = scheduler.schedule(now, now * 1000)
        assert len(list_starts(commands)) == 2
        confirm_starts(scheduler, commands, now)
        report_ends(scheduler, "i-1", EndReason.FAILED, now + 0.2)
    if changes_owner and JOB in scheduler.job_table.jobs:
        job = scheduler.job_table.jobs[JOB]
        record = decode_progress(JOB, encode_progress(job), job.submission.spec)
        scheduler = build_scheduler(build_record(1))
        scheduler.add_job(job.submission, record, now)
    ended = scheduler.job_table.ended.get(JOB)
    assert (ended[0] if ended else scheduler.job_table.jobs[JOB].state) is state


def test_occurrence_waits_for_its_time() -> None:
    """Guards against occurrences that start before they are due."""
    scheduler = build_scheduler(build_record(1))
    spec = JobSpec("", (STEP,), occurrences=2, first_due_ms=1000, interval_ms=500)
    scheduler.add_job(Submission(JOB, "queue", spec), None, 0.0)
    assert list_starts(scheduler.schedule(0.9, 900.0)) == []
    assert len(list_starts(scheduler.schedule(1.0, 1000.0))) == 2
    assert len(list_starts(scheduler.schedule(1.5, 1500.0))) == 2


def test_job_fails_after_its_attempts() -> None:
    """Guards against more runs of a subtask than its queue allows."""
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, replace(STEP, count=1))
    for attempt in range(2):
        now = 1.0 + attempt
        commands = scheduler.schedule(now, now * 1000)
        assert len(list_starts(commands)) == 1
        confirm_starts(scheduler, commands, now)
        report_ends(scheduler, "i-1", EndReason.FAILED, now + 0.2)
    assert scheduler.job_table.ended[JOB][0] is JobState.FAILED
    assert list_starts(scheduler.schedule(9.0, 9000.0)) == []


@pytest.mark.parametrize(
    "reason", [EndReason.DONE, EndReason.FAILED, EndReason.EXPIRED]
)
def test_long_running_subtask_is_restarted_however_it_ends(reason: EndReason) -> None:
    """Guards against long-running subtasks that are not started again."""
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, replace(STEP, count=1, is_long_running=True))
    for attempt in range(5):
        now = 1.0 + 10 * attempt
        commands = scheduler.schedule(now, now * 1000)
        assert len(list_starts(commands)) == 1
        confirm_starts(scheduler, commands, now)
        report_ends(scheduler, "i-1", reason, now + 0.2)


def test_stop_of_a_cancelled_job_is_repeated_until_its_runs_end() -> None:
    """Guards against cancelled runs that go on because a stop got no response."""
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, STEP)
    confirm_starts(scheduler, scheduler.schedule(0.1, 100.0), 0.2)
    scheduler.cancel_job(JOB, 1.0)
    for now in (1.0, 2.0):
        commands = scheduler.schedule(now, now * 1000)
        assert len(commands) == 2
        assert all(isinstance(command, StopCommand) for command in commands)
    report_ends(scheduler, "i-1", EndReason.STOPPED, 2.5)
    assert scheduler.schedule(9.0, 9000.0) == []
    assert scheduler.workers["i-1"].used_cpu_millis == 0


def test_draining_worker_gets_no_starts() -> None:
    """Guards against starts on draining workers."""
    scheduler = build_scheduler(replace(build_record(1), is_draining=True))
    submit(scheduler, STEP)
    assert list_starts(scheduler.schedule(0.1, 100.0)) == []


def test_start_waits_for_advice_and_carries_its_ticket() -> None:
    """Guards against starts without a ticket in queues with an advice policy."""
    scheduler = build_scheduler(build_record(1), build_record(2))
    submit(scheduler, STEP, advice=AdvicePolicy(10, 1, 3000))
    (command,) = scheduler.schedule(0.1, 100.0)
    assert isinstance(command, AdviceCommand)
    scheduler.apply_advice(command.step, {"i-2": "ticket"}, 3.0, 0.2)
    starts = scheduler.schedule(0.3, 300.0)
    assert {row[2] for row in list_starts(starts)} == {"i-2"}
    assert all(
        c.order.ticket == "ticket" for c in starts if isinstance(c, StartCommand)
    )


def test_worker_with_consecutive_failures_is_ejected_for_a_time() -> None:
    """Guards against jobs that use all their attempts on one faulty worker."""
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, replace(STEP, count=3), max_attempts=9)
    confirm_starts(scheduler, scheduler.schedule(0.1, 100.0), 0.2)
    report_ends(scheduler, "i-1", EndReason.FAILED, 0.3)
    assert list_starts(scheduler.schedule(0.5, 500.0)) == []
    assert list_starts(scheduler.schedule(3.0, 3000.0)) != []


def test_failure_listed_again_counts_once() -> None:
    """Guards against jobs that fail early after a change of owner.

    An owner stored a failure and was replaced before it acknowledged the end to the
    worker. Its successor read the same end again and counted a second attempt.
    """
    first = build_scheduler(build_record(1))
    submit(first, replace(STEP, count=1))
    confirm_starts(first, first.schedule(0.1, 100.0), 0.2)
    (run,) = first.runs.values()
    end = RunEnd(1, run.subtask.id, run.number, EndReason.FAILED, "")
    report = WorkerReport(0, 1, (), (end,))
    first.apply_report("i-1", report, 1.0, 1.0)
    (job,) = first.take_dirty_jobs()
    stored = decode_progress(JOB, encode_progress(job), job.submission.spec)
    second = PoolScheduler(2, lambda event, **fields: None)
    second.update_workers([build_record(1)], 2.0)
    second.add_job(job.submission, stored, 2.0)
    second.apply_report("i-1", report, 2.1, 2.1)
    assert second.job_table.jobs[JOB].state is JobState.RUNNING
    assert len(list_starts(second.schedule(3.0, 3000.0))) == 1


@pytest.mark.parametrize(
    ("is_long_running", "count", "expected"), [(True, 5, [1, 2, 2]), (False, 5, [1, 4])]
)
def test_long_running_work_uses_few_workers_but_more_than_one(
    is_long_running: bool, count: int, expected: list[int]
) -> None:
    """Guards against pools that cannot shrink, and steps that one worker can end.

    Long-running subtasks on every worker keep all of them in the pool. If one worker
    runs all subtasks of a step, its loss ends the whole step.
    """
    scheduler = build_scheduler(*(build_record(number) for number in range(1, 7)))
    submit(scheduler, replace(STEP, count=count, is_long_running=is_long_running))
    workers = [row[2] for row in list_starts(scheduler.schedule(0.1, 100.0))]
    assert sorted(Counter(workers).values()) == expected


@pytest.mark.parametrize(
    ("reason", "restarts"),
    [(EndReason.DONE, False), (EndReason.EXPIRED, True), (None, True)],
)
def test_superseded_start_waits_for_the_workers_report(
    reason: EndReason | None, restarts: bool
) -> None:
    """Guards against a subtask that runs twice after a start without a response.

    The run had ended as done. The repeated start was rejected as superseded, and the
    subtask was started again before the worker's report of the end had been read.
    """
    scheduler = build_scheduler(build_record(1))
    submit(scheduler, replace(STEP, count=1))
    (start,) = scheduler.schedule(0.1, 100.0)
    assert isinstance(start, StartCommand)
    subtask, run = start.order.subtask, start.order.run
    for outcome, now in (
        (StartOutcome.UNANSWERED, 0.9),
        (StartOutcome.SUPERSEDED, 1.1),
    ):
        scheduler.apply_start_outcome("i-1", subtask, run, outcome, now)
    assert list_starts(scheduler.schedule(1.2, 1200.0)) == []
    ends = () if reason is None else (RunEnd(1, subtask, run, reason, ""),)
    scheduler.apply_report("i-1", WorkerReport(0, 1, (), ends), 1.2, 1.3)
    assert bool(list_starts(scheduler.schedule(1.4, 1400.0))) is restarts
