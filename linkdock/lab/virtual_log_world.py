"""A virtual clock and network with processes of the replicated log, clients and an operator; all from one seed."""

from __future__ import annotations

import heapq
from random import Random

from ..cluster.errors import ClusterError, NotLeading
from ..cluster.interface import Config, Entry, Stored, name_of
from ..cluster.log.core import founded
from ..cluster.log.settings import LogSettings
from .virtual_log_checks import Checks
from .virtual_log_node import Node

SMALL = LogSettings(most_open=64, most_append=400, most_flights=4, piece=120, most_pieces=3, most_applied=16)
GIVE_UP = (0.05, 0.6)  # seconds a client waits for an answer before it asks elsewhere, one or the other


class Client:
    """Writes one value after the other, each until it is answered."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.number, self.begun = world, name, 0, 0.0
        self.waits: tuple[str, int, int, int] | None = None  # node, its cycle, term, index
        self.asked, self.hint = 0, None
        self.next()

    def next(self) -> None:
        self.number += 1
        self.begun, moment = self.world.now, self.world.moment()
        self.world.writes[self.name, self.number] = (self.name, self.number, self.value, moment, None)
        self.ask()

    @property
    def value(self) -> str:
        return f"{self.name}.{self.number}"

    def ask(self) -> None:
        world = self.world
        self.waits, self.asked = None, self.asked + 1
        asked = self.asked
        node = world.nodes.get(self.hint) or world.random.choice(list(world.nodes.values()))
        self.hint = None
        wait = 0.02
        if node.up and not node.paused:
            try:
                data = f"{self.name}:{self.number}:{self.value}".encode()
                term, index = node.core.propose(node.clock(), data + b" " * world.random.choice((0, 0, 60)))
                self.waits, self.hint, wait = (node.id, node.cycle, term, index), node.id, world.random.choice(GIVE_UP)
                world.waiting[node.id, index] = self
                node.turn()
            except NotLeading as error:
                self.hint = error.leader
            except ClusterError:
                wait = 0.1
        world.after(wait, self.late, asked)

    def late(self, asked: int) -> None:
        if asked == self.asked:
            if self.waits and self.world.random.random() < 0.5:
                self.hint = None
            self.ask()

    def told(self, node: Node, entry: Entry) -> None:
        if self.waits != (node.id, node.cycle, entry.term, entry.index):
            return
        world = self.world
        world.checks.answered(entry.index)
        world.writes[self.name, self.number] = (*world.writes[self.name, self.number][:4], world.moment())
        world.last_answer = self.begun
        self.waits, self.asked = None, self.asked + 1
        world.after(world.random.expovariate(1 / world.pace), self.next)


class World:
    """Time is in true seconds; each process has its own clock. `run(until)` raises Broken."""

    def __init__(
        self, seed: int, count: int, settings: LogSettings = SMALL, clients: int = 3, pace: float = 0.03
    ) -> None:
        self.random, self.settings, self.pace = Random(seed), settings, pace
        self.now, self.events, self._number, self._moment = 0.0, [], 0, 0
        self.checks = Checks(settings.election)
        self.nodes: dict[str, Node] = {}
        self.cut: set[tuple[str, str]] = set()
        self.epoch: dict[tuple[str, str], int] = {}
        self.loss = self.double = self.far = 0.0
        self.delay = (0.0005, 0.004)  # seconds that a message takes
        self.slow_disk, self.image_every = 0.1, self.random.choice((8, 20, 60, 100000))
        self.waiting: dict[tuple[str, int], Client] = {}
        self.writes: dict[tuple[str, int], tuple] = {}
        self.reads: list[tuple[int, str]] = []
        self.last_answer = -1.0  # when the write was begun that was answered last
        self.task: dict | None = None
        names = tuple(f"n{k}~0" for k in range(count))
        self.first = founded(names).image
        for name in names:
            self.add(name, founded(names))
        self.clients = [Client(self, f"c{k}") for k in range(clients)]
        self.after(0.05, self.operate)
        self.after(0.02, self.look)

    # --- Events.

    def after(self, wait: float, call, *args: object) -> None:
        self._number += 1
        heapq.heappush(self.events, (self.now + wait, self._number, call, args))

    def run(self, until: float) -> None:
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(events)
            call(*args)
        self.now = until

    def due(self, node: Node) -> None:
        at = max(self.now, self.now + (node.core.next_due() - node.clock()) / node.rate) + 1e-6
        if node.tick_at <= self.now or at < node.tick_at - 1e-6:
            node.tick_at = at
            self.after(at - self.now, self._tick, node, node.cycle)

    def _tick(self, node: Node, cycle: int) -> None:
        if cycle != node.cycle or node.tick_at > self.now + 1e-9 or node.paused:
            return
        node.tick_at = 0.0
        if node.core.next_due() <= node.clock():
            node.tick()
        else:
            self.due(node)

    def moment(self) -> int:
        """Counts up: the order of what happens at one time."""
        self._moment += 1
        return self._moment

    # --- Processes and the network between them.

    def add(self, id: str, stored: Stored) -> Node:
        self.nodes[id] = node = Node(self, id, stored, Random(self.random.getrandbits(64)))
        return node

    def send(self, sender: str, to: str, message: object) -> None:
        random = self.random
        if (sender, to) in self.cut or (self.loss and random.random() < self.loss):
            return
        for _ in range(2 if self.double and random.random() < self.double else 1):
            wait = random.uniform(*self.delay)
            if self.far and random.random() < self.far:
                wait = random.expovariate(8)
            self.after(wait, self._deliver, sender, to, message, self.epoch.get((sender, to), 0))

    def _deliver(self, sender: str, to: str, message: object, epoch: int) -> None:
        node = self.nodes.get(to)
        if node and node.up and epoch == self.epoch.get((sender, to), 0):
            node.receive(sender, message)

    def restart(self, node: Node) -> None:
        if not node.up and not node.lost:
            node.start()

    def pause(self, node: Node, seconds: float) -> None:
        if node.up:
            node.resume = self.now + seconds
            self.after(seconds, self._wake, node, node.cycle)

    def _wake(self, node: Node, cycle: int) -> None:
        if cycle == node.cycle and not node.paused:
            self.look_at(node)  # a lease from before the pause must not be believed
            node.wake()

    # --- Clients.

    def applied(self, node: Node, entry: Entry, said: str) -> None:
        client = self.waiting.pop((node.id, entry.index), None)
        if client:
            client.told(node, entry)

    def look(self) -> None:
        """Read wherever it is allowed."""
        for node in list(self.nodes.values()):
            self.look_at(node)
        self.after(0.02, self.look)

    def look_at(self, node: Node) -> None:
        value = node.read()
        if value is not None:
            self.checks.read(node)
            self.reads.append((self.moment(), value))

    # --- The operator: one change after the other until it is made.

    def leaders(self) -> list[Node]:
        leading = [n for n in self.nodes.values() if n.up and not n.paused and n.core.leading]
        return sorted(leading, key=lambda n: -n.core.term)

    def operate(self) -> None:
        for node in self.leaders()[:2] if self.task else ():
            want = self._wanted(node.core.config)
            if want is None:
                if node.core.commit >= node.core.log.config_index and node is self.leaders()[0]:
                    self.task = None
                    break
                continue
            try:
                node.core.change(node.clock(), want)
                node.turn()
            except ClusterError:
                pass
            if not self.task:
                break
        self.after(0.05, self.operate)

    def _wanted(self, config: Config) -> Config | None:
        add, remove = self.task.get("add"), self.task.get("remove")
        voters, learners = config.voters, config.learners
        if remove in voters and (self.task.get("first") or not add or add in voters):
            return Config(tuple(v for v in voters if v != remove), learners)
        if add and add not in voters:
            if add not in learners:
                return Config(voters, (*learners, add))
            return Config((*voters, add), tuple(x for x in learners if x != add))
        return None

    def newcomer(self, name: str | None = None) -> str:
        """Start a process with an empty folder: a new one, or the next life of `name`."""
        lives = [n for n in self.nodes if name_of(n) == name]
        id = f"{name}~{len(lives)}" if name else f"n{len({name_of(n) for n in self.nodes})}~0"
        self.add(id, Stored())
        return id
