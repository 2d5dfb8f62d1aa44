"""Checks of the assignment by name. Each raises Broken, or says in a few words how far it has looked."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from unittest import mock

from ..assignment import membership, moves, placement
from ..assignment.errors import AssignmentError
from ..assignment.hashing import shard_of
from ..assignment.membership import Change, Member, made
from ..assignment.messages import Codec, PartOffer
from ..assignment.rows import Delta, PartDigest, Removed, Row, RowStore, ShardDigest, Snapshot
from .virtual_assignment_plans import PLANS
from .virtual_assignment_search import Search
from .virtual_log_checks import Broken

STATES = 130_000  # of a search, at most
SHARDS = range(0, 65_536, 331)  # those that the checks of placement look at
FEW_SHARDS = 2048
MEMBERS = [Member(f"sender-{at}~{at:04x}", f"zone-{at % 5}", 100) for at in range(50)]


def check_order_free() -> str:
    """The order in which members are told has no say."""
    told = list(MEMBERS)
    first = [placement.assign(shard, made(1, told)).members for shard in SHARDS]
    Random(1).shuffle(told)
    shuffled = membership.Membership(1, tuple(told), made(1, told).zone_weights)
    for shard, expected in zip(SHARDS, first, strict=True):
        if placement.assign(shard, shuffled).members != expected:
            raise Broken("order-free", f"shard {shard} hangs on the order of members")
    return f"{len(first)} shards"


def check_zone_spread() -> str:
    """Replicas of one shard stand in different zones, where there are as many zones."""
    epoch = made(1, MEMBERS)
    for shard in SHARDS:
        found = placement.assign(shard, epoch).members
        if len({epoch.by_id[member].zone for member in found}) < epoch.replicas:
            raise Broken("zone-spread", f"shard {shard}: {found}")
    return f"{len(SHARDS)} shards"


def check_least_moves() -> str:
    """A loss moves the shards of the member that is lost, and no others."""
    before = made(1, MEMBERS)
    lost = before.members[7]
    after = membership.changed(before, Change(1, left=(lost.id,)))
    for shard in SHARDS:
        old, new = placement.assign(shard, before).members, placement.assign(shard, after).members
        if lost.id not in old and old != new:
            raise Broken("least-moves", f"shard {shard}: {old} to {new}, of which {lost.id} had none")
    return f"{len(SHARDS)} shards"


def check_incremental() -> str:
    """What a member works out from one epoch to the next is what it would work out from nothing."""
    with mock.patch.object(placement, "SHARD_COUNT", FEW_SHARDS), mock.patch.object(moves, "SHARD_COUNT", FEW_SHARDS):
        return _incremental()


def _incremental() -> str:
    epoch, me = made(1, MEMBERS), MEMBERS[0].id
    held = placement.shards_of(me, epoch)
    left = MEMBERS[5].id
    for change in (Change(1, left=(left,)), Change(2, joined=(Member("new~1", "zone-0"),))):
        after = membership.changed(epoch, change)
        found = moves.shards_after(me, held, epoch, after)
        if found != placement.shards_of(me, after):
            raise Broken(
                "incremental",
                f"{me} has {len(found)} shards by the difference in epoch {after.epoch}, "
                f"{len(placement.shards_of(me, after))} from nothing",
            )
        epoch, held = after, found
    return f"{len(held)} shards"


def check_turns(plan: str) -> Callable[[], str]:
    """A check that searches a plan of PLANS, up to STATES states; it raises Broken for a property that fails."""

    def check() -> str:
        search = Search(replace(PLANS[plan], states=STATES))
        whole = search.run()
        return f"search {plan}, {search.states} states{'' if whole else ', not all'}"

    return check


def check_refused() -> str:
    """A message that is replayed, stale or spoilt is refused, and rows never go back."""
    sender, receiver = Codec("fleet", "key", "a~1", 1), Codec("fleet", "key", "b~1", 1)
    data = sender.encode("b~1", 3, PartOffer(PartDigest(1, 1, 1)))
    receiver.decode(data, 3)
    _must_refuse("replay", lambda: receiver.decode(data, 3))
    stale = sender.encode("b~1", 2, PartOffer(PartDigest(1, 1, 1)))
    _must_refuse("stale", lambda: receiver.decode(stale, 3))
    foreign = Codec("other", "key", "a~1", 2).encode("b~1", 3, PartOffer(PartDigest(1, 1, 1)))
    _must_refuse("foreign", lambda: receiver.decode(foreign, 3))
    spoilt = bytearray(sender.encode("b~1", 3, PartOffer(PartDigest(1, 1, 1))))
    spoilt[-1] ^= 1
    _must_refuse("spoilt", lambda: receiver.decode(bytes(spoilt), 3))
    return "4 messages"


def _must_refuse(name: str, work: Callable[[], object]) -> None:
    try:
        work()
    except AssignmentError:
        return
    raise Broken(name, "it was taken")


def check_rows() -> str:
    """A delta is taken if the rows then come to its digest; an older version of a row never is."""
    shard = shard_of(1)
    store = RowStore()
    store.hold([shard])
    store.put(Snapshot(shard, (Row(1, 5, b"five"),)))
    older = RowStore()
    older.hold([shard])
    older.put(Snapshot(shard, (Row(1, 4, b"four"),)))
    _must_refuse("rows-go-on", lambda: store.change(Delta(older.digest(shard), (Row(1, 4, b"four"),))))
    _must_refuse("rows-diverge", lambda: store.change(Delta(ShardDigest(shard, 1, 1), (Row(1, 6, b"six"),))))
    _must_refuse("rows-diverge", lambda: store.change(Delta(ShardDigest(shard, 0, 1), (), (Removed(1, 6),))))
    return "3 deltas"


CHECKS: dict[str, Callable[[], str]] = {
    "placement: order-free": check_order_free,
    "placement: zone-spread": check_zone_spread,
    "placement: least-moves": check_least_moves,
    "placement: incremental": check_incremental,
    "messages": check_refused,
    "rows": check_rows,
    **{f"turns: {plan}": check_turns(plan) for plan in PLANS},
}
