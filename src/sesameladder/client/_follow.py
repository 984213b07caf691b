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

PLAN_KEY_PREFIX = "plan/"


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
        float, cappa.Arg(long=True, help="Seconds between two reads of the plan.")
    ] = 2.0

    def run(self, context: Context) -> ExitCode:
        """Print changed progress until all waves are finished or one is late."""
        if self.interval <= 0:
            raise CommandFailed(
                ExitCode.USAGE,
                f"--interval is {self.interval:g}, but must be above 0 s",
            )
        printed_lines: list[str] = []
        while True:
            try:
                progress = self._read_progress(context)
            except (PlatformError, TicketLogUnavailable) as error:
                if self.once:
                    raise
                context.print_warning(f"the platform is not reached, waiting: {error}")
                context.sleep(self.interval)
                continue
            printed_lines = _print_changed_progress(context, progress, printed_lines)
            code = self._choose_exit_code(context, progress)
            if code is not None:
                return code
            context.sleep(self.interval)

    def _read_progress(self, context: Context) -> list[WaveProgress]:
        state = context.ticket_log.load_state()
        waves = _select_waves(state, self.wave)
        rows = _read_vm_rows(context)
        return [compute_progress(state, rows, wave) for wave in waves]

    def _choose_exit_code(
        self, context: Context, progress: list[WaveProgress]
    ) -> ExitCode | None:
        """Return the exit code, or None while the command should go on."""
        if any(item.is_late(context.clock()) for item in progress):
            return ExitCode.NOT_IN_ORDER
        if self.once or all(item.is_finished for item in progress):
            return ExitCode.DONE
        return None


def _select_waves(state: FleetState, wave: str | None) -> list[MaintenanceWave]:
    if wave is None:
        return [state.waves[name] for name in sorted(state.waves)]
    if wave not in state.waves:
        names = ", ".join(sorted(state.waves)) or "none"
        message = f"no wave {wave!r} in force; there are: {names}"
        raise CommandFailed(ExitCode.NOT_FOUND, message)
    return [state.waves[wave]]


def _read_vm_rows(context: Context) -> list[VmRow]:
    """Return the VM rows of every plan in the store."""
    entries = context.store.list_entries(PLAN_KEY_PREFIX)
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


def _print_changed_progress(
    context: Context, progress: list[WaveProgress], printed_lines: list[str]
) -> list[str]:
    """Print the progress if it differs from the printed lines; returns its lines."""
    now = context.clock()
    lines = [item.describe(now) for item in progress] or ["no waves in force"]
    if lines != printed_lines:
        context.print_result(lines, [item.to_json(now) for item in progress])
    return lines
