"""Stops and moves of whole sessions while the parts around the planner fail."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from sesameladder.environment import FakeStore, StoreOutcomeUnknown
from sesameladder.measure._planning_driver import SessionDriver
from sesameladder.measure._planning_fleet import build_fleet, entry_names, wave_over
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


class Scene:
    """A region with a store, ready for sessions of several planners."""

    def __init__(self, state=None, seed=1, **settings):
        self.state = state or build_fleet(30, 5)
        entries = entry_names(self.state)
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

    def file(self, **changes):
        state = self.region.state
        self.region.state = replace(state, number=state.number + 1, **changes)

    def file_wave(self, length_s=7200.0, **changes):
        wave = replace(wave_over(self.state, self.region.now, length_s), **changes)
        self.file(waves={wave.id: wave})

    def file_move(self, vm="w00000"):
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
    """Passes calls on and calls a hook around the nth write of the plan."""

    def __init__(self, store, at_write, before=None, lose_answer=False):
        self.store = store
        self.at_write = at_write
        self.before = before
        self.lose_answer = lose_answer
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
        if is_hooked and self.lose_answer:
            raise StoreOutcomeUnknown("the answer was lost")
        return outcome


ACTS = {
    "stop": lambda scene: scene.file_wave(concurrency=1, pools=("pool00",)),
    "move": lambda scene: scene.file_move(),
}


# A move takes three writes; the stops of a pool follow each other.
WRITES = [
    *(("stop", write) for write in range(1, 9)),
    *(("move", write) for write in range(1, 4)),
]


def is_done(scene, act, plan):
    if act == "move":
        return scene.is_settled(plan)
    rows = [row for row in plan.rows.values() if row.pool == "pool00"]
    return all(row.phase is Phase.SERVING and row.attempts == 0 for row in rows)


def finish(scene, act, session):
    scene.driver.run(session, 3)
    assert scene.driver.run(session, 3_000, lambda plan: is_done(scene, act, plan))
    assert scene.region.violations == []


@pytest.mark.parametrize(("act", "write"), WRITES)
def test_resumed_holder_does_no_harm(act, write):
    """Guards against a paused planner that writes after its lease lapsed."""
    scene = Scene()
    other = scene.open_session("b")

    def pause():
        # The other planner takes over and goes on while the first one is paused.
        scene.region.now += ROLE_LEASE_S
        scene.driver.run(other, 60)

    store = HookedStore(scene.store, write, before=pause)
    scene.first.plan_store.store = store
    ACTS[act](scene)
    scene.driver.run(scene.first, 400, lambda plan: store.writes >= write)
    assert store.writes >= write
    assert scene.first.role.lost
    finish(scene, act, other)


@pytest.mark.parametrize("act", ACTS)
@pytest.mark.parametrize("seconds", range(1, 120, 7))
def test_successor_goes_on_after_any_step(act, seconds):
    """Guards against steps that only the planner that began them can finish."""
    scene = Scene()
    ACTS[act](scene)
    scene.driver.run(scene.first, seconds)
    scene.region.advance(ROLE_LEASE_S)
    finish(scene, act, scene.open_session("b"))


@pytest.mark.parametrize(("act", "write"), WRITES)
def test_lost_answer_at_any_write(act, write):
    """Guards against a write that is repeated or forgotten after a lost answer."""
    scene = Scene()
    store = HookedStore(scene.store, write, lose_answer=True)
    scene.first.plan_store.store = store
    ACTS[act](scene)
    assert scene.driver.run(scene.first, 400, lambda plan: store.writes >= write)
    finish(scene, act, scene.first)


@pytest.mark.parametrize("act", ACTS)
def test_store_outage_only_delays(act):
    """Guards against stops that start or VMs that are lost while the store is down."""
    scene = Scene()
    ACTS[act](scene)
    scene.driver.run(scene.first, 20)
    before = scene.driver.plan
    scene.store.available = False
    scene.driver.run(scene.first, 300)
    assert scene.driver.plan == before
    scene.store.available = True
    finish(scene, act, scene.first)


@pytest.mark.parametrize("first_writer", [0, 1])
def test_racing_planners_share_the_last_permit(first_writer):
    """Guards against two planners that each give the last permit of a budget."""
    scene = Scene()
    scene.file_wave()
    fence = scene.first.role.fence
    plans = scene.first.plan_store
    planners = [
        Planner("north", fence, scene.settings),
        Planner("north", fence + 1, scene.settings),
    ]
    stored = plans.read()
    outcomes = []
    for index in (first_writer, 1 - first_writer):
        observation = scene.region.observe(stored.plan)
        actions = planners[index].step(observation, stored.plan, scene.region.now)
        outcomes.append(plans.write(actions[-1].plan, stored.revision))
        scene.driver.publish()
    assert isinstance(outcomes[0], PlanWritten)
    assert isinstance(outcomes[1], PlanSuperseded)
    assert scene.region.violations == []
    current = plans.read().plan
    leaving = Counter(
        row.pool for row in current.rows.values() if row.phase is Phase.LEAVING
    )
    # The spare pool's floor demand allows two of the three stops of its budget.
    assert leaving == {**dict.fromkeys(list(scene.state.pools)[:-1], 1), "pool04": 2}
    observation = scene.region.observe(current)
    loser = planners[1 - first_writer].step(observation, current, scene.region.now)
    assert (loser == []) == (first_writer == 1)


def test_rack_failure_pauses_the_wave():
    """Guards against new permits for pools that a failure took below budget."""
    scene = Scene()
    scene.file_wave()
    scene.driver.run(scene.first, 30)
    lost = scene.region.rack_vms("z1-r0")
    scene.region.fail(lost)
    scene.driver.run(scene.first, 60)
    scene.region.repair(lost)
    assert scene.driver.run(scene.first, 5_000, scene.is_maintained)
    assert scene.region.violations == []


def test_zone_cut_off_in_mid_move_heals():
    """Guards against a VM that two pools use after its zone was cut off."""
    scene = Scene()
    target = scene.file_move("w00000")
    scene.driver.run(scene.first, 4)
    scene.region.cut.add("z1")
    scene.driver.run(scene.first, 1_200)
    assert scene.driver.plan.rows["w00000"].pool != target
    scene.region.cut.clear()
    assert scene.driver.run(scene.first, 5_000, scene.is_settled)
    assert scene.region.violations == []


def test_every_entry_replaced_at_once():
    """Guards against cells without an owner after all entry VMs are replaced."""
    scene = Scene()
    old = scene.region.entries
    scene.region.gone_entries = {name for names in old.values() for name in names}
    scene.region.entries = {
        zone: (*names, f"{zone}-new") for zone, names in old.items()
    }
    scene.driver.run(scene.open_session("b"), 60)
    owners = {row.instance for row in scene.driver.plan.dispatchers.values()}
    assert owners == {"z1-new", "z2-new", "z3-new"}
    assert all(
        row.previous_owner is None for row in scene.driver.plan.dispatchers.values()
    )


def test_vm_that_never_returns_is_set_aside():
    """Guards against a wave that waits for ever for one VM."""
    scene = Scene()
    scene.region.never_returning.add("w00003")
    scene.file_wave(reboot_limit_s=300.0)
    assert scene.driver.run(
        scene.first, 3_000, lambda plan: plan.rows["w00003"].phase is Phase.SET_ASIDE
    )
    assert ("set_aside", "w00003") in {
        (alarm.kind, alarm.subject) for alarm in scene.region.alarms
    }
    assert scene.region.violations == []


def test_nothing_starts_when_the_deadline_is_too_near():
    """Guards against reboots that run past the deadline of their wave."""
    scene = Scene()
    scene.file_wave(length_s=100.0)
    scene.driver.run(scene.first, 50)
    assert all(row.phase is Phase.SERVING for row in scene.driver.plan.rows.values())
    assert {alarm.kind for alarm in scene.region.alarms} == {"deadline_too_near"}


@pytest.mark.parametrize("checkpointable", [True, False])
def test_straggler_is_checkpointed_or_the_stop_abandoned(checkpointable):
    """Guards against stops that wait for ever, or that cut a running task."""
    scene = Scene()
    scene.region.stragglers.add("w00000")
    if checkpointable:
        scene.region.checkpointable.add("w00000")
    scene.file_wave(straggler_limit_s=120.0, pools=("pool00",))
    scene.driver.run(scene.first, 2_000)
    row = scene.driver.plan.rows["w00000"]
    start = scene.region.state.waves["w1"].start_s
    assert (row.maintained_at > start) == checkpointable
    assert (row.attempts > 0) != checkpointable
    assert scene.region.violations == []


@pytest.mark.parametrize("gap", [1, 3, 5, 20, 40])
def test_conflicting_tickets_during_a_move(gap):
    """Guards against a VM that ends in the pool of an older ticket."""
    scene = Scene()
    for pool in ("pool01", "pool02", "pool00", "pool03"):
        scene.region.state = reassign(scene.region.state, {"w00000": pool})
        scene.driver.run(scene.first, gap)
    assert scene.driver.run(scene.first, 3_000, scene.is_settled)
    assert scene.driver.plan.rows["w00000"].pool == "pool03"
    assert scene.region.violations == []


def cause_something(scene, random):
    """Let one thing fail, return or change."""
    region = scene.region
    names = sorted(region.vms)
    event = random.choice(("fail", "rack", "repair", "cut", "heal", "ticket", "store"))
    if event == "fail":
        region.fail([random.choice(names)])
    elif event == "rack":
        region.fail(region.rack_vms(region.state.vms[random.choice(names)].rack))
    elif event == "repair":
        region.repair([name for name in names if not region.vms[name].up])
    elif event == "cut":
        region.cut.add(random.choice(("z1", "z2", "z3")))
    elif event == "heal":
        region.cut.clear()
    elif event == "store":
        scene.store.available = not scene.store.available
    else:
        first, second = random.sample(names, 2)
        pools = {
            first: region.state.vms[second].pool,
            second: region.state.vms[first].pool,
        }
        region.state = reassign(region.state, pools)


@pytest.mark.parametrize("seed", [0, 1, 2, 13, 30])
def test_storm_of_failures_and_tickets(seed):
    """Guards against promises that break when failures come together."""
    scene = Scene(seed=seed)
    random = Random(seed)
    scene.file_wave(length_s=1e6)
    session = scene.first
    for number in range(25):
        cause_something(scene, random)
        scene.driver.run(session, random.randrange(1, 40))
        scene.store.responses_to_drop = random.randrange(2)
        if random.random() < 0.3:
            session = scene.open_session(f"s{number}")
    scene.store.available = True
    scene.store.responses_to_drop = 0
    scene.region.cut.clear()
    scene.region.repair([name for name, vm in scene.region.vms.items() if not vm.up])
    assert scene.driver.run(session, 8_000, scene.is_maintained)
    assert scene.region.violations == []
