"""A fake of a region's workers, dispatchers and VM list.

Each cell applies published plans after a lag of its own, so the dispatchers of two
pools learn of a move at different times. The fake records every action of the
planner that violates a guarantee.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from random import Random

from sesameladder.environment import VmState, VmStatus
from sesameladder.model import FleetState
from sesameladder.planning import (
    Action,
    CellReport,
    CheckHealth,
    DispatcherRow,
    DrainVm,
    HealthResult,
    Observation,
    Phase,
    RaiseAlarm,
    RebootVm,
    RegionPlan,
    RequestCheckpoint,
    VmRow,
)

MIN_PLAN_LAG_S = 0.3
PLAN_LAG_SPREAD_S = 1.4
VM_LIST_LAG_S = 2.0


@dataclass(slots=True)
class FakeVm:
    """Actual state of a worker VM."""

    name: str
    """Name of the VM."""

    zone: str
    """Availability zone of the VM."""

    up: bool = True
    """Whether the worker responds."""

    drained: bool = False
    """Whether the worker was told to accept no more tasks."""

    returns_at: float | None = None
    """End of the current reboot; None if there is none or if it never ends."""

    served_by: str | None = None
    """Cell, as ``pool/zone``, whose dispatcher grants slots of the VM."""

    busy_until: float = 0.0
    """End of the last task, set when the dispatcher stops granting slots."""

    listed: VmStatus | None = None
    """Row of the VM in the platform's VM list; None if it is not listed."""


@dataclass(slots=True)
class RegionTimes:
    """Ranges of drain and reboot times, in seconds."""

    drain_s: tuple[float, float] = (5.0, 40.0)
    """Minimum and maximum duration of a drain."""

    reboot_s: tuple[float, float] = (60.0, 120.0)
    """Minimum and maximum duration of a reboot."""


@dataclass(slots=True)
class FakeRegion:
    """A simulated region with its own clock and seeded random durations."""

    state: FleetState
    """Configuration in effect."""

    random: Random
    """Random source of plan lags, drain and reboot times."""

    entries: dict[str, tuple[str, ...]]
    """Entry instances by zone."""

    times: RegionTimes = field(default_factory=RegionTimes)
    """Ranges of drain and reboot times."""

    now: float = 1_700_000_000.0
    """Time in seconds since the Unix epoch."""

    vms: dict[str, FakeVm] = field(default_factory=dict)
    """Actual states by VM name."""

    plans: list[tuple[float, RegionPlan]] = field(default_factory=list)
    """Published plans with their publication times, oldest first."""

    applied: dict[str, RegionPlan] = field(default_factory=dict)
    """Latest plan that each cell's dispatcher has applied, by ``pool/zone``."""

    partitioned_zones: set[str] = field(default_factory=set)
    """Zones that a network partition separates from the others."""

    gone_entries: set[str] = field(default_factory=set)
    """Entry instances that were killed."""

    leaving_entries: set[str] = field(default_factory=set)
    """Entry instances that are shutting down."""

    never_returning: set[str] = field(default_factory=set)
    """VMs whose reboots never end."""

    stragglers: set[str] = field(default_factory=set)
    """VMs whose tasks never end without a checkpoint."""

    checkpointable: set[str] = field(default_factory=set)
    """VMs whose stragglers end when a checkpoint is requested."""

    demand: dict[str, float] = field(default_factory=dict)
    """Mean demand by cell in slots; 0 for cells that are not listed."""

    health: dict[str, HealthResult] = field(default_factory=dict)
    """Latest result of a health check by VM."""

    accepted_reboots: dict[str, float] = field(default_factory=dict)
    """Time of the latest accepted reboot by VM."""

    alarms: list[RaiseAlarm] = field(default_factory=list)
    """Alarms raised so far."""

    violations: list[str] = field(default_factory=list)
    """Descriptions of the guarantees violated so far."""

    stop_times_s: dict[str, float] = field(default_factory=dict)
    """Actual drain plus reboot time of each VM's latest reboot, in seconds."""

    plan_lags_s: dict[str, float] = field(default_factory=dict)
    """Seconds until a cell's dispatcher applies a published plan, by cell."""

    def advance(self, seconds: float) -> None:
        """Advance the clock; end reboots and let dispatchers apply plans."""
        self.now += seconds
        self._add_new_vms()
        for vm in self.vms.values():
            if vm.returns_at is not None and vm.returns_at <= self.now:
                vm.up, vm.drained, vm.returns_at = True, False, None
                self._update_listing(vm, VmState.LIVE)
        self._apply_plans()

    def publish(self, plan: RegionPlan) -> None:
        """Check a new plan and publish it; each dispatcher applies it after its lag."""
        if not self.plans or plan is not self.plans[-1][1]:
            self._check_next_plan(plan)
            self.plans.append((self.now, plan))

    def observe(self, plan: RegionPlan) -> Observation:
        """Return what a planner observes at present."""
        down = {vm.name for vm in self.vms.values() if not vm.up}
        unreachable = {
            vm.name for vm in self.vms.values() if vm.zone in self.partitioned_zones
        }
        busy: dict[str, dict[str, int]] = {}
        for vm in self.vms.values():
            if self._is_busy(vm):
                busy.setdefault(vm.zone, {})[vm.name] = 1
        return Observation(
            now=self.now,
            configuration=self.state,
            vms=self._list_visible_vms(),
            suspected=frozenset(down - unreachable),
            unreachable=frozenset(unreachable),
            cells={
                key: self._build_cell_report(row, busy.get(row.zone, {}))
                for key, row in plan.dispatchers.items()
            },
            live_entries={
                zone: tuple(name for name in names if name not in self.gone_entries)
                for zone, names in self.entries.items()
                if zone not in self.partitioned_zones
            },
            leaving_entries=frozenset(self.leaving_entries),
            health=dict(self.health),
            accepted_reboots=dict(self.accepted_reboots),
            checkpointable=frozenset(self.checkpointable),
        )

    def carry_out(self, actions: Iterable[Action]) -> None:
        """Apply a planner's actions to the VMs and record its alarms."""
        for action in actions:
            match action:
                case DrainVm(vm):
                    self.vms[vm].drained = True
                case RebootVm(vm):
                    self._reboot(self.vms[vm])
                case RaiseAlarm():
                    self.alarms.append(action)
                case RequestCheckpoint(vm) if vm in self.checkpointable:
                    self.vms[vm].busy_until = self.now
                case CheckHealth(vm):
                    self._record_health(self.vms[vm])

    def fail(self, names: Iterable[str]) -> None:
        """Crash VMs; their tasks end."""
        for name in names:
            vm = self.vms[name]
            vm.up, vm.returns_at, vm.busy_until = False, None, 0.0

    def repair(self, names: Iterable[str]) -> None:
        """Restart crashed VMs."""
        for name in names:
            vm = self.vms[name]
            vm.up, vm.drained = True, False
            self._update_listing(vm, VmState.LIVE)

    def list_rack_vms(self, rack: str) -> list[str]:
        """Return the names of a rack's VMs."""
        return [name for name, vm in self.state.vms.items() if vm.rack == rack]

    def _add_new_vms(self) -> None:
        for name, spec in self.state.vms.items():
            if name not in self.vms:
                self.vms[name] = FakeVm(name, spec.zone)

    def _update_listing(self, vm: FakeVm, state: VmState) -> None:
        vm.listed = VmStatus(vm.name, vm.zone, state, self.now)

    def _list_visible_vms(self) -> list[VmStatus]:
        rows = [vm.listed for vm in self.vms.values() if vm.listed is not None]
        visible = [row for row in rows if row.changed_at <= self.now - VM_LIST_LAG_S]
        gone = [
            VmStatus(name, "", VmState.GONE, 0.0) for name in sorted(self.gone_entries)
        ]
        return visible + gone

    def _build_cell_report(
        self, row: DispatcherRow, outstanding: dict[str, int]
    ) -> CellReport:
        key = f"{row.pool}/{row.zone}"
        applied = self.applied.get(key)
        owner = applied.dispatchers.get(key) if applied else None
        is_alive = (
            row.zone not in self.partitioned_zones
            and row.instance not in self.gone_entries
        )
        if applied is None or owner is None or owner.instance != row.instance:
            return CellReport(row.instance, 0, alive=False, granting=False)
        demand = self.demand.get(key, 0.0)
        return CellReport(
            row.instance, applied.version, outstanding, demand, alive=is_alive
        )

    def _is_busy(self, vm: FakeVm) -> bool:
        return vm.served_by is not None or vm.busy_until > self.now

    def _apply_plans(self) -> None:
        cells = {key for _, plan in self.plans for key in plan.dispatchers}
        for key in sorted(cells):
            if key.rsplit("/", 1)[1] not in self.partitioned_zones:
                self._apply_to_cell(key)
        while len(self.plans) > 1 and self.plans[1][0] < self.now - 60.0:
            del self.plans[0]

    def _apply_to_cell(self, key: str) -> None:
        lag = self.plan_lags_s.setdefault(
            key, MIN_PLAN_LAG_S + self.random.random() * PLAN_LAG_SPREAD_S
        )
        received_plans = [plan for time, plan in self.plans if time <= self.now - lag]
        if received_plans and self.applied.get(key) is not received_plans[-1]:
            self.applied[key] = received_plans[-1]
            self._apply_rows(key, received_plans[-1])

    def _apply_rows(self, key: str, plan: RegionPlan) -> None:
        pool, zone = key.rsplit("/", 1)
        for row in plan.rows.values():
            vm = self.vms.get(row.vm)
            if vm is not None and vm.zone == zone:
                is_served = row.pool == pool and row.phase is Phase.SERVING
                self._set_served(vm, key, is_served)
        for vm in self.vms.values():
            if vm.served_by == key and vm.name not in plan.rows:
                self.violations.append(
                    f"P2: {vm.name} left the plan while {key} used it"
                )

    def _set_served(self, vm: FakeVm, key: str, is_served: bool) -> None:
        if is_served and vm.served_by not in (None, key):
            self.violations.append(
                f"P2: {vm.name} is served by {vm.served_by} and {key}"
            )
        if is_served:
            vm.served_by = key
        elif vm.served_by == key:
            vm.served_by = None
            is_stuck = vm.name in self.stragglers
            drain = 1e9 if is_stuck else self.random.uniform(*self.times.drain_s)
            self.stop_times_s[vm.name] = drain
            vm.busy_until = self.now + drain if vm.up else 0.0

    def _reboot(self, vm: FakeVm) -> None:
        self.accepted_reboots[vm.name] = self.now
        if vm.returns_at is not None or vm.name in self.never_returning:
            vm.up = vm.returns_at is None and vm.name not in self.never_returning
            return
        if vm.up and self._is_busy(vm):
            self.violations.append(f"P7: the reboot of {vm.name} interrupted a task")
        vm.up = False
        reboot = self.random.uniform(*self.times.reboot_s)
        vm.returns_at = self.now + reboot
        self.stop_times_s[vm.name] = self.stop_times_s.get(vm.name, 0.0) + reboot
        self._update_listing(vm, VmState.LEAVING)

    def _record_health(self, vm: FakeVm) -> None:
        if vm.zone not in self.partitioned_zones:
            healthy = vm.up and not vm.drained
            self.health[vm.name] = HealthResult(healthy, self.now)

    def _check_next_plan(self, plan: RegionPlan) -> None:
        if not self.plans:
            return
        last = self.plans[-1][1]
        if plan.version <= last.version or plan.fence < last.fence:
            self.violations.append(
                f"plan version {plan.version} or its fence is out of order"
            )
        for row in plan.rows.values():
            old = last.rows.get(row.vm)
            was_serving = old is not None and old.phase is Phase.SERVING
            if was_serving and row.phase is Phase.LEAVING:
                self._check_budget(plan, row)

    def _check_budget(self, plan: RegionPlan, row: VmRow) -> None:
        budget = self.state.budgets.get(row.pool or "")
        if budget is None:
            return
        available = sum(
            other.pool == row.pool
            and other.phase is Phase.SERVING
            and self.vms[other.vm].up
            and self.vms[other.vm].zone not in self.partitioned_zones
            for other in plan.rows.values()
            if other.vm in self.vms
        )
        if available < budget.min_available:
            self.violations.append(f"P1: stopping {row.vm} violates {budget}")


def reassign(state: FleetState, pools: dict[str, str]) -> FleetState:
    """Return the next configuration, with some VMs assigned to other pools by name."""
    vms = {
        name: replace(vm, pool=pools[name]) if name in pools else vm
        for name, vm in state.vms.items()
    }
    return replace(state, number=state.number + 1, vms=vms)
