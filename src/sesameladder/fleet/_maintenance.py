"""Plans the order of maintenance within a wave.

A wave covers up to half of all VMs and has to end within about 25 s, with a limit on
how many VMs are in maintenance at the same time. Workers are drained ahead of their
VM's maintenance, so that the limit is used without a pause. A pool without much work
has up to a quarter of its VMs in maintenance at a time, a busy one up to a twelfth:
demand comes in peaks, and a wave has to end in time also with large pools.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from sesameladder.fleet._model import Vm, VmPhase, Wave

EXTRA_DRAINING_VMS = 1  # drained ahead, beyond a wave's limit of VMs in maintenance
# Shares of a pool's VMs that drain, are down or in maintenance, as divisors of its size
# without the VMs that move to it. At least one VM is allowed: of six, two would be a
# third of the capacity.
IDLE_POOL_DIVISOR = 4
BUSY_POOL_DIVISOR = 12
# Longer than a mean subtask (0.5 to 1.4 s) and the start of a long-running one.
DRAIN_TIMEOUT_S = 2.5
RETURN_TIMEOUT_S = 8.0  # maintenance takes 2 s; a VM away for longer has failed


@dataclass(slots=True)
class MaintenancePlan:
    """Drains and maintenance to order next."""

    workers_to_drain: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """Workers that the pool's owner has to drain, by pool."""

    maintenance_starts: list[tuple[str, int]] = field(default_factory=list)
    """VMs whose maintenance to order now, each with the number of its wave."""

    finished_waves: list[int] = field(default_factory=list)
    """Numbers of the waves whose VMs have all been through maintenance."""


@dataclass(slots=True)
class WaveProgress:
    """Progress of one wave."""

    started_at: dict[str, float] = field(default_factory=dict)
    """Time at which maintenance was ordered, by VM."""

    returned_vms: set[str] = field(default_factory=set)
    """VMs that are up again, are no longer listed or have failed to return."""

    draining_since: dict[str, float] = field(default_factory=dict)
    """Time at which the drain of a VM's worker began, by VM."""

    uncertain_since: dict[str, float] = field(default_factory=dict)
    """Time from which it isn't known whether maintenance was ordered, by VM.

    Such a VM counts as in maintenance, but not as maintained.
    """


class MaintenancePlanner:
    """Plans the next steps of all waves that haven't ended."""

    __slots__ = ("progress",)

    def __init__(self) -> None:
        self.progress: dict[int, WaveProgress] = {}

    def record_maintenance_start(self, wave: int, vm: str, now: float) -> None:
        """Record that the platform accepted the maintenance order for a VM."""
        progress = self.progress.setdefault(wave, WaveProgress())
        progress.started_at[vm] = now
        progress.draining_since.pop(vm, None)
        progress.uncertain_since.pop(vm, None)

    def record_uncertain_start(self, wave: int, vm: str, now: float) -> None:
        """Record that the maintenance of a VM may have been ordered.

        ``now`` is steady time in seconds, after which no such order is sent. The VM
        counts towards the wave's limit until the VM list shows whether it is in
        maintenance. It is ordered again unless that was seen.
        """
        progress = self.progress.setdefault(wave, WaveProgress())
        if vm not in progress.started_at:
            progress.uncertain_since[vm] = now

    def list_unsettled_starts(self) -> dict[str, int]:
        """Return the wave of each VM that counts as in maintenance, by VM."""
        return {
            vm: number
            for number, progress in self.progress.items()
            for vm in (*progress.started_at, *progress.uncertain_since)
            if vm not in progress.returned_vms
        }

    def list_uncertain_vms(self) -> list[str]:
        """Return the VMs of which it isn't known whether maintenance was ordered."""
        return [
            vm for progress in self.progress.values() for vm in progress.uncertain_since
        ]

    def plan(
        self,
        waves: list[Wave],
        vms: dict[str, Vm],
        drained: frozenset[str],
        stoppable: frozenset[str],
        spare_pools: frozenset[str],
        now: float,
        idle_vms: Mapping[str, int] = MappingProxyType({}),
    ) -> MaintenancePlan:
        """Return the next steps; ``now`` is steady time in seconds.

        ``idle_vms`` is the number of VMs that each pool can do without.

        A VM begins maintenance once its worker is in ``drained``, or after
        ``DRAIN_TIMEOUT_S`` if the worker is in ``stoppable``. VMs of spare pools run
        nothing and need no drain.
        """
        plan = MaintenancePlan()
        # A moving VM is listed in its target pool, and is not missing there.
        sizes = Counter(
            vm.pool for vm in vms.values() if vm.phase is not VmPhase.MOVING
        )
        limits = {
            pool: limit_unavailable_vms(size, idle_vms.get(pool, 0))
            for pool, size in sizes.items()
        }
        workers_to_drain: dict[str, list[str]] = {}
        # Of all waves: one may be listed no more.
        for progress in self.progress.values():
            self._settle_uncertain_starts(progress, vms, now)
        for wave in sorted(waves, key=lambda wave: wave.number):
            progress = self.progress.setdefault(wave.number, WaveProgress())
            self._record_returns(progress, vms, now)
            pending_vms = [
                vm for vm in wave.vms if vm in vms and vm not in progress.started_at
            ]
            in_maintenance_count = (
                len(progress.started_at)
                - len(progress.returned_vms)
                + len(progress.uncertain_since)
            )
            if not pending_vms and not in_maintenance_count:
                plan.finished_waves.append(wave.number)
                continue
            self._plan_wave(
                wave,
                progress,
                pending_vms,
                in_maintenance_count,
                vms,
                drained,
                stoppable,
                spare_pools,
                limits,
                workers_to_drain,
                plan,
                now,
            )
        plan.workers_to_drain = {
            pool: tuple(names) for pool, names in workers_to_drain.items()
        }
        return plan

    def _plan_wave(
        self,
        wave: Wave,
        progress: WaveProgress,
        pending_vms: list[str],
        in_maintenance_count: int,
        vms: dict[str, Vm],
        drained: frozenset[str],
        stoppable: frozenset[str],
        spare_pools: frozenset[str],
        limits: Mapping[str, int],
        workers_to_drain: dict[str, list[str]],
        plan: MaintenancePlan,
        now: float,
    ) -> None:
        allowed_starts = wave.max_in_maintenance - in_maintenance_count
        unavailable_by_pool = _count_unavailable(vms)
        # Spare VMs need no drain and come first, then VMs that drain already.
        ordered_names = sorted(
            pending_vms,
            key=lambda name: (
                vms[name].pool not in spare_pools,
                progress.draining_since.get(name, now),
                unavailable_by_pool.get(vms[name].pool, 0),
            ),
        )
        for name in progress.uncertain_since:
            vm = vms[name]
            if vm.phase is VmPhase.UP and vm.pool not in spare_pools:
                progress.draining_since.setdefault(name, now)
                workers_to_drain.setdefault(vm.pool, []).append(vm.worker)
        uncertain = set(self.list_uncertain_vms())
        draining_count = 0
        for name in ordered_names:
            vm = vms[name]
            if vm.phase is not VmPhase.UP or name in uncertain:
                continue
            is_spare = vm.pool in spare_pools
            since = progress.draining_since.get(name)
            may_interrupt = since is not None and now - since >= DRAIN_TIMEOUT_S
            may_interrupt = may_interrupt and vm.worker in stoppable
            if allowed_starts > 0 and (
                is_spare or vm.worker in drained or may_interrupt
            ):
                plan.maintenance_starts.append((name, wave.number))
                allowed_starts -= 1
                if not is_spare:
                    workers_to_drain.setdefault(vm.pool, []).append(vm.worker)
                continue
            if is_spare:
                continue
            unavailable_in_pool = len(
                workers_to_drain.get(vm.pool, ())
            ) + unavailable_by_pool.get(vm.pool, 0)
            if (
                draining_count >= wave.max_in_maintenance + EXTRA_DRAINING_VMS
                or unavailable_in_pool >= limits[vm.pool]
            ):
                progress.draining_since.pop(name, None)
                continue
            draining_count += 1
            progress.draining_since.setdefault(name, now)
            workers_to_drain.setdefault(vm.pool, []).append(vm.worker)

    def _settle_uncertain_starts(
        self, progress: WaveProgress, vms: dict[str, Vm], now: float
    ) -> None:
        for name, since in list(progress.uncertain_since.items()):
            vm = vms.get(name)
            if vm is not None and vm.phase is VmPhase.IN_MAINTENANCE:
                progress.started_at[name] = since
                progress.draining_since.pop(name, None)
                del progress.uncertain_since[name]
            elif _has_returned(vm, since, now):
                # Whether the VM was maintained or never ordered isn't known.
                del progress.uncertain_since[name]

    def _record_returns(
        self, progress: WaveProgress, vms: dict[str, Vm], now: float
    ) -> None:
        for name, since in progress.started_at.items():
            if name in progress.returned_vms:
                continue
            if _has_returned(vms.get(name), since, now):
                progress.returned_vms.add(name)


def _has_returned(vm: Vm | None, since: float, now: float) -> bool:
    """Return whether a VM counts as in maintenance no more."""
    # For half a second after the order the list may still show the VM as up,
    # although it is about to go down. The check allows 1 s.
    is_up = vm is not None and vm.phase is VmPhase.UP and now - since > 1.0
    return vm is None or is_up or now - since > RETURN_TIMEOUT_S


def limit_unavailable_vms(size: int, idle: int) -> int:
    """Return how many VMs of a pool may drain or be down for maintenance at a time.

    ``idle`` is the number of VMs that the pool can do without.
    """
    return max(1, size // BUSY_POOL_DIVISOR, min(size // IDLE_POOL_DIVISOR, idle))


def _count_unavailable(vms: dict[str, Vm]) -> dict[str, int]:
    """Return the number of VMs that are down or in maintenance, by pool."""
    counts: dict[str, int] = {}
    for vm in vms.values():
        if vm.phase not in (VmPhase.UP, VmPhase.MOVING):
            counts[vm.pool] = counts.get(vm.pool, 0) + 1
    return counts
