"""What `linkdock lab scale` does: measure runs, print the page's tables or put them into the page, draw the plot."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from ..results import PlanError
from .rows import load
from .runs import RUNS, play

PLOT = "slopes.png"


class Asked(NamedTuple):
    """The command's words: `what` is a run's name, `all`, `table` or `plot`; seconds and megabytes bound one size."""

    what: str
    seed: int
    sizes: str | None
    seconds: float
    memory_mb: float
    results: Path
    page: Path | None


def sizes_of(text: str | None, default: tuple[int, ...]) -> tuple[int, ...]:
    """Raises PlanError for what is no list of sizes from 2 on."""
    if text is None:
        return default
    words = text.split(",")
    if not all(word.isdecimal() and 2 <= int(word) <= 10_000_000 for word in words):
        raise PlanError(f"--sizes must be whole numbers from 2 on with commas between, not {text!r}")
    return tuple(dict.fromkeys(map(int, words)))


def carry_out(asked: Asked, said: Callable[[str], None]) -> str:
    """The text to print. Raises PlanError for input that cannot be used."""
    if asked.what == "table":
        from . import page, tables

        rows = load(asked.results)
        if asked.page is None:
            return "\n".join(tables.all_tables(rows).values())
        page.put_in(asked.page, tables.all_tables(rows))
        return f"{asked.page}\n"
    if asked.what == "plot":
        from .plot import draw

        path = asked.results / PLOT
        draw(load(asked.results), path)
        return f"{path}\n"
    if asked.what != "all" and asked.what not in RUNS:
        raise PlanError(f"{asked.what!r} is none of all, table, plot, {', '.join(RUNS)}")
    told = []
    for run in RUNS if asked.what == "all" else (asked.what,):
        sizes = sizes_of(asked.sizes, RUNS[run].sizes)
        rows, unfinished = play(run, asked.seed, sizes, asked.seconds, asked.memory_mb, asked.results, said)
        told += [f"{row.run} {row.size} {row.figure}: {row.value:.6g} {row.unit}" for row in rows]
        told += [f"{one.run} {one.size} NOT MEASURED: {one.why}" for one in unfinished]
    return "".join(f"{line}\n" for line in told)
