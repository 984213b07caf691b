"""Test harness: a dispatcher with workers, driven event by event."""

from random import Random
from typing import Any

from sesameladder.dispatch import (
    Decision,
    Demand,
    Dispatcher,
    DispatcherConfig,
    Granted,
    GrantOutcome,
    OutcomeKind,
    Queued,
    Refused,
    WorkerSpec,
)
from sesameladder.model import Team

LEASE_S = 3.0
RACK_SIZE = 4


def make_workers(count: int = 6, slots: int = 8) -> list[WorkerSpec]:
    return [
        WorkerSpec(f"w{i}", f"r{i // RACK_SIZE}", f"10.0.0.{i}:80", slots, 64)
        for i in range(count)
    ]


def make_demand(demand_id: str, **overrides: Any) -> Demand:
    fields: dict[str, Any] = {
        "forwarder": "entry-1",
        "incarnation": 1,
        "team": "fitting",
        "kind": "preview",
        "urgent": False,
        "repeatable": True,
        "attempt": 1,
        "expected_ms": None,
        "checkpointable": False,
        "deadline": 1e9,
        "tried_workers": (),
        "tried_racks": (),
        "resumed": False,
    }
    return Demand(demand_id, **(fields | overrides))


class Cell:
    """Dispatcher with reporting workers whose recovery ended at time 0.

    Each poll checks that no worker has more slots in use than its capacity.
    """

    def __init__(
        self,
        workers: int = 6,
        slots: int = 8,
        teams: list[Team] | None = None,
        **config: Any,
    ) -> None:
        self.specs = make_workers(workers, slots)
        self.dispatcher = Dispatcher(DispatcherConfig(**config), Random(7), "g")
        listed = teams or [Team("fitting", urgent_allowed=True)]
        self.dispatcher.update_teams({team.name: team for team in listed})
        self.dispatcher.update_workers(self.specs, -LEASE_S)
        self.dispatcher.recover([], -LEASE_S)
        for spec in self.specs:
            self.dispatcher.apply_task_report(spec.vm, 0, 0.0)
        self.held_grants: dict[str, Granted] = {}
        self.granted_demands: set[str] = set()
        self.submitted_count = 0

    def submit(self, now: float, **overrides: Any) -> Queued | Refused:
        self.submitted_count += 1
        demand = make_demand(
            overrides.pop("demand_id", f"d{self.submitted_count}"), **overrides
        )
        return self.dispatcher.submit(demand, now)

    def submit_many(self, count: int, now: float, **overrides: Any) -> None:
        for _ in range(count):
            self.submit(now, **overrides)

    def poll(self, now: float) -> list[Decision]:
        decisions = self.dispatcher.poll(now)
        for granted in grants_of(decisions):
            self.held_grants[granted.grant_id] = granted
            self.granted_demands.add(granted.demand_id)
        self.check_slots()
        return decisions

    def submit_and_grant(self, now: float, **overrides: Any) -> Granted:
        """Submit one demand and return its grant, which must be made at once."""
        self.submit(now, **overrides)
        (granted,) = grants_of(self.poll(now))
        return granted

    def release(
        self,
        granted: Granted | str,
        now: float,
        kind: OutcomeKind = OutcomeKind.SUCCEEDED,
        ran_ms: float = 100.0,
    ) -> bool:
        grant_id = granted if isinstance(granted, str) else granted.grant_id
        self.held_grants.pop(grant_id, None)
        return self.dispatcher.release(grant_id, GrantOutcome(kind, ran_ms), now)

    def observe_run_times(
        self, kind: str, run_ms: float, now: float = 0.0, times: int = 5
    ) -> None:
        """Make the dispatcher observe a run time of a kind several times."""
        for _ in range(times):
            self.release(self.submit_and_grant(now, kind=kind), now, ran_ms=run_ms)

    def check_slots(self) -> None:
        for spec in self.specs:
            assert self.dispatcher.slots_in_use(spec.vm) <= spec.slots


def grants_of(decisions: list[Decision]) -> list[Granted]:
    return [decision for decision in decisions if isinstance(decision, Granted)]


def vms_of(decisions: list[Decision]) -> set[str]:
    return {granted.vm for granted in grants_of(decisions)}
