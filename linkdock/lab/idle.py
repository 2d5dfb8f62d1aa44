"""The experiment of many idle destinations: memory, cost, latency, and a thousand waking inside one second.

Question: does a sender with N destinations, nearly all idle, cost what the few active ones cost, and does it meet a
waking member with less than it can take? Each figure is compared with a small list, or with a sender that never slept,
in the same run.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import statistics
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import islice
from pathlib import Path
from random import Random
from typing import Annotated

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from .. import interface as i
from ..dormancy import snapshot
from ..dormancy.memory import Facts, LinkFacts, Store
from ..dormancy.sleeper import Sleeper
from ..facade import Server
from ..state.roster import Roster
from . import rig
from .members import Member, Rules
from .virtual import World

MOST_CHANGED = 10_000  # rows of the change that a process is told
NEVER_SLEPT = 3  # seeds that are played without sleep as well

Positive = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """An experiment's file: what is listed, what wakes, and how often it is repeated."""

    destinations: Annotated[int, msgspec.Meta(ge=200, le=1_000_000)] = 50_000
    wake: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1000
    seeds: Positive = 20
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    few: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 200
    active: Positive = 50
    after_s: Seconds = 60.0
    asleep_s: Seconds = 300.0
    rate: Annotated[float, msgspec.Meta(gt=0, le=2000)] = 100.0
    seconds: Seconds = 8.0
    rounds: Positive = 3
    process: bool = True
    jobs: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1

    def check(self) -> None:
        """Raises ValueError that names the key."""
        if self.wake > self.destinations:
            raise ValueError(f"wake must be at most destinations ({self.destinations}), not {self.wake}")


def relay_settings(slots: int = 400) -> i.Settings:
    """The settings of the experiment, with so many calls at once."""
    return i.Settings(
        classes=[
            i.MessageClass(i.Effect.SAFE, 0.8, 6.0, late_share=0.1),
            i.MessageClass(i.Effect.UNSAFE, 4.0, 16.0, worth=2.0),
        ],
        kinds=[i.DestinationKind()],
        slots=slots,
        max_open=20_000,
        max_attempts=8,
        max_retry_after=3.0,
        retry_after=True,
        cancel=True,
        second_copies=True,
        fall_multiple=1.5,
        tip_after=2.0,
        cold_share=0.35,
        cold_time=10.0,
        connect_timeout=1.5,
        idle_close=5.0,
        told_weights=False,
    )


def host(number: int) -> str:
    """The name of the server with this number."""
    return f"s-{number:08x}"


def server(number: int, dial: tuple[str, int] = ("127.0.0.1", 1)) -> Server:
    """The row of the server with this number; its destination has the same number."""
    return Server(host(number), dial, number)


def roster(count: int) -> Roster:
    """A list of `count` servers."""
    listed = Roster()
    for number in range(count):
        listed.put(server(number))
    return listed


def _world(plan: Plan, seed: int, count: int, sleeps: bool, members: dict[int, Member]) -> World:
    settings = relay_settings()
    sleeper = None
    if sleeps:
        listed = roster(count)
        sleeper = Sleeper(lambda: listed, len(settings.classes), plan.after_s, count)
    world = World(settings, seed, sleeper, members, lambda h: int(h[2:], 16))
    entries = [] if sleeps else [i.HostEntry(host(n), n) for n in range(count)]
    world.tell(i.Hosts(i.ListKind.FULL, entries, 1))
    return world


# --- Waking.


def waking(plan: Plan, seed: int, sleeps: bool = True) -> dict:
    """A thousand wake in one second; half were failing and come back cold, some have shrunk."""
    random = Random(seed)
    numbers = random.sample(range(plan.destinations), plan.wake + plan.active)
    woken, active = numbers[: plan.wake], numbers[plan.wake :]
    failing, shrunk = set(woken[: plan.wake // 2]), set(woken[plan.wake // 2 : plan.wake * 6 // 10])
    members = {n: Member(n, Rules(), Random(seed * 1_000_003 + n)) for n in numbers}
    for n in failing:
        members[n].rate = random.uniform(2.0, 20.0)
        members[n].answers_when_down = random.random() < 0.5
    for n in (*shrunk, *active):
        members[n].rate = 40.0
    world = _world(plan, seed, plan.destinations, sleeps, members)
    wakes = 30.0 + plan.after_s + plan.asleep_s

    def kind(n: int) -> str:
        return "cold" if n in failing else "shrunk" if n in shrunk else "healthy"

    for n in woken:
        for _ in range(6):
            world.ask(random.uniform(0.1, 8.0), n, 0, "before")
        if n in failing:
            world.at(10.0, members[n].fall)
            for _ in range(4):
                world.ask(random.uniform(10.1, 18.0), n, 0, "while failing")
            world.at(wakes - random.uniform(0.0, 3.0), lambda n=n: members[n].come_back(world.now))
        if n in shrunk:
            world.at(wakes - 1.0, lambda n=n: setattr(members[n], "rate", 3.0))
        for _ in range(3):
            world.ask(wakes + random.random(), n, int(random.random() < 0.5), kind(n))
        for second in range(1, 9):
            if random.random() < 0.5:
                world.ask(wakes + second + random.random(), n, int(random.random() < 0.5), kind(n))
    for n in active:
        at = 0.5
        while at < wakes + 12:
            at += random.expovariate(0.1)
            world.ask(at, n, 0, "background")
    began = time.perf_counter()
    world.run(wakes - 0.5)
    asleep = len(world.relay.dests)
    world.cpu.clear()
    world.run(wakes + 25.0)
    return {
        "seed": seed,
        "awake before": asleep,
        "toppled": sum(m.toppled for m in members.values()),
        "most over": round(max(m.most_over for m in members.values()), 3),
        "over by shrunk": round(max((_over(members[n]) for n in shrunk), default=0.0), 3),
        "served": {k: round(t.share(), 4) for k, t in sorted(world.tallies.items())},
        "p95 wait": {
            k: round(float(np.percentile(t.waits, 95)), 3) for k, t in sorted(world.tallies.items()) if t.waits
        },
        "longest pass ms": round(1000 * max(world.cpu), 2),
        "took s": round(time.perf_counter() - began, 2),
    }


def _over(member: Member) -> float:
    return member.calls and (member.calls - member.served) / member.calls


# --- What is kept.


def _resident() -> int:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def keeping(count: int) -> dict:
    """So many that have been awake once: bytes of each beside its row, and the slices of a snapshot of them."""
    store, before = Store(2, count), _resident()
    for n in range(count):
        facts = LinkFacts(n % 3 == 0, 0.0, 1.0, 40.0, 1.0, 0.05, 0.0, [(0.1, 0.0, 0.3), (0.2, 0.01, 0.5)])
        store.keep(n, Facts(float(n), 3.0, 0.0, {host(n): facts}))
    grown, longest, size, at = _resident() - before, 0.0, 0, time.perf_counter()
    for piece in snapshot.write(store.items(), 1, 2, 1.0, 1e9):
        longest, size = max(longest, time.perf_counter() - at), size + len(piece)
        at = time.perf_counter()
    return {
        "bytes": round(grown / count, 1),
        "snapshot bytes": round(size / count, 1),
        "longest slice ms": round(1000 * longest, 2),
    }


# --- Cost of a pass.


def pass_cost(plan: Plan, count: int, seed: int) -> dict:
    """The same traffic to the same active members with so many listed."""
    random = Random(seed)
    active = list(range(min(plan.few, 100)))
    members = {n: Member(n, Rules(), Random(n)) for n in active}
    world = _world(plan, seed, count, True, members)
    arrivals = np.cumsum(np.random.default_rng(seed).exponential(1 / plan.rate, int(plan.rate * 20)))
    for at in arrivals:
        world.ask(float(at) + 0.1, random.choice(active), 0, "all")
    world.run(25.0)
    return {
        "mean ms": 1000 * world.pass_time / world.passes,
        "longest ms": 1000 * world.longest_pass,
        "served": world.tallies["all"].share(),
    }


# --- A real process.


def rows(count: int, dial: str) -> Iterator[dict]:
    """The rows of a list of `count` servers as discovery sends them."""
    for n in range(count):
        yield {
            "host": host(n),
            "dial": dial,
            "site": "a",
            "class": "single",
            "block": n,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }


async def process(plan: Plan, count: int, seed: int) -> dict:
    """One sender with so many listed: its memory, its CPU without traffic, and the way of a message through it."""
    active = list(range(min(plan.few, 100)))
    agent, stand_ins = rig.Agent(), rig.Members({n: Member(n, Rules(), Random(n), service=0.02) for n in active})
    await agent.start()
    await stand_ins.start()
    agent.list(lambda: rows(count, stand_ins.dial))
    sender = rig.Sender(
        agent,
        {"dormancy": {"on": True, "after_s": plan.after_s}},
        {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        rig.settings(64, 2000),
    )
    try:
        await sender.start()
        client = rig.Client(sender.port)
        began = time.monotonic()
        while not (await client.enqueue(f"{0:08x}{0:08x}", "preview", 6.0, count - 1)).startswith("+"):
            if time.monotonic() - began > rig.PATIENCE:
                raise RuntimeError(f"{count} destinations were never served: {sender.text()[-1000:]}")
            await asyncio.sleep(0.02)
        listed = time.monotonic() - began
        await asyncio.sleep(1.0)
        cpu, at = sender.cpu(), time.monotonic()
        await asyncio.sleep(3.0)
        idle_cpu = (sender.cpu() - cpu) / (time.monotonic() - at)
        memory = sender.memory()
        way = HdrHistogram(1, 60_000_000, 3)
        asked, heard = {}, {}
        laws = np.random.default_rng(seed)
        gaps = laws.exponential(1 / plan.rate, int(plan.rate * plan.seconds))
        targets = laws.integers(0, len(active), len(gaps))

        async def one(n: int, destination: int) -> None:
            name = f"{destination:08x}{n + 1:08x}"
            asked[name] = time.monotonic()
            heard[name] = await client.enqueue(name, "preview", 6.0, destination)

        tasks, due = [], time.monotonic()
        for n, gap in enumerate(gaps):
            due += gap
            if (rest := due - time.monotonic()) > 0:
                await asyncio.sleep(rest)
            tasks.append(asyncio.get_running_loop().create_task(one(n, int(targets[n]))))
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        for name, when in asked.items():
            if name in stand_ins.arrived:
                way.record_value(max(1, int(1e6 * (stand_ins.arrived[name] - when))))
        # A change of many rows in one line, and a message behind it.
        agent.change([{**row, "born_ms": 1} for row in islice(rows(count, stand_ins.dial), MOST_CHANGED)])
        await client.enqueue(f"{0:08x}{len(gaps) + 1:08x}", "preview", 6.0, 0)
        await asyncio.sleep(1.0)
        client.close()
        await sender.stop()
        hold = [line for line in sender.text().splitlines() if "longest hold" in line]
        return {
            "destinations": count,
            "listed s": round(listed, 2),
            "memory mb": round(memory / 1e6, 1),
            "idle cpu": round(idle_cpu, 4),
            "asked": len(asked),
            "taken": sum(h.startswith("+") for h in heard.values()),
            "arrived": way.get_total_count(),
            "p50 ms": way.get_value_at_percentile(50) / 1000,
            "p99 ms": way.get_value_at_percentile(99) / 1000,
            "longest hold": hold[-1].rsplit("hold of the loop: ", 1)[-1] if hold else "?",
        }
    finally:
        rig.strike(sender, agent, stand_ins)


def _middle(values: list[float]) -> dict:
    return {
        "median": round(statistics.median(values), 4),
        "least": round(min(values), 4),
        "most": round(max(values), 4),
    }


def run(plan: Plan, said=lambda text: None) -> dict:
    """The whole experiment."""
    plan.check()
    report: dict = {"plan": msgspec.to_builtins(plan)}
    costs: dict[int, list[float]] = {plan.few: [], plan.destinations: []}
    for n in range(plan.rounds):
        for count in costs:
            said(f"cost of a pass with {count}")
            costs[count].append(pass_cost(plan, count, n + 1)["mean ms"])
    report["pass ms"] = {str(count): _middle(values) for count, values in costs.items()}
    report["pass ratio"] = round(statistics.median(costs[plan.destinations]) / statistics.median(costs[plan.few]), 3)
    seeds = range(plan.first_seed, plan.first_seed + plan.seeds)
    said(f"waking, {plan.seeds} seeds in {plan.jobs} processes")
    with ProcessPoolExecutor(plan.jobs) as jobs:
        later = [jobs.submit(waking, plan, seed, False) for seed in seeds[:NEVER_SLEPT]]
        slept = list(jobs.map(waking, [plan] * plan.seeds, seeds))
        never = [one.result() for one in later]
    report["waking"] = {
        "seeds": plan.seeds,
        "toppled": sum(w["toppled"] for w in slept),
        "most over": max(w["most over"] for w in slept),
        "served": {k: _middle([w["served"][k] for w in slept]) for k in slept[0]["served"]},
        "served by one that never slept": {k: _middle([w["served"][k] for w in never]) for k in never[0]["served"]},
        "toppled by one that never slept": [w["toppled"] for w in never],
        "longest pass ms": _middle([w["longest pass ms"] for w in slept]),
    }
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as jobs:
        report["kept"] = jobs.submit(keeping, plan.destinations).result()
    if plan.process:
        runs: dict[int, list[dict]] = {100: [], plan.destinations: []}
        for n in range(plan.rounds):
            for count in runs:
                said(f"a process with {count}")
                runs[count].append(asyncio.run(process(plan, count, n + 1)))
        few, many = runs[100], runs[plan.destinations]

        def middle(which: list[dict], key: str) -> float:
            return statistics.median(r[key] for r in which)

        extra = middle(many, "memory mb") - middle(few, "memory mb")
        report["process"] = {
            "memory mb": {str(c): _middle([r["memory mb"] for r in rs]) for c, rs in runs.items()},
            "bytes a destination": round(1e6 * extra / (plan.destinations - 100), 1),
            "idle cpu": {str(c): _middle([r["idle cpu"] for r in rs]) for c, rs in runs.items()},
            "p50 ms": {str(c): _middle([r["p50 ms"] for r in rs]) for c, rs in runs.items()},
            "p99 ms": {str(c): _middle([r["p99 ms"] for r in rs]) for c, rs in runs.items()},
            "listed s": _middle([r["listed s"] for r in many]),
            "runs": few + many,
        }
    return report
