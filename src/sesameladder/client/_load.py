"""``sesameladder load``: play a described load against nodes on this machine."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.settings import LoadDescription, SettingsInvalid


@cappa.command(
    name="load",
    help="Play a described load against nodes beside the stand-ins.",
    description="Starts node processes on this machine, makes the described calls and "
    "writes load.md, load.png and calls.csv. Needs no client settings and touches no "
    "platform but its own stand-in. " + EXIT_CODE_HELP,
)
@dataclass
class PlayLoad:
    """Play a described load against nodes beside the stand-ins."""

    file: Annotated[str, cappa.Arg(help="Description, JSON with comments.")]
    report: Annotated[
        str,
        cappa.Arg(
            long="--report", value_name="FOLDER", help="Folder of report and logs."
        ),
    ]

    def run_locally(self) -> ExitCode:
        """Play the load and print the report's tables."""
        try:
            description = LoadDescription.from_file(self.file)
        except SettingsInvalid as error:
            print(f"description refused:\n{error}", file=sys.stderr)
            return ExitCode.UNREADABLE
        # The plots' library takes a second to import.
        from sesameladder.load import play, write_report

        folder = Path(self.report)
        try:
            folder.mkdir(parents=True, exist_ok=True)
            record = play(description, folder)
            print(write_report(description, record, folder))
        except OSError as error:
            print(f"load not played: {error}", file=sys.stderr)
            return ExitCode.NOT_REACHED
        has_open_jobs = bool(record.unfinished) or record.unasked > 0
        return ExitCode.NOT_IN_ORDER if has_open_jobs else ExitCode.DONE
