"""The experiment of a fleet: what two hundred senders that see little traffic each do to one member together.

Question: does a member that all saw fail get less than it can take when it comes back cold, does one that halves its
limit get its due, and does a restart of most senders with messages held change that? Every sender is the decisions
alone, on one clock; members keep the account that the fail-back rule asks for.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import Annotated

import msgspec

from .. import interface as i
from .members import Member, Rules
from .virtual import World

WARM_UP = 8.0  # seconds before anything happens
AFTER = 14.0  # seconds that are watched from then on
SLICE = 0.005  # seconds in which the senders run in turn
STORIES = ("return", "halved", "herd")
RETURNS = ("return", "herd")  # the stories in which members come back cold
COLD_SHARE = 0.35  # of its limit that a member takes when it has just come back
ROOM_SPREAD = 0.7  # limits are spread over so much of the traffic
MOST_EACH = 20.0  # messages a second that one sender's slots serve

Positive = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(gt=0, lt=1)]
Sizes = tuple[Annotated[int, msgspec.Meta(ge=2, le=1000)], ...]


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """An experiment's file: the fleet, its traffic, and how often it is repeated."""

    senders: Annotated[int, msgspec.Meta(ge=2, le=1000)] = 200
    members: Annotated[int, msgspec.Meta(ge=2, le=1000)] = 16
    rate: Annotated[float, msgspec.Meta(gt=0, le=5000)] = 320.0  # messages a second, over all
    part: Share = 0.4  # of the members that fall
    killed: Share = 0.7  # of the senders that end at once, in the story `herd`
    room: Annotated[float, msgspec.Meta(gt=0, le=10)] = 1.3  # limit over traffic of a member, at the least
    cold_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = COLD_SHARE  # of its limit, when it has just come back
    down_s: Annotated[float, msgspec.Meta(gt=0, le=60)] = 5.0
    seeds: Positive = 20
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    jobs: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    sizes: Sizes = ()  # fleets whose cold returns alone are played, in place of the stories

    def check(self) -> None:
        """Raises ValueError that names the key."""
        if self.members * self.part < 1:
            raise ValueError(f"part must leave a member to fall, not {self.part:g} of {self.members}")

    def of_size(self, senders: int) -> Plan:
        """The same for so many senders, with no more traffic than they can carry."""
        return msgspec.structs.replace(self, senders=senders, rate=min(self.rate, MOST_EACH * senders), sizes=())


def settings_of(senders: int, me: int, cold_share: float = COLD_SHARE) -> i.Settings:
    """As the platform tells them: no weights, waits and reports by the members."""
    return i.Settings(
        classes=[
            i.MessageClass(i.Effect.SAFE, 0.8, 6.0, late_share=0.1),
            i.MessageClass(i.Effect.UNSAFE, 4.0, 16.0, worth=2.0, late_share=0.3),
        ],
        kinds=[i.DestinationKind()],
        slots=6,
        max_open=60,
        max_attempts=12,
        relays=senders,
        me=me,
        max_retry_after=3.0,
        retry_after=True,
        cancel=True,
        second_copies=True,
        fall_multiple=1.5,
        tip_after=2.0,
        cold_share=cold_share,
        cold_time=10.0,
        connect_timeout=1.5,
        idle_close=5.0,
        told_weights=False,
    )


class Fleet:
    """The senders, their members and one clock."""

    def __init__(self, plan: Plan, seed: int) -> None:
        """Draw the members and their load from `seed`."""
        self.plan, self.random = plan, Random(seed)
        load = plan.rate / plan.members
        rules, most_room = Rules(cold_share=plan.cold_share), plan.room + ROOM_SPREAD
        self.members = {
            n: Member(n, rules, Random(seed * 1_000_003 + n), rate=load * self.random.uniform(plan.room, most_room))
            for n in range(plan.members)
        }
        self.listed = i.Hosts(i.ListKind.FULL, [i.HostEntry(f"s-{n}", n) for n in self.members], 1)
        self.worlds = [
            World(
                settings_of(plan.senders, me, plan.cold_share),
                seed * 7919 + me,
                None,
                self.members,
                lambda h: int(h[2:]),
            )
            for me in range(plan.senders)
        ]
        weights = [self.random.expovariate(1.0) + 0.05 for _ in self.worlds]  # some see several times the mean
        at, until = 0.1, WARM_UP + plan.down_s + AFTER - 4.0
        for world in self.worlds:
            world.tell(self.listed)
        while (at := at + self.random.expovariate(plan.rate)) < until:
            world = self.random.choices(self.worlds, weights)[0]
            world.ask(at, self.random.randrange(plan.members), int(self.random.random() < 0.5), "all")

    def run(self, until: float, happens: list[tuple[float, Callable[[], None]]]) -> None:
        """Play until `until`; each function of `happens` is called at its time."""
        watched(self.worlds, self.random, until, happens)


def watched(worlds: list[World], random: Random, until: float, happens: list[tuple[float, Callable[[], None]]]) -> None:
    """Slice by slice, each sender in turn, in another order each time. What happens may add to what will."""
    at, turn = 0.0, list(worlds)
    while at < until:
        at += SLICE
        for one in sorted((one for one in happens if one[0] <= at), key=lambda one: one[0]):
            happens.remove(one)
            one[1]()
        random.shuffle(turn)
        for world in turn:
            world.run(at)


def story(plan: Plan, seed: int, name: str) -> dict:
    """One schedule of one story, and what the members had of it."""
    began, fleet = time.perf_counter(), Fleet(plan, seed)
    members, random = fleet.members, fleet.random
    troubled = [members[n] for n in random.sample(sorted(members), max(1, int(plan.part * plan.members)))]
    back, happens = WARM_UP + plan.down_s, []
    before: dict[int, tuple[int, int]] = {}
    for member in troubled:
        if name == "halved":
            happens.append((WARM_UP, lambda m=member: setattr(m, "rate", m.rate / 2)))
            # From then on its senders have had a while to learn it.
            happens.append((WARM_UP + 4.0, lambda m=member: before.update({m.number: (m.calls, m.served)})))
        else:
            member.answers_when_down = random.random() < 0.5
            happens += [(WARM_UP, member.fall), (back, lambda m=member: m.come_back(back))]
    if name == "herd":

        def killed() -> None:
            for world in random.sample(fleet.worlds, int(plan.killed * plan.senders)):
                world.restart(random.randrange(1 << 30), fleet.listed)

        happens.append((back - 0.5, killed))  # with all that was held while the members were down
    fleet.run(back + AFTER, happens)
    tallies = [world.tallies["all"] for world in fleet.worlds if "all" in world.tallies]
    asked = sum(t.asked for t in tallies)
    report = {
        "seed": seed,
        **cold_account(troubled),
        "served": round(sum(t.served for t in tallies) / asked, 4),
        "failed": round(sum(t.failed for t in tallies) / asked, 4),
        "took s": round(time.perf_counter() - began, 1),
    }
    if name == "halved":
        calls = sum(m.calls - before[m.number][0] for m in troubled)
        served = sum(m.served - before[m.number][1] for m in troubled)
        report["refused later"] = round(1 - served / max(calls, 1), 4)
    return report


def cold_account(troubled: list[Member]) -> dict[str, float]:
    """What the members that fell had on their cold return, from all senders together and from those that knew."""
    return {
        "toppled": sum(m.toppled for m in troubled),
        "rule broken": sum(m.broken for m in troubled),
        "most of the rule": round(max(m.most_over for m in troubled), 3),
        "most of its bound": round(max(m.most_bound for m in troubled), 3),
        "most by those told": round(max(m.most_told for m in troubled), 3),
    }


def spread(runs: list[dict]) -> dict:
    """Of each figure of the runs the least, the median and the most."""
    report = {}
    for key in runs[0]:
        values = [one[key] for one in runs if one[key] is not None]
        if key not in ("seed", "took s") and values:
            report[key] = {"least": min(values), "median": statistics.median(values), "most": max(values)}
    return report


def played(
    plan: msgspec.Struct, stories: Iterable[str], story: Callable[..., dict], said: Callable[[str], None]
) -> Iterator[tuple[str, list[dict]]]:
    """Each story over all seeds of the plan, in as many processes as it says."""
    seeds = range(plan.first_seed, plan.first_seed + plan.seeds)
    with ProcessPoolExecutor(plan.jobs) as jobs:
        for name in stories:
            said(f"{name}, {plan.seeds} seeds")
            yield name, list(jobs.map(story, [plan] * plan.seeds, seeds, [name] * plan.seeds))


def by_size(
    plan: msgspec.Struct, stories: Iterable[str], story: Callable[..., dict], said: Callable[[str], None]
) -> dict[str, dict]:
    """Of each size of fleet in the plan and each story with cold returns: its figures, spread over the seeds."""
    report = {}
    for senders in plan.sizes:
        said(f"{senders} senders")
        stories_played = played(plan.of_size(senders), stories, story, said)
        report[f"{senders} senders"] = {name: spread(runs) for name, runs in stories_played}
    return report


def run(plan: Plan, said: Callable[[str], None] = lambda text: None) -> dict:
    """The whole experiment: every story over all seeds; medians with their spread."""
    plan.check()
    report = {"plan": msgspec.to_builtins(plan)}
    if plan.sizes:
        return report | by_size(plan, RETURNS, story, said)
    for name, runs in played(plan, STORIES, story, said):
        report[name] = spread(runs)
        report[name]["seeds that broke the rule"] = [one["seed"] for one in runs if one["rule broken"]]
    return report
