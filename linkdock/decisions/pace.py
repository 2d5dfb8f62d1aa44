"""Limits and pace: how long a call may last, what a route takes, and who else wants it."""

from math import exp, inf

from ..interface import Effect
from .estimates import Estimate, tau
from .model import Dest, Link, Msg, Route, State

KR_SCALE = 4.0  # Kr in x: a repeat costs the receiver a call and us a slot; more is cautious
FLOOR = 2.0  # tau is never under this multiple of the recent served p95 (DESIGN)
WINDOW = 1 / 2  # of a keyed message's window its call may last: as much is left for another
PRIOR = 0.5  # messages that the mean of its kind weighs in a partner's rate: they differ widely
MOST_GROWING = 64  # trials in a row that each get longer; an hour has more than a float can count
RETRY_GROW = 1.7  # growth of a trial's pause, up to a tip span: a later trial finds a return too late


class Pace(State):  # how long a call may last, and how many a route is given
    def estimate(self, route: Route, cls: int) -> Estimate:
        """A class's own figures, so that its failures cannot cut another's time-out."""
        if cls not in route.estimates:
            route.estimates[cls] = Estimate(self.usual[cls].x, self.usual[cls].default)
        return route.estimates[cls]

    def call_time(self, route: Route, cls: int) -> float:
        return route.round_trip + self.estimate(route, cls).x

    def timeout(self, link: Link, m: Msg) -> float:
        """Equation (3), at least the floor, at most the time left; unsafe messages wait all of it.

        A keyed call ends while its receiver still drops a repeat, or a lost answer would take the window.
        """
        if m.rules.effect is Effect.UNSAFE:
            return m.deadline - self.now
        e, y2, left = self.estimate(link.route, m.cls), link.route.round_trip, m.deadline - self.now
        floor = FLOOR * (y2 + e.p95())
        if link.down_at is not None:
            # A trial asks whether the link answers at all; each gets longer, for it may be slow only.
            return min(left, floor * RETRY_GROW ** min(link.route.trials, MOST_GROWING))
        most = WINDOW * m.rules.window if m.rules.effect is Effect.KEYED else inf
        return min(left, max(floor, min(most, tau(e.p, e.x, y2, KR_SCALE * e.x))))

    def rate(self, link: Link) -> float:
        """What the route takes from all relays together: as reported, as told, or else what it is asked for.

        The last is drawn to the mean of its kind while few messages came, and that to one call at a time.
        """
        told = link.route.limit or (link.entry.weight if self.s.told_weights else 0.0)
        if told > 1e-9:  # below, it says nothing, and a part of it may be 0
            return told
        dest, (partners, came, _) = self.dests[link.entry.destination], self.kinds[link.entry.kind]
        partners = max(self.sleeper.partners(link.entry.kind) if self.sleeper else partners, 1.0)
        spell = partners * (self.now - self.born) / self.s.relays
        mean = (came + PRIOR) / (spell + PRIOR * self.usual[0].x)
        asked = mean * (dest.came + PRIOR) / (came / partners + PRIOR)
        if self.sleeper or not self.reports:  # one asked for little, with no limit told, waits no minutes
            asked = max(asked, 1 / min(e.x for e in self.usual))
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

    def crowd(self, link: Link, lasted: float) -> float:
        """How many relays can have called or wanted to, at the most: as messages fall on them by chance."""
        return max(1.0, self.s.relays * (1 - exp(-self.rate(link) * lasted / self.s.relays)))
