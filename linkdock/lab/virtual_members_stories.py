"""What the membership goes through in `virtual_members`, what is measured of it, and what must hold.

A story takes (seed, size, settings, machine class) and gives its measures; `broken` names the checks that did not hold.
"""

from __future__ import annotations

from collections.abc import Callable
from math import log2
from statistics import median

from ..cluster.interface import Ack, Ping, Rumour, Standing, name_of
from ..cluster.members.rumours import HIGHEST
from ..cluster.members.settings import MembersSettings
from ..cluster.members.swim import Swim
from .virtual_members_world import Process, World

Measures = dict[str, object]
Story = Callable[[int, int, MembersSettings, type[Swim]], Measures]
FAILED, ALIVE, SUSPECT = Standing.FAILED, Standing.ALIVE, Standing.SUSPECT


def _begin(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> tuple[World, Measures]:
    world, measures = World(seed, size, settings, make), {}
    world.start_all()
    world.run(2.0)
    took = world.settle(60)
    measures["joined_s"] = took
    world.broken["joined"] += took is None
    return world, measures


def _end(world: World, measures: Measures) -> Measures:
    return {**measures, "broken": {name: times for name, times in world.broken.items() if times}}


def _alarms(world: World, since: float, sound: set[str]) -> dict[str, float]:
    """Failures and suspicions of sound members, by how many members (not who told of them) and an hour of each."""
    hours = max(1e-9, (world.now - since) / 3600 * len(sound))
    told = [one for one in world.events if one.at >= since and one.heard.peer.id in sound and one.was_up]
    failed = {(one.heard.peer.id, one.heard.incarnation) for one in told if one.heard.standing is FAILED}
    doubted = {(one.heard.peer.id, one.heard.incarnation) for one in told if one.heard.standing is SUSPECT}
    return {"false_failed_h": round(len(failed) / hours, 3), "false_suspect_h": round(len(doubted) / hours, 1)}


def _no_ghosts(world: World, since: float = 0.0) -> None:
    """Nobody that is not running may come back to life where it was known to be dead.

    An old packet of an incarnation that nobody remembers is taken for news until probes fail; `converged` sees to that.
    """
    world.broken["stays dead"] += sum(
        one.heard.standing is ALIVE and not one.was_up and one.knew and one.at >= since for one in world.events
    )


def crash(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """One dies while old packets are sent again: how soon it is known, first and everywhere."""
    world, measures = _begin(seed, size, settings, make)
    world.network.replay, world.network.replay_s = 0.1, (1.0, 30.0)
    dead = world.taped = world.all[-1]
    world.run(world.now + 40)
    since = world.now
    world.crash(dead)
    for n in range(10000):
        world.at(since + n / 100, lambda: world.arrive(world.random.choice(world.all), world.random.choice(world.tape)))

    def known() -> bool:
        return all(one.machine.view()[dead.id].standing is FAILED for one in world.running())

    world.broken["in time"] += world.settle(90, known) is None
    first: dict[str, float] = {}
    for one in world.events:
        if one.at >= since and one.heard.peer.id == dead.id and one.heard.standing is FAILED:
            first.setdefault(one.by, one.at - since)
    times = sorted(first.values())
    if times:
        measures |= {
            "first_s": round(times[0], 2),
            "median_s": round(median(times), 2),
            "p99_s": round(times[int(0.99 * (len(times) - 1))], 2),
            "all_s": round(times[-1], 2),
        }
    world.run(world.now + 40)
    _no_ghosts(world, since + 45)
    return _end(world, measures)


def loss(seed: int, size: int, settings: MembersSettings, make: type[Swim], share: float = 0.2) -> Measures:
    """A network that loses, doubles and reorders; nobody fails."""
    world, measures = _begin(seed, size, settings, make)
    world.network.loss, world.network.twice, world.network.astray = share, 0.05, 0.05
    since = world.now
    world.run(since + 300)
    measures |= _alarms(world, since, {one.id for one in world.all})
    world.network.loss = 0.0
    world.broken["converged"] += world.settle(30) is None
    return _end(world, measures)


def pauses(seed: int, size: int, settings: MembersSettings, make: type[Swim], longest: float = 1.0) -> Measures:
    """A quarter of the processes stand still now and then, for 1 s or up to `longest`; what of the others?"""
    world, measures = _begin(seed, size, settings, make)
    ill = world.all[::4]
    since = world.now

    def pause(process: Process) -> None:
        world.pause(process, world.random.uniform(1.0, longest))
        world.at(world.now + world.random.uniform(1, 5) + longest, pause, process)

    for process in ill:
        world.at(world.now + world.random.uniform(0, 5), pause, process)
    world.run(since + 300)
    sound = {one.id for one in world.all} - {one.id for one in ill}
    measures |= _alarms(world, since, sound)
    measures["ill_failed_h"] = _alarms(world, since, {one.id for one in ill})["false_failed_h"]
    # Sound ones in a network without loss: at most one in 20 may ever be called failed an hour.
    world.broken["no false failure"] += measures["false_failed_h"] > 0.05
    world.broken["few false suspicions"] += measures["false_suspect_h"] > 1.0
    return _end(world, measures)


def long_pauses(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """As `pauses`, up to 5 s long."""
    return pauses(seed, size, settings, make, longest=5.0)


def weary(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """A third of the datagrams is lost, and a quarter of the processes stands still for 2 to 8 s now and then."""
    world, measures = _begin(seed, size, settings, make)
    world.network.loss = 0.33
    ill, since = world.all[::4], world.now

    def pause(process: Process) -> None:
        world.pause(process, world.random.uniform(2.0, 8.0))
        world.at(world.now + world.random.uniform(10, 20), pause, process)

    for process in ill:
        world.at(world.now + world.random.uniform(0, 10), pause, process)
    world.run(since + 300)
    sound = {one.id for one in world.all} - {one.id for one in ill}
    measures |= _alarms(world, since, sound)
    world.broken["few false failures"] += measures["false_failed_h"] > 5.0
    return _end(world, measures)


def deaf(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """One process answers and hears 2 to 4 s late, all along: what it says of the others must not count for much."""
    world, measures = _begin(seed, size, settings, make)
    ill, since = world.all[-1], world.now
    ill.slow = 4.0
    world.run(since + 300)
    measures |= _alarms(world, since, {one.id for one in world.all} - {ill.id})
    measures["ill_failed_h"] = _alarms(world, since, {ill.id})["false_failed_h"]
    world.broken["no false failure"] += measures["false_failed_h"] > 0.05
    ill.slow = 0.0
    world.broken["converged"] += world.settle(60) is None
    return _end(world, measures)


def cut(seed: int, size: int, settings: MembersSettings, make: type[Swim], one_way: bool = False) -> Measures:
    """A zone is cut off until both sides hold the other for failed; then the cut heals."""
    world, measures = _begin(seed, size, settings, make)
    zones = {"a", "b", "c"}
    away = [one for one in world.all if one.zone == "c"]
    ids = {one.id for one in away}
    since = world.now
    for other in zones - {"c"}:
        world.network.cuts |= {(other, "c")} if one_way else {(other, "c"), ("c", other)}

    def parted() -> bool:
        return all(
            not (world.sees(one) & (set() if one.id in ids else ids) or world.sees(one) - ids and one.id in ids)
            for one in world.all
        )

    if one_way:
        world.run(since + 90)
    else:
        took = world.settle(300, parted)
        measures["parted_s"] = took
        world.broken["parted"] += took is None
        world.run(world.now + 30)
    healed = world.now
    if not one_way:
        near = {one.id: one.id in ids for one in world.all}
        measures["own_side_failed"] = sum(
            one.at >= since and one.heard.standing is FAILED and near[one.by] == near[one.heard.peer.id]
            for one in world.events
        )
    world.network.cuts.clear()
    took = world.settle(120)
    measures["healed_s"] = took
    world.broken["healed"] += took is None
    if not one_way:
        measures["healing_failed"] = sum(
            one.at >= healed and one.heard.standing is FAILED and near[one.by] == near[one.heard.peer.id]
            for one in world.events
        )
        world.broken["own side stays"] += measures["own_side_failed"] + measures["healing_failed"] > 0
    return _end(world, measures)


def one_way(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """A cut that loses the messages of one direction only."""
    return cut(seed, size, settings, make, one_way=True)


def idle(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """Nothing happens: what it costs a process."""
    world, measures = _begin(seed, size, settings, make)
    world.run(world.now + 60)
    packets, sent, cpu = world.packets, world.bytes, world.cpu
    span = 120
    world.run(world.now + span)
    each = 1 / (span * size)
    measures |= {
        "packets_s": round((world.packets - packets) * each, 2),
        "bytes_s": round((world.bytes - sent) * each, 1),
        "cpu_s_h": round((world.cpu - cpu) * each * 3600, 2),
    }
    world.broken["bounded"] += measures["packets_s"] > 2.6 or measures["bytes_s"] > 900
    return _end(world, measures)


def returns(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """Crashes, goodbyes and returns with the folder and without, while old packets are sent again."""
    world, measures = _begin(seed, size, settings, make)
    world.network.replay, world.network.replay_s = 0.05, (1.0, 60.0)
    world.run(world.now + 20)
    worst = 0.0
    for turn in range(6):
        process = world.random.choice(world.all[1:])
        old, wait = process.id, world.random.choice([0.5, 40.0])
        if turn % 3 == 2:
            world.leave(process, 1.0)
            world.run(world.now + 2)
        else:
            world.crash(process, folder_lost=turn % 3 == 1)
        world.run(world.now + wait)
        began = world.now
        world.start(process)
        took = world.settle(60)
        world.broken["converged"] += took is None
        worst = max(worst, took or 60)
        told = [
            one
            for one in world.events
            if one.at >= began
            and one.heard.peer.id == process.id
            and one.heard.standing is ALIVE
            and one.by != process.id
        ]
        if wait > 30 and old == process.id:
            world.broken["returned"] += not told or not all(one.heard.returned for one in told)
        if old != process.id:
            world.broken["returned"] += any(one.heard.returned for one in told)
        quiet = world.now
        world.run(world.now + 30)
        _no_ghosts(world, quiet)
    measures["back_s"] = worst
    return _end(world, measures)


def lies(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """Every second somebody with the key says what is not so, of the living, of the dead and of nobody."""
    world, measures = _begin(seed, size, settings, make)
    random, dead = world.random, world.all[-1]
    world.run(world.now + 10)
    world.crash(dead)
    world.run(world.now + 60)
    quiet = world.now

    def lie() -> None:
        victim, liar, to = random.choice(world.all[:-1]), random.choice(world.all), random.choice(world.all[:-1])
        absurd = random.choice([0, victim.machine.incarnation, victim.machine.incarnation + 1, HIGHEST, 1 << 62, -5])
        ghost = victim.peer().__class__(f"ghost~{random.randrange(9)}", "a", "r", "10.9.9.9", 7000)
        rumours = (
            Rumour(victim.peer(), random.choice([FAILED, SUSPECT, Standing.LEFT]), absurd),
            Rumour(dead.peer(), ALIVE, random.choice([0, HIGHEST + 1])),
            Rumour(ghost, FAILED, 1),
        )
        sender = random.choice([victim.peer(), liar.peer(), to.peer()])
        packet = random.choice(
            [
                Ack(sender, 0, random.getrandbits(62), rumours, target=sender.id),
                Ping(sender, 0, random.getrandbits(62), rumours, to=to.id),
            ]
        )
        world.carry("a", to.address, packet)

    for n in range(120):
        world.at(world.now + n * 0.5, lie)
    world.run(world.now + 60)
    took = world.settle(60)
    measures["refuted_s"] = took
    world.broken["refuted"] += took is None
    _no_ghosts(world, quiet)
    measures["most_known"] = max(len(one.machine.view()) for one in world.running())
    world.broken["bounded"] += measures["most_known"] > size + 20
    return _end(world, measures)


def twin(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """A second process of one name appears while the first runs on: the new one alone counts, for all."""
    world, measures = _begin(seed, size, settings, make)
    world.run(world.now + 70)
    old = world.all[-1]
    new = world.twin(old)

    def only_new() -> bool:
        return all({new.id, old.id} & world.sees(one) == {new.id} for one in world.running() if one is not old)

    measures["taken_over_s"] = world.settle(60, only_new)
    world.broken["taken over"] += measures["taken_over_s"] is None
    quiet = world.now
    late = world.all[0]
    world.crash(late, folder_lost=True)
    world.start(late)
    world.run(world.now + 120)
    world.broken["stays dead"] += sum(
        one.at > quiet and one.heard.standing is ALIVE and one.heard.peer.id == old.id for one in world.events
    )
    world.broken["taken over"] += not only_new()
    return _end(world, measures)


def forget(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """Those that failed are forgotten by all, and stay so."""
    from msgspec.structs import replace

    settings = replace(settings, forget_s=60.0, exchange_s=5.0)
    world, measures = _begin(seed, size, settings, make)
    world.run(world.now + 10)
    for process in world.all[-2:]:
        world.crash(process)
        world.run(world.now + 20)
    world.run(world.now + 60)
    # One that joins now hears of the dead from those that still hold them; it must not keep them for the others.
    late = world.all[-1]
    world.crash(late, folder_lost=True)
    world.start(late)
    world.run(world.now + 150)
    gone = [one for one in world.running() for known in one.machine.view() if not world.is_up(known)]
    world.broken["forgotten"] += len(gone)
    world.broken["converged"] += not world.agreed()
    return _end(world, measures)


def all_at_once(seed: int, size: int, settings: MembersSettings, make: type[Swim]) -> Measures:
    """Everything for four minutes: loss, delay, copies, pauses, slowness, crashes, returns, cuts. Then peace."""
    world, measures = _begin(seed, size, settings, make)
    random, until = world.random, world.now + 240
    world.network.loss, world.network.twice, world.network.astray, world.network.replay = 0.1, 0.05, 0.05, 0.05

    def trouble() -> None:
        if world.now >= until:
            return
        process = random.choice(world.all)
        kind = random.randrange(6)
        if not process.up:
            world.start(process)
        elif kind == 0:
            world.crash(process, folder_lost=random.random() < 0.3)
        elif kind == 1:
            world.leave(process)
        elif kind == 2:
            world.pause(process, random.uniform(1, 5))
        elif kind == 3:
            process.slow = random.choice([0.0, 0.7, 2.0])
        elif kind == 4:
            world.network.cuts = {(random.choice("abc"), random.choice("abc"))}
        else:
            world.network.cuts = set()
        world.at(world.now + random.expovariate(1.0), trouble)

    trouble()
    world.run(until + 2)
    world.network.loss, world.network.cuts = 0.0, set()
    for process in world.all:
        process.slow = 0.0
    took = world.settle(180)
    measures["peace_s"] = took
    world.broken["converged"] += took is None
    since = world.now
    world.run(world.now + 60)
    _no_ghosts(world, since)
    world.network.replay = 0.0
    world.run(world.now + 61)
    world.broken["converged"] += world.settle(60) is None
    names = [name_of(one) for one in world.sees(world.running()[0])] if world.running() else []
    world.broken["one life"] += len(names) != len(set(names))
    most = max((len(one.machine._rumours) for one in world.running()), default=0)
    measures["untold"] = most
    world.broken["bounded"] += most > 4 * log2(size + 1) + 20
    return _end(world, measures)


STORIES: dict[str, Story] = {
    "crash": crash,
    "loss": loss,
    "pauses": pauses,
    "long-pauses": long_pauses,
    "weary": weary,
    "slow": deaf,
    "cut": cut,
    "one-way": one_way,
    "idle": idle,
    "returns": returns,
    "twin": twin,
    "lies": lies,
    "forget": forget,
    "all": all_at_once,
}
