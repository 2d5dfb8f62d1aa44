"""Figures as the page writes them: three digits, a unit that fits, and plain tables."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

NOT_MEASURED = "not measured"
_STEPS = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k"))
_SMALL = ((1.0, ""), (1e-3, "m"), (1e-6, "µ"), (1e-9, "n"))
_LONG = ((86400.0, "d"), (3600.0, "h"), (120.0, "min"))


def digits(value: float) -> str:
    """Three of them, without an exponent."""
    if value == 0:
        return "0"
    text = f"{value:.3g}"
    return f"{float(text):.0f}" if "e" in text and abs(value) >= 1 else text


def said(value: float | None, unit: str) -> str:
    """`5.3 kB/s`; `not measured` for None."""
    if value is None:
        return NOT_MEASURED
    if unit in ("B", "B/s"):
        for step, prefix in _STEPS:
            if abs(value) >= step:
                return f"{digits(value / step)} {prefix}{unit}"
        return f"{digits(value)} {unit}"
    if unit == "s":
        for step, name in _LONG:
            if abs(value) >= step:
                return f"{digits(value / (60 if name == 'min' else step))} {name}"
        for step, prefix in _SMALL:
            if abs(value) >= step:
                return f"{digits(value / step)} {prefix}s"
        return f"{digits(value * 1e9)} ns"
    if unit == "s/s":
        return f"{digits(100 * value)} % of a core" if value < 2 else f"{digits(value)} cores"
    return f"{digits(value)} {unit}".strip()


def table(head: Sequence[str], lines: Iterable[Sequence[str]]) -> str:
    """A table in Markdown, with a line end."""
    rows = [head, ["---"] * len(head), *lines]
    return "".join(f"| {' | '.join(cell.replace('|', '/') for cell in row)} |\n" for row in rows)
