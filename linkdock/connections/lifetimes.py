"""How likely a kept connection is dead by its idle age, learned from real calls alone. No I/O, no clock.

A server, or something on the way, may drop idle connections sooner than it said, and say nothing: that shows at the
next call alone, which is reset. So an observation is the age at which a connection was used and whether it was
alive: of each death only "before that age" is known (current status data), and its maximum likelihood estimate is the
isotonic regression of the share of the dead over age, by pooling adjacent violators.

Danger: resets that have nothing to do with idleness. New connections are reset as well then, and opening one in
place of an old one gains nothing: what counts is the risk beyond that of a new connection.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from math import exp

EDGES = (
    0.1,
    0.2,
    0.3,
    0.4,
    0.5,
    0.6,
    0.7,
    0.8,
    0.9,
    1.0,
    1.2,
    1.4,
    1.6,
    1.8,
    2.0,
    2.3,
    2.6,
    3.0,
    3.5,
    4.0,
    4.5,
    5.0,
    7.0,
    10.0,
    20.0,
    60.0,
)
USES = (2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 512, 1024)  # calls that it has carried
MEMORY = 240.0  # seconds in which what was seen loses weight e-fold
PRIOR = 3.0  # uses that the kind's figures weigh at most, at each age
MOST = 4096  # servers that something is known of; the one known the longest goes first
TRIED = 0.4  # uses, grown old, below which an age counts as not tried
OUTDATED = 8  # uses of its kind after which a server's risks are worked out anew
BASE, BASE_USES = 0.002, 1.0  # risk before anything was seen, and its weight


class Uses:
    """Uses and deaths by idle age, growing old."""

    __slots__ = ("uses", "dead", "at")

    def __init__(self, places: int) -> None:
        """`places` counts, all zero."""
        self.uses = array("f", bytes(4 * places))  # the first: of new connections
        self.dead = array("f", bytes(4 * places))
        self.at = 0.0

    def add(self, now: float, n: int, alive: bool) -> None:
        """Count one use in place `n`; earlier ones weigh less the longer ago they were."""
        if now > self.at:
            part = exp(-(now - self.at) / MEMORY)
            for i in range(len(self.uses)):
                self.uses[i] *= part
                self.dead[i] *= part
            self.at = now
        self.uses[n] += 1
        self.dead[n] += not alive


def rising(shares: list[float], weights: list[float]) -> list[float]:
    """The closest rising sequence, by pooling adjacent violators."""
    blocks: list[list[float]] = []  # share, weight, length
    for share, weight in zip(shares, weights, strict=True):
        blocks.append([share, weight, 1])
        while len(blocks) > 1 and blocks[-2][0] > blocks[-1][0]:
            last, before = blocks.pop(), blocks[-1]
            total = before[1] + last[1]
            before[0] = (before[0] * before[1] + last[0] * last[1]) / total
            before[1], before[2] = total, before[2] + last[2]
    return [share for share, _, length in blocks for _ in range(int(length))]


class Lifetimes:
    """What is known of each server, with its kind as the prior. Bounded: `forget` takes servers out.

    `edges` part the ages, in seconds or in calls carried.
    """

    def __init__(self, edges: tuple[float, ...] = EDGES) -> None:
        """`edges` divide the ages, or numbers of uses, that are counted apart."""
        self._edges, self._places = edges, len(edges) + 2
        self._servers: dict[str, Uses] = {}
        self._kinds: dict[int, Uses] = {}
        self._news: dict[int, int] = {}  # uses of each kind so far
        self._risks: dict[str, tuple[int, list[float]]] = {}  # worked out when its kind had so many

    def __len__(self) -> int:
        """Servers of which something is known."""
        return len(self._servers)

    def _place(self, age: float) -> int:
        """Which of the counts an age belongs to."""
        return 0 if age < 0 else 1 + bisect_right(self._edges, age)

    def used(self, now: float, server: str, kind: int, age: float, alive: bool) -> None:
        """A connection was used after so long idle (FRESH: a new one), and was found alive or not."""
        if server not in self._servers and len(self._servers) >= MOST:
            self.forget(next(iter(self._servers)))
        n = self._place(age)
        for counts, key in ((self._servers, server), (self._kinds, kind)):
            if key not in counts:
                counts[key] = Uses(self._places)
            counts[key].add(now, n, alive)
        self._news[kind] = self._news.get(kind, 0) + 1
        known = self._risks.get(server)
        if known is not None and not (alive and known[1][-1] < BASE):  # else nothing that it could change
            del self._risks[server]

    def forget(self, server: str) -> None:
        """Nothing is known of it any more."""
        self._servers.pop(server, None)
        self._risks.pop(server, None)

    def risk(self, server: str, kind: int, age: float) -> float:
        """The share of connections of that idle age that are dead, beyond that of new ones."""
        known, news = self._risks.get(server), self._news.get(kind, 0)
        if known is None or news - known[0] >= OUTDATED:
            known = self._risks[server] = news, self._work_out(server, kind)
        return known[1][self._place(age) - 1]

    def untried(self, server: str, age: float) -> bool:
        """Whether that server has shown nothing lately at that age or beyond, and has not failed below it."""
        own = self._servers.get(server)
        if own is None:
            return True
        n = self._place(age)
        return sum(own.uses[n:]) < TRIED and sum(own.dead[1:n]) < TRIED

    def _work_out(self, server: str, kind: int) -> list[float]:
        own, shared = self._servers.get(server), self._kinds.get(kind)
        shares, weights, outlived = [], [], 0.0
        for n in reversed(range(self._places)):
            uses, dead = BASE_USES, BASE * BASE_USES
            if own is not None:
                outlived += own.uses[n] - own.dead[n]  # it was alive at that age or a greater one
            if shared is not None and shared.uses[n] > 0:
                weight = min(PRIOR, shared.uses[n]) / (1 + outlived) ** 2  # soon it says more than its kind
                uses, dead = uses + weight, dead + weight * shared.dead[n] / shared.uses[n]
            if own is not None:
                uses, dead = uses + own.uses[n], dead + own.dead[n]
            shares.insert(0, dead / uses)
            weights.insert(0, uses)
        fresh, *aged = shares
        return [max(0.0, share - fresh) for share in rising(aged, weights[1:])]
