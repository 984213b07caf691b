"""Placement of gangs, whose members start together or not at all."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from sesameladder.jobs._job import Step, Subtask
from sesameladder.jobs._model import SubtaskId
from sesameladder.jobs._placement import choose_worker
from sesameladder.jobs._runs import Run, WorkerView

GANG_START_LIMIT_S = 1.5  # half the time after which members stop waiting for others


@dataclass(frozen=True, slots=True)
class GangPlan:
    """Members to start under one run number, or runs of the gang to stop."""

    number: int = 0
    rack: str = ""
    starts: tuple[tuple[Subtask, WorkerView], ...] = ()
    runs_to_stop: tuple[Run, ...] = ()


NOTHING_TO_DO = GangPlan()


def plan_gang(
    step: Step,
    accepting: list[WorkerView],
    runs: Mapping[SubtaskId, Run],
    tickets: dict[str, str] | None,
    is_announced: Callable[[Subtask, int], bool],
    may_start: Callable[[Step], bool],
    now: float,
) -> GangPlan:
    """Plan the start of all members of a gang at once, or only of the missing ones.

    ``runs`` are the current runs by subtask. ``is_announced`` tells whether a member
    may start under a run number, and announces the run of a suspect first.
    ``may_start`` tells whether the caps let the waiting members start; a gang that has
    lost a member is stopped even if they don't.
    """
    members = step.subtasks
    active = tuple(filter(None, (runs.get(subtask.id) for subtask in members)))
    if any(run.stopping_since is not None for run in active):
        return NOTHING_TO_DO
    waiting = list(step.waiting.values())
    if len(active) + len(waiting) < len(members):
        return NOTHING_TO_DO
    if active and now - min(run.sent_at for run in active) > GANG_START_LIMIT_S:
        return GangPlan(runs_to_stop=active)
    if any(subtask.not_before > now for subtask in waiting):
        return NOTHING_TO_DO
    number = max(subtask.last_run for subtask in members)
    if active and any(
        number in subtask.crashes and number != subtask.announced_run
        for subtask in waiting
    ):
        # A member that crashed with its worker has broken this run of the gang.
        return GangPlan(runs_to_stop=active)
    if not may_start(step):
        return NOTHING_TO_DO
    number += 0 if active else 1
    announced = [is_announced(subtask, number) for subtask in waiting]
    if not all(announced):
        return NOTHING_TO_DO
    racks = {view.rack for view in accepting} if step.spec.same_rack else {""}
    for rack in sorted(racks):
        starts = _choose_workers(waiting, accepting, number, rack, tickets, now)
        if starts:
            return GangPlan(number, rack, starts)
    return NOTHING_TO_DO


def _choose_workers(
    waiting: list[Subtask],
    accepting: list[WorkerView],
    number: int,
    rack: str,
    tickets: dict[str, str] | None,
    now: float,
) -> tuple[tuple[Subtask, WorkerView], ...]:
    """Return a worker for each member, or nothing if not all of them fit."""
    reserved: list[Run] = []
    for subtask in waiting:
        worker = choose_worker(subtask, accepting, tickets, rack)
        if worker is None:
            break
        run = Run(subtask, number, worker, now)
        worker.add(run)
        reserved.append(run)
    for run in reserved:
        run.worker.remove(run)
    if len(reserved) < len(waiting):
        return ()
    return tuple((run.subtask, run.worker) for run in reserved)
