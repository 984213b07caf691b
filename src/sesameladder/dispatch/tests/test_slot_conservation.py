"""Property test: no sequence of events uses more slots than a worker has."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sesameladder.dispatch import (
    Dispatcher,
    DispatcherConfig,
    Granted,
    GrantOutcome,
    LeavingSource,
    OutcomeKind,
    OutstandingGrant,
)
from sesameladder.dispatch.tests.harness import make_demand, make_workers

SLOTS = 2
VMS = st.sampled_from(["w0", "w1", "w2"])
FORWARDERS = st.sampled_from(["entry-1", "entry-2"])
LEASE_S = 3.0


class SlotConservation(RuleBasedStateMachine):
    """Compares the dispatcher with a simple model of running tasks.

    A task of a restarted forwarder runs until one lease after the restart.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.name_count = 0
        self.incarnations = {"entry-1": 1, "entry-2": 1}
        self.tasks: dict[str, tuple[str, str, float | None]] = {}
        self.leaving: dict[str, set[str]] = {}
        self.listed = {"w0", "w1", "w2"}
        self.submitted: dict[str, str] = {}
        self.granted_demands: set[str] = set()
        self.start_dispatcher()

    def start_dispatcher(self) -> None:
        prefix = f"g{self.name_count}-"
        self.dispatcher = Dispatcher(DispatcherConfig(), Random(1), prefix)
        specs = [spec for spec in make_workers(3, SLOTS) if spec.vm in self.listed]
        self.dispatcher.update_workers(specs, self.now)
        for vm, sources in self.leaving.items():
            for source in sources:
                self.dispatcher.mark_leaving(vm, LeavingSource(source), self.now)
        self.dispatcher.recover([], self.now)
        self.submitted.clear()

    @rule(forwarder=FORWARDERS, urgent=st.booleans(), long=st.booleans())
    def submit(self, forwarder, urgent, long) -> None:
        self.name_count += 1
        name = f"d{self.name_count}"
        demand = make_demand(
            name,
            forwarder=forwarder,
            incarnation=self.incarnations[forwarder],
            urgent=urgent,
            kind="blend" if long else "preview",
            checkpointable=long,
        )
        if type(self.dispatcher.submit(demand, self.now)).__name__ == "Queued":
            self.submitted[name] = forwarder

    @rule(seconds=st.sampled_from([0.0, 0.1, 0.9, 3.0]))
    def poll(self, seconds) -> None:
        self.now += seconds
        self.end_expired_tasks()
        for decision in self.dispatcher.poll(self.now):
            if isinstance(decision, Granted):
                self.record_grant(decision)

    def record_grant(self, granted: Granted) -> None:
        assert granted.vm in self.listed
        assert not self.leaving.get(granted.vm)
        assert granted.demand_id not in self.granted_demands
        self.granted_demands.add(granted.demand_id)
        forwarder = self.submitted.pop(granted.demand_id)
        self.tasks[granted.grant_id] = (granted.vm, forwarder, None)

    def end_expired_tasks(self) -> None:
        for grant_id, (_, _, end) in list(self.tasks.items()):
            if end is not None and end <= self.now:
                del self.tasks[grant_id]

    @rule(data=st.data(), kind=st.sampled_from(list(OutcomeKind)), twice=st.booleans())
    def release(self, data, kind, twice) -> None:
        held_grants = [name for name, task in self.tasks.items() if task[2] is None]
        if not held_grants:
            return
        grant_id = data.draw(st.sampled_from(held_grants))
        if kind == OutcomeKind.NOT_RUN_LEAVING:
            kind = OutcomeKind.NOT_RUN_FULL
        del self.tasks[grant_id]
        for _ in range(1 + twice):
            self.dispatcher.release(grant_id, GrantOutcome(kind, 100.0), self.now)

    @rule(data=st.data())
    def cancel(self, data) -> None:
        if self.submitted:
            name = data.draw(st.sampled_from(list(self.submitted)))
            self.dispatcher.cancel(name, self.now)
            del self.submitted[name]

    @rule(forwarder=FORWARDERS, told=st.booleans())
    def restart_forwarder(self, forwarder, told) -> None:
        ended_incarnation = self.incarnations[forwarder]
        self.incarnations[forwarder] += 1
        for grant_id, (vm, owner, end) in list(self.tasks.items()):
            if owner == forwarder and end is None:
                self.tasks[grant_id] = (vm, owner, self.now + LEASE_S)
        for name in [
            demand_id for demand_id, by in self.submitted.items() if by == forwarder
        ]:
            del self.submitted[name]
        if told:
            self.dispatcher.mark_forwarder_gone(forwarder, ended_incarnation, self.now)
        else:
            self.submit(forwarder, False, False)

    @rule(vm=VMS, source=st.sampled_from([LeavingSource.PLAN, LeavingSource.VM_LIST]))
    def leave(self, vm, source) -> None:
        self.leaving.setdefault(vm, set()).add(source)
        self.dispatcher.mark_leaving(vm, source, self.now)

    @rule(vm=VMS, source=st.sampled_from([LeavingSource.PLAN, LeavingSource.VM_LIST]))
    def serve(self, vm, source) -> None:
        self.leaving.get(vm, set()).discard(source)
        self.dispatcher.mark_serving(vm, source, self.now)

    @rule(vm=VMS)
    def toggle_listing(self, vm) -> None:
        self.listed ^= {vm}
        specs = [spec for spec in make_workers(3, SLOTS) if spec.vm in self.listed]
        self.dispatcher.update_workers(specs, self.now)

    @rule()
    def restart_dispatcher(self) -> None:
        self.start_dispatcher()
        held_grants = [
            OutstandingGrant(
                name, "", by, self.incarnations[by], vm, "fitting", "preview"
            )
            for name, (vm, by, end) in self.tasks.items()
            if end is None
        ]
        self.dispatcher.recover(held_grants, self.now)

    @rule()
    def report_tasks(self) -> None:
        for vm in self.listed:
            running = sum(task[0] == vm for task in self.tasks.values())
            self.dispatcher.apply_task_report(vm, running, self.now)

    @invariant()
    def slots_are_never_exceeded(self) -> None:
        for vm in ("w0", "w1", "w2"):
            assert sum(task[0] == vm for task in self.tasks.values()) <= SLOTS


SlotConservation.TestCase.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
TestSlotConservation = SlotConservation.TestCase
