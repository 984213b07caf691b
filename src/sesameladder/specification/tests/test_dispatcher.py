"""The dispatcher does what the protocol of slots allows, step by step."""

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
from sesameladder.specification._slots import NOBODY, Ownership, Rules, Slot

VM = "w1"
SPEC = WorkerSpec(VM, "r1", "10.0.0.1:80", slots=1, connections=64)
CONFIG = DispatcherConfig(retry_burst=1000.0)


class DispatcherMachine(RuleBasedStateMachine):
    """Drives two real dispatchers along the steps of the protocol."""

    def __init__(self) -> None:
        super().__init__()
        self.protocol = Ownership(Rules())
        self.slot = Slot()
        self.now = 0.0
        self.lives = 0
        self.demands = 0
        self.incarnations = [1, 1]
        self.forgotten: set[int] = set()
        self.grants: dict[int, OutstandingGrant] = {}
        self.real: list[Dispatcher | None] = [self.start_dispatcher(), None]
        self.finish_recovery(0, [])
        self.real[0].apply_task_report(VM, 0, self.now)

    def start_dispatcher(self) -> Dispatcher:
        self.lives += 1
        dispatcher = Dispatcher(CONFIG, Random(self.lives), f"g{self.lives}-")
        dispatcher.update_workers([SPEC], self.now)
        dispatcher.recover([], self.now)
        return dispatcher

    def finish_recovery(self, index: int, grants: list[OutstandingGrant]) -> None:
        self.real[index].recover(grants, self.now)
        self.now += CONFIG.task_lease_s

    @rule(data=st.data())
    def take_step(self, data) -> None:
        enabled = [*self.protocol.steps(self.slot), *self.protocol.faults(self.slot)]
        label, after = data.draw(st.sampled_from(enabled))
        before, self.slot = self.slot, after
        words = label.split()
        if "grants" in words:
            self.grant(int(words[1]), int(words[-1]))
        elif "restarts" in words:
            self.real[int(words[1])] = self.start_dispatcher()
        elif label == "the cell changes hands":
            self.real[0].hand_over()
            self.real[1] = self.start_dispatcher()
        elif "reported" in words:
            held = [g for f, g in self.grants.items() if self.uses(f)]
            self.finish_recovery(int(words[-1]), held)
        elif "report" in words:
            self.real[int(words[1])].apply_task_report(VM, before.tasks, self.now)
        elif "releases" in words or label == "start-by passes":
            forwarder = (
                before.offered[0] if label == "start-by passes" else int(words[1])
            )
            self.release(forwarder)
        elif "gone" in words:
            self.forget(int(words[1]), has_lease_ended=before != after)

    def uses(self, forwarder: int) -> bool:
        return self.slot.forwarders[forwarder] in ("running", "done")

    def grant(self, index: int, forwarder: int) -> None:
        granted = self.ask(index, forwarder)
        assert len(granted) == 1, "the protocol grants and the dispatcher does not"
        self.grants[forwarder] = self.real[index].outstanding_grants()[0]

    def ask(self, index: int, forwarder: int) -> list[Granted]:
        self.demands += 1
        demand = Demand(
            demand_id=f"d{self.demands}",
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
        dispatcher = self.real[index]
        dispatcher.submit(demand, self.now)
        decisions = dispatcher.poll(self.now)
        dispatcher.cancel(demand.demand_id, self.now)
        return [decision for decision in decisions if isinstance(decision, Granted)]

    def release(self, forwarder: int) -> None:
        grant = self.grants.pop(forwarder)
        outcome = GrantOutcome(OutcomeKind.SUCCEEDED)
        for dispatcher in self.live():
            dispatcher.release(grant.grant_id, outcome, self.now)

    def forget(self, forwarder: int, has_lease_ended: bool) -> None:
        self.forgotten.add(forwarder)
        for dispatcher in self.live():
            for gone in self.forgotten:
                life = self.incarnations[gone]
                dispatcher.mark_forwarder_gone(f"entry-{gone}", life, self.now)
        if has_lease_ended:
            self.end_leases()
        for dispatcher in self.live():
            dispatcher.poll(self.now)

    def end_leases(self) -> None:
        """Let one lease pass, which ends it for every forgotten forwarder."""
        self.now += CONFIG.task_lease_s
        for gone in self.forgotten:
            label = f"forwarder {gone} is known to be gone"
            self.slot = dict(self.protocol.steps(self.slot)).get(label, self.slot)
            self.incarnations[gone] += 1
            self.grants.pop(gone, None)
        self.forgotten.clear()

    def live(self) -> list[Dispatcher]:
        return [dispatcher for dispatcher in self.real if dispatcher is not None]

    def granting(self) -> list[tuple[Dispatcher, str]]:
        return [
            (dispatcher, spec.holder)
            for dispatcher, spec in zip(self.real, self.slot.dispatchers, strict=True)
            if spec.mode == "granting"
        ]

    @invariant()
    def outstanding_equals_protocol(self) -> None:
        """Guards against a drain report that misses or invents a grant."""
        for dispatcher, holder in self.granting():
            assert dispatcher.slots_in_use(VM) == (holder != NOBODY)

    @precondition(lambda self: self.slot.offered is None)
    @invariant()
    def no_grant_beyond_protocol(self) -> None:
        """Guards against a second task on a slot that is in use."""
        for index, state in enumerate(self.slot.dispatchers):
            is_busy = state.mode != "granting" or state.holder != NOBODY
            if self.real[index] is not None and is_busy:
                self.report_running_tasks(index)
                assert self.ask(index, 0) == []

    def report_running_tasks(self, index: int) -> None:
        """Pass on a report of unknown tasks, which must not end a recovery.

        A dispatcher that knows the slot's holder may end its recovery by such
        a report; the protocol's own step passes the report on to it.
        """
        if (
            self.slot.dispatchers[index].mode == "reading"
            and self.slot.dispatchers[index].holder == NOBODY
            and self.slot.tasks
        ):
            self.real[index].apply_task_report(VM, self.slot.tasks, self.now)


TestDispatcher = DispatcherMachine.TestCase
TestDispatcher.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    phases=[Phase.generate],
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
