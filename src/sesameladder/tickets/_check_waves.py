"""Validation of maintenance waves: times, budgets and deadlines."""

from math import ceil

from sesameladder.model import FleetState, MaintenanceWave, VirtualMachine
from sesameladder.tickets._problems import Problem
from sesameladder.tickets._ticket import Ticket

VmsByPool = dict[str, list[VirtualMachine]]


def check_waves(
    new_state: FleetState, ticket: Ticket, vms_by_pool: VmsByPool
) -> list[Problem]:
    """Return the problems of the waves that a ticket adds or replaces."""
    problems: list[Problem] = []
    for wave in ticket.maintenance.values():
        if wave is not None:
            problems += _check_wave(new_state, wave, vms_by_pool)
    return problems


def _check_wave(
    new_state: FleetState, wave: MaintenanceWave, vms_by_pool: VmsByPool
) -> list[Problem]:
    path = f"maintenance.{wave.id}"
    if len(set(wave.pools)) < len(wave.pools):
        value = ", ".join(wave.pools)
        return [Problem(f"{path}.pools", value, "each pool named once")]
    if wave.deadline_s <= wave.start_s:
        value = f"{wave.deadline_s:.0f}, with start_s {wave.start_s:.0f}"
        return [Problem(f"{path}.deadline_s", value, "a time after start_s")]
    existing_pools = [pool for pool in wave.pools if pool in new_state.pools]
    problems = _check_wave_budgets(new_state, wave, existing_pools, vms_by_pool)
    if problems or len(existing_pools) < len(wave.pools):
        return problems
    return _check_deadline(new_state, wave, vms_by_pool)


def _check_wave_budgets(
    new_state: FleetState,
    wave: MaintenanceWave,
    pools: list[str],
    vms_by_pool: VmsByPool,
) -> list[Problem]:
    problems = []
    for pool in pools:
        path = f"maintenance.{wave.id}.pools"
        budget = new_state.budgets.get(pool)
        if budget is None:
            accepted = f"a budget for the pool, budgets.{pool}"
            problems.append(Problem(path, f"{pool!r} without a budget", accepted))
            continue
        count = len(vms_by_pool.get(pool, []))
        if count and _compute_step_size(new_state, pool, count) < 1:
            value = (
                f"{pool!r}, whose budget lets no VM stop ({count} VMs, min_available "
                f"{budget.min_available}, max_unavailable {budget.max_unavailable})"
            )
            accepted = "a budget that leaves at least one VM to stop"
            problems.append(Problem(path, value, accepted))
    return problems


def _check_deadline(
    new_state: FleetState, wave: MaintenanceWave, vms_by_pool: VmsByPool
) -> list[Problem]:
    steps_by_pool = {
        pool: _count_steps(new_state, wave, pool, len(vms_by_pool.get(pool, [])))
        for pool in wave.pools
    }
    slowest_pool = max(steps_by_pool, key=lambda pool: steps_by_pool[pool])
    total_vms = sum(len(vms_by_pool.get(pool, [])) for pool in wave.pools)
    concurrency_steps = ceil(total_vms / wave.concurrency) if wave.concurrency else 0
    min_steps = max(steps_by_pool[slowest_pool], concurrency_steps)
    needed_s = min_steps * wave.reboot_limit_s
    window_s = wave.deadline_s - wave.start_s
    if needed_s <= window_s:
        return []
    cause = (
        f"pool {slowest_pool!r}"
        if steps_by_pool[slowest_pool] >= concurrency_steps
        else "the concurrency"
    )
    value = (
        f"{wave.deadline_s:.0f}, {window_s:.0f} s after start_s, but {cause} needs "
        f"{min_steps} steps of reboot_limit_s {wave.reboot_limit_s:.0f} s, "
        f"{needed_s:.0f} s"
    )
    accepted = f"{wave.start_s + needed_s:.0f} or later, or fewer or shorter steps"
    return [Problem(f"maintenance.{wave.id}.deadline_s", value, accepted)]


def _count_steps(
    new_state: FleetState, wave: MaintenanceWave, pool: str, count: int
) -> int:
    if count == 0:
        return 0
    step_size = _compute_step_size(new_state, pool, count)
    if wave.concurrency:
        step_size = min(step_size, wave.concurrency)
    return ceil(count / step_size)


def _compute_step_size(new_state: FleetState, pool: str, count: int) -> int:
    budget = new_state.budgets[pool]
    return min(budget.max_unavailable, count - budget.min_available)
