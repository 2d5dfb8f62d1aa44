"""What addresses have done: a bounded memory that a flood of changing addresses cannot fill. No I/O, no clock.

An address earns by messages that were taken on and loses by connections that were of no use. Danger: addresses cost a
flood nothing, and a table of all of them would push out the few that matter. So an address enters the table only by a
message that was taken on, or once a count-min sketch, in which all of them share a fixed room, has seen it misbehave
often enough; and among those in the table known ones leave last.

Danger: a front that hands all clients' connections in from one address. Some of them misbehave always; what counts is
what they bring in sum, so that its address is known as long as a good part of it is of use.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from ipaddress import ip_address
from math import exp

KNOWN, NEW, BAD = "known", "new", "bad"
ROWS, COLUMNS = 4, 2048  # of the sketch
HALVE_S = 60.0  # seconds after which the sketch counts half
USEFUL_PART = 0.2  # of what an address does that must be of use, or it is not known
BAD_FROM = 8.0  # useless connections beyond which an address without use is bad


def key_of(address: str) -> str:
    """What conduct is kept by: an IPv4 address, or the first 64 bits of an IPv6 one, which one host has to itself."""
    if ":" not in address:
        return address
    try:
        whole = ip_address(address.partition("%")[0])
    except ValueError:
        return address
    mapped = whole.ipv4_mapped
    return str(mapped) if mapped is not None else f"{ip_address(int(whole) >> 64 << 64)}/64"


class Sketch:
    """Count-min: never too low, too high by little where few collide."""

    def __init__(self) -> None:
        self._rows = [[0.0] * COLUMNS for _ in range(ROWS)]
        self._at = 0.0

    def add(self, now: float, key: str, weight: float) -> float:
        """Count it, and what it counts now."""
        if now - self._at >= HALVE_S:
            part = 0.5 ** ((now - self._at) // HALVE_S)
            self._rows = [[value * part for value in row] for row in self._rows]
            self._at = now
        least = None
        for n, row in enumerate(self._rows):
            at = hash((n, key)) % COLUMNS  # keyed by the interpreter's secret, so that collisions cannot be chosen
            row[at] += weight
            least = row[at] if least is None else min(least, row[at])
        return least


class Entry:
    """What one address did, growing old."""

    __slots__ = ("good", "bad", "at")

    def __init__(self, now: float) -> None:
        self.good = self.bad = 0.0
        self.at = now


class Conduct:
    """Owner of the table and the sketch."""

    def __init__(self, most: int, known_after: float, memory_s: float) -> None:
        self._most, self._known_after, self._memory = most, known_after, memory_s
        self._useful: OrderedDict[str, Entry] = OrderedDict()  # that ever had a message taken on, the last used last
        self._useless: OrderedDict[str, Entry] = OrderedDict()
        self._sketch = Sketch()

    def __len__(self) -> int:
        return len(self._useful) + len(self._useless)

    def _fade(self, now: float, entry: Entry) -> Entry:
        if now > entry.at:
            part = exp(-(now - entry.at) / self._memory)
            entry.good, entry.bad, entry.at = entry.good * part, entry.bad * part, now
        return entry

    def good(self, now: float, key: str, weight: float = 1.0) -> None:
        """A message of it was taken on."""
        entry = self._useful.get(key)
        if entry is None:
            entry = self._useful[key] = self._useless.pop(key, None) or Entry(now)
            if len(self._useful) > self._most:
                self._useful.popitem(last=False)
        self._fade(now, entry).good += weight
        self._useful.move_to_end(key)
        self._bound()

    def bad(self, now: float, key: str, weight: float = 1.0) -> None:
        """A connection of it was of no use: silent, half a command, errors, a reset."""
        entry = self._useful.get(key) or self._useless.get(key)
        if entry is None:
            seen = self._sketch.add(now, key, weight)
            if seen < BAD_FROM / 2:
                return
            entry = self._useless[key] = Entry(now)
            entry.bad = seen - weight
        self._fade(now, entry).bad += weight
        if key in self._useless:
            self._useless.move_to_end(key)
        self._bound()

    def _bound(self) -> None:
        while len(self) > self._most:
            self._useless.popitem(last=False)

    def standing(self, now: float, key: str) -> str:
        entry = self._useful.get(key) or self._useless.get(key)
        if entry is None:
            return NEW
        self._fade(now, entry)
        if entry.good >= self._known_after and entry.good >= USEFUL_PART * (entry.good + entry.bad):
            return KNOWN
        useless = entry.bad >= BAD_FROM and entry.good < USEFUL_PART * (entry.good + entry.bad)
        return BAD if useless else NEW

    def known(self, now: float) -> Iterator[tuple[str, float, float]]:
        """What outlasts a restart: each known address, and what it did."""
        for key, entry in self._useful.items():
            if self.standing(now, key) == KNOWN:
                yield key, entry.good, entry.bad

    def restore(self, now: float, key: str, good: float, bad: float) -> None:
        entry = self._useful[key] = Entry(now)
        entry.good, entry.bad = good, bad
        if len(self._useful) > self._most:
            self._useful.popitem(last=False)
