"""One process of the fleet: its folder, its log, its membership and its links, in the process's own event loop.

Whoever delivers messages must not wait for any of it. Everything here that takes time is a task of its own or a
thread's, and a node that cannot go on says so once and is silent from then on.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Coroutine
from pathlib import Path
from random import Random

import msgspec

from ..errors import log_line
from .disk import Files, FolderInUse, StorageFailed
from .engine import Alarm, Change, Engine
from .errors import ClusterError, NoQuorum
from .holding import Holding
from .interface import AnyPacket, Message, Peer, Post, Rumour, name_of
from .leases import Answer, Command, Held, State
from .links import Links, bind
from .log.settings import LogSettings
from .members.settings import MembersSettings
from .members.swim import Swim
from .proposals import Proposals
from .settings import ClusterSettings, address, key_of, read
from .steering import Steering
from .storage import Storage
from .wire import Answered, AnyFrame, AskFresh, Forward, Fresh, Seal

log = logging.getLogger(__name__)

TRY_AGAIN = 1.0  # seconds until a folder or port that another process has is tried again
DEADLINE = 2.0  # seconds of a proposal, if its caller does not say
NOWHERE = "-"  # the zone of a process that is not told any
LOOK = 0.01  # seconds between looks whether another one leads, at the end


class Reading(msgspec.Struct, frozen=True):
    """The state as applied here, not to be changed; `fresh`: it was the newest when asked.

    Else it is as of `index`, and a leader was last heard `age` seconds ago (inf: never). One that was cut off itself
    goes on for an election time-out: add that.
    """

    state: State
    index: int
    fresh: bool
    age: float


class Node:
    """Owner of the engine, the links and the tasks. Made by `open_node`; given back by `close`.

    `failed` says why it takes no part any more; all but `close`, `read`, `view` and `stats` then raise it.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        name: str,
        folder: Path,
        loop: asyncio.AbstractEventLoop,
        files: Files | None = None,
    ) -> None:
        """Raises OptionError for a key that cannot be read. All else that is wrong is `failed`, and said once."""
        self.settings, self.name, self._folder, self._loop, self._files = settings, name, folder, loop, files
        self.clock = loop.time
        self._key, self._random = key_of(settings), Random(os.urandom(16))
        self.id = ""
        self.failed: ClusterError | None = None
        self.engine: Engine | None = None  # none until the folder and the port are free
        self._storage: Storage | None = None
        self._sockets: tuple = ()
        self._tasks: set[asyncio.Task] = set()
        self._watchers: list[Change] = []
        self._closing = self._said = False

    # --- The start.

    def start(self) -> None:
        """Take part, at once or as soon as the folder and the port are free."""
        if self._closing:
            return
        try:
            self._storage = Storage(self._folder, int(self.settings.disk_mb * 1e6), self._files)
            self._sockets = bind(*address(self.settings.listen))
            self._take_part(self._storage, self._sockets)
        except (FolderInUse, OSError) as bad:
            self._give_back()
            if not self._said:
                log.warning("the cluster waits for its folder or its port: %s", bad)
            self._said = True
            self._loop.call_later(TRY_AGAIN, self.start)
        except ClusterError as bad:
            self._fail(bad)
        except ValueError as bad:
            self._fail(ClusterError(str(bad)))

    def _give_back(self) -> None:
        for one in self._sockets:
            one.close()
        if self._storage is not None:
            self._storage.close()
        self._sockets, self._storage = (), None

    def _take_part(self, storage: Storage, sockets: tuple) -> None:
        told = self.settings
        self.id = f"{self.name}~{storage.life}"
        host, port = sockets[0].getsockname()[:2]
        if told.advertise:
            host, port = address(told.advertise)
        self._routes = {name: address(where) for name, where in told.routes.items()}
        probe, election = told.probe_ms / 1000, told.election_ms / 1000
        self.members = Swim(
            Peer(self.id, told.zone or NOWHERE, told.region, host, port),
            MembersSettings(
                probe_s=probe, answer_s=0.4 * probe, nack_s=0.3 * probe, join_s=min(0.5, probe), retry_s=5 * probe
            ),
            self._random.getrandbits(32),
            int(time.time()),
        )
        self.links = Links(
            Seal(self._key, told.cluster, self.id),
            sockets,
            self._where,
            self._on_frame,
            self._on_packet,
            self.spawn,
            self.clock,
            self._random,
        )
        engine = Engine(
            self.id,
            storage,
            LogSettings(heartbeat=told.heartbeat_ms / 1000, election=election, span=election, drift=told.drift),
            told.drift,
            self._random,
            self._loop,
            self.links.send,
        )
        self._proposals = Proposals(f"{self.id}#{os.urandom(8).hex()}", engine, self.links.send, self.clock, election)
        self.holding = Holding(self.id, told.drift, self.propose, self.spawn, self.clock)
        self._gossip_due, self._steer_due = Alarm(self._loop), Alarm(self._loop)
        self.steering = Steering(self, self._steer_due)
        engine.applied, engine.led = self._proposals.applied, self._proposals.leader_changed
        engine.changed, engine.watchers = self._steer_due.set, self._watchers
        self.engine = engine
        for work in (self.links.sweep(), self._run(), self._gossip(), self.steering.run()):
            self.spawn(work)

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run `work` as a task that is cancelled with this process's node, and whose failure is logged."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task of the cluster failed", exc_info=task.exception())
            self._fail(ClusterError(f"a task failed: {task.exception()!r}"))

    async def _run(self) -> None:
        try:
            await self.engine.run()
        except StorageFailed as bad:
            self._fail(bad)

    def _fail(self, bad: ClusterError) -> None:
        """Take no part any more, for good: what was promised may be lost, or cannot be kept."""
        if self.failed is not None:
            return
        self.failed = bad
        log.error("%s", log_line(bad))
        if self.engine is None:
            self._give_back()
            return
        self._proposals.fail(bad)
        self.holding.lose_all()
        self.links.close()
        for task in list(self._tasks):
            task.cancel()

    # --- The others.

    def _where(self, peer_id: str) -> tuple[str, int] | None:
        route = self._routes.get(name_of(peer_id))
        if route is not None:
            return route
        record = self.members.table.get(peer_id)
        return None if record is None else (record.peer.host, record.peer.port)

    def _on_frame(self, sender: str, message: AnyFrame) -> None:
        if isinstance(message, Message):
            self.engine.step(sender, message)
        elif isinstance(message, Forward):
            self._proposals.forwarded(sender, message)
        elif isinstance(message, Answered):
            self._proposals.answered(message)
        elif isinstance(message, AskFresh):
            self.links.send(sender, Fresh(not self.engine.core.config.voters))
        elif isinstance(message, Fresh):
            self.steering.told(sender, message.fresh)

    def _on_packet(self, packet: AnyPacket) -> None:
        self._post(self.members.receive(self.clock(), packet), packet.sender)
        self._gossip_due.set()

    def _post(self, out: list, asker: Peer | None = None) -> None:
        """Send the packets, and tell `steering` of changes.

        An answer goes to where its asker says it is. A process that came back at another port, and is still known at
        the old one, would never hear there that it has to raise its incarnation.
        """
        for one in out:
            if not isinstance(one, Post):
                self.steering.heard(one)
                continue
            if asker is not None and one.to == asker.id and name_of(one.to) not in self._routes:
                where = asker.host, asker.port
            else:
                where = address(one.to) if one.seed else self._where(one.to)
            if where is not None:
                self.links.post(where, one.packet)

    async def _gossip(self) -> None:
        await self.links.open()
        self._post(self.members.join(self.clock(), list(self.settings.seeds)))
        while True:
            await self._gossip_due.wait(self.members.next_due())
            self._post(self.members.tick(self.clock()))

    # --- What the other packages call.

    def _taking_part(self) -> None:
        if self.failed is not None:
            raise self.failed
        if self.engine is None or self._closing:
            raise NoQuorum("this process does not take part now")

    async def propose(self, command: Command, deadline: float = DEADLINE) -> Answer:
        """The state's answer, carried out once, within `deadline` seconds.

        Raises NoQuorum (in doubt: it may still take effect), TooBusy, TooLarge, or what this node has failed by.
        """
        self._taking_part()
        return await self._proposals.propose(command, deadline)

    async def acquire(self, name: str, ttl: float, deadline: float = DEADLINE) -> Held | Answer:
        """A lease of `ttl` seconds, renewed until released; or why not (Taken, Refused, Lost). Raises like `propose`.

        Whatever is done under it goes by `held.holds(clock())` and carries `held.token` to the resource's Fence.
        """
        self._taking_part()
        return await self.holding.acquire(name, ttl, deadline)

    async def renew(self, held: Held) -> bool:
        """At once, beside the renewals at a third of its time. Whether it is held on. Raises like `propose`."""
        self._taking_part()
        return await self.holding.renew(held)

    async def release(self, held: Held, deadline: float = DEADLINE) -> bool:
        """Whether it was still held. Nothing may be done under it from the call on. Raises like `propose`."""
        self._taking_part()
        return await self.holding.release(held, deadline)

    def read(self) -> Reading:
        """The state as it is known here, and how old it may be. Never waits."""
        engine, now = self.engine, self.clock()
        if engine is None:
            return Reading(State(), 0, False, float("inf"))
        core = engine.core
        fresh = self.failed is None and engine.index == core.commit and core.may_read(now)
        return Reading(engine.state, engine.index, fresh, 0.0 if fresh else now - engine.heard)

    def watch(self, callback: Change) -> None:
        """Call it after each applied change with (index, command, answer); with (index, None, None) all may have."""
        self._watchers.append(callback)

    def view(self) -> dict[str, Rumour]:
        """The members as this process sees them, by id; empty while it takes no part."""
        return {} if self.engine is None else self.members.view()

    def stats(self) -> dict:
        """Figures, as plain values."""
        engine, failed = self.engine, self.failed
        told = {"id": self.id, "failed": None if failed is None else failed.code}
        if engine is None:
            return told
        core, state = engine.core, engine.state
        standings = [rumour.standing.name.lower() for rumour in self.members.view().values()]
        return {
            **told,
            "term": core.term,
            "leader": core.leader,
            "leading": core.leading,
            "commit": core.commit,
            "applied": engine.index,
            "voters": list(core.config.voters),
            "learners": len(core.config.learners),
            "leases": len(state.leases),
            "keys": len(state.register),
            "open": len(self._proposals),
            "held": len(self.holding.held),
            "disk_bytes": engine.storage.used,
            "writes": engine.writes,
            "longest_write_ms": round(1000 * engine.longest_write, 3),
            "health": self.members.health(),
            **{f"members_{name}": standings.count(name) for name in set(standings)},
            **self.links.count,
        }

    # --- The end.

    async def close(self) -> None:
        """Hand over, say good-bye, and give back folder, sockets, tasks and thread; within `stop_s` and some."""
        if self._closing:
            return
        self._closing, engine = True, self.engine
        if engine is None:
            self._give_back()
            return
        if self.failed is None:
            self.holding.lose_all()
            await self._hand_over(engine)
            self._post(self.members.leave(self.clock()))
            self._proposals.fail(NoQuorum("this process ends"))
        self.links.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await engine.close()

    async def _hand_over(self, engine: Engine) -> None:
        until = self.clock() + self.settings.stop_s
        if engine.core.leading and engine.core.hand_over(self.clock()) is not None:
            engine.wake()
            while engine.core.leading and self.clock() < until and self.failed is None:
                await asyncio.sleep(LOOK)


def open_node(text: bytes, config: object, loop: asyncio.AbstractEventLoop) -> Node:
    """The node that `deploy/cluster.json`'s text describes, taking part. `config`: the sender's, with name and state.

    Raises OptionError for a file that cannot be right; what is wrong with disk or port is the node's, never raised.
    """
    told = read(text)
    zone = getattr(config, "zone", "")  # where RELAY_CONFIG says it
    if zone:
        told = msgspec.structs.replace(told, zone=zone)
    node = Node(told, config.name, Path(config.state) / "cluster", loop)
    node.start()
    return node
