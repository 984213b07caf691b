"""Command line of the upstream stand-in."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from sesameladder.settings import UpstreamStandinSettings
from sesameladder.standins._program import load_or_exit, run_until_signal
from sesameladder.standins.upstream._standin import UpstreamStandin

PROGRAM = "sesameladder-upstream-standin"


@cappa.command(name=PROGRAM)
@dataclass(slots=True)
class UpstreamStandinCommand:
    """Serve stand-ins of upstreams, for tests and trials only."""

    settings: Annotated[Path, cappa.Arg(long=True, help="Path of the settings file.")]


def main() -> None:
    """Serve the upstream stand-ins of the given settings until a signal."""
    command = cappa.parse(UpstreamStandinCommand)
    path = command.settings
    settings = load_or_exit(lambda: UpstreamStandinSettings.from_file(path))
    upstreams = [UpstreamStandin(row, settings) for row in settings.upstreams]
    run_until_signal(PROGRAM, upstreams)
