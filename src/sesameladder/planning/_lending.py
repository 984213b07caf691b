"""Lends VMs from spare pools to pools short of capacity, and takes them back.

VMs are lent before a shortage breaks a pool's availability budget.
"""

from dataclasses import dataclass
from math import inf

from sesameladder.model import VirtualMachine
from sesameladder.planning._buffer import PoolCapacity, pick_best_candidate
from sesameladder.planning._plan_cache import REBOOT_PHASES
from sesameladder.planning._rows import Phase, VmRow
from sesameladder.planning._step import PlannerStep

STOP_PHASES = (Phase.LEAVING, Phase.DRAINED, *REBOOT_PHASES)


def update_mean_demand(step: PlannerStep) -> None:
    """Update the smoothed demand of each pool from the dispatchers' reports.

    During the first time constant the plain mean since the first report is used,
    so that a planner that starts during a burst does not take it for the mean.
    """
    memory = step.memory
    demand: dict[str, float] = {}
    for key, report in step.observation.cells.items():
        if report.alive:
            pool = key.rsplit("/", 1)[0]
            demand[pool] = demand.get(pool, 0.0) + report.mean_demand_slots
    if memory.first_demand_at is None:
        memory.first_demand_at = memory.last_demand_at = step.now
        memory.mean_demand = demand
        return
    elapsed = step.now - memory.last_demand_at
    observed_for_s = max(step.now - memory.first_demand_at, elapsed)
    window_s = min(observed_for_s, step.settings.demand_time_constant_s)
    weight = min(elapsed / window_s, 1.0) if window_s > 0 else 0.0
    memory.last_demand_at = step.now
    for pool, slots in demand.items():
        old = memory.mean_demand.get(pool, slots)
        memory.mean_demand[pool] = old + weight * (slots - old)


def lend_and_return(step: PlannerStep) -> None:
    """Lend VMs to pools that are short of capacity and take back surplus VMs."""
    state = step.draft.context.state
    if not any(pool.spare for pool in state.pools.values()):
        return
    for pool in sorted(state.pools):
        if not state.pools[pool].spare:
            requirements = PoolRequirements.from_step(step, pool)
            _track_shortage(
                step, pool, requirements.shortfall(step.settings.lend_load_share) > 0
            )
            if _has_lasted(
                step, step.memory.shortage_since, pool, step.settings.lend_delay_s
            ):
                _lend(step, pool, requirements)
    for pool in sorted({row.pool for row in step.index.lent if row.pool}):
        if not state.pools[pool].spare:
            _take_back(step, pool)


@dataclass(slots=True)
class PoolRequirements:
    """Capacity that a pool has and needs; VMs in a planned stop count as present."""

    capacity: PoolCapacity
    """Capacity of VMs that serve, are in a planned stop or are about to join."""

    required_vms: int
    """VMs that the budget needs, plus one if the pool has more configured VMs."""

    floor_slots: int
    """Slots that have to remain after the loss of the largest failure domain."""

    demand_slots: float
    """Smoothed demand; 0 until it was observed for one time constant."""

    @classmethod
    def from_step(cls, step: PlannerStep, pool: str) -> "PoolRequirements":
        """Return the requirements of a pool in a step."""
        state = step.draft.context.state
        budget = state.budgets.get(pool)
        rows = step.index.by_destination.get(pool, [])
        lent = sum(row.lender not in (None, pool) for row in rows)
        configured = len(rows) - lent
        vms = min(configured, budget.min_available + 1) if budget else 0
        since = step.memory.first_demand_at
        is_demand_known = since is not None and (
            step.now - since >= step.settings.demand_time_constant_s
        )
        return cls(
            step.availability.find_capacity(step.index, state, pool),
            max(vms, budget.min_available if budget else 0),
            state.pools[pool].floor_slots,
            step.memory.mean_demand.get(pool, 0.0) if is_demand_known else 0.0,
        )

    def shortfall(self, load: float) -> float:
        """Return how many slots the pool is short of at a load (demand per slot).

        This is the sum of the shortfalls against the budget, the floor and the
        demand.
        """
        capacity = self.capacity
        slots_per_vm = capacity.slots / capacity.vm_count if capacity.vm_count else 1.0
        return (
            max(self.required_vms - capacity.vm_count, 0) * slots_per_vm
            + max(self.floor_slots - capacity.surviving_slots, 0)
            + max(self.demand_slots / load - capacity.slots, 0.0)
        )

    def shortfall_with(self, vm: VirtualMachine, load: float, sign: int = 1) -> float:
        """Return the shortfall with one more VM, or with one VM less for sign -1."""
        self.capacity.add(vm, sign)
        shortfall = self.shortfall(load)
        self.capacity.add(vm, -sign)
        return shortfall


def _track_shortage(step: PlannerStep, pool: str, is_short: bool) -> None:
    if is_short:
        step.memory.shortage_since.setdefault(pool, step.now)
    else:
        step.memory.shortage_since.pop(pool, None)
        step.clear_alarm("spare_exhausted", pool)


def _has_lasted(
    step: PlannerStep, since: dict[str, float], pool: str, limit_s: float
) -> bool:
    return pool in since and step.now - since[pool] >= limit_s


def _return_delay_s(step: PlannerStep, borrower: str, lender: str) -> float:
    """Return how long a pool must have a surplus before a lent VM is returned.

    A return uses a stop of the borrowing pool's budget, so it waits until a wave in
    that pool has rebooted every VM or has ended. If a wave of the lender can't stop
    any VM, ``return_delay_in_wave_s`` applies instead.
    """
    if _has_unfinished_wave(step, lender) and not _can_stop_vm(step, lender):
        return step.settings.return_delay_in_wave_s
    return inf if _has_unfinished_wave(step, borrower) else step.settings.return_delay_s


def _has_unfinished_wave(step: PlannerStep, pool: str) -> bool:
    rows = step.index.members.get(pool, [])
    oldest = min((row.maintained_at for row in rows), default=step.now)
    return any(
        wave.start_s <= step.now < wave.deadline_s and oldest < wave.start_s
        for wave in step.draft.context.state.waves.values()
        if pool in wave.pools
    )


def _can_stop_vm(step: PlannerStep, pool: str) -> bool:
    """Return whether a stop is under way or the pool's budget allows one more."""
    if any(row.phase in STOP_PHASES for row in step.index.members.get(pool, [])):
        return True
    budget = step.draft.context.state.budgets.get(pool)
    tally = step.draft.tally(pool)
    return budget is None or (
        tally.available > budget.min_available
        and tally.members - tally.available < budget.max_unavailable
    )


def _lend(step: PlannerStep, pool: str, requirements: PoolRequirements) -> None:
    """Move VMs from the spare pools until the shortfall is covered.

    Raises an alarm if the spare VMs don't cover it.
    """
    load = step.settings.lend_load_share
    requirements.capacity = requirements.capacity.copy()
    candidates = _list_lendable_vms(step)
    while requirements.shortfall(load) > 0 and candidates:
        vm = pick_best_candidate(requirements.capacity, candidates.values())
        del candidates[vm.name]
        has_gain = requirements.shortfall_with(vm, load) < requirements.shortfall(load)
        if not has_gain and not requirements.capacity.is_improved_by(vm):
            break
        if step.draft.request_move(vm.name, pool, vm.pool) is None:
            requirements.capacity.add(vm)
    if requirements.shortfall(load) > 0:
        step.raise_alarm(
            "spare_exhausted",
            pool,
            f"pool {pool} is short of capacity and no spare VM may be lent",
        )


def _list_lendable_vms(step: PlannerStep) -> dict[str, VirtualMachine]:
    state = step.draft.context.state
    spare = [name for name, pool in state.pools.items() if pool.spare]
    rows = [row for name in spare for row in step.index.members.get(name, [])]
    return {
        row.vm: state.vms[row.vm]
        for row in rows
        if row.vm in state.vms
        and state.vms[row.vm].pool == row.pool
        and step.draft.is_available(step.draft.rows[row.vm])
    }


def _take_back(step: PlannerStep, pool: str) -> None:
    """Return a lent VM once the pool has had a surplus for the return delay."""
    requirements = PoolRequirements.from_step(step, pool)
    lent = [row for row in step.index.lent if row.pool == pool]
    vm = _find_returnable_vm(step, requirements, lent)
    if vm is None:
        step.memory.surplus_since.pop(pool, None)
        return
    step.memory.surplus_since.setdefault(pool, step.now)
    if _has_lasted(
        step, step.memory.surplus_since, pool, _return_delay_s(step, pool, vm.pool)
    ):
        step.draft.request_move(vm.name, vm.pool)


def _find_returnable_vm(
    step: PlannerStep, requirements: PoolRequirements, lent: list[VmRow]
) -> VirtualMachine | None:
    """Return the first lent VM, by name, that is surplus, or None if none is."""
    state = step.draft.context.state
    load = step.settings.return_load_share
    for row in sorted(lent, key=lambda row: row.vm):
        vm = state.vms.get(row.vm)
        current = step.draft.rows[row.vm]
        if vm is None or vm.pool != row.lender or not step.draft.is_available(current):
            continue
        if requirements.shortfall_with(vm, load, -1) <= 0:
            return vm
    return None
