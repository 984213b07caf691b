"""Command line of the platform stand-in."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from sesameladder.settings import PlatformStandinSettings
from sesameladder.standins._program import load_or_exit, run_until_signal
from sesameladder.standins.platform._standin import PlatformStandin

PROGRAM = "sesameladder-platform-standin"


@cappa.command(name=PROGRAM)
@dataclass(slots=True)
class PlatformStandinCommand:
    """Serve a stand-in of the platform, for tests and trials only."""

    settings: Annotated[Path, cappa.Arg(long=True, help="Path of the settings file.")]


def main() -> None:
    """Serve the platform stand-in of the given settings until a signal."""
    command = cappa.parse(PlatformStandinCommand)
    path = command.settings
    settings = load_or_exit(lambda: PlatformStandinSettings.from_file(path))
    run_until_signal(PROGRAM, [PlatformStandin(settings)])
