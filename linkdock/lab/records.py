"""What records cost: messages a second through one sender with and without them, in turn, and CPU for each message.

Clients hand in as fast as they are answered; members answer at once. `against` may name another tree of the program,
which then runs in turn as well: what records cost where they are off.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time
from pathlib import Path
from typing import Annotated

import msgspec

from . import rig
from .idle import Positive, Seconds, rows
from .members import Member, Rules


class Plan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """How long, how often, how many clients."""

    rounds: Positive = 5
    seconds: Seconds = 4.0
    clients: Annotated[int, msgspec.Meta(ge=1, le=200)] = 24
    destinations: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 20
    against: str = ""

    def check(self) -> None:
        """Raises ValueError that names the key."""
        if self.against and not (Path(self.against) / "linkdock" / "__main__.py").is_file():
            raise ValueError(f"against must be a folder with the program, not {self.against!r}")


async def _one(plan: Plan, deploy: dict, root: str) -> dict:
    members = {n: Member(n, Rules(), random.Random(n), rate=1e6, service=1e-4) for n in range(plan.destinations)}
    agent, stand_ins = rig.Agent(), rig.Members(members)
    await agent.start()
    await stand_ins.start()
    agent.list(lambda: rows(plan.destinations, stand_ins.dial))
    sender = rig.Sender(
        agent, deploy, {"memory_mb": 192, "sockets": 1024, "disk_mb": 50}, rig.settings(256, 5000), root=root or None
    )
    try:
        await sender.start()
        client = rig.Client(sender.port)
        while not (await client.enqueue(f"{0:08x}{0:08x}", "preview", 6.0, 0)).startswith("+"):
            await asyncio.sleep(0.02)
        taken, until = [0], time.monotonic() + plan.seconds

        async def hand_in(which: int) -> None:
            n = 0
            while time.monotonic() < until:
                n += 1
                destination = (which + n) % plan.destinations
                heard = await client.enqueue(f"{destination:08x}{which:03x}{n:05x}", "preview", 6.0, destination)
                taken[0] += heard.startswith("+")
                if not heard.startswith("+"):
                    await asyncio.sleep(0.01)

        cpu, began = sender.cpu(), time.monotonic()
        await asyncio.gather(*(hand_in(n + 1) for n in range(plan.clients)))
        took, used = time.monotonic() - began, sender.cpu() - cpu
        client.close()
        records = sum(p.stat().st_size for p in sender.path.glob("records*"))
        await sender.stop()
        return {
            "a second": taken[0] / took,
            "cpu us": 1e6 * used / max(1, taken[0]),
            "record bytes": records / max(1, taken[0]),
        }
    finally:
        rig.strike(sender, agent, stand_ins)


def run(plan: Plan, said=lambda text: None) -> dict:
    """The whole experiment."""
    plan.check()
    ways = {"off": ({}, ""), "on": ({"records": {"on": True, "file": "../records.jsonl", "most_mb": 500}}, "")}
    if plan.against:
        ways["against, off"] = ({}, plan.against)
    found: dict[str, list[dict]] = {way: [] for way in ways}
    for n in range(plan.rounds):
        for way, (deploy, root) in ways.items():
            said(f"round {n + 1}, {way}")
            found[way].append(asyncio.run(_one(plan, deploy, root)))
    return {
        "plan": msgspec.to_builtins(plan),
        "ways": {
            way: {
                key: {
                    "median": round(statistics.median(r[key] for r in runs), 1),
                    "least": round(min(r[key] for r in runs), 1),
                    "most": round(max(r[key] for r in runs), 1),
                }
                for key in runs[0]
            }
            for way, runs in found.items()
        },
    }
