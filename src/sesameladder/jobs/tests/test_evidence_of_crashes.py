"""Tests of what a crash has to show before it counts against a subtask.

The users allow to end the job of a subtask under which two workers have crashed.
"""

from collections.abc import Callable

import pytest

from sesameladder.jobs import (
    EndReason,
    JobSpec,
    JobState,
    Resources,
    RunEnd,
    RunStatus,
    StartCommand,
    StartOutcome,
    StepSpec,
    Submission,
    SubtaskId,
    WorkerReport,
)
from sesameladder.jobs.tests.simulation import Simulation, play_jobs, verify_outcome
from sesameladder.jobs.tests.test_probation import CRASHING, SOUND, Pool
from sesameladder.standins.system import SimulatedWork

SEEDS = range(6)
SUBTASK = SubtaskId(SOUND, 0, 0, 0)
DURATION_S = 1.0
CRASHES_UNTIL_ENDED = 5  # rule BUDGET: three, and two more starts
CRASHES_ALLOWED = 2  # "under which two workers have crashed may be given up"
WORKERS = 8
CRASH_INTERVAL_S = 1.5


class UncertainPool(Pool):
    """A pool that loses what the owner could learn of a run."""

    lost: str = ""
    """What is lost next; empty if nothing is."""

    def start(self, command: StartCommand) -> None:
        """Have the worker go down as the start is under way, if that is next."""
        if not self.lost:
            super().start(command)
            return
        worker, order = command.worker, command.order
        outcome = StartOutcome.UNANSWERED
        if self.lost == "run":  # the run has ended already, by a stop or as done
            outcome = StartOutcome.SUPERSEDED
        if self.lost != "response":
            self.scheduler.apply_start_outcome(
                worker, order.subtask, order.run, outcome, self.now
            )
        self.crash(worker)
        self.lost = ""


def lose_run(pool: UncertainPool, what: str) -> None:
    """Let the next start meet a worker that goes down."""
    crashes = len(pool.crashed)
    pool.lost = what
    for _ in range(1000):
        pool.step()
        if len(pool.crashed) > crashes:
            return
    raise AssertionError("the job was not started within 10 s")


def crash_under(pool: Pool) -> None:
    """Crash the worker of the sound job's run, once there is one."""
    for _ in range(1000):
        worker = pool.find_worker(SOUND)
        if worker is not None:
            pool.crash(worker)
            return
        pool.step()
    raise AssertionError("the job was not started within 10 s")


@pytest.mark.parametrize("lost", ["start", "response", "run"])
@pytest.mark.parametrize("lasts", [False, True], ids=["job", "long-running"])
def test_workers_that_had_no_run_of_a_job_do_not_fail_it(
    lost: str, lasts: bool
) -> None:
    """Guards against a job ended by starts that met workers which were gone."""
    pool = UncertainPool(workers=6)
    pool.submit(SOUND, lasts)
    for _ in range(2 * CRASHES_ALLOWED):
        lose_run(pool, lost)
    assert pool.get_state(SOUND) is not JobState.FAILED
    crash_under(pool)
    pool.step()
    assert pool.get_state(SOUND) is not JobState.FAILED


@pytest.mark.parametrize(
    ("gap_s", "state"),
    [(0.0, JobState.RUNNING), (0.05, JobState.RUNNING), (1.0, JobState.FAILED)],
    ids=["together", "shortly after", "by itself"],
)
def test_crash_together_with_that_of_another_worker_is_not_conclusive(
    gap_s: float, state: JobState
) -> None:
    """Guards against a job ended by two losses of a rack or a zone."""
    pool = Pool(workers=8)
    pool.submit(SOUND)
    for _ in range(CRASHES_ALLOWED):
        while (worker := pool.find_worker(SOUND)) is None:
            pool.step()
        other = next(name for name in pool.records if name != worker)
        if gap_s:
            pool.crash(other)
            pool.now += gap_s
            ended = [(worker, 1, False)]
        else:
            ended = [(worker, 1, False), (other, 1, False)]
        for name, _, _ in ended:
            record = pool.records.pop(name)
            pool.add_worker(record.address)
        view = pool.scheduler.workers[worker]
        for run in view.runs.values():
            run.sent_at = run.confirmed_at = run.reported_at = pool.now
        pool.scheduler.apply_incarnation_ends(ended, pool.now)
        pool.now += 1.0
    assert pool.get_state(SOUND) is state


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "report_gap_s",
    [(0.35, 0.35), (0.45, 0.45), (0.8, 2.2)],
    ids=["as asked for", "late", "very late"],
)
def test_sound_jobs_outlive_workers_that_crash_by_themselves(
    report_gap_s: tuple[float, float], seed: int
) -> None:
    """Guards against a run taken for new since no report came meanwhile."""
    simulation = Simulation(seed, WORKERS)
    simulation.report_gap_s = report_gap_s
    simulation.checker.crashes_that_excuse = CRASHES_ALLOWED

    def crash() -> None:
        up = [worker for worker in simulation.workers if worker.is_up]
        count = min(len(up), simulation.random.choice([1, 2, 4]))
        for worker in simulation.random.sample(up, count):
            simulation.crash(worker, simulation.random.uniform(1.0, 4.0))

    for number in range(1, 14):
        simulation.run_later(number * CRASH_INTERVAL_S, crash)
    play_jobs(simulation, 56, seconds=21.0)
    verify_outcome(simulation, checks_delay=False)


class ManualPool(Pool):
    """A pool whose starts are answered by the test."""

    def __init__(self, workers: int, width: int = 1, gang: bool = False) -> None:
        super().__init__(workers)
        self.sent: list[StartCommand] = []
        estimate_ms = int(DURATION_S * 1000)
        spec = StepSpec(width, Resources(1000, 100), estimate_ms, gang=gang)
        payload = SimulatedWork(int(DURATION_S * 1000)).to_text()
        submission = Submission(SOUND, "queue", JobSpec(payload, (spec,)))
        self.submissions[SOUND] = submission
        self.scheduler.add_job(submission, None, self.now)

    def start(self, command: StartCommand) -> None:
        self.sent.append(command)

    def wait_for_start(self) -> StartCommand:
        for _ in range(1000):
            if self.sent:
                return self.sent.pop(0)
            self.step()
        raise AssertionError("the job was not started within 10 s")

    def confirm(self, command: StartCommand) -> None:
        order = command.order
        self.runs[command.worker][order.subtask] = order.run
        self.scheduler.apply_start_outcome(
            command.worker, order.subtask, order.run, StartOutcome.STARTED, self.now
        )

    def end_run(self, command: StartCommand, reason: EndReason, saved: str) -> None:
        worker = command.worker
        number = self.end_numbers[worker] = self.end_numbers.get(worker, 0) + 1
        run = self.runs[worker].pop(command.order.subtask)
        self.report(worker, RunEnd(number, command.order.subtask, run, reason, saved))


def let_silence_begin(pool: ManualPool, command: StartCommand) -> None:
    """Cut a worker off; its run is done behind the cut, then the VM is down."""
    pool.confirm(command)
    worker = pool.scheduler.workers[command.worker]
    worker.lease_expires_at = pool.now + 4 * DURATION_S
    pool.now += 0.2 * DURATION_S
    pool.scheduler.apply_report_failure(command.worker, pool.now)
    pool.now += 3 * DURATION_S


def let_owner_stall(pool: ManualPool, command: StartCommand) -> None:
    """Apply the response to the start after the run may have been done."""
    pool.now += 3 * DURATION_S
    pool.confirm(command)


def let_reports_show_nothing(pool: ManualPool, command: StartCommand) -> None:
    """Give no response to the start, and show no run in later reports."""
    order = command.order
    pool.scheduler.apply_start_outcome(
        command.worker,
        order.subtask,
        order.run,
        StartOutcome.UNANSWERED,
        pool.now,
        0.01,
    )
    pool.now += 0.05
    pool.report(command.worker)


def let_new_owner_adopt(pool: ManualPool, command: StartCommand) -> None:
    """Let the next owner learn of the run right before it is done."""
    pool.confirm(command)
    pool.store()
    pool.take_over()
    pool.scheduler.update_workers(list(pool.records.values()), pool.now)
    status = RunStatus(SUBTASK, command.order.run, "", 95)
    report = WorkerReport(0, 1, (status,), ())
    pool.scheduler.apply_report(command.worker, report, pool.now, pool.now)
    pool.now += 0.1 * DURATION_S


@pytest.mark.parametrize(
    "disturb",
    [let_silence_begin, let_owner_stall, let_reports_show_nothing, let_new_owner_adopt],
    ids=["silence", "stalled owner", "no run in reports", "new owner"],
)
def test_crash_after_the_run_may_have_ended_is_not_certain(
    disturb: Callable[[ManualPool, StartCommand], None],
) -> None:
    """Guards against a crash that is dated by when something else was noticed."""
    pool = ManualPool(workers=6)
    command = pool.wait_for_start()
    disturb(pool, command)
    pool.crash(command.worker)
    (subtask,) = pool.scheduler.job_table.jobs[SOUND].iterate_known()
    crash = subtask.crashes[command.order.run]
    assert not crash.is_certain
    assert not crash.is_conclusive


def test_run_from_a_checkpoint_of_the_gang_is_not_certain() -> None:
    """Guards against a resumed run that is taken to last for its whole duration."""
    pool = ManualPool(workers=4, width=2, gang=True)
    for saved in ("", "saved"):
        commands = [pool.wait_for_start(), pool.wait_for_start()]
        for command in commands:
            pool.confirm(command)
        if not saved:
            pool.end_run(commands[0], EndReason.STOPPED, "saved")
            pool.end_run(commands[1], EndReason.BROKEN, "")
    for worker in {command.worker for command in commands}:
        pool.crash(worker)
    (job,) = pool.scheduler.job_table.jobs.values()
    crashes = [row for member in job.iterate_known() for row in member.crashes.values()]
    assert [crash.is_certain for crash in crashes] == [False, False]


@pytest.mark.parametrize(
    ("noticed_after_s", "has_checkpoint"),
    [(0.01, False), (0.01, True), (0.45, False), (0.9, False), (3.0, False)],
)
def test_crashing_subtask_is_given_up_however_late_its_crashes_are_noticed(
    noticed_after_s: float, has_checkpoint: bool
) -> None:
    """Guards against crashes without an end, of which none is certain."""
    pool = ManualPool(workers=6)
    if has_checkpoint:
        command = pool.wait_for_start()
        pool.confirm(command)
        pool.end_run(command, EndReason.STOPPED, "saved")
    crashes = 0
    while pool.get_state(SOUND) is not JobState.FAILED:
        command = pool.wait_for_start()
        pool.confirm(command)
        record = pool.records.pop(command.worker)
        crashes += 1
        pool.step(noticed_after_s)
        pool.scheduler.apply_incarnation_end(command.worker, 1, pool.now)
        pool.add_worker(record.address)
        assert crashes <= CRASHES_UNTIL_ENDED


def test_planned_end_of_a_worker_is_no_crash() -> None:
    """Guards against a move that is carried out after its drain has been lifted."""
    pool = ManualPool(workers=3)
    command = pool.wait_for_start()
    pool.confirm(command)
    pool.scheduler.apply_incarnation_end(command.worker, 1, pool.now, is_planned=True)
    (subtask,) = pool.scheduler.job_table.jobs[SOUND].iterate_known()
    assert subtask.crashes == {}
    assert SUBTASK not in pool.scheduler.runs


def test_suspect_of_a_busy_job_is_started() -> None:
    """Guards against an announcement that is never taken as stored.

    The progress of the job changes between each write and its result.
    """
    pool = Pool(workers=4)
    pool.crashing.add(CRASHING)
    pool.submit(CRASHING)
    while not pool.crashed:
        pool.step()
    pool.is_storing = False
    job = pool.scheduler.job_table.jobs[CRASHING]
    for _ in range(200):
        pool.step()
        for taken in pool.scheduler.take_dirty_jobs():
            pool.scheduler.dirty_jobs[job.id] = job
            pool.scheduler.record_stored(taken)
        if len(pool.starts) > 1:
            return
    raise AssertionError("the suspect was not started within 2 s")
