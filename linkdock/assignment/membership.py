"""The agreed, versioned membership that assignments are computed from: epoch, members, weights of zones.

An epoch is one value of the replicated log. The next one comes about by a `Change` that names the epoch it starts
from, so that two proposers cannot both have their way, and every process that applies it comes to the same digest.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cached_property
from hashlib import blake2b

import msgspec

from .errors import BadMembershipError
from .hashing import name_seed

REPLICAS = 3  # senders a shard, unless fewer members are there
MOST_REPLICAS = 8
MOST_MEMBERS = 20_000
MOST_ID = 200  # bytes of `name~life`, as in cluster/wire.py
MOST_ZONE = 64  # bytes of a zone's name
ORDINARY_WEIGHT = 100  # of a machine of the usual size
MOST_WEIGHT = 10_000
TOLERANCE = 0.1  # a zone's agreed weight follows what its members weigh once it is off by this part
_encode = msgspec.msgpack.Encoder().encode


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A sender: its id (`name~life`; a lost folder means a new life, and so another member), zone and weight."""

    id: str
    zone: str
    weight: int = ORDINARY_WEIGHT


class ZoneWeight(msgspec.Struct, frozen=True, array_like=True):
    """A zone's part of the shards, against the others. Agreed on, so that one member's loss moves no other's shards."""

    zone: str
    weight: int


class Zone:
    """The members of one zone as rankings need them: by id, with their seeds, and whether all weigh the same."""

    def __init__(self, name: str, weight: int, members: Iterable[Member]) -> None:
        """`members` in the order of their ids; `weight` is the zone's agreed one."""
        self.name = name
        self.weight = weight
        self.members = tuple(members)
        self.seed = name_seed(b"zone", name)

    @cached_property
    def seeds(self) -> tuple[int, ...]:
        """The hash seed of each member's id, in the order of `members`."""
        return tuple(name_seed(b"member", member.id) for member in self.members)

    @cached_property
    def position(self) -> dict[str, int]:
        """Of each member's id in `members`."""
        return {member.id: at for at, member in enumerate(self.members)}

    @cached_property
    def alike(self) -> bool:
        """Whether all members have the same weight."""
        return len({member.weight for member in self.members}) == 1


class Membership(msgspec.Struct, frozen=True, array_like=True, dict=True):
    """One epoch. `members` are sorted by id, `zone_weights` by zone; `made` and `changed` see to that."""

    epoch: int
    members: tuple[Member, ...]
    zone_weights: tuple[ZoneWeight, ...]
    replicas: int = REPLICAS

    @cached_property
    def by_id(self) -> dict[str, Member]:
        """Each member under its id."""
        return {member.id: member for member in self.members}

    @cached_property
    def zones(self) -> tuple[Zone, ...]:
        """Those that have members, by name."""
        inside: dict[str, list[Member]] = {}
        for member in self.members:
            inside.setdefault(member.zone, []).append(member)
        return tuple(Zone(told.zone, told.weight, inside[told.zone]) for told in self.zone_weights)

    @cached_property
    def zone_tables(self) -> dict[object, object]:
        """What `placement.zone_table` has worked out of zones; the epochs that `changed` makes of this one share it."""
        return {}

    @cached_property
    def digest(self) -> bytes:
        """Eight bytes that two processes compare to know that they mean the same by one epoch."""
        return blake2b(_encode(self), digest_size=8, person=b"membership").digest()


class Change(msgspec.Struct, frozen=True, array_like=True):
    """From the epoch `base` to the next. `joined` holds members that come and those whose weight or zone is new."""

    base: int
    joined: tuple[Member, ...] = ()
    left: tuple[str, ...] = ()
    zone_weights: tuple[ZoneWeight, ...] = ()  # only those that change


def made(epoch: int, members: Iterable[Member], replicas: int = REPLICAS) -> Membership:
    """A membership from nothing, each zone as heavy as its members. Raises BadMembershipError."""
    sorted_members = tuple(sorted(members, key=lambda member: member.id))
    weights = _weights_of_zones(sorted_members)
    return checked(Membership(epoch, sorted_members, _as_zone_weights(weights), replicas))


def changed(before: Membership, change: Change) -> Membership:
    """The next epoch. Raises BadMembershipError for a change that starts from another epoch or names who is not there.

    A zone keeps its agreed weight while its members' sum stays within TOLERANCE of it: the shards of one member that
    leaves go to its zone alone. Beyond that the zone's weight becomes the sum, and shards move between zones.
    """
    if change.base != before.epoch:
        raise BadMembershipError(f"a change from epoch {change.base} in epoch {before.epoch}")
    members = dict(before.by_id)
    for member_id in change.left:
        if members.pop(member_id, None) is None:
            raise BadMembershipError(f"{member_id!r:.80} leaves and is not there")
    members.update((member.id, member) for member in change.joined)
    after = tuple(sorted(members.values(), key=lambda member: member.id))
    told = {zone.zone: zone.weight for zone in change.zone_weights}
    agreed = {zone.zone: zone.weight for zone in before.zone_weights}
    weights = {}
    for zone, actual in _weights_of_zones(after).items():
        old = agreed.get(zone, 0)
        near = abs(actual - old) <= TOLERANCE * old
        weights[zone] = told.get(zone, old if near else actual)
    following = checked(Membership(before.epoch + 1, after, _as_zone_weights(weights), before.replicas))
    vars(following)["zone_tables"] = before.zone_tables
    return following


def _weights_of_zones(members: Iterable[Member]) -> dict[str, int]:
    weights: dict[str, int] = {}
    for member in members:
        weights[member.zone] = weights.get(member.zone, 0) + member.weight
    return weights


def _as_zone_weights(weights: dict[str, int]) -> tuple[ZoneWeight, ...]:
    return tuple(ZoneWeight(zone, weight) for zone, weight in sorted(weights.items()))


def checked(membership: Membership) -> Membership:
    """The same. Raises BadMembershipError for one that cannot be, whoever says that it is agreed on."""
    if membership.epoch < 1 or not 1 <= membership.replicas <= MOST_REPLICAS:
        raise BadMembershipError(f"epoch {membership.epoch}, {membership.replicas} replicas")
    if len(membership.members) > MOST_MEMBERS:
        raise BadMembershipError(f"{len(membership.members)} members, {MOST_MEMBERS} at the most")
    if len(membership.by_id) != len(membership.members):
        raise BadMembershipError("two members have one id")
    for member in membership.members:
        name, _, life = member.id.rpartition("~")
        if not name or not life or len(member.id.encode()) > MOST_ID:
            raise BadMembershipError(f"{member.id!r:.80} is no `name~life` of {MOST_ID} bytes at the most")
        if not 0 < len(member.zone.encode()) <= MOST_ZONE:
            raise BadMembershipError(f"{member.id}: a zone's name has 1 to {MOST_ZONE} bytes")
        if not 0 < member.weight <= MOST_WEIGHT:
            raise BadMembershipError(f"{member.id}: a weight is 1 to {MOST_WEIGHT}, not {member.weight}")
    zones = {member.zone for member in membership.members}
    if [zone.zone for zone in membership.zone_weights] != sorted(zones):
        raise BadMembershipError("the zones with a weight are not those with members")
    if list(membership.by_id) != sorted(membership.by_id):
        raise BadMembershipError("members are not sorted by id")
    if any(zone.weight <= 0 for zone in membership.zone_weights):
        raise BadMembershipError("a zone's weight must be above 0")
    return membership
