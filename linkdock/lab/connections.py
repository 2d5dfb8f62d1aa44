"""Connections to servers under idle drops, a surge and a slow spell: a connection for each call, the plain pool, the
keeper, and an oracle that knows each idle life.

Question: how many calls meet a connection that its server has silently dropped, and what does avoiding them cost in
new connections and in delay? The same arrivals, servers and call times for each policy, on a virtual clock. The
manager's own machine is driven, not a copy of it.
"""

from __future__ import annotations

import heapq
import statistics
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Annotated

import msgspec
import numpy as np

from ..connections import FRESH
from ..connections.choice import Choice, ConnectionsSettings
from ..connections.manager import ConnectionManager
from ..connections.orders import ROUND, Action, Fail, Open, Ticket, Use
from .idle import Positive, Seconds

TOLD, MARGIN = 5.0, 0.75  # seconds of idleness that servers tell, and before which idle connections are retired
CONNECT_TIMEOUT = 1.5
POLICIES = ("one a call", "today", "keeper", "oracle")
Rate = Annotated[float, msgspec.Meta(gt=0)]


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """How many servers of which idle lives, what comes to them, and what happens meanwhile. Times in seconds."""

    servers: Annotated[int, msgspec.Meta(ge=1, le=2000)] = 24
    lives: Annotated[tuple[Rate, ...], msgspec.Meta(min_length=1)] = (0.7, 2.0, 5.0, 5.0)
    resets_third: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    rate: Rate = 2.0  # calls a second to one server in the mean
    large: Rate = 10.0  # and to the large one, which drops nothing
    orders: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
    surge: Annotated[float, msgspec.Meta(ge=1)] = 10.0  # times the large one's calls, reached within half a second
    slowed: Annotated[float, msgspec.Meta(ge=1)] = 2.6  # times the time of every call in the slow spell
    spell: Seconds = 10.0  # that either lasts
    seconds: Annotated[float, msgspec.Meta(gt=0, le=36000)] = 300.0
    trip: Rate = 0.05  # a round trip; a handshake takes two, and its work
    workers: Positive = 4  # calls and handshakes that one server works on at once
    work: Rate = 0.03  # of a call, in the mean
    handshake: Rate = 0.06  # work of a handshake
    rest: Rate = 0.1  # of a call's time, while no worker is needed
    most: Annotated[int, msgspec.Meta(ge=1)] = 300
    settings: ConnectionsSettings = ConnectionsSettings(on=True)
    seeds: Positive = 10
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1

    def check(self) -> None:
        """Raises ValueError that names the key."""
        if min(self.lives) <= self.trip:
            raise ValueError(f"lives must be above a round trip ({self.trip} s), not {min(self.lives)}")
        if self.seconds < 4 * self.spell:
            raise ValueError(f"seconds must be at least four spells ({4 * self.spell:g} s), not {self.seconds:g}")


@dataclass(slots=True, eq=False)
class Server:
    name: str
    life: float
    rate: float
    every: int = 0  # resets each so-manieth reuse, if any
    reuses: int = 0
    free: list[float] = field(default_factory=list)  # when each worker is free again

    def alive(self, age: float) -> bool:
        if age < 0:
            return True
        self.reuses += 1
        return age <= self.life and not (self.every and self.reuses % self.every == 0)

    def work(self, now: float, seconds: float) -> float:
        """When work that comes now is done."""
        begun = max(now, self.free[0])
        heapq.heapreplace(self.free, begun + seconds)
        return begun + seconds


@dataclass(slots=True, eq=False)
class Line:
    """One connection."""

    server: str
    kind: int
    peer: tuple
    age: float = FRESH
    idle_since: float = 0.0
    uses: int = 0


@dataclass(slots=True, eq=False)
class Wish(Ticket):
    asked: float = 0.0
    work: float = 0.0
    rest: float = 0.0


class Plain:
    """The plain pool: the last used first, retired before the told end; each call that finds none opens its own."""

    def __init__(self, keep: bool) -> None:
        self._keep, self._idle, self._opening = keep, {}, {}
        self._count = self.peak = 0

    def ask(self, now: float, wish: Wish) -> list[Action]:
        kept = self._idle.get(wish.server)
        while kept and now - kept[0].idle_since >= TOLD - MARGIN:
            del kept[0]
            self._count -= 1
        if kept:
            line = kept.pop()
            line.age = now - line.idle_since
            return [Use(wish, line)]
        self._count += 1
        self.peak = max(self.peak, self._count)
        self._opening.setdefault(wish.server, deque()).append(wish)
        return [Open(wish.server, wish.kind, wish.peer)]

    def ready(self, now: float, line: Line, seconds: float) -> list[Action]:
        return [Use(self._opening[line.server].popleft(), line)]

    def give_back(self, now: float, line: Line) -> list[Action]:
        if not self._keep:
            return self.ended(now, line)
        line.idle_since = now
        self._idle.setdefault(line.server, []).append(line)
        return []

    def ended(self, now: float, line: Line) -> list[Action]:
        self._count -= 1
        return []

    def answered(self, now: float, line: Line, seconds: float) -> None:
        pass

    def reset(self, now: float, line: Line) -> None:
        pass

    def retire(self, server: str) -> list[Action]:
        """As the program does on a reset."""
        self._count -= len(self._idle.pop(server, ()))
        return []

    def round(self, now: float, blocked: Callable[[str], str | None]) -> list[Action]:
        return []

    def __len__(self) -> int:
        return self._count


class Oracle(Choice):
    """Knows each server's idle life; one that resets at random it never trusts."""

    def __init__(self, settings: ConnectionsSettings, servers: dict[str, Server]) -> None:
        super().__init__(settings)
        self._servers = servers

    def may_use(self, server: str, kind: int, age: float, careful: bool, uses: int = 1) -> bool:
        known = self._servers[server]
        return age < known.life and not known.every


@dataclass(slots=True)
class Found:
    calls: int = 0
    stale: int = 0
    lost: int = 0  # orders that a stale connection ended
    unserved: int = 0  # calls that got no connection in time
    opened: int = 0
    peak: int = 0
    took: list[float] = field(default_factory=list)
    surge: list[float] = field(default_factory=list)  # of the large server's calls that began in the surge
    before: int = 0  # most connections up in the spell before calls slowed, and while they were slow
    slow: int = 0


class Day:
    """One day under one policy."""

    def __init__(self, plan: Plan, seed: int, policy: str) -> None:
        luck = Random(seed)
        self._plan, self._work, self.found = plan, Random(seed + 1), Found()
        kinds = [
            Server(
                f"s{n}",
                luck.choice(plan.lives),
                plan.rate * luck.uniform(0.1, 1.9),
                3 if luck.random() < plan.resets_third else 0,
            )
            for n in range(plan.servers)
        ]
        self._servers = {s.name: s for s in (*kinds, Server("large", 60.0, plan.large))}
        for server in self._servers.values():
            server.free = [0.0] * plan.workers
        if policy in ("one a call", "today"):
            self._policy = Plain(policy == "today")
        else:
            choice = Oracle(plan.settings, self._servers) if policy == "oracle" else Choice(plan.settings)
            self._policy = ConnectionManager(plan.settings, choice, plan.most, TOLD - MARGIN, CONNECT_TIMEOUT)
        self._surge, self._slow = plan.seconds / 2, plan.seconds * 3 / 4
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order, self.now = count(), 0.0
        for server in self._servers.values():
            self._arrivals(server, luck)
        for n in range(int(plan.seconds / ROUND)):
            self._at(n * ROUND, self._round)

    def _arrivals(self, server: Server, luck: Random) -> None:
        """A Poisson stream, thinned from its highest rate."""
        plan, at = self._plan, 0.0
        most = server.rate * (plan.surge if server.name == "large" else 1.0)
        while (at := at + luck.expovariate(most)) < plan.seconds:
            rate = server.rate
            if server.name == "large" and 0 <= at - self._surge < plan.spell:
                rate *= 1 + (plan.surge - 1) * min(1.0, (at - self._surge) / 0.5)
            if luck.random() * most < rate:
                slow = plan.slowed if 0 <= at - self._slow < plan.spell else 1.0
                work = slow * luck.expovariate(1 / plan.work)
                self._at(at, self._arrive, server, luck.random() < plan.orders, work, slow * plan.rest)

    def _at(self, when: float, what: Callable, *told) -> None:
        heapq.heappush(self._events, (when, next(self._order), what, told))

    def play(self) -> Found:
        while self._events:
            self.now, _, what, told = heapq.heappop(self._events)
            what(*told)
        self.found.peak = self._policy.peak
        return self.found

    def _arrive(self, server: Server, careful: bool, work: float, rest: float) -> None:
        self.found.calls += 1
        self._do(
            self._policy.ask(self.now, Wish(server.name, 0, ("", 0), careful, asked=self.now, work=work, rest=rest))
        )

    def _round(self) -> None:
        self._do(self._policy.round(self.now, lambda server: None))
        spell = self._plan.spell
        if self._slow - spell <= self.now < self._slow:
            self.found.before = max(self.found.before, len(self._policy))
        elif self._slow <= self.now < self._slow + spell:
            self.found.slow = max(self.found.slow, len(self._policy))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Use(wish, line):
                    self._call(wish, line)
                case Open(server, kind, peer):
                    self.found.opened += 1
                    done = self._servers[server].work(self.now + self._plan.trip, self._plan.handshake)
                    line = Line(server, kind, peer)
                    self._at(done + self._plan.trip, self._ready, line, self.now)
                case Fail():
                    self.found.unserved += 1

    def _ready(self, line: Line, since: float) -> None:
        line.age = FRESH
        self._do(self._policy.ready(self.now, line, self.now - since))

    def _call(self, wish: Wish, line: Line) -> None:
        server = self._servers[line.server]
        if not server.alive(line.age):
            self._at(self.now + self._plan.trip, self._stale, wish, line)
            return
        done = server.work(self.now + self._plan.trip / 2, wish.work) + wish.rest + self._plan.trip / 2
        self._at(done, self._over, wish, line, self.now)

    def _stale(self, wish: Wish, line: Line) -> None:
        self.found.stale += 1
        self._policy.reset(self.now, line)
        self._do(self._policy.retire(line.server))
        self._do(self._policy.ended(self.now, line))
        if wish.careful:
            self.found.lost += 1
        else:
            again = Wish(wish.server, 0, ("", 0), False, asked=wish.asked, work=wish.work, rest=wish.rest)
            self._do(self._policy.ask(self.now, again))

    def _over(self, wish: Wish, line: Line, since: float) -> None:
        took = self.now - wish.asked
        self.found.took.append(took)
        if line.server == "large" and 0 <= wish.asked - self._surge < self._plan.spell:
            self.found.surge.append(took)
        self._policy.answered(self.now, line, self.now - since)
        self._do(self._policy.give_back(self.now, line))


def play(plan: Plan, seed: int, policy: str) -> Found:
    return Day(plan, seed, policy).play()


def run(plan: Plan, said: Callable[[str], None] = lambda text: None) -> dict:
    """All policies over all seeds: medians of a day each."""
    plan.check()
    report: dict = {"plan": msgspec.to_builtins(plan)}
    for policy in POLICIES:
        said(policy)
        days = [play(plan, plan.first_seed + n, policy) for n in range(plan.seeds)]

        def middle(of: Callable[[Found], float], days: list[Found] = days) -> float:
            return round(float(statistics.median(of(d) for d in days)), 4)

        report[policy] = {
            "calls": middle(lambda d: d.calls),
            "stale": middle(lambda d: d.stale),
            "orders lost": middle(lambda d: d.lost),
            "unserved": middle(lambda d: d.unserved),
            "opened": middle(lambda d: d.opened),
            "peak": middle(lambda d: d.peak),
            **{
                name: middle(lambda d, q=q: float(np.percentile(d.took, q)))
                for name, q in (("p50", 50), ("p99", 99), ("p99.9", 99.9))
            },
            "surge p99": middle(lambda d: float(np.percentile(d.surge, 99)) if d.surge else 0.0),
            "up before the slow spell": middle(lambda d: d.before),
            "up in it": middle(lambda d: d.slow),
        }
    return report
