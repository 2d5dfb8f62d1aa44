"""A flood of connections against a real sender: are known clients served, and what does each refusal cost?

The flood is a process of its own that opens silent connections from many addresses at a pace and drops them again.
Known clients come anew for each message. In the middle the sender is killed and started again.
"""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import socket
import statistics
import struct
import time
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Annotated

import msgspec
import numpy as np

from .idle import Positive
from .members import Member, Rules
from .rig import Agent, Client, Members, Sender, settings, strike

FRIENDS, WARM_S, AFTER_S = 4, 2.5, 1.0
PLAIN_CLOSE = struct.pack("ii", 1, 0)  # a reset, which leaves no address in use behind


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Connections a second of the flood, held so long, from so many addresses; messages a second of known clients."""

    flood: Annotated[float, msgspec.Meta(gt=0, le=50_000)] = 5000.0
    hold_s: Annotated[float, msgspec.Meta(gt=0, le=60)] = 0.3
    addresses: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 200
    rate: Annotated[float, msgspec.Meta(gt=0, le=2000)] = 20.0
    seconds: Annotated[float, msgspec.Meta(ge=2, le=600)] = 6.0
    sockets: Annotated[int, msgspec.Meta(ge=64, le=65_536)] = 256
    kill: bool = True
    gate: bool = True
    seeds: Positive = 3
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1

    def check(self) -> None:
        """Nothing to check: every plan can be run."""


def pour(port: int, plan: dict, seed: int, seconds: float, count: object) -> None:
    """The flood's own process."""
    luck, held, began, opened = Random(seed), deque(), time.monotonic(), 0
    while (now := time.monotonic()) - began < seconds:
        while held and held[0][0] <= now:
            with contextlib.suppress(OSError):
                held.popleft()[1].close()
        for _ in range(min(256, int((now - began) * plan["flood"]) - opened)):
            opened += 1
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, PLAIN_CLOSE)
            number = luck.randrange(plan["addresses"])
            try:
                sock.bind((f"127.1.{number // 250}.{number % 250 + 1}", 0))
                sock.connect(("127.0.0.1", port))
            except BlockingIOError:
                held.append((now + plan["hold_s"], sock))
            except OSError:
                sock.close()
            else:
                held.append((now + plan["hold_s"], sock))
            if len(held) > 4000:
                held.popleft()[1].close()
        count.value = opened
        time.sleep(0.002)


async def day(plan: Plan, seed: int, flooded: bool) -> dict:
    """One run: what was asked of known clients in the flood, or in the same time without one."""
    luck, agent = Random(seed), Agent()
    members = Members({n: Member(n, Rules(), Random(n), rate=500.0, service=0.02) for n in range(4)})
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
            for n in range(4)
        )
    )
    sender = Sender(
        agent,
        {"admission": {"on": plan.gate, "file_s": 1.0}},
        {"memory_mb": 64, "sockets": plan.sockets, "disk_mb": 3},
        settings(32, 400),
    )
    pouring, count = None, multiprocessing.get_context("spawn").Value("l", 0)
    heard: dict[str, tuple[float, float, str]] = {}  # message: when, how long, what
    try:
        await sender.start()

        async def ask(number: int, known: bool = True) -> None:
            member, began = luck.randrange(4), time.monotonic()
            name, client = f"{member:08x}{number:08x}", Client(sender.port, f"127.0.0.{2 + number % FRIENDS}")
            for _ in range(4):  # as clients do: again where they are turned away or cut off
                said = await client.enqueue(name, "order", 8.0, member)
                if said.startswith("+OK") or time.monotonic() - began > 2.0:
                    break
                await asyncio.sleep(0.1)
            heard[name] = began, time.monotonic() - began, said
            client.close()

        async def traffic(seconds: float, first: int) -> int:
            tasks, until = [], time.monotonic() + seconds
            while time.monotonic() < until:
                tasks.append(asyncio.create_task(ask(first + len(tasks))))
                await asyncio.sleep(luck.expovariate(plan.rate))
            await asyncio.gather(*tasks)
            return first + len(tasks)

        number = await traffic(WARM_S, 1)
        if flooded:
            pouring = multiprocessing.get_context("spawn").Process(
                target=pour, args=(sender.port, msgspec.to_builtins(plan), seed, plan.seconds, count), daemon=True
            )
            pouring.start()
            while not count.value:
                await asyncio.sleep(0.01)
        cpu, since = sender.cpu(), time.monotonic()
        half = asyncio.create_task(traffic(plan.seconds, number))
        if plan.kill:
            await asyncio.sleep(plan.seconds / 2)
            sender.process.kill()
            await sender.process.wait()
            cpu = 0.0  # of the second life from here on
            await sender.start(sender.port)
            since = time.monotonic()
        await half
        used, span = sender.cpu() - cpu, time.monotonic() - since
        await asyncio.sleep(AFTER_S)
        await sender.stop()
    finally:
        if pouring is not None:
            pouring.kill()
            pouring.join()
        strike(sender, agent, members)
    asked = {name: told for name, told in heard.items() if int(name[8:], 16) >= number}
    taken = [name for name, told in heard.items() if told[2].startswith("+OK")]
    return {
        "asked": len(asked),
        "taken": sum(told[2].startswith("+OK") for told in asked.values()),
        "waits": [told[1] for told in asked.values() if told[2].startswith("+OK")],
        "no end": sum(not members.came[name] and name not in agent.notices for name in taken),
        "twice": sum(members.came[name] > 1 for name in taken),
        "flood": count.value,
        "cpu share": used / span,
    }


def run(plan: Plan, said: Callable[[str], None] = lambda text: None) -> dict:
    """All seeds, each with the flood and without."""
    plan.check()
    rows = []
    for n in range(plan.seeds):
        said(f"seed {plan.first_seed + n}")
        calm, flooded = (asyncio.run(day(plan, plan.first_seed + n, on)) for on in (False, True))
        rows.append((calm, flooded))

    def middle(of: Callable[[dict], float], which: int) -> float:
        return round(statistics.median(of(row[which]) for row in rows), 4)

    def told(which: int) -> dict:
        return {
            "asked": middle(lambda d: d["asked"], which),
            "taken": middle(lambda d: d["taken"] / d["asked"], which),
            "answered p99 s": middle(lambda d: float(np.percentile(d["waits"], 99)) if d["waits"] else -1.0, which),
            "cpu share": middle(lambda d: d["cpu share"], which),
        }

    rate = statistics.median(flooded["flood"] / plan.seconds for _, flooded in rows)
    extra = middle(lambda d: d["cpu share"], 1) - middle(lambda d: d["cpu share"], 0)
    return {
        "plan": msgspec.to_builtins(plan),
        "without": told(0),
        "flooded": told(1),
        "flood a second": round(rate),
        "us of cpu for each of the flood": round(1e6 * extra / rate, 1),
        "messages taken without an end": sum(d["no end"] for row in rows for d in row),
        "orders that arrived twice": sum(d["twice"] for row in rows for d in row),
    }
