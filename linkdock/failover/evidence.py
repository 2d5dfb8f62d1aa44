"""What the reports of all processes come to: who sees which zone serve or fail at which destination. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from statistics import median_low
from typing import NamedTuple

from .observe import Report

STALE = 2.0  # seconds after which a report is no evidence any more
SILENT = 1.2  # and in which a zone is silent if none of its processes is heard
REMEMBERED = 10.0  # and after which its demand is not counted; told limits count for as long as it is kept
CUT_WEIGHT = 0.1  # what the word of a process that is cut off weighs
ENOUGH = 3.0  # weight of observers for a shift, in
MOST = 0.5  # part of all that are heard outside the zone
ZONES = 2  # so many zones at least, each with
HEARD = 1.0  # so much


class Known(NamedTuple):
    """A report, and when it was received on the decider's clock."""

    at: float
    report: Report


class Evidence(NamedTuple):
    """Weights of those who see a zone serve or fail, from inside it and outside."""

    good_in: float
    good_out: float
    bad_in: float
    bad_out: float
    good_zones: int
    bad_zones: int
    outside: float  # of all that are heard outside it, whether they have tried it or not

    def doubtful(self) -> bool:
        """Whether enough is heard, and most of it bad inside the zone or outside."""
        return self.bad_in + self.bad_out >= HEARD and (self.bad_in > self.good_in or self.bad_out > self.good_out)

    def fails(self) -> bool:
        """Several see it, in two zones, and most of those outside. Danger: who is cut off sees everything dead.

        Danger: on a quiet day few try a far zone, and a few lost trials must not be the word of all.
        """
        return (
            self.bad_in + self.bad_out >= ENOUGH
            and self.bad_zones >= ZONES
            and self.bad_out >= max(2 * self.good_out, MOST * self.outside)
        )

    def serves(self) -> bool:
        """Whether enough observers of several zones find it good, and few find it bad."""
        return (
            self.good_in + self.good_out >= ENOUGH
            and self.good_zones >= ZONES
            and self.bad_in + self.bad_out <= (self.good_in + self.good_out) / 4
        )


class View(NamedTuple):
    """What the reports come to, by destination and zone."""

    evidence: dict[tuple[int, int], Evidence]
    limits: dict[tuple[int, int], float]  # messages a second
    demand: dict[tuple[int, int], float]
    waiting: dict[tuple[int, int], int]  # messages, by destination and the zone of those who hold them
    silent: frozenset[int]  # zones none of whose processes is heard, while others are
    heard: int  # observers with fresh reports, weighing full
    heard_zones: int


def look(known: Iterable[Known], now: float) -> View:
    """One report for each observer counts: that of its highest number."""
    newest: dict[str, Known] = {}
    for one in known:
        held = newest.get(one.report.observer)
        if held is None or (one.report.number, one.at) > (held.report.number, held.at):
            newest[one.report.observer] = one
    verdicts: dict[tuple[int, int], dict[int, list[float]]] = {}
    limits: dict[tuple[int, int], list[float]] = {}
    demand: dict[tuple[int, int], float] = {}
    waiting: dict[tuple[int, int], int] = {}
    zones: dict[int, list[bool]] = {}
    sound: list[int] = []
    weights_in: dict[int, float] = {}
    for _, (at, report) in sorted(newest.items()):
        fresh, weight = now - at <= STALE, CUT_WEIGHT if report.cut else 1.0
        zones.setdefault(report.zone, []).append(now - at <= SILENT)
        if fresh:
            weights_in[report.zone] = weights_in.get(report.zone, 0.0) + weight
            sound += [] if report.cut else [report.zone]
        if now - at <= REMEMBERED:
            for destination, rate, waits in report.demand:
                waiting[destination, report.zone] = waiting.get((destination, report.zone), 0) + waits
                demand[destination, report.zone] = demand.get((destination, report.zone), 0.0) + rate
        for cell in report.cells:
            key = cell.destination, cell.zone
            if cell.limit > 0:
                limits.setdefault(key, []).append(cell.limit)
            verdict = cell.verdict() if fresh else 0
            if verdict:
                weights = verdicts.setdefault(key, {}).setdefault(report.zone, [0.0, 0.0])
                weights[verdict < 0] += weight
    heard = {zone for zone, fresh in zones.items() if any(fresh)}
    outside = {key: sum(w for z, w in weights_in.items() if z != key[1]) for key in verdicts}
    return View(
        {key: _sum(key[1], by, outside[key]) for key, by in verdicts.items()},
        {key: median_low(told) for key, told in limits.items()},
        demand,
        waiting,
        frozenset(set(zones) - heard if 2 * len(heard) > len(zones) else ()),
        len(sound),
        len(set(sound)),
    )


def _sum(zone: int, by: Mapping[int, list[float]], outside: float) -> Evidence:
    good_in, bad_in = by.get(zone, (0.0, 0.0))
    return Evidence(
        good_in,
        sum(g for z, (g, _) in by.items() if z != zone),
        bad_in,
        sum(b for z, (_, b) in by.items() if z != zone),
        sum(g >= HEARD for g, _ in by.values()),
        sum(b >= HEARD for _, b in by.values()),
        outside,
    )


NOTHING = Evidence(0.0, 0.0, 0.0, 0.0, 0, 0, 0.0)
