"""The manager of connections, event by event on a clock of its own: each hard case that it exists for."""

import random

from handshakes import Wire, surge

from linkdock.connections import demand
from linkdock.connections.manager import CAP_HOLD, HOLD, REFUSALS


def test_a_connection_that_comes_free_first_serves_the_call_and_the_new_one_waits():
    wire = Wire(ahead=0)
    first = wire.ask()
    wire.to(0.1)
    second = wire.ask()
    wire.to(0.15)
    wire.done(wire.given(first))
    assert wire.given(second) is wire.given(first) and wire.opened == 2
    wire.to(0.3)
    third = wire.ask()
    assert wire.given(third) is not None and wire.given(third).uses == 0 and wire.opened == 2


def test_an_idle_life_that_shortens_and_lengthens_is_followed():
    wire, luck = Wire(ahead=0), random.Random(3)

    def stale(calls, life):
        return sum(wire.call(luck.uniform(0.1, 3.5), life) for _ in range(calls))

    stale(150, 2.0)
    late = stale(60, 2.0)
    assert late <= 6  # a tenth; the plain pool would meet about 26
    stale(150, 0.7)
    assert stale(60, 0.7) <= 6
    opened = wire.opened
    stale(400, 99.0)
    assert wire.opened - opened < 400 * 0.6  # it is trusted again


def test_one_that_resets_every_third_reuse_carries_no_order_on_a_used_connection():
    wire, luck, n = Wire(ahead=0), random.Random(4), 0
    for _ in range(120):
        wire.to(wire.now + luck.uniform(0.05, 0.4))
        line = wire.got(wire.ask())
        n += line.age >= 0
        if line.age >= 0 and n % 3 == 0:
            wire.broke(line)
        else:
            wire.done(line)
    for _ in range(20):
        line = wire.got(wire.ask(careful=True))
        assert line.uses == 0
        wire.done(line)


def test_a_front_that_closes_after_so_many_requests_is_learned_by_their_count():
    wire, luck, stale = Wire(ahead=0), random.Random(5), []
    for n in range(600):
        wire.to(wire.now + luck.uniform(0.05, 0.2))
        line = wire.got(wire.ask())
        if line.uses >= 24:
            stale.append(n)
            wire.broke(line)
        else:
            wire.done(line)
    assert 1 <= len(stale) < 8 and len([n for n in stale if n > 400]) <= 1
    assert wire.opened < 60  # 25 calls each at best: age is not blamed for it


def test_an_order_takes_the_connection_most_surely_alive_and_a_preview_the_older_one():
    wire = Wire(ahead=0, careful=0.04, bold=0.3)
    for n in range(200):
        wire.manager.choice.used(0.0, "s", 0, 2.5, n % 6 != 0, 1)
        wire.manager.choice.used(0.0, "s", 0, 0.3, True, 1)
    wire.call(0.0)
    wire.to(wire.now + 2.5)
    order, preview = wire.ask(careful=True), wire.ask()
    assert wire.given(preview).uses == 1 and wire.given(order) is None  # a new one is opened for it
    wire.to(wire.now + 0.2)
    assert wire.given(order).uses == 0


def test_a_surge_begins_no_more_handshakes_at_once_than_are_allowed_and_all_are_served():
    wire = Wire(ahead=0, handshakes=4)
    for _ in range(40):
        wire.call(0.1, took=0.1)
    most, tickets = surge(wire, 100)
    assert most <= 4 and not wire.failed and all(wire.given(t) for t in tickets)
    assert wire.opened < 50  # most went over what came free


def test_connections_are_opened_ahead_of_a_surge_at_a_bounded_rate_and_never_without_traffic():
    wire = Wire(ahead=10.0, handshakes=8)
    wire.to(5.0)
    assert wire.opened == 0
    lines = []
    for _ in range(60):  # 20 calls a second, where a call takes 0.5 s
        ticket = wire.ask()
        wire.to(wire.now + 0.05)
        lines += [(wire.now + 0.5, ticket)]
        for end, old in [x for x in lines if x[0] <= wire.now and wire.given(x[1])]:
            lines.remove((end, old))
            wire.done(wire.given(old), 0.5)
    endpoint = wire.manager.endpoints["s"]
    assert 1 <= endpoint.counts["ahead"] <= 10.0 * 3.2
    before = endpoint.counts["ahead"]
    for _, ticket in lines:
        wire.done(wire.given(ticket), 0.5)
    wire.to(wire.now + 60)
    assert endpoint.counts["ahead"] <= before + 10.0 * HOLD and len(wire.manager) == 0
    opened = wire.opened
    wire.to(wire.now + 60)
    assert wire.opened == opened and not wire.manager.endpoints


def test_calls_that_all_take_longer_are_told_from_more_calls():
    slow, more = demand.Demand(0.0), demand.Demand(0.0)
    now = 0.0
    for _ in range(600):
        now += 0.05
        for known in (slow, more):
            known.asked(now)
            known.took(now, 0.2)
    before = slow.target(now, 4.0, 0.9), more.target(now, 4.0, 0.9)
    for n in range(200):  # ten seconds
        now += 0.05
        slow.asked(now)
        slow.took(now, 0.2 * 2.6)
        for _ in range(5):
            more.asked(now)
            more.took(now, 0.2)
        if n == 20:
            assert slow.slow(now) and not more.slow(now) and more.surging(now) and not slow.surging(now)
    assert slow.target(now, 4.0, 0.9) <= 1.5 * before[0] and more.target(now, 4.0, 0.9) > 2 * before[1]


def test_while_calls_are_slow_one_waits_for_a_free_connection_before_another_is_opened():
    wire = Wire(ahead=0)
    for _ in range(40):
        wire.call(0.05, took=0.2)
    for _ in range(15):
        wire.call(0.05, took=0.6)
    busy = wire.ask()
    assert wire.given(busy) and wire.manager.endpoints["s"].demand.slow(wire.now)
    opened, waiting = wire.opened, wire.ask()
    wire.to(wire.now + 0.05)
    assert wire.opened == opened
    wire.to(wire.now + 0.4)  # patience has an end: it is not starved
    assert wire.opened == opened + 1 and wire.given(waiting)


def test_a_server_that_refuses_beyond_its_cap_keeps_what_it_has_while_others_lie_idle():
    wire = Wire(ahead=10.0)
    for server in ("s", "other"):
        ticket = wire.ask(server)
        wire.to(wire.now + 0.2)
        if server == "other":
            wire.done(wire.given(ticket))
    held = wire.given(wire.used[0].ticket)
    wire.refusing.add("s")
    waiting = wire.ask("s")
    wire.to(wire.now + 0.4)
    assert wire.manager.endpoints["s"].cap == 1 and not wire.failed
    opened = wire.opened
    more = [wire.ask("s") for _ in range(3)]
    wire.to(wire.now + 1.0)
    assert wire.opened - opened <= 2  # it is tried, and not again and again
    wire.done(held)
    assert wire.given(waiting) is held and len(wire.manager.endpoints["other"].idle) == 1
    wire.to(wire.now + 1.6)
    assert [f.full for f in wire.failed] == [True] * 3 and {id(f.ticket) for f in wire.failed} == set(map(id, more))
    wire.refusing.clear()
    wire.to(wire.now + 10)
    assert wire.manager.endpoints["s"].cap > 1
    for _ in range(12):
        wire.ask("s")
    wire.to(wire.now + 20)
    assert wire.manager.endpoints["s"].cap > 10  # and found again in time


def test_one_connect_that_fails_by_chance_is_no_cap():
    wire = Wire(ahead=0)
    first = wire.ask()
    wire.to(0.2)
    wire.refusing.add("s")
    second = wire.ask()
    wire.to(0.35)
    wire.refusing.clear()
    wire.to(0.5)
    assert wire.given(first) and wire.given(second) and wire.manager.endpoints["s"].cap == float("inf")


def test_one_that_answers_at_once_again_and_again_that_it_is_full_is_given_no_more_connections():
    wire = Wire(ahead=0)
    for _ in range(20):
        wire.call(0.05)
    first = wire.ask()
    for _ in range(REFUSALS):
        wire.manager.told_full(wire.now, wire.given(first), 0.01)
    second, opened = wire.ask(), wire.opened
    wire.to(wire.now + CAP_HOLD / 2)
    assert wire.opened == opened and wire.given(second) is None
    wire.done(wire.given(first))
    assert wire.given(second)


def test_a_server_that_cannot_be_reached_fails_each_call_that_had_one_opened():
    wire = Wire(ahead=10.0)
    wire.refusing.add("s")
    for _ in range(3):
        wire.ask()
    wire.to(0.6)
    assert [f.full for f in wire.failed] == [False] * 3
    opened = wire.opened
    wire.to(5.0)
    assert wire.opened == opened and len(wire.manager) == 0  # none is opened ahead of need toward it
