"""Scenario of requests at one cell, with their outcomes."""

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
from tests.sessions._tokens import TokenScenario

FORWARDER = "entry-a3"
DEADLINE_S = 60.0
RECOVERY_WAIT_S = 3.0
SHORT_REQUESTS = 8


class RequestScenario:
    """Sends requests to the dispatcher of the first zone's first pool."""

    __slots__ = ("day", "dispatcher", "plain_team", "request_count", "urgent_team")

    def __init__(self, day: Day) -> None:
        self.day = day
        self.request_count = 0
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
        """Run requests with each kind of outcome and add them to the transcript."""
        self.recover_dispatcher()
        self.run_short_requests()
        self.run_beside_long_request()
        self.retry_after_worker_refusal()
        self.submit_without_serving_worker()
        TokenScenario(self.day).run()

    def recover_dispatcher(self) -> None:
        """Report to the dispatcher that no task runs, so that it starts granting."""
        self.dispatcher.recover([], self.day.now())
        self.day.run(RECOVERY_WAIT_S)
        now = self.day.now()
        workers = self.dispatcher.workers_awaiting_report(now)
        for worker in workers:
            self.dispatcher.apply_task_report(worker.vm, 0, now)
        names = ", ".join(sorted(worker.vm for worker in workers))
        self.day.transcript.add("dispatcher", f"recovered with {names}")

    def run_short_requests(self) -> None:
        """Run short requests, which fill the retry budget for a later retry."""
        for _ in range(SHORT_REQUESTS):
            granted = self.submit_granted("short", self.plain_team)
            self.end_request(granted, OutcomeKind.SUCCEEDED, 0.12)

    def run_beside_long_request(self) -> None:
        """Run a short and an urgent request while a long one runs."""
        long_request = self.submit_granted(
            "long", self.plain_team, expected_ms=20_000.0
        )
        self.day.run(2)
        short_request = self.submit_granted("short", self.plain_team)
        self.end_request(short_request, OutcomeKind.SUCCEEDED, 0.12)
        self.day.run(1)
        urgent = self.submit_granted("urgent", self.urgent_team, urgent=True)
        self.end_request(urgent, OutcomeKind.SUCCEEDED, 0.08)
        self.day.run(20)
        self.end_request(long_request, OutcomeKind.SUCCEEDED, 23.0, ends_in_s=0.0)

    def retry_after_worker_refusal(self) -> None:
        """Retry on another worker a request that a worker refused as not run."""
        first = self.submit_granted("short", self.plain_team)
        self.end_request(first, OutcomeKind.NOT_RUN_LEAVING, 0.0)
        retry = self.submit_granted("short", self.plain_team, tried=first)
        assert retry.vm != first.vm
        self.end_request(retry, OutcomeKind.SUCCEEDED, 0.12)

    def submit_without_serving_worker(self) -> None:
        """Send a request while every worker of the cell is leaving."""
        vms = sorted(self.dispatcher.cell.workers.by_vm)
        for vm in vms:
            self.dispatcher.mark_leaving(vm, LeavingSource.PLAN, self.day.now())
        demand = self.build_demand("short", self.plain_team)
        refusal = self.dispatcher.submit(demand, self.day.now())
        assert isinstance(refusal, Refused)
        text = f"{demand.demand_id} short refused as not run: {refusal.reason.value}"
        self.day.transcript.add("dispatcher", text)
        for vm in vms:
            self.dispatcher.mark_serving(vm, LeavingSource.PLAN, self.day.now())
        self.day.run(1)

    def submit_granted(
        self,
        kind: str,
        team: str,
        expected_ms: float | None = None,
        urgent: bool = False,
        tried: Granted | None = None,
    ) -> Granted:
        """Submit a demand and return its grant."""
        demand = self.build_demand(kind, team, expected_ms, urgent, tried)
        now = self.day.now()
        queued = self.dispatcher.submit(demand, now)
        assert not isinstance(queued, Refused), queued
        (granted,) = self.dispatcher.poll(now)
        assert isinstance(granted, Granted)
        text = f"{demand.demand_id} {kind} of {team} granted on {granted.vm}"
        self.day.transcript.add("dispatcher", text)
        return granted

    def end_request(
        self,
        granted: Granted,
        kind: OutcomeKind,
        ran_s: float,
        ends_in_s: float | None = None,
    ) -> None:
        """Release a grant and run the day for another second.

        The request ends ``ends_in_s`` after the current time, by default ``ran_s``.
        """
        ended_at = self.day.now() + (ran_s if ends_in_s is None else ends_in_s)
        outcome = GrantOutcome(kind, ran_s * 1000)
        assert self.dispatcher.release(granted.grant_id, outcome, ended_at)
        text = f"{granted.demand_id} {kind.value.replace('_', ' ')}"
        self.day.transcript.add("caller", text)
        self.day.run(1)

    def build_demand(
        self,
        kind: str,
        team: str,
        expected_ms: float | None = None,
        urgent: bool = False,
        tried: Granted | None = None,
    ) -> Demand:
        """Return the demand of a new request, or of a retry after a grant."""
        self.request_count += tried is None
        return Demand(
            demand_id=f"request {self.request_count}",
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
