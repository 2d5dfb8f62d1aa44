"""The whole assignment at full size as arrays: the same hashes as `linkdock/assignment`, all shards at once.

Held against the program's own `assign` by `agrees`. Only the laboratory needs numpy.
"""

from __future__ import annotations

from random import Random

import numpy as np

from ..assignment import hashing
from ..assignment.membership import Member, Membership
from ..assignment.placement import assign

CHUNK = 1024  # shards at a time: bounds the memory to some megabytes a zone
_GOLDEN = np.uint64(0x9E3779B97F4A7C15)
_SHIFT = np.uint64(hashing.MIX_SHIFT)
_FIRST, _SECOND = np.uint64(hashing.MIX_FIRST), np.uint64(hashing.MIX_SECOND)
_SCALE = 1 / (1 << 64)


def mixed(values: np.ndarray) -> np.ndarray:
    """`hashing.mix` of an array of uint64."""
    values = (values ^ values >> _SHIFT) * _FIRST
    values = (values ^ values >> _SHIFT) * _SECOND
    return values ^ values >> _SHIFT


def seeds_of_shards(count: int) -> np.ndarray:
    """`hashing.shard_seed` of the shards from 0 to `count` - 1, as uint64."""
    return mixed(np.arange(1, count + 1, dtype=np.uint64) * _GOLDEN)


def rows_by_shard(destinations: int) -> np.ndarray:
    """How many of the destinations 0, 1, ... fall into each shard."""
    shards = hashing.SHARD_COUNT
    hashed = mixed(np.arange(1, destinations + 1, dtype=np.uint64) * _GOLDEN)
    return np.bincount((hashed % np.uint64(shards)).astype(np.int64), minlength=shards)


def fleet(members: int, zones: int, regions: int, seed: int) -> list[Member]:
    """Members by turns in the zones `region/zone`, with lives drawn from the seed."""
    chance = Random(f"fleet/{seed}")
    return [
        Member(f"sender-{at:05d}~{chance.getrandbits(64):016x}", f"r{at % zones % regions}/z{at % zones}")
        for at in range(members)
    ]


def whole_assignment(epoch: Membership) -> np.ndarray:
    """Of each shard (row) its members as indices into `epoch.members`, the primary first.

    For memberships with at least as many zones as replicas, which take one member of each zone.
    """
    if len(epoch.zones) < epoch.replicas:
        raise ValueError("fewer zones than replicas: ask `assign`")
    shards = hashing.SHARD_COUNT
    seeds = seeds_of_shards(shards)
    order = _zones_of(seeds, epoch)
    index = {member.id: at for at, member in enumerate(epoch.members)}
    found = np.zeros((shards, epoch.replicas), dtype=np.int32)
    for at, zone in enumerate(epoch.zones):
        shard, role = np.nonzero(order == at)
        member_seeds = np.array(zone.seeds, dtype=np.uint64)
        weights = np.array([member.weight for member in zone.members], dtype=float)
        best = _best(seeds[shard], member_seeds, None if zone.alike else weights)
        found[shard, role] = np.array([index[member.id] for member in zone.members], dtype=np.int32)[best]
    return found


def _zones_of(seeds: np.ndarray, epoch: Membership) -> np.ndarray:
    zone_seeds = np.array([zone.seed for zone in epoch.zones], dtype=np.uint64)
    weights = np.array([zone.weight for zone in epoch.zones], dtype=float)
    hashed = mixed(seeds[:, None] ^ zone_seeds[None, :])
    merits = np.log((hashed.astype(float) + 0.5) * _SCALE) / weights
    return np.argsort(-merits, axis=1, kind="stable")[:, : epoch.replicas]


def _best(seeds: np.ndarray, member_seeds: np.ndarray, weights: np.ndarray | None) -> np.ndarray:
    best = np.zeros(len(seeds), dtype=np.int64)
    for begin in range(0, len(seeds), CHUNK):
        hashed = mixed(seeds[begin : begin + CHUNK, None] ^ member_seeds[None, :])
        ranks = hashed if weights is None else np.log((hashed.astype(float) + 0.5) * _SCALE) / weights
        best[begin : begin + CHUNK] = ranks.argmax(axis=1)
    return best


def agrees(epoch: Membership, whole: np.ndarray, seed: int, how_many: int) -> bool:
    """Whether the program's own `assign` comes to the same, for shards drawn at random."""
    chance = Random(f"agrees/{seed}")
    drawn = [chance.randrange(len(whole)) for _ in range(how_many)]
    return all(assign(shard, epoch).members == tuple(epoch.members[at].id for at in whole[shard]) for shard in drawn)
