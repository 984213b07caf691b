"""Selects the VMs to stop next for maintenance waves and routine reboots."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from sesameladder.model import MaintenanceWave, VirtualMachine
from sesameladder.planning._buffer import PoolCapacity, find_survived_domain
from sesameladder.planning._rows import Phase, VmRow
from sesameladder.planning._step import PlannerStep
from sesameladder.planning._stops import WAVE_PERMIT_PREFIX

ROUTINE_PERMIT = "routine"
# A wave that missed its deadline raises an alarm only within this time, so that a
# new planner does not report waves that ended long ago.
LATE_ALARM_WINDOW_S = 3_600.0


def start_waves(step: PlannerStep) -> None:
    """Start stops for every wave between its start and its deadline."""
    waves = step.draft.context.state.waves.values()
    for wave in sorted(waves, key=lambda wave: (wave.deadline_s, wave.id)):
        if wave.start_s <= step.now < wave.deadline_s:
            _start_wave(step, wave)
        elif wave.deadline_s <= step.now < wave.deadline_s + LATE_ALARM_WINDOW_S:
            _report_late(step, wave)


def start_routine_reboots(step: PlannerStep) -> None:
    """Start the routine reboots that are due.

    They ensure that each VM is rebooted within four weeks, also without a wave.
    """
    is_quiet = _is_quiet_hour(step)
    overdue_s = step.settings.reboot_overdue_age_s
    by_pool: dict[str, list[VmRow]] = {}
    for due_at, row in step.index.routine_reboots:
        if due_at > step.now:
            break
        if is_quiet or step.now - row.maintained_at >= overdue_s:
            by_pool.setdefault(row.pool or "", []).append(row)
    for pool, rows in sorted(by_pool.items()):
        _start_stops(step, pool, rows, ROUTINE_PERMIT, len(rows))


def _start_wave(step: PlannerStep, wave: MaintenanceWave) -> None:
    pending = {pool: _list_pending(step, wave, pool) for pool in wave.pools}
    remaining_stops = (
        wave.concurrency - _count_stopped(step, wave) if wave.concurrency else None
    )
    for pool in sorted(wave.pools, key=lambda name: (-len(pending[name]), name)):
        rows = [row for row in pending[pool] if row.phase is Phase.SERVING]
        limit = (
            len(rows) if remaining_stops is None else min(len(rows), remaining_stops)
        )
        if not rows or limit <= 0:
            continue
        if step.now + step.memory.estimates.stop_duration_s(pool) > wave.deadline_s:
            _report_near_deadline(step, wave, pool, len(pending[pool]))
            continue
        started = _start_stops(step, pool, rows, WAVE_PERMIT_PREFIX + wave.id, limit)
        remaining_stops = None if remaining_stops is None else remaining_stops - started


def _list_pending(step: PlannerStep, wave: MaintenanceWave, pool: str) -> list[VmRow]:
    """Return the rows of a pool whose VMs were not rebooted since the wave's start."""
    rows = step.index.members.get(pool, [])
    return [row for row in rows if row.maintained_at < wave.start_s]


def _count_stopped(step: PlannerStep, wave: MaintenanceWave) -> int:
    permit = WAVE_PERMIT_PREFIX + wave.id
    return sum(row.permit == permit for row in step.index.not_serving)


def _start_stops(
    step: PlannerStep, pool: str, rows: list[VmRow], permit: str, limit: int
) -> int:
    """Stop up to ``limit`` VMs within budget and buffer; returns how many started."""
    vms = step.draft.context.state.vms
    buffer = WaveBuffer.from_step(step, pool)
    started = 0
    for row in order_candidates(rows, step):
        if started >= limit:
            break
        spec = vms[row.vm]
        if not step.draft.is_available(row) or not buffer.allows(spec):
            continue
        if step.draft.request_stop(row.vm, permit) is None:
            buffer.current.add(spec, -1)
            started += 1
    return started


@dataclass(slots=True)
class WaveBuffer:
    """Capacity that a pool keeps during a wave for the loss of a failure domain."""

    current: PoolCapacity
    """Capacity of the pool's available VMs."""

    complete: PoolCapacity
    """Capacity of all VMs of the pool, as if none was stopped or failed."""

    floor_slots: int
    """Slots that have to remain after the loss of the largest failure domain."""

    @classmethod
    def from_step(cls, step: PlannerStep, pool: str) -> "WaveBuffer":
        """Return the buffer of a pool in a step."""
        state = step.draft.context.state
        rows = [row for row in step.index.members.get(pool, []) if row.vm in state.vms]
        available = [row for row in rows if step.draft.is_available(row)]
        survive = find_survived_domain(state, pool)
        return cls(
            PoolCapacity.from_vms(survive, (state.vms[row.vm] for row in available)),
            PoolCapacity.from_vms(survive, (state.vms[row.vm] for row in rows)),
            state.pools[pool].floor_slots if pool in state.pools else 0,
        )

    def allows(self, vm: VirtualMachine) -> bool:
        """Return whether the buffer allows one more VM to be stopped.

        It does if the floor remains after the loss of the largest failure domain.
        Where stopping only this VM already breaks the floor, that rule would never
        allow it. There the budget alone decides, as long as the VMs that are already
        unavailable cost no surviving slots.
        """
        slots = self.current.surviving_slots_with(vm, -1)
        if slots >= self.floor_slots:
            return True
        return slots >= self.complete.surviving_slots_with(vm, -1)


def order_candidates(rows: Iterable[VmRow], step: PlannerStep) -> list[VmRow]:
    """Order VMs so that those stopped at the same time share racks.

    Stopping all VMs that a pool has in one rack costs no more of the buffer than
    the loss of that rack, so more VMs of the pool can be stopped at once.
    """
    state = step.draft.context.state
    stopped: Counter[str] = Counter(
        state.vms[row.vm].rack for row in step.index.not_serving if row.vm in state.vms
    )
    rows = [row for row in rows if row.vm in state.vms]
    waiting: Counter[str] = Counter(state.vms[row.vm].rack for row in rows)
    return sorted(
        rows,
        key=lambda row: (
            -stopped[state.vms[row.vm].rack],
            -waiting[state.vms[row.vm].rack],
            state.vms[row.vm].rack,
            row.vm,
        ),
    )


def _is_quiet_hour(step: PlannerStep) -> bool:
    hours = step.settings.quiet_hours_utc
    if hours is None:
        return True
    first, end = hours
    hour = int(step.now // 3_600) % 24
    return first <= hour < end if first < end else hour >= first or hour < end


def _report_near_deadline(
    step: PlannerStep, wave: MaintenanceWave, pool: str, pending: int
) -> None:
    step.raise_alarm(
        "deadline_too_near",
        f"{wave.id}/{pool}",
        f"wave {wave.id} starts no more stops in pool {pool}: {pending} VMs are left"
        f" and a stop takes up to {step.memory.estimates.stop_duration_s(pool):.0f} s",
    )


def _report_late(step: PlannerStep, wave: MaintenanceWave) -> None:
    pending = sum(len(_list_pending(step, wave, pool)) for pool in wave.pools)
    if pending:
        step.raise_alarm(
            "wave_late",
            wave.id,
            f"wave {wave.id} ended with {pending} VMs that were not rebooted",
        )
