"""Region plan: rules for stops, moves and cells, and the planner."""

from sesameladder.planning._draft import PlanDraft
from sesameladder.planning._draft_rows import DrainReport, Situation
from sesameladder.planning._plan import PlanMalformed, RegionPlan, cell_key
from sesameladder.planning._plan_store import (
    PlanNotWritten,
    PlanStore,
    PlanStoreError,
    PlanSuperseded,
    PlanUnsettled,
    PlanWritten,
    StoredPlan,
    WriteOutcome,
)
from sesameladder.planning._refusal import PlanRefusal, RefusalReason
from sesameladder.planning._role import RoleLease
from sesameladder.planning._rows import DispatcherRow, Phase, VmRow
from sesameladder.planning._rules import (
    RuleOutcome,
    abandon_stop,
    add_vm,
    assign_dispatcher,
    begin_check,
    begin_reboot,
    join_pool,
    mark_drained,
    mark_failed,
    release_vm,
    remove_vm,
    request_move,
    request_stop,
    return_to_service,
    set_aside,
)

__all__ = [
    "DispatcherRow",
    "DrainReport",
    "Phase",
    "PlanDraft",
    "PlanMalformed",
    "PlanNotWritten",
    "PlanRefusal",
    "PlanStore",
    "PlanStoreError",
    "PlanSuperseded",
    "PlanUnsettled",
    "PlanWritten",
    "RefusalReason",
    "RegionPlan",
    "RoleLease",
    "RuleOutcome",
    "Situation",
    "StoredPlan",
    "VmRow",
    "WriteOutcome",
    "abandon_stop",
    "add_vm",
    "assign_dispatcher",
    "begin_check",
    "begin_reboot",
    "cell_key",
    "join_pool",
    "mark_drained",
    "mark_failed",
    "release_vm",
    "remove_vm",
    "request_move",
    "request_stop",
    "return_to_service",
    "set_aside",
]
