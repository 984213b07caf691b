"""The rules of the plan as pure functions.

Each takes a plan and returns the next plan or a refusal. A writer is refused if
its fence is lower than the plan's or its configuration is older.
"""

from collections.abc import Callable, Set

from sesameladder.planning._draft import PlanDraft
from sesameladder.planning._draft_rows import DrainReport, RuleContext
from sesameladder.planning._plan import RegionPlan
from sesameladder.planning._refusal import PlanRefusal

RuleOutcome = RegionPlan | PlanRefusal


def request_stop(
    plan: RegionPlan, vm: str, permit: str, context: RuleContext, fence: int
) -> RuleOutcome:
    """Start the stop of a serving VM if its pool's budget allows it."""
    return _apply(plan, context, fence, lambda draft: draft.request_stop(vm, permit))


def mark_drained(
    plan: RegionPlan, vm: str, report: DrainReport, context: RuleContext, fence: int
) -> RuleOutcome:
    """Mark a leaving VM as drained once its dispatcher reports no grant of it."""
    return _apply(plan, context, fence, lambda draft: draft.mark_drained(vm, report))


def begin_reboot(
    plan: RegionPlan, vm: str, context: RuleContext, fence: int
) -> RuleOutcome:
    """Start the reboot of a drained VM unless its pool's budget needs it back."""
    return _apply(plan, context, fence, lambda draft: draft.begin_reboot(vm))


def begin_check(
    plan: RegionPlan, vm: str, context: RuleContext, fence: int
) -> RuleOutcome:
    """Record that the platform accepted the reboot of a VM."""
    return _apply(plan, context, fence, lambda draft: draft.begin_check(vm))


def return_to_service(
    plan: RegionPlan, vm: str, context: RuleContext, fence: int
) -> RuleOutcome:
    """Return to service a VM that was rebooted, failed or set aside."""
    return _apply(plan, context, fence, lambda draft: draft.return_to_service(vm))


def abandon_stop(
    plan: RegionPlan,
    vm: str,
    context: RuleContext,
    fence: int,
    retry_at: float = 0.0,
) -> RuleOutcome:
    """Return a leaving or drained VM to service.

    ``retry_at`` is the earliest time of the next planned stop. Unless it is 0, the
    stop counts as an abandoned attempt.
    """
    return _apply(plan, context, fence, lambda draft: draft.abandon_stop(vm, retry_at))


def request_move(
    plan: RegionPlan, vm: str, target_pool: str, context: RuleContext, fence: int
) -> RuleOutcome:
    """Start the move of a serving VM to another pool."""
    return _apply(
        plan, context, fence, lambda draft: draft.request_move(vm, target_pool)
    )


def release_vm(
    plan: RegionPlan, vm: str, context: RuleContext, fence: int
) -> RuleOutcome:
    """Remove a drained VM from its pool so that it can join its target pool."""
    return _apply(plan, context, fence, lambda draft: draft.release_vm(vm))


def join_pool(
    plan: RegionPlan, vm: str, pool: str, context: RuleContext, fence: int
) -> RuleOutcome:
    """Add a released VM to a pool as a serving VM."""
    return _apply(plan, context, fence, lambda draft: draft.join_pool(vm, pool))


def mark_failed(
    plan: RegionPlan, vm: str, context: RuleContext, fence: int
) -> RuleOutcome:
    """Mark a VM as failed, which ends its stop or move."""
    return _apply(plan, context, fence, lambda draft: draft.mark_failed(vm))


def set_aside(
    plan: RegionPlan, vm: str, context: RuleContext, fence: int
) -> RuleOutcome:
    """Set aside a VM that did not return from its reboot in time."""
    return _apply(plan, context, fence, lambda draft: draft.set_aside(vm))


def add_vm(
    plan: RegionPlan,
    vm: str,
    pool: str,
    context: RuleContext,
    fence: int,
    maintained_at: float = 0.0,
) -> RuleOutcome:
    """Add a configured VM that has no row yet as a serving VM."""
    return _apply(
        plan, context, fence, lambda draft: draft.add_vm(vm, pool, maintained_at)
    )


def remove_vm(
    plan: RegionPlan,
    vm: str,
    report: DrainReport | None,
    context: RuleContext,
    fence: int,
) -> RuleOutcome:
    """Remove an unconfigured VM that is drained, released, failed or set aside.

    For a failed VM a report has to show that no grant is outstanding; None means
    that the VM is gone.
    """
    return _apply(plan, context, fence, lambda draft: draft.remove_vm(vm, report))


def assign_dispatcher(
    plan: RegionPlan,
    cell: tuple[str, str],
    instance: str,
    gone: Set[str],
    context: RuleContext,
    fence: int,
) -> RuleOutcome:
    """Set the owner of a (pool, zone) cell.

    ``gone`` holds the entry instances that the platform lists as gone.
    """
    pool, zone = cell
    return _apply(
        plan,
        context,
        fence,
        lambda draft: draft.dispatchers.assign(pool, zone, instance, gone),
    )


def _apply(
    plan: RegionPlan,
    context: RuleContext,
    fence: int,
    change: Callable[[PlanDraft], PlanRefusal | None],
) -> RuleOutcome:
    draft = PlanDraft(plan, context, fence)
    return draft.refuse_outdated_writer() or change(draft) or draft.finish()
