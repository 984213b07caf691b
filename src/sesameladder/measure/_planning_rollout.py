"""Duration of a maintenance wave compared to the minimum that the budgets allow."""

from dataclasses import replace
from random import Random

from sesameladder.measure._entry import MeasureEntry
from sesameladder.measure._planning_driver import PlannerDriver, start_driver
from sesameladder.measure._planning_fleet import build_fleet, build_wave
from sesameladder.measure._planning_region import RegionTimes
from sesameladder.model import FleetState
from sesameladder.planning import Phase

WAVE_LENGTH_S = 50_000.0
RACK_OUTAGE_S = 120.0
TARGET = "value <= 1.2 * bound"
# Number of workers and pools, and drain and reboot times, of each deployment.
FLEETS = {
    "coral-strand": (30, 5, RegionTimes((5.0, 40.0), (60.0, 120.0))),
    "pfennigblatt": (30, 5, RegionTimes((10.0, 90.0), (120.0, 240.0))),
    "target-size": (240, 8, RegionTimes((5.0, 60.0), (90.0, 180.0))),
}


def measure_rollout(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the roll-out times without and with the failure of a rack."""
    return [
        _measure_wave(deployment, seed, "rollout_time", None),
        _measure_wave(deployment, seed, "rollout_time_rack_failure", "z1-r0"),
    ]


def _measure_wave(
    deployment: str, seed: int, name: str, rack: str | None
) -> MeasureEntry:
    workers, pools, times = FLEETS[deployment]
    state = build_fleet(workers, pools)
    driver = start_driver(state, Random(seed), times)
    start = driver.region.now
    wave = build_wave(state, start, WAVE_LENGTH_S)
    driver.region.state = replace(state, number=2, waves={wave.id: wave})
    if rack is not None:
        _fail_rack(driver, rack, _estimate_half_rollout_s(state, times))
    driver.run(WAVE_LENGTH_S, lambda: _is_maintained(driver, start))
    if driver.region.violations:
        raise AssertionError(f"guarantees violated: {driver.region.violations}")
    value = driver.region.now - start
    outage = RACK_OUTAGE_S if rack is not None else 0.0
    bound = find_min_rollout_s(state, driver.region.stop_times_s, rack, outage)
    baseline = sum(driver.region.stop_times_s.values())
    return MeasureEntry(
        name, deployment, "s", value, baseline, bound, TARGET, value <= 1.2 * bound
    )


def find_min_rollout_s(
    state: FleetState, stop_times_s: dict[str, float], rack: str | None, outage_s: float
) -> float:
    """Return the minimum roll-out time that the budgets allow, in seconds.

    Each pool stops at most as many VMs at once as its budget allows. VMs of a failed
    rack use up part of that number, or all of it, for the length of the outage.
    """
    bound = 0.0
    for pool, budget in state.budgets.items():
        pool_vms = state.list_pool_vms(pool)
        parallel_stops = min(
            budget.max_unavailable, len(pool_vms) - budget.min_available
        )
        lost = sum(vm.rack == rack for vm in pool_vms)
        times = [stop_times_s.get(vm.name, 0.0) for vm in pool_vms]
        outage_wait_s = outage_s * min(lost, parallel_stops) / parallel_stops
        bound = max(bound, sum(times) / parallel_stops + outage_wait_s, *times)
    return bound


def _is_maintained(driver: PlannerDriver, start: float) -> bool:
    return all(
        row.phase is Phase.SERVING and row.maintained_at >= start
        for row in driver.plan.rows.values()
    )


def _estimate_half_rollout_s(state: FleetState, times: RegionTimes) -> float:
    stop_times_s = sum(times.drain_s) / 2 + sum(times.reboot_s) / 2
    return (
        find_min_rollout_s(state, dict.fromkeys(state.vms, stop_times_s), None, 0.0) / 2
    )


def _fail_rack(driver: PlannerDriver, rack: str, after_s: float) -> None:
    driver.run(after_s)
    lost = driver.region.list_rack_vms(rack)
    driver.region.fail(lost)
    driver.run(RACK_OUTAGE_S)
    driver.region.repair(lost)
