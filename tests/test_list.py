"""The list of hosts where it must be asked for; the module's own actions against the told period."""

import pytest
from test_relay import Rig, of

from linkdock import interface as i

WITHIN, TICK = 10.0, 0.05


def asked(rig, seconds, reply):
    """Times of asking; `reply(n)` gives the kind of the answer to the n-th ask, None for no answer."""
    times, answer_at, end = [], [], rig.now + seconds
    while rig.now < end:
        news = [i.Hosts(kind, []) for at, kind in answer_at if at <= rig.now]
        answer_at = [a for a in answer_at if a[0] > rig.now]
        for _ in of(i.Subscribe, rig.step(TICK, *news)):
            kind = reply(len(times))
            times.append(rig.now)
            if kind is not None:
                answer_at.append((rig.now + 1.0, kind))
    return times


def test_nothing_is_asked_where_changes_are_pushed():
    assert not asked(Rig(), 60, lambda n: i.ListKind.DELTA)


def test_one_ask_is_enough_when_it_is_answered():
    times = asked(Rig(subscribe=True, ask_within=WITHIN), 60, lambda n: i.ListKind.DELTA)
    assert len(times) == 1 and times[0] <= 100 + WITHIN / 2 + 1


@pytest.mark.parametrize("kind", [i.ListKind.FAILED, None])
@pytest.mark.parametrize("seed", range(5))
def test_failures_and_lost_replies_never_let_the_period_pass_unasked(kind, seed):
    times = asked(Rig(subscribe=True, ask_within=WITHIN, seed=seed), 300, lambda n: kind)
    gaps = [b - a for a, b in zip([100.0, *times], times, strict=False)]
    assert max(gaps) < WITHIN and min(gaps[1:]) >= 1.0  # and none while one is unanswered


def test_a_fleet_that_starts_together_does_not_ask_at_once():
    first = [asked(Rig(subscribe=True, ask_within=WITHIN, seed=n), 9, lambda n: i.ListKind.DELTA)[0] for n in range(40)]
    assert max(first) - min(first) > WITHIN / 4


def test_a_lost_subscription_is_asked_for_again():
    rig = Rig(subscribe=True, ask_within=WITHIN)
    assert len(asked(rig, 20, lambda n: i.ListKind.DELTA)) == 1
    rig.step(0, i.Hosts(i.ListKind.FAILED, []))
    assert len(asked(rig, 20, lambda n: i.ListKind.DELTA)) == 1


def test_a_drain_heard_by_asking_stops_new_calls_and_a_full_list_replaces():
    rig = Rig(hosts=("a", "b"), subscribe=True, ask_within=WITHIN)
    drain = i.HostEntry("a", 1, i.HostState.DRAINING, weight=200.0)
    rig.step(1, i.Hosts(i.ListKind.DELTA, [drain]))
    assert {s.host for n in range(4) for s in of(i.Send, rig.message(n))} == {"b"}
    rig.step(1, i.Hosts(i.ListKind.FULL, []), i.Hosts(i.ListKind.FULL, []))
    assert not of(i.Send, rig.message(9))
    rig.step(0, i.Hosts(i.ListKind.FULL, [i.HostEntry("c", 1, weight=200.0)]))
    assert 9 in rig.attempts


@pytest.mark.parametrize("within", [0.0, -1.0])
def test_a_period_that_can_only_be_a_mistake_is_named(within):
    with pytest.raises(ValueError, match="ask_within"):
        Rig(subscribe=True, ask_within=within)


def test_batches_and_notes_that_can_only_be_mistakes_are_named():
    with pytest.raises(ValueError, match="batch"):
        i.DestinationKind(batch=0)
    with pytest.raises(ValueError, match="data"):
        i.Tell(None, b"x" * 257)
