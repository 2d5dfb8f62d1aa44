"""What happens to the fleet of `virtual_failover`: each story says when what falls, is cut, is late or comes back."""

from __future__ import annotations

ALL = range(4)  # destinations


class Story:
    """Begins at `begins`; service is counted for messages that came until `over`. `room`: capacity over demand."""

    name, begins, over, ends, deadline, room = "", 15.0, 35.0, 60.0, 5.0, (1.6, 2.2)
    falls: tuple[tuple[int, int], ...] = ()  # what must be found out, by destination and zone
    later: tuple[tuple[int, int], ...] = ()  # and what falls 8 s after

    def __init__(self) -> None:
        self.did: set[str] = set()
        self.falls_ever = {*self.falls, *self.later}

    def prepare(self, world) -> None:
        """Before the first step."""

    def step(self, world, now: float) -> None:
        """Before what the processes do in a step."""

    def once(self, name: str, now: float, at: float) -> bool:
        if now < at or name in self.did:
            return False
        self.did.add(name)
        return True

    @staticmethod
    def down(world, zone: int, destinations=ALL) -> None:
        for d in destinations:
            world.backends[d, zone].fall()

    @staticmethod
    def back(world, zone: int, now: float, destinations=ALL) -> None:
        for d in destinations:
            world.backends[d, zone].rise(now)


class Cut(Story):
    """Zone 0 is cut off while zone 1 lives on its spare: zone 1 takes 0.8 of its own demand."""

    name = "cut"
    falls = tuple((d, 0) for d in ALL)

    def prepare(self, world) -> None:
        for d in ALL:
            world.backends[d, 1].rate = 0.8 * world.demand[d, 1]

    def step(self, world, now: float) -> None:
        if self.once("cut", now, self.begins):
            world.cut.update({frozenset((0, 1)): now, frozenset((0, 2)): now})
        if self.once("mended", now, self.over):
            world.cut.clear()


class Down(Story):
    """The backend servers of zone 0 are down."""

    name = "down"
    falls = tuple((d, 0) for d in ALL)

    def step(self, world, now: float) -> None:
        if self.once("down", now, self.begins):
            self.down(world, 0)
        if self.once("back", now, self.over):
            self.back(world, 0, now)


class Two(Down):
    """Zone 0 falls, and 8 s later zone 1, with little room: what both need is more than zone 2 has."""

    name, room = "two", (1.3, 1.6)
    falls = tuple((d, 0) for d in ALL)
    later = tuple((d, 1) for d in ALL)

    def step(self, world, now: float) -> None:
        super().step(world, now)
        if self.once("second", now, self.begins + 8.0):
            self.down(world, 1)
        if self.once("second back", now, self.over):
            self.back(world, 1, now)


class Tight(Down):
    """Zone 0 falls, and nothing else; with so little room, all of its demand would fell a neighbour."""

    name, room = "tight", (1.15, 1.4)


class Flap(Story):
    """The backend servers of zone 0 go down and come up every 2 s."""

    name = "flap"
    falls = tuple((d, 0) for d in ALL)

    def step(self, world, now: float) -> None:
        for k in range(5):
            if self.once(f"down{k}", now, self.begins + 4 * k):
                self.down(world, 0)
            if self.once(f"up{k}", now, self.begins + 4 * k + 2):
                self.back(world, 0, now)


class Alarm(Story):
    """Seven processes of two zones are cut off from all backend servers, and their reports still come through."""

    name = "alarm"

    def step(self, world, now: float) -> None:
        if self.once("alone", now, self.begins):
            world.alone.update({n: now for n in (3, 6, 9, 12, 4, 7, 10)})
        if self.once("mended", now, self.over):
            world.alone.clear()


class Quiet(Story):
    """Nothing falls; 20 % of datagrams are lost, and each process stops for 1 s four times a minute."""

    name, begins, over = "quiet", 5.0, 55.0

    def prepare(self, world) -> None:
        world.loss, world.pauses = 0.2, 4 / 60


class Lossy(Story):
    """The links between zones 0 and 1 are slow by 0.4 s, and 30 % of datagrams are lost everywhere."""

    name = "lossy"

    def prepare(self, world) -> None:
        world.loss, world.slow = 0.3, {frozenset((0, 1)): 0.4}


class Quorum(Down):
    """Zone 0 falls while reports and decisions pass between no two zones."""

    name = "quorum"
    falls = ()

    def step(self, world, now: float) -> None:
        if self.once("no quorum", now, self.begins - 1.0):
            world.control_cut.update({frozenset(p): now for p in ((0, 1), (0, 2), (1, 2))})
        if self.once("quorum", now, self.over):
            world.control_cut.clear()
        super().step(world, now)

    def __init__(self) -> None:
        super().__init__()
        self.falls_ever = {(d, 0) for d in ALL}


class Held(Story):
    """Destination 0 is down everywhere for 15 s, all hold its messages; zone 0 alone comes back, the others later."""

    name, over, ends, deadline = "held", 30.0, 75.0, 30.0
    falls = tuple((0, z) for z in range(3))

    def step(self, world, now: float) -> None:
        if self.once("down", now, self.begins):
            for z in range(3):
                self.down(world, z, (0,))
        if self.once("back", now, self.over):
            self.back(world, 0, now, (0,))
        if self.once("others", now, self.over + 20):
            self.back(world, 1, now, (0,))
            self.back(world, 2, now, (0,))


STORIES = {one.name: one for one in (Cut, Down, Tight, Two, Flap, Alarm, Quiet, Lossy, Quorum, Held)}
