"""What the assignment costs one sender: encoded sizes, processor time and memory of the program's own code."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from ..assignment import hashing, moves, placement
from ..assignment.membership import Change, Membership, ZoneWeight, changed
from ..assignment.messages import Codec, DigestOffer, EpochChange, EpochSnapshot, PartOffer
from ..assignment.rows import Delta, PartDigest, Row, RowStore, ShardDigest, Snapshot
from ..assignment.turns import Renew

ROW_BYTES = 126  # of one row on the wire, as a real list has it (measured by the watch, at aefb983)
CHANGE_BYTES = 1_000  # of one configuration change that all senders take, digest and frame included; assumed
DIGEST_EVERY = 30.0  # seconds between two PartOffers
RENEW_EVERY = 10.0 / 3  # seconds: a third of a lease
ROUNDS = 3  # of each measurement; the least counts, since other work only adds
SLICE_SHARDS = placement.SCAN_SLICE
_encode = msgspec.msgpack.Encoder().encode


class Sizes:
    """Bytes of messages as the codec makes them."""

    def __init__(self, epoch: Membership, destinations: int) -> None:
        """Encode one message of each kind; the membership's is that of `epoch`."""
        self._codec = Codec("fleet", "a key of sixteen", "sender-00000~0123456789abcdef", 1_700_000_000_000)
        self._epoch = epoch
        self.row = len(_encode(row(10**6, 10**9)))
        one = ShardDigest(1, 20, hashing.MASK)
        self.delta_frame = self._size(Delta(one, ()))
        self.part_offer = self._size(PartOffer(PartDigest(29, 600, hashing.MASK)))
        self.digest_offer = self._size(DigestOffer((one,) * 29))
        self.renewal = len(_encode(Renew(epoch.members[0].id, 10**9, epoch.epoch)))
        self.membership = self._size(EpochSnapshot(1, 0, 1, epoch.members, epoch.zone_weights, 3, bytes(8)))
        member = epoch.members[0]
        self.one_change = self.change(Change(10**6, (member,), (member.id,), (ZoneWeight(member.zone, 68_000),)))

    def _size(self, body: object) -> int:
        return len(self._codec.encode("sender-06799~0123456789abcdef", 10**6, body))

    def change(self, change: Change) -> int:
        """Bytes of the message that tells of a change."""
        return self._size(EpochChange(change, bytes(8)))


def row(destination: int, version: int) -> Row:
    """A row whose data has ROW_BYTES."""
    return Row(destination, version, bytes(ROW_BYTES))


class Processor(NamedTuple):
    """Seconds of processor time of one sender."""

    first: float  # its own part, nothing known before
    own_zone: float  # its own part after a loss in its zone
    elsewhere: float  # after a loss in another one
    epoch: float  # the membership of a change, and its digest
    slice: float  # the longest step of a scan
    assign: float  # of one shard
    digest: float  # of the own part
    delta: float  # of one row


def processor(epoch: Membership) -> Processor:
    """Measured for one member of `epoch`, the least of ROUNDS runs."""
    me = epoch.members[len(epoch.members) // 2]
    near = next(member for member in epoch.members if member.zone == me.zone and member.id != me.id)
    far = next(member for member in epoch.members if member.zone != me.zone)
    held: dict[int, int] = {}
    first, longest = float("inf"), float("inf")
    for _ in range(ROUNDS):
        epoch.zone_tables.clear()
        steps, held = _stepped(placement.scan(me.id, epoch))
        first, longest = min(first, sum(steps)), min(longest, max(steps))
    after_near, after_far = (changed(epoch, Change(epoch.epoch, left=(one.id,))) for one in (near, far))
    own_zone = _least(lambda: moves.shards_after(me.id, held, epoch, after_near))
    elsewhere = _least(lambda: moves.shards_after(me.id, held, epoch, after_far))
    taken_up = _least(lambda: changed(epoch, Change(epoch.epoch, left=(far.id,))).digest)
    one = _least(lambda: [placement.assign(shard, epoch) for shard in range(50)]) / 50
    store = filled(range(1_000))
    shard = next(iter(store.held))
    changing = Row(store.rows(shard)[0].destination, 10**9 + 1, bytes(ROW_BYTES))
    after = _after(store, shard, changing)
    return Processor(
        first,
        own_zone,
        elsewhere,
        taken_up,
        longest,
        one,
        _least(store.part_digest),
        _least(lambda: store.change(Delta(after, (changing,)))),
    )


def _after(store: RowStore, shard: int, changing: Row) -> ShardDigest:
    twin = RowStore()
    twin.hold([shard])
    others = tuple(row for row in store.rows(shard) if row.destination != changing.destination)
    twin.put(Snapshot(shard, (*others, changing)))
    return twin.digest(shard)


def _stepped(scan: Iterable[dict[int, int]]) -> tuple[list[float], dict[int, int]]:
    steps, found, begun = [], {}, time.process_time()
    for found in scan:  # noqa: B007 - the last one counts
        now = time.process_time()
        steps.append(now - begun)
        begun = now
    return steps, found


def _least(work: Callable[[], object]) -> float:
    least = float("inf")
    for _ in range(ROUNDS):
        begun = time.process_time()
        work()
        least = min(least, time.process_time() - begun)
    return least


def filled(destinations: Iterable[int]) -> RowStore:
    """A store with a row of each destination."""
    by_shard: dict[int, list[Row]] = {}
    for destination in destinations:
        by_shard.setdefault(hashing.shard_of(destination), []).append(row(destination, 10**9))
    store = RowStore()
    store.hold(by_shard)
    for shard, rows in by_shard.items():
        store.put(Snapshot(shard, tuple(rows)))
    return store


class Memory(NamedTuple):
    """Bytes that stay allocated."""

    membership: int
    rows: int


def memory(epoch: Membership, rows: int) -> Memory:
    """Of a membership as it comes from the wire, with all that a sender keeps of it, and of so many rows."""
    data = _encode(epoch)
    tracemalloc.start()
    try:
        decoded = msgspec.msgpack.decode(data, type=Membership)
        held = placement.shards_of(decoded.members[0].id, decoded)
        membership = tracemalloc.get_traced_memory()[0]
        store = filled(range(rows))
        both = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert held and store.held
    return Memory(membership, both - membership)
