"""Completion of jobs with and without copies of slow subtasks.

The pool's scheduler runs the jobs of an uneven load on simulated workers: 3 of 100
runs take 2 to 7 times as long as the others. The same jobs are run with steps that
allow copies and with steps that don't, at loads of 0.3 to 2 times what the workers can
do. ``python -m sesameladder.measure.copies`` prints all loads, also for subtasks that
are slow on every worker; the results are in docs/measurements.md.
"""

import heapq
import json
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random
from statistics import quantiles

from sesameladder.jobs import (
    EndReason,
    JobSpec,
    JobState,
    PoolScheduler,
    Resources,
    RunEnd,
    RunStatus,
    StartCommand,
    StartOutcome,
    StepSpec,
    StopCommand,
    Submission,
    SubtaskId,
    WorkerRecord,
    WorkerReport,
)
from sesameladder.measure._entry import MeasureEntry

WORKERS = 20
CORES = 64
ARRIVAL_S = 40.0
TICK_S = 0.02
DRAIN_LIMIT_S = 300.0
REPORT_INTERVAL_S = 1.0
STOP_S = 0.4  # grace time of a stopped run
SLOW_SHARE = 0.03
SLOW_FACTORS = (2.0, 7.0)
ESTIMATE_SIGMA = 0.2  # error of the callers' estimates, from job to job
LOADS = (0.3, 0.5, 0.8, 1.0, 1.5, 2.0)
MEASURED_LOADS = (0.5, 1.0)  # for ``make measure``


@dataclass(frozen=True, slots=True)
class JobShape:
    """Shape of the jobs of one queue."""

    queue: str
    share: float
    """Share of the jobs."""

    steps: tuple[tuple[int, float], ...]
    """Numbers of steps with their probability."""

    duration_s: tuple[float, float]
    cpu_millis: int
    priority: int
    width: int = 8


SHAPES = (
    JobShape("short", 0.8, ((1, 0.4), (2, 0.6)), (0.7, 0.8), 6200, 0),
    JobShape("wide", 0.2, ((2, 1.0),), (1.3, 1.4), 13000, 1),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job and the time of its arrival in seconds."""

    at: float
    submission: Submission
    duration_s: float
    """Time of a subtask that is not slow."""


@dataclass(slots=True)
class Worker:
    """Runs on one worker, and its ends that were not reported."""

    runs: dict[tuple[SubtaskId, int], tuple[float, float]] = field(default_factory=dict)
    """Begin and end of each run."""

    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0


@dataclass(slots=True)
class Result:
    """What one run of the load came to."""

    completion_s: list[float] = field(default_factory=list)
    in_time: int = 0
    copies: int = 0
    copies_won: int = 0
    copy_core_s: float = 0.0
    """Core-seconds in use by copies, and by runs stopped due to one."""

    thrown_away_core_s: float = 0.0
    max_copy_share: float = 0.0
    """Largest share of the pool's cores in use by copies at a time."""

    work_core_s: float = 0.0
    """Work of all runs that began, in core-seconds."""

    def merge(self, other: "Result") -> None:
        """Add the figures of another run."""
        self.completion_s += other.completion_s
        self.in_time += other.in_time
        self.copies += other.copies
        self.copies_won += other.copies_won
        self.copy_core_s += other.copy_core_s
        self.thrown_away_core_s += other.thrown_away_core_s
        self.max_copy_share = max(self.max_copy_share, other.max_copy_share)
        self.work_core_s += other.work_core_s

    def get_percentile(self, percent: int) -> float:
        """Return a percentile of the time from arrival to end, in seconds."""
        return quantiles(self.completion_s, n=100, method="inclusive")[percent - 1]

    def describe(self) -> dict[str, float]:
        """Return the figures of a row."""
        return {
            "jobs": len(self.completion_s),
            "p50_s": round(self.get_percentile(50), 2),
            "p90_s": round(self.get_percentile(90), 2),
            "p99_s": round(self.get_percentile(99), 2),
            "in_time": round(self.in_time / len(self.completion_s), 4),
            "copies": self.copies,
            "copies_won": self.copies_won,
            "copy_share_of_work": round(self.copy_core_s / self.work_core_s, 4),
            "thrown_away_share": round(self.thrown_away_core_s / self.work_core_s, 4),
            "max_copy_share": round(self.max_copy_share, 4),
        }


def generate_arrivals(load: float, seed: int, allows_copies: bool) -> list[Arrival]:
    """Return jobs whose work is ``load`` times what the workers can do."""
    draw = Random(seed)
    mean_core_s = sum(
        shape.share
        * sum(count * chance for count, chance in shape.steps)
        * shape.width
        * sum(shape.duration_s)
        / 2
        * shape.cpu_millis
        / 1000
        for shape in SHAPES
    )
    mean_factor = 1 + SLOW_SHARE * (sum(SLOW_FACTORS) / 2 - 1)
    rate = load * WORKERS * CORES / (mean_core_s * mean_factor)
    arrivals: list[Arrival] = []
    at = draw.expovariate(rate)
    while at < ARRIVAL_S:
        (shape,) = draw.choices(SHAPES, [shape.share for shape in SHAPES])
        counts, chances = zip(*shape.steps, strict=True)
        (steps,) = draw.choices(counts, chances)
        duration_s = draw.uniform(*shape.duration_s)
        estimate_ms = round(1000 * duration_s * draw.lognormvariate(0, ESTIMATE_SIGMA))
        needs = Resources(shape.cpu_millis, 100)
        specs = tuple(
            StepSpec(
                shape.width,
                needs,
                estimate_ms,
                after=(number - 1,) if number else (),
                allows_copies=allows_copies,
            )
            for number in range(steps)
        )
        submission = Submission(
            f"{len(arrivals):016x}",
            shape.queue,
            JobSpec("", specs),
            shape.priority,
            max_attempts=3,
            stretch=1.6,
            target_offset_ms=600,
        )
        arrivals.append(Arrival(at, submission, duration_s))
        at += draw.expovariate(rate)
    return arrivals


class UnevenLoad:
    """One run of a load on a scheduler and its workers."""

    def __init__(self, arrivals: list[Arrival], seed: int, is_inherent: bool) -> None:
        self.arrivals = {row.submission.job: row for row in arrivals}
        self.seed = seed
        self.is_inherent = is_inherent
        """Whether a slow subtask is slow on every worker."""

        self.now = 0.0
        self.result = Result()
        self.scheduler = PoolScheduler(1, self._log_event)
        self.workers = {f"i-{number}": Worker() for number in range(WORKERS)}
        self.due: list[tuple[float, str, SubtaskId, int, EndReason]] = []
        self.answers: list[tuple[str, SubtaskId, int]] = []
        records = [
            WorkerRecord(
                name,
                1,
                "pool",
                name,
                "zone-a",
                Resources(CORES * 1000, 640_000),
                ("a", "r1-1"),
                is_draining=False,
            )
            for name in self.workers
        ]
        self.scheduler.update_workers(records, self.now)

    def run(self) -> Result:
        """Run until all jobs have ended; return the figures."""
        waiting = sorted(self.arrivals.values(), key=lambda row: -row.at)
        table = self.scheduler.job_table
        tick = 0
        while waiting or table.jobs:
            tick += 1
            self.now = tick * TICK_S
            if self.now > ARRIVAL_S + DRAIN_LIMIT_S:
                raise RuntimeError(f"{len(table.jobs)} jobs have not ended")
            while waiting and waiting[-1].at <= self.now:
                self.scheduler.add_job(waiting.pop().submission, None, self.now)
            self._apply_answers()
            self._end_due_runs()
            self._report(is_full=tick % round(REPORT_INTERVAL_S / TICK_S) == 1)
            for command in self.scheduler.schedule(self.now, self.now * 1000):
                if isinstance(command, StartCommand):
                    self._start(
                        command.worker, command.order.subtask, command.order.run
                    )
                elif isinstance(command, StopCommand):
                    self._stop(command)
            millis = self.scheduler.copies.count_cpu_millis()
            self.result.copy_core_s += millis / 1000 * TICK_S
            share = millis / (1000 * WORKERS * CORES)
            self.result.max_copy_share = max(self.result.max_copy_share, share)
        return self.result

    def _log_event(self, event: str, /, **fields: object) -> None:
        result = self.result
        if event == "copy_started":
            result.copies += 1
        elif event == "copy_ended":
            result.copies_won += fields["outcome"] == "copy_done"
            result.thrown_away_core_s += float(str(fields["thrown_away_core_s"]))
        elif event == "job_ended":
            self._record_job(str(fields["job"]), str(fields["state"]))

    def _record_job(self, job: str, state: str) -> None:
        arrival = self.arrivals[job]
        if state != JobState.DONE.value:
            raise RuntimeError(f"job {job} is {state}")
        submission = arrival.submission
        took_s = self.now - arrival.at
        path_s = arrival.duration_s * len(submission.spec.steps)
        target_s = submission.stretch * path_s + submission.target_offset_ms / 1000
        self.result.completion_s.append(took_s)
        self.result.in_time += took_s <= target_s

    def _compute_duration(self, subtask: SubtaskId, run: int) -> float:
        """Return the time of a run; the same whatever else is started."""
        name = f"{self.seed} {subtask} {0 if self.is_inherent else run}"
        draw = Random(name)
        is_slow = draw.random() < SLOW_SHARE
        factor = draw.uniform(*SLOW_FACTORS) if is_slow else 1.0
        return self.arrivals[subtask.job].duration_s * factor

    def _start(self, name: str, subtask: SubtaskId, run: int) -> None:
        end = self.now + self._compute_duration(subtask, run)
        self.workers[name].runs[subtask, run] = self.now, end
        self.answers.append((name, subtask, run))
        heapq.heappush(self.due, (end, name, subtask, run, EndReason.DONE))

    def _stop(self, command: StopCommand) -> None:
        row = command.worker, command.subtask, command.run, EndReason.STOPPED
        heapq.heappush(self.due, (self.now + STOP_S, *row))
        self.scheduler.apply_stop_response(*row[:3], self.now)

    def _apply_answers(self) -> None:
        answers, self.answers = self.answers, []
        for name, subtask, run in answers:
            self.scheduler.apply_start_outcome(
                name, subtask, run, StartOutcome.STARTED, self.now, 0.0
            )

    def _end_due_runs(self) -> None:
        while self.due and self.due[0][0] <= self.now:
            end, name, subtask, run, reason = heapq.heappop(self.due)
            worker = self.workers[name]
            times = worker.runs.pop((subtask, run), None)
            if times is None:
                continue
            spec = self.arrivals[subtask.job].submission.spec.steps[subtask.step]
            self.result.work_core_s += (end - times[0]) * spec.needs.cpu_millis / 1000
            worker.end_count += 1
            worker.ends.append(RunEnd(worker.end_count, subtask, run, reason, ""))

    def _report(self, is_full: bool) -> None:
        for name, worker in self.workers.items():
            if not is_full and not worker.ends:
                continue
            running = tuple(
                RunStatus(
                    subtask, run, "", int(100 * (self.now - begin) / (end - begin))
                )
                for (subtask, run), (begin, end) in worker.runs.items()
            )
            ends, worker.ends = tuple(worker.ends), []
            report = WorkerReport(0, 1, running, ends)
            self.scheduler.apply_report(name, report, self.now, self.now)


def run_load(
    load: float, seed: int, allows_copies: bool, is_inherent: bool = False
) -> Result:
    """Run the jobs of one load."""
    arrivals = generate_arrivals(load, seed, allows_copies)
    return UnevenLoad(arrivals, seed, is_inherent).run()


def measure(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the completion of jobs with copies, and without as the baseline."""
    entries = []
    for load in MEASURED_LOADS:
        copied = run_load(load, seed, allows_copies=True)
        plain = run_load(load, seed, allows_copies=False)
        percent = round(100 * load)
        for value in (50, 90, 99):
            entries.append(
                MeasureEntry(
                    f"copies_completion_p{value}_load_{percent}",
                    deployment,
                    "s",
                    round(copied.get_percentile(value), 3),
                    round(plain.get_percentile(value), 3),
                    None,
                    "",
                    None,
                )
            )
        entries.append(
            MeasureEntry(
                f"copies_share_of_work_load_{percent}",
                deployment,
                "ratio",
                round(copied.copy_core_s / copied.work_core_s, 4),
                0.0,
                None,
                "",
                None,
            )
        )
    return entries


def main() -> None:
    """Print all loads as JSON lines, each over three seeds."""
    for is_inherent in (False, True):
        for load in LOADS:
            results: dict[bool, Result] = defaultdict(Result)
            for allows_copies in (False, True):
                for seed in (1, 2, 3):
                    run = run_load(load, seed, allows_copies, is_inherent)
                    results[allows_copies].merge(run)
                row = {
                    "slow_everywhere": is_inherent,
                    "load": load,
                    "copies_allowed": allows_copies,
                }
                figures = results[allows_copies].describe()
                print(json.dumps(row | figures), flush=True)


if __name__ == "__main__":
    main()
