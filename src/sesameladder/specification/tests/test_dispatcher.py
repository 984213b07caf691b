"""Runs two dispatchers along random steps of the protocol of ``_slots``.

Guards against a dispatcher that refuses a grant which the protocol allows, or
that grants, frees or reports a slot differently from the protocol.
"""

from random import Random

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sesameladder.dispatch import (
    Demand,
    Dispatcher,
    DispatcherConfig,
    Granted,
    GrantOutcome,
    OutcomeKind,
    OutstandingGrant,
    WorkerSpec,
)
from sesameladder.specification._slots import (
    NO_HOLDER,
    SlotProtocol,
    SlotRules,
    SlotState,
)

VM = "w1"
WORKER = WorkerSpec(VM, "r1", "10.0.0.1:80", slots=1, connections=64)
CONFIG = DispatcherConfig(retry_burst=1000.0)


class DispatcherMachine(RuleBasedStateMachine):
    """Applies each step of the protocol to the model and to two dispatchers."""

    def __init__(self) -> None:
        super().__init__()
        self.protocol = SlotProtocol(SlotRules())
        self.state = SlotState()
        self.now = 0.0
        self.dispatcher_starts = 0
        self.demand_count = 0
        self.incarnations = [1, 1]
        self.gone_forwarders: set[int] = set()
        self.grants: dict[int, OutstandingGrant] = {}
        self.dispatchers: list[Dispatcher | None] = [self.start_dispatcher(), None]
        self.finish_recovery(0, [])
        self.dispatchers[0].apply_task_report(VM, 0, self.now)

    def start_dispatcher(self) -> Dispatcher:
        self.dispatcher_starts += 1
        dispatcher = Dispatcher(
            CONFIG, Random(self.dispatcher_starts), f"g{self.dispatcher_starts}-"
        )
        dispatcher.update_workers([WORKER], self.now)
        dispatcher.recover([], self.now)
        return dispatcher

    def finish_recovery(self, index: int, grants: list[OutstandingGrant]) -> None:
        self.dispatchers[index].recover(grants, self.now)
        self.now += CONFIG.task_lease_s

    @rule(data=st.data())
    def take_step(self, data) -> None:
        enabled = [*self.protocol.steps(self.state), *self.protocol.faults(self.state)]
        label, after = data.draw(st.sampled_from(enabled))
        before, self.state = self.state, after
        words = label.split()
        if "grants" in words:
            self.grant(int(words[1]), int(words[-1]))
        elif "restarts" in words:
            self.dispatchers[int(words[1])] = self.start_dispatcher()
        elif label == "the cell gets a new owner":
            self.dispatchers[0].hand_over()
            self.dispatchers[1] = self.start_dispatcher()
        elif "reported" in words:
            reported = [
                grant
                for forwarder, grant in self.grants.items()
                if self.holds_grant(forwarder)
            ]
            self.finish_recovery(int(words[-1]), reported)
        elif "report" in words:
            self.dispatchers[int(words[1])].apply_task_report(
                VM, before.running_tasks, self.now
            )
        elif "releases" in words or label == "the grant expires":
            forwarder = (
                before.grant_in_transit[0]
                if label == "the grant expires"
                else int(words[1])
            )
            self.release(forwarder)
        elif "gone" in words:
            self.mark_forwarder_gone(int(words[1]), has_lease_expired=before != after)

    def holds_grant(self, forwarder: int) -> bool:
        return self.state.forwarders[forwarder] in ("running", "done")

    def grant(self, index: int, forwarder: int) -> None:
        grants = self.request_grant(index, forwarder)
        assert len(grants) == 1, "the protocol grants and the dispatcher does not"
        self.grants[forwarder] = self.dispatchers[index].outstanding_grants()[0]

    def request_grant(self, index: int, forwarder: int) -> list[Granted]:
        self.demand_count += 1
        demand = Demand(
            demand_id=f"d{self.demand_count}",
            forwarder=f"entry-{forwarder}",
            incarnation=self.incarnations[forwarder],
            team="team",
            kind="kind",
            urgent=False,
            repeatable=False,
            attempt=1,
            expected_ms=None,
            checkpointable=False,
            deadline=1e9,
            tried_workers=(),
            tried_racks=(),
            resumed=False,
        )
        dispatcher = self.dispatchers[index]
        dispatcher.submit(demand, self.now)
        decisions = dispatcher.poll(self.now)
        dispatcher.cancel(demand.demand_id, self.now)
        return [decision for decision in decisions if isinstance(decision, Granted)]

    def release(self, forwarder: int) -> None:
        grant = self.grants.pop(forwarder)
        outcome = GrantOutcome(OutcomeKind.SUCCEEDED)
        for dispatcher in self.list_dispatchers():
            dispatcher.release(grant.grant_id, outcome, self.now)

    def mark_forwarder_gone(self, forwarder: int, has_lease_expired: bool) -> None:
        self.gone_forwarders.add(forwarder)
        for dispatcher in self.list_dispatchers():
            for gone in self.gone_forwarders:
                incarnation = self.incarnations[gone]
                dispatcher.mark_forwarder_gone(f"entry-{gone}", incarnation, self.now)
        if has_lease_expired:
            self.expire_leases()
        for dispatcher in self.list_dispatchers():
            dispatcher.poll(self.now)

    def expire_leases(self) -> None:
        """Advance the time by one task lease, which frees slots of gone forwarders."""
        self.now += CONFIG.task_lease_s
        for gone in self.gone_forwarders:
            label = f"forwarder {gone} is known to be gone"
            self.state = dict(self.protocol.steps(self.state)).get(label, self.state)
            self.incarnations[gone] += 1
            self.grants.pop(gone, None)
        self.gone_forwarders.clear()

    def list_dispatchers(self) -> list[Dispatcher]:
        return [dispatcher for dispatcher in self.dispatchers if dispatcher is not None]

    def list_granting_dispatchers(self) -> list[tuple[Dispatcher, str]]:
        return [
            (dispatcher, expected.holder)
            for dispatcher, expected in zip(
                self.dispatchers, self.state.dispatchers, strict=True
            )
            if expected.mode == "granting"
        ]

    @invariant()
    def slots_in_use_equal_protocol(self) -> None:
        """Guards against a drain report with too few or too many slots in use."""
        for dispatcher, holder in self.list_granting_dispatchers():
            assert dispatcher.slots_in_use(VM) == (holder != NO_HOLDER)

    @precondition(lambda self: self.state.grant_in_transit is None)
    @invariant()
    def no_grant_beyond_protocol(self) -> None:
        """Guards against a second task on a slot that is in use."""
        for index, expected in enumerate(self.state.dispatchers):
            may_not_grant = expected.mode != "granting" or expected.holder != NO_HOLDER
            if self.dispatchers[index] is not None and may_not_grant:
                self.report_running_tasks(index)
                assert self.request_grant(index, 0) == []

    def report_running_tasks(self, index: int) -> None:
        """Pass on a report of unknown tasks, which must not end a recovery.

        A dispatcher that knows the slot's holder may end its recovery by such
        a report; the protocol's own step passes the report on to it.
        """
        if (
            self.state.dispatchers[index].mode == "reading"
            and self.state.dispatchers[index].holder == NO_HOLDER
            and self.state.running_tasks
        ):
            self.dispatchers[index].apply_task_report(
                VM, self.state.running_tasks, self.now
            )


TestDispatcher = DispatcherMachine.TestCase
TestDispatcher.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    phases=[Phase.generate],
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
