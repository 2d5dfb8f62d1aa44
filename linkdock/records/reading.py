"""Reads record files: whole lines that are ours as events, in the order of their lives; the rest is counted.

Danger: a file may be torn by a kill, cut by a full disk, mixed with a log, or no record at all. A line that cannot be
read is named by file and line and passed over; nothing in it is trusted.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import msgspec

from ..errors import LinkdockError
from .events import FORMAT, STARTED

MOST_LINE = 1 << 20  # bytes; a longer one is no event of ours
MOST_NAMED = 20  # lines that could not be read and are named one by one


class ReadError(LinkdockError, ValueError):
    """A file that cannot be opened."""

    code = "LD-RECORDS-READ"
    what = "a record file cannot be opened or read"
    remedy = "Name files that are there and that you may read; `file` in records.json says where they are written"


class Place(NamedTuple):
    """A line of a file, both as an operator names them."""

    file: str
    line: int

    def __str__(self) -> str:
        """The form in which editors find a line: `file:line`."""
        return f"{self.file}:{self.line}"


class Event(NamedTuple):
    """One line. `fields` holds what the event has besides the common ones."""

    place: Place
    name: str
    life: str
    seq: int
    mono: float
    unix: float
    fields: dict


@dataclass
class Passed:
    """What was passed over: how many lines, and the first of them with the reason."""

    count: int = 0
    named: list[str] = field(default_factory=list)

    def add(self, place: Place, why: str) -> None:
        """Count a line that was passed over; the first few are named with the reason."""
        self.count += 1
        if len(self.named) < MOST_NAMED:
            self.named.append(f"{place}: {why}")


class _Line(msgspec.Struct):
    event: str
    life: str
    seq: int
    mono: float
    unix: float


_DECODE = msgspec.json.Decoder(_Line)


def _event(raw: bytes, place: Place) -> Event:
    """Raises ValueError for a line that is no event."""
    head = _DECODE.decode(raw)
    fields = msgspec.json.decode(raw)
    for name in ("event", "life", "seq", "mono", "unix"):
        del fields[name]
    if head.event == STARTED and fields.get("format") != FORMAT:
        raise ValueError(f"format {fields.get('format')!r}, and only {FORMAT} can be read")
    return Event(place, head.event, head.life, head.seq, head.mono, head.unix, fields)


def lines(path: Path, passed: Passed) -> Iterator[Event]:
    """The events of one file, in its order."""
    try:
        file = open(path, "rb")
    except OSError as bad:
        raise ReadError(f"{path}: {bad.strerror}") from None
    with file:
        number, long = 0, False
        while True:
            try:
                raw = file.readline(MOST_LINE)
            except OSError as bad:
                raise ReadError(f"{path}: {bad.strerror}") from None
            if not raw:
                return
            whole = raw.endswith(b"\n")
            if long:
                long = not whole  # the rest of a line that was passed over
                continue
            number += 1
            place = Place(str(path), number)
            if not whole and len(raw) >= MOST_LINE:
                long = True
                passed.add(place, "a line without end")
                continue
            if not raw.strip():
                continue
            try:
                yield _event(raw, place)
            except (ValueError, RecursionError, msgspec.MsgspecError) as bad:
                passed.add(place, f"torn: {bad}" if not whole else f"no record: {bad}")


def read(paths: list[Path], passed: Passed) -> Iterator[Event]:
    """The events of several files: parts of one record, lives of one sender, or several senders.

    Files are taken in the order of their first events, and each in its own order: within one life that is the
    order of `seq`. Only one line at a time is held.
    """
    firsts: list[tuple[float, int, Path]] = []
    for path in paths:
        first = next(lines(path, Passed()), None)
        firsts.append((first.unix, first.seq, path) if first else (float("inf"), 0, path))
    for _, _, path in sorted(firsts, key=lambda f: f[:2]):
        yield from lines(path, passed)
