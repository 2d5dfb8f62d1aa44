"""The grown fleet in the laboratory: its discovery, its scarce connections, and what forty senders do together."""

from random import Random

import pytest

from linkdock import interface as i
from linkdock.lab.grown import AFTER, WARM_UP, Grown, Plan, run, story
from linkdock.lab.members import FULL, OK, Member, Rules
from linkdock.lab.registry import Registry
from linkdock.lab.virtual import Lines

SMALL = {"senders": 12, "destinations": 4, "endpoints": 12, "rate": 60.0}


def test_discovery_that_is_overbooked_serves_nobody_until_it_is_left_alone():
    registry = Registry([i.HostEntry("0-0", 0)], 10.0, Random(1))
    told = []
    served = [registry.ask(0.0, n, lambda changes, upto: told.append(upto)) for n in range(40)]
    assert sum(served) == len(told) == 10 and registry.turned_away == 30
    assert not any(registry.ask(0.1 * n, 50, lambda *news: None) for n in range(1, 20))  # some 10 a second, no rest
    assert registry.ask(9.0, 50, lambda *news: None)
    registry.replace("0-0", "0-new")
    registry.tell(registry.version)
    assert told[-10:] == [2] * 10 and registry.alive("0-new") and not registry.alive("0-0")
    registry.lose(0)
    registry.tell(registry.version)
    assert len(told) == 10 + 10 + 9


@pytest.mark.parametrize("span", [0.0, 1.0])
def test_refused_calls_use_the_limit_up_where_they_count(span):
    def served(counted):
        member = Member(0, Rules(), Random(1), rate=10.0, span=span, refused_count=counted)
        # Twenty at once in each of four seconds, then one at a pace.
        hows = [member.call(t + n / 1000).how for t in range(4) for n in range(20)]
        hows += [member.call(4.0 + n / 20).how for n in range(60)]
        assert set(hows) == {OK, FULL}
        return hows.count(OK)

    assert served(True) < served(False) if not span else served(True) == served(False)


def test_a_member_accepts_so_many_connections_and_has_each_back():
    member, lines = Member(0, Rules(), Random(1), places=2), Lines(idle_for=4.0)
    assert not lines.take("a") and lines.open(member) and lines.open(member) and not lines.open(member)
    until = lines.give_back("a", member, 1.0)
    assert until == 5.0 and member.lines == 2 and lines.take("a") and not lines.take("a")
    lines.give_back("a", member, 2.0), lines.give_back("b", member, 3.0)
    lines.expire("a", 6.0)
    assert member.lines == 1
    lines.drop()
    assert member.lines == 0


@pytest.mark.parametrize("name", ["release", "zone", "lowered"])
def test_one_seed_is_one_schedule_and_every_message_has_one_end(name):
    first, second = (story(Plan(**SMALL), 4, name, tables=True) for _ in range(2))
    first.pop("took s"), second.pop("took s")
    assert first == second
    assert sum(first["by second"]["sent"]) == sum(first["by destination"]["sent"]) == first["sent"]


def test_a_fleet_that_asks_in_step_never_hears_of_a_release_and_one_that_spreads_does():
    even, spread = (story(Plan(asking=how, replaced=1.0), 1, "release") for how in ("even", "spread"))
    assert even["never had the list again"] > 20 and spread["never had the list again"] == 0
    assert spread["s until a killed sender had the list"] < 4.0
    assert spread["served"] > even["served"] + 0.05 and 10 * spread["asks"] < even["asks"]


@pytest.mark.parametrize("senders", [3, 40, 200])
def test_a_release_leaves_no_connection_counted_twice_whatever_the_size(senders):
    fleet = Grown(Plan(senders=senders), 2)
    some = list(range(senders // 2))
    happens = []
    happens.append((WARM_UP, lambda: fleet.kill(some, 3, happens, WARM_UP)))
    fleet.run(WARM_UP + AFTER + 30.0, happens)  # all is over, and every idle connection was retired
    assert [member.lines for member in fleet.members.values()] == [0] * len(fleet.members)
    for world in fleet.worlds:
        tally = world.tallies.get("all")
        assert not world._open
        assert tally is None or tally.asked == tally.served + tally.late + tally.refused + tally.failed


@pytest.mark.parametrize("seed", [1, 2])
def test_cold_destinations_get_less_than_they_can_take_and_lowered_limits_are_kept(seed):
    zone, lowered = (story(Plan(), seed, name) for name in ("zone", "lowered"))
    assert zone["rule broken"] == zone["toppled"] == 0 and zone["s until a sender stopped it"] < 5.0
    assert lowered["refused while lowered"] < 0.4 and lowered["failed messages"] == 0.0


@pytest.mark.parametrize("senders", [3, 40, 200])
def test_a_limit_under_one_call_a_second_and_a_host_that_refuses_connections_cost_each_sender_a_few_tries(senders):
    fleet = Grown(Plan(senders=senders), 1)
    fleet.members[7].rate = 0.5
    dead = next(host for host in fleet.registry.listed if host.startswith("2-"))
    for world in fleet.worlds:
        world.alive = lambda host: host != dead and fleet.registry.alive(host)
    fleet.run(30.0, [])

    def count(destination, what):
        return sum(fleet.counts[second, destination, what] for second in range(30))

    assert count(7, "refused") <= 5 * senders and fleet.members[7].served >= 10
    assert count(2, "failed") <= 2 * senders and fleet.members[2].served >= 0.95 * count(2, "sent")


def test_a_release_through_which_discovery_turns_all_away_costs_few_asks_and_loses_no_message():
    """Thirty of forty die and return at one moment; nobody hears of the endpoints that were replaced meanwhile."""
    told = story(Plan(asks=0.01, replaced=0.4, killed=0.75), 1, "release")
    assert told["asks turned away"] == told["asks"] - 1 and told["never had the list again"] == 30
    # Pauses of 1.25, 2.5 and then 3.3 s in the mean, since what discovery has binds 8 s after it can be reached again:
    # eight in 24 s, ten with a start anew. Each 0.34 s would be 2,300.
    assert told["asks"] <= 40 * 10
    assert told["served"] > 0.8 and told["failed messages"] < 0.02


def test_a_cold_destination_that_nobody_called_while_it_was_down_is_not_pushed_over_by_those_that_know():
    fleet = Grown(Plan(**{**SMALL, "rate": 20.0}), 3)
    member = fleet.members[3]
    member.answers_when_down = False
    member.fall()
    member.come_back(0.0)  # before anybody had a message for it
    fleet.run(20.0, [])
    assert member.broken == 0 and member.served > 0


def test_each_size_of_a_grown_fleet_is_told_against_what_a_cold_destination_bears():
    report = run(Plan(**SMALL, seeds=1, sizes=(3, 25)))
    for size in ("3 senders", "25 senders"):
        figures = report[size]["zone"]
        assert figures["rule broken"]["most"] == 0 and 0 < figures["most by those told"]["most"] <= 1.0
