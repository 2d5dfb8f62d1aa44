"""Every decision of linkdock. Settings, events and actions: `linkdock/interface.py`.

Ordinary path: a message goes to its destination by one call that may last tau, Danzig's equation (3) over
the destination's running loss p, service time x and round trip 2y. Around it stand guards for slots, health,
cold returns, told limits and the six rules. A link is one endpoint, a route what has one limit and pace: all
links of a destination, or one link where routes are apart.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from math import exp, inf, sqrt

from .. import interface as i
from ..interface import Effect, Result

# --- Constants; times are multiples of observed or told figures unless said otherwise.
KR_SCALE = 4.0          # Kr in x: a repeat costs the receiver a call and us a slot; more is cautious
SMOOTH = 1 / 16         # weight of one sample in p and x: about the last 16 calls of a class on a route count
P_ZERO = 0.004          # below this p counts as none, some 50 successes after a loss: tau is the time left
FLOOR = 2.0             # tau is never under this multiple of the recent served p95 (DESIGN)
RECENT = 48             # served calls that the p95 looks back on
FEW = 8                 # with fewer samples the p95 is a default:
FIRST_TAIL = 1 / 2      # this part of the class's aim, so that the floor is the aim, or by x
WINDOW = 1 / 2          # of a keyed message's window its call may last: as much is left for another
TAIL = 3.0              # p95 over mean before there are samples: that of an exponential service time
FIRST_CALL = 1 / 8      # usual call before any was seen, in aims of its class: aims leave room for several
SHARE = 0.5             # of the slots for one destination while others wait (DESIGN)
SHARE_ALONE = 0.75      # and while none waits: a newcomer must still find a slot
SCARCE = 0.75           # part of the slots in use from which calls on a stopped link give theirs up
LOST = 2.0             # p95s after which a call that will hardly be answered is worth less than its slot
SILENCE = 8.0           # waiting without answer, summed over calls in x, that makes a link suspect
BAD = 0.6               # recent failure share that stops a link (an outage fails most calls), together with
FAILS = 3               # so many failures on end: a link that fails every fourth call still earns more open
FAILS_FEW = 2           # as many do while it returns, or with no success lately
BAD_SMOOTH = 0.25       # weight of one outcome in that share
LEFT = 0.04             # share of its limit left from which a `full` is no limit but a sick or shut partner
PLENTY = 0.75           # and from which a success may be followed by the next call at once
STALE = 2.0             # tip spans without a success after which few failures do, or fulls mean shut
BRIEF = 4.0             # tip spans within which an answer from before a silence shows a link slow, not out
RETRY_FIRST = 2.0       # first pause before a trial, in usual calls of the link
RETRY_GROW = 1.7        # growth of that pause, up to a tip span: a later trial finds a return too late
TRIAL_LOAD = 0.7        # part of the fall multiple that the trials of all relays may make up
COLD_SAFETY = 0.6       # part of the fall multiple used after an outage: others return too, and chance clumps
ROUGHNESS = 1.5         # a rough weight is up to half too high
SHARED = 0.25           # of a call, that each further message in it may weigh on a cold partner
PART_UP = 1.03          # growth of this relay's part of a route's rate for each call taken on
PART_DOWN = 0.7         # and its cut for a `full`: others push too
PART_LEAST = 0.25       # bound of the part, in even parts
PART_MET = 0.7          # and where a limit was met: what a `full` says holds for that span alone
BLOW = 3                # refusals that count at most of calls out together; of those by a limit only one
JUST = 0.25             # seconds since a success after which a short told wait still means a limit
PART_MOST = 1.3         # and above: a told rate may be too low
PART_BACK = 40.0        # tip spans in which an unused part grows e-fold: what a `full` said grows old
PACE_BURST = 0.5        # seconds of pace that may go at once
ROOM = 0.95             # part of the message store from which the least worth is refused
ASK_FIRST = 1 / 8       # first pause after a failed ask for the list, in told periods; it doubles
ASK_MOST = 1 / 2        # up to this, which by chance half to one and a half times stays inside the period
PRIOR = 0.5             # messages that the mean of its kind weighs in a partner's rate: they differ widely
KEEP = 8.0              # an idle connection stays for a next call expected within so many usual calls
FORGET = 30.0           # seconds after which a link that is gone, with no call out, is forgotten
SLEEPS = 50             # destinations that fall asleep in one pass at the most
MOST_RESTS = 4096       # keys that rest before those whose rest is over are looked for


class Estimate:
    """Running p and x of one class on one route, with the recent served times."""

    def __init__(self, first: float, default: float) -> None:
        self.p, self.x, self.seen, self.default = 0.0, first, 0, default
        self.recent: deque[float] = deque(maxlen=RECENT)
        self._p95: float | None = None

    def served(self, took: float) -> None:
        self.sample(took)
        self.recent.append(took)
        self._p95 = None
        self.p *= 1 - SMOOTH

    def sample(self, took: float) -> None:
        self.seen += 1
        self.x += (took - self.x) * max(SMOOTH, 1 / self.seen if self.seen < 1 / SMOOTH else SMOOTH)

    def lost(self) -> None:
        self.p += (1 - self.p) * SMOOTH

    def p95(self) -> float:
        if self._p95 is None:
            order = sorted(self.recent)
            few = len(order) < FEW
            self._p95 = max(self.default, TAIL * self.x) if few else order[int(0.95 * (len(order) - 1))]
        return self._p95

    def unit(self) -> float:
        """The usual call by which silence is measured, never less than the served ones' tail implies."""
        return max(self.x, self.p95() / TAIL)


def tau(p: float, x: float, round_trip: float, kr: float) -> float:
    """Danzig's equation (3); infinite without losses."""
    q = 1 - p
    return q * sqrt(kr * ((1 + q) * round_trip + x) / (1 - q * q)) if p > P_ZERO else inf


class Route:  # what has its own limit and pace
    def __init__(self) -> None:
        self.estimates: dict[int, Estimate] = {}
        self.round_trip, self.wait_until, self.cut_at, self.blow = 0.0, -inf, -inf, 0
        self.limit, self.part, self.woken = 0.0, 1.0, False
        self.tokens, self.tokens_at = 1.0, -inf
        self.trial_at, self.pause, self.trials = -inf, 0.0, 0


class Link:  # one endpoint: its health and its return
    def __init__(self, entry: i.HostEntry, route: Route, lot: float) -> None:
        self.host, self.entry, self.route = entry.host, entry, route
        self.ready = self.silent = self.probe_out = self.probe_lies = False
        self.calls: list[Call] = []
        self.heard = self.last_ok = self.failed_at = self.since = self.tried_at = self.passed = -inf
        self.fails, self.bad, self.away, self.away_since = 0, 0.0, 0, inf
        self.down_at: float | None = None
        self.ramp: float | None = None
        self.tokens, self.tokens_at, self.lot = 0.0, 0.0, lot
        self.idle: deque[float] = deque()


class Call:  # in flight: one slot and one fate for one attempt of each of its messages
    def __init__(self, link: Link, sent: float) -> None:
        self.link, self.sent, self.cancelled = link, sent, False
        self.msgs: dict[int, Msg] = {}   # without an outcome yet
        self.seen: list[Result] = []


class Msg:  # one message until its final answer, and while a call of it is out
    def __init__(self, m: i.Message, cls: i.MessageClass, now: float, over: float) -> None:
        self.id, self.cls, self.dest, self.rules, self.tenant = m.id, m.cls, m.destination, cls, m.tenant
        self.key = m.key if cls.in_order else 0
        self.deadline = now + m.expires_in
        self.start = self.deadline - cls.deadline if m.again or m.orphaned else now
        self.worth, self.attempts = cls.worth * over, m.attempts
        self.call: Call | None = None
        self.doubt: float | None = None
        self.doubt_zone, self.done = 0, False


class Dest:  # its links, the messages that wait for it, its calls out and its recent time-outs
    def __init__(self) -> None:
        self.links: list[Link] = []
        self.waiting: dict[int, Msg] = {}
        self.out, self.lost, self.came, self.used_at = 0, 0.0, 0.0, -inf


PROOF = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
RESTS = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)


class Relay:
    """One relay's decisions; knows only its settings and its own events."""

    def __init__(self, settings: i.Settings, seed: int, sleeper: i.Sleeper | None = None) -> None:
        """With a sleeper, only destinations with work are held here; it has the list and what was learned."""
        self.s, self.sleeper = settings, sleeper
        self.random, self.lots = random.Random(seed), random.Random(seed + 1)
        self.now, self.born = 0.0, inf
        self.acts: list[i.Action] = []
        self.msgs: dict[int, Msg] = {}
        self.calls: dict[tuple[int, int], tuple[Msg, Call]] = {}
        self.busy, self.reports = 0, False
        self.dests: dict[int, Dest] = {}     # with a sleeper those awake, the longest without work first
        self.hot: dict[int, Dest] = {}       # those for which messages wait
        self.out: dict[Link, None] = {}      # links with calls out
        self.down: dict[Link, None] = {}     # stopped ones
        self.gone: deque[tuple[float, Link]] = deque()
        self.links: dict[i.Host, Link] = {}
        self.keys: dict[int, deque[Msg]] = {}
        self.rest: dict[int, float] = {}
        self.touched: dict[i.Host, Link] = {}
        self.capped: set[int] = set()
        self.kinds: dict[int, list[float]] = {}   # partners listed, messages, share of calls refused
        self.usual = [Estimate(c.aim * FIRST_CALL, c.aim * FIRST_TAIL) for c in settings.classes]
        self.ask_at, self.ask_pause = None if settings.subscribe else inf, ASK_FIRST
        self.timer, self.timer_at, self.due, self.sweep_at = 0, inf, inf, inf
        self.quota = [[1.0, 0.0] for _ in settings.tenant_quota]
        self.takers = {i.Hosts: self.on_hosts, i.Message: self.on_message, i.Outcome: self.on_outcome,
                       i.Withdrawn: self.on_withdrawn, i.Probed: self.on_probed, i.TimerDue: self.on_timer}

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        """Take in a whole batch, then one dispatch pass; nothing else makes actions."""
        self.now, self.acts, self.due, self.born = now, [], inf, min(self.born, now)
        for event in events:
            self.takers.get(type(event), id)(event)   # of other events nothing is made
        self.ask()
        self.check_silence()
        self.reclaim()
        self.sweep()
        self.dispatch()
        self.close_idle()
        self.forget()
        if self.sleeper is not None:
            self.fall_asleep()
        self.due = min(self.due, self.sweep_at)
        if self.due < self.timer_at - self.s.tick / 2 and self.due < inf:
            self.timer += 1
            self.timer_at = max(self.due, now)
            self.acts.append(i.SetTimer(self.timer_at, self.timer))
        return self.acts

    # --- The list of hosts.

    def on_hosts(self, news: i.Hosts) -> None:
        """A host that drains or is gone gets nothing new from this batch on."""
        if news.how is not i.ListKind.CACHED and self.s.subscribe:
            failed = news.how is i.ListKind.FAILED
            pause = self.ask_pause * self.s.ask_within * self.random.uniform(0.5, 1.5)
            self.ask_at = self.now + pause if failed else inf
            self.ask_pause = min(ASK_MOST, self.ask_pause * 2) if failed else ASK_FIRST
        listed = set()
        for entry in news.entries:
            listed.add(entry.host)
            self.meet(entry)
        if news.how in (i.ListKind.FULL, i.ListKind.CACHED):
            for link in self.links.values():
                if link.host not in listed:
                    link.ready = False
                    self.gone.append((self.now + FORGET, link))

    def meet(self, entry: i.HostEntry) -> None:
        link = self.links.get(entry.host)
        if link is None:
            dest = self.dests.setdefault(entry.destination, Dest())
            self.kinds.setdefault(entry.kind, [0.0, 0.0, 0.0])[0] += not dest.links
            route = Route() if self.kind(entry).apart or not dest.links else dest.links[0].route
            # The lot keeps relays with nothing to go by from all beginning at one link.
            link = self.links[entry.host] = Link(entry, route, self.lots.random())
            dest.links.append(link)
        link.entry, link.ready = entry, entry.state is i.HostState.READY
        if entry.out_since is not None and link.ready and link.down_at is None:
            self.suspect(link, entry.out_since)
        if entry.state is i.HostState.GONE:
            self.gone.append((self.now + FORGET, link))

    def forget(self) -> None:
        """Danger: a fleet whose hosts are replaced all day. What is gone, with no call out, goes here too."""
        while self.gone and self.gone[0][0] <= self.now:
            _, link = self.gone.popleft()
            known = self.links.get(link.host) is link
            if link.ready or not known or link.entry.state is i.HostState.DRAINING:
                continue
            if link.calls:
                self.gone.append((self.now + FORGET, link))
                continue
            dest = self.dests[link.entry.destination]
            del self.links[link.host]
            self.down.pop(link, None)
            dest.links.remove(link)
            if not dest.links:
                self.kinds[link.entry.kind][0] -= 1
                if not dest.waiting and not dest.out:
                    del self.dests[link.entry.destination]
        if self.gone:
            self.due = min(self.due, self.gone[0][0])

    # --- Sleep: with a sleeper, a destination without work is kept by it alone.

    def awake(self, number: int) -> Dest:
        dest = self.dests.pop(number, None)
        if dest is None:
            dest = Dest()
            if self.sleeper is not None:
                self.dests[number] = dest
                for entry in self.sleeper.rows(number):
                    self.meet(entry)
                self.sleeper.wake(self, number, dest)
        dest.used_at = self.now
        self.dests[number] = dest   # now the last in their order
        return dest

    def fall_asleep(self) -> None:
        for _ in range(SLEEPS):
            number = next(iter(self.dests), None)
            if number is None:
                return
            dest = self.dests[number]
            at = dest.used_at + self.sleeper.after
            if at <= self.now and (dest.waiting or dest.out):
                self.awake(number)
            elif at <= self.now:
                self.sleeper.keep(dest.used_at, number, dest)
                for link in dest.links:
                    del self.links[link.host]
                    self.down.pop(link, None)
                del self.dests[number]
            else:
                self.due = min(self.due, at)
                return
        self.due = self.now + self.s.tick

    def kind(self, entry: i.HostEntry) -> i.DestinationKind:
        return self.s.kinds[entry.kind] if entry.kind < len(self.s.kinds) else i.DestinationKind()

    def ask(self) -> None:
        """Ask for changes of the list where it must be asked for, again after a failure, one call at a time.

        Danger: drains go unheard. Covers lost calls, lost subscriptions and lost replies, and a fleet that
        starts together and would overrun the list's server. Hurts by a stale list for as long as the spread.
        """
        if self.ask_at is None:
            self.ask_at = self.now + self.random.uniform(0, ASK_MOST) * self.s.ask_within
        if self.ask_at <= self.now:
            self.acts.append(i.Subscribe(True))
            self.ask_at = self.now + 1.5 * ASK_MOST * self.s.ask_within   # its reply may never come
        self.due = min(self.due, self.ask_at)

    def on_timer(self, event: i.TimerDue) -> None:
        self.timer_at = inf if event.token == self.timer else self.timer_at

    # --- Estimates and worth.

    def estimate(self, route: Route, cls: int) -> Estimate:
        """A class's own figures, so that its failures cannot cut another's time-out."""
        if cls not in route.estimates:
            route.estimates[cls] = Estimate(self.usual[cls].x, self.usual[cls].default)
        return route.estimates[cls]

    def call_time(self, route: Route, cls: int) -> float:
        return route.round_trip + self.estimate(route, cls).x

    def timeout(self, link: Link, m: Msg) -> float:
        """Equation (3), at least the floor, at most the time left; unsafe messages wait all of it.

        A keyed call ends while its receiver still drops a repeat. Danger: a lost answer or a hung call takes
        the window with it. Hurts by a repeat where calls usually take longer than that.
        """
        if m.rules.effect is Effect.UNSAFE:
            return m.deadline - self.now
        e, y2, left = self.estimate(link.route, m.cls), link.route.round_trip, m.deadline - self.now
        floor = FLOOR * (y2 + e.p95())
        if link.down_at is not None:
            # A trial asks whether the link answers at all; each gets longer, for it may be slow only.
            return min(left, floor * RETRY_GROW ** link.route.trials)
        most = WINDOW * m.rules.window if m.rules.effect is Effect.KEYED else inf
        return min(left, max(floor, min(most, tau(e.p, e.x, y2, KR_SCALE * e.x))))

    def worth(self, m: Msg, at: float) -> float:
        """What the message still earns if it is delivered then."""
        c, age = m.rules, at - m.start
        forgotten = c.effect is Effect.KEYED and m.doubt is not None and at > m.doubt + c.window
        if at >= m.deadline or forgotten:
            return 0.0
        if age <= c.aim:
            return m.worth
        if self.s.halves:
            return m.worth * max(c.late_share, 0.5 ** (age / c.aim - 1))
        return m.worth * (1 - (1 - c.late_share) * (age - c.aim) / (c.deadline - c.aim))

    def rate(self, link: Link) -> float:
        """What the route takes from all relays together: as reported, as told, or else what it is asked for.

        The last by this relay's own arrivals times the relays, drawn to the mean of the partner's kind while
        they are few, and that to one call at a time; partners mostly take what comes to them.
        """
        told = link.route.limit or (link.entry.weight if self.s.told_weights else 0.0)
        if told > 0:
            return told
        dest, (partners, came, _) = self.dests[link.entry.destination], self.kinds[link.entry.kind]
        partners = max(self.sleeper.partners(link.entry.kind) if self.sleeper else partners, 1.0)
        spell = partners * (self.now - self.born) / self.s.relays
        mean = (came + PRIOR) / (spell + PRIOR * self.usual[0].x)
        asked = mean * (dest.came + PRIOR) / (came / partners + PRIOR)
        if self.sleeper:   # thousands are asked for nothing; one that has woken takes one call at a time
            asked = max(asked, 1 / self.usual[0].x)
        return asked / max(1, sum(k.ready for k in dest.links) if self.kind(link.entry).apart else 1)

    def wait_for(self, dest: Dest) -> float:
        """How long a message at the end of this destination's queue would wait, by its rest and its pace."""
        routes = {id(k.route): self.rate(k) * k.route.part for k in dest.links if k.ready}
        opens = min((self.opens(k) for k in dest.links if k.ready), default=self.now)
        return max(0.0, opens - self.now) + len(dest.waiting) / (sum(routes.values()) or 1.0)

    def opens(self, link: Link) -> float:
        """When a rest or a stop of the link ends, as far as is known."""
        route = link.route
        return max(route.wait_until, route.tokens_at if link.down_at is None else route.trial_at)

    # --- Messages.

    def on_message(self, e: i.Message) -> None:
        over = 1.0
        if e.tenant < len(self.quota):
            bucket, rate = self.quota[e.tenant], self.s.tenant_quota[e.tenant] / self.s.relays
            bucket[:] = min(max(rate, 2.0), bucket[0] + (self.now - bucket[1]) * rate), self.now
            over = 1.0 if bucket[0] >= 1 else self.s.over_share_worth
            bucket[0] -= bucket[0] >= 1
        m = Msg(e, self.s.classes[e.cls], self.now, over)
        self.msgs[m.id] = m
        dest = self.awake(m.dest)
        self.wait(m, dest)
        dest.came += 1
        for link in dest.links[:1]:
            self.kinds[link.entry.kind][1] += 1
        if m.key:
            self.keys.setdefault(m.key, deque()).append(m)
        self.sweep_at = min(self.sweep_at, self.give_up_at(m))

    def wait(self, m: Msg, dest: Dest) -> None:
        dest.waiting[m.id] = m
        self.hot[m.dest] = dest

    def unwait(self, m: Msg, dest: Dest) -> None:
        if dest.waiting.pop(m.id, None) is not None and not dest.waiting:
            del self.hot[m.dest]

    def give_up_at(self, m: Msg) -> float:
        """The last moment at which a usual call still fits, or the window of a keyed message closes."""
        usual = min((self.call_time(k.route, m.cls) for k in self.dests[m.dest].links if k.ready),
                    default=self.usual[m.cls].x)
        at = m.deadline - max(usual, 2 * self.s.tick)
        bound = m.doubt is not None and m.rules.effect is Effect.KEYED
        return min(at, m.doubt + m.rules.window - 2 * self.s.tick) if bound else at

    def sweep(self) -> None:
        """Answer what can no longer make it, at once; a full store gives up what is worth least."""
        if self.now >= self.sweep_at:
            self.sweep_at = inf
            for dest in list(self.hot.values()):
                for m in list(dest.waiting.values()):
                    at = self.give_up_at(m)
                    if at <= self.now:
                        self.give_up(m)
                    else:
                        self.sweep_at = min(self.sweep_at, at)
        excess = len(self.msgs) - int(ROOM * self.s.max_open)
        if excess > 0:
            # A full store turns away the next whatever its worth; choose instead.
            ranked = []
            for dest in self.hot.values():
                at = self.now + self.wait_for(dest)
                ranked += [(self.worth(m, at), -m.id, m) for m in dest.waiting.values() if self.refusable(m)]
            for _, _, m in heapq.nsmallest(excess, ranked, key=lambda t: t[:2]):
                self.give_up(m)

    def refusable(self, m: Msg) -> bool:
        """A refusal says that trying again is harmless."""
        everywhere = m.rules.effect is Effect.KEYED and m.rules.group == "all"
        return m.rules.effect is Effect.SAFE or everywhere or m.doubt is None and not m.call

    def give_up(self, m: Msg) -> None:
        told = min(self.s.max_retry_after, self.wait_for(self.dests[m.dest])) if self.s.retry_after else 0.0
        self.acts.append(i.Refuse(m.id, told) if self.refusable(m) else i.Fail(m.id))
        self.end(m)

    def end(self, m: Msg) -> None:
        """Over; calls still out are called off and keep the key until they end."""
        m.done = True
        self.msgs.pop(m.id, None)
        self.unwait(m, self.dests[m.dest])
        if m.call and self.s.cancel and not m.call.cancelled:
            self.acts.append(i.Cancel(m.id, m.attempts - 1))
        self.release(m)

    def release(self, m: Msg) -> None:
        queue = self.keys.get(m.key) if m.key else None
        if queue and m.done and not m.call:
            queue.remove(m)
            if not queue:
                del self.keys[m.key]

    def cancel(self, call: Call) -> None:
        if self.s.cancel and not call.cancelled:
            call.cancelled = True
            self.acts += [i.Cancel(m.id, m.attempts - 1) for m in call.msgs.values()]

    def on_withdrawn(self, e: i.Withdrawn) -> None:
        if e.id in self.msgs:
            self.end(self.msgs[e.id])

    # --- Outcomes.

    def on_outcome(self, o: i.Outcome) -> None:
        m, call = self.calls.pop((o.id, o.attempt), (None, None))
        if m is None:
            return
        link, m.call = call.link, None
        if o.wait > 0:   # each outcome of a shared call may tell one, and may come a batch later
            link.route.wait_until = max(link.route.wait_until, self.now + o.wait + self.s.tick)
        del call.msgs[m.id]
        if not call.msgs:
            link.calls.remove(call)
            if not link.calls:
                del self.out[link]
            self.busy -= 1
            self.awake(m.dest).out -= 1
        if o.result not in call.seen:   # ten outcomes of one call are one piece of evidence
            call.seen.append(o.result)
            self.learn(link, m, call, o)
        self.touched[link.host] = link
        if m.key and o.result in RESTS:
            self.rest[m.key] = self.now + self.s.order_rest
            if len(self.rest) > MOST_RESTS:
                self.rest = {key: at for key, at in self.rest.items() if at > self.now}
        if o.result not in PROOF and o.result is not Result.OK:
            m.doubt = call.sent if m.doubt is None else min(m.doubt, call.sent)
            m.doubt_zone = link.entry.zone
        if m.done:
            self.release(m)
        elif o.result is Result.OK or o.finished:
            self.end(m)
        else:
            spent = m.attempts >= self.s.max_attempts or self.give_up_at(m) <= self.now
            if spent or m.doubt is not None and m.rules.effect is Effect.UNSAFE:
                self.give_up(m)
            else:
                self.wait(m, self.dests[m.dest])
                self.sweep_at = min(self.sweep_at, self.give_up_at(m))

    def learn(self, link: Link, m: Msg, call: Call, o: i.Outcome) -> None:
        """Feed the estimates, the limit and the health with one outcome."""
        route = link.route
        dest, e = self.dests[m.dest], self.estimate(route, m.cls)
        limited = o.report is not None and o.report.limit > 0
        if limited:
            route.limit, self.reports = o.report.limit, True
            if o.report.left < LEFT:   # others use up what there is: no part is idle
                route.part = min(route.part, 1 / self.crowd(link, self.s.tip_after))
        if o.result is Result.MOOT:
            return
        route.woken = False
        fast = o.result is Result.CONNECT_FAILED and o.elapsed < self.s.connect_timeout / 2
        if fast or o.result is Result.OK and self.reports and not limited:
            self.capped.add(link.entry.kind)   # bound by them, if others tell a limit
        kind = self.kinds[link.entry.kind]
        if o.result in (Result.OK, Result.FULL):
            kind[2] += ((o.result is Result.FULL) - kind[2]) * SMOOTH
        if o.result is Result.OK:
            took = max(o.elapsed - route.round_trip, self.s.tick, 1e-3)   # 2y may be guessed too long
            e.served(took)
            self.usual[m.cls].served(took)
            dest.lost *= 1 - SMOOTH
            route.part = min(PART_MOST, route.part * PART_UP)
            if limited and o.report.left > PLENTY:   # speaks for all relays: what is idle may be used
                route.tokens = max(route.tokens, 1.0)
            link.idle.append(self.now + self.s.idle_close)
            self.answered(link, call.sent, e)
        elif o.result is Result.FULL or fast:
            # Danger: relays that push together use up a limit, a queue or all connections, and push over a
            # partner that returns. Each refusal on end rests the route longer, and by chance; no more relays
            # push than messages came since the first. Without a limit in sight they keep to a cold budget.
            # Hurts where a call only met a short queue.
            if fast:
                route.round_trip += (o.elapsed - route.round_trip) * (SMOOTH if route.round_trip else 1)
            link.heard = self.now
            # Danger: at a high rate many calls are out when a limit is met, and reports are older than that.
            # Counted singly, one blow cuts the part to nothing for long. Hurts where others push on.
            met = limited and (o.report.left < LEFT or 0 < o.wait <= self.s.tip_after and (
                link.last_ok > self.now - JUST))
            if o.result is Result.FULL:
                fresh = call.sent >= route.cut_at
                route.cut_at, route.blow = (self.now, 1) if fresh else (route.cut_at, route.blow + 1)
                if route.blow > (1 if met else BLOW):
                    return
            link.away, link.away_since = link.away + 1, min(link.away_since, self.now)
            if fast and any(k.ready and not k.away and not k.down_at for k in dest.links if k.route is route):
                return   # it says nothing of the others: one may have a connection to spare
            lasted, chance = self.now - link.away_since, self.random.uniform(0.5, 1.5)
            crowd = self.crowd(link, lasted + self.s.tip_after)
            least = min(route.part, (PART_MET if met else PART_LEAST) / self.s.relays)
            route.part = max(least, min(route.part * PART_DOWN, 1 / crowd))
            route.tokens = min(route.tokens, 1.0 - (link.away - (o.wait > 0)) * chance)
            route.tokens_at = max(self.now, route.wait_until)
            if o.wait > STALE * self.s.tip_after:
                self.go_down(link, "tells a long wait")
            elif not limited or o.report.left > LEFT:
                cold = self.s.fall_multiple * max(self.s.cold_share, 0.01) * self.rate(link)
                unheard = max(lasted, min(self.now - link.last_ok, STALE * self.s.tip_after))
                route.tokens_at += chance * self.crowd(link, unheard) / cold
                if lasted > self.s.tip_after * (1 if fast or limited else STALE):
                    self.failed(link, call.sent, o.result)
            if o.result is Result.FULL and self.kind(link.entry).apart and self.random.random() < kind[2]:
                # Danger: tries at all routes in turn keep each over its limit, where refused calls use it up.
                # As many rest as the kind refuses, unless they served lately. Hurts if one alone is full.
                for other in dest.links:
                    if other.last_ok < self.now - STALE * self.s.tip_after:
                        other.route.tokens_at = max(other.route.tokens_at, route.tokens_at)
        else:
            if o.result is Result.ERROR:
                link.heard = self.now
            else:
                e.lost()
                dest.lost += (1 - dest.lost) * SMOOTH
            if o.result is Result.TIMEOUT and link.down_at is None and m.rules.effect is not Effect.UNSAFE:
                e.sample(o.elapsed)
            self.failed(link, call.sent, o.result)

    # --- Health: a link that fails or falls silent is stopped, tried singly, and let back slowly.

    def answered(self, link: Link, sent: float, e: Estimate) -> None:
        link.heard = link.last_ok = self.now
        link.passed, link.bad = max(link.passed, sent), link.bad * (1 - BAD_SMOOTH)
        link.fails, link.away, link.away_since = 0, 0, inf
        if link.down_at is None:
            return
        link.probe_lies = False
        if link.silent and sent < link.down_at and self.now - sent < BRIEF * self.s.tip_after:   # only slow
            link.down_at, link.tried_at = None, -inf
            self.down.pop(link, None)
            e.x = max(e.x, (self.now - sent) / 2)   # the new pace, or the next call would look silent at once
            self.say(link, "healthy", "answers")
            return
        # What was sent before the outage and is still out will hardly be answered: it frees its key and slot.
        for call in link.calls:
            if call.sent < link.down_at:
                self.cancel(call)
        self.back(link)

    def back(self, link: Link) -> None:
        link.down_at, link.tried_at = None, -inf
        self.down.pop(link, None)
        link.ramp, link.tokens, link.tokens_at = self.now, self.random.random(), self.now
        link.route.part = 1 / self.knowers(link)   # all that know hold messages now
        self.say(link, "returning", "answers")

    def failed(self, link: Link, sent: float, result: Result) -> None:
        stale = result in (Result.TIMEOUT, Result.CANCELLED) and link.last_ok > sent
        if stale or result is Result.CANCELLED or sent < link.failed_at:
            return   # calls cut by one blow are one failure, not many on end
        link.failed_at, link.fails = self.now, link.fails + 1
        link.bad += (1 - link.bad) * BAD_SMOOTH
        stale = result in PROOF and link.last_ok < self.now - STALE * self.s.tip_after
        few = stale or link.ramp is not None
        if link.fails >= FAILS and link.bad >= BAD or few and link.fails >= FAILS_FEW:
            self.go_down(link, f"{result.name.lower()} on end")

    def suspect(self, link: Link, since: float) -> None:
        """A link that wakes under suspicion: its first call is a trial, its answer begins a cold return."""
        link.down_at, link.since, link.bad, link.fails = self.now, since, BAD, FAILS
        self.down[link] = None
        link.route.pause, link.route.trials = RETRY_FIRST * max(e.x for e in self.usual), 0
        link.route.trial_at = -inf

    def go_down(self, link: Link, why: str) -> None:
        """Stop a link; its return will be paced as one from an outage, whatever the cause was."""
        if link.down_at is not None:
            return
        link.since = self.now if link.ramp is None else link.since
        link.down_at, link.ramp, link.silent = self.now, None, why.startswith("silent")
        self.down[link] = None
        link.route.pause, link.route.trials = RETRY_FIRST * max(e.x for e in self.usual), 0
        self.next_trial(link, 0.0)
        self.say(link, "suspect", why)
        # Danger: an outage mostly takes all links of a route, and one not tried meanwhile would get all that
        # is held on the return. Hurts a sound link. A failed connect says nothing of others.
        lone = why.startswith(Result.CONNECT_FAILED.name.lower())
        for other in self.dests[link.entry.destination].links:
            idle = not lone and other.last_ok < self.now - self.s.tip_after
            if other.route is link.route and (link.away and not lone or idle):
                self.go_down(other, why)

    def reclaim(self) -> None:
        """Take back slots from overdue calls on stopped links, and unsafe ones that a later call overtook.

        Danger: calls that will not be answered hold the slots of all others: hung partners, lost answers.
        While many are free they stay, for a slow link shows itself by answering. With few left, repeatable
        ones go; with none, unsafe ones too. Hurts a message that was about to be delivered late.
        """
        free = self.s.slots - self.busy
        if free > (1 - SCARCE) * self.s.slots or not self.hot:
            return
        for link in self.out:
            for call in link.calls:
                stopped = link.down_at is not None and call.sent < link.down_at
                unsafe = any(m.rules.effect is Effect.UNSAFE for m in call.msgs.values())
                patience = LOST if unsafe else 1
                if (stopped or unsafe and call.sent < link.passed) and (free <= 0 or not unsafe) and (
                        self.now - call.sent > patience * self.slowest(call).p95()):
                    self.cancel(call)

    def slowest(self, call: Call) -> Estimate:
        """A shared call is as slow as the slowest class in it."""
        return max((self.estimate(call.link.route, m.cls) for m in call.msgs.values()), key=Estimate.unit)

    def check_silence(self) -> None:
        """Calls overdue against what is usual, with no answer since, are evidence before any time-out.

        Danger: with tau the time left a hung link shows no time-out. Covers silent hosts and pauses; hurts
        where a link slows manyfold at once, which then gets single trials for a while.
        """
        for link in self.out:
            if link.down_at is not None:
                continue
            weight, speed, ready = 0.0, 0.0, inf
            for call in link.calls:
                e = self.slowest(call)
                since = max(call.sent, link.heard)
                weight += (self.now - since) / (e.unit() + link.route.round_trip)
                speed += 1 / (e.unit() + link.route.round_trip)
                ready = min(ready, since + e.p95())
            at = max(ready, self.now + (SILENCE - weight) / speed)
            if at <= self.now:
                self.go_down(link, "silent")
            else:
                self.due = min(self.due, at)

    def on_probed(self, e: i.Probed) -> None:
        """Answered, it ends a stop; as it may lie, only calls are trials from then on until one is served."""
        link = self.links.get(e.host)
        if link is None or not link.probe_out:
            return
        link.probe_out = False
        if e.result is Result.OK and link.down_at is not None:
            link.probe_lies = True
            self.back(link)

    def next_trial(self, link: Link, at_least: float) -> None:
        """One trial at a time for a route; those of all relays together stay within what it can take cold."""
        route = link.route
        load = TRIAL_LOAD * self.s.fall_multiple * self.cold_part(link, 0.0)
        pause = max(route.pause, 1 / load) * self.random.uniform(0.5, 1.5)
        route.trial_at = self.now + max(at_least, pause)
        route.pause = min(route.pause * RETRY_GROW, self.s.tip_after)

    def say(self, link: Link, state: str, why: str) -> None:
        text = f"route {link.entry.destination}/{link.host}: {state}: {why}"
        self.acts.append(i.Log(text, link.host, state))

    # --- Dispatch.

    def open_at(self, link: Link) -> float:
        """When the link may take a call: now, later, or (inf) not before some outcome."""
        route, now = link.route, self.now
        at = route.wait_until
        if link.down_at is not None:
            return max(at, route.trial_at)
        if route.woken and any(k.calls for k in self.dests[link.entry.destination].links if k.route is route):
            return inf   # the first call after a sleep goes alone
        idle = min(max(now - route.tokens_at, 0.0), PART_BACK * self.s.tip_after)
        route.part = min(PART_MOST, route.part * (1 + idle / (PART_BACK * self.s.tip_after)))
        pace = self.rate(link) * route.part
        if now >= route.tokens_at:
            route.tokens, route.tokens_at = min(max(1.0, pace * PACE_BURST), route.tokens + idle * pace), now
        if route.tokens < 1 or now < route.tokens_at:
            at = max(at, route.tokens_at + max(0.0, 1 - route.tokens) / pace)
        if link.ramp is not None:
            age = now - link.ramp
            if age >= self.s.cold_time:
                link.ramp = None
                self.say(link, "healthy", "cold time over")
            else:
                rate = self.cold_rate(link, age)
                link.tokens, link.tokens_at = min(1.0, link.tokens + (now - link.tokens_at) * rate), now
                if link.tokens < 1:
                    at = max(at, now + (1 - link.tokens) / rate)
        return at

    def cold_rate(self, link: Link, age: float) -> float:
        """Calls a second so long after a return, or held messages of all relays push the link over again."""
        peers = sum(1 for k in self.dests[link.entry.destination].links if k.ready and k.route is link.route)
        return min(1.0, self.s.fall_multiple * COLD_SAFETY) * self.cold_part(link, age) / max(peers, 1)

    def cold_part(self, link: Link, age: float) -> float:
        """This relay's part of what a route can surely do so long after its return."""
        share = max(self.s.cold_share, 1e-3)
        warm = min(1.0, share + (1 - share) * age / max(self.s.cold_time, 1e-9))
        rough = ROUGHNESS if self.s.rough_weights and not link.route.limit else 1.0
        return self.rate(link) * warm / rough / self.knowers(link)

    def knowers(self, link: Link) -> float:
        """How many relays can have seen the outage."""
        lasted = (self.now if link.ramp is None else link.ramp) - link.since
        return self.crowd(link, lasted + STALE * self.s.tip_after)

    def crowd(self, link: Link, lasted: float) -> float:
        """How many relays can have called or wanted to, at the most: as messages fall on them by chance."""
        return max(1.0, self.s.relays * (1 - exp(-self.rate(link) * lasted / self.s.relays)))

    def turn(self, m: Msg) -> bool:
        """Whether the message's key lets it go now."""
        if not m.key:
            return True
        rest = self.rest.get(m.key, -inf) if m.attempts == 0 else -inf
        self.due = min(self.due, rest if rest > self.now else inf)
        return self.keys[m.key][0] is m and rest <= self.now

    def fits(self, m: Msg, link: Link) -> bool:
        """The rules of the message against one link."""
        bound = m.doubt is not None and m.rules.effect is Effect.KEYED and m.rules.group == "zone"
        return not bound or link.entry.zone == m.doubt_zone

    def candidate(self, dest: Dest) -> tuple[float, Msg, Link] | None:
        """The message of one destination that loses most by waiting behind its peers, and its link."""
        open_links = []
        for link in dest.links:
            if link.ready:
                at = self.open_at(link)
                if at <= self.now:
                    open_links.append(link)
                else:
                    self.due = min(self.due, at)
        if not open_links:
            return None
        behind = min(max(self.wait_for(dest), 0.2), 10.0)
        best, best_rank = None, -inf
        for m in dest.waiting.values():
            links = [k for k in open_links if self.fits(m, k)] if self.turn(m) else None
            if links:
                link = min(links, key=self.preference)
                rank = self.rank(m, link, behind)
                if rank > best_rank:
                    best, best_rank = (rank, m, link), rank
        return best

    def rank(self, m: Msg, link: Link, behind: float) -> float:
        """What the message loses, for each second of its call, by waiting so long behind its peers."""
        took = self.call_time(link.route, m.cls)
        bold = m.rules.effect is Effect.SAFE or m.doubt is not None
        later = 0.9 * self.worth(m, self.now + took + behind)
        soon = (1 - link.bad) * self.worth(m, self.now + took) + (link.bad * later if bold else 0.0)
        return (soon - later) / took + (1000 if bold and link.down_at is not None else 0)

    def company(self, m: Msg, link: Link, dest: Dest) -> list[Msg]:
        """The message and those that share its call, where the kind allows; a trial goes alone.

        Nothing waits for company. Hurts where a call fails, for all in it.
        """
        most = self.kind(link.entry).batch if link.down_at is None else 1
        behind = min(max(self.wait_for(dest), 0.2), 10.0)
        others = (o for o in dest.waiting.values() if o is not m and self.fits(o, link) and self.turn(o))
        return [m, *heapq.nlargest(most - 1, others, key=lambda o: self.rank(o, link, behind))]

    def preference(self, link: Link) -> tuple:
        while link.idle and link.idle[0] <= self.now:
            link.idle.popleft()
        fees, zone = self.s.zone_fee, link.entry.zone
        price = fees[zone] if self.kind(link.entry).apart and zone < len(fees) else 0.0   # only these pay it
        price += 0.0 if link.idle else self.s.handshake_price
        load = (len(link.calls) + 1) / max(link.entry.weight, 0.1)
        return link.down_at is not None, link.fails or link.away, price, link.tried_at, load, link.lot

    def dispatch(self) -> None:
        """Fill the free slots with what earns most, no destination beyond its share."""
        self.send_probes()
        free = self.s.slots - self.busy
        waiting = list(self.hot)
        best = {n: found for n in waiting if free > 0 and (found := self.candidate(self.dests[n]))}
        while free > 0 and best:
            n = max(best, key=lambda k: best[k][0])
            _, m, link = best.pop(n)
            dest = self.dests[n]
            share = (SHARE if len(waiting) > 1 else SHARE_ALONE) * (1 - dest.lost)
            if dest.out >= max(1, int(self.s.slots * share)):
                continue
            self.send(m, link, dest)
            free -= 1
            if dest.waiting and (found := self.candidate(dest)):
                best[n] = found

    def send(self, m: Msg, link: Link, dest: Dest) -> None:
        company, call = self.company(m, link, dest), Call(link, self.now)
        for one in company:
            self.acts.append(i.Send(one.id, link.host, self.timeout(link, one)))
            self.calls[one.id, one.attempts] = one, call
            call.msgs[one.id], one.call = one, call
            one.attempts += 1
            self.unwait(one, dest)
        if link.down_at is not None:
            link.tried_at = self.now
            link.route.trials += 1
            self.next_trial(link, FLOOR * self.estimate(link.route, m.cls).p95())
        link.route.tokens -= 1
        link.tokens -= 1 + SHARED * (len(company) - 1)
        if link.idle:
            link.idle.pop()
        link.calls.append(call)
        self.out[link] = None
        self.busy, dest.out = self.busy + 1, dest.out + 1

    def close_idle(self) -> None:
        """Close connections that this relay will hardly use again soon.

        Danger: idle connections of many relays take all that an endpoint accepts, whoever fills it. Hurts by
        a handshake where calls come closer than the list says.
        """
        for link in self.touched.values():
            peers = sum(k.ready for k in self.dests[link.entry.destination].links)
            gap = peers * self.s.relays / self.rate(link)
            if link.idle and link.entry.kind in self.capped and gap > KEEP * min(e.x for e in self.usual):
                link.idle.clear()
                self.acts.append(i.CloseIdle(link.host))
        self.touched.clear()

    def send_probes(self) -> None:
        """Where only messages wait that a failed trial might cost, a probe tries in their place."""
        if not self.s.probes:
            return
        for link in self.down:
            if not link.ready or link.probe_out or link.probe_lies:
                continue
            waiting = self.dests[link.entry.destination].waiting.values()
            if any(m.rules.effect is Effect.SAFE or m.doubt is not None for m in waiting):
                continue
            at = max(link.route.trial_at, link.route.wait_until)
            if at <= self.now:
                link.probe_out = True
                self.next_trial(link, 0.0)
                self.acts.append(i.Probe(link.host))
            elif waiting:
                self.due = min(self.due, at)
