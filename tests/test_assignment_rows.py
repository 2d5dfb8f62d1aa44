"""Rows, digests and messages of the assignment: what is spoilt, foreign, stale or replayed changes nothing."""

from random import Random

import msgspec
import pytest

from linkdock.assignment import pieces
from linkdock.assignment.errors import (
    BadMembershipError,
    DivergedRowsError,
    ForeignMessageError,
    ReplayedMessageError,
    SpoiltMessageError,
    StaleMessageError,
)
from linkdock.assignment.hashing import shard_of
from linkdock.assignment.membership import Change, Member, made
from linkdock.assignment.messages import (
    Codec,
    DigestOffer,
    EpochChange,
    HandOver,
    LearnedState,
    PartOffer,
    WaitingMessage,
)
from linkdock.assignment.rows import (
    Delta,
    Removed,
    Row,
    RowStore,
    ShardDigest,
    Snapshot,
    row_hash,
    snapshots_for,
)
from linkdock.assignment.turns import Token

FLEET, KEY = "north", "sixteen characters"
SHARD = shard_of(1)
OF_SHARD = [number for number in range(1, 400_000) if shard_of(number) == SHARD][:4]


def filled(*rows: Row) -> RowStore:
    store = RowStore()
    store.hold([SHARD])
    store.put(Snapshot(SHARD, rows))
    return store


def plain() -> tuple[Row, ...]:
    return tuple(Row(number, 5, b"row %d" % number) for number in OF_SHARD[:3])


def after(*rows: Row) -> ShardDigest:
    return filled(*rows).digest(SHARD)


def test_a_digest_does_not_hang_on_the_order_and_does_on_every_byte_and_version():
    rows = list(plain())
    one = filled(*rows).digest(SHARD)
    Random(1).shuffle(rows)
    assert filled(*rows).digest(SHARD) == one
    for other in (Row(rows[0].destination, 6, rows[0].data), Row(rows[0].destination, 5, b"else")):
        assert filled(other, *rows[1:]).digest(SHARD) != one


@pytest.mark.parametrize("seed", range(5))
def test_deltas_bring_a_holder_to_the_digest_of_the_source(seed):
    chance, version = Random(seed), 5
    rows = {row.destination: row for row in plain()}
    holder, relay = filled(*rows.values()), filled(*rows.values())
    for _ in range(20):
        version += 1
        number = chance.choice(OF_SHARD)
        removed = (Removed(number, version),) if number in rows and chance.random() < 0.4 else ()
        changed = () if removed else (Row(number, version, chance.randbytes(20)),)
        rows.pop(number, None)
        rows.update((row.destination, row) for row in changed)
        delta = Delta(after(*rows.values()), changed, removed)
        for store in (holder, relay):
            store.change(delta)
        assert holder.digest(SHARD) == relay.digest(SHARD) and holder.part_digest() == relay.part_digest()
    assert snapshots_for(relay, holder.digests()) == []


def test_a_missed_delta_is_seen_and_one_snapshot_mends_it():
    rows = plain()
    holder = filled(*rows)
    newest = (Row(OF_SHARD[0], 7, b"new"), Row(OF_SHARD[1], 6, b"missed"), rows[2])
    before = holder.digest(SHARD)
    with pytest.raises(DivergedRowsError, match=f"shard {SHARD}: 3 rows"):
        holder.change(Delta(after(*newest), (newest[0],)))
    assert holder.digest(SHARD) == before and holder.row(OF_SHARD[0]) == rows[0]
    (snapshot,) = snapshots_for(filled(*newest), holder.digests())
    holder.put(snapshot)
    assert holder.digest(SHARD) == after(*newest) and holder.row(OF_SHARD[1]) == newest[1]


@pytest.mark.parametrize(
    "change, kind",
    [
        (Delta(ShardDigest(SHARD, 0, 0), (Row(OF_SHARD[0], 4, b"old"),)), StaleMessageError),
        (Delta(ShardDigest(SHARD, 0, 0), (), (Removed(OF_SHARD[0], 4),)), StaleMessageError),
        (Delta(ShardDigest(SHARD, 0, 0), (Row(2, 9, b"of another shard"),)), DivergedRowsError),
        (Delta(ShardDigest(SHARD, 0, 0), (Row(OF_SHARD[0], 9, b"x" * 5000),)), DivergedRowsError),
        (Delta(ShardDigest(SHARD ^ 1, 0, 0), ()), DivergedRowsError),
        (Snapshot(SHARD, (Row(2, 9, b"of another shard"),)), DivergedRowsError),
        (Snapshot(SHARD, (Row(OF_SHARD[0], 4, b"old"),)), StaleMessageError),
        (Snapshot(SHARD, (Row(OF_SHARD[0], 9, b"a"), Row(OF_SHARD[0], 9, b"b"))), DivergedRowsError),
        (Snapshot(SHARD ^ 1, ()), DivergedRowsError),
    ],
)
def test_rows_that_cannot_be_taken_change_nothing(change, kind):
    store = filled(*plain())
    before = store.part_digest()
    with pytest.raises(kind) as told:
        store.put(change) if isinstance(change, Snapshot) else store.change(change)
    assert told.value.code.startswith("LD-ASSIGNMENT-") and str(told.value)
    assert store.part_digest() == before


def test_a_store_holds_its_shards_and_no_others():
    store = filled(*plain())
    store.hold([SHARD, SHARD ^ 1])
    assert store.digest(SHARD).count == 3 and store.digest(SHARD ^ 1) == ShardDigest(SHARD ^ 1, 0, 0)
    store.hold([SHARD ^ 1])
    assert store.held == {SHARD ^ 1} and store.row(OF_SHARD[0]) is None
    with pytest.raises(ValueError):
        store.hold([1 << 16])


BODIES = [
    EpochChange(Change(1, (Member("new~1", "z"),), ("old~1",)), b"12345678"),
    PartOffer(filled(*plain()).part_digest()),
    DigestOffer(filled(*plain()).digests()),
    Snapshot(SHARD, plain()),
    Delta(after(*plain()), plain(), (Removed(9, 9),)),
    HandOver(
        SHARD,
        Token(2, 7),
        (WaitingMessage("id", "key", OF_SHARD[0], 1500, b"body"),),
        (LearnedState(OF_SHARD[0], 100, 250, b"estimates"),),
    ),
]


def codecs() -> tuple[Codec, Codec]:
    return Codec(FLEET, KEY, "a~1", 1), Codec(FLEET, KEY, "b~1", 1)


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_messages_come_as_they_were_sent_and_once(body):
    a, b = codecs()
    data = a.encode("b~1", 4, body)
    told = b.decode(data, 4)
    assert (told.sender, told.epoch, told.body) == ("a~1", 4, body)
    with pytest.raises(ReplayedMessageError):
        b.decode(data, 4)
    b.decode(a.encode("b~1", 4, body), 4)


def test_an_older_run_and_an_older_sequence_are_refused_and_a_newer_run_begins_anew():
    a, b = codecs()
    early, late = a.encode("b~1", 1, BODIES[1]), a.encode("b~1", 1, BODIES[1])
    b.decode(late, 1)
    with pytest.raises(ReplayedMessageError):
        b.decode(early, 1)
    b.decode(Codec(FLEET, KEY, "a~1", 2).encode("b~1", 1, BODIES[1]), 1)
    with pytest.raises(ReplayedMessageError):
        b.decode(a.encode("b~1", 1, BODIES[1]), 1)


@pytest.mark.parametrize(
    "fleet, key, to, epoch, kind",
    [
        ("south", KEY, "b~1", 4, ForeignMessageError),
        (FLEET, KEY, "c~1", 4, ForeignMessageError),
        (FLEET, "another key of it", "b~1", 4, SpoiltMessageError),
        (FLEET, KEY, "b~1", 3, StaleMessageError),
    ],
)
def test_what_is_foreign_or_stale_is_refused_by_type(fleet, key, to, epoch, kind):
    b = codecs()[1]
    with pytest.raises(kind):
        b.decode(Codec(fleet, key, "a~1", 1).encode(to, epoch, BODIES[1]), 4)


def test_every_spoilt_byte_and_every_cut_is_refused_and_nothing_is_remembered_of_it():
    a, b = codecs()
    data = a.encode("b~1", 1, BODIES[3])
    for at in range(len(data)):
        for spoilt in (data[:at], data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]):
            with pytest.raises(SpoiltMessageError):
                b.decode(spoilt, 1)
    assert b.decode(data, 1).body == BODIES[3]


@pytest.mark.parametrize(
    "form",
    [
        [],
        {"a": 1},
        [b"", "a~1", "b~1", 1, 1, 1, ["none", 1]],
        None,
        [b"", "a~1", "b~1", 1, 1, 1, ["snapshot", SHARD, [[1, 2]]]],
    ],
)
def test_what_is_signed_but_of_no_known_form_is_refused(form):
    b = codecs()[1]
    data = msgspec.msgpack.encode(form)
    with pytest.raises(SpoiltMessageError):
        b.decode(b._digest(data) + data, 1)


def test_a_message_beyond_the_bound_is_not_sent_and_one_that_comes_is_not_read():
    a, b = codecs()
    with pytest.raises(ValueError):
        a.encode("b~1", 1, Snapshot(SHARD, (Row(1, 1, bytes(1 << 20)),)))
    with pytest.raises(SpoiltMessageError):
        b.decode(bytes((1 << 20) + 1), 1)


def test_peers_that_left_are_forgotten():
    a, b = codecs()
    b.decode(a.encode("b~1", 1, BODIES[1]), 1)
    b.forget(made(2, [Member("b~1", "z")]))
    assert b._seen == {}


@pytest.mark.parametrize("members", [1, 1000, 2500])
def test_a_membership_comes_whole_out_of_its_pieces_in_any_order_and_never_half(members):
    epoch = made(3, [Member(f"s{at:04d}~1", f"z{at % 3}") for at in range(members)])
    told = pieces.epoch_in_pieces(epoch)
    Random(1).shuffle(told)
    assert len(told) == -(-members // 1000) and pieces.epoch_of_pieces(told) == epoch
    if len(told) > 1:
        assert pieces.epoch_of_pieces(told[1:]) is None
    spoilt = msgspec.structs.replace(told[0], members=told[0].members[1:])
    with pytest.raises(BadMembershipError):
        pieces.epoch_of_pieces([spoilt, *told[1:]])
    with pytest.raises(BadMembershipError):
        pieces.epoch_of_pieces([*told, *pieces.epoch_in_pieces(made(4, epoch.members))])


def test_a_change_is_taken_once_from_the_epoch_that_it_names_and_if_it_comes_to_its_digest():
    epoch = made(1, [Member(f"s{at}~1", "z") for at in range(5)])
    told = pieces.change_message(epoch, Change(1, left=("s3~1",)))
    after = pieces.next_epoch(epoch, told)
    assert after.epoch == 2 and "s3~1" not in after.by_id
    with pytest.raises(StaleMessageError):
        pieces.next_epoch(after, told)
    for bad in (EpochChange(Change(2), told.digest), EpochChange(told.change, b"another.")):
        with pytest.raises(BadMembershipError):
            pieces.next_epoch(epoch, bad)


def test_what_is_handed_over_keeps_its_order_and_its_bound():
    waiting = [WaitingMessage(f"id-{at}", "key", 1, 1000, bytes(60_000)) for at in range(20)]
    learned = (LearnedState(1, 1, 0, b"estimates"),)
    told = list(pieces.hand_overs(SHARD, Token(2, 7), waiting, learned))
    assert [one.last for one in told] == [False, False, True]
    assert [message for one in told for message in one.waiting] == waiting
    assert told[0].learned == learned and not told[1].learned
    sender = codecs()[0]
    assert all(len(sender.encode("b~1", 1, one)) < 1 << 20 for one in told)
    assert list(pieces.hand_overs(SHARD, Token(2, 7), [], [])) == [HandOver(SHARD, Token(2, 7), (), ())]


def test_a_rows_hash_stays_as_it_is():
    assert row_hash(Row(1, 2, b"abc")) == 0xF704330C93D94697
