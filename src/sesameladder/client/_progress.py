"""Progress of maintenance waves, computed from the plan and the configuration."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from sesameladder.client._wording import format_time
from sesameladder.model import FleetState, MaintenanceWave
from sesameladder.planning import Phase, VmRow

WAVE_PERMIT_PREFIX = "wave:"
MAX_LISTED_VMS = 8
"""VMs in progress that are listed by name; more are counted by phase."""


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """Progress of one maintenance wave."""

    wave: MaintenanceWave
    """The wave as the configuration describes it."""

    total: int
    """Number of VMs of the wave's pools in the zones of the known plans."""

    in_other_regions: int
    """Number of VMs of the wave's pools in all other zones."""

    done: int
    """Number of VMs that were rebooted since the wave's start and serve again."""

    in_progress: tuple[tuple[str, str], ...]
    """Names and phases of VMs that hold a permit of the wave and aren't set aside."""

    set_aside: tuple[str, ...]
    """Names of the VMs that are set aside, having exceeded their time limit."""

    @property
    def is_finished(self) -> bool:
        """Whether all VMs are done or set aside, and none is in progress."""
        return self.done + len(self.set_aside) >= self.total and not self.in_progress

    def describe(self, now: float) -> str:
        """Return one line of text about the progress."""
        line = f"wave {self.wave.id}: {self.done} of {self.total} VMs done"
        if self.in_other_regions:
            line += f" ({self.in_other_regions} in zones of other regions not shown)"
        if self.in_progress:
            line += f", under way: {_describe_in_progress(self.in_progress)}"
        if self.set_aside:
            line += f", set aside: {', '.join(self.set_aside)}"
        return f"{line}, {self._describe_schedule(now)}"

    def to_json(self, now: float) -> dict[str, Any]:
        """Return the progress as a JSON object."""
        return {
            "wave": self.wave.id,
            "total": self.total,
            "elsewhere": self.in_other_regions,
            "done": self.done,
            "under_way": dict(self.in_progress),
            "set_aside": list(self.set_aside),
            "finished": self.is_finished,
            "deadline_s": self.wave.deadline_s,
            "late": self.is_late(now),
        }

    def is_late(self, now: float) -> bool:
        """Return whether the deadline passed before the wave was finished."""
        return not self.is_finished and now > self.wave.deadline_s

    def _describe_schedule(self, now: float) -> str:
        if self.is_finished:
            return "finished"
        if self.is_late(now):
            return f"late, the deadline was {format_time(self.wave.deadline_s)}"
        if now < self.wave.start_s:
            return f"starts {format_time(self.wave.start_s)}"
        return f"deadline {format_time(self.wave.deadline_s)}"


def compute_progress(
    state: FleetState, rows: Iterable[VmRow], wave: MaintenanceWave
) -> WaveProgress:
    """Return a wave's progress from all VM rows of the known plans.

    VMs in a zone without any row belong to another region, whose plan is in that
    region's store. They are only counted, as VMs in other regions.
    """
    rows = list(rows)
    zones = {row.zone for row in rows}
    wave_vms = {vm.name: vm for vm in state.vms.values() if vm.pool in wave.pools}
    names_in_known_zones = {name for name, vm in wave_vms.items() if vm.zone in zones}
    wave_rows = [row for row in rows if row.vm in names_in_known_zones]
    done = [row for row in wave_rows if _is_done(row, wave)]
    in_progress = [
        (row.vm, row.phase.value)
        for row in wave_rows
        if row.permit == WAVE_PERMIT_PREFIX + wave.id
        and row.phase is not Phase.SET_ASIDE
    ]
    set_aside_vms = [row.vm for row in wave_rows if row.phase is Phase.SET_ASIDE]
    return WaveProgress(
        wave,
        len(names_in_known_zones),
        len(wave_vms) - len(names_in_known_zones),
        len(done),
        tuple(sorted(in_progress)),
        tuple(sorted(set_aside_vms)),
    )


def _is_done(row: VmRow, wave: MaintenanceWave) -> bool:
    return row.phase is Phase.SERVING and row.maintained_at >= wave.start_s


def _describe_in_progress(in_progress: tuple[tuple[str, str], ...]) -> str:
    shown = ", ".join(f"{vm} {phase}" for vm, phase in in_progress[:MAX_LISTED_VMS])
    if len(in_progress) <= MAX_LISTED_VMS:
        return shown
    phase_counts = Counter(phase for _, phase in in_progress)
    return ", ".join(
        f"{count} {phase}" for phase, count in sorted(phase_counts.items())
    )
