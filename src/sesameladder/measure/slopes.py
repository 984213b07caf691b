"""Measures how memory, bytes and times grow with size, for docs/CAPACITY.md.

``make slopes`` fits a line through the cost at several sizes. It prints the values,
the line and its largest residual, and writes ``build/slopes.json``.
"""

import json
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

import numpy as np

from sesameladder.dispatch import (
    Demand,
    Dispatcher,
    DispatcherConfig,
    Granted,
    GrantOutcome,
    LeavingSource,
    OutcomeKind,
    WorkerSpec,
)
from sesameladder.idempotency import Done, HomeTable, TokenIssuer
from sesameladder.measure._planning_driver import start_driver
from sesameladder.measure._planning_fleet import build_fleet
from sesameladder.model import FleetState, PeerIdentity, Pool
from sesameladder.peering import (
    Envelope,
    Heartbeat,
    VmItem,
    VmListUpdate,
    decode_envelope,
    encode_envelope,
)
from sesameladder.planning import RegionPlan
from sesameladder.tickets import decode_state, encode_state

FLEET_SIZES = (300, 1_500, 3_000, 6_000, 12_000)
REGION_SIZES = (300, 600, 1_200, 2_400)
CELL_SIZES = (8, 16, 32, 64)
TOKEN_COUNTS = (1_000, 2_000, 4_000, 8_000)
HEARTBEAT_COUNTS = (100, 200, 400, 800)
POOLS = 55
WORKERS_PER_POOL = 24
ZONES = 12
REGION_ZONES = 3
REPEATS = 5
GRANT_COUNT = 2_000
MS_PER_S = 1_000.0
RESPONSE_BYTES = 512
SLOTS = 8


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost at several sizes with the line fitted to it."""

    name: str
    """Stable name of the cost, for example ``plan_bytes``."""

    unit: str
    """Unit of the cost."""

    per: str
    """Unit of the size, for example ``token``."""

    sizes: tuple[float, ...]
    """Measured sizes."""

    values: tuple[float, ...]
    """Cost at each size."""

    slope: float
    """Increase of the cost per unit of size."""

    intercept: float
    """Cost at size 0 according to the line."""

    residual: float
    """Largest distance of a value from the line, relative to the largest value."""


def measure_slope(
    name: str, unit: str, per: str, sizes: Sequence[int], cost: Callable[[int], float]
) -> Slope:
    """Measure a cost at each size and fit a line by least squares."""
    values = [cost(size) for size in sizes]
    slope, intercept = np.polyfit(sizes, values, 1)
    fitted = np.polyval((slope, intercept), sizes)
    residual = float(np.max(np.abs(fitted - values)) / max(map(abs, values)))
    return Slope(
        name,
        unit,
        per,
        tuple(map(float, sizes)),
        tuple(values),
        float(slope),
        float(intercept),
        residual,
    )


def run_all() -> list[Slope]:
    """Return all slopes."""
    return [
        measure_slope(
            "state_memory", "MB", "worker", FLEET_SIZES, _measure_state_memory_mb
        ),
        measure_slope("state_bytes", "B", "worker", FLEET_SIZES, _measure_state_bytes),
        measure_slope(
            "state_decode", "ms", "worker", FLEET_SIZES, _time_state_decode_ms
        ),
        measure_slope(
            "plan_memory", "MB", "VM of a region", REGION_SIZES, _measure_plan_memory_mb
        ),
        measure_slope(
            "plan_bytes", "B", "VM of a region", REGION_SIZES, _measure_plan_bytes
        ),
        measure_slope(
            "plan_decode", "ms", "VM of a region", REGION_SIZES, _time_plan_decode_ms
        ),
        measure_slope(
            "planner_step", "ms", "VM of a region", REGION_SIZES, _time_planner_step_ms
        ),
        measure_slope(
            "vm_list_bytes", "B", "VM of a zone", REGION_SIZES, _measure_vm_list_bytes
        ),
        measure_slope(
            "vm_list_codec", "ms", "VM of a zone", REGION_SIZES, _time_vm_list_codec_ms
        ),
        measure_slope(
            "grant_time", "us", "worker of a cell", CELL_SIZES, _time_grant_us
        ),
        measure_slope(
            "token_memory", "KB", "token", TOKEN_COUNTS, _measure_token_memory_kb
        ),
        measure_slope(
            "heartbeat_codec",
            "ms",
            "heartbeat",
            HEARTBEAT_COUNTS,
            _time_heartbeat_codec_ms,
        ),
    ]


def _build_sized_fleet(workers: int) -> FleetState:
    return build_fleet(workers, min(POOLS, workers // WORKERS_PER_POOL), ZONES)


def _measure_state_memory_mb(workers: int) -> float:
    data = encode_state(_build_sized_fleet(workers))
    return _measure_memory_mb(lambda: decode_state(data))


def _measure_state_bytes(workers: int) -> float:
    return len(encode_state(_build_sized_fleet(workers)))


def _time_state_decode_ms(workers: int) -> float:
    data = encode_state(_build_sized_fleet(workers))
    return _time_ms(lambda: decode_state(data))


def _build_plan(workers: int) -> RegionPlan:
    state = build_fleet(workers, min(POOLS, workers // WORKERS_PER_POOL), REGION_ZONES)
    return start_driver(state, Random(1)).plan


def _measure_plan_memory_mb(workers: int) -> float:
    data = _build_plan(workers).to_bytes()
    return _measure_memory_mb(lambda: RegionPlan.from_bytes(data))


def _measure_plan_bytes(workers: int) -> float:
    return len(_build_plan(workers).to_bytes())


def _time_plan_decode_ms(workers: int) -> float:
    data = _build_plan(workers).to_bytes()
    return _time_ms(lambda: RegionPlan.from_bytes(data))


def _time_planner_step_ms(workers: int) -> float:
    state = build_fleet(workers, min(POOLS, workers // WORKERS_PER_POOL), REGION_ZONES)
    driver = start_driver(state, Random(1))
    observation = driver.region.observe(driver.plan)

    def step() -> None:
        driver.planner.step(observation, driver.plan, driver.region.now)

    return _time_ms(step)


def _build_vm_list(workers: int) -> Envelope:
    items = tuple(
        VmItem(f"w{index:05d}", "zone-1", "live", 1_700_000_000.0)
        for index in range(workers)
    )
    return Envelope("entry-1", 1, 0, False, VmListUpdate(1, items))


def _measure_vm_list_bytes(workers: int) -> float:
    return len(encode_envelope("d", _build_vm_list(workers)))


def _time_vm_list_codec_ms(workers: int) -> float:
    envelope = _build_vm_list(workers)
    return _time_ms(lambda: decode_envelope("d", encode_envelope("d", envelope)))


def _time_grant_us(workers: int) -> float:
    """Return the time to submit, grant and release a demand, in microseconds."""
    dispatcher = Dispatcher(DispatcherConfig.from_pool(Pool("p", "p")), Random(1))
    names = [f"w{index}" for index in range(workers)]
    specs = [WorkerSpec(vm, f"r{vm}", "a", SLOTS, 64) for vm in names]
    dispatcher.update_workers(specs, 0.0)
    for vm in names:
        dispatcher.mark_serving(vm, LeavingSource.PLAN, 0.0)
        dispatcher.mark_serving(vm, LeavingSource.VM_LIST, 0.0)
    dispatcher.recover([], 0.0)
    now = 10.0
    for vm in names:
        dispatcher.apply_task_report(vm, 0, now)
    start = time.perf_counter()
    for index in range(GRANT_COUNT):
        now += 0.001
        dispatcher.submit(_build_demand(index, now), now)
        for decision in dispatcher.poll(now):
            if isinstance(decision, Granted):
                outcome = GrantOutcome(OutcomeKind.SUCCEEDED, 1.0)
                dispatcher.release(decision.grant_id, outcome, now)
    return (time.perf_counter() - start) / GRANT_COUNT * 1e6


def _build_demand(index: int, now: float) -> Demand:
    return Demand(
        demand_id=str(index),
        forwarder="e",
        incarnation=1,
        team="",
        kind="k",
        urgent=False,
        repeatable=True,
        attempt=1,
        expected_ms=None,
        checkpointable=False,
        deadline=now + 5,
        tried_workers=(),
        tried_racks=(),
        resumed=False,
    )


def _measure_token_memory_kb(count: int) -> float:
    """Return the memory of finished tokens with small responses, in kilobytes."""

    def fill() -> HomeTable:
        issuer = TokenIssuer("a", 1, random_source=Random(1))
        table = HomeTable("a", 1)
        for index in range(count):
            token = issuer.issue(PeerIdentity("b", 1), float(index))
            table.begin(token, b"d", float(index))
            table.confirm_start(token)
            outcome = Done(200, (), bytes([index % 256]) * RESPONSE_BYTES)
            table.finish(token, outcome, float(index))
        return table

    return _measure_memory_mb(fill) * 1_000


def _time_heartbeat_codec_ms(count: int) -> float:
    """Return the time to encode and decode heartbeats, in milliseconds."""
    envelope = Envelope("entry-1", 1, 0, False, Heartbeat("z", 1, 1, False, False, 1))

    def exchange() -> None:
        for _ in range(count):
            decode_envelope("d", encode_envelope("d", envelope))

    return _time_ms(exchange)


def _time_ms(action: Callable[[], object]) -> float:
    """Return the shortest of several durations in milliseconds.

    Other processes can only lengthen a run, so the shortest is the most accurate.
    """
    samples = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        action()
        samples.append((time.perf_counter() - start) * MS_PER_S)
    return min(samples)


def _measure_memory_mb(build: Callable[[], object]) -> float:
    """Return the memory that a value occupies after it is built, in megabytes."""
    tracemalloc.start()
    value = build()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return held_bytes / 1e6


def main() -> int:
    """Measure all costs, print them and write the results."""
    slopes = run_all()
    for slope in slopes:
        values = ", ".join(f"{value:.4g}" for value in slope.values)
        sys.stdout.write(
            f"{slope.name:16} {slope.slope:.4g} {slope.unit} per {slope.per} "
            f"+ {slope.intercept:.4g} {slope.unit}; residual "
            f"{slope.residual:.1%}; at {slope.sizes}: {values}\n"
        )
    output = Path("build")
    output.mkdir(exist_ok=True)
    content = json.dumps([asdict(slope) for slope in slopes], indent=2)
    (output / "slopes.json").write_text(content + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
