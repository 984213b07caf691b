"""Which waiting subtasks of a pool may start under the caps of their organisations."""

from collections import Counter
from collections.abc import Iterable
from math import inf
from typing import Protocol

from sesameladder.jobs._job import Step, Subtask
from sesameladder.jobs._model import JobSpec
from sesameladder.jobs._runs import Run, WorkerView
from sesameladder.organisations import (
    NOTHING,
    Amounts,
    CapPass,
    DemandLimit,
    Organisation,
    add,
    exceeds_cap,
    multiply,
    to_amounts,
)

NO_CAPS = CapPass({})
# A configuration is in force for 3 s after a newer one; the view is up to 1.5 s old.
START_VALID_S = 1.5


class PoolCaps(Protocol):
    """What decides on the caps for the passes of one pool."""

    def begin_pass(
        self,
        names: Iterable[str],
        present: dict[str, Amounts],
        own: dict[str, Amounts],
        is_settled: bool,
        free_cpu_millis: int,
        now: float,
    ) -> CapPass:
        """Return what a pass may start; see ``CapLedger.begin_pass``."""

    def end_pass(self, result: CapPass, now: float) -> None:
        """Apply what the pass has started and refused."""


class CappedStarts:
    """Answers for each waiting subtask whether the caps let it start.

    What may be present is summed once a pass, over all runs of all workers. An answer
    for a subtask takes one look-up. A step of an organisation that can't start
    anything costs one answer.
    """

    __slots__ = ("began_at", "caps", "current")

    def __init__(self, caps: PoolCaps) -> None:
        self.caps = caps
        self.current = NO_CAPS
        self.began_at = 0.0

    def begin_pass(
        self,
        open_steps: Iterable[Step],
        workers: Iterable[WorkerView],
        lost_subtasks: Iterable[Subtask],
        last_earlier_run: int,
        is_settled: bool,
        now: float,
    ) -> None:
        """Sum what may be present and read what may be started.

        ``lost_subtasks`` are those whose run may be on a worker's next incarnation.
        Runs up to the number ``last_earlier_run`` were started by earlier owners.
        """
        free_cpu_millis = 0
        runs_by_step: Counter[Step] = Counter()
        own_by_step: Counter[Step] = Counter()
        for view in workers:
            if view.accepts_work(now):
                free_cpu_millis += max(0, view.free_cpu_millis)
            runs_by_step.update([run.subtask.step for run in view.runs.values()])
            if not is_settled:
                own_by_step.update(
                    run.subtask.step
                    for run in view.runs.values()
                    if run.number > last_earlier_run
                )
        lost = [row.step for row in lost_subtasks if now < row.not_before]
        runs_by_step.update(lost)
        own_by_step.update(lost)
        present = _sum_by_organisation(runs_by_step)
        own = _sum_by_organisation(own_by_step)
        names = {step.job.submission.organisation for step in open_steps}
        names.update(present)
        self.began_at = now
        self.current = self.caps.begin_pass(
            names, present, own, is_settled, free_cpu_millis, now
        )

    def end_pass(self, now: float) -> None:
        """Pass on what was started and refused."""
        self.caps.end_pass(self.current, now)

    def may_start_step(self, step: Step) -> bool:
        """Return whether a subtask of a step may start, or all of a gang's waiting.

        A refused step counts as waiting for the cap.
        """
        organisation = step.job.submission.organisation
        if not organisation:
            return True
        needs = step.spec.needs
        count = step.waiting_count
        together = count if step.spec.gang else 1
        if self.current.may_start(organisation, needs, together):
            return True
        self.current.record_refusal(organisation, needs, count, together)
        return False

    def may_start(self, subtask: Subtask) -> bool:
        """Return whether one more subtask of a step may start.

        Once one is refused, it and the rest of the step count as waiting for the cap.
        """
        organisation = subtask.step.job.submission.organisation
        if not organisation:
            return True
        needs = subtask.step.spec.needs
        if self.current.may_start(organisation, needs):
            return True
        count = subtask.step.waiting_count
        self.current.record_refusal(organisation, needs, count)
        return False

    def has_room(self, subtask: Subtask) -> bool:
        """Return whether a copy of a subtask may start.

        A refused copy doesn't count as waiting: no pool gives up its row for it.
        """
        organisation = subtask.step.job.submission.organisation
        needs = subtask.step.spec.needs
        return not organisation or self.current.may_start(organisation, needs)

    def record_start(self, subtask: Subtask) -> None:
        """Count a start of this pass."""
        organisation = subtask.step.job.submission.organisation
        if organisation:
            needs = subtask.step.spec.needs
            self.current.record_start(organisation, needs)

    def may_repeat(self, run: Run) -> bool:
        """Return whether a start that got no response may be repeated now."""
        return self.current.may_repeat(run.subtask.step.job.submission.organisation)

    def must_block(self, run: Run) -> bool:
        """Return whether a start that got no response is to be blocked by a stop.

        The cap has been lowered since it was first sent, and it may not have begun.
        """
        return self.current.must_block(run.subtask.step.job.submission.organisation)

    def get_start_deadline(self, run: Run) -> float:
        """Return the time after which a start must not be sent any more.

        The process may be paused between the decision and the sending.
        """
        if run.subtask.step.job.submission.organisation not in self.current.caps:
            return inf
        return self.began_at + START_VALID_S

    def limit_demand(self) -> DemandLimit:
        """Return the part of the waiting work that the caps let the pool start."""
        return DemandLimit(self.current.rooms)


def _sum_by_organisation(counts: Counter[Step]) -> dict[str, Amounts]:
    sums: dict[str, Amounts] = {}
    for step, count in counts.items():
        name = step.job.submission.organisation
        if name:
            needs = multiply(to_amounts(step.spec.needs), count)
            sums[name] = add(sums.get(name, NOTHING), needs)
    return sums


def explain_impossible_gang(spec: JobSpec, organisation: Organisation) -> str:
    """Return why a job can never run under the cap of its organisation, or nothing.

    The members of a gang run at the same time, so the cap has to hold all of them. A
    single subtask that exceeds the cap runs alone.
    """
    for number, step in enumerate(spec.steps):
        needs = multiply(to_amounts(step.needs), step.count)
        if step.gang and exceeds_cap(needs, organisation.cap):
            return (
                f"step {number} can never run: its {step.count} subtasks start "
                f"together and exceed the cap of the organisation"
            )
    return ""
