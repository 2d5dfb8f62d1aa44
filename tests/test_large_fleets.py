"""What many relays do together, worked out from the module's own actions; lawful answers to odd settings."""

import random

import pytest
from test_relay import R, Rig, of, settings

from linkdock import decisions as decide
from linkdock import interface as i

WEIGHT, COLD, MULTIPLE, TIP = 20.0, 0.2, 2.0, 2.0


class Fleet:
    """Relays that share nothing; messages fall on them by chance. Calls are answered as the test says."""

    def __init__(self, relays, **more):
        self.rng = random.Random(7)
        self.relays = [decide.Relay(settings(relays=relays, me=n, **more), n) for n in range(relays)]
        self.now, self.next_id, self.informed = 100.0, 1, set()
        self.out = []
        entry = i.HostEntry("a", 1, weight=WEIGHT)
        for relay in self.relays:
            relay.handle(self.now, [i.Hosts(i.ListKind.CACHED, [entry])])

    def run(self, seconds, per_s, result, elapsed):
        """Times of the calls of relays that had seen one fail before; each call ends after `elapsed`."""
        times, end, owed, tried = [], self.now + seconds, 0.0, {}
        while self.now < end:
            self.now += 0.05
            owed += per_s * 0.05
            events = {}
            while owed >= 1:
                owed -= 1
                events.setdefault(self.rng.randrange(len(self.relays)), []).append(i.Message(self.next_id, 0, 1, 20.0))
                self.next_id += 1
            for due, n, mid, attempt in [o for o in self.out if o[0] <= self.now]:
                self.out.remove((due, n, mid, attempt))
                events.setdefault(n, []).append(i.Outcome(mid, attempt, "a", result, elapsed, finished=result is R.OK))
                if result is not R.OK:
                    self.informed.add(n)
            for n, relay in enumerate(self.relays):
                if n not in events and not any(d.waiting for d in relay.dests.values()):
                    continue
                for act in of(i.Send, relay.handle(self.now, events.get(n, []))):
                    tried[act.id] = relay.msgs[act.id].attempts - 1
                    self.out.append((self.now + elapsed, n, act.id, tried[act.id]))
                    if n in self.informed:
                        times.append(self.now)
        return times


@pytest.mark.parametrize("weights", [True, False])
@pytest.mark.parametrize("relays", [3, 48, 330])
def test_relays_that_saw_an_outage_keep_the_cold_budget_together(relays, weights):
    fleet = Fleet(relays, told_weights=weights)  # without weights the rate is only what each is asked for
    fleet.run(5, 15, R.OK, 0.2)
    fleet.run(12, 15, R.CONNECT_FAILED, 1.0)
    back = fleet.now
    times = fleet.run(8, 15, R.OK, 0.2)
    assert times  # they do come back
    for start in times:
        window = sum(1 for t in times if start <= t < start + TIP)
        warm = min(1.0, COLD + (1 - COLD) * (start - back) / 10.0)
        # What it can do at the end of the span, and chance: the bench's rule counts the same way.
        able = min(1.0, warm + (1 - COLD) * TIP / 10.0)
        assert window <= MULTIPLE * WEIGHT * TIP * (warm + able) / 2 + 3


def test_idle_parts_are_used_until_refusals_say_that_others_push():
    rig = Rig(relays=300, slots=8, weight=10.0)
    sent = of(i.Send, rig.step(0, *[i.Message(mid, 0, 1, 20.0) for mid in range(4)]))
    assert len(sent) >= 3  # an even part would be one call in thirty seconds
    rig.outcome(sent[0].id, R.FULL, report=i.Report(0.0, 10.0))
    part = rig.relay.links["a"].route.part
    assert part < 1 / 10 and not of(i.Send, rig.step(0.2))


def test_a_success_with_limit_left_lets_the_next_of_a_clump_go():
    rig = Rig(relays=300, slots=8, weight=10.0)
    rig.warm(3)
    rig.relay.links["a"].route.part, rig.relay.links["a"].route.tokens = 0.01, 0.0
    rig.message(1)
    rig.message(2)
    assert 1 not in rig.attempts
    rig.relay.links["a"].route.tokens = 1.0
    rig.step(0.01)
    assert 1 in rig.attempts and 2 not in rig.attempts
    rig.outcome(1, R.OK, report=i.Report(0.9, 10.0))
    assert 2 in rig.attempts


def test_a_used_up_limit_is_no_outage_but_fulls_with_allowance_left_are():
    for left, down in ((0.0, False), (0.8, True)):
        rig = Rig(hosts=("a",), relays=50, weight=50.0)
        rig.message(1)
        for _ in range(400):
            if any(k[0] == 1 for k in rig.relay.calls):
                rig.outcome(1, R.FULL, later=0.02, report=i.Report(left, 50.0), finished=False)
            rig.step(0.05)
            if rig.relay.links["a"].down_at is not None:
                break
        assert (rig.relay.links["a"].down_at is not None) is down


def test_fees_order_only_routes_apart_and_equal_endpoints_are_chosen_by_lot():
    def hosts(apart):
        chosen = set()
        for seed in range(12):
            rig = Rig(hosts=(), apart=apart, zone_fee=[0.0, 0.06], seed=seed)
            rig.step(0, i.Hosts(i.ListKind.FULL, [i.HostEntry("a", 1, zone=0), i.HostEntry("b", 1, zone=1)]))
            chosen |= {s.host for s in of(i.Send, rig.message(1))}
        return chosen

    assert hosts(apart=True) == {"a"} and hosts(apart=False) == {"a", "b"}


def test_an_open_connection_outweighs_a_smaller_fee():
    rig = Rig(hosts=(), apart=True, zone_fee=[0.0, 0.03], handshake_price=0.06)
    rig.step(0, i.Hosts(i.ListKind.FULL, [i.HostEntry("b", 1, zone=1, weight=200.0)]))
    rig.message(1)
    rig.outcome(1, R.OK, host="b")
    rig.step(0, i.Hosts(i.ListKind.DELTA, [i.HostEntry("a", 1, zone=0, weight=200.0)]))
    assert [s.host for s in of(i.Send, rig.message(2))] == ["b"]


def test_idle_connections_close_only_where_they_are_seen_to_bind_and_reuse_is_far():
    for relays, known, closes in (
        (100, None, 0),
        (100, "reports elsewhere", 1),
        (100, "a fast failure", 1),
        (2, "reports elsewhere", 0),
    ):
        rig = Rig(relays=relays, weight=20.0)
        rig.message(1)
        if known == "reports elsewhere":
            rig.relay.reports = True
        elif known == "a fast failure":
            rig.outcome(1, R.CONNECT_FAILED, elapsed=0.02)
            while not rig.attempts[1]:
                rig.step(1.0)
        assert len(of(i.CloseIdle, rig.outcome(1, R.OK))) == closes, known


@pytest.mark.parametrize("more", [dict(cold_share=0.0), dict(cold_time=0.0), dict(slots=1), dict(relays=330, me=329)])
@pytest.mark.parametrize("weight", [0.0, 5.0])
def test_odd_but_legal_settings_lead_to_lawful_actions(more, weight):
    rig = Rig(weight=weight, **more)
    rig.message(1)
    assert 1 in rig.attempts
    for _ in range(4):
        rig.message(2)
        for mid, _attempt in list(rig.relay.calls):
            rig.outcome(mid, R.FULL, report=i.Report(0.0, 0.0))
        for mid, _attempt in list(rig.relay.calls):
            rig.outcome(mid, R.CONNECT_FAILED, elapsed=1.0, report=i.Report(0.0, 5.0))
    rig.step(30.0)
    assert not rig.relay.msgs  # all answered in their time


def test_a_message_without_time_left_is_answered_at_once():
    acts = Rig().message(1, expires_in=0.0)
    assert [type(a) for a in acts if not isinstance(a, i.SetTimer)] == [i.Refuse]


@pytest.mark.parametrize(
    "field, more",
    [
        ("relays", dict(relays=0)),
        ("me", dict(relays=2, me=2)),
        ("me", dict(me=-1)),
        ("slots", dict(slots=0)),
        ("max_open", dict(max_open=0)),
        ("max_attempts", dict(max_attempts=0)),
    ],
)
def test_impossible_settings_name_their_field(field, more):
    with pytest.raises(ValueError, match=field):
        decide.Relay(settings(**more), 1)


def test_a_message_with_short_patience_is_worth_its_full_worth_while_fresh():
    rig = Rig(slots=1)
    rig.message(0)
    rig.message(1, expires_in=18.0)
    rig.message(2, expires_in=3.0)  # fresh, with little time
    rig.message(3, expires_in=3.0, again=True)  # came again: most of its worth is gone
    worth = {m.id: rig.relay.worth(m, rig.now + 0.5) for m in rig.relay.msgs.values()}
    assert worth[1] == worth[2] == 1.0 and worth[3] < 0.6
    assert rig.relay.worth(rig.relay.msgs[2], rig.now + 3.0) == 0.0


def test_without_weights_a_rate_is_what_this_relay_is_asked_for_drawn_to_its_kind():
    entries = [i.HostEntry(f"{d}{k}", d, kind=0) for d in range(10) for k in "ab"]
    rates = {}
    for apart in (False, True):
        rig = Rig(hosts=(), relays=50, apart=apart, told_weights=False, slots=40, max_open=10000)
        rig.step(0, i.Hosts(i.ListKind.CACHED, entries))
        for n in range(200):  # two a second for the first, a tenth of one for each of four others
            others = [i.Message(2 * n + 1, 0, 1 + n // 10 % 4, 20.0)] * (n % 10 == 0)
            rig.step(0.25, i.Message(2 * n, 0, 0, 20.0), *others)
        rates[apart] = [rig.relay.rate(rig.relay.links[f"{d}a"]) for d in range(10)]
    busy, some, idle = rates[False][0], rates[False][1], rates[False][9]
    assert busy == pytest.approx(4 * 50, rel=0.3) and busy > some > idle > 0
    assert rates[True][0] == pytest.approx(busy / 2)  # routes apart share what the partner is asked for


def test_a_full_store_gives_up_what_rests_longest_and_takes_new_messages_for_free_partners():
    rig = Rig(hosts=(), slots=16, max_open=10, relays=100)
    rig.step(0, i.Hosts(i.ListKind.CACHED, [i.HostEntry(h, d, weight=20.0) for d, h in enumerate("abc")]))
    rig.step(0, i.Message(1, 0, 0, 20.0))
    rig.outcome(1, R.FULL)  # partner 0 rests for many seconds
    assert rig.relay.links["a"].route.tokens_at > rig.now + 2
    assert len(of(i.Send, rig.step(0.01, *[i.Message(mid, 0, 2, 20.0) for mid in range(2, 10)]))) == 8
    acts = rig.step(0.01, i.Message(10, 0, 1, 20.0))
    assert [s.id for s in of(i.Send, acts)] == [10] and [a.id for a in of(i.Refuse, acts)] == [1]


def test_an_overtaken_call_gives_up_its_slot_when_slots_are_scarce():
    rig = Rig(effect=i.Effect.UNSAFE, slots=4)
    rig.warm(40)
    rig.message(1)  # its answer is lost
    rig.message(2, later=0.1)
    rig.outcome(2, R.OK)  # a later one was answered: the link is sound
    rig.step(0, i.Hosts(i.ListKind.DELTA, [i.HostEntry("b", 2, weight=200.0)]))
    acts = rig.step(0.1, *[i.Message(mid, 0, 1 + mid % 2, 20.0) for mid in range(3, 9)])
    assert rig.relay.busy == 4 and rig.relay.links["a"].down_at is None
    assert [(c.id, c.attempt) for c in of(i.Cancel, acts + rig.step(0.1))] == [(1, 0)]


def test_sibling_routes_rest_with_a_refusing_one_as_often_as_their_kind_refuses():
    def second_try_at_once(refused):
        rig = Rig(hosts=("a", "b"), apart=True, weight=20.0, relays=100)
        rig.relay.kinds[0][2] = refused
        host = of(i.Send, rig.message(1))[0].host
        return bool(of(i.Send, rig.outcome(1, R.FULL, host=host)))

    assert second_try_at_once(0.0) and not second_try_at_once(1.0)


def test_a_sibling_route_that_served_lately_does_not_rest():
    rig = Rig(hosts=("a", "b"), apart=True, weight=20.0, relays=100)
    rig.relay.kinds[0][2] = 1.0
    host = of(i.Send, rig.message(1))[0].host
    rig.relay.links["b" if host == "a" else "a"].last_ok = rig.now
    assert of(i.Send, rig.outcome(1, R.FULL, host=host))


def test_a_fast_failed_connect_rests_the_partner_only_when_all_its_endpoints_fail():
    rig = Rig(hosts=("a", "b"), weight=20.0, relays=100)
    first = of(i.Send, rig.message(1))[0].host
    again = of(i.Send, rig.outcome(1, R.CONNECT_FAILED, host=first, elapsed=0.02))
    assert again and again[0].host != first
    assert not of(i.Send, rig.outcome(1, R.CONNECT_FAILED, host=again[0].host, elapsed=0.02))


def test_a_link_that_was_out_again_since_its_last_return_is_met_as_from_that_outage():
    """The return before has no part in it: an outage of less than no time overflowed and ended the tick."""
    rig = Rig(relays=1)

    def out(lasted):
        entry = i.HostEntry("a", 1, weight=200.0, out_since=rig.now - lasted)
        rig.step(0.0, i.Hosts(i.ListKind.DELTA, [entry]))

    out(5.0)
    rig.message(1)
    rig.outcome(1, R.OK)
    assert rig.relay.links["a"].ramp is not None  # and nothing is asked of it until long after
    rig.step(70.0)
    out(1.0)
    assert of(i.Send, rig.message(2))
    assert rig.relay.knowers(rig.relay.links["a"]) == 1.0
