"""State shared by the components of one cell's dispatcher."""

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
    """Workers, queue, grants and the statistics derived from their outcomes."""

    config: DispatcherConfig
    """Limits and policy parameters."""

    random: Random
    """Random source for the jitter of retry times."""

    workers: WorkerSet
    """Workers of the cell, by VM and by free slots."""

    queue: WaitingQueue
    """Demands that wait for a slot."""

    grants: GrantTable
    """Grants that are not released yet."""

    estimates: RunTimeEstimates
    """Run time estimates by kind of work."""

    outliers: OutlierDetector
    """Outcomes by worker, and the ejected workers."""

    leaving: LeavingMarks
    """Marks of VMs that are leaving, by source."""

    retry_budget: RetryBudget
    """Token bucket that limits retries."""

    unrunnable_jobs: UnrunnableJobs
    """Kinds of work that fail on every worker."""

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
        """Return a team's weight; the minimum of 1 for unknown teams."""
        configured_team = self.teams.get(team)
        return float(max(1, configured_team.weight)) if configured_team else 1.0

    def allows_urgent(self, team: str) -> bool:
        """Return whether a team may mark requests as urgent; False if unknown."""
        configured_team = self.teams.get(team)
        return configured_team is not None and configured_team.urgent_allowed

    def update_fairness_slack(self) -> None:
        """Recompute the fairness slack from serving slots and median run time."""
        cell_run_ms = self.workers.serving_slots * self.estimates.cell_median_ms()
        for queue in self.queue.by_class.values():
            queue.slack_ms = self.config.fairness_slack_runs * cell_run_ms

    def exceeds_share_cap(self, team: str) -> bool:
        """Return whether one more slot would put a team over its share cap.

        A cap always allows one slot; unknown teams have no cap.
        """
        configured_team = self.teams.get(team)
        if configured_team is None or configured_team.share_cap >= 1.0:
            return False
        held = self.grants.held_by_team.get(team, 0)
        allowed = max(1.0, configured_team.share_cap * self.workers.serving_slots)
        return held + 1 > allowed

    def refresh_worker(self, worker: Worker, now: float) -> None:
        """Recompute a worker's flags and reindex it after a mark or an outcome."""
        vm = worker.spec.vm
        history = self.outliers.histories.get(vm)
        worker.leaving = self.leaving.is_leaving(vm, now)
        worker.ejected = vm in self.outliers.ejected
        worker.suspect = history is not None and history.consecutive_failures > 0
        expires_at = self.leaving.mark_expiry(vm, now)
        if expires_at is not None:
            self.workers.schedule_refresh(worker, expires_at)
        self.workers.reindex(worker, now)
