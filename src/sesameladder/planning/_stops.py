"""Advances stops, moves and repairs of VMs from phase to phase."""

from sesameladder.model import MaintenanceWave
from sesameladder.planning._actions import DrainVm, RebootVm, RequestCheckpoint
from sesameladder.planning._draft import MOVE_PERMIT, REMOVE_PERMIT
from sesameladder.planning._membership import advance_failed, remove_unconfigured
from sesameladder.planning._plan_index import find_destination, hash_to_fraction
from sesameladder.planning._rows import Phase, VmRow
from sesameladder.planning._step import PlannerStep

WAVE_PERMIT_PREFIX = "wave:"
DEFAULT_WAVE = MaintenanceWave("", (), 0.0, 0.0)


def advance_stops(step: PlannerStep) -> None:
    """Advance every VM that is stopped, moved or failed if its phase is complete."""
    for row in step.index.not_serving:
        if step.draft.rows.get(row.vm) is row:
            PHASE_HANDLERS[row.phase](step, row)


def advance_leaving(step: PlannerStep, row: VmRow) -> None:
    """Wait until the dispatcher reports the VM drained, up to the straggler limit.

    After the limit the stop is abandoned and retried later. Before it, running
    stragglers are checkpointed if possible. A VM that is drained leaves that phase
    in the same step if it can.
    """
    if _cancel_unneeded_stop(step, row):
        return
    report = step.find_drain_report(row)
    if report is not None and step.draft.mark_drained(row.vm, report) is None:
        step.memory.estimates.drain_estimate(row.pool or "").observe(
            step.now - row.phase_started_at
        )
        advance_drained(step, step.draft.rows[row.vm])
        return
    waited = step.now - row.phase_started_at
    if waited >= find_wave(step, row).straggler_limit_s:
        step.draft.abandon_stop(row.vm, step.now + _retry_delay_s(step, row))
    elif row.vm in step.observation.checkpointable and step.mark_action_if_due(
        "checkpoint", row.vm, step.settings.action_repeat_s
    ):
        step.actions.append(RequestCheckpoint(row.vm))


def advance_drained(step: PlannerStep, row: VmRow) -> None:
    """Reboot, release or remove a drained VM."""
    if _cancel_unneeded_stop(step, row):
        return
    if row.permit == REMOVE_PERMIT:
        remove_unconfigured(step, row)
    elif row.target_pool is not None:
        step.draft.release_vm(row.vm)
    elif step.draft.begin_reboot(row.vm) is None:
        step.memory.reboot_started_at[row.vm] = step.now


def advance_released(step: PlannerStep, row: VmRow) -> None:
    """Let a released VM join its destination pool, or remove it if unconfigured."""
    if step.draft.is_configured(row):
        step.draft.join_pool(row.vm, find_destination(row, step.draft.context.state))
    else:
        remove_unconfigured(step, row)


def advance_rebooting(step: PlannerStep, row: VmRow) -> None:
    """Request drain and reboot repeatedly until the platform accepts the reboot.

    The VM is set aside if this takes longer than the reboot limit.
    """
    if step.observation.accepted_reboots.get(row.vm, 0.0) >= row.phase_started_at:
        step.draft.begin_check(row.vm)
    elif not _set_aside_if_overdue(step, row) and step.mark_action_if_due(
        "reboot", row.vm, step.settings.action_repeat_s
    ):
        step.actions += [DrainVm(row.vm), RebootVm(row.vm)]


def advance_checking(step: PlannerStep, row: VmRow) -> None:
    """Return a VM to service once healthy, or set it aside after the reboot limit."""
    if step.check_health(row, 0.0):
        _finish_reboot(step, row)
    else:
        _set_aside_if_overdue(step, row)


def advance_set_aside(step: PlannerStep, row: VmRow) -> None:
    """Return a VM to service that was set aside, once it is healthy."""
    if not step.draft.is_configured(row):
        remove_unconfigured(step, row)
    elif step.check_health(row, step.settings.slow_check_interval_s):
        step.draft.return_to_service(row.vm)
        step.clear_alarm("set_aside", row.vm)


PHASE_HANDLERS = {
    Phase.LEAVING: advance_leaving,
    Phase.DRAINED: advance_drained,
    Phase.RELEASED: advance_released,
    Phase.REBOOTING: advance_rebooting,
    Phase.CHECKING: advance_checking,
    Phase.SET_ASIDE: advance_set_aside,
    Phase.FAILED: advance_failed,
}


def find_wave(step: PlannerStep, row: VmRow) -> MaintenanceWave:
    """Return the wave that stopped a VM, or the default limits if none did."""
    permit = row.permit or ""
    name = permit.removeprefix(WAVE_PERMIT_PREFIX)
    return step.draft.context.state.waves.get(name, DEFAULT_WAVE)


def _cancel_unneeded_stop(step: PlannerStep, row: VmRow) -> bool:
    """Cancel a stop that is obsolete or whose VM the pool's budget needs back.

    Returns whether the VM was returned to service.
    """
    draft = step.draft
    is_configured = draft.is_configured(row)
    if row.permit == REMOVE_PERMIT:
        is_obsolete = is_configured
    elif row.permit == MOVE_PERMIT:
        state = draft.context.state
        is_obsolete = is_configured and find_destination(row, state) == row.pool
    else:
        is_obsolete = False
    is_vm_needed = row.vm not in draft.context.down and (
        draft.budget_deficit(row.pool or "") > 0
    )
    return (is_obsolete or is_vm_needed) and draft.abandon_stop(row.vm) is None


def _retry_delay_s(step: PlannerStep, row: VmRow) -> float:
    """Return an exponential backoff in seconds, scaled by jitter from 0.5 to 1."""
    settings = step.settings
    delay = min(
        settings.stop_retry_s * 2.0 ** min(row.attempts, 16),
        settings.stop_retry_limit_s,
    )
    return delay * (0.5 + hash_to_fraction(f"{row.vm}/{row.attempts}") / 2)


def _finish_reboot(step: PlannerStep, row: VmRow) -> None:
    started = step.memory.reboot_started_at.pop(row.vm, row.phase_started_at)
    step.memory.estimates.reboot_estimate.observe(step.now - started)
    step.draft.return_to_service(row.vm)


def _set_aside_if_overdue(step: PlannerStep, row: VmRow) -> bool:
    """Set a VM aside if its phase exceeds the reboot limit; returns whether it did."""
    limit = find_wave(step, row).reboot_limit_s
    if step.now - row.phase_started_at < limit:
        return False
    step.draft.set_aside(row.vm)
    step.memory.reboot_started_at.pop(row.vm, None)
    step.raise_alarm(
        "set_aside",
        row.vm,
        f"VM {row.vm} of pool {row.pool} did not return within {limit:g} s",
    )
    return True
