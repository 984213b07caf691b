"""Stops and moves by planner sessions while store, network, VMs or planners fail."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from sesameladder.environment import FakeStore, StoreOutcomeUnknown
from sesameladder.measure._planning_driver import SessionDriver
from sesameladder.measure._planning_fleet import (
    build_entry_instances,
    build_fleet,
    build_wave,
)
from sesameladder.measure._planning_region import FakeRegion, reassign
from sesameladder.planning import (
    ROLE_LEASE_S,
    Phase,
    Planner,
    PlannerSession,
    PlannerSettings,
    PlanSuperseded,
    PlanWritten,
)


class Scenario:
    """A simulated region with a store, in which several planners can run."""

    def __init__(self, state=None, seed=1, **settings):
        self.state = state or build_fleet(30, 5)
        entries = build_entry_instances(self.state)
        self.region = FakeRegion(self.state, Random(seed), entries)
        self.store = FakeStore(lambda: self.region.now)
        self.driver = SessionDriver(self.region, self.store)
        self.settings = PlannerSettings(instances=entries, **settings)
        self.first = self.open_session("a")
        self.driver.run(self.first, 10)

    def open_session(self, name, store=None):
        return PlannerSession(
            store or self.store, "north", name, lambda: self.region.now, self.settings
        )

    def change_configuration(self, **changes):
        state = self.region.state
        self.region.state = replace(state, number=state.number + 1, **changes)

    def add_wave(self, length_s=7200.0, **changes):
        wave = replace(build_wave(self.state, self.region.now, length_s), **changes)
        self.change_configuration(waves={wave.id: wave})

    def change_pool(self, vm="w00000"):
        pool = self.region.state.vms[vm].pool
        target = "pool01" if pool != "pool01" else "pool02"
        self.region.state = reassign(self.region.state, {vm: target})
        return target

    def is_settled(self, plan):
        vms = self.region.state.vms
        return set(plan.rows) == set(vms) and all(
            row.phase is Phase.SERVING and row.pool == vms[row.vm].pool
            for row in plan.rows.values()
        )

    def is_maintained(self, plan):
        start = self.region.state.waves["w1"].start_s
        return self.is_settled(plan) and all(
            row.maintained_at > start for row in plan.rows.values()
        )


class HookedStore:
    """Forwards calls to a store and injects a fault into the nth write of the plan."""

    def __init__(self, store, at_write, before=None, drop_response=False):
        self.store = store
        self.at_write = at_write
        self.before = before
        self.drop_response = drop_response
        self.writes = 0

    def __getattr__(self, name):
        return getattr(self.store, name)

    def compare_and_swap(self, key, expected_revision, value, lease=None):
        is_hooked = False
        if key.startswith("plan/"):
            self.writes += 1
            is_hooked = self.writes == self.at_write
        if is_hooked and self.before is not None:
            self.before()
        outcome = self.store.compare_and_swap(key, expected_revision, value, lease)
        if is_hooked and self.drop_response:
            raise StoreOutcomeUnknown("the response was lost")
        return outcome


OPERATIONS = {
    "stop": lambda scenario: scenario.add_wave(concurrency=1, pools=("pool00",)),
    "move": lambda scenario: scenario.change_pool(),
}


# A move takes three writes of the plan; the stops of a pool follow one another.
OPERATION_WRITES = [
    *(("stop", write) for write in range(1, 9)),
    *(("move", write) for write in range(1, 4)),
]


def is_done(scenario, operation, plan):
    if operation == "move":
        return scenario.is_settled(plan)
    rows = [row for row in plan.rows.values() if row.pool == "pool00"]
    return all(row.phase is Phase.SERVING and row.attempts == 0 for row in rows)


def run_to_completion(scenario, operation, session):
    scenario.driver.run(session, 3)
    assert scenario.driver.run(
        session, 3_000, lambda plan: is_done(scenario, operation, plan)
    )
    assert scenario.region.violations == []


@pytest.mark.parametrize(("operation", "write"), OPERATION_WRITES)
def test_paused_holder_does_not_disrupt_the_successor(operation, write):
    """Guards against a paused planner that writes after its lease expired.

    The holder is paused just before a write of the plan, until its lease has
    expired and another planner has run for a minute.
    """
    scenario = Scenario()
    other = scenario.open_session("b")

    def pause():
        # The other planner takes over and runs while the first one is paused.
        scenario.region.now += ROLE_LEASE_S
        scenario.driver.run(other, 60)

    store = HookedStore(scenario.store, write, before=pause)
    scenario.first.plan_store.store = store
    OPERATIONS[operation](scenario)
    scenario.driver.run(scenario.first, 400, lambda plan: store.writes >= write)
    assert store.writes >= write
    assert scenario.first.role.lost
    run_to_completion(scenario, operation, other)


@pytest.mark.parametrize("operation", OPERATIONS)
@pytest.mark.parametrize("seconds", range(1, 120, 7))
def test_successor_continues_after_any_step(operation, seconds):
    """Guards against stops or moves that only the planner that began them can finish.

    The first planner ends at different seconds of the operation and another one
    continues from the plan in the store.
    """
    scenario = Scenario()
    OPERATIONS[operation](scenario)
    scenario.driver.run(scenario.first, seconds)
    scenario.region.advance(ROLE_LEASE_S)
    run_to_completion(scenario, operation, scenario.open_session("b"))


@pytest.mark.parametrize(("operation", "write"), OPERATION_WRITES)
def test_lost_response_of_any_plan_write(operation, write):
    """Guards against a plan write that is repeated or lost when its response is lost.

    The store applies the nth write of the plan and the call raises.
    """
    scenario = Scenario()
    store = HookedStore(scenario.store, write, drop_response=True)
    scenario.first.plan_store.store = store
    OPERATIONS[operation](scenario)
    assert scenario.driver.run(scenario.first, 400, lambda plan: store.writes >= write)
    run_to_completion(scenario, operation, scenario.first)


@pytest.mark.parametrize("operation", OPERATIONS)
def test_store_outage_only_delays(operation):
    """Guards against stops that start and VMs that are lost while the store is down."""
    scenario = Scenario()
    OPERATIONS[operation](scenario)
    scenario.driver.run(scenario.first, 20)
    before = scenario.driver.plan
    scenario.store.available = False
    scenario.driver.run(scenario.first, 300)
    assert scenario.driver.plan == before
    scenario.store.available = True
    run_to_completion(scenario, operation, scenario.first)


@pytest.mark.parametrize("first_writer", [0, 1])
def test_racing_planners_share_the_last_permit(first_writer):
    """Guards against two planners that both grant the last stop of a budget.

    Both plan the same step from the same revision and write one after the other.
    """
    scenario = Scenario()
    scenario.add_wave()
    fence = scenario.first.role.fence
    plans = scenario.first.plan_store
    planners = [
        Planner("north", fence, scenario.settings),
        Planner("north", fence + 1, scenario.settings),
    ]
    stored = plans.read()
    outcomes = []
    for index in (first_writer, 1 - first_writer):
        observation = scenario.region.observe(stored.plan)
        actions = planners[index].step(observation, stored.plan, scenario.region.now)
        outcomes.append(plans.write(actions[-1].plan, stored.revision))
        scenario.driver.publish()
    assert isinstance(outcomes[0], PlanWritten)
    assert isinstance(outcomes[1], PlanSuperseded)
    assert scenario.region.violations == []
    current = plans.read().plan
    leaving = Counter(
        row.pool for row in current.rows.values() if row.phase is Phase.LEAVING
    )
    # The spare pool's floor_slots allow two of the three stops of its budget.
    assert leaving == {**dict.fromkeys(list(scenario.state.pools)[:-1], 1), "pool04": 2}
    observation = scenario.region.observe(current)
    loser = planners[1 - first_writer].step(observation, current, scenario.region.now)
    assert (loser == []) == (first_writer == 1)


def test_rack_failure_pauses_the_wave():
    """Guards against new stops in pools that a rack failure took below budget."""
    scenario = Scenario()
    scenario.add_wave()
    scenario.driver.run(scenario.first, 30)
    lost = scenario.region.list_rack_vms("z1-r0")
    scenario.region.fail(lost)
    scenario.driver.run(scenario.first, 60)
    scenario.region.repair(lost)
    assert scenario.driver.run(scenario.first, 5_000, scenario.is_maintained)
    assert scenario.region.violations == []


def test_zone_is_partitioned_during_a_move():
    """Guards against a VM that two pools use when its zone is cut off in a move.

    The move is completed after the network partition ends.
    """
    scenario = Scenario()
    target = scenario.change_pool("w00000")
    scenario.driver.run(scenario.first, 4)
    scenario.region.partitioned_zones.add("z1")
    scenario.driver.run(scenario.first, 1_200)
    assert scenario.driver.plan.rows["w00000"].pool != target
    scenario.region.partitioned_zones.clear()
    assert scenario.driver.run(scenario.first, 5_000, scenario.is_settled)
    assert scenario.region.violations == []


def test_every_entry_replaced_at_once():
    """Guards against cells without an owner after all entry instances are replaced."""
    scenario = Scenario()
    old = scenario.region.entries
    scenario.region.gone_entries = {name for names in old.values() for name in names}
    scenario.region.entries = {
        zone: (*names, f"{zone}-new") for zone, names in old.items()
    }
    scenario.driver.run(scenario.open_session("b"), 60)
    owners = {row.instance for row in scenario.driver.plan.dispatchers.values()}
    assert owners == {"z1-new", "z2-new", "z3-new"}
    assert all(
        row.previous_owner is None for row in scenario.driver.plan.dispatchers.values()
    )


def test_vm_that_never_returns_is_set_aside():
    """Guards against a wave that waits forever for a VM that never finishes booting."""
    scenario = Scenario()
    scenario.region.never_returning.add("w00003")
    scenario.add_wave(reboot_limit_s=300.0)
    assert scenario.driver.run(
        scenario.first, 3_000, lambda plan: plan.rows["w00003"].phase is Phase.SET_ASIDE
    )
    assert ("set_aside", "w00003") in {
        (alarm.kind, alarm.subject) for alarm in scenario.region.alarms
    }
    assert scenario.region.violations == []


def test_nothing_starts_when_the_deadline_is_too_near():
    """Guards against reboots that end after the deadline of their wave."""
    scenario = Scenario()
    scenario.add_wave(length_s=100.0)
    scenario.driver.run(scenario.first, 50)
    assert all(row.phase is Phase.SERVING for row in scenario.driver.plan.rows.values())
    assert {alarm.kind for alarm in scenario.region.alarms} == {"deadline_too_near"}


@pytest.mark.parametrize("checkpointable", [True, False])
def test_straggler_is_checkpointed_or_the_stop_abandoned(checkpointable):
    """Guards against stops that wait forever for a task, or that interrupt it."""
    scenario = Scenario()
    scenario.region.stragglers.add("w00000")
    if checkpointable:
        scenario.region.checkpointable.add("w00000")
    scenario.add_wave(straggler_limit_s=120.0, pools=("pool00",))
    scenario.driver.run(scenario.first, 2_000)
    row = scenario.driver.plan.rows["w00000"]
    start = scenario.region.state.waves["w1"].start_s
    assert (row.maintained_at > start) == checkpointable
    assert (row.attempts > 0) != checkpointable
    assert scenario.region.violations == []


@pytest.mark.parametrize("gap_s", [1, 3, 5, 20, 40])
def test_conflicting_tickets_during_a_move(gap_s):
    """Guards against a VM that ends in the pool of an older configuration.

    Its configured pool changes again before the previous move is complete.
    """
    scenario = Scenario()
    for pool in ("pool01", "pool02", "pool00", "pool03"):
        scenario.region.state = reassign(scenario.region.state, {"w00000": pool})
        scenario.driver.run(scenario.first, gap_s)
    assert scenario.driver.run(scenario.first, 3_000, scenario.is_settled)
    assert scenario.driver.plan.rows["w00000"].pool == "pool03"
    assert scenario.region.violations == []


def inject_random_event(scenario, random):
    """Inject one random failure, recovery or change of the configuration."""
    region = scenario.region
    names = sorted(region.vms)
    event = random.choice(
        ("fail", "rack", "repair", "partition", "reconnect", "ticket", "store")
    )
    if event == "fail":
        region.fail([random.choice(names)])
    elif event == "rack":
        region.fail(region.list_rack_vms(region.state.vms[random.choice(names)].rack))
    elif event == "repair":
        region.repair([name for name in names if not region.vms[name].up])
    elif event == "partition":
        region.partitioned_zones.add(random.choice(("z1", "z2", "z3")))
    elif event == "reconnect":
        region.partitioned_zones.clear()
    elif event == "store":
        scenario.store.available = not scenario.store.available
    else:
        first, second = random.sample(names, 2)
        pools = {
            first: region.state.vms[second].pool,
            second: region.state.vms[first].pool,
        }
        region.state = reassign(region.state, pools)


@pytest.mark.parametrize("seed", [0, 1, 2, 13, 30])
def test_random_failures_and_tickets(seed):
    """Guards against violations that only a combination of failures causes.

    VMs, racks, zones, the store and planners fail at random during a wave while
    tickets move VMs.
    """
    scenario = Scenario(seed=seed)
    random = Random(seed)
    scenario.add_wave(length_s=1e6)
    session = scenario.first
    for number in range(25):
        inject_random_event(scenario, random)
        scenario.driver.run(session, random.randrange(1, 40))
        scenario.store.responses_to_drop = random.randrange(2)
        if random.random() < 0.3:
            session = scenario.open_session(f"s{number}")
    scenario.store.available = True
    scenario.store.responses_to_drop = 0
    scenario.region.partitioned_zones.clear()
    scenario.region.repair(
        [name for name, vm in scenario.region.vms.items() if not vm.up]
    )
    assert scenario.driver.run(session, 8_000, scenario.is_maintained)
    assert scenario.region.violations == []
