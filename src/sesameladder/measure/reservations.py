"""Reservations for wide subtasks against placement without them.

Plays one pool of real decision code on a virtual clock at loads below and above its
room, with and without reservations on the same demand, and times a pass of the owner.
Run it with ``python -m sesameladder.measure.reservations [order | cost]``; the results
are in docs/design/reservations.md. Only the times of the passes depend on the hardware.
"""

import heapq
import json
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from statistics import mean, median, quantiles

from sesameladder.jobs import (
    EndReason,
    JobSpec,
    JobState,
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
from sesameladder.jobs._ordering import OVERDUE_FACTOR

LOADS = (0.5, 0.8, 1.0, 1.5, 2.0)
SEEDS = tuple(range(1, 9))
WORKERS = 43
CORES = 32
DEMAND_S = 30.0
DRAIN_S = 10.0
TICK_S = 0.02
REPORT_DELAY_S = 0.03
WIDTH_SPREAD = 0.45
DURATION_SPREAD = 0.2
ESTIMATE_SPREAD = 0.3
TAIL_SHARE = 0.03  # of the subtasks of customer B run up to ``TAIL_FACTOR`` as long
TAIL_FACTOR = 7.0
WORK_OF_WIDE_JOBS = 0.5  # share of the offered work
POOL_SIZES = (43, 300)
WAITING_SUBTASKS = 2_000
PASSES = 200


@dataclass(frozen=True, slots=True)
class JobKind:
    """Jobs of one queue; the cores vary from job to job."""

    queue: str
    priority: int
    steps: float
    """Mean number of steps, 1 or 2 each."""

    cores: float
    duration_s: float

    @property
    def core_s(self) -> float:
        """Return the approximate mean work in core-seconds."""
        return self.steps * 8 * self.cores * self.duration_s * 1.1


KINDS = (JobKind("short", 0, 1.6, 3.1, 0.8), JobKind("wide", 1, 2.0, 6.7, 1.3))


@dataclass(slots=True)
class Subject:
    """What is measured of a job."""

    cpu_millis: int
    accepted_at: float
    target_s: float
    waits_s: list[float] = field(default_factory=list)


class Pool:
    """One pool with its owner and workers that start and end runs without faults."""

    def __init__(self, seed: int, workers: int, has_tail: bool = False) -> None:
        self.random = Random(seed)
        self.has_tail = has_tail
        self.now = 0.0
        self.scheduler = PoolScheduler(1, _ignore_event)
        records = [
            WorkerRecord(
                f"i-{number}",
                1,
                "pool",
                "10.0.0.1:1",
                "zone-a",
                Resources(CORES * 1000, 64_000),
                ("a", "r1-1", f"w-{number}"),
                is_draining=False,
            )
            for number in range(workers)
        ]
        self.scheduler.update_workers(records, 0.0)
        for row in records:
            empty = WorkerReport(0, 1, (), ())
            self.scheduler.apply_report(row.worker, empty, 0.0, 0.0)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.starts = 0
        self.ends: dict[str, int] = {}
        self.subjects: dict[str, Subject] = {}
        self.opened_at: dict[tuple[str, int, int], float] = {}
        self.unused_core_s = self.waiting_core_s = 0.0
        for number in range(workers):
            self._occupy(number)
        self.step()
        self.room_cores = self.scheduler.measure_load(self.now).free_cores

    def _occupy(self, number: int) -> None:
        """Start one to three long-running subtasks of 4 to 5 cores on a worker."""
        spec = StepSpec(
            self.random.randint(1, 3),
            Resources(self.random.randint(4000, 5000), 100),
            label=f"w-{number}",
            is_long_running=True,
        )
        job = Submission(f"lasting-{number}", "lasting", JobSpec("", (spec,)))
        self.scheduler.add_job(job, None, 0.0)

    def submit(self, kind: JobKind) -> None:
        """Submit one job of a kind."""
        draw = self.random
        cores = min(20.0, kind.cores * draw.lognormvariate(0.0, WIDTH_SPREAD))
        needs = Resources(round(cores * 1000), 100)
        estimate_s = kind.duration_s * draw.lognormvariate(0.0, ESTIMATE_SPREAD)
        steps = 1 + (draw.random() < kind.steps - 1)
        rows = tuple(
            StepSpec(
                draw.randint(4, 12),
                needs,
                estimate_ms=round(estimate_s * 1000),
                after=(number - 1,) if number else (),
                image=kind.queue,
            )
            for number in range(steps)
        )
        name = f"{len(self.subjects):016x}"
        target_s = 1.6 * kind.duration_s * steps + 0.6
        self.subjects[name] = Subject(needs.cpu_millis, self.now, target_s)
        self.opened_at[name, 0, 0] = self.now
        submission = Submission(
            name,
            kind.queue,
            JobSpec("", rows),
            priority=kind.priority,
            stretch=1.6,
            target_offset_ms=600,
        )
        self.scheduler.add_job(submission, None, self.now)

    def step(self) -> None:
        """Apply what has ended, and let the owner decide."""
        self.now = round(self.now + TICK_S, 6)
        while self.events and self.events[0][0] <= self.now:
            heapq.heappop(self.events)[2]()
        for command in self.scheduler.schedule(self.now, self.now * 1000):
            if isinstance(command, StartCommand):
                self._deliver(command)

    def measure_unused(self) -> None:
        """Add the unused room of the last tick, if something waits."""
        load = self.scheduler.measure_load(self.now)
        if load.waiting:
            self.unused_core_s += load.free_cores * TICK_S
            self.waiting_core_s += self.room_cores * TICK_S

    def _deliver(self, command: StartCommand) -> None:
        order, worker = command.order, command.worker
        self.scheduler.apply_start_outcome(
            worker, order.subtask, order.run, StartOutcome.STARTED, self.now
        )
        subject = self.subjects.get(order.subtask.job)
        if subject is None:
            return
        subject.waits_s.append(self.now - self.opened_at[order.subtask.step_key])
        job = self.scheduler.job_table.jobs[order.subtask.job]

        def end() -> None:
            number = self.ends[worker] = self.ends.get(worker, 0) + 1
            run_end = RunEnd(number, order.subtask, order.run, EndReason.DONE, "")
            report = WorkerReport(0, 1, (), (run_end,))
            self.scheduler.apply_report(worker, report, self.now - 10.0, self.now)
            for step in job.steps.values():
                if step.is_open:
                    self.opened_at.setdefault(step.key, self.now)

        kind = next(row for row in KINDS if row.queue == job.submission.queue)
        # Drawn by subtask, so that both orders meet the same durations.
        draw = Random(f"{self.has_tail} {order.subtask}")
        duration_s = kind.duration_s * draw.lognormvariate(0.0, DURATION_SPREAD)
        if self.has_tail and draw.random() < TAIL_SHARE:
            duration_s *= draw.uniform(2.0, TAIL_FACTOR)
        self.starts += 1
        at = self.now + duration_s + REPORT_DELAY_S
        heapq.heappush(self.events, (at, self.starts, end))


def play(load: float, seed: int, is_enabled: bool, has_tail: bool = False) -> Pool:
    """Return a pool after a demand of a multiple of its room, and a time to drain."""
    pool = Pool(seed, WORKERS, has_tail)
    pool.scheduler.reservations.is_enabled = is_enabled
    shares = (1 - WORK_OF_WIDE_JOBS, WORK_OF_WIDE_JOBS)
    arrivals = []
    for kind, share in zip(KINDS, shares, strict=True):
        rate = load * share * pool.room_cores / kind.core_s
        at = pool.random.expovariate(rate)
        while at < DEMAND_S:
            arrivals.append((at, kind))
            at += pool.random.expovariate(rate)
    arrivals.sort(key=lambda row: row[0], reverse=True)
    while pool.now < DEMAND_S + DRAIN_S:
        while arrivals and arrivals[-1][0] <= pool.now:
            pool.submit(arrivals.pop()[1])
        pool.step()
        if pool.now <= DEMAND_S:
            pool.measure_unused()
    return pool


def _ignore_event(event: str, **fields: object) -> None:
    """Log nothing."""
    del event, fields


def summarise(pools: list[Pool]) -> dict[str, object]:
    """Return waits and jobs in time of the widest tenth of subtasks and of the rest."""
    rows = [(pool, name) for pool in pools for name in pool.subjects]
    widths = sorted(
        subject.cpu_millis
        for pool in pools
        for subject in pool.subjects.values()
        for _ in range(8)
    )
    widest = widths[len(widths) * 9 // 10]
    result: dict[str, object] = {}
    for group in ("widest", "rest"):
        chosen = [
            (pool, name)
            for pool, name in rows
            if (pool.subjects[name].cpu_millis >= widest) == (group == "widest")
        ]
        waits = [wait for pool, name in chosen for wait in _list_waits(pool, name)]
        cuts = quantiles(waits, n=100)
        result[f"{group}_wait_s"] = [round(cuts[i], 2) for i in (49, 89, 98)]
        for label, factor in (("in_time", 1.0), ("of_use", OVERDUE_FACTOR)):
            served = [_is_served(pool, name, factor) for pool, name in chosen]
            result[f"{group}_{label}"] = round(mean(served), 3)
    unused = sum(pool.unused_core_s for pool in pools)
    result["unused"] = round(unused / sum(pool.waiting_core_s for pool in pools), 3)
    reservations = [pool.scheduler.reservations for pool in pools]
    result["made"] = sum(row.made for row in reservations)
    result["expired"] = sum(row.expired for row in reservations)
    return result


def _list_waits(pool: Pool, name: str) -> list[float]:
    """Return the waits of a job's subtasks; those without a start count up to now."""
    waits = list(pool.subjects[name].waits_s)
    job = pool.scheduler.job_table.jobs.get(name)
    if job is not None:
        for step in job.steps.values():
            if step.waiting_count:
                wait_s = pool.now - pool.opened_at[step.key]
                waits += [wait_s] * step.waiting_count
    return waits


def _is_served(pool: Pool, name: str, factor: float) -> bool:
    subject = pool.subjects[name]
    state, at = pool.scheduler.job_table.ended.get(name, (JobState.QUEUED, 0.0))
    limit_s = factor * subject.target_s
    return state is JobState.DONE and at - subject.accepted_at <= limit_s


def time_passes(workers: int, is_enabled: bool) -> dict[str, float]:
    """Return the median and longest time of a pass of a full pool, in ms.

    Between two passes the run that is due first ends.
    """
    pool = Pool(1, workers)
    pool.scheduler.reservations.is_enabled = is_enabled
    jobs = 0
    for _ in range(2 * workers):
        pool.submit(KINDS[jobs % 2])
        jobs += 1
    for _ in range(10):
        pool.step()
    times_ms = []
    for _ in range(PASSES):
        while pool.scheduler.measure_load(pool.now).waiting < WAITING_SUBTASKS:
            pool.submit(KINDS[jobs % 2])
            jobs += 1
        heapq.heappop(pool.events)[2]()
        pool.now += TICK_S / 10  # keeps the backlog in time
        began_at = time.perf_counter()
        commands = pool.scheduler.schedule(pool.now, pool.now * 1000)
        times_ms.append((time.perf_counter() - began_at) * 1000)
        for command in commands:
            if isinstance(command, StartCommand):
                pool._deliver(command)
    return {"median_ms": round(median(times_ms), 2), "max_ms": round(max(times_ms), 2)}


def main(arguments: list[str]) -> None:
    """Print the figures as JSON lines."""
    if "cost" not in arguments:
        for has_tail in (False, True):
            for load in LOADS:
                for is_enabled in (False, True):
                    pools = [play(load, seed, is_enabled, has_tail) for seed in SEEDS]
                    row = {"tail": has_tail, "load": load, "reserves": is_enabled}
                    print(json.dumps(row | summarise(pools)), flush=True)
    if "order" not in arguments:
        for workers in POOL_SIZES:
            for is_enabled in (False, True):
                cost: dict[str, object] = {"workers": workers, "reserves": is_enabled}
                print(json.dumps(cost | time_passes(workers, is_enabled)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
