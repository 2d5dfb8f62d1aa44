"""The hashes that every process must compute alike. Part of the fleet's agreement: a change moves every shard.

Whole numbers of 64 bits; no process, platform or order of members has a say in the outcome.
"""

from __future__ import annotations

from hashlib import blake2b

SHARD_COUNT = 1 << 16  # a shard's number fits two bytes; why so many: docs/design/assignment.md
MASK = (1 << 64) - 1
MIX_FIRST = 0xFF51AFD7ED558CCD  # the constants of MurmurHash3's 64-bit finaliser
MIX_SECOND = 0xC4CEB9FE1A85EC53
MIX_SHIFT = 33
_GOLDEN = 0x9E3779B97F4A7C15  # SplitMix64's step: consecutive numbers start far apart


def mix(value: int) -> int:
    """MurmurHash3's finaliser of a number below 2**64: a permutation, each output bit hangs on every input bit."""
    value ^= value >> MIX_SHIFT
    value = value * MIX_FIRST & MASK
    value ^= value >> MIX_SHIFT
    value = value * MIX_SECOND & MASK
    return value ^ value >> MIX_SHIFT


def shard_of(destination: int) -> int:
    """The shard of a destination, by its number in discovery's list (`block`). The same at every epoch."""
    return mix((destination + 1) * _GOLDEN & MASK) % SHARD_COUNT


def shard_seed(shard: int) -> int:
    """What is mixed with the seeds of members and zones to rank them for this shard."""
    return mix((shard + 1) * _GOLDEN & MASK)


def name_seed(kind: bytes, name: str) -> int:
    """The seed of a member (its id) or a zone (its name); `kind` (eight bytes at the most) keeps the two apart."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8, person=kind).digest(), "big")
