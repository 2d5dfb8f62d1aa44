"""Orders of facts in one decision pass: none is judged by what an earlier pass has left.

Each is forced with a sleeper, which keeps destinations without work out of the decisions, and without one.
"""

import pytest

from linkdock import interface as i
from linkdock.dormancy.sleeper import Sleeper
from linkdock.facade import (
    DELIVERED,
    Dispatch,
    End,
    Facade,
    KeyHeld,
    Learned,
    Server,
    Settled,
    Table,
    Take,
    Withdraw,
)
from linkdock.state.roster import Roster
from linkdock.state.table import ServerTable

SLEEP_AFTER = 60.0  # seconds without work after which a destination falls asleep
STEP = 0.05  # seconds between two passes


class Sender:
    """A facade with the server table that a sender has beside it, on a clock of its own."""

    def __init__(self, asleep):
        self.now = 100.0
        self.table = ServerTable([False], lambda: self.now)
        sleeper = Sleeper(lambda: self.table.roster, 2, SLEEP_AFTER, 100, self.table.shown) if asleep else None
        self.facade = Facade(
            i.Settings(
                classes=[
                    i.MessageClass(i.Effect.SAFE, 0.8, 6.0),
                    i.MessageClass(i.Effect.UNSAFE, 4.0, 16.0, in_order=True),
                ],
                kinds=[i.DestinationKind()],
                slots=50,
                max_open=1000,
                max_attempts=5,
                fall_multiple=1.5,
                tip_after=2.0,
                cold_share=0.3,
                cold_time=10.0,
            ),
            1,
            sleeper,
        )

    def whole(self, *rows, how="whole"):
        roster = Roster()
        for row in rows:
            roster.put(row)
        self.table.replace(roster, 1)
        self.facade.report(Table(how, self.table.shown(roster), 1))

    def changes(self, *rows):
        self.table.update(rows, 1)
        self.facade.report(Table("changes", self.table.shown(rows), 1))

    def take(self, request, destination=1, **more):
        self.facade.report(Take(request, cls=1, destination=destination, left=16.0, **more))

    def passes(self, count=1):
        orders = []
        for _ in range(count):
            self.now += STEP
            self.facade.tick(self.now)
            while (order := self.facade.pick()) is not None:
                orders.append(order)
        return orders

    def calls(self, count=1):
        """The servers that are called in so many passes, and for which request."""
        return [(order.items[0].request, order.server) for order in self.passes(count) if isinstance(order, Dispatch)]


@pytest.fixture(params=[False, True], ids=["all awake", "with a sleeper"])
def sender(request):
    return Sender(request.param)


def server(name, destination=1, health="ready"):
    return Server(name, ("127.0.0.1", 80), destination, health)


WHILE_IT_WAITS = 240  # passes, 12 s: within the message's time


@pytest.mark.parametrize("how", ["kept", "whole"])
def test_a_message_before_a_whole_list_in_one_pass_is_sent(sender, how):
    sender.take("aa01")
    sender.whole(server("m1"), how=how)
    assert sender.calls(WHILE_IT_WAITS) == [("aa01", "m1")]


def test_a_message_between_two_whole_lists_is_sent_by_the_second(sender):
    sender.whole(server("m1"))
    sender.take("aa01")
    sender.whole(server("m2"))
    assert sender.calls(WHILE_IT_WAITS) == [("aa01", "m2")]


def test_a_message_before_the_change_that_lists_its_server_is_sent(sender):
    sender.whole()
    sender.passes()
    sender.take("aa01")
    sender.changes(server("m1"))
    assert sender.calls(WHILE_IT_WAITS) == [("aa01", "m1")]


def test_a_server_that_drains_behind_the_message_of_the_same_pass_is_not_called(sender):
    sender.whole(server("m1"), server("m2"))
    sender.passes()
    sender.take("aa01")
    sender.changes(server("m1", health="draining"))
    assert sender.calls(WHILE_IT_WAITS) == [("aa01", "m2")]


def test_a_server_that_leaves_the_list_behind_the_message_of_the_same_pass_is_not_called(sender):
    sender.whole(server("m1"), server("m2"))
    sender.passes()
    sender.take("aa01")
    sender.whole(server("m2"))
    assert sender.calls(WHILE_IT_WAITS) == [("aa01", "m2")]


def test_a_server_out_by_hand_behind_the_message_of_the_same_pass_is_not_called_until_it_is_back(sender):
    sender.whole(server("m1"))
    sender.passes()
    sender.take("aa01")
    sender.table.out = {"m1"}
    sender.changes(server("m1"))
    assert sender.calls(40) == []
    sender.table.out = ()
    sender.changes(server("m1"))
    assert sender.calls(WHILE_IT_WAITS) == [("aa01", "m1")]


def test_a_message_withdrawn_in_the_pass_that_takes_it_is_not_sent(sender):
    sender.take("aa01")
    sender.whole(server("m1"))
    sender.facade.report(Withdraw("aa01"))
    assert sender.passes(WHILE_IT_WAITS) == []


@pytest.mark.parametrize("first", ["held", "taken"])
def test_a_key_held_elsewhere_binds_whichever_of_both_comes_first(sender, first):
    sender.whole(server("m1"))
    if first == "held":
        sender.facade.report(KeyHeld("bb01", 7, 1.0))
    sender.take("aa01", key=7, taken_at=2.0)
    if first == "taken":
        sender.facade.report(KeyHeld("bb01", 7, 1.0))
    assert sender.calls(20) == []
    sender.facade.report(Settled("bb01"))
    assert sender.calls(20) == [("aa01", "m1")]


def test_a_key_whose_hold_and_end_come_in_one_pass_is_free(sender):
    sender.whole(server("m1"))
    sender.facade.report(KeyHeld("bb01", 7, 1.0))
    sender.facade.report(Settled("bb01"))
    sender.take("aa01", key=7, taken_at=2.0)
    assert sender.calls(20) == [("aa01", "m1")]


def test_a_message_taken_over_in_the_pass_that_held_it_elsewhere_is_sent_first(sender):
    sender.take("aa02", key=7, taken_at=2.0)
    sender.facade.report(KeyHeld("aa01", 7, 1.0))
    sender.take("aa01", key=7, taken_at=1.0, held=True)
    sender.whole(server("m1"))
    assert sender.calls(20) == [("aa01", "m1")]
    sender.facade.report(End("aa01", 0, "m1", DELIVERED, 0.1))
    sender.facade.report(Settled("aa01"))
    assert sender.calls(20) == [("aa02", "m1")]


def test_a_server_that_moves_to_an_idle_destination_is_not_called_for_its_former_one(sender):
    sender.whole(server("m1"), server("m2"))
    sender.take("aa01")
    sender.passes()
    sender.facade.report(End("aa01", 0, "m1", DELIVERED, 0.1))
    sender.facade.report(Settled("aa01"))
    sender.changes(server("m1", destination=2), server("m2", destination=2))
    sender.take("aa02")
    assert sender.calls(WHILE_IT_WAITS) == []
    sender.take("aa03", destination=2)
    assert len(sender.calls(20)) == 1


def test_a_server_back_from_being_out_by_hand_comes_back_cold_also_where_nothing_waits_for_it(sender):
    sender.whole(server("m1"))
    sender.passes()
    sender.facade.report(Table("changes", [server("m1")._replace(out_since=sender.now - 20.0)], 1))
    sender.passes()
    assert sender.facade.stopped() == ["m1"]  # its first call is a trial


@pytest.mark.parametrize("before", ["first pass", "restored messages", "list"])
def test_what_an_older_process_learned_counts_whenever_the_list_comes(sender, before):
    learned = Learned("m1", 25.0, 0.5, 90.0, 80.0)
    if before == "restored messages":
        sender.take("aa01")
    elif before == "list":
        sender.whole(server("m1"))
        sender.passes()
    sender.facade.told([learned])
    sender.passes()
    sender.whole(server("m1"))
    sender.passes()
    assert [one.server for one in sender.facade.learned(10)] == ["m1"]
