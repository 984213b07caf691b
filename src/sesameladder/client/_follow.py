"""``sesameladder rollout follow``: show the progress of maintenance waves."""

from dataclasses import dataclass
from typing import Annotated

import cappa

from sesameladder.client._context import Context
from sesameladder.client._errors import CommandFailed
from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.client._options import CommonOptions
from sesameladder.client._progress import WaveProgress, compute_progress
from sesameladder.environment import PlatformError
from sesameladder.model import FleetState, MaintenanceWave
from sesameladder.planning import PlanMalformed, RegionPlan, VmRow
from sesameladder.tickets import TicketLogUnavailable

PLAN_PREFIX = "plan/"


@cappa.command(
    name="follow",
    help="Show the progress of maintenance waves.",
    description="Prints a line whenever the progress changes, until the waves are "
    "finished or a deadline is missed. A platform outage is waited out. "
    + EXIT_CODE_HELP,
)
@dataclass
class FollowRollout(CommonOptions):
    """Show the progress of maintenance waves."""

    wave: Annotated[
        str | None, cappa.Arg(long=True, help="Wave to follow; all if left out.")
    ] = None
    once: Annotated[
        bool, cappa.Arg(long=True, help="Print the progress once and end.")
    ] = False
    interval: Annotated[
        float, cappa.Arg(long=True, help="Seconds between two looks at the plan.")
    ] = 2.0

    def run(self, context: Context) -> ExitCode:
        """Print the progress until the waves are finished or late."""
        if self.interval <= 0:
            raise CommandFailed(ExitCode.USAGE, "--interval has to be above 0")
        shown: list[str] = []
        while True:
            try:
                progress = self._read_progress(context)
            except (PlatformError, TicketLogUnavailable) as error:
                if self.once:
                    raise
                context.warn(f"the platform is not reached, waiting: {error}")
                context.sleep(self.interval)
                continue
            shown = _show_changes(context, progress, shown)
            code = self._decide_end(context, progress)
            if code is not None:
                return code
            context.sleep(self.interval)

    def _read_progress(self, context: Context) -> list[WaveProgress]:
        state = context.log.load_state()
        waves = _choose_waves(state, self.wave)
        rows = _read_rows(context)
        return [compute_progress(state, rows, wave) for wave in waves]

    def _decide_end(
        self, context: Context, progress: list[WaveProgress]
    ) -> ExitCode | None:
        if any(item.is_late(context.now()) for item in progress):
            return ExitCode.NOT_IN_ORDER
        if self.once or all(item.finished for item in progress):
            return ExitCode.DONE
        return None


def _choose_waves(state: FleetState, wave: str | None) -> list[MaintenanceWave]:
    if wave is None:
        return [state.waves[name] for name in sorted(state.waves)]
    if wave not in state.waves:
        names = ", ".join(sorted(state.waves)) or "none"
        message = f"no wave {wave!r} in force; there are: {names}"
        raise CommandFailed(ExitCode.NOT_FOUND, message)
    return [state.waves[wave]]


def _read_rows(context: Context) -> list[VmRow]:
    """Return the VM rows of every plan in the store."""
    entries = context.store.list_entries(PLAN_PREFIX)
    if not entries:
        raise CommandFailed(ExitCode.NOT_FOUND, "no region plan was written yet")
    rows: list[VmRow] = []
    for entry in entries:
        try:
            rows += RegionPlan.from_bytes(entry.value).rows.values()
        except PlanMalformed as error:
            message = f"{entry.key}: unknown plan format: {error}"
            raise CommandFailed(ExitCode.CORRUPT, message) from error
    return rows


def _show_changes(
    context: Context, progress: list[WaveProgress], shown: list[str]
) -> list[str]:
    now = context.now()
    lines = [item.describe(now) for item in progress] or ["no waves in force"]
    if lines != shown:
        context.show(lines, [item.to_json(now) for item in progress])
    return lines
