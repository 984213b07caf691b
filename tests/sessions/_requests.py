"""Requests of a day at one cell, with their outcomes."""

from random import Random

from sesameladder.dispatch import (
    Demand,
    Dispatcher,
    DispatcherConfig,
    Granted,
    GrantOutcome,
    LeavingSource,
    OutcomeKind,
    Refused,
    WorkerSpec,
)
from tests.sessions._day import Day
from tests.sessions._tokens import TokenDesk

FORWARDER = "entry-a3"
DEADLINE_S = 60.0
RECOVERY_S = 3.0
SHORT_REQUESTS = 8


class RequestDesk:
    """Sends requests to the dispatcher of the first zone's first pool."""

    __slots__ = ("count", "day", "dispatcher", "plain_team", "urgent_team")

    def __init__(self, day: Day) -> None:
        self.day = day
        self.count = 0
        state = day.region.state
        pool = min(name for name, pool in state.pools.items() if not pool.spare)
        zone = next(iter(day.example.entries))
        config = DispatcherConfig.from_pool(state.pools[pool])
        self.dispatcher = Dispatcher(config, Random(1), f"{pool}/{zone}-")
        self.dispatcher.update_teams(dict(state.teams))
        workers = [
            WorkerSpec(vm.name, vm.rack, vm.address, vm.slots, vm.connections)
            for vm in state.vms.values()
            if (vm.pool, vm.zone) == (pool, zone)
        ]
        self.dispatcher.update_workers(workers, day.now())
        teams = sorted(state.teams.values(), key=lambda team: team.name)
        self.urgent_team = next(team.name for team in teams if team.urgent_allowed)
        self.plain_team = next(team.name for team in teams if not team.urgent_allowed)

    def run(self) -> None:
        """Send requests of each sort and write their outcomes down."""
        self.recover()
        self.run_short()
        self.run_beside_long()
        self.run_refused_by_worker()
        self.run_without_worker()
        TokenDesk(self.day).run()

    def recover(self) -> None:
        """Let the dispatcher learn that no task runs, so that it grants."""
        self.dispatcher.recover([], self.day.now())
        self.day.run(RECOVERY_S)
        now = self.day.now()
        workers = self.dispatcher.workers_awaiting_report(now)
        for worker in workers:
            self.dispatcher.apply_task_report(worker.vm, 0, now)
        names = ", ".join(sorted(worker.vm for worker in workers))
        self.day.transcript.add("dispatcher", f"recovered with {names}")

    def run_short(self) -> None:
        """Run short requests, which earn the retry that is used later."""
        for _ in range(SHORT_REQUESTS):
            granted = self.send("short", self.plain_team)
            self.end(granted, OutcomeKind.SUCCEEDED, 0.12)

    def run_beside_long(self) -> None:
        """Run a short and an urgent request while a long one runs."""
        long = self.send("long", self.plain_team, expected_ms=20_000.0)
        self.day.run(2)
        short = self.send("short", self.plain_team)
        self.end(short, OutcomeKind.SUCCEEDED, 0.12)
        self.day.run(1)
        urgent = self.send("urgent", self.urgent_team, urgent=True)
        self.end(urgent, OutcomeKind.SUCCEEDED, 0.08)
        self.day.run(20)
        self.end(long, OutcomeKind.SUCCEEDED, 23.0, elapsed_s=0.0)

    def run_refused_by_worker(self) -> None:
        """Retry a request that a worker refused as not run on another worker."""
        first = self.send("short", self.plain_team)
        self.end(first, OutcomeKind.NOT_RUN_LEAVING, 0.0)
        retry = self.send("short", self.plain_team, tried=first)
        assert retry.vm != first.vm
        self.end(retry, OutcomeKind.SUCCEEDED, 0.12)

    def run_without_worker(self) -> None:
        """Send a request while every worker of the cell is leaving."""
        vms = sorted(self.dispatcher.cell.workers.by_vm)
        for vm in vms:
            self.dispatcher.mark_leaving(vm, LeavingSource.PLAN, self.day.now())
        demand = self.build("short", self.plain_team)
        refused = self.dispatcher.submit(demand, self.day.now())
        assert isinstance(refused, Refused)
        text = f"{demand.demand_id} short refused as not run: {refused.reason.value}"
        self.day.transcript.add("dispatcher", text)
        for vm in vms:
            self.dispatcher.mark_serving(vm, LeavingSource.PLAN, self.day.now())
        self.day.run(1)

    def send(
        self,
        kind: str,
        team: str,
        expected_ms: float | None = None,
        urgent: bool = False,
        tried: Granted | None = None,
    ) -> Granted:
        """Submit a demand and return its grant."""
        demand = self.build(kind, team, expected_ms, urgent, tried)
        now = self.day.now()
        queued = self.dispatcher.submit(demand, now)
        assert not isinstance(queued, Refused), queued
        (granted,) = self.dispatcher.poll(now)
        assert isinstance(granted, Granted)
        text = f"{demand.demand_id} {kind} of {team} granted on {granted.vm}"
        self.day.transcript.add("dispatcher", text)
        return granted

    def end(
        self,
        granted: Granted,
        kind: OutcomeKind,
        ran_s: float,
        elapsed_s: float | None = None,
    ) -> None:
        """Release a grant and let a second pass."""
        ended_at = self.day.now() + (ran_s if elapsed_s is None else elapsed_s)
        outcome = GrantOutcome(kind, ran_s * 1000)
        assert self.dispatcher.release(granted.grant_id, outcome, ended_at)
        text = f"{granted.demand_id} {kind.value.replace('_', ' ')}"
        self.day.transcript.add("caller", text)
        self.day.run(1)

    def build(
        self,
        kind: str,
        team: str,
        expected_ms: float | None = None,
        urgent: bool = False,
        tried: Granted | None = None,
    ) -> Demand:
        """Return the demand of a new request, or of a retry after a grant."""
        self.count += tried is None
        return Demand(
            demand_id=f"request {self.count}",
            forwarder=FORWARDER,
            incarnation=1,
            team=team,
            kind=kind,
            urgent=urgent,
            repeatable=True,
            attempt=2 if tried else 1,
            expected_ms=expected_ms,
            checkpointable=False,
            deadline=self.day.now() + DEADLINE_S,
            tried_workers=(tried.vm,) if tried else (),
            tried_racks=(tried.rack,) if tried else (),
            resumed=False,
        )
