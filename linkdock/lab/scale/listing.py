"""The list of destinations: bytes of a row on the wire, memory of a row, processor time to read one.

The program's own reader and table (`protocol/listing.py`, `discovery.read_rows`, `state/roster.py`); the socket is left
out.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from random import Random

from ...protocol.discovery import PIECE, Staging, read_rows
from ...protocol.listing import ListReader, Rows
from ...state.roster import Roster
from .measuring import Stopwatch, resident
from .rows import Figure

ZONES = [f"zone-{n}" for n in range(10)]
KINDS = ["single", "shared"]
CHANGED = 100  # rows of the change that follows the whole list
AMPLE = 1 << 40  # bytes that the list may take: no bound


def rows(count: int, seed: int) -> Iterator[dict]:
    """Rows as the platform's discovery writes them."""
    random = Random(seed)
    for n in range(count):
        yield {
            "host": f"s-{n:08x}",
            "dial": f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:7{random.randrange(100, 1000)}",
            "site": ZONES[n % len(ZONES)],
            "class": KINDS[0],
            "block": n,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }


def line(count: int, seed: int, whole: bool, version: int) -> Iterator[bytes]:
    """One line of the watch, in the pieces in which the sender reads it."""
    pending = f'{{"seq":{version},"whole":{json.dumps(whole)},"hosts":['.encode()
    for n, row in enumerate(rows(count, seed)):
        pending += (b"," if n else b"") + json.dumps(row, separators=(",", ":")).encode()
        while len(pending) >= PIECE:
            yield pending[:PIECE]
            pending = pending[PIECE:]
    yield pending + b"]}\n"


class Desk:
    """Takes the news as the sender does: changes into the list in force, a whole list in its place."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.roster = Roster()

    def changed(self, servers: list, version: int | None) -> None:
        """Put the rows of a change into the list in force."""
        for server in servers:
            self.roster.put(server)

    def whole(self, roster: Roster, version: int) -> None:
        """Replace the list in force by a whole one."""
        self.roster = roster


def take(desk: Desk, data: Iterator[bytes], watch: Stopwatch) -> int:
    """Read one line into the desk; its bytes. Making the bytes is not counted."""
    reader, staging, size = ListReader(), Staging(desk, AMPLE), 0

    def read(piece: bytes) -> None:
        for part in reader.feed(piece):
            if isinstance(part, Rows):
                staging.rows(read_rows(part.rows, ZONES, KINDS), part.whole)
            else:
                staging.told(part.whole, part.version)

    for piece in data:
        size += len(piece)
        watch.run(read, piece)
    return size


def measure(size: int, seed: int) -> list[Figure]:
    """A whole list, its memory, and a change of a hundred rows.

    Its memory is the table's own count, by which a list is refused; what the process grew by is a figure beside it.
    """
    desk, whole, change = Desk(), Stopwatch(), Stopwatch()
    take(Desk(), line(CHANGED, seed, True, 1), Stopwatch())  # what is made once, by the first list of all
    before = resident()
    bytes_whole = take(desk, line(size, seed, True, 1), whole)
    grown = resident() - before
    memory = desk.roster.size()
    bytes_change = take(desk, line(min(CHANGED, size), seed + 1, False, 2), change)

    return [
        Figure("wire bytes of a whole list", "B", bytes_whole),
        Figure("wire bytes a row", "B", bytes_whole / size),
        Figure("memory of the list", "B", memory),
        Figure("memory a row", "B", memory / size),
        Figure("resident memory that the list added", "B", grown),
        Figure("processor time of a whole list", "s", whole.seconds),
        Figure("wire bytes of a change of 100 rows", "B", bytes_change),
        Figure("processor time of a change of 100 rows", "s", change.seconds),
    ]
