"""What one process sees by destination and zone, and its demand: kept bounded, ageing, told as a small report.

Times are seconds of the process's own monotonic clock; a report holds ages and rates only, never times.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, inf

import msgspec

AGE = 1.5  # seconds in which what was seen of calls counts for e-fold less
DEMAND_AGE = 5.0  # and what came in
FORGET = 60.0  # seconds after which a told limit, or a cell without news, is not told any more
MOST_KEPT = 4096  # cells, and destinations with a demand
MOST_TOLD = 256  # of each in one report: the troubled first, then the busy
FEW_MEMBERS = 0.5  # share of the members seen, below which a process holds itself to be cut off
FAILS = 2  # failures on end from which a process says that a zone fails
SOME = 0.3  # aged calls below which a cell says nothing

GOOD, BAD, REFUSED = "good", "bad", "refused"


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """One destination's backend servers in one zone, as one process sees them.

    `good`, `bad` and `refused` are aged counts of calls; `fails` those on end; `silent` the seconds since the last
    answer (-1: none yet); `limit` the messages a second that the zone's servers told they take (0: not told); `wait`
    the seconds for which they still asked for quiet.
    """

    destination: int
    zone: int
    good: float
    bad: float
    refused: float
    fails: int
    silent: float
    limit: float = 0.0
    wait: float = 0.0

    def verdict(self) -> int:
        """1: it serves, -1: it fails, 0: nothing can be said. A refusal is an answer, and no failure."""
        answered, calls = self.good + self.refused, self.good + self.bad + self.refused
        if calls < SOME:
            return 0
        if self.fails >= FAILS and self.bad >= 0.5 * calls:
            return -1
        return 1 if self.fails == 0 and answered >= 0.7 * calls else 0


class Report(msgspec.Struct, frozen=True, array_like=True):
    """One process's word. `number` rises; `cut` says that the process holds itself to be cut off.

    `demand` has, by destination, the messages a second that came in at this process, and how many wait there.
    """

    observer: str
    zone: int
    number: int
    cut: bool
    members: float
    demand: tuple[tuple[int, float, int], ...] = ()
    cells: tuple[Cell, ...] = ()


def encode(report: Report) -> bytes:
    """The report as bytes, which `decode` reads."""
    return msgspec.msgpack.encode(report)


def decode(data: bytes) -> Report | None:
    """A report from a peer's bytes; None for bytes that are none, or that hold more than one may."""
    try:
        report = msgspec.msgpack.decode(data, type=Report)
    except msgspec.MsgspecError:
        return None
    numbers = [report.members, *(n for _, *pair in report.demand for n in pair)]
    numbers += [n for c in report.cells for n in (c.good, c.bad, c.refused, c.limit, c.wait)]
    fits = len(report.cells) <= MOST_TOLD and len(report.demand) <= MOST_TOLD
    return report if fits and all(0 <= n < 1e9 for n in numbers) else None


@dataclass(slots=True)
class _Cell:
    at: float
    good: float = 0.0
    bad: float = 0.0
    refused: float = 0.0
    fails: int = 0
    answered_at: float = -inf
    limit: float = 0.0
    limit_at: float = -inf
    wait_until: float = -inf

    def age(self, now: float, over: float = AGE) -> None:
        part = exp(-max(0.0, now - self.at) / over)
        self.good, self.bad, self.refused, self.at = self.good * part, self.bad * part, self.refused * part, now


class Observer:
    """One process's own sight. `now` never goes back."""

    def __init__(self, name: str, zone: int) -> None:
        """An observer for the process `name` in `zone`, without any outcome yet."""
        self.name, self.zone, self._number = name, zone, 0
        self._cells: dict[tuple[int, int], _Cell] = {}  # the longest without news first
        self._demand: dict[int, list[float]] = {}  # rate, and as of when

    def came(self, now: float, destination: int, messages: float = 1.0) -> None:
        """Messages were handed in."""
        rate, at = self._demand.pop(destination, (0.0, now))
        rate = rate * exp(-max(0.0, now - at) / DEMAND_AGE) + messages / DEMAND_AGE
        self._demand[destination] = [rate, now]
        while len(self._demand) > MOST_KEPT:
            del self._demand[next(iter(self._demand))]

    def ended(self, now: float, destination: int, zone: int, how: str, limit: float = 0.0, wait: float = 0.0) -> None:
        """A call or a trial ended: GOOD, BAD (no answer, or none in time) or REFUSED; with what was told."""
        cell = self._cells.pop((destination, zone), None) or _Cell(now)
        self._cells[destination, zone] = cell
        cell.age(now)
        if how == BAD:
            cell.bad += 1
            cell.fails += 1
        else:
            cell.good += how == GOOD
            cell.refused += how == REFUSED
            cell.fails, cell.answered_at = 0, now
        if limit > 0:
            cell.limit, cell.limit_at = limit, now
        cell.wait_until = max(cell.wait_until, now + wait)
        while len(self._cells) > MOST_KEPT:
            del self._cells[next(iter(self._cells))]

    def demand(self, now: float, destination: int) -> float:
        """Messages a second that come in for it here."""
        rate, at = self._demand.get(destination, (0.0, now))
        return rate * exp(-max(0.0, now - at) / DEMAND_AGE)

    def report(self, now: float, members: float = 1.0, waiting: Mapping[int, int] | None = None) -> Report:
        """What to tell the others; `members` is the share of the fleet's other processes that the membership sees.

        `waiting` has how many messages wait here, by destination.
        """
        waits = waiting or {}
        self._number += 1
        cells = []
        for (destination, zone), cell in self._cells.items():
            if now - cell.at > FORGET:
                continue
            part = exp(-max(0.0, now - cell.at) / AGE)
            silent = now - cell.answered_at if cell.answered_at > -inf else -1.0
            limit = cell.limit if now - cell.limit_at <= FORGET else 0.0
            cells.append(
                Cell(
                    destination,
                    zone,
                    round(cell.good * part, 2),
                    round(cell.bad * part, 2),
                    round(cell.refused * part, 2),
                    cell.fails,
                    round(silent, 2),
                    round(limit, 2),
                    round(max(0.0, cell.wait_until - now), 2),
                )
            )
        told = sorted(cells, key=lambda c: (-c.fails, -(c.good + c.bad + c.refused), c.destination, c.zone))
        demand = [
            (d, round(self.demand(now, d), 2), waits.get(d, 0))
            for d, (_, at) in self._demand.items()
            if now - at <= FORGET
        ]
        demand.sort(key=lambda pair: (-pair[1], pair[0]))
        return Report(
            self.name,
            self.zone,
            self._number,
            cut_off(cells, members),
            round(members, 2),
            tuple(demand[:MOST_TOLD]),
            tuple(told[:MOST_TOLD]),
        )


def cut_off(cells: list[Cell], members: float) -> bool:
    """Whether who sees this is likely cut off itself: all zones fail it at most destinations, or few members are seen.

    Danger: such a process sees everything dead. It takes two zones to say so, and one that serves speaks against it:
    were most zones enough, the second fall of two in three would silence all who see it.
    """
    zones: dict[int, list[int]] = {}
    for cell in cells:
        if cell.verdict():
            zones.setdefault(cell.zone, []).append(cell.verdict())
    failing = sum(2 * sum(v < 0 for v in verdicts) > len(verdicts) for verdicts in zones.values())
    return members < FEW_MEMBERS or failing >= 2 and failing == len(zones)
