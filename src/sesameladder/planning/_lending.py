"""The spare pool lends VMs before budgets break and takes them back later."""

from dataclasses import dataclass

from sesameladder.model import VirtualMachine
from sesameladder.planning._buffer import PoolStrength, pick_candidate, survive_of
from sesameladder.planning._rows import Phase, VmRow
from sesameladder.planning._step import PlannerStep

REBOOT_PHASES = (Phase.REBOOTING, Phase.CHECKING)
LOST_PHASES = (Phase.FAILED, Phase.SET_ASIDE)


def note_demand(step: PlannerStep) -> None:
    """Smooth the mean demand that the dispatchers report.

    Until one time constant has passed the plain mean is used, so a planner that
    starts during a burst does not take the burst for the mean.
    """
    memory = step.memory
    demand: dict[str, float] = {}
    for key, report in step.observation.cells.items():
        if report.alive:
            pool = key.rsplit("/", 1)[0]
            demand[pool] = demand.get(pool, 0.0) + report.mean_demand_slots
    if memory.demand_since is None:
        memory.demand_since = memory.demand_at = step.now
        memory.demand = demand
        return
    elapsed = step.now - memory.demand_at
    known = max(step.now - memory.demand_since, elapsed)
    span = min(known, step.settings.demand_time_constant_s)
    weight = min(elapsed / span, 1.0) if span > 0 else 0.0
    memory.demand_at = step.now
    for pool, slots in demand.items():
        old = memory.demand.get(pool, slots)
        memory.demand[pool] = old + weight * (slots - old)


def lend_and_return(step: PlannerStep) -> None:
    """Lend VMs to short pools and take back VMs that pools can do without."""
    state = step.draft.situation.state
    if not any(pool.spare for pool in state.pools.values()):
        return
    for pool in sorted(state.pools):
        if not state.pools[pool].spare:
            need = PoolNeed.from_step(step, pool)
            _note_shortage(step, pool, need.shortfall(step.settings.lend_load) > 0)
            if _has_waited(step, step.memory.short_since, pool, "lend"):
                _lend(step, pool, need)
    for pool in sorted({row.pool for row in step.survey.lent if row.pool}):
        if not state.pools[pool].spare:
            _take_back(step, pool)


@dataclass(slots=True)
class PoolNeed:
    """What a pool has and needs, planned stops left aside."""

    strength: PoolStrength
    """VMs that serve, that a stop will return, or that are about to join."""

    vms: int
    """VMs that the budget needs, with one to spare where the pool is larger."""

    floor_slots: int
    """Slots that have to be left after the loss of a failure domain."""

    demand_slots: float
    """Smoothed mean demand; 0 until it is known."""

    @classmethod
    def from_step(cls, step: PlannerStep, pool: str) -> "PoolNeed":
        """Work out the need of a pool."""
        state = step.draft.situation.state
        budget = state.budgets.get(pool)
        destined = step.survey.destined.get(pool, [])
        configured = sum(state.vms[row.vm].pool == pool for row in destined)
        vms = min(configured, budget.min_available + 1) if budget else 0
        since = step.memory.demand_since
        is_known = since is not None and (
            step.now - since >= step.settings.demand_time_constant_s
        )
        return cls(
            PoolStrength.from_vms(survive_of(state, pool), list_lasting(step, pool)),
            max(vms, budget.min_available if budget else 0),
            state.pools[pool].floor_slots,
            step.memory.demand.get(pool, 0.0) if is_known else 0.0,
        )

    def shortfall(self, load: float) -> float:
        """Return by how many slots the pool is short, summed over its needs."""
        strength = self.strength
        slots_per_vm = strength.slots / strength.count if strength.count else 1.0
        return (
            max(self.vms - strength.count, 0) * slots_per_vm
            + max(self.floor_slots - strength.surviving_slots, 0)
            + max(self.demand_slots / load - strength.slots, 0.0)
        )

    def shortfall_with(self, vm: VirtualMachine, load: float, sign: int = 1) -> float:
        """Return the shortfall with one more VM, or one less."""
        self.strength.add(vm, sign)
        shortfall = self.shortfall(load)
        self.strength.add(vm, -sign)
        return shortfall


def list_lasting(step: PlannerStep, pool: str) -> list[VirtualMachine]:
    """Return the VMs that a pool has or gets, without the failed ones."""
    state = step.draft.situation.state
    rows = (step.draft.rows[row.vm] for row in step.survey.destined.get(pool, []))
    return [state.vms[row.vm] for row in rows if _is_lasting(step, row)]


def _is_lasting(step: PlannerStep, row: VmRow) -> bool:
    """Tell whether a VM serves or is expected back from a planned stop."""
    if row.phase in REBOOT_PHASES:
        return True
    return row.phase not in LOST_PHASES and row.vm not in step.draft.situation.down


def _note_shortage(step: PlannerStep, pool: str, is_short: bool) -> None:
    if is_short:
        step.memory.short_since.setdefault(pool, step.now)
    else:
        step.memory.short_since.pop(pool, None)
        step.clear_alarm("spare_exhausted", pool)


def _has_waited(
    step: PlannerStep, since: dict[str, float], pool: str, kind: str
) -> bool:
    limits = {
        "lend": step.settings.lend_delay_s,
        "return": step.settings.lend_hold_s,
    }
    return pool in since and step.now - since[pool] >= limits[kind]


def _lend(step: PlannerStep, pool: str, need: PoolNeed) -> None:
    """Move as few VMs as cover the shortfall from the spare pools."""
    load = step.settings.lend_load
    candidates = _list_spare(step)
    while need.shortfall(load) > 0 and candidates:
        vm = pick_candidate(need.strength, candidates.values())
        del candidates[vm.name]
        has_gain = need.shortfall_with(vm, load) < need.shortfall(load)
        if not has_gain and not need.strength.is_improved_by(vm):
            break
        if step.draft.request_move(vm.name, pool, vm.pool) is None:
            need.strength.add(vm)
    if need.shortfall(load) > 0:
        step.raise_alarm(
            "spare_exhausted",
            pool,
            f"pool {pool} is short of capacity and no spare VM may be lent",
        )


def _list_spare(step: PlannerStep) -> dict[str, VirtualMachine]:
    state = step.draft.situation.state
    spare = [name for name, pool in state.pools.items() if pool.spare]
    rows = [row for name in spare for row in step.survey.members.get(name, [])]
    return {
        row.vm: state.vms[row.vm]
        for row in rows
        if row.vm in state.vms
        and state.vms[row.vm].pool == row.pool
        and step.draft.is_available(step.draft.rows[row.vm])
    }


def _take_back(step: PlannerStep, pool: str) -> None:
    """Return lent VMs once the pool could do without one for the hold time."""
    need = PoolNeed.from_step(step, pool)
    lent = [row for row in step.survey.lent if row.pool == pool]
    vm = _find_surplus(step, need, lent)
    if vm is None:
        step.memory.surplus_since.pop(pool, None)
        return
    step.memory.surplus_since.setdefault(pool, step.now)
    if _has_waited(step, step.memory.surplus_since, pool, "return"):
        step.draft.request_move(vm.name, vm.pool)


def _find_surplus(
    step: PlannerStep, need: PoolNeed, lent: list[VmRow]
) -> VirtualMachine | None:
    """Return the lent VM that the pool misses least, or None if it needs all."""
    state = step.draft.situation.state
    load = step.settings.return_load
    for row in sorted(lent, key=lambda row: row.vm):
        vm = state.vms.get(row.vm)
        current = step.draft.rows[row.vm]
        if vm is None or vm.pool != row.lender or not step.draft.is_available(current):
            continue
        if need.shortfall_with(vm, load, -1) <= 0:
            return vm
    return None
