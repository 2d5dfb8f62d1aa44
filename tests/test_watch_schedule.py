"""When discovery is asked: over the fleet's span at first, less often after refusals, at once for an agent."""

import time

import pytest
from peers import Backend, Discovery
from test_operations import figures, ops
from test_stories import socket_that_is_called

from linkdock.state.watch_schedule import AGENT_INTERVAL, MOST_MOVED_DELAY, SILENCE_TIMEOUT, WatchSchedule

WITHIN = 10.0
GRACE = 2.0


def fleet(senders, paid=True):
    return [WatchSchedule(paid, senders, WITHIN, seed=n, grace=GRACE) for n in range(senders)]


def most_in(times, span):
    return max(sum(t <= one < t + span for one in times) for t in times)


@pytest.mark.parametrize("senders", [3, 40, 200])
def test_a_fleet_that_starts_together_spreads_its_first_asks_within_half_the_period(senders):
    first = [schedule.first_delay() for schedule in fleet(senders)]
    span = min(0.08 * senders, WITHIN / 2)
    assert 0 <= min(first) and max(first) <= span
    assert most_in(first, span / 10) <= max(3, 0.25 * senders)  # a tenth of the span, and no crowd in it


def test_refusals_on_end_are_met_with_growing_pauses_that_differ_and_stay_bounded():
    senders = fleet(40)
    rounds = [[schedule.next_delay(served=False) for schedule in senders] for _ in range(6)]
    for pauses, base in zip(rounds, (1.25, 2.5, 10 / 3, 10 / 3, 10 / 3, 10 / 3), strict=True):
        assert 0.5 * base <= min(pauses) and max(pauses) <= 1.5 * base
        assert most_in(pauses, base / 10) < 0.4 * len(senders)  # they do not come back in step
    assert rounds[0] == [schedule.next_delay(served=False) for schedule in fleet(40)]  # by the seed alone


def test_news_that_came_ends_the_backing_off_and_a_common_break_is_spread_again():
    senders = fleet(40)
    for schedule in senders:
        for _ in range(5):
            schedule.next_delay(served=False)
    after = [schedule.next_delay(served=True) for schedule in senders]
    assert AGENT_INTERVAL <= min(after) and max(after) <= AGENT_INTERVAL + 3.2 and most_in(after, 0.32) < 16
    assert max(schedule.next_delay(served=False) for schedule in senders) <= 1.5 * 1.25
    assert max(schedule.moved_delay() for schedule in senders) <= MOST_MOVED_DELAY


@pytest.mark.parametrize("grace", [0.0, 1.0, 2.0])
@pytest.mark.parametrize("senders", [3, 40, 100, 200])
def test_a_watch_that_fell_silent_is_opened_anew_before_what_it_missed_binds(senders, grace):
    """Told 6 s after it fell silent, binding `grace` after that; a tenth of a second is left for the answer."""
    for seed in range(200):
        schedule = WatchSchedule(True, senders, 10.0, seed, grace=grace)
        schedule.first_delay()
        assert SILENCE_TIMEOUT + schedule.next_delay(True) < 6.0 + grace - 0.1


@pytest.mark.parametrize("grace", [0.0, 1.0, 2.0])
def test_after_any_outage_the_next_answer_comes_before_what_discovery_has_binds(grace):
    """Even where an ask began right before its end, was left without an answer, and the longest pause follows."""
    for seed in range(200):
        schedule = WatchSchedule(True, 200, 10.0, seed, grace=grace)
        for _ in range(12):
            assert schedule.answer_timeout() + schedule.next_delay(False) < 6.0 + grace - 0.1


def test_one_that_has_no_list_asks_within_a_second_and_then_as_all_do():
    bare = [WatchSchedule(True, 40, WITHIN, seed=n, nothing=True) for n in range(40)]
    first = [schedule.first_delay() for schedule in bare]
    assert max(first) <= 1.0 and most_in(first, 0.1) < 16
    assert max(schedule.next_delay(served=True) for schedule in bare) > 1.5


def test_an_agent_is_asked_at_once_and_at_an_even_pace():
    schedule = WatchSchedule(False, 200, WITHIN, 1)
    assert (schedule.first_delay(), schedule.moved_delay()) == (0.0, 0.0)
    assert [schedule.next_delay(served) for served in (False, False, True)] == [AGENT_INTERVAL] * 3


class Overbooked(Discovery):
    """Turns so many watches away before it serves one."""

    def __init__(self, refusals):
        self.refusals, self.asked = refusals, []
        super().__init__()

    def _watched(self, line):
        self.asked.append(time.monotonic())
        if len(self.asked) > self.refusals:
            return True
        line.answer(503)
        return False


def test_discovery_that_turns_callers_away_is_asked_less_often_and_its_news_is_taken_then(start):
    old, new, discovery = Backend("s1"), Backend("s2"), Overbooked(3)
    program = start([old], discovery=discovery, news="subscribe", rules__ask_within=0.8)
    assert program.client().enqueue("aa01") == "+OK"  # the known list serves meanwhile
    old.take()[0].answer(200)
    first, tell = discovery.watch()
    assert "from=7" in first
    tell(9, [old.row("gone"), new.row()])
    gaps = [b - a for a, b in zip(discovery.asked, discovery.asked[1:], strict=False)]
    # A pause is half to one and a half times 0.1, 0.2, 0.4 and 0.4 s; the agent's pace would be 0.2 each time.
    assert len(gaps) == 3 and gaps[0] >= 0.05 and gaps[1] >= 0.1 and gaps[2] >= 0.2
    client = program.client()
    assert client.enqueue("aa02") == "+OK"
    new.take()[0].answer(200)


def test_an_agent_that_turns_away_is_asked_again_at_once(start):
    discovery = Overbooked(2)
    start([Backend("s1")], discovery=discovery)
    assert discovery.watch()
    assert all(b - a < 1.0 for a, b in zip(discovery.asked, discovery.asked[1:], strict=False))


@pytest.mark.parametrize(
    "known",
    [{"seq": 0, "whole": True, "hosts": []}, {"seq": None, "hosts": [7]}, {"hosts": "none"}, ["no", "list"], "", {}],
)
def test_a_known_list_that_is_empty_or_cannot_be_read_keeps_nobody_from_the_start(start, known):
    server = Backend("s1")
    program = start([server], known=known)
    client = program.client()
    assert client.enqueue("aa01") == "-BUSY 1000"  # nothing says yet that there is no such destination
    first, tell = program.discovery.watch()
    tell(9, [server.row()])
    for n in range(2, 200):  # the news is taken in within a tick or two
        if (said := client.enqueue(f"aa{n:02d}")) == "+OK":
            break
        assert said == "-BUSY 1000"
    server.take()[0].answer(200)
    assert client.enqueue("ab01", dest=99).startswith("-ERR")  # now it is known what there is


def test_what_is_denied_for_want_of_a_list_is_counted_once(start):
    program = start([Backend("s1")], known={}, admin="127.0.0.1:0")
    for n in range(3):
        assert program.client().enqueue(f"aa0{n}", "order", 16000) == "-BUSY 1000"
    said = figures(program)
    assert ops(said, "order", "throttled") == 3 and said["edge_relay_open_requests"] == 0


def test_what_an_earlier_life_owes_outlasts_a_start_without_a_list(start):
    server = Backend("s1")
    program = start([server])
    program.discovery.watches.get(timeout=8)
    assert program.client().enqueue("aa01") == "+OK"
    server.take()
    program.kill()
    program.rewrite(known=["no", "list"])
    program.start()
    first, tell = program.discovery.watch()
    tell(9, [server.row()])
    _, headers, _ = server.take()[1]
    assert headers["x-trace-id"] == "aa01"


def test_a_whole_list_older_than_what_is_known_is_taken_only_when_it_is_told_twice(start):
    old, new = Backend("s1"), Backend("s2")
    program = start([new])
    for turn in range(2):
        first, tell = program.discovery.watch()
        assert "from=7" in first
        tell(3, [old.row()], whole=True)
        if not turn:
            program.logged("a whole list of version 3 is older than 7")
            assert program.client().enqueue("aa01") == "+OK"
            new.take()[0].answer(200, Connection="close")  # what is known stays in force
    client, called = program.client(), new
    for n in range(2, 200):  # the second telling is taken in within a tick or two
        assert client.enqueue(f"aa{n:02d}") == "+OK"
        called = socket_that_is_called([old, new])
        called.take()[0].answer(200, Connection="close")
        if called is old:
            break
    assert called is old
