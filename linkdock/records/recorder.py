"""Writes events as JSON lines, behind the sender's back: noted at once, rendered and written a little later.

`note` only keeps its arguments. A slice of what is held is rendered by structlog and appended on the loop's next
free turns, so that no answer, dispatch or notice waits for it; what a kill cuts off is at most the last `DELAY`.
"""

from __future__ import annotations

import json
import logging
import os
import secrets
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

import structlog

from . import events
from .settings import RecordsSettings

log = logging.getLogger(__name__)

DELAY = 0.02  # seconds from an event to its line, at most while the loop has turns to give
SLICE = 100  # events a turn: some 2 ms
AGAIN = 1.0  # seconds after a failed write until the next


class _Sink:
    """What structlog's wrapper hands its lines to."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def msg(self, line: str) -> None:
        self.lines.append(line.encode() + b"\n")


class Parts:
    """Owner of the file and its older parts, `file.1` the youngest of them; together within `most` bytes."""

    def __init__(self, path: Path, most: int, count: int) -> None:
        """Write to `path` and its older parts: `count` files and `most` bytes together."""
        self._path, self._count, self._most_part = path, count, most // count
        self.heading: Callable[[], bytes] = bytes  # begins each part, so that it can be read by itself
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self._size = os.fstat(self._file).st_size
        if self._size and os.pread(self._file, 1, self._size - 1) != b"\n":
            # Danger: a line torn by a kill would take this life's first one with it.
            self._size += os.write(self._file, b"\n")
        self._written = 0  # lines of the append that is under way

    def append(self, lines: list[bytes]) -> tuple[int, OSError | None]:
        """Append whole lines: how many are not in the file, and why not."""
        lost, chunk, size = 0, [], 0
        try:
            for line in lines:
                if len(line) > self._most_part // 2:
                    lost += 1  # it would leave no room for others
                    continue
                if self._size + size + len(line) > self._most_part:
                    done, chunk, size = chunk, [line], len(line)
                    self._write(done)
                    self._turn()
                else:
                    chunk.append(line)
                    size += len(line)
            self._write(chunk)
        except OSError as bad:
            return lost + len(lines) - self._written, bad
        finally:
            self._written = 0
        return lost, None

    def _write(self, chunk: list[bytes]) -> None:
        data = b"".join(chunk)
        written = os.write(self._file, data)
        if written < len(data):
            # Danger: a full disk. A torn line would run into the next one.
            os.ftruncate(self._file, self._size)
            raise OSError("short write")
        self._size += written
        self._written += len(chunk)

    def _turn(self) -> None:
        for n in range(self._count - 1, 0, -1):
            older = self._path.with_name(f"{self._path.name}.{n}")
            newer = self._path.with_name(f"{self._path.name}.{n - 1}") if n > 1 else self._path
            if newer.exists():
                os.replace(newer, older)
        os.close(self._file)
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self._size = os.write(self._file, self.heading())

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)


class StandardError:
    """For a laboratory that keeps the log: lines among the log's."""

    heading = staticmethod(bytes)

    def append(self, lines: list[bytes]) -> tuple[int, OSError | None]:
        """Write all lines; how many were lost, and why."""
        data = b"".join(lines)
        while data:
            data = data[os.write(2, data) :]
        return 0, None

    def close(self) -> None:
        """Nothing to close: the process's own descriptor stays open."""


class Recorder:
    """Owner of the events not written yet and of their file. One for each process."""

    def __init__(
        self,
        settings: RecordsSettings,
        state: Path,
        clock: Callable[[], float],
        later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        """Keep `settings.most_held` events at most until they are written by `later`."""
        self._clock, self._later, self._most = clock, later, settings.most_held
        self._held: deque[tuple[float, float, str, dict]] = deque()
        self._waiting = False
        self._lost, self._seq, self._failing = 0, 0, False
        self._life = secrets.token_hex(4)
        self._out = (
            StandardError()
            if settings.file == "-"
            else Parts(state / settings.file, int(settings.most_mb * 1e6), settings.parts)
        )
        self._sink = _Sink()
        self._log = structlog.wrap_logger(
            self._sink,
            processors=[structlog.processors.JSONRenderer(json.dumps, separators=(",", ":"))],
            wrapper_class=structlog.BoundLogger,
        )

    def begin(self, facts: dict) -> None:
        """A life begins: `facts` head this file and every later part of it."""
        self.note(events.STARTED, **facts, part=False)
        self._out.heading = lambda: self._heading(facts)

    def _heading(self, facts: dict) -> bytes:
        lines, self._sink.lines = self._sink.lines, []
        self._render(self._clock(), time.time(), events.STARTED, {**facts, "part": True}, counted=False)
        head, self._sink.lines = self._sink.lines, lines
        return head[0]

    def note(self, event: str, **fields: object) -> None:
        """Keep one event; its fields must be plain values that nobody changes."""
        if len(self._held) >= self._most:
            self._lost += 1
            return
        self._held.append((self._clock(), time.time(), event, fields))
        if not self._waiting:
            self._waiting = True
            self._later(DELAY, self._write)

    def _render(self, mono: float, unix: float, event: str, fields: dict, counted: bool = True) -> None:
        self._seq += counted
        self._log.msg(
            event, seq=self._seq if counted else 0, life=self._life, mono=round(mono, 4), unix=round(unix, 4), **fields
        )

    def _write(self) -> None:
        """Render and append one slice; go on at the loop's next turn if there is more."""
        self._waiting = False
        pause = DELAY if self._slice() else AGAIN
        if self._held:
            self._waiting = True
            self._later(0.0 if pause == DELAY else pause, self._write)

    def _slice(self) -> bool:
        """Danger: a disk that is full or gone. Records are lost then, and counted; the sender goes on."""
        if self._lost:
            lost, self._lost = self._lost, 0
            self._render(self._clock(), time.time(), events.GAP, {"lost": lost})
        count = min(SLICE, len(self._held))
        for _ in range(count):
            self._render(*self._held.popleft())
        lines, self._sink.lines = self._sink.lines, []
        lost, bad = self._out.append(lines)
        self._lost += lost
        if bad is not None and not self._failing:
            log.error("records: not written: %s", bad)
        if bad is None and self._failing:
            log.info("records: written again")
        self._failing = bad is not None
        return bad is None

    def close(self) -> None:
        """Write what is held, as far as the disk takes it."""
        while self._held and self._slice():
            pass
        self._out.close()
