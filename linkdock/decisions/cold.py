"""Cold returns: the trials of a stopped link, how slowly it is let back, and when a link may take a call."""

from math import inf

from .model import Link
from .pace import RETRY_GROW, Pace

RETRY_FIRST = 2.0  # first pause before a trial, in usual calls, and at most a tip span
TRIAL_LOAD = 0.7  # part of the fall multiple that the trials of all relays may make up
COLD_SAFETY = 0.6  # part of the fall multiple used after an outage: others return too, and chance clumps
ROUGHNESS = 1.5  # a rough weight is up to half too high
BAD = 0.6  # recent failure share that stops a link (an outage fails most calls), together with
FAILS = 3  # so many failures on end: a link that fails every fourth call still earns more open
STALE = 2.0  # tip spans without a success after which few failures do, or fulls mean shut
PART_MOST = 1.3  # bound above of this relay's part of a route's rate: a told rate may be too low
PART_BACK = 40.0  # tip spans in which an unused part grows e-fold: what a `full` said grows old
PACE_BURST = 0.5  # seconds of pace that may go at once


class ColdReturn(Pace):  # what a link that was stopped, and a route at its limit, may be given
    def suspect(self, link: Link, since: float) -> None:
        """A link that wakes under suspicion: its first call is a trial, its answer begins a cold return."""
        self.stop(link, since)
        link.bad, link.fails, link.route.trial_at = BAD, FAILS, -inf

    def stop(self, link: Link, since: float) -> None:
        link.down_at, link.ramp, link.since, self.down[link] = self.now, None, since, None
        # Danger: of a slow class the usual call may be longer than the time of another's messages.
        usual = max(e.x for e in self.usual)
        link.route.pause, link.route.trials = min(RETRY_FIRST * usual, self.s.tip_after), 0

    def next_trial(self, link: Link, at_least: float) -> None:
        """One trial at a time for a route; those of all relays together stay within what it can take cold."""
        route = link.route
        load = TRIAL_LOAD * self.s.fall_multiple * self.cold_part(link, 0.0)
        pause = max(route.pause, 1 / load) * self.random.uniform(0.5, 1.5)
        route.trial_paced, route.trial_at = self.now + pause, self.now + max(at_least, pause)
        route.pause = min(route.pause * RETRY_GROW, self.s.tip_after)

    def trial_ended(self, link: Link, sent: float) -> None:
        """The trial sent then has failed. The next one need not wait for what its class usually takes."""
        if link.down_at is not None and sent == link.route.trial_sent:
            link.route.trial_at = min(link.route.trial_at, max(link.route.trial_paced, self.now))

    def back(self, link: Link) -> None:
        link.down_at, link.tried_at = None, -inf
        self.down.pop(link, None)
        link.ramp, link.tokens, link.tokens_at = self.now, self.random.random(), self.now
        link.route.part = 1 / self.knowers(link)  # all that know hold messages now
        self.say(link, "returning", "answers")

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

    def open_at(self, link: Link) -> float:
        """When the link may take a call: now, later, or (inf) not before some outcome."""
        route, now, at = link.route, self.now, link.route.wait_until
        if link.down_at is not None:
            return max(at, route.trial_at)
        if route.woken and any(k.calls for k in self.dests[link.entry.destination].links if k.route is route):
            return inf  # the first call after a sleep goes alone
        idle = min(max(now - route.tokens_at, 0.0), PART_BACK * self.s.tip_after)
        route.part = min(PART_MOST, route.part * (1 + idle / (PART_BACK * self.s.tip_after)))
        pace = self.rate(link) * route.part
        if now >= route.tokens_at:
            route.tokens, route.tokens_at = min(max(1.0, pace * PACE_BURST), route.tokens + idle * pace), now
        if route.tokens < 1 or now < route.tokens_at:
            at = max(at, route.tokens_at + max(0.0, 1 - route.tokens) / pace)
        if link.ramp is not None:
            if (age := now - link.ramp) >= self.s.cold_time:
                link.ramp = None
                self.say(link, "healthy", "cold time over")
            else:
                rate = self.cold_rate(link, age)
                link.tokens, link.tokens_at = min(1.0, link.tokens + (now - link.tokens_at) * rate), now
                if link.tokens < 1:
                    at = max(at, now + (1 - link.tokens) / rate)
        return at
