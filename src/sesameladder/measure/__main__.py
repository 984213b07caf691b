"""Runs all measurements and writes ``build/measure.json``, a table and a plot.

``make measure`` runs it. Most figures come from runs under injected clocks with
fixed seeds and are reproducible. Only ``planner_time``, ``planner_memory`` and the
entries of the request path depend on the hardware.
"""

import json
import sys
from collections.abc import Callable
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from sesameladder.measure import (
    MeasureEntry,
    at_most_once,
    cell,
    configuration,
    copies,
    planning,
    request_path,
)
from sesameladder.measure._report import write_plot, write_table

DEPLOYMENTS = ("coral-strand", "pfennigblatt")
TARGET_SIZE = "target-size"
SEED = 20261204
MAX_PROCESSES = 4

Measure = Callable[[str, int], list[MeasureEntry]]

MEASURES: tuple[Measure, ...] = (
    cell.measure,
    planning.measure,
    at_most_once.measure,
    configuration.measure,
)

TARGET_SIZE_MEASURES: tuple[Measure, ...] = (
    planning.measure,
    configuration.measure,
    copies.measure,
)


@cappa.command(name="measure", help="Measure the decision code.")
@dataclass(frozen=True, slots=True)
class MeasureCommand:
    """Arguments of the command line."""

    output: Annotated[Path, cappa.Arg(long=True, help="Folder for the results")] = Path(
        "build"
    )


def run_all() -> list[MeasureEntry]:
    """Return the entries of all measurements, unique by name and deployment."""
    with ProcessPoolExecutor(MAX_PROCESSES) as executor:
        runs = [(measure, name) for measure in MEASURES for name in DEPLOYMENTS]
        runs += [(measure, TARGET_SIZE) for measure in TARGET_SIZE_MEASURES]
        futures: list[Future[list[MeasureEntry]]] = [
            executor.submit(measure, deployment, SEED) for measure, deployment in runs
        ]
        entries = [entry for future in futures for entry in future.result()]
    # The request path is timed last, so that no other measurement shares the CPU.
    entries += request_path.measure(DEPLOYMENTS[0], SEED)
    unique = {(entry.name, entry.deployment): entry for entry in entries}
    return list(unique.values())


def main(arguments: list[str] | None = None) -> int:
    """Run all measurements and write the results.

    Missed targets are printed and marked in the results; the exit code is 0.
    """
    command = cappa.parse(MeasureCommand, argv=arguments)
    entries = run_all()
    command.output.mkdir(parents=True, exist_ok=True)
    content = json.dumps([entry.to_json() for entry in entries], indent=2)
    (command.output / "measure.json").write_text(content + "\n", encoding="utf-8")
    table = write_table(entries, command.output / "measure.md")
    write_plot(entries, command.output / "measure.png")
    sys.stdout.write(table)
    missed = [entry for entry in entries if entry.met is False]
    for entry in missed:
        sys.stdout.write(f"target missed: {entry.name} ({entry.deployment})\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
