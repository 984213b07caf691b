"""A draft plan, to which the rules are applied.

A draft collects any number of row changes in one plan, so that a planner needs
only one compare-and-swap for all changes of a step.
"""

from dataclasses import replace

from sesameladder.model import AvailabilityBudget
from sesameladder.planning._draft_rows import DraftRows, DrainReport, refuse_wrong_phase
from sesameladder.planning._refusal import PlanRefusal, RefusalReason
from sesameladder.planning._rows import Phase, VmRow

FAILURE_PERMIT = "failure"
MOVE_PERMIT = "move"
REMOVE_PERMIT = "remove"
UNBUDGETED_MAX_UNAVAILABLE = 1
ABANDONABLE_PHASES = (Phase.LEAVING, Phase.DRAINED)


class PlanDraft(DraftRows):
    """Draft of the next plan; each rule changes its rows or returns a refusal."""

    __slots__ = ()

    def request_stop(self, vm: str, permit: str) -> PlanRefusal | None:
        """Start the stop of a serving VM if its pool's budget allows it."""
        return self._start_leaving(vm, permit, None)

    def request_move(
        self, vm: str, target_pool: str, lender: str | None = None
    ) -> PlanRefusal | None:
        """Start the move of a serving VM to another pool.

        ``lender`` is the spare pool that lends the VM; None if the VM is not lent.
        """
        row = self.rows.get(vm)
        if row is not None and row.pool == target_pool:
            return PlanRefusal(
                RefusalReason.WRONG_PHASE, f"VM {vm} is in pool {target_pool} already"
            )
        refusal = self._refuse_unknown_pool(target_pool) or self._start_leaving(
            vm, MOVE_PERMIT, target_pool
        )
        if refusal is None:
            self.put_row(replace(self.rows[vm], lender=lender))
        return refusal

    def mark_drained(self, vm: str, report: DrainReport) -> PlanRefusal | None:
        """Mark a leaving VM as drained once its dispatcher reports no grant of it."""
        row = self.expect_phase(vm, Phase.LEAVING)
        if isinstance(row, PlanRefusal):
            return row
        return _refuse_outstanding(row, report) or self.enter_phase(row, Phase.DRAINED)

    def begin_reboot(self, vm: str) -> PlanRefusal | None:
        """Start the reboot of a drained VM unless its pool's budget needs it back."""
        row = self.expect_phase(vm, Phase.DRAINED)
        if isinstance(row, PlanRefusal):
            return row
        if row.target_pool is not None or row.permit == REMOVE_PERMIT:
            return refuse_wrong_phase(row, "drained for a reboot")
        return self._refuse_below_budget(row) or self.enter_phase(row, Phase.REBOOTING)

    def begin_check(self, vm: str) -> PlanRefusal | None:
        """Record that the platform accepted the reboot of a VM."""
        row = self.expect_phase(vm, Phase.REBOOTING)
        if isinstance(row, PlanRefusal):
            return row
        return self.enter_phase(row, Phase.CHECKING)

    def return_to_service(self, vm: str) -> PlanRefusal | None:
        """Return to service a VM that was rebooted, failed or set aside."""
        row = self.expect_phase(vm, Phase.CHECKING, Phase.FAILED, Phase.SET_ASIDE)
        if isinstance(row, PlanRefusal):
            return row
        rebooted = row.phase is Phase.CHECKING
        maintained_at = self.context.now if rebooted else row.maintained_at
        return self.enter_service(replace(row, maintained_at=maintained_at, attempts=0))

    def abandon_stop(self, vm: str, retry_at: float = 0.0) -> PlanRefusal | None:
        """Return a leaving or drained VM to service.

        ``retry_at`` is the earliest time of the next planned stop. Unless it is 0,
        the stop counts as an abandoned attempt.
        """
        row = self.expect_phase(vm, *ABANDONABLE_PHASES)
        if isinstance(row, PlanRefusal):
            return row
        attempts = row.attempts + (retry_at > 0.0)
        lender = row.lender if row.target_pool is None else None
        return self.enter_service(
            replace(row, attempts=attempts, retry_at=retry_at, lender=lender)
        )

    def release_vm(self, vm: str) -> PlanRefusal | None:
        """Remove a drained VM from its pool so that it can join its target pool."""
        row = self.expect_phase(vm, Phase.DRAINED)
        if isinstance(row, PlanRefusal):
            return row
        if row.target_pool is None:
            return refuse_wrong_phase(row, "drained for a move")
        refusal = self._refuse_below_budget(row)
        return refusal or self.enter_phase(replace(row, pool=None), Phase.RELEASED)

    def join_pool(self, vm: str, pool: str) -> PlanRefusal | None:
        """Add a released VM to a pool, which may differ from its target pool."""
        row = self.expect_phase(vm, Phase.RELEASED)
        if isinstance(row, PlanRefusal):
            return row
        lender = row.lender if pool == row.target_pool else None
        joined = replace(row, pool=pool, lender=lender, attempts=0)
        return self._refuse_unknown_pool(pool) or self.enter_service(joined)

    def mark_failed(self, vm: str) -> PlanRefusal | None:
        """Mark a VM as failed, which ends its stop or move."""
        row = self.expect_phase(vm, Phase.SERVING, *ABANDONABLE_PHASES)
        if isinstance(row, PlanRefusal):
            return row
        lender = row.lender if row.target_pool is None else None
        failed = replace(row, target_pool=None, permit=FAILURE_PERMIT, lender=lender)
        return self.enter_phase(failed, Phase.FAILED)

    def set_aside(self, vm: str) -> PlanRefusal | None:
        """Set aside a VM that did not return from its reboot in time."""
        row = self.expect_phase(vm, Phase.REBOOTING, Phase.CHECKING)
        if isinstance(row, PlanRefusal):
            return row
        return self.enter_phase(row, Phase.SET_ASIDE)

    def add_vm(self, vm: str, pool: str, maintained_at: float) -> PlanRefusal | None:
        """Add a configured VM that has no row yet as a serving VM."""
        spec = self.context.state.vms.get(vm)
        if spec is None:
            return PlanRefusal(
                RefusalReason.UNKNOWN_VM, f"VM {vm} is not in the configuration"
            )
        if vm in self.rows:
            return PlanRefusal(RefusalReason.DUPLICATE_VM, f"VM {vm} already has a row")
        row = VmRow(vm, pool, Phase.SERVING, 0.0, maintained_at=maintained_at)
        return self._refuse_unknown_pool(pool) or self.enter_service(
            replace(row, zone=spec.zone)
        )

    def remove_vm(self, vm: str, report: DrainReport | None) -> PlanRefusal | None:
        """Remove an unconfigured VM that is drained, released, failed or set aside.

        For a failed VM a report has to show that no grant is outstanding; None
        means that the VM is gone.
        """
        row = self.expect_phase(
            vm, Phase.DRAINED, Phase.RELEASED, Phase.FAILED, Phase.SET_ASIDE
        )
        if isinstance(row, PlanRefusal):
            return row
        if self.is_configured(row):
            return refuse_wrong_phase(row, "removed from the configuration")
        if row.phase is Phase.FAILED and report is not None:
            refusal = _refuse_outstanding(row, report)
            if refusal is not None:
                return refusal
        return self.drop_row(row)

    def _start_leaving(
        self, vm: str, permit: str, target_pool: str | None
    ) -> PlanRefusal | None:
        row = self.expect_phase(vm, Phase.SERVING)
        if isinstance(row, PlanRefusal):
            return row
        if self.context.now < row.retry_at:
            return PlanRefusal(
                RefusalReason.TOO_EARLY,
                f"VM {vm} may not stop before Unix time {row.retry_at}",
            )
        refusal = self._refuse_stop(row)
        leaving = replace(row, permit=permit, target_pool=target_pool)
        return refusal or self.enter_phase(leaving, Phase.LEAVING)

    def _refuse_stop(self, row: VmRow) -> PlanRefusal | None:
        pool = row.pool or ""
        budget = self.context.state.budgets.get(pool) or AvailabilityBudget(
            pool, 0, UNBUDGETED_MAX_UNAVAILABLE
        )
        tally = self.tally(budget.pool)
        available = tally.available - self.is_available(row)
        unavailable = tally.members - available
        if available >= budget.min_available and unavailable <= budget.max_unavailable:
            return None
        return PlanRefusal(
            RefusalReason.BUDGET,
            f"stopping VM {row.vm} would leave pool {budget.pool} with {available}"
            f" available and {unavailable} unavailable VMs; allowed are at least"
            f" {budget.min_available} and at most {budget.max_unavailable}",
        )

    def _refuse_unknown_pool(self, pool: str) -> PlanRefusal | None:
        if pool in self.context.state.pools:
            return None
        return PlanRefusal(
            RefusalReason.UNKNOWN_POOL, f"pool {pool} is not in the configuration"
        )

    def _refuse_below_budget(self, row: VmRow) -> PlanRefusal | None:
        missing = self.budget_deficit(row.pool or "")
        if missing == 0:
            return None
        return PlanRefusal(
            RefusalReason.BUDGET,
            f"pool {row.pool} lacks {missing} VMs, so VM {row.vm} has to serve again",
        )


def _refuse_outstanding(row: VmRow, report: DrainReport) -> PlanRefusal | None:
    if report.applied_version >= row.version and report.outstanding == 0:
        return None
    return PlanRefusal(
        RefusalReason.NOT_DRAINED,
        f"VM {row.vm} changed its phase in plan version {row.version}; its"
        f" dispatcher applied {report.applied_version} and has {report.outstanding}"
        " outstanding grants",
    )
