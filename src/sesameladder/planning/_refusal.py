"""Refusals that the plan's rules return."""

from dataclasses import dataclass
from enum import StrEnum


class RefusalReason(StrEnum):
    """Reason why a rule refused a change of the plan."""

    STALE_FENCE = "stale_fence"
    OLD_CONFIGURATION = "old_configuration"
    UNKNOWN_VM = "unknown_vm"
    UNKNOWN_POOL = "unknown_pool"
    DUPLICATE_VM = "duplicate_vm"
    WRONG_PHASE = "wrong_phase"
    BUDGET = "budget"
    NOT_DRAINED = "not_drained"
    TOO_EARLY = "too_early"
    DISPATCHER_BUSY = "dispatcher_busy"


@dataclass(frozen=True, slots=True)
class PlanRefusal:
    """Returned by a rule that refuses a change; the plan is unchanged."""

    reason: RefusalReason
    """Category of the refusal."""

    detail: str
    """Message that names the VM or cell, its state and what is required."""
