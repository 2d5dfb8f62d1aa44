"""The turn of a shard has one owner: leases, fencing tokens, two epochs alive at once, a process that wakes late."""

import pytest

from linkdock.assignment.errors import FencedTurnError, StaleMessageError
from linkdock.assignment.holder import TurnHolder, TurnSettings, TurnState
from linkdock.assignment.membership import Change, Member, Membership, made
from linkdock.assignment.placement import Placement
from linkdock.assignment.turns import (
    Behind,
    Claim,
    Done,
    Expire,
    Granted,
    LeaseClock,
    LeaseOver,
    NextEpoch,
    OpenLease,
    Refused,
    Release,
    Renew,
    Renewed,
    Taken,
    Token,
    TurnTable,
)

SHARD = 5
SETTINGS = TurnSettings()
A, B = "a~1", "b~1"


def placed(shard: int, epoch: Membership) -> Placement:
    """A goes first in odd epochs, B in even ones."""
    return Placement(shard, (A, B) if epoch.epoch % 2 else (B, A))


class World:
    """A table, and two members that speak with it at once: what is asked is an entry, and answered."""

    def __init__(self) -> None:
        self.table = TurnTable(made(1, [Member(A, "x"), Member(B, "y")]), placed)
        self.index = 0
        self.holders = {name: TurnHolder(name, SETTINGS, 0.0) for name in (A, B)}
        for holder in self.holders.values():
            holder.adopt(1, {SHARD: 0})

    def apply(self, command):
        self.index += 1
        return self.table.apply(self.index, command)

    def open(self, name: str, now: float) -> None:
        self.holders[name].lease_opened(now, self.apply(OpenLease(name)).lease)

    def renew(self, name: str, now: float):
        holder = self.holders[name]
        answer = self.apply(holder.renewal())
        if isinstance(answer, Renewed):
            holder.lease_renewed(now, answer.lease)
            for shard, token in answer.give_up:
                holder.asked_back(shard, token)
        return answer

    def claim(self, name: str):
        answer = self.apply(self.holders[name].claim(SHARD))
        if isinstance(answer, Granted):
            assert self.holders[name].granted(answer)
        return answer

    def next_epoch(self) -> None:
        assert self.apply(NextEpoch(Change(self.table.membership.epoch))) == Done()

    def release(self, name: str, now: float) -> list[Release]:
        asked = self.holders[name].releases(now)
        for release in asked:
            self.apply(release)
            self.holders[name].released(release.shard, release.token)
        return asked


@pytest.fixture
def world() -> World:
    world = World()
    world.open(A, 10.0)
    world.open(B, 10.0)
    return world


def test_the_first_replica_is_granted_the_turn_and_the_second_not_while_it_lives(world):
    assert world.claim(B) == Taken(SHARD, 1, A)
    assert isinstance(world.claim(A), Granted)
    assert world.holders[A].may_begin(11.0, SHARD) and not world.holders[B].may_begin(11.0, SHARD)
    with pytest.raises(FencedTurnError):
        world.holders[B].begin(11.0, SHARD)


def test_an_epoch_takes_no_turn_from_its_owner_the_release_does_once_no_attempt_is_out(world):
    old = world.claim(A).token
    assert world.holders[A].begin(11.0, SHARD) == old
    world.next_epoch()
    world.holders[B].adopt(2, {SHARD: 0})
    assert world.claim(B) == Taken(SHARD, 1, A)
    assert world.renew(A, 12.0) == Behind(2)  # what is old is not extended: the member learns the epoch, or ends
    world.holders[A].adopt(2, {})
    assert world.holders[A].state(SHARD) is TurnState.RELEASING
    assert not world.holders[A].may_begin(12.0, SHARD) and world.release(A, 12.0) == []
    world.holders[A].ended(SHARD)
    assert world.release(A, 12.0) == [Release(SHARD, A, old)]
    granted = world.claim(B)
    assert granted.token > old and world.holders[B].may_begin(13.0, SHARD)


def test_an_owner_that_is_second_now_is_asked_for_the_turn_back(world):
    old = world.claim(A).token
    world.next_epoch()
    for holder in world.holders.values():
        holder.adopt(2, {SHARD: 0 if holder.member == B else 1})
    assert world.holders[A].may_begin(11.0, SHARD)  # it is still a replica, and nobody has asked
    assert isinstance(world.claim(B), Taken)
    assert world.renew(A, 12.0) == Renewed(1, ((SHARD, old),))
    assert not world.holders[A].may_begin(12.0, SHARD)
    assert world.release(A, 12.0) and isinstance(world.claim(B), Granted)


def test_a_dead_owner_is_replaced_after_its_leases_end_and_the_drift_and_not_before(world):
    clock = LeaseClock(SETTINGS.ttl, SETTINGS.drift)
    world.claim(A)
    clock.lead(10.5, world.table.leases)
    assert clock.expired(20.69) == []
    clock.applied(15.0, A, world.table.leases[A])  # nothing new of it: its time runs on
    assert clock.expired(20.71) == [Expire(A, 1, 1), Expire(B, 2, 2)]
    assert world.claim(B) == Taken(SHARD, 1, A)
    assert world.apply(Expire(A, 1, 1)) == Done()
    assert isinstance(world.claim(B), Granted)


def test_a_process_that_wakes_after_its_lease_begins_nothing(world):
    world.claim(A)
    last = 10.0 + SETTINGS.ttl * (1 - SETTINGS.drift) - SETTINGS.longest_attempt
    assert world.holders[A].may_begin(last - 0.01, SHARD)
    assert not world.holders[A].may_begin(last + 0.01, SHARD)  # an attempt would outlast the lease
    world.apply(Expire(A, 1, 1))
    world.claim(B)
    assert world.renew(A, 30.0) == LeaseOver()
    world.holders[A].lease_over(1)
    world.open(A, 30.0)
    assert not world.holders[A].may_begin(31.0, SHARD)
    assert isinstance(world.claim(A), Taken)  # it goes first, yet the turn is to be released to it


def test_a_lease_that_was_renewed_outlives_an_older_expiry(world):
    world.claim(A)
    world.renew(A, 12.0)
    assert isinstance(world.apply(Expire(A, 1, 1)), Refused) and world.table.owners[SHARD].member == A


def test_an_answer_to_an_older_opening_that_comes_late_takes_no_turn_away(world):
    world.open(A, 10.0)
    world.claim(A)
    world.holders[A].lease_opened(10.0, 1)
    assert world.holders[A].may_begin(11.0, SHARD) and world.holders[A].lease == 3


def test_a_lease_counts_from_when_it_was_asked_for(world):
    world.claim(A)
    holder = world.holders[A]
    holder.lease_renewed(9.0, 1)  # an answer that came late takes nothing back
    assert holder.may_begin(17.0, SHARD)
    holder.lease_renewed(12.0, 99)  # of another lease
    assert not holder.may_begin(18.0, SHARD)


def test_a_restart_moves_nothing_and_waits_for_attempts_of_the_run_before(world):
    old = world.claim(A).token
    world.holders[A] = TurnHolder(A, SETTINGS, 15.0)
    world.holders[A].adopt(1, {SHARD: 0})
    world.open(A, 15.1)
    assert isinstance(world.claim(B), Taken)
    assert world.claim(A).token > old
    assert not world.holders[A].may_begin(16.9, SHARD) and world.holders[A].may_begin(17.1, SHARD)
    assert isinstance(world.apply(Release(SHARD, A, old)), Refused)  # of the run before, come late


def test_a_restarted_owner_gives_nothing_back_while_attempts_of_the_run_before_may_be_out(world):
    old = world.claim(A).token
    world.next_epoch()
    world.holders[A] = TurnHolder(A, SETTINGS, 15.0)
    world.holders[A].adopt(2, {SHARD: 1})
    world.holders[B].adopt(2, {SHARD: 0})
    world.open(A, 15.1)
    world.claim(B)
    world.renew(A, 15.2)
    assert world.release(A, 16.9) == []
    assert world.release(A, 17.0) == [Release(SHARD, A, old)]


def test_a_lease_that_is_opened_twice_forgets_no_attempt(world):
    world.claim(A)
    world.holders[A].begin(11.0, SHARD)
    world.open(A, 11.0)  # an answer to a second request
    world.next_epoch()
    world.holders[A].adopt(2, {SHARD: 1})
    world.holders[B].adopt(2, {SHARD: 0})
    world.claim(B)
    world.renew(A, 11.5)
    assert world.release(A, 11.5) == []
    world.holders[A].ended(SHARD)
    assert world.release(A, 11.5) and isinstance(world.claim(B), Granted)


def test_a_grant_for_a_claim_that_was_given_up_is_not_taken(world):
    holder = world.holders[A]
    late = world.apply(holder.claim(SHARD))
    holder.adopt(2, {})
    assert holder.state(SHARD) is None and not holder.granted(late)
    again = TurnHolder(A, SETTINGS, 0.0)
    again.adopt(1, {SHARD: 0})
    again.lease_opened(10.0, 1)
    first, second = again.claim(SHARD), again.claim(SHARD)
    assert (first.number, second.number) == (1, 2)
    assert not again.granted(Granted(SHARD, 1, 1, Token(1, 7))) and again.granted(Granted(SHARD, 2, 1, Token(1, 8)))


def test_without_a_quorum_the_assignment_stays_and_only_turns_end(world):
    world.claim(A)
    assert not world.holders[A].may_begin(1000.0, SHARD)
    assert world.holders[A].assigned == {SHARD: 0}  # classes without order go on by it


def test_an_old_epoch_is_refused_on_both_sides(world):
    world.next_epoch()
    world.holders[B].adopt(2, {SHARD: 0})
    assert world.apply(Claim(SHARD, A, 1, 1, 1)) == Behind(2)
    with pytest.raises(StaleMessageError):
        world.holders[B].adopt(2, {})
    with pytest.raises(StaleMessageError):
        world.holders[B].adopt(1, {})
    assert isinstance(world.apply(NextEpoch(Change(1))), Refused)


def test_a_member_that_left_renews_no_lease_and_keeps_its_turn_until_the_end(world):
    world.claim(A)
    world.apply(NextEpoch(Change(1, left=(A,))))
    assert world.apply(Renew(A, 1, 2)) == LeaseOver() and world.apply(OpenLease(A)) == LeaseOver()
    assert world.table.owners[SHARD].member == A


def test_one_who_is_no_replica_is_granted_nothing(world):
    world.table = TurnTable(world.table.membership, lambda shard, epoch: Placement(shard, (B,)))
    world.open(A, 10.0)
    assert isinstance(world.apply(Claim(SHARD, A, world.index, 1, 1)), Refused)


def test_a_new_leader_gives_each_lease_its_whole_time(world):
    old, new = (LeaseClock(SETTINGS.ttl, SETTINGS.drift) for _ in range(2))
    old.lead(0.0, world.table.leases)
    new.lead(9.0, world.table.leases)
    assert len(old.expired(10.3)) == 2 and new.expired(19.0) == [] and len(new.expired(19.3)) == 2
