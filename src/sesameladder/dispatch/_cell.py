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

    retry_budget: RetryBudget
    """Budget of retries."""

    unrunnable_jobs: UnrunnableJobs
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
            leaving=LeavingMarks(config.leaving_refusal_ttl_s),
            retry_budget=RetryBudget(config),
            unrunnable_jobs=UnrunnableJobs(config),
        )

    def team_weight(self, team: str) -> float:
        """Return a team's weight; unknown teams have the least."""
        configured_team = self.teams.get(team)
        return float(max(1, configured_team.weight)) if configured_team else 1.0

    def allows_urgent(self, team: str) -> bool:
        """Return whether a team's contract lets it mark requests as urgent."""
        configured_team = self.teams.get(team)
        return configured_team is not None and configured_team.urgent_allowed

    def update_fairness_slack(self) -> None:
        """Bring the lead that order may give a team up to date."""
        cell_run_ms = self.workers.serving_slots * self.estimates.cell_median_ms()
        for queue in self.queue.by_class.values():
            queue.slack_ms = self.config.fairness_slack_runs * cell_run_ms

    def exceeds_share_cap(self, team: str) -> bool:
        """Return whether one more slot puts a team over its share cap."""
        configured_team = self.teams.get(team)
        if configured_team is None or configured_team.share_cap >= 1.0:
            return False
        held = self.grants.held_by_team.get(team, 0)
        allowed = max(1.0, configured_team.share_cap * self.workers.serving_slots)
        return held + 1 > allowed

    def refresh_worker(self, worker: Worker, now: float) -> None:
        """Bring a worker's state up to date after news or an outcome."""
        vm = worker.spec.vm
        history = self.outliers.histories.get(vm)
        worker.leaving = self.leaving.is_leaving(vm, now)
        worker.ejected = vm in self.outliers.ejected
        worker.suspect = history is not None and history.consecutive_failures > 0
        expires_at = self.leaving.mark_expiry(vm, now)
        if expires_at is not None:
            self.workers.schedule_refresh(worker, expires_at)
        self.workers.reindex(worker, now)
