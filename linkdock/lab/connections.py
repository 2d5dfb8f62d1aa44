"""Which kept connection to use: today's rule, the learned idle life, an oracle, and a connection for each call.

Question: how many calls meet a connection that the server has silently dropped, and what does avoiding them cost in
new connections and in delay? The same arrivals, idle lives and call times for each policy; a virtual clock.
"""

from __future__ import annotations

import heapq
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Annotated

import msgspec
import numpy as np

from ..connections.choice import Choice, ConnectionsSettings
from ..connections.pool import FRESH
from .idle import Positive, Seconds

TOLD, MARGIN = 5.0, 0.75   # seconds of idleness that servers tell, and before which today's pool retires
TRIP, HANDSHAKE = 0.05, 0.15


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """How many servers of which idle lives, and what comes to them."""

    servers: Annotated[int, msgspec.Meta(ge=1, le=2000)] = 24
    lives: Annotated[tuple[Annotated[float, msgspec.Meta(gt=0)], ...],
                     msgspec.Meta(min_length=1)] = (0.7, 2.0, 5.0, 5.0)
    resets_third: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    rate: Annotated[float, msgspec.Meta(gt=0)] = 2.0
    orders: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
    seconds: Seconds = 120.0
    seeds: Positive = 10
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1

    def check(self) -> None:
        """Raises ValueError that names the key."""
        if min(self.lives) <= TRIP:
            raise ValueError(f"lives must be above a round trip ({TRIP} s), not {min(self.lives)}")


@dataclass(slots=True)
class Server:
    number: int
    life: float
    every: int = 0     # resets each so-manieth reuse, if any
    reuses: int = 0
    idle: list[float] = field(default_factory=list)   # since when each lies idle, the oldest first
    open: int = 0

    def alive(self, age: float) -> bool:
        self.reuses += 1
        return age <= self.life and not (self.every and self.reuses % self.every == 0)


@dataclass(slots=True)
class Found:
    calls: int = 0
    stale: int = 0
    lost: int = 0       # orders that a stale connection ended
    opened: int = 0
    peak: int = 0
    took: list[float] = field(default_factory=list)


Choose = Callable[[Server, float, float, bool], bool]   # server, now, age, careful: whether it may be used


def policies(known: Choice) -> dict[str, Choose]:
    return {
        "one a call": lambda server, now, age, careful: False,
        "today": lambda server, now, age, careful: age < TOLD - MARGIN,
        "learned": lambda server, now, age, careful: age < TOLD - MARGIN and (
            known.may_use(str(server.number), 0, age, careful)),
        "oracle": lambda server, now, age, careful: age < min(server.life, TOLD - MARGIN) and not server.every}


def play(plan: Plan, seed: int, policy: str) -> Found:
    """One day under one policy."""
    random, calls = Random(seed), Random(seed + 1)
    known = Choice(ConnectionsSettings())
    choose, found = policies(known)[policy], Found()
    servers = [Server(n, random.choice(plan.lives), 3 if random.random() < plan.resets_third else 0)
               for n in range(plan.servers)]
    events, order, opened = [], count(), 0
    for server in servers:
        rate, at = plan.rate * random.uniform(0.1, 2.0), 0.0
        while (at := at + random.expovariate(rate)) < plan.seconds:
            events.append((at, next(order), server, random.random() < plan.orders, None))
    heapq.heapify(events)
    while events:
        now, _, server, careful, began = heapq.heappop(events)
        if careful is None:   # a call is over and its connection idle
            server.idle.append(now)
            continue
        if began is None:
            found.calls += 1
        since = began if began is not None else now
        while server.idle and now - server.idle[0] >= TOLD - MARGIN:   # retired
            server.idle.pop(0)
            opened -= 1
        kept = bool(server.idle)
        age = now - server.idle[-1] if kept else FRESH
        if kept and not choose(server, now, age, careful):
            kept = False
            if not careful or policy == "one a call":
                opened -= len(server.idle)
                server.idle.clear()
        if kept:
            server.idle.pop()
            alive = server.alive(age)
            known.used(now, str(server.number), 0, age, alive)
            if not alive:
                found.stale += 1
                opened -= 1
                if careful:
                    found.lost += 1
                else:
                    heapq.heappush(events, (now + TRIP, next(order), server, False, since))
                continue
        else:
            found.opened += 1
            opened += 1
            known.used(now, str(server.number), 0, FRESH, True)
        found.peak = max(found.peak, opened)
        end = now + (0.0 if kept else HANDSHAKE) + TRIP + calls.expovariate(1 / 0.15)
        found.took.append(end - since)
        heapq.heappush(events, (end, next(order), server, None, None))
    return found


def run(plan: Plan, said=lambda text: None) -> dict:
    """All policies over all seeds."""
    plan.check()
    report: dict = {"plan": msgspec.to_builtins(plan)}
    for policy in policies(Choice(ConnectionsSettings())):
        said(policy)
        days = [play(plan, plan.first_seed + n, policy) for n in range(plan.seeds)]
        report[policy] = {
            "calls": statistics.median(d.calls for d in days), "stale": statistics.median(d.stale for d in days),
            "orders lost": statistics.median(d.lost for d in days),
            "opened": statistics.median(d.opened for d in days), "peak": statistics.median(d.peak for d in days),
            **{name: round(statistics.median(float(np.percentile(d.took, q)) for d in days), 4)
               for name, q in (("p50", 50), ("p99", 99), ("p99.9", 99.9))}}
    return report
