"""Simulation of a region for a day, with store, replicas and planner."""

from collections.abc import Callable
from random import Random

from sesameladder.environment import FakeStore
from sesameladder.measure._planning_region import FakeRegion
from sesameladder.model import FleetState
from sesameladder.planning import (
    Phase,
    PlannerSession,
    PlannerSettings,
    RaiseAlarm,
    RegionPlan,
)
from sesameladder.tickets import (
    Accepted,
    FilingOutcome,
    LostRace,
    NotFiled,
    Rejected,
    Ticket,
    TicketLog,
)
from tests.sessions._checks import check_region, check_stops
from tests.sessions._example import Example
from tests.sessions._plan_lines import describe_changes
from tests.sessions._replicas import Replicas
from tests.sessions._transcript import Transcript

STEP_S = 1.0
SEED = 7


class Day:
    """Runs the planner once a second and writes the transcript."""

    __slots__ = (
        "example",
        "holds_role",
        "log",
        "plan",
        "planner",
        "region",
        "replicas",
        "store",
        "transcript",
    )

    def __init__(self, example: Example, start_s: float) -> None:
        self.example = example
        self.region = FakeRegion(
            FleetState(), Random(SEED), example.entries, now=start_s
        )
        self.store = FakeStore(self.now)
        self.log = TicketLog(self.store, pause=lambda seconds: None)
        self.replicas = Replicas(example.entries, self.log)
        self.transcript = Transcript(self.now)
        self.holds_role = False
        self.plan = RegionPlan.empty(example.region)
        for instance in self.instances:
            self.replicas.replace(instance)
        self.planner = PlannerSession(
            self.store,
            example.region,
            self.instances[0],
            self.now,
            PlannerSettings(instances=example.entries),
        )

    @property
    def instances(self) -> list[str]:
        """Entry instances of all zones; the first one runs the planner."""
        return [name for names in self.example.entries.values() for name in names]

    def now(self) -> float:
        """Return the simulated time in seconds since the Unix epoch."""
        return self.region.now

    def file(self, operator: str, ticket: Ticket) -> FilingOutcome:
        """File a ticket and add its outcome to the transcript."""
        outcome = self.log.file_ticket(ticket)
        self.transcript.add(
            operator, f"ticket {ticket.number} {_describe_outcome(outcome)}"
        )
        return outcome

    def run(self, seconds: float, is_done: Callable[[], bool] | None = None) -> bool:
        """Run for some seconds, or until a condition holds.

        Returns whether the condition held in time.
        """
        end = self.now() + seconds
        while self.now() < end:
            self.step()
            if is_done is not None and is_done():
                return True
        return False

    def step(self) -> None:
        """Advance the clock by a second, run the planner and check the invariants."""
        self.region.advance(STEP_S)
        self.replicas.follow_store(self.region.partitioned_zones)
        self.region.state = self.replicas.replicas[self.instances[0]].state
        actions = self.planner.run(self.region.observe)
        self._record_role_change()
        self._publish_plan()
        if not self.planner.role.lost:
            self.region.carry_out(actions)
        for action in actions:
            if isinstance(action, RaiseAlarm):
                self.transcript.add("planner", f"alarm {action.kind}: {action.text}")
        check_region(self.region)

    def is_settled(self) -> bool:
        """Return whether every VM serves its configured pool."""
        vms = self.region.state.vms
        return set(self.plan.rows) == set(vms) and all(
            row.phase is Phase.SERVING and row.pool == vms[name].pool
            for name, row in self.plan.rows.items()
        )

    def _record_role_change(self) -> None:
        holds = not self.planner.role.lost
        if holds != self.holds_role:
            self.holds_role = holds
            text = "holds the planner role" if holds else "lost the planner role"
            self.transcript.add("planner", text)

    def _publish_plan(self) -> None:
        entry = self.store.entries.get(f"plan/{self.example.region}")
        if entry is None:
            return
        plan = RegionPlan.from_bytes(entry.value)
        if plan.version == self.plan.version:
            return
        check_stops(self.region, self.plan, plan)
        for line in describe_changes(self.plan, plan):
            self.transcript.add("planner", line)
        self.plan = plan
        self.region.publish(plan)


def _describe_outcome(outcome: FilingOutcome) -> str:
    match outcome:
        case Accepted():
            return "accepted"
        case LostRace(winner):
            return f'lost the race to "{winner.reason}" by {winner.author}'
        case Rejected(problems):
            return f"refused: {'; '.join(str(problem) for problem in problems)}"
        case NotFiled(reason):
            return f"not filed: {reason}"
    return type(outcome).__name__
