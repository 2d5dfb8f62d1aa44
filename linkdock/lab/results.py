"""Plans that are read, and results that are written: JSON, Parquet, plots, and a line of progress."""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from ..errors import LinkdockError


class PlanError(LinkdockError, ValueError):
    """A plan that cannot be played, or a result that could not be written. The text names file and key."""

    code = "LD-LAB-PLAN"
    what = "an experiment's plan cannot be played, or its result could not be written"
    remedy = "Correct the key or the path that the line names; `linkdock lab EXPERIMENT --help` lists the options"


def read_plan(path: Path | None, shape: type, options: dict) -> object:
    """A plan from a file and options, which go before it. Raises PlanError that names file and key."""
    told: dict = {}
    if path is not None:
        try:
            told = msgspec.json.decode(path.read_bytes())
        except OSError as bad:
            raise PlanError(f"{path}: {bad.strerror}") from None
        except msgspec.DecodeError as bad:
            raise PlanError(f"{path}: no JSON: {bad}") from None
        if not isinstance(told, dict):
            raise PlanError(f"{path}: must be an object")
    try:
        plan = msgspec.convert({**told, **options}, shape)
        plan.check()
    except msgspec.ValidationError as bad:
        raise PlanError(f"{path or 'options'}: {bad}") from None
    except ValueError as bad:
        raise PlanError(f"{path or 'options'}: {bad}") from None
    return plan


def can_write(path: Path | None) -> None:
    """Before hours of work: whether its result can be written. Raises PlanError."""
    if path is not None and (not path.parent.is_dir() or not os.access(path.parent, os.W_OK) or path.is_dir()):
        raise PlanError(f"{path}: cannot be written")


@contextlib.contextmanager
def progress(shown: bool) -> Iterator[Callable[[str], None]]:
    """A line on a terminal that says what is being done; nothing elsewhere."""
    if not (shown and sys.stderr.isatty()):
        yield lambda text: None
        return
    from rich.console import Console

    with Console(stderr=True).status("") as status:
        yield lambda text: status.update(text)


def write_table(path: Path, report: dict) -> None:
    """The runs of a real process, one row each, as Parquet."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    runs = report.get("process", {}).get("runs", [])
    pq.write_table(pa.Table.from_pylist(runs) if runs else pa.table({"destinations": pa.array([], pa.int64())}), path)


def write_plot(path: Path, report: dict) -> None:
    """What was served of each kind, with and without sleep, and the cost of a pass."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    slept, never = report["waking"]["served"], report["waking"]["served by one that never slept"]
    kinds = sorted(slept)
    figure, (left, right) = plt.subplots(1, 2, figsize=(11, 4))
    for at, told, name in ((-0.2, slept, "asleep before"), (0.2, never, "never asleep")):
        left.bar(
            [n + at for n in range(len(kinds))],
            [told[k]["median"] for k in kinds],
            0.4,
            label=name,
            yerr=[
                [told[k]["median"] - told[k]["least"] for k in kinds],
                [told[k]["most"] - told[k]["median"] for k in kinds],
            ],
        )
    left.set_xticks(range(len(kinds)), kinds, rotation=20)
    left.set_ylabel("served in time")
    left.set_ylim(0, 1.05)
    left.legend()
    costs = report["pass ms"]
    right.bar(list(costs), [c["median"] for c in costs.values()])
    right.set_xlabel("destinations listed")
    right.set_ylabel("ms for one decision pass")
    figure.tight_layout()
    figure.savefig(path, dpi=120)
    plt.close(figure)
