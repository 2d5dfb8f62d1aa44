"""The tables of docs/CAPACITY.md from the results: slopes, roles, events, hollow against real, what is missing."""

from __future__ import annotations

from . import against_real, events
from . import verdicts as v
from .figures import Figures
from .fits import Shape
from .roles import ROLES
from .rows import Row
from .runs import RUNS
from .slopes import SLOPES, Book
from .text import digits, said, table


def _unit(book: Book, run: str, figure: str) -> str:
    return book.rows_of(run, figure)[0].unit


def slopes(book: Book) -> str:
    """Every fit: its law with the slope's standard error, the largest residual, and what it says at the size asked."""
    lines = []
    for slope in SLOPES:
        found, rows = book.fit(slope.run, slope.figure), book.rows_of(slope.run, slope.figure)
        if found is None:
            sizes = ", ".join(f"{row.size:,}" for row in rows) or "-"
            lines.append((f"{slope.run}: {slope.figure}", "not measured at four sizes", "-", sizes, "-", "-"))
            continue
        unit, there = rows[0].unit, found.at(slope.at)
        if slope.shape is Shape.LINEAR:
            each = f"{said(found.slope, 's')} a second" if unit == "s/s" else said(found.slope, unit)
            law = f"{each} each, ± {digits(100 * found.slope_error / abs(found.slope or 1))} %"
        else:
            law = f"n^{found.slope:.2f} ± {found.slope_error:.2f}"
        told = f"{said(there.value, unit)} ({said(max(0.0, there.low), unit)} to {said(there.high, unit)})"
        beyond = "run" if found.factor(slope.at) == 1 else f"x {digits(found.factor(slope.at))}"
        sizes = ", ".join(f"{size:,}" for size in found.sizes)
        lines.append(
            (
                f"{slope.run}: {slope.figure}",
                law,
                f"{digits(100 * found.residual)} %",
                sizes,
                f"{told} at {slope.at:,.0f}",
                beyond,
            )
        )
    return table(
        ("figure", "law", "largest residual", "sizes", "at the size asked for (two standard errors)", "carried"), lines
    )


def commands(book: Book) -> str:
    """How each run is measured again, of which commit, and what of a real process it leaves out."""
    lines = [(f"`{row.command}`", row.commit, RUNS[row.run].size, RUNS[row.run].left_out) for row in book.runs()]
    return table(("command", "commit", "a size is so many", "left out"), lines)


def needs(lines: list[v.Need]) -> str:
    """The needs of one role as a table."""
    return table(v.HEAD, (one.cells() for one in lines))


PAIRS = (  # (hollow run, its figure, run to compare with, its figure)
    *(("hollow", name, "real", name) for name in (against_real.DATAGRAMS, against_real.FRAMES, against_real.PROCESSOR)),
    (
        "members-sampled",
        "wire bytes a second, sent and received",
        "members",
        "wire bytes a second a member, sent and received",
    ),
    ("members-sampled", "processor time a second", "members", "processor time a second a member"),
)


def against(book: Book) -> str:
    """Hollow figures beside those of real processes, and one member's beside a whole mesh's, at the same sizes."""
    lines = []
    for run, figure, other, its in PAIRS:
        for size in sorted({row.size for row in book.rows_of(run, figure)}):
            unit = _unit(book, run, figure)
            hollow, real = book.measured(run, figure, size), book.measured(other, its, size)
            ratio = digits(hollow / real) if real else "-"
            lines.append((figure, f"{size:,}", f"{run}: {said(hollow, unit)}", f"{other}: {said(real, unit)}", ratio))
    return table(("figure", "processes", "this", "against", "ratio"), lines)


def _not_carried(book: Book) -> list[tuple[str, v.Need]]:
    """The needs that today's program does not carry, with their role, the furthest over its budget first."""
    figures = Figures(book)
    over = [
        (name, one)
        for name, make in ROLES.items()
        for one in make(figures)
        if one.verdict is v.Verdict.DOES_NOT and one.over > 1
    ]
    return sorted(over, key=lambda pair: -pair[1].over)


def missing(book: Book) -> str:
    """What is not carried, by how far it is over its budget."""
    lines = [(name, one.what, f"{digits(one.over)} x", one.mechanism) for name, one in _not_carried(book)]
    return table(("role", "what", "over its budget", "mechanism of today"), lines)


def first(book: Book) -> str:
    """The figure that is furthest over its budget, in a sentence."""
    over = _not_carried(book)
    if not over:
        return "Nothing that was measured is over its budget.\n"
    worst = over[0][1]
    figure, budget = said(worst.figure, worst.unit), said(worst.budget, worst.unit)
    return (
        f"Furthest over its budget: {worst.what}, {figure} where {budget} are allowed ({digits(worst.over)} times).\n"
    )


def all_tables(rows: list[Row]) -> dict[str, str]:
    """Every table of the page by the name of its place."""
    book = Book(rows)
    figures = Figures(book)
    return {
        **{name: needs(make(figures)) for name, make in ROLES.items()},
        "ordinary-day": table(events.HEAD, (one.cells() for one in events.ordinary_day(figures))),
        "bad-year": table(events.HEAD, (one.cells() for one in events.bad_year(figures))),
        "against-real": against(book),
        "missing": missing(book),
        "first": first(book),
        "slopes": slopes(book),
        "commands": commands(book),
    }
