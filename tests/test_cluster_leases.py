"""Leases: one holder at a time under clocks that drift, tokens that only rise, one state everywhere."""

from __future__ import annotations

import asyncio
import heapq
import random

import pytest

from linkdock.cluster import leases
from linkdock.cluster.errors import Fenced
from linkdock.cluster.fence import Fence
from linkdock.cluster.holding import Holding
from linkdock.cluster.leases import (
    Acquire,
    Conflict,
    Delete,
    Done,
    Expire,
    Granted,
    Held,
    Lease,
    LeaseClock,
    Lost,
    Put,
    Refused,
    Release,
    Renew,
    State,
    Taken,
    request,
)


def do(state, index, command, who="", number=0):
    return state.apply(index, request(who, number, command))


def some_command(draw):
    name, holder, token = draw.choice("abc"), draw.choice("xy"), draw.randrange(1, 60)
    return draw.choice(
        [
            Acquire(name, holder, 1000),
            Renew(name, holder, token),
            Release(name, holder, token),
            Expire(name, token, token),
            Put(name, bytes([token]), draw.choice([None, 0, token])),
            Delete(name, draw.choice([None, token])),
        ]
    )


def test_the_same_entries_give_the_same_state_also_from_an_image_and_whatever_the_bytes():
    draw = random.Random(4)
    one, other, highest = State(), State(), {}
    for index in range(1, 3000):
        data = request(f"p{draw.randrange(40)}", draw.randrange(1, 90), some_command(draw))
        if draw.random() < 0.1:
            data = bytes(draw.randrange(256) if draw.random() < 0.1 else b for b in data)[: draw.randrange(80)]
        answer = one.apply(index, data)
        assert answer == other.apply(index, data)
        if index % 100 == 0:
            assert one.image() == other.image()
            other = State()
            other.restore(one.image())
        for name, lease in one.leases.items():
            assert lease.token >= highest.get(name, 0)
            highest[name] = lease.token


def test_a_retried_request_gets_the_answer_of_the_first_and_an_older_one_none():
    state = State()
    first = do(state, 5, Acquire("a", "x", 1000), "x#1", 7)
    assert first == Granted(5, 1000)
    assert do(state, 6, Release("a", "x", 5), "x#1", 8) == Done(6)
    assert do(state, 7, Acquire("a", "x", 1000), "x#1", 7) == first
    assert "a" not in state.leases  # it was not carried out again
    for number in range(9, 9 + leases.MOST_ANSWERS):
        do(state, number + 10, Put("k", b"v"), "x#1", number)
    assert do(state, 90, Acquire("a", "x", 1000), "x#1", 7) == Refused(leases.OLD)
    assert "a" not in state.leases


def test_an_expiry_ends_only_the_grant_and_renewal_it_was_meant_for():
    state = State()
    do(state, 1, Acquire("a", "x", 1000))
    assert do(state, 2, Acquire("a", "y", 1000)) == Taken("x", 1)
    assert do(state, 3, Renew("a", "x", 1)) == Done(3)
    assert do(state, 4, Expire("a", 1, 1)) == Lost()  # proposed before the renewal
    assert do(state, 5, Expire("a", 2, 3)) == Lost()
    assert state.leases["a"] == Lease("x", 1, 1000, 3)
    assert do(state, 6, Expire("a", 1, 3)) == Done(6)
    assert do(state, 7, Acquire("a", "y", 1000)) == Granted(7, 1000)
    assert do(state, 8, Release("a", "x", 1)) == do(state, 9, Renew("a", "x", 7)) == Lost()
    assert do(state, 10, Acquire("a", "y", 1000)) == Granted(10, 1000)  # the old token is not good any more
    assert do(state, 11, Renew("a", "y", 7)) == Lost()


def test_the_register_compares_and_is_bounded():
    state = State()
    assert do(state, 1, Put("k", b"1", 0)) == Done(1)
    assert do(state, 2, Put("k", b"2", 0)) == Conflict(1)
    assert do(state, 3, Put("k", b"2", 1)) == Done(3)
    assert do(state, 4, Delete("k", 1)) == Conflict(3)
    whole = bytes(leases.MOST_VALUE)
    answers = [do(state, n, Put(f"k{n}", whole)) for n in range(10, 300)]
    assert isinstance(answers[-1], Refused) and state._bytes <= leases.MOST_REGISTER
    assert isinstance(do(state, 400, Put("k10", whole + b"1")), Refused)
    assert do(state, 401, Delete("k10")) == Done(401) and do(state, 402, Put("new", whole)) == Done(402)
    for n in range(leases.MOST_LEASES):
        do(state, 500 + n, Acquire(f"l{n}", "x", 1000))
    assert isinstance(do(state, 9000, Acquire("more", "x", 1000)), Refused)
    assert isinstance(do(state, 9001, Acquire("l1" * 101, "x", 1000)), Refused)
    for n in range(leases.MOST_ASKING + 9):
        do(state, 9002 + n, Renew("none", "x", 1), f"p{n}", 1)
    assert len(state._asking) == leases.MOST_ASKING


@pytest.mark.parametrize("seed", range(12))
def test_never_two_believe_in_one_lease_whatever_clocks_and_delays_do(seed):
    """Two holders and a row of leaders, each with a clock that is up to 2 % fast or slow; true time is the events'."""
    draw, ttl, drift = random.Random(seed), 1.0, 0.02
    state, clock, index, events, order = State(), LeaseClock(drift), 0, [], 0
    rates = {who: draw.choice([1 - drift, 1.0, 1 + drift]) for who in "xy"}
    leader_rate, held, grants, expired = 1.0, {}, 0, 0

    def at(time, *event):
        nonlocal order
        order += 1
        heapq.heappush(events, (time, order, event))

    def delay():
        return draw.choice([0.001, 0.05, 0.4, 1.3])

    at(0.0, "ask", "x"), at(0.1, "ask", "y"), at(0.0, "lead")
    while events and order < 6000:
        now, _, (what, *more) = heapq.heappop(events)
        if what == "ask":
            who, mine = more[0], held.get(more[0])
            local = now * rates[who]
            if mine is not None and mine.holds(local) and draw.random() < 0.8:
                at(now + delay(), "entry", who, local, Renew("a", who, mine.token))
            else:
                at(now + delay(), "entry", who, local, Acquire("a", who, int(ttl * 1000)))
            at(now + draw.choice([0.2, 0.34, 2.5]), "ask", who)
        elif what == "entry":
            who, local, command = more
            index += 1
            answer = do(state, index, command)
            clock.applied(now * leader_rate, "a", state.leases.get("a"))
            expired += isinstance(command, Expire) and isinstance(answer, Done)
            if who:
                at(now + delay(), "answer", who, local, command, answer)
        elif what == "answer":
            who, local, command, answer = more
            if isinstance(answer, Granted):
                grants += 1
                held[who] = Held("a", answer.token, ttl, local, drift)
            elif isinstance(command, Renew) and isinstance(answer, Done) and held[who].token == command.token:
                held[who].renewed(local)
        elif what == "lead":
            leader_rate = draw.choice([1 - drift, 1.0, 1 + drift])
            clock.lead(now * leader_rate, state.leases)
            at(now + draw.choice([0.3, 2.0, 9.0]), "lead")
        for command in clock.expire(now * leader_rate):
            at(now + draw.choice([0.0, 0.3]), "entry", "", 0.0, command)
        if clock.next_due() < float("inf"):
            at(max(now, clock.next_due() / leader_rate) + 1e-9, "due")
        assert sum(h.holds(now * rates[who] + 1e-9) for who, h in held.items()) <= 1
    assert grants > 40 and expired > 10


def test_the_holder_counts_from_its_question_and_renews_at_a_third():
    held = Held("a", 3, 9.0, 100.0, 0.02)
    assert held.renew_at == 103.0 and held.holds(108.81) and not held.holds(108.83)
    held.renewed(103.0)
    held.renewed(101.0)  # an answer on its way for longer
    assert held.holds(111.81) and held.renew_at == 106.0


def test_a_lease_asked_for_is_held_from_the_question_on_and_lost_when_its_time_is_over():
    now, answers = 100.0, {Acquire: Granted(7, 9000), Renew: Done(8), Release: Done(9)}

    async def propose(command, deadline):
        nonlocal now
        now += 2.0  # the answer's way
        return answers[type(command)]

    async def story():
        tasks = []
        holding = Holding("x", 0.02, propose, lambda work: tasks.append(asyncio.ensure_future(work)), lambda: now)
        held = await holding.acquire("a", 9.0, 5.0)
        assert held.until == 100 + 9 * 0.98 and held.renew_at == 103
        assert await holding.acquire("a", 9.0, 5.0) == Taken("x", 7)
        assert await holding.renew(held) and held.until == 102 + 9 * 0.98
        answers[Renew] = Lost()
        assert not await holding.renew(held) and held.lost and not holding.held
        again = await holding.acquire("a", 9.0, 5.0)
        await holding.release(again, 5.0)
        assert not again.holds(now)
        answers[Acquire] = Granted(9, 1000)  # over before its answer is here
        assert await holding.acquire("a", 1.0, 5.0) == Lost() and not holding.held
        for task in tasks:
            task.cancel()

    asyncio.run(story())


def test_the_fence_lets_nobody_in_with_an_older_token_also_after_a_restart_and_beyond_its_bound():
    kept = []
    fence = Fence(lambda: kept[-1] if kept else None, kept.append, most=3)
    fence.check("r", 5, "x")
    fence.check("r", 5, "x")
    for token, holder in ((4, "x"), (5, "y"), (4, "y")):
        with pytest.raises(Fenced):
            fence.check("r", token, holder)
    fence = Fence(lambda: kept[-1], kept.append, most=3)
    with pytest.raises(Fenced):
        fence.check("r", 4, "x")
    for token in (7, 8, 9):
        fence.check(f"r{token}", token, "x")
    with pytest.raises(Fenced):
        fence.check("r", 5, "x")  # forgotten by the bound, and still not let in
    fence.check("r", 10, "y")


def test_what_the_fence_could_not_keep_it_does_not_let_in():
    def full(data):
        raise OSError(28, "no room")

    fence = Fence(lambda: None, full)
    for _ in range(2):
        with pytest.raises(OSError):
            fence.check("r", 5, "x")
    with pytest.raises(ValueError):
        Fence(lambda: b"\xff", full)
