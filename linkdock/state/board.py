"""What the two processes of an upgrade tell each other, in a small file that each writes alone and the other reads.

A head of figures, and two rings of facts: what destinations asked to wait, and which servers were stopped or came back.
A reader polls once a tick, which costs one read of 64 bytes; it needs no reply, so that one that hangs or dies holds up
nobody. Times are of the machine's monotonic clock, which both processes read.

Danger: a reader that comes late finds what the rings still hold. Waits are short; the ring of health is apart from
theirs, so that a destination at its limit cannot push out that another is down.
"""

from __future__ import annotations

import contextlib
import os
import struct
from pathlib import Path
from typing import NamedTuple

VERSION = 0x6C64_0001
HEAD = struct.Struct("<IIIIqq")  # version, calls out, open, state; facts in each ring
SLOT = struct.Struct("<qdqB143s")  # serial from 1, a time, destination, length of the name, name
PLACES = 128  # of each ring
WAITS, HEALTH = 0, 1
RINGS = 64  # bytes before the first ring
MOST_NAME = 143
STARTING, TAKING, LEAVING = 0, 1, 2
SUSPECT, HEALTHY = 0, 1  # in the place of a destination, for facts of health, beside twice who saw it


class Fact(NamedTuple):
    """One entry: until when a destination waits, or since when a server is out."""

    ring: int
    time: float
    number: int
    name: str


class Figures(NamedTuple):
    """The head."""

    calls: int
    open: int
    state: int


def _place(ring: int, serial: int) -> int:
    return RINGS + (ring * PLACES + serial % PLACES) * SLOT.size


class Board:
    """The one that this process writes."""

    def __init__(self, path: Path) -> None:
        """Raises OSError."""
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        self._written = [0, 0]
        self._figures = Figures(0, 0, STARTING)
        self._head()

    def _head(self) -> None:
        # A board that cannot be written leaves the other process to itself.
        with contextlib.suppress(OSError):
            os.pwrite(self._file, HEAD.pack(VERSION, *self._figures, *self._written), 0)

    def figures(self, figures: Figures) -> None:
        """Show these figures from now on."""
        if figures != self._figures:
            self._figures = figures
            self._head()

    def put(self, fact: Fact) -> None:
        """The fact first, then the head that counts it."""
        name = fact.name.encode()
        if len(name) > MOST_NAME:
            return
        serial = self._written[fact.ring] + 1
        with contextlib.suppress(OSError):
            os.pwrite(self._file, SLOT.pack(serial, fact.time, fact.number, len(name), name), _place(fact.ring, serial))
        self._written[fact.ring] = serial
        self._head()

    def close(self) -> None:
        """Close the file; whatever is shown afterwards goes nowhere."""
        os.close(self._file)
        self._file = -1  # Danger: the descriptor is soon another's, and figures would be written there


class Reader:
    """Another process's board. One that cannot be read tells nothing."""

    def __init__(self, path: Path) -> None:
        """Raises OSError."""
        self._file = os.open(path, os.O_RDONLY)
        self._seen = [0, 0]
        self.figures = Figures(0, 0, STARTING)

    def news(self) -> list[Fact]:
        """What has been told since the last look, as far as the rings still hold it."""
        facts: list[Fact] = []
        try:
            data = os.pread(self._file, HEAD.size, 0)
            if len(data) < HEAD.size:
                return facts
            version, calls, opened, state, *written = HEAD.unpack(data)
            if version != VERSION:
                return facts
            self.figures = Figures(calls, opened, state)
            for ring, last in enumerate(written):
                first = max(self._seen[ring], last - PLACES) + 1
                self._seen[ring] = max(self._seen[ring], last)
                for serial in range(first, last + 1):
                    slot = os.pread(self._file, SLOT.size, _place(ring, serial))
                    number, time, destination, length, name = SLOT.unpack(slot)
                    if number == serial:  # else it was written over meanwhile
                        facts.append(Fact(ring, time, destination, name[:length].decode()))
        except (OSError, struct.error, UnicodeDecodeError):
            pass
        return facts

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)
