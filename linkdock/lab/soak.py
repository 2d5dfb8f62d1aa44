"""A real sender at a real pace for as long as it is told, and whether its descriptors and memory stay flat.

Members drop idle connections early, reset some, slow down for a while and surge, so that connections come and go all
the time: what is not given back shows as growth.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Annotated

import msgspec

from .idle import Positive
from .members import Member, Rules
from .rig import Agent, Client, Members, Sender, settings, strike

SAMPLE_S = 1.0
MEMORY_GROWTH, DESCRIPTOR_GROWTH = 1.1, 1.25  # the last fifth against the second: beyond it is not flat


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """How long, how much, and how rough."""

    seconds: Annotated[float, msgspec.Meta(ge=10, le=86400)] = 1800.0
    members: Annotated[int, msgspec.Meta(ge=1, le=2000)] = 40
    rate: Annotated[float, msgspec.Meta(gt=0, le=5000)] = 60.0  # messages a second, in the mean
    surge: Annotated[float, msgspec.Meta(ge=1, le=100)] = 5.0  # times that, for one second in twenty
    idle_life: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    resets: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.02
    slots: Positive = 64
    keeper: bool = True
    seed: Positive = 1

    def check(self) -> None:
        """Nothing to check: every plan can be run."""


def flat(samples: list[float], most: float) -> tuple[bool, float]:
    """Whether the last fifth is no more than so many times the second, and the ratio of their medians."""
    part = max(1, len(samples) // 5)
    early, late = statistics.median(samples[part : 2 * part]), statistics.median(samples[-part:])
    ratio = late / early if early else 1.0
    return ratio <= most, round(ratio, 3)


async def measure(plan: Plan, said: Callable[[str], None]) -> dict:
    """Run the plan on loopback and sample memory and descriptors meanwhile."""
    luck, agent = Random(plan.seed), Agent()
    members = Members(
        {
            n: Member(n, Rules(), Random(plan.seed * 1000 + n), rate=200.0, service=0.05, resets=plan.resets)
            for n in range(plan.members)
        },
        plan.idle_life,
    )
    await agent.start()
    await members.start()
    agent.list(
        lambda: (
            {
                "host": f"m{n}",
                "dial": members.dial,
                "site": "a",
                "class": "single",
                "block": n,
                "health": "ready",
                "share": 1.0,
                "born_ms": 0,
            }
            for n in range(plan.members)
        )
    )
    sender = Sender(
        agent,
        {"connections": {"on": plan.keeper, "file": "connections.json"}},
        {"memory_mb": 128, "sockets": 512, "disk_mb": 3},
        settings(plan.slots, 400),
    )
    memory, descriptors, heard = [], [], {"+OK": 0, "-BUSY": 0, "other": 0}
    try:
        await sender.start()
        client, began = Client(sender.port), time.monotonic()
        tasks: set[asyncio.Task] = set()

        async def ask(number: int) -> None:
            member = luck.randrange(plan.members)
            said = await client.enqueue(f"{member:08x}{number:08x}", luck.choice(["preview", "order"]), 6.0, member)
            heard["+OK" if said.startswith("+OK") else "-BUSY" if said.startswith("-BUSY") else "other"] += 1

        number, next_sample = 0, began
        while (now := time.monotonic()) - began < plan.seconds:
            if now >= next_sample:
                next_sample = now + SAMPLE_S
                memory.append(sender.memory() / 1e6)
                descriptors.append(len(list(Path(f"/proc/{sender.process.pid}/fd").iterdir())))
                said(f"{now - began:.0f} s: {memory[-1]:.1f} MB, {descriptors[-1]} descriptors, {number} messages")
            rate = plan.rate * (plan.surge if (now - began) % 20 < 1 else 1.0)
            number += 1
            tasks.add(task := asyncio.create_task(ask(number)))
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(luck.expovariate(rate))
        await asyncio.gather(*tasks)
        client.close()
        await sender.stop()
        hold = [line for line in sender.text().splitlines() if "longest hold" in line]
    finally:
        strike(sender, agent, members)
    steady, grown = flat(memory, MEMORY_GROWTH)
    held, more = flat(descriptors, DESCRIPTOR_GROWTH)
    return {
        "messages": number,
        "heard": heard,
        "arrived": len(members.arrived),
        "dropped idle": members.dropped,
        "memory mb": {
            "first": round(memory[0], 1),
            "last": round(memory[-1], 1),
            "most": round(max(memory), 1),
            "late over early": grown,
            "flat": steady,
        },
        "descriptors": {
            "first": descriptors[0],
            "last": descriptors[-1],
            "most": max(descriptors),
            "late over early": more,
            "flat": held,
        },
        "longest hold": hold[-1].rsplit(": ", 1)[1] if hold else "",
        "flat": steady and held,
    }


def run(plan: Plan, said: Callable[[str], None] = lambda text: None) -> dict:
    """Run the plan; the result with the plan beside it."""
    plan.check()
    return {"plan": msgspec.to_builtins(plan), **asyncio.run(measure(plan, said))}
