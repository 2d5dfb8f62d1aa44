"""Weighted rendezvous hashing: which members have a shard in an epoch, and which shards a member has.

Two steps. A shard ranks the zones by their agreed weights and takes the first `replicas` of them; in each of these it
ranks the members by their weights and takes the first. Spread over zones is so by construction; a member that comes or
goes moves only shards of its own zone; and a member works out its own shards from the members of its zone alone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from math import log
from typing import NamedTuple

from .hashing import SHARD_COUNT, mix, shard_seed
from .membership import Membership, Zone

PRIMARY = 0  # the role of a shard's first replica; the others follow in order
SCAN_SLICE = 256  # shards between two pauses of a scan: some milliseconds
MOST_ZONE_TABLES = 2  # of the epoch in force and the one before: most leave the zones as they were
_SCALE = 1 / (1 << 64)


class Placement(NamedTuple):
    """A shard's members by id, the primary first."""

    shard: int
    members: tuple[str, ...]


class ZoneShape(NamedTuple):
    """All that the order of zones hangs on. `capacity`: replicas of one shard that the zone can hold."""

    seed: int
    weight: int
    capacity: int


def merit(hashed: int, weight: int) -> float:
    """The rank of a candidate, the highest first (Schindelhain and Schomaker 2005): ln(u) / weight for u in (0, 1)."""
    return log((hashed + 0.5) * _SCALE) / weight


def order_of_zones(shard: int, shapes: tuple[ZoneShape, ...], replicas: int) -> tuple[int, ...]:
    """Indices of zones, one a replica, the primary's first.

    A zone comes a second time only once every zone that can has come as often. The order is shorter than `replicas`
    only where there are fewer members.
    """
    seed = shard_seed(shard)
    merits = [(-merit(mix(seed ^ shape.seed), shape.weight), at) for at, shape in enumerate(shapes)]
    merits.sort()
    ranked = [at for _, at in merits]
    order = ranked[:replicas]
    taken = 1
    while len(order) < replicas:
        able = [at for at in ranked if shapes[at].capacity > taken]
        if not able:
            break
        order += able[: replicas - len(order)]
        taken += 1
    return tuple(order)


class ZoneTable:
    """The order of zones of every shard, filled as it is asked for; orders that are alike are one object."""

    def __init__(self, shapes: tuple[ZoneShape, ...], replicas: int) -> None:
        """`shapes` in the order of `membership.zones`; `replicas` of a shard."""
        self.shapes = shapes
        self.replicas = replicas
        self._orders: list[tuple[int, ...] | None] = [None] * SHARD_COUNT
        self._distinct: dict[tuple[int, ...], tuple[int, ...]] = {}

    def order(self, shard: int) -> tuple[int, ...]:
        """The zone of each replica of a shard, the primary's first, as indices into `shapes`."""
        known = self._orders[shard]
        if known is None:
            known = order_of_zones(shard, self.shapes, self.replicas)
            known = self._orders[shard] = self._distinct.setdefault(known, known)
        return known


def zone_table(membership: Membership) -> ZoneTable:
    """The same object for two memberships whose zones are alike, whatever became of single members."""
    most = membership.replicas
    shapes = tuple(ZoneShape(zone.seed, zone.weight, min(len(zone.members), most)) for zone in membership.zones)
    tables, key = membership.zone_tables, (shapes, most)
    if key not in tables:
        if len(tables) >= MOST_ZONE_TABLES:
            del tables[next(iter(tables))]
        tables[key] = ZoneTable(shapes, most)
    return tables[key]


def zone_index(membership: Membership, member_id: str) -> int | None:
    """The place of a member's zone in `membership.zones`; None if it is not in this epoch."""
    member = membership.by_id.get(member_id)
    if member is None:
        return None
    return next(at for at, zone in enumerate(membership.zones) if zone.name == member.zone)


def _ranked_in_zone(seed: int, zone: Zone, how_many: int) -> list[str]:
    """Ids of the first members of the zone for a shard's seed. Ties go to the higher hash, then to the lower id."""
    hashes = [mix(seed ^ member_seed) for member_seed in zone.seeds]
    if zone.alike and how_many == 1:
        return [zone.members[hashes.index(max(hashes))].id]
    merits = [0.0] * len(hashes)
    if not zone.alike:
        merits = [merit(hashed, member.weight) for hashed, member in zip(hashes, zone.members, strict=True)]
    best = sorted(range(len(hashes)), key=lambda at: (-merits[at], -hashes[at], at))[:how_many]
    return [zone.members[at].id for at in best]


def assign(shard: int, membership: Membership) -> Placement:
    """The members of a shard. The same in every process that has the same epoch; 1 to 2 ms at 6,800 members."""
    seed = shard_seed(shard)
    order = zone_table(membership).order(shard)
    ranked = {at: iter(_ranked_in_zone(seed, membership.zones[at], times)) for at, times in Counter(order).items()}
    return Placement(shard, tuple(next(ranked[at]) for at in order))


def rank_in_zone(seed: int, zone: Zone, position: int, enough: int) -> int:
    """How many members of its zone go before the one at `position` for a shard's seed; counting stops at `enough`.

    Most shards are decided after a few members, so that a member's own part costs far less than the whole assignment.
    """
    mine = mix(seed ^ zone.seeds[position])
    before = 0
    if zone.alike:  # the same order without the logarithms
        for at, member_seed in enumerate(zone.seeds):
            other = mix(seed ^ member_seed)
            if other > mine or other == mine and at < position:
                before += 1
                if before >= enough:
                    break
        return before
    merit_of_mine = merit(mine, zone.members[position].weight)
    for at, (member_seed, member) in enumerate(zip(zone.seeds, zone.members, strict=True)):
        other = mix(seed ^ member_seed)
        its = merit(other, member.weight)
        if its > merit_of_mine or its == merit_of_mine and (other, -at) > (mine, -position):
            before += 1
            if before >= enough:
                break
    return before


def role_in(order: tuple[int, ...], index: int, rank: int) -> int:
    """The role of the member that comes after `rank` others of zone `index`."""
    return [role for role, at in enumerate(order) if at == index][rank]


def scan(member_id: str, membership: Membership) -> Iterator[dict[int, int]]:
    """The shards of a member with its role in each, as far as found, after each SCAN_SLICE shards and at the end.

    The one dict is filled on; what the last step gives is whole. So that a sender's loop goes on between two steps.
    """
    found: dict[int, int] = {}
    index = zone_index(membership, member_id)
    if index is not None:
        zone = membership.zones[index]
        position = zone.position[member_id]
        table = zone_table(membership)
        for shard in range(SHARD_COUNT):
            order = table.order(shard)
            times = order.count(index)
            if times:
                rank = rank_in_zone(shard_seed(shard), zone, position, times)
                if rank < times:
                    found[shard] = role_in(order, index, rank)
            if shard % SCAN_SLICE == SCAN_SLICE - 1:
                yield found
    yield found


def shards_of(member_id: str, membership: Membership) -> dict[int, int]:
    """The shards of one member with its role in each (0 is the primary), in one go. Empty if it is not there."""
    found: dict[int, int] = {}
    for found in scan(member_id, membership):  # noqa: B007 - the last one counts
        pass
    return found
