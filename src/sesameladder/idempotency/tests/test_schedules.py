"""Tests of the at-most-once path under seeded schedules of faults.

A schedule injects crashes, replacements that lost the state, pauses, lost,
delayed and duplicated messages, retries at other entries, store faults and
handovers.
"""

from collections import Counter

import pytest

from sesameladder.idempotency.tests.faulty_variants import FAULTY, SMALL_TABLES
from sesameladder.measure._schedule_process import Variant
from sesameladder.measure._schedule_run import ScheduleOptions, run_schedule

SEEDS_PER_BATCH = 100
SEARCHED_SEED_COUNT = 400


def run_batch(first_seed: int, variant: Variant) -> Counter[str]:
    """Run a batch of seeds and fail at the first one that breaks a guarantee."""
    totals: Counter[str] = Counter()
    for seed in range(first_seed, first_seed + SEEDS_PER_BATCH):
        findings = run_schedule(seed, variant)
        assert findings.is_clean(), f"seed {seed}: {findings}"
        totals.update(findings.outcomes)
        totals.update(findings.faults)
    return totals


@pytest.mark.parametrize("first_seed", range(0, 1000, SEEDS_PER_BATCH))
def test_no_double_run_and_no_false_not_run(first_seed: int) -> None:
    """Guards against runs and answers that break guarantee P3, P4 or P5."""
    totals = run_batch(first_seed, Variant())
    kinds = ("Done", "NotRun", "Unknown", "crash", "pause", "handover", "store")
    assert all(totals[kind] > 0 for kind in kinds)


@pytest.mark.parametrize("first_seed", range(1000, 1300, SEEDS_PER_BATCH))
def test_small_tables_give_no_false_answers(first_seed: int) -> None:
    """Guards against evicted records that count as never started."""
    run_batch(first_seed, SMALL_TABLES)


def variant_name(variant: Variant) -> str:
    classes = (
        variant.resolver,
        variant.home_table,
        variant.witness_table,
        variant.binder,
    )
    return next(c.__name__ for c in classes if c.__module__ not in CORRECT_MODULES)


CORRECT_MODULES = {
    cls.__module__
    for cls in (
        Variant().resolver,
        Variant().home_table,
        Variant().witness_table,
        Variant().binder,
    )
}


@pytest.mark.parametrize("variant", FAULTY, ids=variant_name)
def test_schedules_find_a_missing_rule(variant: Variant) -> None:
    """Guards against schedules that inject too few faults to find a broken rule."""
    seeds = range(SEARCHED_SEED_COUNT)
    assert any(not run_schedule(seed, variant).is_clean() for seed in seeds)


@pytest.mark.parametrize("instances", [1, 2, 3])
def test_every_request_is_done_without_faults(instances: int) -> None:
    """Guards against rules that keep the guarantees by refusing requests."""
    options = ScheduleOptions(
        process_faults=0, has_call_faults=False, instances=instances
    )
    for seed in range(20):
        findings = run_schedule(seed, options=options)
        assert findings.is_clean()
        assert set(findings.outcomes) == {"Done"}, f"seed {seed}: {findings}"


def test_schedule_is_reproducible() -> None:
    """Guards against seeds that do not reproduce a failure."""
    assert run_schedule(7) == run_schedule(7)
