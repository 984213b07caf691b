"""Bookkeeping of a plan under change: rows, availability and versions."""

from collections.abc import Iterable, Set
from dataclasses import dataclass, replace

from sesameladder.model import FleetState
from sesameladder.planning._cell_table import DispatcherTable
from sesameladder.planning._plan import RegionPlan
from sesameladder.planning._refusal import PlanRefusal, RefusalReason
from sesameladder.planning._rows import Phase, VmRow


@dataclass(frozen=True, slots=True)
class RuleContext:
    """What the rules need to know besides the plan."""

    state: FleetState
    """Configuration in effect."""

    down: Set[str]
    """VMs that are failed, suspected, unreachable or cut off."""

    now: float
    """Time in seconds since the Unix epoch."""


@dataclass(frozen=True, slots=True)
class DrainReport:
    """A dispatcher's statement about the grants of one VM."""

    applied_version: int
    """Plan version that the dispatcher has applied."""

    outstanding: int
    """Grants of the VM that are not released."""


@dataclass(slots=True)
class PoolTally:
    """Availability of one pool."""

    members: int = 0
    """VMs of the pool, with released ones that are about to join it."""

    available: int = 0
    """Members that serve and that nothing is known against."""


class DraftRows:
    """VM rows and cells of the next plan, with the availability of each pool."""

    __slots__ = (
        "base",
        "context",
        "dispatchers",
        "fence",
        "rows",
        "rows_changed",
        "tallies",
    )

    def __init__(
        self,
        base: RegionPlan,
        context: RuleContext,
        fence: int,
        tallies: dict[str, PoolTally] | None = None,
    ) -> None:
        self.base = base
        self.context = context
        self.fence = fence
        self.rows = dict(base.rows)
        self.dispatchers = DispatcherTable(base.dispatchers)
        self.rows_changed = False
        if tallies is None:
            tallies = count_pools(base.rows.values(), context.down)
        self.tallies = tallies

    def refuse_outdated_writer(self) -> PlanRefusal | None:
        """Refuse a writer with an old fence or an old configuration."""
        if self.fence < self.base.fence:
            return PlanRefusal(
                RefusalReason.STALE_FENCE,
                f"fence {self.fence} is lower than the plan's {self.base.fence}",
            )
        number = self.context.state.number
        if number < self.base.configuration_number:
            return PlanRefusal(
                RefusalReason.OLD_CONFIGURATION,
                f"configuration {number} is older than the plan's"
                f" {self.base.configuration_number}",
            )
        return None

    def finish(self) -> RegionPlan:
        """Return the next plan with every change so far."""
        return RegionPlan(
            region=self.base.region,
            version=self.version,
            fence=self.fence,
            configuration_number=self.context.state.number,
            rows=self.rows,
            dispatchers=self.dispatchers.rows,
        )

    @property
    def changed(self) -> bool:
        """Whether the next plan differs from the base."""
        return self.rows_changed or self.dispatchers.changed

    @property
    def version(self) -> int:
        """Version of the next plan."""
        return self.base.version + 1

    def tally(self, pool: str) -> PoolTally:
        """Return the availability of a pool."""
        return self.tallies.setdefault(pool, PoolTally())

    def is_available(self, row: VmRow) -> bool:
        """Tell whether a VM counts as available for its pool's budget."""
        return is_available(row, self.context.down)

    def budget_deficit(self, pool: str) -> int:
        """Return how many VMs a pool lacks to be within its budget."""
        budget = self.context.state.budgets.get(pool)
        if budget is None:
            return 0
        tally = self.tally(pool)
        unavailable = tally.members - tally.available
        return max(
            budget.min_available - tally.available,
            unavailable - budget.max_unavailable,
            0,
        )

    def expect_phase(self, vm: str, *phases: Phase) -> VmRow | PlanRefusal:
        """Return a VM's row if it is in one of the phases."""
        row = self.rows.get(vm)
        if row is None:
            return PlanRefusal(RefusalReason.UNKNOWN_VM, f"VM {vm} has no row")
        if row.phase not in phases:
            return refuse_wrong_phase(row, " or ".join(phases))
        return row

    def enter_service(self, row: VmRow) -> PlanRefusal | None:
        """Let a VM serve its pool without a permit or target."""
        return self.enter_phase(
            replace(row, permit=None, target_pool=None), Phase.SERVING
        )

    def enter_phase(self, row: VmRow, phase: Phase) -> PlanRefusal | None:
        """Put a VM into a phase as of now; never refused."""
        now = self.context.now
        return self.put_row(
            replace(row, phase=phase, phase_started_at=now, version=self.version)
        )

    def put_row(self, row: VmRow) -> PlanRefusal | None:
        """Replace a VM's row and adjust the availability of its pool."""
        old = self.rows.get(row.vm)
        if old is not None:
            self.adjust_tally(old, -1)
        self.adjust_tally(row, 1)
        self.rows[row.vm] = row
        self.rows_changed = True
        return None

    def drop_row(self, row: VmRow) -> PlanRefusal | None:
        """Remove a VM's row; never refused."""
        self.adjust_tally(row, -1)
        del self.rows[row.vm]
        self.rows_changed = True
        return None

    def is_configured(self, row: VmRow) -> bool:
        """Tell whether the configuration names the VM in the row's zone."""
        spec = self.context.state.vms.get(row.vm)
        return spec is not None and spec.zone == row.zone

    def adjust_tally(self, row: VmRow, sign: int) -> None:
        """Add a row to the availability of its pool, or with -1 remove it."""
        count_row(self.tallies, row, self.context.down, sign)


def refuse_wrong_phase(row: VmRow, expected: str) -> PlanRefusal:
    """Return the refusal for a VM that is in another phase than expected."""
    return PlanRefusal(
        RefusalReason.WRONG_PHASE, f"VM {row.vm} is {row.phase}, not {expected}"
    )


def is_available(row: VmRow, down: Set[str]) -> bool:
    """Tell whether a VM counts as available for its pool's budget."""
    return row.phase is Phase.SERVING and row.vm not in down


def count_row(
    tallies: dict[str, PoolTally], row: VmRow, down: Set[str], sign: int
) -> None:
    """Add a row to its pool's tally, or with step -1 remove it.

    A released VM counts as an unavailable member of the pool that it joins.
    """
    pool = row.target_pool if row.phase is Phase.RELEASED else row.pool
    if pool is None:
        return
    tally = tallies.get(pool)
    if tally is None:
        tally = tallies[pool] = PoolTally()
    tally.members += sign
    if is_available(row, down):
        tally.available += sign


def count_pools(rows: Iterable[VmRow], down: Set[str]) -> dict[str, PoolTally]:
    """Return the tallies of some rows by pool."""
    tallies: dict[str, PoolTally] = {}
    for row in rows:
        count_row(tallies, row, down, 1)
    return tallies
