"""Cores that a pool's jobs need, from which the fleet role plans its size."""

from collections.abc import Iterable
from dataclasses import dataclass

from sesameladder.jobs._durations import DurationTable
from sesameladder.jobs._job import Step
from sesameladder.jobs._ordering import Urgency
from sesameladder.jobs._runs import Run
from sesameladder.organisations import DemandLimit

# A job of 1 s has a target of 2 to 3 s, which it misses if it waits longer.
BACKLOG_CLEAR_S = 1.0


@dataclass(frozen=True, slots=True)
class CoreDemand:
    """Demand of a pool in cores."""

    used: float
    """Cores in use, without those of best-effort work."""

    waiting: float
    """Cores that would clear the backlog within ``BACKLOG_CLEAR_S``.

    Overdue steps are not counted, since they only use capacity that others leave.
    """

    late: float
    """Part of both for jobs that can't end in time any more."""

    offered: float = 0.0
    """Cores of long-running work, and those that the arriving short work will need."""


def estimate_demand(
    steps: Iterable[Step],
    runs: Iterable[Run],
    durations: DurationTable,
    offered_cores: float = 0.0,
    limit: DemandLimit | None = None,
) -> CoreDemand:
    """Return the demand of the steps that wait and of the current runs.

    Several short subtasks share a core while the backlog is cleared. ``offered_cores``
    would end short work at the rate at which it arrives. Work that the caps forbid,
    by ``limit``, is not counted: VMs would be moved for it in vain.
    """
    used = waiting = late = lasting = 0.0
    for run in runs:
        step = run.subtask.step
        if not step.spec.is_best_effort:
            used += step.spec.needs.cpu_millis
            late += step.spec.needs.cpu_millis if step.urgency >= Urgency.LATE else 0
            lasting += step.spec.needs.cpu_millis if step.spec.is_long_running else 0
    for step in steps:
        if step.spec.is_best_effort or step.urgency >= Urgency.OVERDUE:
            continue
        share = 1.0
        if not step.spec.is_long_running:
            expected_s = durations.estimate_duration(step.job.submission, step.number)
            share = min(1.0, expected_s / BACKLOG_CLEAR_S)
        millis = step.waiting_count * step.spec.needs.cpu_millis * share
        if limit is not None:
            organisation = step.job.submission.organisation
            millis = limit.take(organisation, step.spec.needs, millis)
        waiting += millis
        late += millis if step.urgency >= Urgency.LATE else 0
        lasting += millis if step.spec.is_long_running else 0
    return CoreDemand(
        used / 1000, waiting / 1000, late / 1000, lasting / 1000 + offered_cores
    )
