"""Outages of hours and days: counts that grow with them are bounded before they are taken to a power."""

import heapq
from itertools import count

import pytest
from hypothesis import given
from hypothesis import settings as tried
from hypothesis import strategies as st
from test_relay import settings

from linkdock import interface as i
from linkdock.decisions import Relay
from linkdock.failover.evidence import Evidence
from linkdock.failover.judge import MOST_HOLD, Standing, State, _step

HOUR = 3600.0
EVERY = 0.5  # seconds from one message to the next
BEGINS = 20.0  # seconds from the start to the outage
DEADLINE = 6.0  # seconds of a message
OF_SERVICE = settings(
    classes=[i.MessageClass(i.Effect.SAFE, aim=0.8, deadline=DEADLINE)],
    relays=2,
    connect_timeout=1.5,
    told_weights=False,
    fall_multiple=1.5,
    tip_after=2.0,
    cold_share=0.31,
    cold_time=12.0,
)


def run_through_an_outage(result, seed):
    """An hour in which every call of one destination ends by `result`; how many calls there were."""
    relay, order, due, calls = Relay(OF_SERVICE, seed), count(), [], 0

    def add(at, event):
        heapq.heappush(due, (at, next(order), event))

    add(0.0, i.Hosts(i.ListKind.FULL, [i.HostEntry("a", 1), i.HostEntry("b", 1)]))
    for number in range(1, int(HOUR / EVERY)):
        add(number * EVERY, i.Message(number, 0, 1, DEADLINE))
    while due:
        now, _, event = heapq.heappop(due)
        for action in relay.handle(now, [event]):
            if isinstance(action, i.SetTimer):
                add(max(action.at, now + 1e-6), i.TimerDue(action.token))
            elif isinstance(action, i.Send):
                calls += 1
                ended = i.Result.OK if now < BEGINS else result
                took = action.timeout if ended is i.Result.TIMEOUT else 0.001
                attempt = relay.msgs[action.id].attempts - 1
                add(now + took, i.Outcome(action.id, attempt, action.host, ended, took, ended is i.Result.OK))
    return calls


@pytest.mark.parametrize("result", [i.Result.CONNECT_FAILED, i.Result.TIMEOUT, i.Result.ERROR, i.Result.FULL])
def test_the_decisions_go_on_through_an_hour_of_failures(result):
    # 45 minutes into an outage a trial's time was too large for a float, and the process ended.
    assert run_through_an_outage(result, seed=1) > 1400


@tried(max_examples=200, deadline=None)
@given(trials=st.integers(0, 10**6), age=st.floats(0.0, 30 * 24 * HOUR))
def test_a_trial_has_a_time_within_its_message_however_many_came_before(trials, age):
    relay = Relay(settings(), 1)
    relay.handle(0.0, [i.Hosts(i.ListKind.FULL, [i.HostEntry("a", 1)])])
    link = relay.links["a"]
    link.down_at, link.route.trials = 0.0, trials
    (send,) = [a for a in relay.handle(age, [i.Message(1, 0, 1, DEADLINE)]) if isinstance(a, i.Send)]
    assert 0.0 < send.timeout <= DEADLINE


@tried(max_examples=200, deadline=None)
@given(relapses=st.integers(0, 10**6))
def test_a_zone_is_held_back_for_a_bounded_time_however_often_it_fell(relapses):
    out = Standing(1, 1, State.OUT, since=0.0, good_since=0.0, relapses=relapses)
    serves = Evidence(9.0, 9.0, 0.0, 0.0, 3, 0, 9.0)
    assert _step(out, serves, False, False, False, MOST_HOLD, None).state is State.RETURNING
    assert _step(out, serves, False, False, False, 1.0, None).state is State.OUT
