"""`python -m linkdock.lab.processes.cost [deliver|idle]`: what the cluster costs a sender, with real processes.

`deliver`: an even load with the cluster off, on, with its quorum lost and with no founder there, same seeds in turn.
`idle`: a node at rest beside a sender without one, `--size` processes.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from random import Random
from statistics import median

from .. import rig
from . import schedule
from .history import History
from .play import MEMBERS, Fleet
from .schedule import Fault
from .stories import begun

RATE, SECONDS, LIMIT = 60.0, 8.0, 4.0  # messages a second at each sender, for how long, seconds that each has
WARM = 3.0  # seconds of load before
REST, WATCHED = 5.0, 20.0  # seconds after the start, and those in which idleness is measured


async def as_it_is(fleet: Fleet) -> None:
    """No cluster to wait for."""


async def with_quorum(fleet: Fleet) -> None:
    """All are there, and the cluster has begun."""
    await begun(fleet)


async def without_quorum(fleet: Fleet) -> None:
    """No two processes hear one another, from before the load until its end."""
    await begun(fleet)
    for key, way in enumerate((a, b) for a in fleet.zones for b in fleet.zones if a != b):
        fleet.net.begin(key, Fault(0.0, schedule.CUT, way, 1e6))
    await asyncio.sleep(2.5)  # the last leader has stepped down


CASES: dict[str, tuple[dict, Callable[[Fleet], Awaitable[None]]]] = {
    "off": ({"on": False}, as_it_is),
    "quorum": ({}, with_quorum),
    "lost": ({}, without_quorum),
    "founders missing": ({"founders": ["nobody1", "nobody2", "nobody3"]}, as_it_is),
}


async def _load(fleet: Fleet, luck: Random, handed: dict[str, float], seconds: float, number: int) -> None:
    """Messages to each sender at RATE, one independent of the other; `handed` says when each was taken."""
    clients = {name: rig.Client(process.port) for name, process in fleet.processes.items()}
    first, until = number, time.monotonic() + seconds
    tasks: set[asyncio.Task] = set()

    async def one(client: rig.Client, name: str, to: int) -> None:
        began = time.monotonic()
        if (await client.enqueue(name, "order", LIMIT, to)).startswith("+OK"):
            handed[name] = began

    due = time.monotonic()
    try:
        while due < until:
            due += luck.expovariate(RATE * len(clients))
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number, to = number + 1, luck.randrange(MEMBERS)
            task = asyncio.create_task(one(clients[luck.choice(list(clients))], f"{to:08x}{number:08x}", to))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        handed["asked"] = number - first
    finally:
        for client in clients.values():
            client.close()


async def deliver(case: str, seed: int) -> dict[str, float]:
    """Shares of the messages handed in, and of those taken, that arrived within LIMIT; ms until the arrival, of the
    processor for each."""
    told, prepare = CASES[case]
    async with asyncio.timeout(120), Fleet(History(), 3, seed, told) as fleet:
        await prepare(fleet)
        await asyncio.sleep(1.0)
        luck = Random(seed)
        await _load(fleet, luck, {}, WARM, 1_000_000)
        handed: dict[str, float] = {}
        before = sum(process.cpu() for process in fleet.processes.values())
        await _load(fleet, luck, handed, SECONDS, 0)
        await asyncio.sleep(1.0)
        spent = sum(process.cpu() for process in fleet.processes.values()) - before
        asked, arrived = handed.pop("asked"), fleet.members.arrived
        took = sorted(arrived[name] - began for name, began in handed.items() if fleet.members.effects[name])
        good = sum(one <= LIMIT for one in took)  # a client whose connection is closed under it does not ask again
        return {
            "share": good / asked,
            "share of taken": good / len(handed),
            "p50 ms": 1000 * took[len(took) // 2],
            "p99 ms": 1000 * took[int(len(took) * 0.99)],
            "cpu ms a message": 1000 * spent / asked,
        }


async def idle(case: str, size: int, seed: int) -> dict[str, float]:
    """Of one process, the mean over all: bytes sent a second, processor seconds of WATCHED, megabytes, kB of disk."""
    told, prepare = CASES[case]
    async with asyncio.timeout(240), Fleet(History(), size, seed, told) as fleet:
        await prepare(fleet)
        await asyncio.sleep(REST)
        processes = list(fleet.processes.values())

        async def sent() -> list[float]:
            stats = [await process.ask("stats", 5.0) for process in processes]
            return [sum(one.get(key, 0) for one in stats) for key in ("bytes_out", "datagram_bytes_out")]

        first, cpu = await sent(), sum(process.cpu() for process in processes)
        await asyncio.sleep(WATCHED)
        last, spent = await sent(), sum(process.cpu() for process in processes) - cpu
        files = [file for process in processes for file in (process.path / "state").rglob("*") if file.is_file()]
        frames, datagrams = (after - before for before, after in zip(first, last, strict=True))
        return {
            "frames B/s": frames / size / WATCHED,
            "datagrams B/s": datagrams / size / WATCHED,
            "cpu s": spent / size,
            "RSS MB": sum(process.memory() for process in processes) / size / 1e6,
            "disk kB": sum(file.stat().st_blocks * 512 for file in files) / size / 1e3,
        }


def main() -> None:
    """Run what the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=("deliver", "idle"), nargs="?", default="deliver")
    parser.add_argument("--seeds", type=int, default=5, metavar="N")
    parser.add_argument("--size", type=int, default=3, metavar="N", help="processes, for `idle`")
    told = parser.parse_args()
    os.environ["LINKDOCK_LOOK"] = "1"
    cases = list(CASES) if told.what == "deliver" else ["off", "quorum"]
    found: dict[str, list[dict[str, float]]] = {case: [] for case in cases}
    for seed in range(1, told.seeds + 1):
        for case in cases:
            found[case].append(
                asyncio.run(deliver(case, seed) if told.what == "deliver" else idle(case, told.size, seed))
            )
            print(seed, case, {key: round(value, 3) for key, value in found[case][-1].items()}, flush=True)
    for case, all_of in found.items():
        values = {key: sorted(one[key] for one in all_of) for key in all_of[0]}
        print(
            f"{case}: "
            + ", ".join(f"{key} {median(of):.3f} ({of[0]:.3f} to {of[-1]:.3f})" for key, of in values.items())
        )


if __name__ == "__main__":
    main()
