"""Many senders on one virtual clock: what they do together to one member."""

from random import Random

import pytest

from linkdock.lab.fleet import RETURNS, Fleet, Plan, run, story
from linkdock.lab.members import FULL, OK, SILENT, Member, Rules


def test_a_cold_member_topples_and_the_rule_asks_who_knew():
    for knew in (True, False):
        member = Member(0, Rules(fall_multiple=1.5, fall_time=2.0, cold_time=10.0, cold_share=0.5), Random(1), rate=4.0)
        member.fall()
        member.come_back(100.0)
        replies = [member.call(100.0 + n / 100, 1, knew).how for n in range(14)]  # N is 6.07: 13 are lawful in 2 s
        assert set(replies[:13]) <= {OK, FULL} and replies[13] == SILENT
        assert (member.toppled, member.broken, member.outages) == (1, int(knew), 2)


def test_one_seed_is_one_schedule():
    plan = Plan(senders=30, members=4, rate=40.0)
    first, second = (story(plan, 5, "return") for _ in range(2))
    first.pop("took s"), second.pop("took s")
    assert first == second


@pytest.mark.parametrize("name", ["return", "halved", "herd"])
@pytest.mark.parametrize("seed", [1, 2])
def test_two_hundred_senders_keep_the_rule_on_a_member_that_returns_or_shrinks(name, seed):
    told = story(Plan(), seed, name)
    assert told["rule broken"] == 0 and told["served"] > 0.8
    assert told["failed"] < 0.05
    if name == "halved":
        assert told["toppled"] == 0 and told["refused later"] < 0.4


def test_a_restart_of_most_takes_up_what_was_held_and_ends_each_message_once():
    plan = Plan(senders=20, members=4, rate=40.0)
    fleet = Fleet(plan, 3)
    for member in fleet.members.values():
        member.fall()  # nothing is served: all of it is held, or out
    fleet.run(2.0, [])
    held = {id(world): set(world._open) for world in fleet.worlds}
    doubtful = {id(world): {n for n, _ in world._out if world._open[n].cls == 1} for world in fleet.worlds}
    for world in fleet.worlds:
        world.restart(7, fleet.listed)
        assert set(world._open) == held[id(world)] - doubtful[id(world)]  # an order in doubt has ended
    assert any(doubtful.values())
    fleet.run(40.0, [])
    for world in fleet.worlds:
        tally = world.tallies.get("all")
        assert not world._open
        assert tally is None or tally.asked == tally.served + tally.late + tally.refused + tally.failed


@pytest.mark.parametrize("seed", [1, 2, 4, 6])
def test_senders_that_know_of_an_outage_share_out_what_a_cold_member_bears(seed):
    """It has a twentieth of its limit, and seven in ten of them were killed just before with messages held."""
    plan = Plan(senders=25, members=3, rate=60.0, room=1.0, cold_share=0.05)
    told = story(plan, seed, "herd")
    assert told["rule broken"] == told["toppled"] == 0 and told["most by those told"] <= 1.0


def test_each_size_of_a_fleet_is_told_against_what_a_cold_member_bears():
    report = run(Plan(members=3, rate=60.0, seeds=1, sizes=(3, 25)))
    assert list(report["plan"]["sizes"]) == [3, 25] and {"3 senders", "25 senders"} < set(report)
    for size in ("3 senders", "25 senders"):
        for name in RETURNS:
            figures = report[size][name]
            assert figures["rule broken"]["most"] == 0 and 0 < figures["most by those told"]["most"] <= 1.0
