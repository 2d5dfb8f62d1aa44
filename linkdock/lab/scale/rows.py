"""Results of scale runs: one row for each figure at each size, as Parquet, one file for each run."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec

from ..results import PlanError


class Figure(NamedTuple):
    """One measured figure: its name within the run, its unit, and its value."""

    name: str
    unit: str
    value: float


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A figure with all that is needed to measure it again."""

    run: str
    size: int
    figure: str
    unit: str
    value: float
    seed: int
    commit: str
    command: str


class Unfinished(msgspec.Struct, frozen=True, kw_only=True):
    """A size that was not measured, and why."""

    run: str
    size: int
    why: str


def save(folder: Path, run: str, rows: Iterable[Row]) -> Path:
    """Write the run's results over those of an earlier one. Raises PlanError where that is not possible."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    path = folder / f"{run}.parquet"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        pq.write_table(pa.Table.from_pylist([msgspec.to_builtins(row) for row in rows]), path)
    except OSError as bad:
        raise PlanError(f"{path}: {bad}") from None
    return path


def load(folder: Path) -> list[Row]:
    """All results of the folder, by file, in the order in which they were written. Raises PlanError for a bad file."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    rows: list[Row] = []
    for path in sorted(folder.glob("*.parquet")):
        try:
            rows += msgspec.convert(pq.read_table(path).to_pylist(), list[Row])
        except (OSError, pa.ArrowInvalid, msgspec.ValidationError) as bad:
            raise PlanError(f"{path}: no results of a scale run: {bad}") from None
    return rows
