"""Order of upkeep within a wave.

Answers waves of up to half of the VMs that have to end within about 25 s, with a
limit on how many are down together. Workers are emptied ahead of their upkeep, so
that the limit is used without a pause, and one VM of a pool at a time, so that
each pool keeps its room.
"""

from dataclasses import dataclass, field

from sesameladder.fleet._model import Vm, VmPhase, Wave

AHEAD = 1  # VMs emptied beyond those that may go down now
MAX_PER_POOL = 1  # pools have 6 workers; two away take a third of the room
PATIENCE_S = 2.5  # longer than the mean subtask of 0.5 to 1.4 s and a lasting start
RETURN_LIMIT_S = 8.0  # upkeep takes 2 s; a VM that stays away longer has failed


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

    back: set[str] = field(default_factory=set)
    """VMs that have returned."""

    emptying_since: dict[str, float] = field(default_factory=dict)


class MaintenancePlanner:
    """Plans all waves that haven't ended."""

    __slots__ = ("progress",)

    def __init__(self) -> None:
        self.progress: dict[int, WaveProgress] = {}

    def record_maintenance_start(self, wave: int, vm: str, now: float) -> None:
        """Note that the platform has taken the order for a VM's upkeep."""
        progress = self.progress.setdefault(wave, WaveProgress())
        progress.started_at[vm] = now
        progress.emptying_since.pop(vm, None)

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
        leaving: dict[str, list[str]] = {}
        for wave in sorted(waves, key=lambda wave: wave.number):
            progress = self.progress.setdefault(wave.number, WaveProgress())
            self._note_returns(progress, vms, now)
            open_vms = [
                vm for vm in wave.vms if vm in vms and vm not in progress.started_at
            ]
            down = len(progress.started_at) - len(progress.back)
            if not open_vms and not down:
                plan.finished_waves.append(wave.number)
                continue
            self._plan_wave(
                wave,
                progress,
                open_vms,
                down,
                vms,
                drained,
                stoppable,
                spare_pools,
                leaving,
                plan,
                now,
            )
        plan.workers_to_drain = {pool: tuple(names) for pool, names in leaving.items()}
        return plan

    def _plan_wave(
        self,
        wave: Wave,
        progress: WaveProgress,
        open_vms: list[str],
        down: int,
        vms: dict[str, Vm],
        drained: frozenset[str],
        stoppable: frozenset[str],
        spare_pools: frozenset[str],
        leaving: dict[str, list[str]],
        plan: MaintenancePlan,
        now: float,
    ) -> None:
        room = wave.max_in_maintenance - down
        away = _count_away(vms)
        # VMs that are being emptied already go on; free ones need no emptying.
        order = sorted(
            open_vms,
            key=lambda name: (
                vms[name].pool not in spare_pools,
                progress.emptying_since.get(name, now),
                away.get(vms[name].pool, 0),
            ),
        )
        emptying = 0
        for name in order:
            vm = vms[name]
            if vm.phase is not VmPhase.UP:
                continue
            is_free = vm.pool in spare_pools
            since = progress.emptying_since.get(name)
            late = since is not None and now - since >= PATIENCE_S
            late = late and vm.worker in stoppable
            if room > 0 and (is_free or vm.worker in drained or late):
                plan.maintenance_starts.append((name, wave.number))
                room -= 1
                if not is_free:
                    leaving.setdefault(vm.pool, []).append(vm.worker)
                continue
            if is_free:
                continue
            others = len(leaving.get(vm.pool, ())) + away.get(vm.pool, 0)
            if emptying >= wave.max_in_maintenance + AHEAD or others >= MAX_PER_POOL:
                progress.emptying_since.pop(name, None)
                continue
            emptying += 1
            progress.emptying_since.setdefault(name, now)
            leaving.setdefault(vm.pool, []).append(vm.worker)

    def _note_returns(
        self, progress: WaveProgress, vms: dict[str, Vm], now: float
    ) -> None:
        for name, since in progress.started_at.items():
            if name in progress.back:
                continue
            vm = vms.get(name)
            # The list may be a moment old: a VM that is up within half a second
            # of its order has not gone down yet.
            is_up = vm is not None and vm.phase is VmPhase.UP and now - since > 1.0
            if vm is None or is_up or now - since > RETURN_LIMIT_S:
                progress.back.add(name)


def _count_away(vms: dict[str, Vm]) -> dict[str, int]:
    """Return the VMs that aren't up, by pool."""
    counts: dict[str, int] = {}
    for vm in vms.values():
        if vm.phase is not VmPhase.UP:
            counts[vm.pool] = counts.get(vm.pool, 0) + 1
    return counts
