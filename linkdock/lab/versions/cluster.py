"""A cluster whose processes go from one version to another one by one, under proposals and leases, and back."""

from __future__ import annotations

import asyncio

from ..processes.checks import judge
from ..processes.history import History
from ..processes.play import Fleet, running, zones_of
from ..processes.stories import FIRST, RATE, TTL, WITHIN, StoryFailedError, begun, must
from .peers import VersionsError

SIZE = 3  # processes, all of them voters
SETTLE = 1.0  # seconds of load with each mixture of versions
SEED = 1
LONGEST = 240.0  # seconds of a play


async def _change(fleet: Fleet, tree: str | None, change: str) -> None:
    """Restart each process from another tree on its own folder; every mixture has to agree on something.

    `change` sets the proposals of one change apart from those of another: the same one twice would be a repeat.
    """
    for name, process in fleet.processes.items():
        must(await process.stop() == 0, f"the end of {name} was not orderly")
        process.run_from(tree)
        await process.start()
        await asyncio.sleep(SETTLE)
        must(await fleet.committed(FIRST, f"{change}-{name}") is not None, f"no commit once {name} has changed")


async def _play(first: str | None, second: str | None, history: History) -> None:
    roots = {} if first is None else dict.fromkeys(zones_of(SIZE), first)
    async with asyncio.timeout(LONGEST), Fleet(history, SIZE, SEED, roots=roots) as fleet:
        await begun(fleet)
        await fleet.work(ttl=TTL)
        async with running(fleet.load(RATE)):
            await asyncio.sleep(SETTLE)
            await _change(fleet, second, "there")
            await _change(fleet, first, "back")
        await fleet.make_good()
        must(await fleet.committed(WITHIN, "last") is not None, "no commit at the end")
        await fleet.rest()
        await fleet.final()


async def play(first: str | None, second: str | None) -> list[str]:
    """What goes wrong when a cluster goes from the version in `first` to the one in `second` and back, a line each."""
    history = History()
    found = []
    try:
        await _play(first, second, history)
    except (StoryFailedError, VersionsError, TimeoutError) as wrong:
        found.append(f"{type(wrong).__name__}: {wrong}")
    found += judge(history.events, WITHIN)
    found += [f"{one['who']}: the node has given up: {one}" for one in history.events if one["event"] == "failed"]
    return found
