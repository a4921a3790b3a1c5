"""Write figures as text, JSON and plots."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

Rows = list[list[str]]


def table(rows: Rows) -> str:
    """Return rows as aligned text."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
    return "\n".join(line.rstrip() for line in lines)


def spread(values: Iterable[float], *, digits: int = 3) -> str:
    """Return the mean and the range of some values."""
    numbers = list(values)
    mean = sum(numbers) / len(numbers)
    return f"{mean:.{digits}f} ({min(numbers):.{digits}f}..{max(numbers):.{digits}f})"


def write(out: Path | None, name: str, text: str, value: Any) -> None:
    """Print a text; with a folder, write it and its JSON there too."""
    print(text, flush=True)
    if out is None:
        return
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{name}.txt").write_text(text + "\n", encoding="utf-8")
    (out / f"{name}.json").write_text(json.dumps(value, indent=2) + "\n", encoding="utf-8")


def plot_bars(out: Path, name: str, title: str, values: dict[str, list[float]]) -> None:
    """Plot the mean of each variant with its range."""
    # Only a report with a plot pays for the library.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    means = [sum(numbers) / len(numbers) for numbers in values.values()]
    ranges = list(zip(means, values.values(), strict=True))
    below = [mean - min(numbers) for mean, numbers in ranges]
    above = [max(numbers) - mean for mean, numbers in ranges]
    axes.bar(list(values), means, yerr=[below, above], capsize=6)
    axes.set_title(title)
    axes.set_ylim(bottom=0)
    out.mkdir(parents=True, exist_ok=True)
    figure.savefig(out / f"{name}.png")
    pyplot.close(figure)
