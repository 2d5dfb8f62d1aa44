"""What all cases share: a temporary folder, the record, and the exit status."""

from __future__ import annotations

import os
import sys
import tempfile
import traceback
from collections.abc import Callable
from pathlib import Path

from .record import Record

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # whether the disruption takes place


def play(folder: Path, case: Callable[[Record, Path], list[str]]) -> int:
    """Play a case, which returns the breaks of its rule that it saw. The exit status.

    What the case starts it ends itself, also where it fails.
    """
    record = Record(folder / "record.txt")
    record.note("case", f"begins, {'with' if TROUBLE else 'without'} the disruption")
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as tmp:
            broken = case(record, Path(tmp))
    except Exception as bad:
        traceback.print_exc()
        record.note("case", f"could not run: {type(bad).__name__}: {bad}")
        return COULD_NOT_RUN
    for line in broken:
        record.note("judge", f"BROKEN: {line}")
        print(f"broken: {line}")
    record.note("judge", f"{len(broken)} breaks of the rule")
    print(f"{len(broken)} breaks of the rule; see {folder / 'record.txt'}")
    return BROKEN if broken else HELD


def run(folder: Path, case: Callable[[Record, Path], list[str]]) -> None:
    """Play a case and end the process with its exit status, whatever threads still wait."""
    status = play(folder, case)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)
