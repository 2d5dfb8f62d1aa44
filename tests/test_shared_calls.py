"""Messages that share a call: one slot, one token, one fate, one piece of evidence."""

import pytest
from test_relay import R, Rig, of

from linkdock import interface as i


def rig(batch=10, effect=i.Effect.KEYED, **more):
    classes = [
        i.MessageClass(effect, aim=2.0, deadline=20.0, late_share=0.4, window=15.0),
        i.MessageClass(i.Effect.UNSAFE, aim=2.0, deadline=20.0, worth=3.0),
    ]
    return Rig(**{"classes": classes, "kinds": [i.DestinationKind(batch=batch)], "slots": 4, **more})


def clump(r, count, cls=lambda n: 0, first=1):
    return of(i.Send, r.step(0, *[i.Message(first + n, cls(n), 1, 20.0) for n in range(count)]))


def over(r, sent, result, **more):
    return r.step(0.1, *[i.Outcome(s.id, r.attempts[s.id], s.host, result, 0.1, result is R.OK, **more) for s in sent])


def test_a_clump_takes_one_slot_and_one_token_for_each_call():
    r = rig()
    assert len(clump(r, 25)) == 25 and r.relay.busy == 3
    alone = rig()
    clump(alone, 1)
    assert alone.relay.links["a"].route.tokens - r.relay.links["a"].route.tokens == 2


def test_where_the_kind_shares_no_calls_each_message_takes_a_slot():
    r = rig(batch=1)
    assert len(clump(r, 25)) == r.relay.busy == 3  # of four slots the share alone


def test_a_slot_is_free_only_when_all_of_its_call_have_their_outcomes():
    r = rig(slots=1)
    sent = clump(r, 3)
    over(r, sent[:2], R.OK)
    assert r.relay.busy == 1 and not clump(r, 1, first=50)
    assert [s.id for s in of(i.Send, over(r, sent[2:], R.OK))] == [50]


@pytest.mark.parametrize("result", [R.FULL, R.RESET, R.TIMEOUT])
def test_ten_outcomes_of_one_call_are_one_piece_of_evidence(result):
    shared, single = rig(), rig()
    over(shared, clump(shared, 10), result)
    over(single, clump(single, 1), result)
    for r in (shared, single):
        link = r.relay.links["a"]
        assert link.down_at is None and link.fails + link.away == 1
    losses = [r.relay.links["a"].route.estimates[0].p for r in (shared, single)]
    assert losses[0] == losses[1]


def test_an_unsafe_message_in_a_shared_call_waits_its_whole_time():
    r = rig()
    over(r, clump(r, 6), R.OK)
    over(r, clump(r, 1, first=20), R.RESET)
    sent = {s.id: s.timeout for s in clump(r, 4, cls=lambda n: n % 2, first=30)}
    assert len(sent) == 4 and r.relay.busy == 2  # and the second try of message 20
    assert sent[31] == sent[33] == pytest.approx(20.0) and sent[30] < 20.0


def test_a_trial_goes_alone():
    r = rig()
    for n in range(3):
        over(r, clump(r, 1, first=100 + n), R.CONNECT_FAILED)
        r.step(30)
    r = rig()
    sent = clump(r, 1)
    r.step(30)
    assert r.relay.links["a"].down_at is not None
    assert len(clump(r, 8, first=200)) <= 1
    assert sent


def test_a_shared_call_that_is_ended_is_called_off_whole():
    r = rig()
    sent = clump(r, 3)
    acts = r.step(0.1, *[i.Withdrawn(s.id) for s in sent])
    assert {(c.id, c.attempt) for c in of(i.Cancel, acts)} == {(s.id, 0) for s in sent}


def test_a_wait_told_by_a_later_outcome_of_the_same_call_is_heeded_too():
    r = rig()
    sent = clump(r, 2)
    over(r, sent[:1], R.FULL, wait=1.0)
    over(r, sent[1:], R.FULL, wait=1.0)  # a batch later: its wait ends later
    told_until = r.now + 1.0
    while r.now < 120 and not of(i.Send, r.step(0.01)):
        pass
    assert told_until <= r.now < 120


def test_on_a_cold_partner_further_messages_of_a_call_weigh_too():
    r = rig(batch=5)
    link = r.relay.links["a"]
    link.ramp, link.since, link.tokens, link.tokens_at = r.now, r.now, 1.0, r.now
    assert len(clump(r, 5)) == 5 and r.relay.busy == 1
    assert link.tokens == pytest.approx(1.0 - (1 + 4 * 0.25))
