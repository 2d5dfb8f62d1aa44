"""The replicated log with seven voters and a learner in each sender: the only way of today to tell all of something.

Hollow: every process runs the program's own log (`cluster/log/`), and `cluster/wire.py` for each frame; no disk, no
sockets, no steering. Its bounds on learners and links are passed over here, and stand in docs/CAPACITY.md. Network and
clock are virtual: what a change takes does not hold the leader's processor time, which is a figure of its own.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from itertools import count
from random import Random

import msgspec

from ...cluster.interface import Config, Image, Kind, Stored
from ...cluster.log.core import Core
from ...cluster.log.settings import LogSettings
from .measuring import FrameCodec
from .members_mesh import LIFE, ZONES
from .rows import Figure

VOTERS = 7  # unless a run says otherwise
SETTINGS = LogSettings(heartbeat=0.15, election=1.0, span=1.0)  # as deploy/cluster.json has it by default
STEP, SETTLED, IDLE, BETWEEN = 0.1, 0.5, 1.5, 0.4  # seconds
CHANGES = 5  # proposed one by one
CHANGE = 400  # bytes of a change
TURN = 0.001  # seconds of a turn of a process's loop: what comes in meanwhile is answered together
NEAR, FAR = (0.0005, 0.002), (0.005, 0.04)  # seconds of a message within a zone and between zones


class Replica:
    """One process's log; `seconds` is what it computed."""

    def __init__(self, number: int, config: Config, seed: int) -> None:
        """The process of that number in `config`, voters counted first, with an empty log."""
        self.id, self.zone = (*config.voters, *config.learners)[number], number % ZONES
        self.core = Core(self.id, Stored(image=Image(0, 0, config, b"")), SETTINGS, seed, 0.0)
        self.seconds, self.due, self.turning = 0.0, 0.0, False


def config_of(senders: int, voters: int) -> Config:
    """A configuration of so many voters, and one learner for each sender."""
    names = [f"sender-{n:04d}~{LIFE + n}" for n in range(voters + senders)]
    return Config(tuple(names[:voters]), tuple(names[voters:]))


class Fleet:
    """Voters first, then a learner for each sender. `leader` is the first voter until `elect` has found who leads."""

    def __init__(self, senders: int, seed: int, voters: int = VOTERS) -> None:
        """All processes of the fleet at time 0, with nobody leading yet."""
        self.random, self.now, self.voters = Random(seed), 0.0, voters
        self.config = config_of(senders, voters)
        self.replicas = [Replica(n, self.config, seed + n) for n in range(voters + senders)]
        self.by_id = {one.id: one for one in self.replicas}
        self.codec = FrameCodec()
        self.bytes_of_leader = self.frames = 0
        self.applied: dict[tuple[str, int], float] = {}
        self._events: list[tuple[float, int, Replica, Callable[[Replica], None]]] = []
        self._order = count()
        self.leader = self.replicas[0]
        for one in self.replicas:
            self._at(one)

    def _at(self, one: Replica) -> None:
        due = one.core.next_due()
        if due != one.due:
            one.due = due
            heapq.heappush(self._events, (due, next(self._order), one, self._tick))

    def _tick(self, one: Replica) -> None:
        if one.core.next_due() <= self.now:
            one.due = 0.0
            self.hand_in(one, lambda: one.core.tick(self.now))

    def hand_in(self, one: Replica, what: Callable[[], object]) -> object:
        """One fact for a log. What is ready then is done at the end of the loop's turn, with all that came by then."""
        began = time.process_time()
        made = what()
        one.seconds += time.process_time() - began
        if not one.turning:
            one.turning = True
            heapq.heappush(self._events, (self.now + TURN, next(self._order), one, self._turn))
        return made

    def _turn(self, one: Replica) -> None:
        """Do all that is ready, the disk being done at once."""
        one.turning = False
        began = time.process_time()
        steps = list(iter(one.core.ready, None))
        one.seconds += time.process_time() - began
        for ready in steps:
            for to, message in ready.messages:
                self._send(one, self.by_id[to], message)
            for entry in ready.committed:
                if entry.kind == Kind.COMMAND:
                    self.applied[one.id, entry.index] = self.now
        self._at(one)

    def _send(self, one: Replica, to: Replica, message: object) -> None:
        sealing, opening = self.codec.sealing.seconds, self.codec.opening.seconds
        size = self.codec.carry(message)
        one.seconds += self.codec.sealing.seconds - sealing
        to.seconds += self.codec.opening.seconds - opening
        if self.leader in (one, to):
            self.bytes_of_leader, self.frames = self.bytes_of_leader + size, self.frames + 1
        trip = self.random.uniform(*(NEAR if one.zone == to.zone else FAR))

        def arrives(to: Replica) -> None:
            self.hand_in(to, lambda: to.core.step(self.now, one.id, message))

        heapq.heappush(self._events, (self.now + trip, next(self._order), to, arrives))

    def elect(self) -> None:
        """Go on until one leads and all follow it."""
        while not any(one.core.leading for one in self.replicas[: self.voters]):
            self.run(self.now + STEP)
        self.leader = next(one for one in self.replicas[: self.voters] if one.core.leading)
        self.run(self.now + SETTLED)

    def run(self, until: float) -> None:
        """Go on until the virtual clock is at `until`, in seconds."""
        while self._events[0][0] <= until:
            at, _, one, what = heapq.heappop(self._events)
            self.now = max(self.now, at)
            what(one)
        self.now = until


def measure(size: int, seed: int) -> list[Figure]:
    """At rest for a while, then some changes one by one."""
    fleet = Fleet(size, seed)
    fleet.elect()
    learners = fleet.replicas[VOTERS:]
    spent, sent, before = fleet.leader.seconds, fleet.bytes_of_leader, sum(one.seconds for one in learners)
    fleet.run(fleet.now + IDLE)
    idle_seconds, idle_bytes = (fleet.leader.seconds - spent) / IDLE, (fleet.bytes_of_leader - sent) / IDLE
    learner_seconds = (sum(one.seconds for one in learners) - before) / IDLE / size
    halves, lasts = [], []
    spent, sent = fleet.leader.seconds, fleet.bytes_of_leader
    for _ in range(CHANGES):
        began = fleet.now
        _, index = fleet.hand_in(fleet.leader, lambda: fleet.leader.core.propose(fleet.now, bytes(CHANGE)))
        fleet.run(fleet.now + BETWEEN)
        times = sorted(fleet.applied[one.id, index] - began for one in learners if (one.id, index) in fleet.applied)
        if len(times) < size:
            raise RuntimeError(f"a change came to {len(times)} of {size} within {BETWEEN} s")
        halves.append(times[len(times) // 2])
        lasts.append(times[-1])
    whole = BETWEEN * CHANGES
    change_bytes = (fleet.bytes_of_leader - sent - idle_bytes * whole) / CHANGES
    change_seconds = (fleet.leader.seconds - spent - idle_seconds * whole) / CHANGES
    return [
        Figure("leader: wire bytes a second at rest, sent and received", "B/s", idle_bytes),
        Figure("leader: processor time a second at rest", "s/s", idle_seconds),
        Figure("leader: wire bytes of a change", "B", max(0.0, change_bytes)),
        Figure("leader: processor time of a change", "s", max(0.0, change_seconds)),
        Figure("learner: processor time a second at rest", "s/s", learner_seconds),
        Figure("learner: wire bytes a second at rest, sent and received", "B/s", idle_bytes / (size + VOTERS - 1)),
        Figure("a change: in force at half of the senders", "s", sorted(halves)[CHANGES // 2]),
        Figure("a change: in force at all senders", "s", max(lasts)),
        Figure("bytes of the entry that says who follows", "B", len(msgspec.msgpack.encode(fleet.config))),
    ]
