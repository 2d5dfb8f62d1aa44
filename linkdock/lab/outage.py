"""A member shuts, its messages end undeliverable and are kept; it returns cold, and they are sent again amid kills.

Question: does every order take effect exactly once or is listed in doubt, and does live traffic of the others notice? A
real sender with its store; the messages that it cannot deliver are asked for by two operators at once, and it is killed
at random points while it sends them.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable
from random import Random
from typing import Annotated

import msgspec

from ..undeliverable.facts import ASKED, CLAIMED, in_doubt
from ..undeliverable.store import Filter, Store
from .idle import Positive
from .members import Member, Rules
from .rig import Agent, Client, Members, RefusingAddress, Sender, settings, strike

SHUT = 0  # the member that is shut
MEMBERS, END_S = 4, 40.0
DEADLINE_S = 1.0  # of messages while it is shut, so that they end soon


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Seconds of the outage, messages a second to each member, what one can do, and how often the sender is killed."""

    outage_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 5.0
    rate: Annotated[float, msgspec.Meta(gt=0, le=500)] = 15.0
    capacity: Annotated[float, msgspec.Meta(gt=0)] = 40.0
    resets: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.02
    cold_s: Annotated[float, msgspec.Meta(ge=0)] = 6.0
    kills: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 3
    seeds: Positive = 5
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1

    def check(self) -> None:
        """Nothing to check: every plan can be run."""


async def day(plan: Plan, seed: int) -> dict:
    """One outage and what came after it."""
    luck, agent = Random(seed), Agent()
    rules = Rules(cold_time=plan.cold_s)
    members = Members(
        {
            n: Member(n, rules, Random(seed * 100 + n), rate=plan.capacity, service=0.03, resets=plan.resets)
            for n in range(MEMBERS)
        }
    )
    await agent.start()
    await members.start()
    refusing = RefusingAddress()

    def row(n: int, dial: str) -> dict:
        return {
            "host": f"m{n}",
            "dial": dial,
            "site": "a",
            "class": "single",
            "block": n,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }

    agent.list(lambda: (row(n, refusing.dial if n == SHUT and shut else members.dial) for n in range(MEMBERS)))
    shut = True
    sender = Sender(
        agent, {"undeliverable": {"on": True}}, {"memory_mb": 96, "sockets": 512, "disk_mb": 3}, settings(32, 400)
    )
    path, heard = sender.path / "state" / "undeliverable.db", {}
    try:
        await sender.start()
        number = 0

        async def ask(n: int, member: int, seconds: float) -> None:
            cls, client = luck.choice(["preview", "order"]), Client(sender.port)
            name = f"{member:08x}{n:08x}"
            heard[name] = cls, await client.enqueue(name, cls, seconds, member)
            client.close()

        async def traffic(seconds: float, to: list[int], time_left: float) -> list[str]:
            nonlocal number
            first, tasks, until = number, [], time.monotonic() + seconds
            while time.monotonic() < until:
                number += 1
                tasks.append(asyncio.create_task(ask(number, to[number % len(to)], time_left)))
                await asyncio.sleep(luck.expovariate(plan.rate * len(to)))
            await asyncio.gather(*tasks)
            return [name for name in heard if first < int(name[8:], 16) <= number]

        await traffic(plan.outage_s, list(range(MEMBERS)), DEADLINE_S)
        await asyncio.sleep(DEADLINE_S + 1.0)
        shut = False
        members.members[SHUT].come_back(time.monotonic())
        agent.change([row(SHUT, members.dial)])
        with Store(path, write=True) as one, Store(path, write=True) as two:
            found = [m for m, _ in one.find(Filter())]
            in_line = (
                one.ask("batch", "first", found)[0]
                + two.ask("batch", "second", found)[0]
                + two.ask("other", "second", found)[0]
            )
        live = asyncio.create_task(traffic(4.0, list(range(1, MEMBERS)), 6.0))
        for _ in range(plan.kills):
            await asyncio.sleep(luck.uniform(0.1, 1.5))
            sender.process.kill()
            await sender.process.wait()
            await sender.start(sender.port)
        live_names = await live
        until = time.monotonic() + END_S
        while time.monotonic() < until:
            await asyncio.sleep(0.3)
            with Store(path, write=False) as store:
                if not any(True for state in (ASKED, CLAIMED) for _ in store.find(Filter(state=state), 1)):
                    break
        await asyncio.sleep(1.0)
        memory = sender.memory()
        await sender.stop()
        with Store(path, write=False) as store:
            rows = {m.id: (m, said) for m, said in store.find(Filter(state=None))}
    finally:
        strike(sender, agent, members, refusing)
    taken = {name: cls for name, (cls, said) in heard.items() if said.startswith("+OK")}
    orders = [name for name, cls in taken.items() if cls == "order"]
    doubt = {name for name, known in rows.items() if in_doubt(*known)}
    live_ok = [name for name in live_names if name in taken]
    return {
        "kept": len(rows),
        "in line": in_line,
        "delivered again": sum(m.state == "delivered" for m, _ in rows.values()),
        "in doubt": len(doubt),
        "left in line": sum(m.state in (ASKED, CLAIMED) for m, _ in rows.values()),
        "orders twice": sum(members.effects[name] > 1 for name in orders),
        "orders neither done nor in doubt nor kept": sum(
            not members.effects[name] and name not in doubt and name not in rows for name in orders
        ),
        "previews neither done nor kept": sum(
            not members.effects[n] and n not in rows for n, cls in taken.items() if cls == "preview"
        ),
        "live served": round(sum(members.effects[n] > 0 for n in live_ok) / max(1, len(live_ok)), 4),
        "toppled": members.members[SHUT].toppled,
        "memory mb": round(memory / 1e6, 1),
    }


def run(plan: Plan, said: Callable[[str], None] = lambda text: None) -> dict:
    """All seeds: sums of what must not be, medians of the rest."""
    plan.check()
    days = []
    for n in range(plan.seeds):
        said(f"seed {plan.first_seed + n}")
        days.append(asyncio.run(day(plan, plan.first_seed + n)))
    sums = (
        "orders twice",
        "orders neither done nor in doubt nor kept",
        "previews neither done nor kept",
        "toppled",
        "left in line",
    )
    return {
        "plan": msgspec.to_builtins(plan),
        **{what: sum(d[what] for d in days) for what in sums},
        **{what: statistics.median(d[what] for d in days) for what in days[0] if what not in sums},
        "least live served": min(d["live served"] for d in days),
    }
