"""Output of benchmark results as Markdown, CSV and plots."""

import csv
from collections.abc import Sequence
from pathlib import Path
from statistics import mean
from typing import Any, NamedTuple

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402


class Table(NamedTuple):
    """Rows under headers. `plot` names the column to plot, grouped by the first two columns."""

    name: str
    headers: tuple[str, ...]
    rows: list[tuple[Any, ...]]
    plot: str = ""


class Report(NamedTuple):
    """The result of a benchmark: a description with its goal, and its tables."""

    text: str
    tables: list[Table]


def average_rows(rows: Sequence[tuple[Any, ...]], key_columns: int) -> list[tuple[Any, ...]]:
    """Average rows that share their first `key_columns` columns, in order of first appearance."""
    groups: dict[tuple[Any, ...], list[tuple[Any, ...]]] = {}
    for row in rows:
        groups.setdefault(row[:key_columns], []).append(row[key_columns:])
    return [
        (*key, *(mean(column) for column in zip(*figures, strict=True)))
        for key, figures in groups.items()
    ]


def write_report(folder: Path, name: str, report: Report, seeds: Sequence[int]) -> str:
    """Write `NAME.md`, and a CSV file and a plot for each table; return the Markdown."""
    folder.mkdir(exist_ok=True)
    sections = [f"# {name}", report.text, f"Seeds: {', '.join(map(str, seeds))}."]
    for table in report.tables:
        stem = f"{name}-{table.name}"
        with (folder / f"{stem}.csv").open("w", newline="") as file:
            writer = csv.writer(file, lineterminator="\n")
            writer.writerow(table.headers)
            writer.writerows([[_format(item) for item in row] for row in table.rows])
        sections.append(f"## {table.name}\n\n{_markdown(table)}")
        if table.plot:
            _plot(table, folder / f"{stem}.png")
            sections.append(f"![{table.plot}]({stem}.png)")
    text = "\n\n".join(sections) + "\n"
    (folder / f"{name}.md").write_text(text)
    return text


def _format(item: Any) -> str:
    return f"{item:.3f}" if isinstance(item, float) else str(item)


def _markdown(table: Table) -> str:
    lines = [table.headers, ["---"] * len(table.headers), *table.rows]
    return "\n".join("| " + " | ".join(map(_format, line)) + " |" for line in lines)


def _plot(table: Table, path: Path) -> None:
    column = table.headers.index(table.plot)
    groups = list(dict.fromkeys(row[0] for row in table.rows))
    series = list(dict.fromkeys(row[1] for row in table.rows))
    figure, axes = pyplot.subplots(figsize=(8, 4))
    width = 0.8 / len(series)
    for index, label in enumerate(series):
        values = [
            mean([row[column] for row in table.rows if row[:2] == (group, label)] or [0.0])
            for group in groups
        ]
        axes.bar([group_index + index * width for group_index in range(len(groups))], values, width)
    axes.set_xticks([group_index + 0.4 - width / 2 for group_index in range(len(groups))], groups)
    axes.legend(series, fontsize="small")
    axes.set_ylabel(table.plot)
    figure.tight_layout()
    figure.savefig(path, dpi=80, metadata={"Software": None})
    pyplot.close(figure)
