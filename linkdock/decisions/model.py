"""What the decisions hold. A link is one endpoint, a route what has one limit and pace: all links of a
destination, or one link where routes are apart."""

import random
from collections import deque
from math import inf

from .. import interface as i
from .estimates import Estimate

FIRST_CALL = 1 / 8  # usual call before any was seen, in aims of its class: aims leave room for several
FIRST_TAIL = 1 / 2  # p95 with few samples, in aims: the floor of tau is the aim then, or by x
ASK_FIRST = 1 / 8  # first pause after a failed ask for the list, in told periods; it doubles
PROOF = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)


class Route:  # what has its own limit and pace
    def __init__(self) -> None:
        self.estimates: dict[int, Estimate] = {}
        self.round_trip, self.wait_until, self.cut_at, self.blow = 0.0, -inf, -inf, 0
        self.limit, self.part, self.woken, self.tokens, self.tokens_at = 0.0, 1.0, False, 1.0, -inf
        self.trial_sent = self.trial_at = -inf  # when the last trial went, and when the next may
        self.trial_paced = -inf  # and when that may once the last has ended
        self.pause, self.trials = 0.0, 0


class Link:  # one endpoint: its health and its return
    def __init__(self, entry: i.HostEntry, route: Route, lot: float) -> None:
        self.host, self.entry, self.route = entry.host, entry, route
        self.ready = self.silent = self.probe_out = self.probe_lies = False
        self.calls: list[Call] = []
        self.heard = self.last_ok = self.failed_at = self.since = self.tried_at = self.passed = -inf
        self.fails, self.bad, self.away, self.away_since = 0, 0.0, 0, inf
        self.down_at = self.ramp = None  # since when it is stopped, or let back slowly
        self.tokens, self.tokens_at, self.lot = 0.0, 0.0, lot
        self.idle: deque[float] = deque()


class Call:  # in flight: one slot and one fate for one attempt of each of its messages
    def __init__(self, link: Link, sent: float) -> None:
        self.link, self.sent, self.cancelled = link, sent, False
        self.msgs: dict[int, Msg] = {}  # without an outcome yet
        self.seen: list[i.Result] = []


class Msg:  # one message until its final answer, and while a call of it is out
    def __init__(self, m: i.Message, cls: i.MessageClass, now: float, over: float) -> None:
        self.id, self.cls, self.dest, self.rules, self.tenant = m.id, m.cls, m.destination, cls, m.tenant
        self.key, self.deadline = m.key if cls.in_order else 0, now + m.expires_in
        self.start = self.deadline - cls.deadline if m.again or m.orphaned else now
        self.worth, self.attempts, self.before = cls.worth * over, m.attempts, m.attempts
        self.tries = m.attempts if m.tries is None else m.tries
        self.call, self.doubt, self.doubt_zone = None, None, 0
        self.done, self.orphaned, self.taken_at = False, m.orphaned, m.taken_at


class Elsewhere:  # a message that another process of this sender holds: it only keeps its key
    def __init__(self, held: i.KeyHeld) -> None:
        self.id, self.key, self.taken_at, self.done, self.call = held.id, held.key, held.taken_at, True, None


class Dest:  # its links, the messages that wait for it, its calls out and its recent time-outs
    def __init__(self) -> None:
        self.links: list[Link] = []
        self.waiting: dict[int, Msg] = {}
        self.out, self.lost, self.came, self.used_at = 0, 0.0, 0.0, -inf


class State:
    """One relay's tables; with a sleeper, who has the list and what was learned, only of those with work."""

    def __init__(self, settings: i.Settings, seed: int, sleeper: i.Sleeper | None = None) -> None:
        self.s, self.sleeper = settings, sleeper
        self.random, self.lots = random.Random(seed), random.Random(seed + 1)
        self.now, self.born, self.busy, self.reports = 0.0, inf, 0, False
        self.acts: list[i.Action] = []
        self.msgs: dict[int, Msg] = {}
        self.calls: dict[tuple[int, int], tuple[Msg, Call]] = {}
        self.dests: dict[int, Dest] = {}  # with a sleeper those awake, the longest without work first
        self.hot: dict[int, Dest] = {}  # those for which messages wait
        self.out: dict[Link, None] = {}  # links with calls out
        self.down: dict[Link, None] = {}  # stopped ones
        self.gone: deque[tuple[float, Link]] = deque()
        self.links: dict[i.Host, Link] = {}
        self.inherited: list[i.Inherited] = []  # of hosts that no list has named yet
        self.listed = False  # whether a whole list has come
        self.keys: dict[int, list[Msg | Elsewhere]] = {}  # in the order in which they were taken
        self.unsettled: dict[int, Msg | Elsewhere] = {}  # whose ends are to be confirmed
        self.rest: dict[int, float] = {}
        self.touched: dict[i.Host, Link] = {}
        self.capped: set[int] = set()
        self.kinds: dict[int, list[float]] = {}  # partners listed, messages, share of calls refused
        self.usual = [Estimate(c.aim * FIRST_CALL, c.aim * FIRST_TAIL) for c in settings.classes]
        self.ask_at, self.ask_pause = None if settings.subscribe else inf, ASK_FIRST
        self.timer, self.timer_at, self.due, self.sweep_at = 0, inf, inf, inf
        self.quota = [[1.0, 0.0] for _ in settings.tenant_quota]

    def kind(self, entry: i.HostEntry) -> i.DestinationKind:
        return self.s.kinds[entry.kind] if entry.kind < len(self.s.kinds) else i.DestinationKind()

    def say(self, link: Link, state: str, why: str) -> None:
        text = f"route {link.entry.destination}/{link.host}: {state}: {why}"
        self.acts.append(i.Log(text, link.host, state))

    def cancel(self, call: Call) -> None:
        if self.s.cancel and not call.cancelled:
            call.cancelled = True
            self.acts += [i.Cancel(m.id, m.attempts - 1) for m in call.msgs.values()]
