"""Measures the at-most-once path: guarantees under faults, and its cost.

Violations are counted over seeded schedules with process, message and store faults.
The cost is the number of platform calls per attempt without faults.
"""

import zlib
from collections import Counter

from sesameladder.idempotency import (
    CLAIM_LEASE_REUSE_SECONDS,
    Answer,
    AttemptResolver,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from sesameladder.measure._entry import MeasureEntry
from sesameladder.measure._schedule_process import Variant
from sesameladder.measure._schedule_run import ScheduleOptions, Zone, run_schedule

SCHEDULE_COUNT = 1000
COST_REQUESTS = 3000
COST_SECONDS = 3600.0
INSTANCES = {"coral-strand": 9, "pfennigblatt": 8}


class NotRunWithoutWitness(AttemptResolver):
    """Baseline that answers "not run" if the home is unreachable."""

    def _ask_witness(self) -> Answer:
        return Answer(NotRun(NotRunReason.HOME_UNREACHABLE))


class UnknownWithoutWitness(AttemptResolver):
    """Baseline that answers "unknown" if the home is gone."""

    def _ask_witness(self) -> Answer:
        return Answer(Unknown(UnknownReason.HOME_LOST))


def measure(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the entries of one deployment."""
    actual = _run_schedules(deployment, seed, Variant())
    not_run_baseline = _run_schedules(
        deployment, seed, Variant(resolver=NotRunWithoutWitness)
    )
    unknown_baseline = _run_schedules(
        deployment, seed, Variant(resolver=UnknownWithoutWitness)
    )
    return [
        _build_zero_target_entry("double_runs", deployment, actual, not_run_baseline),
        _build_zero_target_entry("false_not_run", deployment, actual, not_run_baseline),
        MeasureEntry(
            name="unknown_share",
            deployment=deployment,
            unit="ratio",
            value=_compute_unknown_share(actual),
            baseline=_compute_unknown_share(unknown_baseline),
            bound=None,
            target="",
            met=None,
        ),
        *_measure_costs(deployment, seed),
    ]


def _run_schedules(deployment: str, seed: int, variant: Variant) -> Counter[str]:
    first_seed = zlib.crc32(f"{deployment}/{seed}".encode())
    totals: Counter[str] = Counter()
    for number in range(SCHEDULE_COUNT):
        findings = run_schedule(first_seed + number, variant)
        totals.update(findings.outcomes)
        totals["double_runs"] += findings.double_runs
        totals["false_not_run"] += findings.false_not_run
    return totals


def _build_zero_target_entry(
    name: str, deployment: str, actual: Counter[str], baseline: Counter[str]
) -> MeasureEntry:
    return MeasureEntry(
        name=name,
        deployment=deployment,
        unit=f"count in {SCHEDULE_COUNT} schedules",
        value=float(actual[name]),
        baseline=float(baseline[name]),
        bound=0.0,
        target="value == 0",
        met=actual[name] == 0,
    )


def _compute_unknown_share(totals: Counter[str]) -> float:
    outcome_count = sum(totals[kind] for kind in ("Done", "NotRun", "Unknown"))
    return totals["Unknown"] / outcome_count


def _measure_costs(deployment: str, seed: int) -> list[MeasureEntry]:
    """Return the platform calls per attempt in an hour without faults.

    The baseline for tokens claims their requests in the store, as keys do. The bound
    for keys is one call per attempt plus the claim leases that each instance takes.
    """
    by_token, _ = _measure_calls_per_attempt(deployment, seed, uses_keys=False)
    by_key, attempts = _measure_calls_per_attempt(deployment, seed, uses_keys=True)
    leases = INSTANCES[deployment] * (COST_SECONDS / CLAIM_LEASE_REUSE_SECONDS + 1)
    bound = 1.0 + leases / attempts
    return [
        MeasureEntry(
            name="platform_calls_per_token_attempt",
            deployment=deployment,
            unit="calls",
            value=by_token,
            baseline=by_key,
            bound=0.0,
            target="value == 0",
            met=by_token == 0.0,
        ),
        MeasureEntry(
            name="platform_calls_per_key_attempt",
            deployment=deployment,
            unit="calls",
            value=by_key,
            baseline=None,
            bound=bound,
            target="value <= bound",
            met=by_key <= bound,
        ),
    ]


def _measure_calls_per_attempt(
    deployment: str, seed: int, uses_keys: bool
) -> tuple[float, int]:
    options = ScheduleOptions(
        callers=COST_REQUESTS,
        duration_s=COST_SECONDS,
        process_faults=0,
        has_call_faults=False,
        uses_keys=uses_keys,
        instances=INSTANCES[deployment],
    )
    zone = Zone(seed, Variant(), options)
    attempts = sum(zone.run().outcomes.values())
    return sum(zone.store.calls.values()) / attempts, attempts
