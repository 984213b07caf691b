"""Output of the measurements as a Markdown table and as a plot."""

from pathlib import Path

import matplotlib as mpl
from matplotlib.figure import Figure

from sesameladder.measure._entry import MeasureEntry

HEADER = (
    "| name | deployment | unit | value | baseline | bound | target | met |\n"
    "|---|---|---|---|---|---|---|---|\n"
)
PLOTTED_PREFIXES = ("short_wait_p99", "rollout_time", "vm_moves", "buffer_vm_hours")
PLOT_INCHES = (12.0, 7.0)
BAR_WIDTH = 0.27


def write_table(entries: list[MeasureEntry], path: Path) -> str:
    """Write all entries as a Markdown table and return it."""
    rows = [
        "| "
        + " | ".join(
            (
                entry.name,
                entry.deployment,
                entry.unit,
                _format(entry.value),
                _format(entry.baseline),
                _format(entry.bound),
                entry.target,
                {True: "yes", False: "NO", None: ""}[entry.met],
            )
        )
        + " |\n"
        for entry in entries
    ]
    table = HEADER + "".join(rows)
    path.write_text(table, encoding="utf-8")
    return table


def write_plot(entries: list[MeasureEntry], path: Path) -> None:
    """Plot value, baseline and bound of the entries with ``PLOTTED_PREFIXES``."""
    mpl.use("Agg")
    figure = Figure(figsize=PLOT_INCHES, layout="constrained")
    for index, prefix in enumerate(PLOTTED_PREFIXES):
        axes = figure.add_subplot(2, 2, index + 1)
        plotted = [e for e in entries if e.name.startswith(prefix)]
        for offset, attribute in enumerate(("value", "baseline", "bound")):
            heights = [getattr(entry, attribute) or 0.0 for entry in plotted]
            positions = [
                place + (offset - 1) * BAR_WIDTH for place in range(len(plotted))
            ]
            axes.bar(positions, heights, BAR_WIDTH, label=attribute)
        labels = [f"{e.deployment}\n{e.name.removeprefix(prefix)}" for e in plotted]
        axes.set_xticks(range(len(plotted)), labels, rotation=60, fontsize=6)
        axes.set_title(f"{prefix} [{plotted[0].unit if plotted else ''}]")
        axes.legend(fontsize=7)
    figure.savefig(path)


def _format(value: float | None) -> str:
    return "" if value is None else f"{value:.6g}"
