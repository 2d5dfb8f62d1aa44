"""When a destination sleeps, what of its links is kept, and what a waking one is given.

It works on the decisions' own objects and decides nothing of dispatches: those stay in `decisions`. What it does there:

- estimates (x, p, p95, 2y) are drawn from the class's usual figures toward what was kept, by its trust;
- a limit comes back as it was, but the pace starts low and the first call goes alone (`Route.woken`), so that its
  report overrides the limit before a second one goes;
- a stop that was in force, or a return that was not over, is a suspicion: the link is stopped, its first call is one
  trial, and an answer begins a cold return;
- a told wait binds until it ends, asleep or not, whatever its age;
- of a new host nothing is known, whatever its address.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..facade import Server
from ..interface import HostEntry, HostState
from ..state.roster import Roster
from .memory import LEAST_TRUST, Facts, LinkFacts, Store, mark

LEAST_PART = 0.25  # of a route's rate, over all relays, from which the pace of a waking one starts
SEEN = 16  # samples that full trust weighs against new ones
STATES = {"ready": HostState.READY, "draining": HostState.DRAINING}


class Sleeper:
    """What `decisions.Relay` asks for (interface.Sleeper). `roster` gives the list in force."""

    def __init__(
        self,
        roster: Callable[[], Roster],
        classes: int,
        after: float,
        most: int,
        shown: Callable[[Iterable[Server]], Iterable[Server]] = lambda rows: rows,
    ) -> None:
        """`after` seconds without work a destination sleeps; of `most` something is kept."""
        self.after, self._roster, self._shown = after, roster, shown
        self.store = Store(classes, most)

    # --- The list.

    def rows(self, destination: int) -> list[HostEntry]:
        """A destination's rows in the list, in the form that the decisions read."""
        return [
            HostEntry(s.name, s.destination, STATES[s.health], s.kind, s.zone, s.share, s.born)
            for s in self._shown(self._roster().of(destination))
        ]

    def destination(self, host: str) -> int | None:
        """The destination that a listed host serves; None for one that is not listed."""
        row = self._roster().row(host)
        return None if row is None else row.destination

    def partners(self, kind: int) -> int:
        """How many destinations of a kind are listed."""
        return self._roster().partners(kind)

    # --- Sleep and wake.

    def facts(self, now: float, dest: Any) -> Facts:
        """What is worth keeping of a destination's links as they are now."""
        links = {}
        for link in dest.links:
            route, figures = link.route, []
            for cls in range(self.store.classes):
                e = route.estimates.get(cls)
                figures.append((e.x, e.p, e.p95()) if e is not None and e.seen else (0.0, 0.0, 0.0))
            links[link.host] = LinkFacts(
                link.down_at is not None or link.ramp is not None,
                route.wait_until,
                link.since,
                route.limit,
                route.part,
                route.round_trip,
                link.bad,
                figures,
            )
        return Facts(now, dest.came, dest.lost, links)

    def keep(self, at: float, destination: int, dest: Any) -> None:
        """One that has learned nothing leaves nothing."""
        facts = self.facts(at, dest)
        if any(
            link.stopped or link.limit or link.wait_until > at or any(x for x, _, _ in link.estimates)
            for link in facts.links.values()
        ):
            self.store.keep(destination, facts)

    def wake(self, relay: Any, destination: int, dest: Any) -> None:
        """Give a destination that wakes what was learned of it before."""
        found = self.store.take(relay.now, destination)
        if found is None:
            return
        facts, links = found
        dest.came, dest.lost = facts.came * facts.trust, facts.lost * facts.trust
        for link in dest.links:
            old = links.get(mark(link.host))
            if old is not None:
                self._give(relay, link, old, facts)

    def _give(self, relay: Any, link: Any, old: LinkFacts, facts: Facts) -> None:
        route, trust = link.route, facts.trust
        route.wait_until = max(route.wait_until, old.wait_until)
        if trust >= LEAST_TRUST and not route.woken:
            route.limit, route.round_trip = old.limit, old.round_trip * trust
            route.part = max(LEAST_PART / relay.s.relays, min(1.0, old.part) * trust)
            for cls, (x, p, p95) in enumerate(old.estimates):
                if x > 0:
                    e = relay.estimate(route, cls)
                    e.x, e.p, e.seen = e.x + trust * (x - e.x), p * trust, int(trust * SEEN)
                    e.default += trust * (p95 - e.default)
        route.woken, route.tokens_at = True, relay.now  # its idle time is no time in which a part grew
        if old.stopped:
            relay.suspect(link, min(old.since, relay.now))
