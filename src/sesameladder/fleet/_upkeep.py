"""Order of upkeep within a wave.

Answers waves of up to half of the VMs that have to end within about 25 s, with a
limit on how many are down together. Workers are emptied ahead of their upkeep, so
that the limit is used without a pause, and one VM of a pool at a time, so that
each pool keeps its room.
"""

from dataclasses import dataclass, field

from sesameladder.fleet._model import Vm, VmPhase, Wave

EXTRA_DRAINING_VMS = 1  # VMs emptied beyond those that may go down now
MAX_AWAY_PER_POOL = 1  # pools have 6 workers; two away take a third of the room
DRAIN_TIMEOUT_S = (
    2.5  # longer than the mean subtask of 0.5 to 1.4 s and a lasting start
)
RETURN_TIMEOUT_S = 8.0  # upkeep takes 2 s; a VM that stays away longer has failed


@dataclass(slots=True)
class MaintenancePlan:
    """What to do next."""

    workers_to_drain: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """Workers that their owners shall empty, by pool."""

    maintenance_starts: list[tuple[str, int]] = field(default_factory=list)
    """VMs whose upkeep begins now, with the wave's number."""

    finished_waves: list[int] = field(default_factory=list)
    """Waves whose VMs have all begun and left their upkeep."""


@dataclass(slots=True)
class WaveProgress:
    """What is known of a wave's course."""

    started_at: dict[str, float] = field(default_factory=dict)
    """Time at which upkeep was ordered, by VM."""

    returned_vms: set[str] = field(default_factory=set)
    """VMs that have returned."""

    draining_since: dict[str, float] = field(default_factory=dict)


class MaintenancePlanner:
    """Plans all waves that haven't ended."""

    __slots__ = ("progress",)

    def __init__(self) -> None:
        self.progress: dict[int, WaveProgress] = {}

    def record_maintenance_start(self, wave: int, vm: str, now: float) -> None:
        """Note that the platform has taken the order for a VM's upkeep."""
        progress = self.progress.setdefault(wave, WaveProgress())
        progress.started_at[vm] = now
        progress.draining_since.pop(vm, None)

    def plan(
        self,
        waves: list[Wave],
        vms: dict[str, Vm],
        drained: frozenset[str],
        stoppable: frozenset[str],
        spare_pools: frozenset[str],
        now: float,
    ) -> MaintenancePlan:
        """Return the next steps; ``now`` is steady time in seconds."""
        plan = MaintenancePlan()
        workers_to_drain: dict[str, list[str]] = {}
        for wave in sorted(waves, key=lambda wave: wave.number):
            progress = self.progress.setdefault(wave.number, WaveProgress())
            self._record_returns(progress, vms, now)
            pending_vms = [
                vm for vm in wave.vms if vm in vms and vm not in progress.started_at
            ]
            in_maintenance_count = len(progress.started_at) - len(progress.returned_vms)
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
        workers_to_drain: dict[str, list[str]],
        plan: MaintenancePlan,
        now: float,
    ) -> None:
        allowed_starts = wave.max_in_maintenance - in_maintenance_count
        unavailable_by_pool = _count_unavailable(vms)
        # VMs that are being emptied already go on; free ones need no emptying.
        ordered_names = sorted(
            pending_vms,
            key=lambda name: (
                vms[name].pool not in spare_pools,
                progress.draining_since.get(name, now),
                unavailable_by_pool.get(vms[name].pool, 0),
            ),
        )
        draining_count = 0
        for name in ordered_names:
            vm = vms[name]
            if vm.phase is not VmPhase.UP:
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
            away_in_pool = len(
                workers_to_drain.get(vm.pool, ())
            ) + unavailable_by_pool.get(vm.pool, 0)
            if (
                draining_count >= wave.max_in_maintenance + EXTRA_DRAINING_VMS
                or away_in_pool >= MAX_AWAY_PER_POOL
            ):
                progress.draining_since.pop(name, None)
                continue
            draining_count += 1
            progress.draining_since.setdefault(name, now)
            workers_to_drain.setdefault(vm.pool, []).append(vm.worker)

    def _record_returns(
        self, progress: WaveProgress, vms: dict[str, Vm], now: float
    ) -> None:
        for name, since in progress.started_at.items():
            if name in progress.returned_vms:
                continue
            vm = vms.get(name)
            # The list may be a moment old: a VM that is up within half a second
            # of its order has not gone down yet.
            is_up = vm is not None and vm.phase is VmPhase.UP and now - since > 1.0
            if vm is None or is_up or now - since > RETURN_TIMEOUT_S:
                progress.returned_vms.add(name)


def _count_unavailable(vms: dict[str, Vm]) -> dict[str, int]:
    """Return the VMs that aren't up, by pool."""
    counts: dict[str, int] = {}
    for vm in vms.values():
        if vm.phase is not VmPhase.UP:
            counts[vm.pool] = counts.get(vm.pool, 0) + 1
    return counts
