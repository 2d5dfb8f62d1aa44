"""The grown fleet: what forty senders do together to few destinations with limits, scarce connections and a dear list.

Question: what does a sender do that is harmless alone and harmful when all do it, and how late does it learn of a
change? Three stories: most senders are killed at once in a release while discovery turns callers away; destinations
with half of the traffic are down for 5 s and return cold; destinations halve their limits for 9 s. Every story is told
over the whole fleet, by second and by destination.
"""

from __future__ import annotations

import statistics
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from math import ceil
from random import Random
from typing import Annotated, Literal

import msgspec

from .. import interface as i
from ..state.watch_schedule import AGENT_INTERVAL, WatchSchedule
from .fleet import Positive, Sizes, by_size, cold_account, played, settings_of, spread, watched
from .members import Member, Rules
from .registry import Registry
from .virtual import Lines, World

WARM_UP = 8.0  # seconds before anything happens
AFTER = 16.0  # seconds that are watched from then on
RELEASE = 9.0  # seconds in which endpoints are replaced,
KILL = 3.0  # and how far into them the senders die
DEAD = 0.6  # seconds until a killed one is there again
DOWN = 5.0  # seconds of the outage
LOWERED = 9.0  # seconds of the lower limits
KEPT = 1.1  # of a lowered limit, within which calls count as keeping to it
ANSWER = 0.14  # seconds until an ask that is turned away hears so
DRAIN_GRACE = 2.0  # seconds for which a server that drains may still be sent to
ROOMY, BUSY = 2.2, 0.35  # slots over those in use, and the seconds that a call keeps one
HELD = 8.0  # seconds of traffic that a sender may hold
STORIES = ("release", "zone", "lowered")
RETURNS = ("zone",)  # the story in which destinations come back cold
TABLES = ("by second", "by destination", "calls by sender")
COUNTS = ("sent", "resent", "refused", "failed", "handshakes")


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """An experiment's file: the fleet, its destinations, and how often it is repeated."""

    senders: Annotated[int, msgspec.Meta(ge=2, le=1000)] = 40
    destinations: Annotated[int, msgspec.Meta(ge=2, le=100)] = 8
    endpoints: Annotated[int, msgspec.Meta(ge=2, le=1000)] = 60
    rate: Annotated[float, msgspec.Meta(gt=0, le=5000)] = 240.0  # messages a second, over all
    room: Annotated[float, msgspec.Meta(gt=0, le=10)] = 1.3  # limit over traffic of a destination, in the mean
    places: Annotated[float, msgspec.Meta(ge=0)] = 2.0  # connections a destination accepts, by its limit
    asks: Annotated[float, msgspec.Meta(gt=0)] = 12.0  # asks a second that discovery serves
    killed: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.7
    replaced: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.9  # of the endpoints, in the release
    asking: Literal["spread", "even"] = "spread"  # `even`: each 0.2 s, as before the fleet grew
    seeds: Positive = 20
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    jobs: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    sizes: Sizes = ()  # fleets whose cold returns alone are played

    def check(self) -> None:
        """Raises ValueError that names the key."""
        if self.endpoints < self.destinations:
            raise ValueError(f"endpoints must be at least {self.destinations}, one a destination, not {self.endpoints}")

    def of_size(self, senders: int) -> Plan:
        """The same for so many senders; a sender's slots follow from its part of the traffic."""
        return msgspec.structs.replace(self, senders=senders, sizes=())


class Grown:
    """The senders, their destinations, discovery and one clock; and the counts over all of them."""

    def __init__(self, plan: Plan, seed: int) -> None:
        """Draw the members, their limits and their load from `seed`."""
        self.plan, self.random = plan, Random(seed)
        draw = self.random
        shares = [1 / (n + 1) ** 0.8 for n in range(plan.destinations)]
        shares = [share / sum(shares) for share in shares]
        self.members: dict[int, Member] = {}
        for n, share in enumerate(shares):
            limit = max(3.0, plan.rate * share * plan.room * draw.uniform(0.75, 1.25))
            self.members[n] = Member(
                n,
                Rules(),
                Random(seed * 1_000_003 + n),
                rate=limit,
                service=0.2,
                span=draw.choice([0.0, 1.0, 2.0]),
                refused_count=True,
                places=int(max(plan.senders / 2, plan.places * limit)) if plan.places else 0,
            )
        hosts = [f"{k % plan.destinations}-{k}" for k in range(plan.endpoints)]
        self.registry = Registry([i.HostEntry(h, int(h.split("-")[0])) for h in hosts], plan.asks, draw)
        self.counts: Counter[tuple[int, int, str]] = Counter()  # by second, destination and what
        self.calls = [0] * plan.senders
        self.suspected: dict[tuple[int, int], float] = {}  # sender and destination: first held to be out
        self.known_at: dict[int, float] = {}  # when a sender had the whole of the list again
        self.worlds = [self._sender(me, seed) for me in range(plan.senders)]
        self.schedules = [self._schedule(me, seed) for me in range(plan.senders)]
        self._lives = [0] * plan.senders
        self._versions = [0] * plan.senders
        weights = [draw.expovariate(1.0) + 0.05 for _ in self.worlds]  # some see several times the mean
        at, until = 0.1, WARM_UP + AFTER - 4.0
        while (at := at + draw.expovariate(plan.rate)) < until:
            world = draw.choices(self.worlds, weights)[0]
            world.ask(at, draw.choices(range(plan.destinations), shares)[0], int(draw.random() < 0.5), "all")
        for me in range(plan.senders):
            self._watch(me, self.schedules[me].first_delay() if plan.asking == "spread" else 0.0)

    def _schedule(self, me: int, seed: int) -> WatchSchedule:
        return WatchSchedule(True, self.plan.senders, 10.0, seed * 104_729 + me, grace=DRAIN_GRACE)

    def _sender(self, me: int, seed: int) -> World:
        # Slots and room as the platform gives them: by what a sender's share of the traffic keeps busy.
        share, usual = self.plan.rate / self.plan.senders, settings_of(self.plan.senders, me)
        told = replace(
            usual, slots=max(usual.slots, ceil(ROOMY * share * BUSY)), max_open=max(usual.max_open, int(share * HELD))
        )
        world = World(told, seed * 7919 + me, None, self.members, lambda h: int(h.split("-")[0]))
        world.lines, world.alive = Lines(told.idle_close - 0.75), self.registry.alive
        world.count, world.marked = partial(self._count, me), partial(self._marked, me)
        world.tell(i.Hosts(i.ListKind.FULL, list(self.registry.listed.values()), 0))
        return world

    def _count(self, me: int, now: float, destination: int, what: str) -> None:
        self.counts[int(now), destination, what] += 1
        self.calls[me] += what in ("sent", "resent")

    def _marked(self, me: int, now: float, line: i.Log) -> None:
        if line.state == "suspect":
            self.suspected.setdefault((me, int(line.host.split("-")[0])), now)

    # --- The list.

    def _watch(self, me: int, after: float) -> None:
        """The watch of one life: an ask, and another after each that was turned away."""
        world, life = self.worlds[me], self._lives[me]

        def ask() -> None:
            if life != self._lives[me]:
                return  # that process has died
            if self.registry.ask(world.now, me, partial(self._take, me)):
                return
            pause = self.schedules[me].next_delay(served=False) if self.plan.asking == "spread" else AGENT_INTERVAL
            world.at(world.now + ANSWER + pause, ask)

        world.at(world.now + after, ask)

    def _take(self, me: int, changes: list[i.HostEntry], upto: int) -> None:
        world, known = self.worlds[me], self._versions[me]
        if upto > known:
            self._versions[me] = upto
            world.tell(i.Hosts(i.ListKind.DELTA, changes[known:upto], upto))
        if upto == self.registry.version:
            self.known_at.setdefault(me, world.now)

    def replace(self, host: str) -> None:
        """One endpoint is replaced; watchers hear of it with the next tell."""
        self.registry.replace(host, f"{host.split('-')[0]}-new{self.registry.version}")

    def kill(self, some: list[int], seed: int, back: list[tuple[float, Callable[[], None]]], now: float) -> None:
        """They die with all their connections; each comes back with the list that it had, and with what it held."""
        for me in some:
            self._lives[me] += 1
            self.registry.lose(me)
            self.known_at.pop(me, None)
            back.append((now + DEAD, partial(self._return, me, seed)))

    def _return(self, me: int, seed: int) -> None:
        world, known = self.worlds[me], {}
        for entry in world.relay.links.values():
            if entry.ready:
                known[entry.host] = entry.entry
        world.restart(seed * 31 + me, i.Hosts(i.ListKind.CACHED, list(known.values()), self._versions[me]))
        self.schedules[me] = self._schedule(me, seed + 17)
        self._watch(me, self.schedules[me].first_delay() if self.plan.asking == "spread" else 0.0)

    # --- The clock.

    def run(self, until: float, happens: list[tuple[float, Callable[[], None]]]) -> None:
        """Play until `until`; each function of `happens` is called at its time."""
        watched(self.worlds, self.random, until, happens)


def _release(fleet: Grown, seed: int, happens: list) -> dict:
    plan, random = fleet.plan, fleet.random
    hosts = random.sample(sorted(fleet.registry.listed), int(plan.replaced * plan.endpoints))
    for host in hosts:
        happens.append((WARM_UP + random.uniform(0, RELEASE), partial(fleet.replace, host)))
    for n in range(int(RELEASE + 4)):
        happens.append((WARM_UP + 1 + n, lambda: fleet.registry.tell(fleet.registry.version)))
    some = random.sample(range(plan.senders), int(plan.killed * plan.senders))
    at = WARM_UP + KILL
    happens.append((at, lambda: fleet.kill(some, seed, happens, at)))
    fleet.run(WARM_UP + AFTER, happens)
    late = [fleet.known_at.get(me, WARM_UP + AFTER) - at - DEAD for me in some]
    return {
        "asks": fleet.registry.asks,
        "asks turned away": fleet.registry.turned_away,
        "never had the list again": sum(me not in fleet.known_at for me in some),
        "s until a killed sender had the list": round(statistics.median(late), 2),
    }


def _zone(fleet: Grown, seed: int, happens: list) -> dict:
    half, troubled = 0.0, []
    for member in fleet.members.values():  # the largest come first
        if half < 0.5 * sum(m.rate for m in fleet.members.values()):
            troubled.append(member)
            half += member.rate
    back = WARM_UP + DOWN
    for member in troubled:
        member.answers_when_down = fleet.random.random() < 0.5
        happens += [(WARM_UP, member.fall), (back, partial(member.come_back, back))]
    fleet.run(WARM_UP + AFTER, happens)
    acted = [
        at - WARM_UP for (_, n), at in fleet.suspected.items() if WARM_UP <= at < back and fleet.members[n] in troubled
    ]
    return {
        **cold_account(troubled),
        "s until a sender stopped it": round(statistics.median(acted), 2) if acted else None,
    }


def _lowered(fleet: Grown, seed: int, happens: list) -> dict:
    some = fleet.random.sample(sorted(fleet.members), max(1, len(fleet.members) // 2))
    for n in some:
        member, rate = fleet.members[n], fleet.members[n].rate
        happens += [
            (WARM_UP, partial(setattr, member, "rate", rate / 2)),
            (WARM_UP + LOWERED, partial(setattr, member, "rate", rate)),
        ]
    limits = {n: fleet.members[n].rate / 2 for n in some}
    fleet.run(WARM_UP + AFTER, happens)
    first, last = int(WARM_UP), int(WARM_UP + LOWERED)
    keeps = []
    for n, limit in limits.items():
        # By two seconds, for a limit may count in spans of as many; the last pair beyond the limit ends the learning.
        over = [
            s
            for s in range(first, last - 1)
            if sum(fleet.counts[t, n, w] for t in (s, s + 1) for w in ("sent", "resent")) > 2 * KEPT * limit + 1
        ]
        keeps.append(over[-1] + 2 - first if over else 0)
    calls = sum(fleet.counts[s, n, w] for s in range(first, last) for n in some for w in ("sent", "resent"))
    refused = sum(fleet.counts[s, n, "refused"] for s in range(first, last) for n in some)
    return {
        "s until the fleet kept to it": statistics.median(keeps),
        "refused while lowered": round(refused / max(1, calls), 4),
    }


def story(plan: Plan, seed: int, name: str, tables: bool = False) -> dict:
    """One schedule of one story. With `tables` also the counts by second and by destination."""
    began, fleet = time.perf_counter(), Grown(plan, seed)
    told = {"release": _release, "zone": _zone, "lowered": _lowered}[name](fleet, seed, [])
    tallies = [world.tallies["all"] for world in fleet.worlds if "all" in world.tallies]
    asked = sum(t.asked for t in tallies)
    aim = settings_of(plan.senders, 0).classes[0].aim
    waits = [wait for t in tallies for wait in t.waits]
    totals = Counter({what: 0 for what in COUNTS})
    for (_, _, what), count in fleet.counts.items():
        totals[what] += count
    mean = sum(fleet.calls) / plan.senders
    report = {
        "seed": seed,
        "served": round(sum(t.served for t in tallies) / asked, 4),
        "served in the aim of a preview": round(sum(wait <= aim for wait in waits) / asked, 4),
        "failed messages": round(sum(t.failed for t in tallies) / asked, 4),
        **{what: totals[what] for what in COUNTS},
        "busiest sender, in means": round(max(fleet.calls) / max(mean, 1.0), 2),
        **told,
        "took s": round(time.perf_counter() - began, 1),
    }
    if tables:
        last = int(WARM_UP + AFTER)
        report["by second"] = {
            w: [sum(fleet.counts[s, n, w] for n in fleet.members) for s in range(last)] for w in COUNTS
        }
        report["by destination"] = {
            w: [sum(fleet.counts[s, n, w] for s in range(last)) for n in fleet.members] for w in COUNTS
        }
        report["calls by sender"] = fleet.calls
    return report


def run(plan: Plan, said: Callable[[str], None] = lambda text: None) -> dict:
    """The whole experiment: every story over all seeds, medians with their spread, and the first seed's tables."""
    plan.check()
    report = {"plan": msgspec.to_builtins(plan)}
    if plan.sizes:
        return report | by_size(plan, RETURNS, story, said)
    for name, runs in played(plan, STORIES, story, said):
        report[name] = spread(runs)
        tables = story(plan, plan.first_seed, name, tables=True)
        report[name]["first seed"] = {key: tables[key] for key in TABLES}
    return report
