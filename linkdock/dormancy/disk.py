"""Snapshots on disk of what was learned, and the sleeper that they fill. The journal always comes first.

A snapshot is written in slices beside the one before and takes its place when it is whole. What cannot be read is
refused in one log line, and the sender starts without: it then knows as little as any that is new.
"""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterator
from itertools import chain
from pathlib import Path

from ..errors import log_line
from ..options import OptionError
from ..state.table import ServerTable
from . import settings as shape
from . import snapshot
from .memory import pack
from .sleeper import Sleeper

log = logging.getLogger(__name__)

LOAD_SLICE = 500  # rows read back between two turns


class Dormancy:
    """Owner of the sleeper and of the snapshot's files, in `folder`, which holds `disk_bytes` at the most."""

    def __init__(
        self,
        text: bytes,
        folder: Path,
        disk_bytes: int,
        names: list[str],
        table: ServerTable,
        clock: Callable[[], float],
        unix_time: Callable[[], float],
    ) -> None:
        """`text` is that of dormancy.json, `names` are the classes'.

        `clock` is the loop's, `unix_time` one that is not stepped over a restart. Raises OptionError.
        """
        self.settings, self._clock = shape.read(text, disk_bytes), clock
        self._unix_time = unix_time
        self.sleeper = Sleeper(
            lambda: table.roster, len(names), self.settings.after_s, self.settings.most_kept, table.shown
        )
        self._mark, self._classes = snapshot.classes_mark(names), len(names)
        self._path, self._next = folder / "learned", folder / "learned.new"
        self._failing = False
        if self.settings.snapshot:
            try:
                self._next.unlink(missing_ok=True)  # a kill came in the middle of it
            except OSError as bad:
                raise OptionError(f"RELAY_STATE: {bad}") from None
            self._load()

    def _load(self) -> None:
        """Danger: a file of another's making, of another version, or torn. Nothing of it is used then."""
        try:
            if self._path.stat().st_size > self.settings.snapshot_mb * 1e6 + 512:
                raise snapshot.SnapshotError("longer than snapshot_mb")
            data = self._path.read_bytes()
            rows = list(snapshot.read(data, self._mark, self._classes, self._clock(), self._unix_time()))
            for destination, packed in rows:
                self.sleeper.store.put(destination, packed)
        except FileNotFoundError:
            return
        except (OSError, ValueError) as bad:
            log.warning("what was learned is not used: %s: %s", self._path.name, log_line(bad))
            return
        log.info("what was learned of %d destinations is known again", len(rows))

    async def run(self, pause: Callable, awake: Callable[[], list[tuple[int, object]]]) -> None:
        """Write a snapshot now and then, for as long as the process runs."""
        while self.settings.snapshot:
            await pause(self.settings.snapshot_s)
            for piece in self._write(awake()):
                if piece is None:
                    break
                await asyncio.sleep(0)

    def _write(self, awake: list[tuple[int, object]]) -> Iterator[int | None]:
        """One snapshot, a slice at a time; None where it cannot be written. The file before stays until the end."""
        now, store = self._clock(), self.sleeper.store

        def rows() -> Iterator[tuple[int, bytes]]:
            """Those awake first: what does not fit any more is the longest asleep."""
            room = int(self.settings.snapshot_mb * 1e6)
            packed = ((number, pack(self.sleeper.facts(now, dest))) for number, dest in awake)
            for destination, data in chain(packed, store.items()):
                room -= len(data) + snapshot.ROW.size
                if room < 0:
                    return
                yield destination, data

        try:
            with open(self._next, "wb", buffering=0) as file:
                for piece in snapshot.write(rows(), self._mark, self._classes, now, self._unix_time()):
                    if file.write(piece) < len(piece):
                        raise OSError("short write")
                    yield len(piece)
            os.replace(self._next, self._path)
        except OSError as bad:
            if not self._failing:
                log.error("what was learned is not written: %s", bad)
            self._failing = True
            self._next.unlink(missing_ok=True)
            yield None
            return
        self._failing = False

    def close(self) -> None:
        """A snapshot that is under way is given up; the one before stays."""
        if self.settings.snapshot:
            self._next.unlink(missing_ok=True)
