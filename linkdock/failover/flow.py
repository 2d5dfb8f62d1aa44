"""Where demand goes that its own zone cannot take: a small min-cost flow in whole units, solved exactly.

Near first: what a zone can take of its own demand stays. The rest goes to others' spare capacity, as much as fits and
at the least cost. Successive shortest paths (Bellman-Ford: the residual has negative arcs).
"""

from __future__ import annotations

from collections.abc import Mapping
from math import floor
from typing import NamedTuple

SAME_REGION, FURTHER = 1, 3  # cost of a unit; FURTHER within the triangle: no chain beats the direct way
RESERVE = 0.05  # part of a zone's capacity that others never fill


class Flow(NamedTuple):
    """Units by (from zone, to zone), own zone included; and by zone what fits nowhere, which stays where it is.

    `room` has what each zone could have taken from others.
    """

    units: dict[tuple[int, int], int]
    unserved: dict[int, int]
    cost: int
    room: dict[int, int]


def cost_of(a: int, b: int, regions: Mapping[int, int]) -> int:
    """What it costs to serve zone `a`'s messages in zone `b`."""
    if a == b:
        return 0
    return SAME_REGION if regions.get(a, -1) == regions.get(b, -2) else FURTHER


def spread(
    demand: Mapping[int, int],
    near: Mapping[int, int],
    far: Mapping[int, int],
    regions: Mapping[int, int],
    reserve: float = RESERVE,
) -> Flow:
    """Units of demand by zone; `near` what each zone can take of its own, `far` what it can take in all for others.

    Others get at most `far` less the reserve and less what stays near.
    """
    units: dict[tuple[int, int], int] = {}
    left, spare = {}, {}
    for zone in sorted({*demand, *near, *far}):
        want = max(0, demand.get(zone, 0))
        stays = min(want, max(0, near.get(zone, 0)))
        if stays:
            units[zone, zone] = stays
        left[zone] = want - stays
        spare[zone] = max(0, floor(far.get(zone, 0) * (1 - reserve) + 1e-9) - stays)
    moved, cost = transport(left, spare, {(a, b): cost_of(a, b, regions) for a in left for b in spare if a != b})
    for pair, many in moved.items():
        units[pair] = units.get(pair, 0) + many
        left[pair[0]] -= many
    return Flow(units, {zone: many for zone, many in left.items() if many}, cost, spare)


def transport(
    supply: Mapping[int, int], room: Mapping[int, int], costs: Mapping[tuple[int, int], int]
) -> tuple[dict[tuple[int, int], int], int]:
    """As much as fits from supply into room over the given pairs, at the least cost. Ties go by number."""
    left, free = dict(supply), dict(room)
    moved: dict[tuple[int, int], int] = {}
    pairs = sorted(costs)
    while True:
        # Cheapest way from any supply left: forward over a pair, back over one that carries something.
        way: dict[tuple[str, int], tuple[int, tuple[str, int] | None]] = {
            ("from", a): (0, None) for a in sorted(left) if left[a] > 0
        }
        for _ in range(len(left) + len(free)):
            changed = False
            for a, b in pairs:
                steps = [(("from", a), ("to", b), costs[a, b])]
                if moved.get((a, b)):
                    steps.append((("to", b), ("from", a), -costs[a, b]))
                for tail, head, price in steps:
                    if tail in way and (head not in way or way[tail][0] + price < way[head][0]):
                        way[head] = way[tail][0] + price, tail
                        changed = True
            if not changed:
                break
        ends = [(way["to", b][0], b) for b in sorted(free) if free[b] > 0 and ("to", b) in way]
        if not ends:
            return {p: n for p, n in moved.items() if n}, sum(costs[p] * n for p, n in moved.items())
        node: tuple[str, int] = ("to", min(ends)[1])
        last, path = node[1], []
        while way[node][1] is not None:
            path.append((way[node][1], node))
            node = way[node][1]
        back = [moved[head[1], tail[1]] for tail, head in path if tail[0] == "to"]
        many = min([left[node[1]], free[last], *back])
        for tail, head in path:
            if tail[0] == "from":
                moved[tail[1], head[1]] = moved.get((tail[1], head[1]), 0) + many
            else:
                moved[head[1], tail[1]] -= many
        left[node[1]] -= many
        free[last] -= many
