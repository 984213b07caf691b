"""Region plan, the rules that change it, and the planner that applies them."""

from sesameladder.planning._actions import (
    Action,
    CheckHealth,
    DrainVm,
    RaiseAlarm,
    RebootVm,
    RequestCheckpoint,
    WritePlan,
)
from sesameladder.planning._buffer import PoolCapacity
from sesameladder.planning._cells import assign_cells, choose_instance
from sesameladder.planning._draft import PlanDraft
from sesameladder.planning._draft_rows import DrainReport, RuleContext
from sesameladder.planning._observation import (
    CellReport,
    HealthResult,
    Observation,
)
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
from sesameladder.planning._planner import Planner
from sesameladder.planning._refusal import PlanRefusal, RefusalReason
from sesameladder.planning._role import ROLE_LEASE_S, RoleLease
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
from sesameladder.planning._session import PlannerSession
from sesameladder.planning._settings import PlannerSettings

__all__ = [
    "ROLE_LEASE_S",
    "Action",
    "CellReport",
    "CheckHealth",
    "DispatcherRow",
    "DrainReport",
    "DrainVm",
    "HealthResult",
    "Observation",
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
    "Planner",
    "PlannerSession",
    "PlannerSettings",
    "PoolCapacity",
    "RaiseAlarm",
    "RebootVm",
    "RefusalReason",
    "RegionPlan",
    "RequestCheckpoint",
    "RoleLease",
    "RuleContext",
    "RuleOutcome",
    "StoredPlan",
    "VmRow",
    "WriteOutcome",
    "WritePlan",
    "abandon_stop",
    "add_vm",
    "assign_cells",
    "assign_dispatcher",
    "begin_check",
    "begin_reboot",
    "cell_key",
    "choose_instance",
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
