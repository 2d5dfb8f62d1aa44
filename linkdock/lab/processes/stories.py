"""Stories with real processes: what befalls them, and what must come of it. Each is one seed and comes again by it."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

from ...errors import LinkdockError
from . import schedule
from .checks import judge
from .history import History
from .play import Fleet, running, zones_of
from .schedule import Fault

FIRST = 15.0  # seconds for the first leader of a new fleet
NEXT = 2.0  # and for the next one after its end
WITHIN = 10.0  # seconds after all is healed until a proposal must have been acknowledged
STORM = 8.0  # seconds of a storm
RATE = 25.0  # proposals and reads a second
TTL = 1.0  # seconds of a lease
MOST = 240.0  # seconds of a story


class StoryFailedError(LinkdockError):
    """The story went otherwise than it must."""

    code = "LD-LAB-STORY"
    what = "a story of several processes went otherwise than it must"
    remedy = "Play the line that is printed once more with `--history FILE`, and read there what each process did"


def must(true: object, text: str) -> None:
    """Raise StoryFailedError with `text` unless `true`."""
    if not true:
        raise StoryFailedError(text)


def others(fleet: Fleet, name: str) -> list[str]:
    """The other processes of the fleet."""
    return [one for one in fleet.zones if one != name]


def standing_still(pid: int) -> bool:
    """Whether the system has stopped that process (SIGSTOP)."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2][0] == "T"


async def within(seconds: float, true: Callable[[], bool]) -> None:
    """Wait until it is true, so long at the most."""
    until = time.monotonic() + seconds
    while not true():
        must(time.monotonic() < until, f"not within {seconds:g} s: {true.__name__}")
        await asyncio.sleep(0.002)


async def begun(fleet: Fleet) -> str:
    """The first leader, once it has committed something."""
    must(await fleet.led(FIRST), f"no leader within {FIRST:g} s of the start")
    must(await fleet.committed(FIRST, "first") is not None, "no first commit")
    # Danger: while the voters still grow there is a moment with two of them, and neither may fail.
    known: set[str] = set()

    def full(one: dict) -> bool:
        if one["event"] == "voters" and len(one["voters"]) == fleet.voters:
            known.add(one["who"])
        return len(known) == len(fleet.zones)

    must(await fleet.history.seen(full, FIRST), f"not all know of {fleet.voters} voters within {FIRST:g} s")
    must(fleet.leader, "the first leader has gone by itself")
    return fleet.leader


def mark(fleet: Fleet) -> tuple[int, float]:
    """This moment in the history: how many events there are, and the time."""
    return len(fleet.history.events), fleet.history.now


async def next_leader(fleet: Fleet, old: str, moment: tuple[int, float], within: float) -> float:
    """Seconds from a moment on until another one leads."""
    since, began = moment
    one = await fleet.history.seen(lambda one: one["event"] == "leads" and one["who"] != old, within + 10.0, since)
    must(one, "no other leader")
    must(one["at"] - began <= within, f"the next leader came after {one['at'] - began:.2f} s, not {within:g} s")
    return one["at"] - began


async def calm(fleet: Fleet, luck: Random) -> dict:
    """Nothing befalls anybody: how long commits take."""
    await begun(fleet)
    since = len(fleet.history.events)
    async with running(fleet.load(2 * RATE)):
        await asyncio.sleep(8.0)
    took = sorted(one["ms"] for one in fleet.history.events[since:] if one["event"] == "answered" and "ms" in one)
    must(len(took) > 100, f"{len(took)} commits alone")
    return {"commits": len(took), "commit p50 ms": took[len(took) // 2], "commit p99 ms": took[int(len(took) * 0.99)]}


async def leader_killed(fleet: Fleet, luck: Random) -> dict:
    """Kill the leader under load: another must lead in time."""
    old = await begun(fleet)
    async with running(fleet.load(RATE)):
        await asyncio.sleep(luck.uniform(0.2, 1.0))
        moment = mark(fleet)
        fleet.history.append("harness", "fault", what=schedule.KILL, whom=[old])
        await fleet.processes[old].kill()
        took = await next_leader(fleet, old, moment, NEXT)
        must(await fleet.committed(WITHIN, "next") is not None, "no commit after the leader's end")
    return {"next leader s": round(took, 3), "commit s": round(fleet.history.now - moment[1], 3)}


async def zone_cut(fleet: Fleet, luck: Random) -> dict:
    """The leader's zone is alone, with whoever works there: the others go on, it does not."""
    old = await begun(fleet)
    inside = [name for name, zone in fleet.zones.items() if zone == fleet.zones[old]]
    outside = [name for name in fleet.zones if name not in inside]
    await fleet.work(ttl=TTL)
    async with running(fleet.load(RATE)):
        await asyncio.sleep(1.0)
        moment = mark(fleet)
        playing = fleet.spawn(fleet.play(schedule.parted(inside, outside, 0.0, 6.0), 6.0))
        took = await next_leader(fleet, old, moment, 5.0)
        must(fleet.zones[fleet.leader] != fleet.zones[old], "a leader in the zone that is cut off")
        await asyncio.sleep(0.2)
        must(await fleet.put(old, "in the cut zone", 1.0) is None, "a commit in the zone that is cut off")
        must(await fleet.put(outside[0], "outside", 1.5) is not None, "no commit outside it")
        await playing
    return {"next leader s": round(took, 3)}


async def one_way(fleet: Fleet, luck: Random) -> dict:
    """Nobody hears the leader, or the leader hears nobody: the others find one who is heard."""
    old, deaf = await begun(fleet), luck.random() < 0.5
    ways = [(name, old) if deaf else (old, name) for name in others(fleet, old)]
    async with running(fleet.load(RATE)):
        moment = mark(fleet)
        playing = fleet.spawn(fleet.play([Fault(0.0, schedule.CUT, way, 7.0) for way in ways], 7.0))
        took = await next_leader(fleet, old, moment, 5.0)
        commit = await fleet.put(others(fleet, old)[0], "outside", 1.5)
        must(commit is not None, f"no commit with a leader that is {'deaf' if deaf else 'mute'}")
        await playing
    return {"deaf": deaf, "next leader s": round(took, 3)}


async def stopped(fleet: Fleet, luck: Random) -> dict:
    """A process is stopped with a lease, and goes on with it 3 s later, as if no time had passed."""
    leader = await begun(fleet)
    owner = leader if luck.random() < 0.3 else luck.choice(others(fleet, leader))
    other = luck.choice(others(fleet, owner))
    first = await fleet.processes[owner].ask("acquire", 3.0, name="job", ttl=TTL)
    must("token" in first, f"the lease was not granted: {first}")
    must("token" in await fleet.processes[owner].ask("use", 1.0, name="job"), "it could not be used")
    playing = fleet.spawn(fleet.play([Fault(0.0, schedule.STOP, (owner,), 3.0)], 3.0))
    # Danger: a signal takes a moment; what is asked before that is still done at once.
    await within(1.0, lambda: standing_still(fleet.processes[owner].process.pid))
    late = fleet.spawn(fleet.processes[owner].ask("use", 12.0, name="job", deadline=11.0))  # lies in its input
    began, second = fleet.history.now, {}
    while "token" not in second and fleet.history.now - began < 8.0:
        second = await fleet.processes[other].ask("acquire", 2.0, name="job", ttl=TTL, deadline=1.0)
        await asyncio.sleep(0.02)
    took = fleet.history.now - began
    must("token" in second and second["token"] > first["token"], f"nobody else came to hold it: {second}")
    must(took >= TTL * 0.9 and took < 3.0 or owner == leader, f"another one holds it after {took:.2f} s")
    must("token" in await fleet.processes[other].ask("use", 1.0, name="job"), "the new one could not be used")
    await late
    await playing
    uses = [one for one in fleet.history.events if one["event"] == "used"]
    must(
        [(one["who"], one["ok"]) for one in uses] == [(owner, True), (other, True), (owner, False)],
        f"the resource let in: {uses}",
    )
    return {"leader": owner == leader, "passed on s": round(took, 3)}


async def majority_lost(fleet: Fleet, luck: Random) -> dict:
    """More than half are killed: nothing is committed, messages are delivered; half come back, and it goes on."""
    await begun(fleet)
    names = list(fleet.zones)
    voters = names if len(names) <= 5 else names[:5]
    dead = luck.sample(voters, len(voters) // 2 + 1)
    for name in dead:
        await fleet.processes[name].kill()
    left = luck.choice([name for name in names if name not in dead])
    began = fleet.history.now
    must(await fleet.put(left, "without majority", 1.0) is None, "a commit without a majority")
    must(fleet.history.now - began < 2.0, "its refusal came late")
    await asyncio.sleep(1.5)
    must(await fleet.put(left, "still without", 1.0) is None, "a commit without a majority")
    must(await fleet.delivered(left), "a message was not delivered, for want of a majority")
    back = luck.choice(dead)
    await fleet.processes[back].start()
    since = fleet.history.now
    must(await fleet.committed(WITHIN, "back") is not None, "no commit with a majority back")
    took = fleet.history.now - since
    await fleet.make_good()
    return {"commit after s": round(took, 3)}


async def all_killed(fleet: Fleet, luck: Random) -> dict:
    """All at once, as by a power cut, twice: what was acknowledged is in the folders."""
    await begun(fleet)
    longest = 0.0
    async with running(fleet.load(2 * RATE)):
        for turn in range(2):
            await asyncio.sleep(luck.uniform(0.5, 1.5))
            await asyncio.gather(*(process.kill() for process in fleet.processes.values()))
            began = fleet.history.now
            await asyncio.gather(*(process.start() for process in fleet.processes.values()))
            must(await fleet.committed(WITHIN, f"after-{turn}") is not None, "no commit after all were killed")
            longest = max(longest, fleet.history.now - began)
    return {"commit after s": round(longest, 3)}


async def folder_lost(fleet: Fleet, luck: Random) -> dict:
    """A process comes back under its name without its folder, as somebody else; its old id decides no more."""
    leader = await begun(fleet)
    name = luck.choice(list(fleet.zones))
    process, old = fleet.processes[name], fleet.processes[name].id
    async with running(fleet.load(RATE)):
        await fleet.play([Fault(0.2, schedule.LOSE, (name,), luck.uniform(0.2, 3.0))], 4.0)
        took = await fleet.committed(WITHIN, "after")
        must(took is not None, "no commit after a folder was lost")

        def replaced(one: dict) -> bool:
            return one["event"] == "voters" and old not in one["voters"] and process.id in one["voters"]

        since, asked = len(fleet.history.events), fleet.history.now
        if old in await voters_of(fleet):
            must(await fleet.history.seen(replaced, 30.0, since), f"{process.id} does not decide in the place of {old}")
    return {"leader": name == leader, "in its place s": round(fleet.history.now - asked, 3)}


async def voters_of(fleet: Fleet) -> list[str]:
    """The voters by the leader's word; none without a leader."""
    told = await fleet.processes[fleet.leader].ask("stats", 2.0) if fleet.leader else {}
    return told.get("voters", [])


async def doubt(fleet: Fleet, luck: Random) -> dict:
    """A process is killed once its proposal is committed, before it could say so: the proposal stands, once."""
    leader = await begun(fleet)
    name = leader if luck.random() < 0.5 else luck.choice(others(fleet, leader))
    dying = await fleet.dies_at(name, "answer")
    must(await fleet.put(name, "in doubt", 5.0) is None, "it was answered")
    must(await dying, "the point was not reached")
    must(await fleet.committed(WITHIN, "after") is not None, "no commit after it")
    await fleet.make_good()
    held = (await fleet.settled()).values()
    must(all("in doubt" in one.get("ops", ()) for one in held), "what was committed is gone")
    return {"leader": name == leader}


async def terminated(fleet: Fleet, luck: Random) -> dict:
    """SIGTERM to all in turn, as in an upgrade: there is hardly a gap between commits."""
    await begun(fleet)
    longest = 0.0
    async with running(fleet.load(2 * RATE)):
        await asyncio.sleep(0.5)
        since = len(fleet.history.events)
        for name in luck.sample(list(fleet.zones), len(fleet.zones)):
            began = time.monotonic()
            status = await fleet.processes[name].stop()
            longest = max(longest, time.monotonic() - began)
            must(status == 0, f"{name} ended with status {status}")
            await fleet.processes[name].start()
            must(await fleet.delivered(name), f"{name} does not deliver after its restart")
        await asyncio.sleep(0.5)
    commits = [one["at"] for one in fleet.history.events[since:] if one["event"] == "answered" and one["ok"]]
    gap = max(b - a for a, b in zip(commits, commits[1:], strict=False))
    must(gap < 4.0, f"nothing was committed for {gap:.2f} s")
    return {"longest gap s": round(gap, 3), "longest end s": round(longest, 3)}


async def rubbish(fleet: Fleet, luck: Random) -> dict:
    """Bytes of no meaning on all ways, again and again, and connections reset."""
    await begun(fleet)
    ways = [(a, b) for a in fleet.zones for b in fleet.zones if a != b]
    faults = [
        Fault(
            round(luck.uniform(0.0, 5.0), 3),
            schedule.RUBBISH,
            luck.choice(ways),
            0.0,
            {"bytes": luck.randrange(1, 5000)},
        )
        for _ in range(150)
    ]
    faults += [Fault(round(luck.uniform(0.0, 5.0), 3), schedule.RESET, luck.choice(ways)) for _ in range(15)]
    since = len(fleet.history.events)
    async with running(fleet.load(RATE)):
        await fleet.play(faults, 5.0)
        must(await fleet.committed(WITHIN, "after") is not None, "no commit among rubbish")
    told = [one["ok"] for one in fleet.history.events[since:] if one["event"] == "answered"]
    return {"acknowledged": round(sum(told) / len(told), 3)}


async def disk_full(fleet: Fleet, luck: Random) -> dict:
    """The leader's disk is full: it takes no part any more, another one leads, and messages are delivered."""
    old = await begun(fleet)
    async with running(fleet.load(RATE)):
        moment = mark(fleet)
        playing = fleet.spawn(fleet.play([Fault(0.0, schedule.FULL, (old,), 6.0)], 6.0))
        took = await next_leader(fleet, old, moment, 5.0)
        must(await fleet.committed(WITHIN, "next") is not None, "no commit beside a full disk")
        await playing
        must(await fleet.delivered(old), "it does not deliver after its restart")
    return {"next leader s": round(took, 3)}


async def storm(fleet: Fleet, luck: Random) -> dict:
    """Faults drawn by the seed, one on another, with work and load all the time."""
    faults = schedule.storm(luck.getrandbits(32), fleet.zones, STORM)
    for fault in faults:
        fleet.history.append("harness", "planned", text=str(fault))
    await begun(fleet)
    await fleet.work(ttl=TTL)
    async with running(fleet.load(RATE)):
        await fleet.play(faults, STORM)
        took = await fleet.committed(WITHIN, "after")
        must(took is not None, f"no commit within {WITHIN:g} s of the healing")
    return {"faults": len(faults), "commit after s": round(took, 3)}


Story = Callable[[Fleet, Random], Awaitable[dict]]
STORIES: dict[str, Story] = {
    story.__name__.replace("_", "-"): story
    for story in (
        calm,
        leader_killed,
        zone_cut,
        one_way,
        stopped,
        majority_lost,
        all_killed,
        folder_lost,
        doubt,
        terminated,
        rubbish,
        disk_full,
        storm,
    )
}


class Played(NamedTuple):
    """What came of one seed; nothing in `found` if all went as it must."""

    seed: int
    found: list[str]
    figures: dict
    events: int
    plan: list[str]  # the faults of a storm


async def _play(name: str, seed: int, size: int, history: History, told: dict | None, tree: str | None) -> Played:
    luck, figures, found, began = Random(f"{name} {seed}"), {}, [], time.monotonic()
    for number in (signal.SIGINT, signal.SIGTERM):  # the folders are removed and all processes ended all the same
        asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
    try:
        roots = dict.fromkeys(list(zones_of(size))[1::2], tree) if tree else {}
        async with asyncio.timeout(MOST), Fleet(history, size, luck.getrandbits(32), told, roots) as fleet:
            figures["start s"] = round(time.monotonic() - began, 3)
            try:
                figures |= await STORIES[name](fleet, luck)
            except StoryFailedError as wrong:
                found.append(f"story: {wrong}")
            await fleet.make_good()
            must(await fleet.committed(WITHIN, "last") is not None, "no commit at the end")
            await fleet.rest()
            await fleet.final()
            ending = time.monotonic()
        figures["end s"] = round(time.monotonic() - ending, 3)
    except Exception as wrong:  # also of the harness itself: the next seed is played all the same
        found.append(f"{type(wrong).__name__}: {wrong}")
    plan = [one["text"] for one in history.events if one["event"] == "planned"]
    return Played(seed, found + judge(history.events, WITHIN), figures, len(history.events), plan)


def play(
    name: str, seed: int, size: int, path: Path | None = None, told: dict | None = None, tree: str | None = None
) -> Played:
    """One story with one seed, in an event loop of its own; its history goes to `path` as well.

    `told` goes into deploy/cluster.json; every second process runs the program in `tree`, where one is named. Raises
    asyncio.CancelledError once SIGINT or SIGTERM has ended it.
    """
    history = History(path)
    try:
        return asyncio.run(_play(name, seed, size, history, told, tree))
    finally:
        history.close()
