"""The tables of docs/CAPACITY.md stand between markers, and are put there by `linkdock lab scale table --page`."""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path

from ..results import PlanError

_MARKED = re.compile(r"(<!-- table: ([a-z-]+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)


def tables_in(text: str) -> dict[str, str]:
    """What stands between the markers, by name."""
    return {found[2]: found[3] for found in _MARKED.finditer(text)}


def with_tables(text: str, tables: Mapping[str, str]) -> str:
    """The text with each table in its place. Raises PlanError where one of them, or its place, is missing."""
    places = set(tables_in(text))
    if places != set(tables):
        raise PlanError(f"tables without a place, or places without a table: {sorted(places ^ set(tables))}")
    return _MARKED.sub(lambda found: f"{found[1]}{tables[found[2]]}{found[4]}", text)


def put_in(path: Path, tables: Mapping[str, str]) -> None:
    """Write the tables into the page. Raises PlanError."""
    try:
        path.write_text(with_tables(path.read_text(), tables))
    except OSError as bad:
        raise PlanError(f"{path}: {bad.strerror}") from None
