"""What was learned, as bytes that outlast the process: a format with a version and a check sum. No I/O.

    head     magic, version, classes' mark, number of classes, Unix time of writing
    rows     destination, length, packed facts (times as seconds before the writing)
    tail     CRC-32 of all before it

Times inside are written relative to the snapshot: the loop's clock of one life means nothing to the next.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable, Iterator

from ..errors import LinkdockError
from .memory import FIGURES, HEAD, LINK, MOST_AGE

MAGIC = b"lkdrmcy\0"
VERSION = 1
START = struct.Struct("<8sHIHd")
ROW = struct.Struct("<qH")
TAIL = struct.Struct("<I")
SLICE = 100  # rows that one piece holds: well under 2 ms
AHEAD = 5.0  # seconds that a snapshot's time may lie in the future: clocks are set
MOST_ROW = 16 * 1024


class SnapshotError(LinkdockError, ValueError):
    """A snapshot that must not be used; the text says why."""

    code = "LD-SNAPSHOT"
    what = "the snapshot of what was learned must not be used; the sender starts without"
    remedy = "Nothing need be done: a new one is written; if it comes at each start, look at the disk and the clock"


def classes_mark(names: Iterable[str]) -> int:
    """Figures by class mean nothing under other classes."""
    return zlib.crc32("\0".join(names).encode())


def _shift(data: bytes, classes: int, by: float) -> bytes:
    """Packed facts with their times moved by so many seconds."""
    moved = bytearray(data)
    at, came, lost = HEAD.unpack_from(data)
    HEAD.pack_into(moved, 0, at + by, came, lost)
    place = HEAD.size
    while place + LINK.size <= len(data):
        fields = list(LINK.unpack_from(data, place))
        if fields[2]:
            fields[2] += by
        LINK.pack_into(moved, place, *fields)
        place += LINK.size + classes * FIGURES.size
    return bytes(moved)


def write(rows: Iterable[tuple[int, bytes]], mark: int, classes: int, now: float, unix: float) -> Iterator[bytes]:
    """The snapshot in pieces. `now` is on the clock of the facts, `unix` the time of day."""
    check, piece = 0, [START.pack(MAGIC, VERSION, mark, classes, unix)]
    for destination, data in rows:
        moved = _shift(data, classes, -now)
        piece.append(ROW.pack(destination, len(moved)) + moved)
        if len(piece) >= SLICE:
            done = b"".join(piece)
            check, piece = zlib.crc32(done, check), []
            yield done
    done = b"".join(piece)
    yield done + TAIL.pack(zlib.crc32(done, check))


def read(data: bytes, mark: int, classes: int, now: float, unix: float) -> Iterator[tuple[int, bytes]]:
    """The rows, with times on this life's clock. Raises SnapshotError before the first for one that is not whole."""
    if len(data) < START.size + TAIL.size:
        raise SnapshotError("torn: it is too short")
    magic, version, told, count_of, written = START.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError("no snapshot of ours")
    if version != VERSION:
        raise SnapshotError(f"version {version}, and only {VERSION} can be read")
    if zlib.crc32(data[: -TAIL.size]) != TAIL.unpack_from(data, len(data) - TAIL.size)[0]:
        raise SnapshotError("torn: its check sum is wrong")
    if told != mark or count_of != classes:
        raise SnapshotError("written under other classes")
    if written > unix + AHEAD:
        raise SnapshotError(f"written {written - unix:.0f} s in the future: a clock was set")
    if unix - written > MOST_AGE:
        raise SnapshotError(f"{(unix - written) / 86400:.1f} days old")
    return _rows(data, classes, now - max(0.0, unix - written))


def _rows(data: bytes, classes: int, by: float) -> Iterator[tuple[int, bytes]]:
    place, end = START.size, len(data) - TAIL.size
    while place < end:
        if place + ROW.size > end:
            raise SnapshotError("a row does not fit")
        destination, length = ROW.unpack_from(data, place)
        place += ROW.size
        if length > MOST_ROW or place + length > end:
            raise SnapshotError("a row does not fit")
        yield destination, _shift(data[place : place + length], classes, by)
        place += length
