"""The membership alone, many processes on one virtual clock with a bad network: one seed is one schedule."""

from __future__ import annotations

import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

import msgspec

from ..cluster.interface import MOST_DATAGRAM, Heard, Packet, Peer, Post, Rumour, Standing, name_of
from ..cluster.members.settings import MembersSettings
from ..cluster.members.swim import Swim

ZONES = ("a", "b", "c")
MOST_INBOX = 256  # datagrams that a paused process's socket keeps
_encode = msgspec.msgpack.Encoder().encode


@dataclass
class Network:
    """What befalls datagrams: shares of them, seconds, and the pairs of zones (from, to) between which none passes."""

    loss: float = 0.0
    twice: float = 0.0
    astray: float = 0.0  # delayed by up to `astray_s`, so that others overtake them
    astray_s: float = 2.0
    replay: float = 0.0  # recorded and sent again `replay_s` later
    replay_s: tuple[float, float] = (5.0, 60.0)
    cuts: set[tuple[str, str]] = field(default_factory=set)


@dataclass
class Process:
    """A place where a process runs; its life changes when its folder is lost."""

    number: int
    name: str
    zone: str
    address: str
    life: int = 0
    machine: Swim | None = None
    up: bool = False
    paused: bool = False
    slow: float = 0.0  # seconds that each datagram waits before it is looked at, at the most
    due: float = inf
    inbox: list[Packet] = field(default_factory=list)
    dead: dict[str, int] = field(default_factory=dict)  # who has failed or left at what incarnation, as it was told

    @property
    def id(self) -> str:
        return f"{self.name}~{self.life}"

    def peer(self) -> Peer:
        host, _, port = self.address.partition(":")
        return Peer(self.id, self.zone, "r", host, int(port))


class Event(msgspec.Struct):
    """What one process was told of another, when."""

    at: float
    by: str
    heard: Heard
    was_up: bool  # that life was running then
    knew: bool  # this run of the process had heard before that it failed or left at this incarnation or a higher


class World:
    """All processes and the clock. `make` builds a machine: another class is a planted bug."""

    def __init__(self, seed: int, size: int, settings: MembersSettings | None = None, make: type[Swim] = Swim) -> None:
        self.random, self.seed = Random(seed), seed
        self.settings, self.make = settings or MembersSettings(), make
        self.network, self.now = Network(), 0.0
        self._queue: list[tuple[float, int, Callable, tuple]] = []
        self._order = count()
        self.all = [Process(n, f"p{n}", ZONES[n % len(ZONES)], f"10.0.{n >> 8}.{n & 255}:7000") for n in range(size)]
        self.by_address = {one.address: one for one in self.all}
        self.named = {one.name: [one] for one in self.all}
        self.seeds = [one.address for one in self.all[:3]]
        self.events: list[Event] = []
        self.broken: Counter[str] = Counter()
        self.taped: Process | None = None  # whose last packets are kept, to be sent again by a story
        self.tape: deque[Packet] = deque(maxlen=200)
        self.packets = self.bytes = self.calls = 0
        self.cpu = 0.0

    # --- The clock.

    def at(self, when: float, what: Callable, *told: object) -> None:
        heappush(self._queue, (when, next(self._order), what, told))

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, what, told = heappop(self._queue)
            what(*told)
        self.now = until

    # --- Processes.

    def start(self, process: Process, incarnation: int = 0) -> None:
        """The same life as before, with an empty memory."""
        process.up, process.paused, process.inbox, process.dead = True, False, [], {}
        seed = self.random.getrandbits(32)
        process.machine = self.make(process.peer(), self.settings, seed, incarnation)
        self._call(process, lambda: process.machine.join(self.now, self.seeds))

    def start_all(self, within: float = 2.0) -> None:
        for process in self.all:
            self.at(self.now + self.random.uniform(0, within), self.start, process)

    def twin(self, process: Process) -> Process:
        """Another of the same name with a folder of its own, at an address of its own; the first runs on."""
        other = Process(len(self.all), process.name, process.zone, f"10.1.0.{len(self.all)}:7000", process.life + 1)
        self.all.append(other)
        self.named[process.name].append(other)
        self.by_address[other.address] = other
        self.start(other)
        return other

    def crash(self, process: Process, folder_lost: bool = False) -> None:
        process.up, process.due = False, inf
        process.life += folder_lost

    def leave(self, process: Process, linger: float = 1.0) -> None:
        self._call(process, lambda: process.machine.leave(self.now))
        self.at(self.now + linger, self.crash, process)

    def pause(self, process: Process, seconds: float) -> None:
        if process.up and not process.paused:
            process.paused = True
            self.at(self.now + seconds, self._wake, process, process.machine)

    def _wake(self, process: Process, machine: Swim) -> None:
        if not process.up or process.machine is not machine:
            return
        process.paused = False
        kept, process.inbox = process.inbox, []
        self._tick(process, process.due)
        for packet in kept:
            self._receive(process, machine, packet)

    def _tick(self, process: Process, due: float) -> None:
        if process.up and not process.paused and process.due == due:
            process.due = inf
            self._call(process, lambda: process.machine.tick(self.now))

    def _receive(self, process: Process, machine: Swim, packet: Packet) -> None:
        if not process.up or process.machine is not machine:
            return
        if process.paused:
            if len(process.inbox) < MOST_INBOX:
                process.inbox.append(packet)
            return
        self._call(process, lambda: machine.receive(self.now, packet))

    def _call(self, process: Process, what: Callable[[], list[Post | Heard]]) -> None:
        began = time.process_time()
        out = what()
        due = process.machine.next_due()
        self.cpu += time.process_time() - began
        self.calls += 1
        if due != process.due:
            process.due = due
            if due < inf:
                self.at(max(due, self.now), self._tick, process, due)
        for one in out:
            if isinstance(one, Post):
                self._send(process, one)
            else:
                self._told(process, one)

    def _told(self, process: Process, heard: Heard) -> None:
        peer_id = heard.peer.id
        knew = process.dead.get(peer_id, -1) >= heard.incarnation
        self.events.append(Event(self.now, process.id, heard, self.is_up(peer_id), knew))
        if heard.standing >= Standing.FAILED:
            process.dead[peer_id] = max(heard.incarnation, process.dead.get(peer_id, -1))
        if heard.standing is Standing.ALIVE:
            self.one_life(process, name_of(heard.peer.id))

    # --- Datagrams.

    def _send(self, process: Process, post: Post) -> None:
        size = len(_encode(post.packet))
        if size > MOST_DATAGRAM - 64:
            self.broken["size"] += 1
        if process is self.taped:
            self.tape.append(post.packet)
        self.packets += 1
        self.bytes += size
        if post.seed:
            address = post.to
        else:
            record = process.machine.table.get(post.to)
            if record is None:
                self.broken["no address"] += 1
                return
            address = f"{record.peer.host}:{record.peer.port}"
        self.carry(process.zone, address, post.packet)

    def carry(self, zone: str, address: str, packet: Packet) -> None:
        """One datagram on its way, as the network lets it."""
        to, network, random = self.by_address.get(address), self.network, self.random
        if to is None:
            return
        if network.replay and random.random() < network.replay:
            self.at(self.now + random.uniform(*network.replay_s), self.arrive, to, packet)
        if (zone, to.zone) in network.cuts or random.random() < network.loss:
            return
        for _ in range(1 + (network.twice > 0 and random.random() < network.twice)):
            trip = random.uniform(0.0005, 0.002) if zone == to.zone else random.uniform(0.005, 0.04)
            if network.astray and random.random() < network.astray:
                trip += random.uniform(0, network.astray_s)
            self.at(self.now + trip, self.arrive, to, packet)

    def arrive(self, to: Process, packet: Packet) -> None:
        if not to.up:
            return
        if to.slow:
            self.at(self.now + self.random.uniform(0, to.slow), self._receive, to, to.machine, packet)
        else:
            self._receive(to, to.machine, packet)

    # --- What is so, and what each sees.

    def running(self) -> list[Process]:
        return [one for one in self.all if one.up]

    def is_up(self, peer_id: str) -> bool:
        name, _, life = peer_id.rpartition("~")
        return any(one.up and str(one.life) == life for one in self.named.get(name, ()))

    def one_life(self, process: Process, name: str) -> None:
        lives = [
            one
            for one, rumour in process.machine.view().items()
            if name_of(one) == name and rumour.standing < Standing.FAILED
        ]
        self.broken["one life"] += len(lives) > 1

    def sees(self, process: Process) -> set[str]:
        return {one for one, rumour in process.machine.view().items() if rumour.standing is Standing.ALIVE}

    def agreed(self) -> bool:
        """Whether all that run see just those that run as alive."""
        running = self.running()
        true = {one.id for one in running}
        return all(self.sees(one) == true for one in running)

    def settle(self, within: float, done: Callable[[], bool] | None = None, step: float = 0.5) -> float | None:
        """Seconds until it is `done` (all agree); None if not within so many."""
        began = self.now
        while not (done or self.agreed)():
            if self.now - began >= within:
                return None
            self.run(self.now + step)
        return self.now - began

    def rumour_of(self, process: Process) -> Rumour:
        return Rumour(process.peer(), Standing.ALIVE, process.machine.incarnation)
