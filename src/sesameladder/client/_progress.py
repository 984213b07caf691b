"""Progress of maintenance waves, computed from the plan and the configuration."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from sesameladder.client._wording import format_time
from sesameladder.model import FleetState, MaintenanceWave
from sesameladder.planning import Phase, VmRow

PERMIT_PREFIX = "wave:"
LISTED_VMS = 8


@dataclass(frozen=True, slots=True)
class WaveProgress:
    """How far one wave is."""

    wave: MaintenanceWave
    """The wave as the configuration describes it."""

    total: int
    """VMs of the wave's pools in the zones of the known plans."""

    elsewhere: int
    """VMs of the wave's pools in other zones."""

    done: int
    """VMs that were rebooted since the wave's start and serve again."""

    stopped: tuple[tuple[str, str], ...]
    """Names and phases of the VMs that hold a permit of the wave."""

    set_aside: tuple[str, ...]
    """Names of the VMs that did not return within their limit."""

    @property
    def finished(self) -> bool:
        """Whether nothing is left to do."""
        return self.done + len(self.set_aside) >= self.total and not self.stopped

    def describe(self, now: float) -> str:
        """Return one line on the wave."""
        line = f"wave {self.wave.id}: {self.done} of {self.total} VMs done"
        if self.elsewhere:
            line += f" ({self.elsewhere} in zones of other regions not shown)"
        if self.stopped:
            line += f", under way: {_describe_stopped(self.stopped)}"
        if self.set_aside:
            line += f", set aside: {', '.join(self.set_aside)}"
        return f"{line}, {self._describe_time(now)}"

    def to_json(self, now: float) -> dict[str, Any]:
        """Return the progress as JSON values."""
        return {
            "wave": self.wave.id,
            "total": self.total,
            "elsewhere": self.elsewhere,
            "done": self.done,
            "under_way": dict(self.stopped),
            "set_aside": list(self.set_aside),
            "finished": self.finished,
            "deadline_s": self.wave.deadline_s,
            "late": self.is_late(now),
        }

    def is_late(self, now: float) -> bool:
        """Return whether the deadline passed before the wave was finished."""
        return not self.finished and now > self.wave.deadline_s

    def _describe_time(self, now: float) -> str:
        if self.finished:
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

    VMs in zones that no row names belong to other regions, whose plans are in
    stores of their own; they are counted apart.
    """
    rows = list(rows)
    zones = {row.zone for row in rows}
    members = {vm.name: vm for vm in state.vms.values() if vm.pool in wave.pools}
    here = {name for name, vm in members.items() if vm.zone in zones}
    own = [row for row in rows if row.vm in here]
    done = [row for row in own if _is_done(row, wave)]
    stopped = [
        (row.vm, row.phase.value)
        for row in own
        if row.permit == PERMIT_PREFIX + wave.id and row.phase is not Phase.SET_ASIDE
    ]
    aside = [row.vm for row in own if row.phase is Phase.SET_ASIDE]
    return WaveProgress(
        wave,
        len(here),
        len(members) - len(here),
        len(done),
        tuple(sorted(stopped)),
        tuple(sorted(aside)),
    )


def _is_done(row: VmRow, wave: MaintenanceWave) -> bool:
    return row.phase is Phase.SERVING and row.maintained_at >= wave.start_s


def _describe_stopped(stopped: tuple[tuple[str, str], ...]) -> str:
    shown = ", ".join(f"{vm} {phase}" for vm, phase in stopped[:LISTED_VMS])
    if len(stopped) <= LISTED_VMS:
        return shown
    counts = Counter(phase for _, phase in stopped)
    return ", ".join(f"{count} {phase}" for phase, count in sorted(counts.items()))
