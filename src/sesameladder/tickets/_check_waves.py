"""Rules for maintenance waves: order of times, budgets and the deadline."""

from math import ceil

from sesameladder.model import FleetState, MaintenanceWave, VirtualMachine
from sesameladder.tickets._problems import Problem
from sesameladder.tickets._ticket import Ticket

Members = dict[str, list[VirtualMachine]]


def check_waves(result: FleetState, ticket: Ticket, members: Members) -> list[Problem]:
    """Return the problems of each wave that a ticket names."""
    problems: list[Problem] = []
    for wave in ticket.maintenance.values():
        if wave is not None:
            problems += _check_wave(result, wave, members)
    return problems


def _check_wave(
    result: FleetState, wave: MaintenanceWave, members: Members
) -> list[Problem]:
    path = f"maintenance.{wave.id}"
    if len(set(wave.pools)) < len(wave.pools):
        value = ", ".join(wave.pools)
        return [Problem(f"{path}.pools", value, "each pool named once")]
    if wave.deadline_s <= wave.start_s:
        value = f"{wave.deadline_s:.0f}, with start_s {wave.start_s:.0f}"
        return [Problem(f"{path}.deadline_s", value, "a time after start_s")]
    known = [pool for pool in wave.pools if pool in result.pools]
    problems = _check_wave_budgets(result, wave, known, members)
    if problems or len(known) < len(wave.pools):
        return problems
    return _check_deadline(result, wave, members)


def _check_wave_budgets(
    result: FleetState, wave: MaintenanceWave, pools: list[str], members: Members
) -> list[Problem]:
    problems = []
    for pool in pools:
        path = f"maintenance.{wave.id}.pools"
        budget = result.budgets.get(pool)
        if budget is None:
            accepted = f"a budget for the pool, budgets.{pool}"
            problems.append(Problem(path, f"{pool!r} without a budget", accepted))
            continue
        count = len(members.get(pool, []))
        if count and _find_step(result, pool, count) < 1:
            value = (
                f"{pool!r}, whose budget lets no VM stop ({count} VMs, min_available "
                f"{budget.min_available}, max_unavailable {budget.max_unavailable})"
            )
            accepted = "a budget that leaves at least one VM to stop"
            problems.append(Problem(path, value, accepted))
    return problems


def _check_deadline(
    result: FleetState, wave: MaintenanceWave, members: Members
) -> list[Problem]:
    steps = {
        pool: _count_steps(result, wave, pool, len(members.get(pool, [])))
        for pool in wave.pools
    }
    slowest = max(steps, key=lambda pool: steps[pool])
    total = sum(len(members.get(pool, [])) for pool in wave.pools)
    shared = ceil(total / wave.concurrency) if wave.concurrency else 0
    least = max(steps[slowest], shared)
    needed = least * wave.reboot_limit_s
    window = wave.deadline_s - wave.start_s
    if needed <= window:
        return []
    cause = f"pool {slowest!r}" if steps[slowest] >= shared else "the concurrency"
    value = (
        f"{wave.deadline_s:.0f}, {window:.0f} s after start_s, but {cause} needs "
        f"{least} steps of reboot_limit_s {wave.reboot_limit_s:.0f} s, {needed:.0f} s"
    )
    accepted = f"{wave.start_s + needed:.0f} or later, or fewer or shorter steps"
    return [Problem(f"maintenance.{wave.id}.deadline_s", value, accepted)]


def _count_steps(
    result: FleetState, wave: MaintenanceWave, pool: str, count: int
) -> int:
    if count == 0:
        return 0
    step = _find_step(result, pool, count)
    if wave.concurrency:
        step = min(step, wave.concurrency)
    return ceil(count / step)


def _find_step(result: FleetState, pool: str, count: int) -> int:
    budget = result.budgets[pool]
    return min(budget.max_unavailable, count - budget.min_available)
