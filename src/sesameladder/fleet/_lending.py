"""Lends VMs to pools whose demand is about to exceed their capacity.

The demand of a queue comes in peaks: for some seconds it is about five times its
mean, more than its pool can run, and about a twentieth of the mean in between. VMs
in a spare pool cost nothing, so they are lent to the pool whose demand peaks.

A peak builds up over a few seconds and a move takes 1.5 s, so the plan follows the
demand forecast for the time of arrival. An unnecessary move costs less than one late
job. VMs that are no longer needed return, or go directly to the next pool that is
short of VMs. Between peaks a pool also releases VMs of its own, but keeps a share of
its size that survives the loss of an availability zone. A move terminates whatever
runs on the VM, so the VM is drained first.

Late jobs are worth little to their callers. While a pool is short of VMs for jobs that
can still end in time, other pools release VMs that only serve late work, and keep a
smaller share of their size. A pool that is short and has lent VMs gets them back from
pools that hold more than their own, even if those are short as well.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from math import ceil, floor

from sesameladder.fleet._model import PoolSummary, Vm, VmPhase

MIN_POOL_SHARE = 0.66  # of a pool's base size; no VM can move while the store is down
MIN_POOL_SHARE_IN_SHORTAGE = 0.5  # the same, while another pool is short of VMs
NEED_ROUNDING_SHARE = 0.6  # of a VM; the other VMs absorb less than 0.4 of one
FORECAST_HORIZON_S = 2.0  # a move takes 1.5 s, then the owner has to read the worker
TREND_WINDOW_S = 1.0  # longer than one wide job's arrival; a third of a peak's rise
USABLE_CORES_SHARE = 0.85  # of a VM's cores; wide jobs arrive at once and fragment it
RELEASE_DELAY_S = 1.2  # covers two summaries; shorter lulls are gaps between jobs
SHORTAGE_RELEASE_DELAY_S = 0.2  # the age of a summary; other pools wait for the VMs
MAX_RELEASE_LOAD_SHARE = 0.6  # of the cores left without the VM; above it the VM stays
MOVE_RETRY_S = 2.0  # before a VM is tried again, such as after a rejected move
DRAIN_TIMEOUT_S = 4.0  # longer than most subtasks; a VM still busy then stays


@dataclass(slots=True)
class LendingPlan:
    """Drains and moves to order next."""

    workers_to_drain: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """Workers that the pool's owner has to drain, by pool."""

    moves: list[tuple[str, str]] = field(default_factory=list)
    """VMs to move now, each with its target pool."""


class DemandTrend:
    """Recent demand of one pool, over the last ``TREND_WINDOW_S`` seconds."""

    __slots__ = ("samples",)

    def __init__(self) -> None:
        self.samples: deque[tuple[float, int]] = deque()
        """Steady time in seconds and demand in cores, oldest first."""

    def add(self, cores: int, now: float) -> None:
        """Add a sample of the demand: cores of running and waiting subtasks."""
        self.samples.append((now, cores))
        while now - self.samples[0][0] > TREND_WINDOW_S:
            self.samples.popleft()

    def forecast(self, ahead_s: float) -> float:
        """Return the demand in cores ``ahead_s`` seconds ahead, by linear growth.

        Falling demand is not extrapolated: VMs are released only for demand that has
        been observed. Without samples the forecast is 0.
        """
        if not self.samples:
            return 0.0
        (start, first), (end, last) = self.samples[0], self.samples[-1]
        # Growth is estimated only from samples that span half of the window.
        if end - start < TREND_WINDOW_S / 2:
            return float(last)
        return last + max(0.0, (last - first) / (end - start)) * ahead_s


class LendingPlanner:
    """Plans how spare pools lend VMs to other pools and take them back."""

    __slots__ = (
        "base_sizes",
        "draining_since",
        "last_attempt_at",
        "low_demand_since",
        "low_urgent_demand_since",
        "present_urgent_trends",
        "trends",
        "urgent_trends",
    )

    def __init__(self, base_sizes: dict[str, int] | None = None) -> None:
        self.base_sizes = dict(base_sizes or {})
        """Number of VMs that each pool has while none is lent, by pool."""

        self.low_demand_since: dict[str, float] = {}
        """Time since which a pool's demand allows it to release VMs, by pool."""

        self.low_urgent_demand_since: dict[str, float] = {}
        """The same for the demand of jobs that can still end in time."""

        self.draining_since: dict[str, float] = {}
        """Time at which the drain of a VM that is to leave its pool began, by VM."""

        self.last_attempt_at: dict[str, float] = {}
        """Time of the last move order or drain timeout, by VM."""

        self.trends: dict[str, DemandTrend] = {}
        self.urgent_trends: dict[str, DemandTrend] = {}
        """The same for the demand of jobs that can still end in time."""

        self.present_urgent_trends: dict[str, DemandTrend] = {}
        """The same without the offered load, by which maintenance finds idle VMs.

        By the offered load too few VMs counted as idle, and a wave was late.
        """

    def record_base_sizes(
        self, vms: dict[str, Vm], spare_pools: frozenset[str]
    ) -> bool:
        """Record the present pool sizes, unless sizes are known already.

        Returns whether the call recorded them.
        """
        if self.base_sizes or not vms:
            return False
        for vm in vms.values():
            if vm.pool not in spare_pools:
                self.base_sizes[vm.pool] = self.base_sizes.get(vm.pool, 0) + 1
        return True

    def forecast_cores(self) -> dict[str, int]:
        """Return the forecast demand in cores when a move arrives, by pool."""
        return {
            p: round(t.forecast(FORECAST_HORIZON_S)) for p, t in self.trends.items()
        }

    def count_idle_vms(self, vms: dict[str, Vm]) -> dict[str, int]:
        """Return how many VMs each pool can do without, by the latest demand.

        Pools of unknown demand are left out.
        """
        idle_vms = {}
        for pool, trend in self.present_urgent_trends.items():
            up = [v for v in vms.values() if v.pool == pool and v.phase is VmPhase.UP]
            if up:
                cores_per_vm = up[0].capacity.cpu_millis / 1000 * USABLE_CORES_SHARE
                needed = ceil(trend.forecast(FORECAST_HORIZON_S) / cores_per_vm)
                idle_vms[pool] = max(0, len(up) - needed)
        return idle_vms

    def record_move(self, vm: str, now: float) -> None:
        """Record that a move was ordered, whatever its outcome."""
        self.last_attempt_at[vm] = now
        self.draining_since.pop(vm, None)

    def plan(
        self,
        vms: dict[str, Vm],
        summaries: dict[str, PoolSummary],
        spare_pools: frozenset[str],
        reserved: frozenset[str],
        drained: frozenset[str],
        now: float,
    ) -> LendingPlan:
        """Return the next drains and moves; ``now`` is steady time in seconds.

        ``reserved`` names the VMs that maintenance needs; they are not moved.
        ``drained`` names the workers that their pools' owners have drained.
        """
        plan = LendingPlan()
        if not spare_pools:
            return plan
        movable = {
            name: vm
            for name, vm in vms.items()
            if name not in reserved
            and now - self.last_attempt_at.get(name, -1e9) > MOVE_RETRY_S
        }
        for pool, summary in summaries.items():
            trend = self.trends.setdefault(pool, DemandTrend())
            trend.add(summary.demand_cores, now)
            urgent_trend = self.urgent_trends.setdefault(pool, DemandTrend())
            urgent_trend.add(summary.urgent_cores, now)
            present_trend = self.present_urgent_trends.setdefault(pool, DemandTrend())
            present_trend.add(summary.present_urgent_cores, now)
        pools = [pool for pool in summaries if pool not in spare_pools]
        missing = self._count_missing_vms(vms, pools, self.trends, reserved)
        urgent = self._count_missing_vms(vms, pools, self.urgent_trends, reserved)
        owed = {
            pool: min(count, self.base_sizes.get(pool, 0) - _count_present(vms, pool))
            for pool, count in urgent.items()
        }
        available = [
            vm.name
            for vm in movable.values()
            if vm.pool in spare_pools and vm.phase is VmPhase.UP
        ]
        surplus_by_pool = self._count_surplus(
            vms, pools, urgent, owed, len(available), now
        )
        released = self._plan_releases(
            plan, movable, vms, summaries, surplus_by_pool, drained, now
        )
        available.extend(released)
        for wanted in (owed, urgent, missing):
            for pool in sorted(wanted, key=lambda pool: -wanted[pool]):
                ordered = sum(target == pool for _, target in plan.moves)
                usable = [name for name in available if vms[name].pool != pool]
                for name in usable[: max(0, wanted[pool] - ordered)]:
                    plan.moves.append((name, pool))
                    available.remove(name)
        spare_pool = min(spare_pools)
        plan.moves.extend((name, spare_pool) for name in released if name in available)
        return plan

    def _count_missing_vms(
        self,
        vms: dict[str, Vm],
        pools: list[str],
        trends: dict[str, DemandTrend],
        reserved: frozenset[str],
    ) -> dict[str, int]:
        """Return how many more VMs the forecast demand needs, by pool.

        Reserved VMs don't count as capacity; VMs that are moving in do.
        """
        missing_by_pool = {}
        for pool in pools:
            pool_vms = [vm for vm in vms.values() if vm.pool == pool]
            if not pool_vms:
                continue
            cores_per_vm = pool_vms[0].capacity.cpu_millis / 1000 * USABLE_CORES_SHARE
            present = sum(
                vm.phase is VmPhase.MOVING
                or (vm.phase is VmPhase.UP and vm.name not in reserved)
                for vm in pool_vms
            )
            required_vms = trends[pool].forecast(FORECAST_HORIZON_S) / cores_per_vm
            missing = floor(required_vms - present + NEED_ROUNDING_SHARE)
            if missing > 0:
                missing_by_pool[pool] = missing
        return missing_by_pool

    def _plan_releases(
        self,
        plan: LendingPlan,
        movable: dict[str, Vm],
        vms: dict[str, Vm],
        summaries: dict[str, PoolSummary],
        surplus_by_pool: dict[str, int],
        drained: frozenset[str],
        now: float,
    ) -> list[str]:
        """Add the workers to drain to ``plan``; return the drained VMs."""
        released = []
        for pool, surplus in surplus_by_pool.items():
            pool_vms = [vm for vm in vms.values() if vm.pool == pool]
            candidates = [
                vm
                for vm in movable.values()
                if vm.pool == pool
                and vm.phase is VmPhase.UP
                and vm.worker
                and vm.worker not in summaries[pool].lasting
            ]
            selected = self._choose_vms_to_release(candidates, pool_vms, surplus)
            draining_workers = []
            for vm in selected:
                since = self.draining_since.setdefault(vm.name, now)
                if vm.worker in drained:
                    released.append(vm.name)
                elif now - since > DRAIN_TIMEOUT_S:
                    self.record_move(vm.name, now)
                    continue
                draining_workers.append(vm.worker)
            selected_names = {vm.name for vm in selected}
            for vm in pool_vms:
                if vm.name not in selected_names:
                    self.draining_since.pop(vm.name, None)
            if draining_workers:
                plan.workers_to_drain[pool] = tuple(draining_workers)
        return released

    def _choose_vms_to_release(
        self, candidates: list[Vm], pool_vms: list[Vm], limit: int
    ) -> list[Vm]:
        """Choose VMs so that those that stay are spread over zones and racks.

        VMs that are already draining come first, so that their drain completes.
        """
        selected = [vm for vm in candidates if vm.name in self.draining_since][:limit]
        selected_names = {vm.name for vm in selected}
        staying = [
            vm
            for vm in pool_vms
            if vm.phase is VmPhase.UP and vm.name not in selected_names
        ]
        remaining = [vm for vm in candidates if vm.name not in selected_names]
        while remaining and len(selected) < limit:
            zones = Counter(vm.zone for vm in staying)
            racks = Counter(vm.labels for vm in staying)
            crowded = min(
                remaining, key=lambda vm: (-zones[vm.zone], -racks[vm.labels], vm.name)
            )
            remaining.remove(crowded)
            staying.remove(crowded)
            selected.append(crowded)
        return selected

    def _count_surplus(
        self,
        vms: dict[str, Vm],
        pools: list[str],
        urgent: dict[str, int],
        owed: dict[str, int],
        spare_count: int,
        now: float,
    ) -> dict[str, int]:
        """Return how many VMs each pool can release.

        ``urgent`` are the VMs that pools miss for jobs that can still end in time,
        ``owed`` those of them that they have lent. The first ``spare_count`` are
        covered by spare VMs.
        """
        surplus: dict[str, int] = {}
        donated: dict[str, int] = {}
        lent: dict[str, int] = {}
        for pool in pools:
            pool_vms = [vm for vm in vms.values() if vm.pool == pool]
            surplus[pool] = self._count_pool_surplus(
                pool_vms,
                pool,
                MIN_POOL_SHARE,
                self.trends,
                self.low_demand_since,
                RELEASE_DELAY_S,
                now,
            )
            in_shortage = self._count_pool_surplus(
                pool_vms,
                pool,
                MIN_POOL_SHARE_IN_SHORTAGE,
                self.urgent_trends,
                self.low_urgent_demand_since,
                SHORTAGE_RELEASE_DELAY_S,
                now,
            )
            if pool not in urgent:
                donated[pool] = max(0, in_shortage - surplus[pool])
            elif owed[pool] <= 0:
                excess = _count_present(vms, pool) - self.base_sizes.get(pool, 0)
                lent[pool] = max(0, excess - surplus[pool])
        covered = spare_count + sum(surplus.values())
        shortage = max(0, sum(urgent.values()) - covered)
        donated = _scale_to(donated, shortage)
        # What others can do without goes first; then pools return what they are lent.
        covered += sum(donated.values())
        lent = _scale_to(lent, max(0, sum(max(0, n) for n in owed.values()) - covered))
        return {
            pool: count + donated.get(pool, 0) + lent.get(pool, 0)
            for pool, count in surplus.items()
        }

    def _count_pool_surplus(
        self,
        pool_vms: list[Vm],
        pool: str,
        min_share: float,
        trends: dict[str, DemandTrend],
        low_since: dict[str, float],
        delay_s: float,
        now: float,
    ) -> int:
        """Return how many VMs a pool can release and keep a share of its size.

        Demand has to allow it for ``delay_s`` first; ``low_since`` holds the time
        since which it does.
        """
        up = [vm for vm in pool_vms if vm.phase is VmPhase.UP]
        base_size = self.base_sizes.get(pool, len(pool_vms))
        removable = len(up) - ceil(min_share * base_size)
        if removable <= 0 or not up:
            return 0
        cores_per_vm = up[0].capacity.cpu_millis / 1000
        demand_cores = trends[pool].forecast(FORECAST_HORIZON_S)
        surplus = 0
        while surplus < removable:
            remaining_cores = (len(up) - surplus - 1) * cores_per_vm
            if demand_cores > MAX_RELEASE_LOAD_SHARE * remaining_cores:
                break
            surplus += 1
        if not surplus:
            low_since.pop(pool, None)
            return 0
        since = low_since.setdefault(pool, now)
        return surplus if now - since >= delay_s else 0


def _count_present(vms: dict[str, Vm], pool: str) -> int:
    """Return how many VMs a pool has, or gets by a move under way."""
    phases = VmPhase.UP, VmPhase.MOVING
    return sum(vm.pool == pool and vm.phase in phases for vm in vms.values())


def _scale_to(counts: dict[str, int], total: int) -> dict[str, int]:
    """Reduce counts in proportion, rounded up, so that they sum to about a total."""
    share = min(1.0, total / max(1, sum(counts.values())))
    return {pool: ceil(share * count) for pool, count in counts.items()}
