"""Adds, moves and removes VMs as the configuration changes, and handles failures."""

from sesameladder.planning._draft import REMOVE_PERMIT
from sesameladder.planning._plan_index import hash_to_fraction
from sesameladder.planning._rows import Phase, VmRow
from sesameladder.planning._step import PlannerStep

# A failure after more than this time in service resets the backoff.
FAILURE_COUNT_RESET_S = 3_600.0


def add_missing(step: PlannerStep) -> None:
    """Add rows for the configured VMs that the plan lacks.

    Their last reboot is unknown. Each gets a time derived from its name, so that
    the first routine reboots are spread evenly.
    """
    state = step.draft.context.state
    for vm in step.index.missing:
        age = hash_to_fraction(f"first/{vm}") * step.settings.reboot_interval_min_s
        step.draft.add_vm(vm, state.vms[vm].pool, max(step.now - age, 0.0))


def stop_unconfigured(step: PlannerStep) -> None:
    """Start the removal of VMs that are no longer in the configuration."""
    for row in step.index.unconfigured:
        step.draft.request_stop(row.vm, REMOVE_PERMIT)


def move_misplaced(step: PlannerStep) -> None:
    """Start the moves of VMs whose configured pool changed.

    Pools that lack the most VMs come first, because the budgets of the source
    pools may allow only some of the moves.
    """
    state = step.draft.context.state
    moves_by_pool: dict[str, int] = {}
    for row in step.index.misplaced:
        pool = state.vms[row.vm].pool
        moves_by_pool[pool] = moves_by_pool.get(pool, 0) + 1
    by_need = sorted(
        step.index.misplaced,
        key=lambda row: (-moves_by_pool[state.vms[row.vm].pool], row.vm),
    )
    for row in by_need:
        step.draft.request_move(row.vm, state.vms[row.vm].pool)


def mark_failures(step: PlannerStep) -> None:
    """Mark VMs as failed that are gone or stay suspected.

    VMs that are only unreachable keep their phase: during a network partition
    their zone may still use them, and would stop them when it reads the plan
    after the partition ends.
    """
    memory = step.memory
    suspected = step.observation.suspected
    for vm in [vm for vm in memory.suspected_since if vm not in suspected]:
        del memory.suspected_since[vm]
    for vm in suspected:
        memory.suspected_since.setdefault(vm, step.now)
    confirmed = [
        vm
        for vm, since in memory.suspected_since.items()
        if step.now - since >= step.settings.failure_confirm_s
        and vm not in step.observation.unreachable
    ]
    for vm in sorted({*confirmed, *step.gone}):
        row = step.draft.rows.get(vm)
        if row is not None and step.draft.mark_failed(vm) is None:
            _count_failure(step, row)


def _count_failure(step: PlannerStep, row: VmRow) -> None:
    is_repetition = (
        row.phase is Phase.SERVING
        and step.now - row.phase_started_at < FAILURE_COUNT_RESET_S
    )
    count = step.memory.failure_counts.get(row.vm, 0) if is_repetition else 0
    step.memory.failure_counts[row.vm] = count + 1


def advance_failed(step: PlannerStep, row: VmRow) -> None:
    """Return a failed VM to service once it is healthy and its backoff is over.

    An unconfigured VM is removed, and a VM that stays failed raises an alarm.
    """
    settings = step.settings
    if not step.draft.is_configured(row):
        remove_unconfigured(step, row)
        return
    count = step.memory.failure_counts.get(row.vm, 1)
    backoff = min(
        settings.repair_backoff_s * 2 ** (count - 1), settings.repair_backoff_limit_s
    )
    is_recent = step.now - row.phase_started_at < settings.quick_check_duration_s
    interval_s = (
        settings.quick_check_interval_s if is_recent else settings.slow_check_interval_s
    )
    is_healthy = step.check_health(row, interval_s)
    if is_healthy and step.now - row.phase_started_at >= backoff:
        step.draft.return_to_service(row.vm)
        step.memory.suspected_since.pop(row.vm, None)
        step.clear_alarm("failed", row.vm)
    elif step.now - row.phase_started_at >= settings.failure_alarm_s:
        minutes = round((step.now - row.phase_started_at) / 60)
        step.raise_alarm(
            "failed", row.vm, f"VM {row.vm} has been failed for {minutes} minutes"
        )


def remove_unconfigured(step: PlannerStep, row: VmRow) -> None:
    """Remove an unconfigured VM once no dispatcher can hold a grant of it."""
    report = step.find_drain_report(row)
    if row.vm in step.gone or row.phase is not Phase.FAILED:
        step.draft.remove_vm(row.vm, None)
    elif report is not None:
        step.draft.remove_vm(row.vm, report)
