"""From one epoch to the next: which shards a member gains and loses, at the cost of what changed in its own zone."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from .hashing import SHARD_COUNT, mix, shard_seed
from .membership import Member, Membership, Zone
from .placement import SCAN_SLICE, merit, rank_in_zone, role_in, scan, zone_index, zone_table


class Moves(NamedTuple):
    """What the next epoch changes for one member: shards with its role there (`lost`: the role that it had)."""

    gained: dict[int, int]
    lost: dict[int, int]
    changed: dict[int, int]


def moves(before: dict[int, int], after: dict[int, int]) -> Moves:
    """From the shards of a member in one epoch to those in the next."""
    gained = {shard: role for shard, role in after.items() if shard not in before}
    lost = {shard: role for shard, role in before.items() if shard not in after}
    new_roles = {shard: role for shard, role in after.items() if before.get(shard, role) != role}
    return Moves(gained, lost, new_roles)


class _Rivals(NamedTuple):
    """Members of the own zone that are in one of the two epochs only, as (seed, id, weight) each."""

    left: tuple[tuple[int, str, int], ...]
    joined: tuple[tuple[int, str, int], ...]


def shards_after(member_id: str, held: dict[int, int], before: Membership, after: Membership) -> dict[int, int]:
    """`shards_of(member_id, after)`, given `held`, the shards in the epoch `before`; in one go."""
    found: dict[int, int] = {}
    for found in scan_after(member_id, held, before, after):  # noqa: B007 - the last one counts
        pass
    return found


def scan_after(member_id: str, held: dict[int, int], before: Membership, after: Membership) -> Iterator[dict[int, int]]:
    """As `placement.scan`: the last step gives the whole. `held` is not changed.

    Nothing is computed if the zones' weights and the own zone's members are as before. If only other members of the
    zone have come or gone, a shard is looked at again only where one of those went, or goes, before this member.
    """
    index = zone_index(after, member_id)
    table = zone_table(after)
    same_zones = table is zone_table(before)
    same_member = before.by_id.get(member_id) == after.by_id.get(member_id)
    if index is None or not same_zones or not same_member:
        yield from scan(member_id, after)
        return
    rivals = _rivals(before.zones[index], after.zones[index])
    found = dict(held)
    if not rivals.left and not rivals.joined:
        yield found
        return
    zone = after.zones[index]
    position = zone.position[member_id]
    me, my_seed = zone.members[position], zone.seeds[position]
    for shard in range(SHARD_COUNT):
        order = table.order(shard)
        if index in order:
            seed = shard_seed(shard)
            # A shard that is held is lost to those who joined alone; one that is not is gained from those who left.
            looked_at = (
                rivals.joined + rivals.left
                if order.count(index) > 1
                else (rivals.joined if shard in held else rivals.left)
            )
            if looked_at and _any_before(looked_at, me, my_seed, seed):
                times = order.count(index)
                rank = rank_in_zone(seed, zone, position, times)
                found.pop(shard, None)
                if rank < times:
                    found[shard] = role_in(order, index, rank)
        if shard % SCAN_SLICE == SCAN_SLICE - 1:
            yield found
    yield found


def _rivals(before: Zone, after: Zone) -> _Rivals:
    old, new = set(before.members), set(after.members)
    left = tuple(_rival(before, at) for at, member in enumerate(before.members) if member not in new)
    joined = tuple(_rival(after, at) for at, member in enumerate(after.members) if member not in old)
    return _Rivals(left, joined)


def _rival(zone: Zone, at: int) -> tuple[int, str, int]:
    return zone.seeds[at], zone.members[at].id, zone.members[at].weight


def _any_before(rivals: tuple[tuple[int, str, int], ...], me: Member, my_seed: int, seed: int) -> bool:
    """Whether one of the rivals goes before this member for the shard of `seed`."""
    mine = mix(seed ^ my_seed)
    for rival_seed, rival_id, weight in rivals:
        its = mix(seed ^ rival_seed)
        if weight == me.weight:
            if its > mine or its == mine and rival_id < me.id:
                return True
        elif merit(its, weight) >= merit(mine, me.weight):
            return True
    return False
