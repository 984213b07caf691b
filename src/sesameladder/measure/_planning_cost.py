"""Time and memory of planner steps and size of plans at several fleet sizes."""

import time
import tracemalloc
from random import Random
from statistics import median

from sesameladder.measure._entry import MeasureEntry
from sesameladder.measure._planning_driver import PlannerDriver, start_driver
from sesameladder.measure._planning_fleet import build_fleet
from sesameladder.planning import Planner, RegionPlan

FLEET_SIZES = (30, 300, 3_000, 12_000)
POOLS = 55
ZONES = 12
STEPS = 9
BYTES_PER_MB = 1_000_000
MS_PER_S = 1_000


def measure_cost(deployment: str) -> list[MeasureEntry]:
    """Return the cost of steps in the steady state and of a first plan."""
    entries: list[MeasureEntry] = []
    for workers in FLEET_SIZES:
        entries += _measure_size(deployment, workers)
    return entries


def _measure_size(deployment: str, workers: int) -> list[MeasureEntry]:
    state = build_fleet(workers, min(POOLS, workers // 6), ZONES)
    driver = start_driver(state, Random(1))
    steady_ms = _time_step_ms(driver, driver.planner)
    uncached_ms = median(
        _time_step_ms(driver, _create_planner(driver)) for _ in range(3)
    )
    first_ms = _time_first_plan_ms(driver)
    memory_mb = _measure_memory_mb(driver)
    size = len(driver.plan.to_bytes())
    suffix = f"_{workers}"
    return [
        _build_entry(f"planner_time{suffix}", deployment, "ms", steady_ms, uncached_ms),
        _build_entry(
            f"planner_time_first_plan{suffix}", deployment, "ms", first_ms, None
        ),
        _build_entry(f"planner_memory{suffix}", deployment, "MB", memory_mb, None),
        _build_entry(f"plan_bytes{suffix}", deployment, "B", size, None),
    ]


def _build_entry(
    name: str, deployment: str, unit: str, value: float, baseline: float | None
) -> MeasureEntry:
    return MeasureEntry(name, deployment, unit, value, baseline, None, "", None)


def _create_planner(driver: PlannerDriver) -> Planner:
    """Return a planner without caches; its first step computes everything anew."""
    return Planner("north", driver.planner.fence, driver.planner.settings)


def _time_step_ms(driver: PlannerDriver, planner: Planner) -> float:
    """Return the median time of a step that changes nothing, in milliseconds.

    Only one step of a new planner is timed, because later steps use its caches.
    """
    has_no_cache = planner is not driver.planner
    samples = []
    for _ in range(1 if has_no_cache else STEPS):
        driver.region.advance(1.0)
        observation = driver.region.observe(driver.plan)
        start = time.perf_counter()
        planner.step(observation, driver.plan, driver.region.now)
        samples.append((time.perf_counter() - start) * MS_PER_S)
    return median(samples)


def _time_first_plan_ms(driver: PlannerDriver) -> float:
    empty = RegionPlan.empty("north")
    observation = driver.region.observe(empty)
    planner = _create_planner(driver)
    start = time.perf_counter()
    planner.step(observation, empty, driver.region.now)
    return (time.perf_counter() - start) * MS_PER_S


def _measure_memory_mb(driver: PlannerDriver) -> float:
    """Return the peak memory of a decoded plan and three steps, in megabytes."""
    data = driver.plan.to_bytes()
    observation = driver.region.observe(driver.plan)
    tracemalloc.start()
    plan = RegionPlan.from_bytes(data)
    planner = _create_planner(driver)
    for _ in range(3):
        planner.step(observation, plan, driver.region.now)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / BYTES_PER_MB
