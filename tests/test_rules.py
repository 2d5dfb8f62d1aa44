"""The rules as properties: drawn events drive one relay, a checker made from the rules watches its actions.

Outcomes are arbitrary; no server and no load is modelled.
"""

from collections import Counter

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_relay import R, of

from linkdock import decisions as decide
from linkdock import interface as i

NEVER_RAN = {R.FULL, R.CONNECT_FAILED, R.MOOT}
DOUBTFUL_KEY = {R.TIMEOUT, R.RESET, R.CANCELLED}
HOSTS = {"a": 1, "b": 1, "c": 2}


class BrokenError(AssertionError):
    """A rule was broken."""


class Checker:
    """What the rules demand of a relay's actions, from what it was told alone."""

    def __init__(self, told):
        self.told, self.now = told, 0.0
        self.owed, self.ended, self.deadline, self.cls, self.dest, self.key = {}, set(), {}, {}, {}, {}
        self.out, self.attempts, self.doubt, self.drained = {}, {}, {}, {}
        self.waits, self.order, self.rest, self.where = {}, {}, {}, {}

    def need(self, holds, rule):
        if not holds:
            raise BrokenError(rule)

    def event(self, now, e):
        self.now = now
        if isinstance(e, i.Hosts):
            for entry in e.entries:
                gone = entry.state is not i.HostState.READY
                self.drained[entry.host] = (self.drained.get(entry.host) or now) if gone else None
        elif isinstance(e, i.Message):
            self.owed[e.id], self.deadline[e.id] = True, now + e.expires_in
            self.cls[e.id], self.dest[e.id], self.key[e.id] = self.told.classes[e.cls], e.destination, e.key
            self.attempts[e.id] = 0
            if e.key and self.cls[e.id].in_order:
                self.order.setdefault(e.key, []).append(e.id)
        elif isinstance(e, i.Outcome):
            sent = self.out.pop((e.id, e.attempt))
            if e.result not in NEVER_RAN and e.result is not R.OK:
                self.doubt.setdefault(e.id, sent)
            if e.result in DOUBTFUL_KEY and self.key[e.id]:
                self.rest[self.key[e.id]] = (now + self.told.order_rest, e.id)
            if e.result is R.FULL and e.wait > 0:
                self.waits[HOSTS[e.host]] = max(self.waits.get(HOSTS[e.host], 0), now + e.wait)
            if e.finished:
                self.over(e.id)

    def over(self, mid):
        self.owed.pop(mid, None)
        self.ended.add(mid)
        self.free(mid)

    def free(self, mid):
        queue = self.order.get(self.key[mid], [])
        if mid in queue and mid in self.ended and not any(k[0] == mid for k in self.out):
            queue.remove(mid)

    def actions(self, acts):
        for mid in list(self.ended):
            self.free(mid)
        for a in acts:
            if isinstance(a, i.Send):
                self.send(a)
            elif isinstance(a, i.Refuse | i.Fail):
                self.need(a.id in self.owed, "one final answer")
                effect = self.cls[a.id].effect
                clear = a.id not in self.doubt and not any(k[0] == a.id for k in self.out)
                if isinstance(a, i.Refuse) and effect is i.Effect.UNSAFE:
                    self.need(clear, "a refusal promises that nothing ran")
                self.over(a.id)
        late = [m for m in self.owed if self.now > self.deadline[m] + self.told.answer_slack]
        self.need(not late, "an answer in time")

    def send(self, a):
        mid, cls = a.id, self.cls[a.id]
        self.need(mid in self.owed, "nothing for an ended message")
        self.need(HOSTS.get(a.host) == self.dest[mid], "only hosts of the destination")
        drained = self.drained.get(a.host, self.now - 1e9)
        self.need(drained is None or self.now <= drained + self.told.drain_grace, "drains")
        self.need(self.now >= self.waits.get(HOSTS[a.host], 0), "waits")
        self.need(not any(k[0] == mid for k in self.out), "one copy")
        self.need(self.attempts[mid] < self.told.max_attempts, "attempts")
        if cls.effect is i.Effect.UNSAFE:
            self.need(mid not in self.doubt, "no effect twice")
        if cls.effect is i.Effect.KEYED and mid in self.doubt:
            self.need(self.now <= self.doubt[mid] + cls.window, "a keyed repeat within its window")
        if cls.in_order and self.key[mid]:
            self.need(self.order[self.key[mid]][0] == mid, "order")
            until, holder = self.rest.get(self.key[mid], (0, mid))
            self.need(self.now >= until or holder == mid, "the key rests")
        self.out[mid, self.attempts[mid]] = self.now
        self.where[mid, self.attempts[mid]] = a.host
        self.attempts[mid] += 1
        # Those sent to one host at once share calls, as far as its kind allows.
        shared = Counter((self.where[k], sent) for k, sent in self.out.items())
        calls = sum(-(-count // self.told.kinds[0].batch) for count in shared.values())
        self.need(calls <= self.told.slots, "slots")


STEP = st.tuples(
    st.sampled_from(["message", "outcome", "list", "pass"]),
    st.floats(0.01, 3.0),
    st.integers(0, 2),
    st.integers(0, 7),
    st.sampled_from(["a", "b", "c"]),
    st.booleans(),
)


def play(told, steps):
    """One relay through the drawn steps; a call that outlasts its time-out is cut there."""
    relay, check, next_id, now, bell = decide.Relay(told, 1), Checker(told), 0, 100.0, None

    def feed(events):
        nonlocal bell
        for e in events:
            check.event(now, e)
        acts = relay.handle(now, events)
        check.actions(acts)
        for a in of(i.Send, acts):
            until = min(now + a.timeout, check.deadline[a.id])
            timeouts[a.id, check.attempts[a.id] - 1] = (until, a.host)
        for a in of(i.SetTimer, acts):
            bell = a

    timeouts: dict = {}
    feed([i.Hosts(i.ListKind.CACHED, [i.HostEntry(h, d, weight=20.0) for h, d in HOSTS.items()])])
    for what, later, cls, choice, host, flag in steps:
        end = now + later
        while True:  # timers and time-outs come at their times
            due = [(at, k) for k, (at, _) in timeouts.items()]
            at, key = min(due, default=(1e9, None))
            ring = bell.at if bell else 1e9
            if min(at, ring) > end:
                break
            now = max(now, min(at, ring))
            if at <= ring:
                _, where = timeouts.pop(key)
                feed([i.Outcome(*key, where, R.TIMEOUT, now - check.out[key], key[0] not in check.owed)])
            else:
                token, bell = bell.token, None
                feed([i.TimerDue(token)])
        now = end
        if what == "message":
            next_id += 1
            key = 1 + choice % 3 if cls else 0
            feed([i.Message(next_id, cls, 1 + choice % 2, 0.5 + 2 * choice, key=key)])
        elif what == "outcome" and timeouts:
            key = sorted(timeouts)[choice % len(timeouts)]
            _, where = timeouts.pop(key)
            result = list(R)[choice]
            done = key[0] not in check.owed or result is R.OK
            feed(
                [i.Outcome(*key, where, result, now - check.out[key], done, 0.5 if flag and result is R.FULL else 0.0)]
            )
        elif what == "list":
            state = i.HostState.DRAINING if flag else i.HostState.READY
            feed([i.Hosts(i.ListKind.DELTA, [i.HostEntry(host, HOSTS[host], state, weight=20.0)])])


def told(slots=2, relays=3, cancel=True, batch=1):
    classes = [
        i.MessageClass(i.Effect.SAFE, 1.0, 16.0, late_share=0.3),
        i.MessageClass(i.Effect.KEYED, 1.0, 16.0, 2.0, 0.3, True, 5.0),
        i.MessageClass(i.Effect.UNSAFE, 1.0, 16.0, 2.0, 0.3, True),
    ]
    return i.Settings(
        classes=classes,
        kinds=[i.DestinationKind(batch=batch)],
        slots=slots,
        max_open=20,
        max_attempts=3,
        relays=relays,
        cancel=cancel,
        fall_multiple=2.0,
        tip_after=2.0,
        cold_share=0.2,
        cold_time=10.0,
        order_rest=0.3,
        drain_grace=0.5,
        answer_slack=0.02,
    )


@settings(derandomize=True, max_examples=150, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    st.lists(STEP, min_size=5, max_size=60),
    st.integers(1, 4),
    st.sampled_from([1, 3, 300]),
    st.booleans(),
    st.sampled_from([1, 5]),
)
def test_the_rules_hold_whatever_comes(steps, slots, relays, cancel, batch):
    play(told(slots, relays, cancel, batch), steps)


def message(mid, cls=0, key=0):
    return i.Message(mid, cls, 1, 10.0, key=key)


SEND, LIST = i.Send(1, "a", 1.0), i.Hosts(i.ListKind.CACHED, [i.HostEntry(h, d) for h, d in HOSTS.items()])
DRAIN = i.Hosts(i.ListKind.DELTA, [i.HostEntry("a", 1, i.HostState.DRAINING)])
BREAKS = {
    "one final answer": [message(1), [i.Fail(1), i.Fail(1)]],
    "an answer in time": [message(1), 11.0, []],
    "nothing for an ended message": [message(1), [i.Fail(1), SEND]],
    "only hosts of the destination": [message(1), [i.Send(1, "c", 1.0)]],
    "drains": [message(1), DRAIN, 1.0, [SEND]],
    "waits": [message(1), [SEND], i.Outcome(1, 0, "a", R.FULL, 0.1, wait=2.0), 1.0, [i.Send(1, "b", 1.0)]],
    "one copy": [message(1), [SEND, SEND]],
    "slots": [message(1), message(2), message(3), [SEND, i.Send(2, "a", 1.0), i.Send(3, "a", 1.0)]],
    "no effect twice": [message(1, 2), [SEND], i.Outcome(1, 0, "a", R.ERROR, 0.1), [SEND]],
    "a refusal promises that nothing ran": [message(1, 2), [SEND], i.Outcome(1, 0, "a", R.ERROR, 0.1), [i.Refuse(1)]],
    "a keyed repeat within its window": [message(1, 1), [SEND], i.Outcome(1, 0, "a", R.ERROR, 0.1), 6.0, [SEND]],
    "order": [message(1, 2, 5), message(2, 2, 5), [i.Send(2, "a", 1.0)]],
    "the key rests": [
        message(1, 2, 5),
        message(2, 2, 5),
        [SEND],
        i.Outcome(1, 0, "a", R.RESET, 0.1),
        [i.Fail(1)],
        0.1,
        [i.Send(2, "a", 1.0)],
    ],
    "attempts": [message(1), *(s for n in range(3) for s in ([SEND], i.Outcome(1, n, "a", R.FULL, 0.1))), [SEND]],
}


@pytest.mark.parametrize("rule", BREAKS)
def test_the_checker_catches(rule):
    check, now = Checker(told()), 100.0
    check.event(now, LIST)
    with pytest.raises(BrokenError, match=rule):
        for step in BREAKS[rule]:
            if isinstance(step, float):
                now += step
                check.now = now
            elif isinstance(step, list):
                check.actions(step)
            else:
                check.event(now, step)
