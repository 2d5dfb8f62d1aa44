"""What was learned of a destination, packed: one short run of bytes each, with its age.

Danger: a fact that is remembered too well. A limit learned at 40 calls a second may be 3 by now, a partner that
answered may be cold. Every fact here has an age and loses trust with it; nothing is a promise.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from math import exp, inf, isfinite

TRUST_TIME = 600.0  # seconds in which trust falls e-fold
LEAST_TRUST = 0.02  # below it nothing is given but a told wait and a suspicion
MOST_AGE = 7 * 86400.0  # seconds after which even a suspicion is forgotten: the usual care of a first call stays

HEAD = struct.Struct("<dff")  # when it fell asleep, messages that came, share of time-outs
LINK = struct.Struct("<IBdfeeee")  # check sum of its name, stopped, wait until, failing for, limit in parts,
#                                         part, round trip, share of failures
FIGURES = struct.Struct("<eee")  # x, p, p95 of one class
MOST_HALF = 60_000.0  # the largest that a half-precision number holds, nearly
MOST_LINKS = 64  # hosts of one destination that something is kept of
LIMIT_UNIT = 0.05  # calls a second; limits up to 3,000 keep three digits


@dataclass(slots=True)
class LinkFacts:
    """Of one host. Times are on the caller's clock; `estimates` are (x, p, p95) by class, zeros for none."""

    stopped: bool
    wait_until: float
    since: float
    limit: float
    part: float
    round_trip: float
    bad: float
    estimates: list[tuple[float, float, float]]


@dataclass(slots=True)
class Facts:
    """Of one destination, by the names of its hosts; `trust` from 1 to 0 is how much of it still counts."""

    at: float
    came: float
    lost: float
    links: dict[str, LinkFacts]
    trust: float = 1.0


def mark(host: object) -> int:
    return zlib.crc32(str(host).encode())


def _half(value: float) -> float:
    return min(max(value, 0.0), MOST_HALF) if isfinite(value) else 0.0


def pack(facts: Facts) -> bytes:
    parts = [HEAD.pack(facts.at, facts.came, facts.lost)]
    for host, link in islice(facts.links.items(), MOST_LINKS):
        wait = link.wait_until if isfinite(link.wait_until) else 0.0
        failing = max(0.0, facts.at - link.since) if isfinite(link.since) else 0.0
        parts.append(
            LINK.pack(
                mark(host),
                link.stopped,
                wait,
                failing,
                _half(link.limit / LIMIT_UNIT),
                _half(link.part),
                _half(link.round_trip),
                _half(link.bad),
            )
        )
        parts += [FIGURES.pack(*map(_half, three)) for three in link.estimates]
    return b"".join(parts)


def size_of(links: int, classes: int) -> int:
    return HEAD.size + links * (LINK.size + classes * FIGURES.size)


def unpack(data: bytes, classes: int) -> tuple[Facts, dict[int, LinkFacts]]:
    """The facts with their links by mark. Raises ValueError for bytes that `pack` cannot have made."""
    each = LINK.size + classes * FIGURES.size
    if len(data) < HEAD.size or (len(data) - HEAD.size) % each:
        raise ValueError(f"{len(data)} bytes are no memory of {classes} classes")
    at, came, lost = HEAD.unpack_from(data)
    links, place = {}, HEAD.size
    while place < len(data):
        which, stopped, wait, failing, limit, part, trip, bad = LINK.unpack_from(data, place)
        place += LINK.size
        estimates = [FIGURES.unpack_from(data, place + n * FIGURES.size) for n in range(classes)]
        place += classes * FIGURES.size
        numbers = (at, came, lost, wait, failing, limit, part, trip, bad, *(f for e in estimates for f in e))
        if not all(map(isfinite, numbers)) or stopped > 1:
            raise ValueError("a figure that is no number")
        links[which] = LinkFacts(
            bool(stopped), wait or -inf, at - failing, limit * LIMIT_UNIT, part, trip, bad, estimates
        )
    return Facts(at, came, lost, {}), links


def trust(age: float) -> float:
    """How much of what was learned so long ago still counts."""
    return exp(-max(age, 0.0) / TRUST_TIME)


class Store:
    """Owner of the packed facts, by destination. Bounded by `most`; the longest asleep goes first."""

    def __init__(self, classes: int, most: int) -> None:
        self.classes, self.most = classes, most
        self._kept: dict[int, bytes] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def keep(self, destination: int, facts: Facts) -> None:
        self._kept.pop(destination, None)
        while len(self._kept) >= self.most:
            del self._kept[next(iter(self._kept))]
        self._kept[destination] = pack(facts)

    def take(self, now: float, destination: int) -> tuple[Facts, dict[int, LinkFacts]] | None:
        """What is known of one that wakes, with its trust; it is kept here no longer."""
        data = self._kept.pop(destination, None)
        if data is None:
            return None
        facts, links = unpack(data, self.classes)
        age = now - facts.at
        if age > MOST_AGE:
            return None
        facts.trust = trust(age)
        return facts, links

    def items(self) -> Iterator[tuple[int, bytes]]:
        """All that is kept, the latest asleep first; it may change meanwhile."""
        for destination in reversed(list(self._kept)):
            data = self._kept.get(destination)
            if data is not None:
                yield destination, data

    def put(self, destination: int, data: bytes) -> None:
        """Take in what an earlier life packed. Raises ValueError if it cannot be read."""
        unpack(data, self.classes)
        if len(self._kept) < self.most and destination not in self._kept:
            self._kept[destination] = data
