"""The membership of one real member in a fleet of any size: what it holds, sends and computes, and how soon it learns.

Hollow: the member runs the program's own machine and codec. The others are stand-ins that answer each ping, ping it
once a second in all and ask it as often as members ask one another; where a stand-in is asked for what it knows,
one machine with a full table answers for all of them. Nothing fails. It goes on where a whole mesh no longer fits into
memory.
"""

from __future__ import annotations

import time
from math import inf
from random import Random

from ...cluster.interface import Ack, Join, Packet, Peer, Ping, PingFor, Post, Rumour, Standing, Welcome
from ...cluster.members.settings import MembersSettings
from ...cluster.members.swim import Swim
from .measuring import DatagramCodec, grown
from .members_mesh import LIFE, ZONES
from .rows import Figure

WATCHED = 120.0  # seconds
TRIP = 0.02  # seconds of a datagram on its way
MOST_LEARNING = 3600.0  # seconds after which a restarted member is no longer waited for
NEARLY = 0.99  # share of the fleet that it must know
LOOK = 1.0  # seconds between two looks at how many it knows


def peer(number: int) -> Peer:
    """The member of that number, in one of ten zones; the number can be read from its name."""
    zone = number % ZONES
    host = f"10.{zone}.{number >> 8}.{number & 255}"
    return Peer(f"sender-{number:04d}~{LIFE + number}", f"zone-{zone}", f"region-{zone % 3}", host, 7000)


def standing(number: int, size: int, seed: int) -> Swim:
    """A member that knows all others; each record has texts of its own, as those decoded from datagrams have."""
    settings = MembersSettings(most_members=max(1024, 2 * size))
    machine = Swim(peer(number), settings, seed, 1)
    for other in range(size):
        if other != number:
            machine.table.hear(0.0, Rumour(peer(other), Standing.ALIVE, 1))
    return machine


class Surroundings:
    """One member and the stand-ins round it; `step` goes on to whatever is next."""

    def __init__(self, size: int, seed: int, machine: Swim, seeds: list[str]) -> None:
        """`machine` is the measured member, in a fleet of `size`; it joins by the addresses in `seeds`."""
        self.random, self.size, self.machine = Random(seed), size, machine
        self.settings = machine.settings
        self.codec, self.seconds, self.now = DatagramCodec(), 0.0, 0.0
        self._answers: list[tuple[float, int, Packet]] = []
        self._number = 0
        self._knows_all = standing(1, size, seed + 1)
        self._knows_all.join(0.0, [])
        self._ping_at = self.random.expovariate(1 / self.settings.probe_s)
        self._ask_at = self.random.expovariate(1 / self.settings.exchange_s)
        self._call(lambda: machine.join(0.0, seeds))

    def _call(self, what) -> None:
        began = time.process_time()
        posts = what()
        self._due = self.machine.next_due()
        self.seconds += time.process_time() - began
        for post in posts:
            if isinstance(post, Post):
                self.codec.carry(post.packet)
                self._answer(post)

    def _other(self) -> Peer:
        return peer(self.random.randrange(1, self.size))

    def _arrives(self, packet: Packet) -> None:
        self._number += 1
        self._answers.append((self.now + TRIP, self._number, packet))

    def _answer(self, post: Post) -> None:
        """As the member does that was asked."""
        packet = post.packet
        if isinstance(packet, Ping):
            sender = peer(int(packet.to[7:11]))
            self._arrives(Ack(sender, 1, packet.number, (), target=packet.to))
        elif isinstance(packet, PingFor):
            self._arrives(Ack(self._other(), 1, packet.number, (), target=packet.target))
        elif isinstance(packet, Join):
            for answer in self._knows_all.receive(self.now, packet):
                if isinstance(answer, Post) and isinstance(answer.packet, Welcome):
                    told = answer.packet
                    self._arrives(Welcome(self._other(), 1, told.number, told.rumours))

    def _step(self) -> None:
        due = min(self._due, self._ping_at, self._ask_at, self._answers[0][0] if self._answers else inf)
        self.now = max(self.now, due)
        if self._answers and self._answers[0][0] <= self.now:
            packet = self._answers.pop(0)[2]
            self._receive(packet)
        elif self._ping_at <= self.now:
            self._ping_at += self.random.expovariate(1 / self.settings.probe_s)
            self._receive(Ping(self._other(), 1, self.random.getrandbits(32), (), to=self.machine.me.id))
        elif self._ask_at <= self.now:
            self._ask_at += self.random.expovariate(1 / self.settings.exchange_s)
            self._receive(Join(self._other(), 1, self.random.getrandbits(32)))
        else:
            self._call(lambda: self.machine.tick(self.now))

    def _receive(self, packet: Packet) -> None:
        self.codec.carry(packet)
        self._call(lambda: self.machine.receive(self.now, packet))

    def run(self, until: float) -> None:
        """Go on until the virtual clock is at `until`, in seconds."""
        while self.now < until:
            self._step()


def _learning(size: int, seed: int) -> float:
    """Seconds until a member that restarts with an empty memory knows NEARLY all others, MOST_LEARNING at the most."""
    settings = MembersSettings(most_members=max(1024, 2 * size))
    place = Surroundings(size, seed, Swim(peer(0), settings, seed, 2), [f"{peer(1).host}:7000"])
    while place.machine.table.living < NEARLY * (size - 1) and place.now < MOST_LEARNING:
        place.run(place.now + LOOK)
    return place.now


def measure(size: int, seed: int) -> list[Figure]:
    """One member that stands, and one that restarts."""
    memory, machine = grown(lambda: standing(0, size, seed))
    place = Surroundings(size, seed, machine, [])
    machine._exchange_gap = machine.settings.exchange_s
    place.run(10.0)
    size_before, spent, datagrams = place.codec.bytes, place.seconds + place.codec.seconds, place.codec.datagrams
    place.run(place.now + WATCHED)
    cost = (place.seconds + place.codec.seconds - spent) / WATCHED
    return [
        Figure("memory of the table", "B", memory),
        Figure("wire bytes a second, sent and received", "B/s", (place.codec.bytes - size_before) / WATCHED),
        Figure("datagrams a second, sent and received", "1/s", (place.codec.datagrams - datagrams) / WATCHED),
        Figure("processor time a second", "s/s", cost),
        Figure("a restart: 99 % of the others known again", "s", _learning(size, seed)),
    ]
