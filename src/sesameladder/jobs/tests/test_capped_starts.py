"""What a pool's owner starts under the caps of organisations."""

from collections.abc import Iterable
from dataclasses import replace

import pytest

from sesameladder.jobs import (
    AdviceCommand,
    AdvicePolicy,
    CappedStarts,
    JobSpec,
    PoolScheduler,
    Resources,
    StartCommand,
    StepSpec,
    StopCommand,
    SubtaskId,
    explain_impossible_gang,
)
from sesameladder.jobs._model import RunStatus, StartOutcome, WorkerReport
from sesameladder.jobs.tests.test_rules import (
    build_record,
    build_scheduler,
    confirm_starts,
    list_starts,
    submit,
)
from sesameladder.organisations import (
    NOTHING,
    Amounts,
    CapPass,
    Organisation,
)
from sesameladder.organisations._cap_pass import Room

STEP = StepSpec(4, Resources(1000, 100), estimate_ms=500)
CAP = Amounts(4_000)


class FixedCaps:
    """Caps of which a pool may use a fixed part."""

    def __init__(self, row_millis: int) -> None:
        self.row_millis = row_millis
        self.names: set[str] = set()
        self.present: dict[str, Amounts] = {}
        self.own: dict[str, Amounts] = {}
        self.is_settled = True
        self.is_open = True
        self.is_over = False
        self.result = CapPass({})

    def begin_pass(
        self,
        names: Iterable[str],
        present: dict[str, Amounts],
        own: dict[str, Amounts],
        is_settled: bool,
        free_cpu_millis: int,
        now: float,
    ) -> CapPass:
        del now
        self.names, self.present, self.own = set(names), present, own
        self.is_settled = is_settled
        used = present.get("a", NOTHING).cpu_millis
        free = Amounts(max(0, self.row_millis - used))
        is_alone = self.row_millis > CAP.cpu_millis
        room = Room(CAP, free, is_alone, self.is_open, self.is_over, free)
        return CapPass({"a": room}, {"a": CAP}, free_cpu_millis)

    def end_pass(self, result: CapPass, now: float) -> None:
        del now
        self.result = result


def build_capped(row_millis: int, workers: int = 3) -> tuple[PoolScheduler, FixedCaps]:
    scheduler = build_scheduler(*(build_record(n) for n in range(workers)))
    caps = FixedCaps(row_millis)
    scheduler.capped_starts = CappedStarts(caps)
    return scheduler, caps


def submit_for(
    scheduler: PoolScheduler, organisation: str, *steps: StepSpec, **fields: object
) -> None:
    job = f"{len(scheduler.job_table.jobs):016x}"
    submit(scheduler, *steps, job=job, organisation=organisation, **fields)


@pytest.mark.parametrize(
    ("spec", "row_millis", "starts", "waiting"),
    [
        (STEP, 4_000, 4, 0),
        (STEP, 2_500, 2, 2),
        (STEP, 0, 0, 4),
        (replace(STEP, gang=True), 3_000, 0, 4),
        (replace(STEP, gang=True), 4_000, 4, 0),
        (replace(STEP, is_best_effort=True), 2_000, 2, 2),
    ],
    ids=["all", "some", "none", "gang too large", "gang", "best effort"],
)
def test_starts_stay_within_the_row(
    spec: StepSpec, row_millis: int, starts: int, waiting: int
) -> None:
    """Guards against starts beyond the row, and against parts of a gang."""
    scheduler, caps = build_capped(row_millis)
    submit_for(scheduler, "a", spec)
    assert len(list_starts(scheduler.schedule(0.1, 100.0))) == starts
    want = caps.result.wants.get("a")
    assert (want.waiting if want else 0) == waiting
    assert list_starts(scheduler.schedule(0.2, 200.0)) == []
    assert caps.present.get("a", NOTHING).cpu_millis == starts * 1_000


def test_gang_that_has_lost_a_member_is_stopped_under_a_lowered_cap() -> None:
    """Guards against members that keep their part of the cap and can't go on."""
    scheduler, caps = build_capped(3_000)
    step = replace(STEP, count=3, gang=True, max_per_worker=1)
    submit_for(scheduler, "a", step)
    commands = scheduler.schedule(0.1, 100.0)
    starts = [c for c in commands if isinstance(c, StartCommand)]
    for start in starts:
        scheduler.apply_start_outcome(
            start.worker,
            start.order.subtask,
            start.order.run,
            StartOutcome.STARTED,
            0.2,
        )
    caps.row_millis = 2_000
    scheduler.apply_incarnation_end(starts[0].worker, 0, 0.3)
    commands = [c for now in (0.4, 2.0) for c in scheduler.schedule(now, 1000 * now)]
    stopped = {c.subtask for c in commands if isinstance(c, StopCommand)}
    left = {s.order.subtask for s in starts if s.worker != starts[0].worker}
    assert len(left) == 2
    assert stopped == left


@pytest.mark.parametrize(("count", "may_start"), [(1, True), (2, False)])
def test_only_a_single_subtask_may_exceed_the_cap(count: int, may_start: bool) -> None:
    """Guards against gangs that start in a row which a lowered cap has left."""
    room = Room(CAP, Amounts(100_000), allows_oversized=True)
    current = CapPass({"a": room}, {"a": CAP})
    assert current.may_start("a", Resources(CAP.cpu_millis - 1), count) is may_start


def test_work_beyond_its_cap_gives_way_before_any_other_work_on_it() -> None:
    """Guards against advice and places in the start window for work that must wait."""
    scheduler, _ = build_capped(0)
    scheduler.start_window.limit = 4
    advice = AdvicePolicy(10, 1, 1000)
    submit_for(scheduler, "a", replace(STEP, count=50), advice=advice, priority=-1)
    submit_for(scheduler, "b", STEP)
    commands = scheduler.schedule(0.1, 100.0)
    assert len(list_starts(commands)) == 4
    assert not any(isinstance(command, AdviceCommand) for command in commands)
    assert {run.subtask.id.job for run in scheduler.runs.values()} == {f"{1:016x}"}


def test_all_that_may_be_present_counts() -> None:
    """Guards against runs that are forgotten before they have ended.

    Counted are starts without an answer, stopping runs, runs of an ended job and runs
    that another incarnation of their worker may have.
    """
    scheduler, caps = build_capped(4_000, workers=1)
    submit_for(scheduler, "a", STEP)
    commands = scheduler.schedule(0.1, 100.0)
    assert len(list_starts(commands)) == 4
    confirm_starts(scheduler, commands[:1], 0.2)
    worker = next(iter(scheduler.workers))
    lost = list(scheduler.runs.values())[1]
    scheduler.apply_start_outcome(
        worker, lost.subtask.id, lost.number, StartOutcome.UNANSWERED, 0.3
    )
    scheduler.schedule(0.3, 300.0)
    assert caps.present["a"] == Amounts(4_000, 400)
    scheduler.cancel_job(f"{0:016x}", 0.4)
    scheduler.schedule(0.5, 500.0)
    assert caps.present["a"] == Amounts(4_000, 400)


def test_runs_on_a_reborn_worker_count_until_their_leases_have_expired() -> None:
    """Guards against starts beside runs that the next incarnation may have."""
    scheduler, caps = build_capped(4_000, workers=1)
    scheduler.longest_lease_s = 10.0
    submit_for(scheduler, "a", STEP)
    scheduler.schedule(0.1, 100.0)
    scheduler.update_workers([replace(build_record(0), born_ms=2)], 0.2)
    scheduler.schedule(0.3, 300.0)
    assert caps.present["a"] == Amounts(4_000, 400)
    scheduler.schedule(11.0, 11_000.0)
    assert caps.present == {}


@pytest.mark.parametrize("is_known", [True, False], ids=["open job", "ended job"])
def test_new_owner_tells_which_runs_are_its_own(is_known: bool) -> None:
    """Guards against runs of earlier owners that are taken for the new owner's.

    A run of a job that has ended has no known size, so the inherited row stays
    reserved while it is present.
    """
    scheduler = PoolScheduler(3, lambda event, **fields: None)
    caps = FixedCaps(4_000)
    scheduler.capped_starts = CappedStarts(caps)
    submit_for(scheduler, "a", STEP)
    scheduler.unread_workers.deadline = 7.5
    scheduler.update_workers([build_record(0)], 0.0)
    scheduler.schedule(0.1, 100.0)
    assert not caps.is_settled
    job = f"{0:016x}" if is_known else f"{9:016x}"
    status = RunStatus(SubtaskId(job, 0, 0, 0), 1, "", 0)
    report = WorkerReport(0, 1, (status,), ())
    scheduler.apply_report("i-0", report, 0.2, 0.2)
    scheduler.schedule(0.3, 300.0)
    assert caps.is_settled is is_known
    assert caps.own == {}
    if is_known:
        assert caps.present["a"] == Amounts(1_000, 100)


@pytest.mark.parametrize(
    ("is_open", "is_over", "needs", "expected"),
    [
        (True, False, 1_000, ["StartCommand"]),
        (False, False, 1_000, []),
        (False, True, 1_000, ["StopCommand"]),
        (False, True, 4_001, ["StopCommand"]),
    ],
    ids=["open", "old view", "over the cap", "alone over the cap"],
)
def test_start_without_an_answer_begins_nothing_that_the_cap_forbids(
    is_open: bool, is_over: bool, needs: int, expected: list[str]
) -> None:
    """Guards against a repeated start that begins a run under a lowered cap."""
    records = [replace(build_record(0), capacity=Resources(9_000, 8_000))]
    scheduler = build_scheduler(*records)
    caps = FixedCaps(needs)
    scheduler.capped_starts = CappedStarts(caps)
    submit_for(scheduler, "a", replace(STEP, count=1, needs=Resources(needs)))
    (command,) = scheduler.schedule(0.1, 100.0)
    assert isinstance(command, StartCommand)
    assert command.send_before == pytest.approx(1.6)
    order = command.order
    scheduler.apply_start_outcome(
        "i-0", order.subtask, order.run, StartOutcome.UNANSWERED, 0.2
    )
    caps.is_open, caps.is_over = is_open, is_over
    commands = scheduler.schedule(0.5, 500.0)
    assert [type(command).__name__ for command in commands] == expected


def test_demand_leaves_out_what_the_cap_forbids() -> None:
    """Guards against VMs that are moved to a pool for work that must wait there."""
    scheduler, _ = build_capped(2_000, workers=1)
    scheduler.workers["i-0"].ejected_until = 99.0
    submit_for(scheduler, "a", replace(STEP, count=40, estimate_ms=2_000))
    submit_for(scheduler, "", replace(STEP, estimate_ms=2_000))
    scheduler.schedule(0.1, 100.0)
    assert scheduler.estimate_demand(0.0).waiting == 2.0 + 4.0
    scheduler.capped_starts = None
    assert scheduler.estimate_demand(0.0).waiting == 44.0


def test_suspect_beyond_its_cap_reserves_no_worker() -> None:
    """Guards against a reserved worker for a suspect that its cap makes wait."""
    scheduler, _ = build_capped(0)
    submit_for(scheduler, "a", replace(STEP, count=1))
    step = next(iter(scheduler.job_table.open_steps.values()))
    subtask = step.get_subtask(0)
    subtask.crashed_at = 0.1
    scheduler.probation.add(subtask)
    assert list_starts(scheduler.schedule(0.2, 200.0)) == []
    assert scheduler.probation.reservations == []
    assert subtask.announced_run == 0
    scheduler.capped_starts = None
    scheduler.schedule(0.3, 300.0)
    assert len(scheduler.probation.reservations) == 1


@pytest.mark.parametrize(
    ("step", "cap", "is_refused"),
    [
        (replace(STEP, gang=True), Amounts(3_999), True),
        (replace(STEP, gang=True), Amounts(4_000), False),
        (replace(STEP, gang=True), Amounts(0, 399), True),
        (replace(STEP, gang=True), Amounts(), False),
        (replace(STEP, needs=Resources(9_000)), Amounts(3_999), False),
    ],
    ids=["too large", "fits", "memory", "no cap", "single subtasks"],
)
def test_gang_that_exceeds_the_cap_is_refused(
    step: StepSpec, cap: Amounts, is_refused: bool
) -> None:
    """Guards against accepted jobs that can never run."""
    organisation = Organisation("a", cap=cap)
    reason = explain_impossible_gang(JobSpec("", (step,)), organisation)
    assert ("can never run" in reason) is is_refused
