"""Rows of a draft plan, with the tallies of its pools and its version."""

from collections.abc import Iterable, Set
from dataclasses import dataclass, replace

from sesameladder.model import FleetState
from sesameladder.planning._cell_table import DispatcherTable
from sesameladder.planning._plan import RegionPlan
from sesameladder.planning._refusal import PlanRefusal, RefusalReason
from sesameladder.planning._rows import Phase, VmRow


@dataclass(frozen=True, slots=True)
class RuleContext:
    """Inputs of the rules besides the plan."""

    state: FleetState
    """Configuration in effect."""

    down: Set[str]
    """VMs that count as unavailable even in the serving phase.

    These are suspected or unreachable, not live in the platform's VM list, or in a
    cell whose dispatcher sends no reports.
    """

    now: float
    """Time in seconds since the Unix epoch."""


@dataclass(frozen=True, slots=True)
class DrainReport:
    """Outstanding grants of one VM, as reported by its dispatcher."""

    applied_version: int
    """Plan version that the dispatcher has applied."""

    outstanding: int
    """Number of grants of the VM that are not released."""


@dataclass(slots=True)
class PoolTally:
    """Number of members and available VMs of one pool."""

    members: int = 0
    """VMs of the pool, including released VMs that are about to join it."""

    available: int = 0
    """Members that serve and are not known to be down."""


class DraftRows:
    """VM rows and dispatcher rows of the next plan, with a tally of each pool."""

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
        """Refuse a writer with an older fence or configuration than the plan's."""
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
        """Return the next plan with all changes so far."""
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
        """Whether the draft differs from the plan that it is based on."""
        return self.rows_changed or self.dispatchers.changed

    @property
    def version(self) -> int:
        """Version of the next plan."""
        return self.base.version + 1

    def tally(self, pool: str) -> PoolTally:
        """Return the tally of a pool."""
        return self.tallies.setdefault(pool, PoolTally())

    def is_available(self, row: VmRow) -> bool:
        """Return whether a VM counts as available for its pool's budget."""
        return is_available(row, self.context.down)

    def budget_deficit(self, pool: str) -> int:
        """Return how many more VMs have to be available to meet a pool's budget."""
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
        """Return a VM's row, or a refusal if it is in none of the phases."""
        row = self.rows.get(vm)
        if row is None:
            return PlanRefusal(
                RefusalReason.UNKNOWN_VM, f"VM {vm} has no row in the plan"
            )
        if row.phase not in phases:
            return refuse_wrong_phase(row, " or ".join(phases))
        return row

    def enter_service(self, row: VmRow) -> PlanRefusal | None:
        """Put a VM into service and clear its permit and target pool."""
        return self.enter_phase(
            replace(row, permit=None, target_pool=None), Phase.SERVING
        )

    def enter_phase(self, row: VmRow, phase: Phase) -> PlanRefusal | None:
        """Put a VM into a phase that starts now; never refused."""
        now = self.context.now
        return self.put_row(
            replace(row, phase=phase, phase_started_at=now, version=self.version)
        )

    def put_row(self, row: VmRow) -> PlanRefusal | None:
        """Add or replace a VM's row and adjust the tally of its pool; never refused."""
        old = self.rows.get(row.vm)
        if old is not None:
            self.adjust_tally(old, -1)
        self.adjust_tally(row, 1)
        self.rows[row.vm] = row
        self.rows_changed = True
        return None

    def drop_row(self, row: VmRow) -> PlanRefusal | None:
        """Remove a VM's row and adjust the tally of its pool; never refused."""
        self.adjust_tally(row, -1)
        del self.rows[row.vm]
        self.rows_changed = True
        return None

    def is_configured(self, row: VmRow) -> bool:
        """Return whether the configuration contains the VM in the row's zone."""
        spec = self.context.state.vms.get(row.vm)
        return spec is not None and spec.zone == row.zone

    def adjust_tally(self, row: VmRow, sign: int) -> None:
        """Add a row to the tally of its pool, or remove it if the sign is -1."""
        count_row(self.tallies, row, self.context.down, sign)


def refuse_wrong_phase(row: VmRow, expected: str) -> PlanRefusal:
    """Return the refusal for a VM that is not in the expected phase."""
    return PlanRefusal(
        RefusalReason.WRONG_PHASE, f"VM {row.vm} is {row.phase}, not {expected}"
    )


def is_available(row: VmRow, down: Set[str]) -> bool:
    """Return whether a VM counts as available for its pool's budget."""
    return row.phase is Phase.SERVING and row.vm not in down


def count_row(
    tallies: dict[str, PoolTally], row: VmRow, down: Set[str], sign: int
) -> None:
    """Add a row to the tally of its pool, or remove it if the sign is -1.

    A released VM counts as an unavailable member of its target pool.
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
    """Return the tallies of rows, by pool."""
    tallies: dict[str, PoolTally] = {}
    for row in rows:
        count_row(tallies, row, down, 1)
    return tallies
