"""Operators take a zone out of service and bring it back, under the same safety. Pure: a decision, or an error."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from .errors import CannotCarry, NotKnown, NotOut, NotSeen, StillDown
from .evidence import ENOUGH, ZONES, Known, View, look
from .evidence import NOTHING as UNSEEN
from .judge import UNIT, Decision, Standing, State, plan, route
from .returning import Rules


def evacuate(
    last: Decision, known: Iterable[Known], now: float, zone: int, regions: Mapping[int, int], rules: Rules
) -> Decision:
    """All that the zone serves goes elsewhere, at every destination.

    Raises NotKnown, NotOut, NotSeen, CannotCarry (the first destination at which more than before would be unserved).
    """
    view, destinations = _view(known, now, zone, last)
    standings = {(s.destination, s.zone): s for s in last.standings}
    if all(key in standings and standings[key].by_hand for key in destinations):
        raise NotOut(f"zone {zone} is out by hand already")
    before = plan(standings.values(), view, now, regions, rules)
    for key in destinations:
        held = standings.get(key)
        out = held is not None and held.state is State.OUT
        standings[key] = Standing(
            *key,
            State.OUT,
            held.since if out else now,
            shifts=1,
            by_hand=True,
            inside=False,
            relapses=held.relapses if held else 0,
        )
    kept = tuple(standings[key] for key in sorted(standings))
    for destination, found in plan(kept, view, now, regions, rules).items():
        short = sum(found.unserved.values()) - sum(before[destination].unserved.values())
        if short > 0:
            raise CannotCarry(
                f"without zone {zone}, {short * UNIT:.1f} messages/s for destination {destination} " "fit nowhere"
            )
    return Decision(last.epoch + 1, now, now, kept, route(kept, view, now, regions, last.routes, rules))


def bring_back(
    last: Decision, known: Iterable[Known], now: float, zone: int, regions: Mapping[int, int], rules: Rules
) -> Decision:
    """What is out by hand returns, cold. Raises NotKnown, NotOut, NotSeen, StillDown (the first such destination)."""
    view, _ = _view(known, now, zone, last)
    if not any(s.zone == zone and s.by_hand for s in last.standings):
        raise NotOut(f"zone {zone} is not out by hand")
    standings = []
    for s in last.standings:
        if s.zone == zone and s.by_hand:
            seen = view.evidence.get((s.destination, zone), UNSEEN)
            if seen.fails() or seen.doubtful():
                raise StillDown(f"zone {zone} does not answer at destination {s.destination}")
            s = msgspec.structs.replace(
                s,
                state=State.RETURNING,
                since=now,
                by_hand=False,
                inside=False,
                shifts=2,
                good_since=-1.0,
                bad_since=-1.0,
            )
        standings.append(s)
    routes = route(standings, view, now, regions, last.routes, rules)
    return Decision(last.epoch + 1, now, now, tuple(standings), routes)


def _view(known: Iterable[Known], now: float, zone: int, last: Decision) -> tuple[View, list[tuple[int, int]]]:
    view = look(known, now)
    there = sorted(
        {key for key in {*view.limits, *((s.destination, s.zone) for s in last.standings)} if key[1] == zone}
    )
    if not there:
        raise NotKnown(f"zone {zone} has no backend server that anybody has told of")
    if view.heard < ENOUGH or view.heard_zones < ZONES:
        raise NotSeen(f"{view.heard} processes in {view.heard_zones} zones have reported within the last seconds")
    return view, there
