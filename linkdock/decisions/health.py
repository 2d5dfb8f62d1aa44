"""Health: a link that fails or falls silent is stopped. What outcomes teach of that, and of limits."""

from math import inf

from ..interface import Effect, Outcome, Probe, Probed, Result
from .cold import BAD, FAILS, PART_MOST, STALE, ColdReturn
from .estimates import SMOOTH, Estimate
from .model import PROOF, Call, Link, Msg

SCARCE = 0.75  # part of the slots in use from which calls on a stopped link give theirs up
LOST = 2.0  # p95s after which a call that will hardly be answered is worth less than its slot
SILENCE = 8.0  # waiting without answer, summed over calls in x, that makes a link suspect
FAILS_FEW = 2  # so many stop it while it returns, or with no success lately
BAD_SMOOTH = 0.25  # weight of one outcome in the recent failure share
BRIEF = 4.0  # tip spans within which an answer from before a silence shows a link slow, not out
LEFT = 0.04  # share of its limit left from which a `full` is no limit but a sick or shut partner
PLENTY = 0.75  # and from which a success may be followed by the next call at once
PART_UP = 1.03  # growth of this relay's part of a route's rate for each call taken on
PART_DOWN = 0.7  # and its cut for a `full`: others push too
PART_LEAST = 0.25  # bound below of the part, in even parts
PART_MET = 0.7  # and where a limit was met: what a `full` says holds for that span alone
BLOW = 3  # refusals that count at most of calls out together; of those by a limit only one
JUST = 0.25  # seconds since a success after which a short told wait still means a limit


class Health(ColdReturn):  # what each link is held to be, by answers, failures and silence
    def answered(self, link: Link, sent: float, e: Estimate) -> None:
        link.heard = link.last_ok = self.now
        link.passed, link.bad = max(link.passed, sent), link.bad * (1 - BAD_SMOOTH)
        link.fails, link.away, link.away_since = 0, 0, inf
        if link.down_at is None:
            return
        link.probe_lies = False
        if link.silent and sent < link.down_at and self.now - sent < BRIEF * self.s.tip_after:  # only slow
            link.down_at, link.tried_at = None, -inf
            self.down.pop(link, None)
            e.x = max(e.x, (self.now - sent) / 2)  # the new pace, or the next call would look silent at once
            self.say(link, "healthy", "answers")
            return
        # What was sent before the outage and is still out will hardly be answered: it frees its key and slot.
        for call in (c for c in link.calls if c.sent < link.down_at):
            self.cancel(call)
        self.back(link)

    def failed(self, link: Link, sent: float, result: Result) -> None:
        stale = result in (Result.TIMEOUT, Result.CANCELLED) and link.last_ok > sent
        if stale or result is Result.CANCELLED or sent < link.failed_at:
            return  # calls cut by one blow are one failure, not many on end
        link.failed_at, link.fails = self.now, link.fails + 1
        link.bad += (1 - link.bad) * BAD_SMOOTH
        few = link.ramp is not None or result in PROOF and link.last_ok < self.now - STALE * self.s.tip_after
        if link.fails >= FAILS and link.bad >= BAD or few and link.fails >= FAILS_FEW:
            self.go_down(link, f"{result.name.lower()} on end")

    def go_down(self, link: Link, why: str) -> None:
        """Stop a link; its return will be paced as one from an outage, whatever the cause was."""
        if link.down_at is not None:
            return
        self.stop(link, self.now if link.ramp is None else link.since)
        link.silent = why.startswith("silent")
        self.next_trial(link, 0.0)
        self.say(link, "suspect", why)
        # An outage mostly takes all links of a route. A failed connect says nothing of others.
        lone = why.startswith(Result.CONNECT_FAILED.name.lower())
        for other in self.dests[link.entry.destination].links:
            idle = not lone and other.last_ok < self.now - self.s.tip_after
            if other.route is link.route and (link.away and not lone or idle):
                self.go_down(other, why)

    def reclaim(self) -> None:
        """Take back slots from overdue calls on stopped links, and unsafe ones that a later call overtook.

        While many are free they stay, for a slow link may still answer. With few left, repeatable ones go;
        with none, unsafe ones too.
        """
        free = self.s.slots - self.busy
        if free > (1 - SCARCE) * self.s.slots or not self.hot:
            return
        for link in self.out:
            for call in link.calls:
                stopped = link.down_at is not None and call.sent < link.down_at
                unsafe = any(m.rules.effect is Effect.UNSAFE for m in call.msgs.values())
                patience = LOST if unsafe else 1
                wanted = free <= 0 or not unsafe  # its slot, by another
                hopeless = stopped or unsafe and call.sent < link.passed
                if wanted and hopeless and self.now - call.sent > patience * self.slowest(call).p95():
                    self.cancel(call)

    def slowest(self, call: Call) -> Estimate:
        """A shared call is as slow as the slowest class in it."""
        return max((self.estimate(call.link.route, m.cls) for m in call.msgs.values()), key=Estimate.unit)

    def check_silence(self) -> None:
        """Calls overdue against what is usual, with no answer since, are evidence before any time-out.

        Where tau is the time left a hung link shows no time-out. One that slows gets single trials.
        """
        for link in (k for k in self.out if k.down_at is None):
            weight, speed, ready = 0.0, 0.0, inf
            for call in link.calls:
                e, since = self.slowest(call), max(call.sent, link.heard)
                weight += (self.now - since) / (e.unit() + link.route.round_trip)
                speed += 1 / (e.unit() + link.route.round_trip)
                ready = min(ready, since + e.p95())
            at = max(ready, self.now + (SILENCE - weight) / speed)
            if at <= self.now:
                self.go_down(link, "silent")
            else:
                self.due = min(self.due, at)

    def on_probed(self, e: Probed) -> None:
        """Answered, it ends a stop; as it may lie, only calls are trials from then on until one is served."""
        link = self.links.get(e.host)
        if link is not None and link.probe_out:
            link.probe_out = False
            if e.result is Result.OK and link.down_at is not None:
                link.probe_lies = True
                self.back(link)

    def send_probes(self) -> None:
        """Where only messages wait that a failed trial might cost, a probe tries in their place."""
        for link in (k for k in self.down if self.s.probes and k.ready and not (k.probe_out or k.probe_lies)):
            waiting = self.dests[link.entry.destination].waiting.values()
            if any(m.rules.effect is Effect.SAFE or m.doubt is not None for m in waiting):
                continue
            at = max(link.route.trial_at, link.route.wait_until)
            if at <= self.now:
                link.probe_out = True
                self.next_trial(link, 0.0)
                self.acts.append(Probe(link.host))
            elif waiting:
                self.due = min(self.due, at)

    def learn(self, link: Link, m: Msg, call: Call, o: Outcome) -> None:
        """Feed the estimates, the limit and the health with one outcome."""
        route, dest, e = link.route, self.dests[m.dest], self.estimate(link.route, m.cls)
        limited = o.report is not None and o.report.limit > 0
        if limited:
            route.limit, self.reports = o.report.limit, True
            if o.report.left < LEFT:  # others use up what there is: no part is idle
                route.part = min(route.part, 1 / self.crowd(link, self.s.tip_after))
        if o.result is Result.MOOT:
            return
        route.woken = False
        fast = o.result is Result.CONNECT_FAILED and o.elapsed < self.s.connect_timeout / 2
        if fast or o.result is Result.OK and self.reports and not limited:
            self.capped.add(link.entry.kind)  # bound by them, if others tell a limit
        kind = self.kinds[link.entry.kind]
        if o.result in (Result.OK, Result.FULL):
            kind[2] += ((o.result is Result.FULL) - kind[2]) * SMOOTH
        if o.result is Result.OK:
            took = max(o.elapsed - route.round_trip, self.s.tick, 1e-3)  # 2y may be guessed too long
            e.served(took)
            self.usual[m.cls].served(took)
            dest.lost *= 1 - SMOOTH
            route.part = min(PART_MOST, route.part * PART_UP)
            if limited and o.report.left > PLENTY:  # speaks for all relays: what is idle may be used
                route.tokens = max(route.tokens, 1.0)
            link.idle.append(self.now + self.s.idle_close)
            self.answered(link, call.sent, e)
        elif o.result is Result.FULL or fast:
            # Relays that push together use up a limit, and push over a partner that returns. Each refusal on
            # end rests the route longer, by chance; no more push than messages came since the first.
            if fast:
                route.round_trip += (o.elapsed - route.round_trip) * (SMOOTH if route.round_trip else 1)
            link.heard = self.now
            # Many calls are out when a limit is met: counted singly, one blow would cut the part to nothing.
            just = 0 < o.wait <= self.s.tip_after and link.last_ok > self.now - JUST
            met = limited and (o.report.left < LEFT or just)
            if o.result is Result.FULL:
                fresh = call.sent >= route.cut_at
                route.cut_at, route.blow = (self.now, 1) if fresh else (route.cut_at, route.blow + 1)
                if route.blow > (1 if met else BLOW):
                    return
            link.away, link.away_since = link.away + 1, min(link.away_since, self.now)
            if fast and any(k.ready and not k.away and not k.down_at for k in dest.links if k.route is route):
                return  # it says nothing of the others: one may have a connection to spare
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
                # Tries at all in turn would keep each over its limit: as many rest as the kind refuses.
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
