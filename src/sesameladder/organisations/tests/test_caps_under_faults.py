"""Several owners over a store that loses answers and executes calls late."""

import pytest

from sesameladder.organisations import Amounts
from sesameladder.organisations.tests.cap_simulation import Faults, World

CAPS = {"a": Amounts(40_000), "b": Amounts(16_000, 3_000), "c": Amounts()}
POOLS = ["p", "q", "r", "s"]
SIZES = [Amounts(3_100, 400), Amounts(700, 100), Amounts(6_700, 900)]
SEEDS = range(12)


def play_faults(world: World, seconds: float) -> None:
    """Let demand alternate while owners change, are paused and are cut off."""
    random = world.random
    until = world.now + seconds
    hot = POOLS[0]
    next_turn = next_fault = world.now

    def tick() -> None:
        nonlocal hot, next_turn, next_fault
        if world.now >= next_turn:
            hot = random.choice(POOLS)
            next_turn = world.now + random.uniform(1, 4)
        for pool in POOLS:
            for organisation in CAPS:
                if pool == hot or random.random() < 0.02:
                    needs = random.choice(SIZES)
                    if random.random() < 0.002:
                        needs = Amounts(45_000, 4_000)
                    world.ask(pool, organisation, needs, random.randrange(1, 20))
                elif random.random() < 0.1:
                    world.pools[pool].demand[organisation] = []
        if world.now >= next_fault:
            next_fault = world.now + random.uniform(0.3, 2)
            process = random.choice(world.processes)
            match random.randrange(5):
                case 0:
                    process.cut_until = world.now + random.uniform(0.2, 6)
                case 1:
                    process.paused_until = world.now + random.uniform(0.2, 4)
                case 2 | 3:
                    pool = random.choice(POOLS)
                    if pool not in process.owned:
                        world.give(pool, process)
                        settled = random.uniform(0.2, 7.0)
                        fence = world.store.fences[pool]
                        row = world.pools[pool]

                        def settle() -> None:
                            row.settled_fence = max(row.settled_fence, fence)

                        world.call_later(settled, settle)
                case 4:
                    share = random.choice([0.2, 0.5, 1.0, 1.5])
                    cap = Amounts(round(40_000 * share))
                    world.set_caps(CAPS | {"a": cap})

    while world.now < until:
        world.run(1.0, tick)


@pytest.mark.parametrize("seed", SEEDS)
def test_sum_stays_within_the_cap_and_one_subtask(seed: int) -> None:
    """Guards against more running work than the cap whatever becomes of calls.

    Answers are lost, calls executed late, owners replaced while they are paused or cut
    off, and caps lowered far below what runs.
    """
    world = World(seed, 3, POOLS, CAPS)
    world.faults = Faults(0.1, 0.05, 0.1, view_delay_s=0.3)
    play_faults(world, 30)
    assert world.violations == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_caps_are_used_again_after_the_faults(seed: int) -> None:
    """Guards against a part of a cap that stays unused for good.

    An unanswered call or a row of an earlier owner could hold it.
    """
    world = World(seed, 3, POOLS, CAPS)
    world.faults = Faults(0.1, 0.05, 0.1, view_delay_s=0.3)
    play_faults(world, 30)
    world.faults = Faults()
    world.set_caps(CAPS)
    for process in world.processes:
        process.cut_until = process.paused_until = 0.0
    for pool in POOLS:
        world.pools[pool].demand.clear()
    world.run(12)
    used = []

    def tick() -> None:
        world.ask("q", "a", SIZES[0], 30)
        used.append(world.count("a"))

    world.run(2, tick)
    used.clear()
    world.run(2, tick)
    assert sum(used) / len(used) > 0.8 * 12 * SIZES[0].cpu_millis
    assert world.violations == []
