"""Which zone serves at which destination, and what part of whose demand goes elsewhere: one pure function.

`judge(last, known, now, regions)` gives the next decision. Same arguments, same decision. Times in a decision are of
the decider's monotonic clock; whoever takes over rebases them. Published is what has a higher epoch.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import IntEnum

import msgspec

from . import flow
from .evidence import HEARD, NOTHING, Evidence, Known, View, look
from .returning import Rules
from .shares import SLOTS, remap

CONFIRM = 0.5  # seconds that a zone must be suspect before it is out
CALM = 2.0  # seconds without evidence after which a suspect one serves again
HOLD = 10.0  # seconds of good answers before a return; twice that for each relapse
MOST_HOLD = 160.0
MOST_DOUBLINGS = 4  # of `HOLD`, up to `MOST_HOLD`
DRAINED = 0.5  # seconds of a zone's limit that may wait when its return is over
MOST_RETURN = 60.0  # seconds after which it is over in any case
STEADY = 30.0  # seconds of service after which an incident is over
REROUTE = 2.0  # seconds between two changes of routes without a change of states
WORTH = 0.05  # part of a zone's demand that must move for one
UNIT = 0.1  # messages a second that one unit of the flow stands for
MOST_STANDINGS = 256  # in one decision, which is one entry of the log; beyond, zones stay serving
MOST_ROUTES = 160  # beyond, demand stays where it is


class State(IntEnum):
    """What a zone is to a destination, in the order in which a fall and a return go."""

    SERVING = 0
    SUSPECT = 1  # all processes try it, and nothing is moved
    OUT = 2
    RETURNING = 3


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """A zone at a destination; one that serves and has no incident is not kept.

    `since` the state's begin, `good_since` and `bad_since` of evidence that holds (-1: none). `shifts` away and back in
    this incident, at most two. `inside`: its own processes are served by it still (a cut, not a fall).
    """

    destination: int
    zone: int
    state: State
    since: float
    good_since: float = -1.0
    bad_since: float = -1.0
    shifts: int = 0
    relapses: int = 0
    by_hand: bool = False
    inside: bool = True


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Where messages of one zone for one destination go: a zone for each slot. `unserved`: messages a second.

    `pace`, by zone: how many messages a second a process may send there for each one that comes in at it. All processes
    together keep within the zone's spare by it. Danger: what was held while a fall was found out goes all at once.
    """

    destination: int
    zone: int
    slots: bytes
    unserved: float = 0.0
    pace: tuple[tuple[int, float], ...] = ()


class Decision(msgspec.Struct, frozen=True, array_like=True):
    """What is in force. No standing: serving. No route: each zone's demand stays there."""

    epoch: int = 0
    at: float = 0.0
    routed_at: float = -1e9
    standings: tuple[Standing, ...] = ()
    routes: tuple[Route, ...] = ()

    def standing(self, destination: int, zone: int) -> Standing | None:
        """What is held of a zone at a destination; None if it serves and has no incident."""
        return next((s for s in self.standings if (s.destination, s.zone) == (destination, zone)), None)

    def state(self, destination: int, zone: int) -> State:
        """The state of a zone at a destination."""
        held = self.standing(destination, zone)
        return held.state if held else State.SERVING

    def slots(self, destination: int, zone: int) -> bytes:
        """Of a process's own zone: the zone that each slot goes to."""
        return next(
            (r.slots for r in self.routes if (r.destination, r.zone) == (destination, zone)), bytes([zone]) * SLOTS
        )


def newer(held: Decision, came: Decision) -> Decision:
    """The one in force at a process. Danger: a late decision of an earlier epoch would undo a later one."""
    return came if came.epoch > held.epoch else held


def rebased(decision: Decision, now: float) -> Decision:
    """Of another decider, on this one's clock: its ages go on from `now`, evidence counts anew."""
    standings = tuple(
        msgspec.structs.replace(s, since=now - max(0.0, decision.at - s.since), good_since=-1.0, bad_since=-1.0)
        for s in decision.standings
    )
    return msgspec.structs.replace(decision, at=now, routed_at=now, standings=standings)


def judge(last: Decision, known: Iterable[Known], now: float, regions: Mapping[int, int], rules: Rules) -> Decision:
    """The next decision; its epoch is one more if a state or a route is another than before.

    `regions` has each zone's region; by `rules` a returning zone is given work.
    """
    view = look(known, now)
    standings = {(s.destination, s.zone): s for s in last.standings}
    for key in sorted({*view.evidence, *view.limits, *standings}):
        step = _step(
            standings.get(key) or Standing(*key, State.SERVING, now - STEADY),
            view.evidence.get(key, NOTHING),
            key[1] in view.silent,
            _alone(key, standings, view),
            view.waiting.get(key, 0) > DRAINED * view.limits.get(key, 0.0),
            now,
            rules,
        )
        if step.state is State.SERVING and now - step.since >= STEADY:
            standings.pop(key, None)
        elif key in standings or len(standings) < MOST_STANDINGS:
            standings[key] = step
    kept = tuple(standings[key] for key in sorted(standings))
    states = {(s.destination, s.zone): s.state for s in kept if s.state is not State.SERVING}
    before = {(s.destination, s.zone): s.state for s in last.standings if s.state is not State.SERVING}
    moved = {k for k in {*states, *before} if states.get(k) != before.get(k)}
    routes, routed_at = last.routes, last.routed_at
    shifted = any(
        State.OUT in (states.get(k), before.get(k)) or State.RETURNING in (states.get(k), before.get(k)) for k in moved
    )
    if shifted or now - last.routed_at >= REROUTE:
        wanted, routed_at = route(kept, view, now, regions, last.routes, rules), now
        if shifted or _differ(last.routes, wanted):
            routes = wanted
    changed = bool(moved) or routes != last.routes
    return Decision(last.epoch + changed, now, routed_at, kept, routes)


def _alone(key: tuple[int, int], standings: Mapping[tuple[int, int], Standing], view: View) -> bool:
    """Whether no other zone serves at the destination: to hold the first that answers back would help nobody."""
    others = [k for k in view.limits if k[0] == key[0] and k != key]
    return all((s := standings.get(k)) is not None and s.state is State.OUT for k in others)


def _step(
    s: Standing, seen: Evidence, silent: bool, alone: bool, held_back: bool, now: float, rules: Rules
) -> Standing:
    fails, serves = seen.fails(), seen.serves()
    bad_since = (s.bad_since if s.bad_since >= 0 else now) if fails else -1.0
    good_since = (s.good_since if s.good_since >= 0 else now) if serves else -1.0
    s = msgspec.structs.replace(s, good_since=good_since, bad_since=bad_since)
    held = now - s.since

    def to(state: State, **more: object) -> Standing:
        return msgspec.structs.replace(s, state=state, since=now, **more)

    if s.state is State.SERVING:
        return to(State.SUSPECT) if fails or silent or seen.doubtful() else s
    if s.state is State.SUSPECT:
        if fails and held >= CONFIRM:
            relapse = s.shifts >= 2  # away and back once already: a new incident, with a longer hold
            inside = seen.bad_in < HEARD or seen.good_in >= seen.bad_in
            return to(State.OUT, shifts=1, relapses=s.relapses + relapse, inside=inside)
        if fails or silent or seen.doubtful():
            return s
        # Danger: to leave suspicion in a gap between two failures would begin the confirmation anew each time.
        return to(State.SERVING) if held >= CALM else s
    if s.state is State.OUT:
        if s.inside and seen.bad_in >= max(HEARD, 2 * seen.good_in):
            s = msgspec.structs.replace(s, inside=False)
        hold = CALM if alone else min(MOST_HOLD, HOLD * 2 ** min(s.relapses, MOST_DOUBLINGS))
        if not s.by_hand and serves and now - good_since >= hold:
            return to(State.RETURNING, shifts=2)
        return s
    if fails and now - bad_since >= CONFIRM:
        return to(State.OUT, shifts=1, relapses=s.relapses + 1, inside=seen.bad_in < HEARD)
    # Danger: what the zone's own have held goes at once when the leases end; others' is paced by their routes.
    over = held >= max(CALM, rules.cold_time) and (not held_back or held >= MOST_RETURN)
    return to(State.SERVING) if over else s


def allowance(s: Standing | None, limit: float, now: float, rules: Rules) -> float:
    """Messages a second that a zone can be given by its state."""
    if s is None or s.state in (State.SERVING, State.SUSPECT):
        return limit
    return 0.0 if s.state is State.OUT else rules.allowance(limit, now - s.since)


def plan(
    standings: Iterable[Standing], view: View, now: float, regions: Mapping[int, int], rules: Rules
) -> dict[int, flow.Flow]:
    """The flow of each destination, in units of UNIT messages a second."""
    held = {(s.destination, s.zone): s for s in standings}
    flows = {}
    for destination in sorted({d for d, _ in view.demand}):
        zones = {z for d, z in {*view.limits, *view.demand, *held} if d == destination}
        near, far, demand = {}, {}, {}
        for zone in sorted(zones):
            limit, s = view.limits.get((destination, zone), 0.0), held.get((destination, zone))
            can = allowance(s, limit, now, rules)
            demand[zone] = round(view.demand.get((destination, zone), 0.0) / UNIT)
            far[zone] = int(can / UNIT)
            inside = s is not None and s.state is not State.SERVING and s.inside and not s.by_hand
            near[zone] = int(limit / UNIT) if inside else far[zone]
            if limit == 0 and s is None:
                near[zone] = demand[zone]  # nothing was told: what is near stays there
        flows[destination] = flow.spread(demand, near, far, regions)
    return flows


def route(
    standings: Iterable[Standing],
    view: View,
    now: float,
    regions: Mapping[int, int],
    last: Iterable[Route],
    rules: Rules,
) -> tuple[Route, ...]:
    """The routes of all zones whose demand does not stay there, slots as near to the last ones as can be."""
    old = {(r.destination, r.zone): r.slots for r in last}
    routes = []
    for destination, found in plan(standings, view, now, regions, rules).items():
        for zone in sorted({a for a, _ in found.units} | set(found.unserved)):
            total = sum(n for (a, _), n in found.units.items() if a == zone) + found.unserved.get(zone, 0)
            shares = {b: n / total for (a, b), n in found.units.items() if a == zone and b != zone and total}
            slots = remap(old.get((destination, zone), bytes([zone]) * SLOTS), shares, zone)
            pace = tuple(
                (b, round(n / total * found.room[b] / _into(found, b), 4))
                for (a, b), n in sorted(found.units.items())
                if a == zone and b != zone
            )
            unserved = round(found.unserved.get(zone, 0) * UNIT, 1)
            if slots != bytes([zone]) * SLOTS or unserved:
                routes.append(Route(destination, zone, slots, unserved, pace))
    return tuple(routes[:MOST_ROUTES])


def _into(found: flow.Flow, zone: int) -> int:
    return sum(n for (a, b), n in found.units.items() if b == zone and a != zone)


def lease_room(s: Standing, view: View, now: float, rules: Rules) -> float:
    """Messages a second that all leases of a returning zone may come to. After a cut its own processes need none."""
    key = s.destination, s.zone
    limit = view.limits.get(key, 0.0)
    own = view.demand.get(key, 0.0) if s.inside else 0.0
    return max(0.0, min(rules.allowance(limit, now - s.since), limit * (1 - flow.RESERVE) - own))


def needs_lease(decision: Decision, destination: int, zone: int, own: int) -> bool:
    """Whether a process of the zone `own` may send there only under a lease."""
    s = decision.standing(destination, zone)
    return s is not None and s.state is State.RETURNING and not (s.inside and zone == own)


def _differ(old: Iterable[Route], new: Iterable[Route]) -> bool:
    """Whether new routes are worth a decision: some zone's demand would move by WORTH, or a pace is too fast now."""
    before, after = ({(r.destination, r.zone): r for r in routes} for routes in (old, new))
    for key in {*before, *after}:
        stay = bytes([key[1]]) * SLOTS
        a, b = (side[key].slots if key in side else stay for side in (before, after))
        if sum(x != y for x, y in zip(a, b, strict=True)) >= WORTH * SLOTS:
            return True
        if key in before and key in after:
            paces = dict(after[key].pace)
            if any(paces.get(zone, 0.0) < (1 - 2 * WORTH) * pace for zone, pace in before[key].pace):
                return True
    return False


def cells_to_try(decision: Decision) -> list[tuple[int, int]]:
    """The zones that every process tries now, each 0.25 s, with a connection and no message."""
    return [(s.destination, s.zone) for s in decision.standings if s.state is not State.SERVING]
