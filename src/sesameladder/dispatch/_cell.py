"""The state that the parts of one cell's dispatcher share."""

from dataclasses import dataclass, field
from random import Random

from sesameladder.dispatch._config import DispatcherConfig
from sesameladder.dispatch._estimates import RunTimeEstimates
from sesameladder.dispatch._grants import GrantTable
from sesameladder.dispatch._leaving import LeavingMarks
from sesameladder.dispatch._outliers import OutlierDetector
from sesameladder.dispatch._queue import WaitingQueue
from sesameladder.dispatch._retries import RetryBudget, UnrunnableJobs
from sesameladder.dispatch._workers import Worker, WorkerSet
from sesameladder.model import Team


@dataclass(slots=True)
class CellState:
    """Workers, queue, grants and what was learned of them."""

    config: DispatcherConfig
    """Limits and policy parameters."""

    random: Random
    """Source of jitter."""

    workers: WorkerSet
    """Workers by VM."""

    queue: WaitingQueue
    """Waiting demands."""

    grants: GrantTable
    """Outstanding grants."""

    estimates: RunTimeEstimates
    """Run times by kind."""

    outliers: OutlierDetector
    """Ejected workers."""

    leaving: LeavingMarks
    """News of leaving VMs."""

    retries: RetryBudget
    """Budget of retries."""

    unrunnable: UnrunnableJobs
    """Jobs that fail everywhere."""

    teams: dict[str, Team] = field(default_factory=dict)
    """Teams by name."""

    @classmethod
    def create(cls, config: DispatcherConfig, random: Random) -> "CellState":
        """Return the state of a cell without workers."""
        return cls(
            config=config,
            random=random,
            workers=WorkerSet(),
            queue=WaitingQueue(),
            grants=GrantTable(),
            estimates=RunTimeEstimates(config),
            outliers=OutlierDetector(config, random),
            leaving=LeavingMarks(config.refusal_hold_s),
            retries=RetryBudget(config),
            unrunnable=UnrunnableJobs(config),
        )

    def weight(self, team: str) -> float:
        """Return a team's weight; unknown teams have the least."""
        known = self.teams.get(team)
        return float(max(1, known.weight)) if known else 1.0

    def allows_urgent(self, team: str) -> bool:
        """Return whether a team's contract lets it mark requests as urgent."""
        known = self.teams.get(team)
        return known is not None and known.urgent_allowed

    def set_fair_slack(self) -> None:
        """Bring the lead that order may give a team up to date."""
        cell_run_ms = self.workers.serving_slots * self.estimates.cell_median_ms()
        for queue in self.queue.by_class.values():
            queue.slack_ms = self.config.fair_slack * cell_run_ms

    def exceeds_share(self, team: str) -> bool:
        """Return whether one more slot puts a team over its share cap."""
        known = self.teams.get(team)
        if known is None or known.share_cap >= 1.0:
            return False
        held = self.grants.held_by_team.get(team, 0)
        allowed = max(1.0, known.share_cap * self.workers.serving_slots)
        return held + 1 > allowed

    def refresh(self, worker: Worker, now: float) -> None:
        """Bring a worker's state up to date after news or an outcome."""
        vm = worker.spec.vm
        history = self.outliers.histories.get(vm)
        worker.leaving = self.leaving.is_leaving(vm, now)
        worker.ejected = vm in self.outliers.ejected
        worker.suspect = history is not None and history.streak > 0
        lapse = self.leaving.lapse_time(vm, now)
        if lapse is not None:
            self.workers.refresh_at(worker, lapse)
        self.workers.refresh(worker, now)
