"""Assignment of destinations to senders: placement, what moves between epochs, and who proposes an epoch."""

from collections import Counter
from random import Random

import pytest

from linkdock.assignment import hashing, membership, moves, placement
from linkdock.assignment.departures import GRACE, Departures
from linkdock.assignment.errors import BadMembershipError
from linkdock.assignment.membership import Change, Member, ZoneWeight, changed, made

SHARDS = 768  # of the fixed number: enough to count moves, and quick


@pytest.fixture(autouse=True)
def few_shards(monkeypatch):
    for module in (hashing, placement, moves):
        monkeypatch.setattr(module, "SHARD_COUNT", SHARDS)


def members(count: int, zones: int = 5, weight: int = 100) -> list[Member]:
    return [Member(f"sender-{at}~{at:04x}", f"zone-{at % zones}", weight) for at in range(count)]


def whole(epoch: membership.Membership) -> dict[int, tuple[str, ...]]:
    return {shard: placement.assign(shard, epoch).members for shard in range(SHARDS)}


def test_what_processes_must_compute_alike_stays_as_it_is():
    """Danger: another hash moves every shard, and two versions of the program would disagree on all of them."""
    epoch = made(1, members(20))
    assert hashing.name_seed(b"member", "sender-0~0000") == 0x7A8463AEB0A12F6C
    assert [hashing.mix(at) for at in (0, 1)] == [0, 0xB456BCFC34C2CB2C]
    assert placement.assign(7, epoch).members == ("sender-9~0009", "sender-0~0000", "sender-3~0003")
    assert epoch.digest.hex() == "e4121537d8a2a335"


def test_the_order_in_which_members_are_told_has_no_say():
    told = members(60)
    epoch = made(1, told)
    for seed in range(3):
        Random(seed).shuffle(told)
        other = made(1, told)
        assert other.digest == epoch.digest
        assert all(placement.assign(shard, other) == placement.assign(shard, epoch) for shard in range(300))


@pytest.mark.parametrize("zones, spread", [(5, 3), (3, 3), (2, 2), (1, 1)])
def test_replicas_stand_in_different_zones_where_zones_suffice(zones, spread):
    epoch = made(1, members(30, zones))
    for shard in range(500):
        found = placement.assign(shard, epoch).members
        assert len(set(found)) == 3
        assert len({epoch.by_id[member].zone for member in found}) == spread


def test_fewer_members_than_replicas_all_have_every_shard():
    epoch = made(1, [Member("a~1", "x"), Member("b~1", "x")])
    assert {frozenset(placement.assign(shard, epoch).members) for shard in range(50)} == {frozenset(("a~1", "b~1"))}
    lonely = made(1, [Member("a~1", "x"), Member("b~1", "y"), Member("c~1", "y")])
    assert {len(placement.assign(shard, lonely).members) for shard in range(50)} == {3}


def test_shares_follow_weights_within_a_zone_and_between_zones():
    mixed = [Member(f"s{at}~1", "only", 100 if at % 2 else 300) for at in range(10)]
    shares = Counter(placement.assign(shard, made(1, mixed, replicas=1)).members[0] for shard in range(SHARDS))
    heavy = sum(count for member, count in shares.items() if int(member[1:-2]) % 2 == 0)
    assert 0.70 < heavy / SHARDS < 0.80
    zones = [Member(f"s{at}~1", "big" if at < 8 else "small") for at in range(10)]
    first = Counter(placement.assign(shard, made(1, zones, replicas=1)).members[0] for shard in range(SHARDS))
    assert 0.75 < sum(first[f"s{at}~1"] for at in range(8)) / SHARDS < 0.85


@pytest.mark.parametrize("zones, weights", [(5, (100,)), (5, (100, 50, 200)), (2, (100,)), (2, (100, 170))])
def test_a_member_works_out_its_own_shards_as_the_whole_assignment_has_them(zones, weights):
    epoch = made(1, [Member(m.id, m.zone, weights[at % len(weights)]) for at, m in enumerate(members(24, zones))])
    everything = whole(epoch)
    for member in epoch.members[::5]:
        expected = {shard: found.index(member.id) for shard, found in everything.items() if member.id in found}
        assert placement.shards_of(member.id, epoch) == expected


def test_a_loss_moves_only_the_shards_of_the_member_that_is_lost():
    before = made(1, members(100))
    lost = before.members[17]
    after = changed(before, Change(1, left=(lost.id,)))
    old, new = whole(before), whole(after)
    moved = [shard for shard in old if old[shard] != new[shard]]
    assert moved == [shard for shard in old if lost.id in old[shard]]
    for shard in moved:
        at = old[shard].index(lost.id)
        assert [m for m in old[shard] if m != lost.id] == [m for k, m in enumerate(new[shard]) if k != at]
        assert after.by_id[new[shard][at]].zone == lost.zone


def test_a_member_that_comes_back_under_its_id_brings_the_old_assignment_back():
    before = made(1, members(50))
    gone = before.members[3]
    after = changed(changed(before, Change(1, left=(gone.id,))), Change(2, joined=(gone,)))
    assert after.epoch == 3 and whole(after) == whole(before)


def test_a_zone_that_is_lost_leaves_the_replicas_of_others_where_they_are():
    before = made(1, members(50))
    after = changed(before, Change(1, left=tuple(m.id for m in before.members if m.zone == "zone-2")))
    old, new = whole(before), whole(after)
    for shard in old:
        stay = [m for m in old[shard] if before.by_id[m].zone != "zone-2"]
        assert [m for m in new[shard] if m in stay] == stay
        assert len({after.by_id[m].zone for m in new[shard]}) == 3


def test_a_zones_weight_follows_its_members_only_beyond_the_tolerance():
    before = made(1, members(100))
    near = changed(before, Change(1, left=(before.members[0].id, before.members[5].id)))
    assert near.zone_weights == before.zone_weights
    leaving = tuple(member.id for member in before.members if member.zone == "zone-0")[:3]
    far = changed(before, Change(1, left=leaving))
    assert [zone.weight for zone in far.zone_weights] == [1700, 2000, 2000, 2000, 2000]
    told = changed(before, Change(1, zone_weights=(ZoneWeight("zone-1", 1000),)))
    assert told.zone_weights[1].weight == 1000


@pytest.mark.parametrize("seed", range(8))
def test_the_incremental_way_comes_to_the_whole_one(seed):
    chance = Random(seed)
    epoch = made(1, members(40, zones=chance.choice((2, 4))))
    watched = chance.sample([member.id for member in epoch.members], 3)
    held = {member: placement.shards_of(member, epoch) for member in watched}
    for step in range(4):
        left = [member.id for member in chance.sample(epoch.members, chance.randrange(3))]
        joined = tuple(Member(f"new-{step}-{at}~{seed}", f"zone-{at}") for at in range(chance.randrange(3)))
        heavier = chance.choice(epoch.members)
        if heavier.id not in left and chance.random() < 0.5:
            joined += (Member(heavier.id, heavier.zone, chance.choice((90, 100, 150))),)
        after = changed(epoch, Change(epoch.epoch, joined, tuple(left)))
        for member in watched:
            found = moves.shards_after(member, held[member], epoch, after)
            assert found == placement.shards_of(member, after)
            told = moves.moves(held[member], found)
            assert held[member].keys() - told.lost.keys() | told.gained.keys() == found.keys()
            held[member] = found
        epoch = after


def test_a_change_elsewhere_costs_a_member_nothing(monkeypatch):
    before = made(1, members(50))
    me, other = before.members[0], next(m for m in before.members if m.zone != before.members[0].zone)
    held = placement.shards_of(me.id, before)
    after = changed(before, Change(1, left=(other.id,)))
    monkeypatch.setattr(moves, "shard_seed", None)  # whatever looks at a shard fails
    assert moves.shards_after(me.id, held, before, after) == held


@pytest.mark.parametrize(
    "change, says",
    [
        (Change(2), "from epoch 2 in epoch 1"),
        (Change(1, left=("nobody~1",)), "is not there"),
        (Change(1, joined=(Member("sender-9", "zone-1"),)), "no `name~life`"),
        (Change(1, joined=(Member("new~1", "zone-1", 0),)), "a weight is"),
        (Change(1, joined=(Member("new~1", ""),)), "a zone's name"),
        (Change(1, zone_weights=(ZoneWeight("zone-1", 0),)), "above 0"),
    ],
)
def test_a_change_that_cannot_be_is_refused(change, says):
    with pytest.raises(BadMembershipError, match=says):
        changed(made(1, members(10)), change)


def test_two_members_of_one_id_are_refused():
    with pytest.raises(BadMembershipError, match="two members"):
        made(1, [Member("a~1", "x"), Member("a~1", "y")])


def test_a_restart_within_the_grace_time_changes_nothing():
    epoch, all_there = made(1, members(40)), members(40)
    proposer = Departures()
    assert proposer.propose(0.0, all_there[1:], epoch) is None
    assert proposer.propose(GRACE - 1, all_there[1:], epoch) is None
    assert proposer.propose(GRACE - 0.5, all_there, epoch) is None and proposer.missing == 0
    assert proposer.propose(GRACE + 1, all_there[1:], epoch) is None  # missing anew: counted anew


def test_who_stays_away_leaves_and_a_new_life_is_another_member():
    epoch, there = made(1, members(40)), members(40)[1:]
    proposer = Departures()
    reborn = Member("sender-0~beef", "zone-0")
    assert proposer.propose(0.0, [*there, reborn], epoch) == Change(1, joined=(reborn,))
    epoch = changed(epoch, Change(1, joined=(reborn,)))
    assert proposer.propose(GRACE, [*there, reborn], epoch) == Change(2, left=("sender-0~0000",))


def test_a_proposer_that_is_cut_off_takes_nobody_out_but_a_whole_zone_may_leave():
    epoch, told = made(1, members(40)), members(40)
    cut, alone, zone_lost = Departures(), Departures(), Departures()
    for now in (0.0, GRACE, 2 * GRACE):
        assert cut.propose(now, told[:20], epoch) is None
        assert alone.propose(now, [], epoch) is None
    away = [member for member in told if member.zone != "zone-4"]
    assert zone_lost.propose(0.0, away, epoch) is None
    change = zone_lost.propose(GRACE, away, epoch)
    assert change is not None and len(change.left) == 8
    assert {zone.zone for zone in changed(epoch, change).zone_weights} == {f"zone-{at}" for at in range(4)}
