"""Report of a play: tables in Markdown, plots, and every call as CSV."""

import csv
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

import matplotlib as mpl
import numpy as np
from jinja2 import Environment
from matplotlib.figure import Figure

from sesameladder.load._samples import Answer, Record, Sample
from sesameladder.settings import LoadDescription

PLOT_INCHES = (12.0, 8.0)
TEMPLATE = """\
# Load

{{ description.seconds }} s, {{ description.nodes }} nodes, \
{{ description.workers }} workers, seed {{ description.seed }}; the store takes \
{{ description.store.writes_per_s }} writes and \
{{ description.store.reads_per_s }} reads a second.

| stream | call | made | {{ answers | join(" | ") }} | \
tries at most | p50 [ms] | p99 [ms] |
|---|---|---|{% for _ in answers %}---|{% endfor %}---|---|---|
{% for row in rows -%}
| {{ row | join(" | ") }} |
{% endfor %}
| | |
|---|---|
| roles taken after the start | {{ record.role_changes }} |
| owners killed | {{ record.kills }} |
| accepted jobs that did not end in time | {{ record.unfinished | length }} |
| accepted jobs whose state was not asked for in time | {{ record.unasked }} |
| greatest memory of a node [MB] | {{ "%.0f" | format(record.peak_memory_mb) }} |
| store calls refused | {{ store_refused }} |
| jobs waiting at most | {{ most_waiting }} |

![calls, waiting jobs and store](load.png)
"""


def write_report(description: LoadDescription, record: Record, folder: Path) -> str:
    """Write ``load.md``, ``load.png`` and ``calls.csv``; returns the tables."""
    text = render_tables(description, record)
    (folder / "load.md").write_text(text, encoding="utf-8")
    _write_calls(record.samples, folder / "calls.csv")
    _write_plot(description, record, folder / "load.png")
    return text


def render_tables(description: LoadDescription, record: Record) -> str:
    """Return the tables as Markdown."""
    groups: defaultdict[tuple[str, str], list[Sample]] = defaultdict(list)
    for sample in record.samples:
        groups[sample.stream, sample.kind].append(sample)
    refused = sum(
        round(n * (use.at_s - before))
        for before, use in zip(
            (0.0, *(use.at_s for use in record.store_use)),
            record.store_use,
            strict=False,
        )
        for kind, n in use.calls.items()
        if kind.startswith("refused")
    )
    return (
        Environment(autoescape=False)
        .from_string(TEMPLATE)
        .render(
            description=description,
            record=record,
            answers=[answer.value for answer in Answer],
            rows=[_build_row(*key, groups[key]) for key in sorted(groups)],
            store_refused=refused,
            most_waiting=max((use.waiting for use in record.store_use), default=0),
        )
    )


def _build_row(stream: str, kind: str, samples: list[Sample]) -> list[str]:
    counts = Counter(sample.answer for sample in samples)
    latencies_ms = [1000 * s.latency_s for s in samples if s.answer is Answer.SERVED]
    percentiles = [
        f"{np.percentile(latencies_ms, q):.1f}" if latencies_ms else ""
        for q in (50, 99)
    ]
    return [
        stream,
        kind,
        str(len(samples)),
        *(str(counts[answer]) for answer in Answer),
        str(max(sample.tries for sample in samples)),
        *percentiles,
    ]


def _write_calls(samples: Iterable[Sample], path: Path) -> None:
    with path.open("w", encoding="utf-8", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(("stream", "kind", "at_s", "latency_s", "answer", "tries"))
        for s in sorted(samples, key=lambda sample: sample.at_s):
            at_s, latency_s = f"{s.at_s:.4f}", f"{s.latency_s:.4f}"
            writer.writerow((s.stream, s.kind, at_s, latency_s, s.answer, s.tries))


def _write_plot(description: LoadDescription, record: Record, path: Path) -> None:
    mpl.use("Agg")
    figure = Figure(figsize=PLOT_INCHES, layout="constrained")
    axes = figure.subplots(2, 2, squeeze=False).ravel()
    edges = np.arange(0.0, description.seconds + 1.0)
    for stream in description.streams:
        for answer, style in ((Answer.SERVED, "-"), (Answer.REFUSED, ":")):
            times_s = [
                s.at_s
                for s in record.samples
                if (s.stream, s.answer) == (stream.name, answer)
            ]
            counts, _ = np.histogram(times_s, edges)
            axes[0].plot(edges[:-1], counts, style, label=f"{stream.name}: {answer}")
        served = [
            s
            for s in record.samples
            if (s.stream, s.answer) == (stream.name, Answer.SERVED)
        ]
        latencies_ms = [1000 * s.latency_s for s in served]
        axes[1].plot([s.at_s for s in served], latencies_ms, ".", label=stream.name)
    times_s = [use.at_s for use in record.store_use]
    axes[2].plot(times_s, [use.waiting for use in record.store_use])
    for kind in ("read", "write", "refused read", "refused write"):
        calls_per_s = [use.calls.get(kind, 0.0) for use in record.store_use]
        axes[3].plot(times_s, calls_per_s, label=kind)
    titles = "calls a second", "latency [ms]", "jobs waiting", "store calls a second"
    for ax, title in zip(axes, titles, strict=True):
        ax.set_title(title)
        ax.set_xlabel("time [s]")
        if ax.get_legend_handles_labels()[1]:
            ax.legend(fontsize=7)
    figure.savefig(path)
