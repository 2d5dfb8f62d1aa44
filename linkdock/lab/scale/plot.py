"""One plot of the slopes: a panel for each run, each figure over its sizes, its line up to the size to design for."""

from __future__ import annotations

from pathlib import Path

import numpy as np

from .rows import Row
from .slopes import SLOPES, Book

COLUMNS = 3
PANEL = (4.6, 3.4)  # inches


def draw(rows: list[Row], path: Path) -> None:
    """Write the plot. Both axes are logarithmic; a dashed line is carried beyond what was run."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    book = Book(rows)
    runs = list(dict.fromkeys(slope.run for slope in SLOPES if book.fit(slope.run, slope.figure)))
    height = max(1, -(-len(runs) // COLUMNS))
    figure, axes = plt.subplots(height, COLUMNS, figsize=(PANEL[0] * COLUMNS, PANEL[1] * height), squeeze=False)
    for axis, run in zip(axes.flat, runs, strict=False):
        axis.set_title(run, fontsize=9)
        for n, slope in enumerate(slope for slope in SLOPES if slope.run == run and book.fit(run, slope.figure)):
            points = book.rows_of(run, slope.figure)
            color = f"C{n}"
            axis.plot(
                [p.size for p in points], [p.value for p in points], "o", ms=3, color=color, label=slope.figure[:44]
            )
            along = np.geomspace(min(p.size for p in points), max(slope.at, max(p.size for p in points)), 40)
            line = [max(1e-12, book.at(run, slope.figure, x).value) for x in along]
            axis.plot(along, line, "--", lw=0.8, color=color)
        axis.set_xscale("log")
        axis.set_yscale("log")
        axis.tick_params(labelsize=7)
        axis.legend(fontsize=5)
    for axis in list(axes.flat)[len(runs) :]:
        axis.set_visible(False)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)
