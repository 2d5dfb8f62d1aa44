"""One process of the fleet: its folder, its log, its membership and its links, in the process's own event loop.

Danger: whoever delivers messages must not wait for any of it. Everything here that takes time is a task of its own or a
thread's, and a node that cannot go on says so once and is silent from then on.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random

import msgspec

from .disk import Files, FolderInUse, StorageFailed
from .errors import ClusterError, NoQuorum, NotLeading, TooBusy, TooLarge, Torn
from .holding import Holding
from .interface import AnyPacket, Append, Entry, Image, Install, Kind, Message, Peer, Post, Ready, Rumour, Stored
from .leases import Answer, Command, Held, LeaseClock, Refused, State, read_request, request
from .links import Links, bind
from .log.core import Core, founded
from .log.settings import LogSettings
from .members.settings import MembersSettings
from .members.swim import Swim
from .proposals import Proposals
from .settings import ClusterSettings, address, key_of, read
from .steering import Steering
from .storage import Storage
from .wire import Answered, AnyFrame, AskFresh, Forward, Fresh, Seal

log = logging.getLogger(__name__)

APPLY = 64              # entries that are applied before others in the loop have their turn
LONGEST_WAIT = 1.0      # seconds without a look at what is due
TRY_AGAIN = 1.0         # seconds until a folder or port that another process has is tried again
CLOSE = 0.5             # seconds that a write which is under way may take at the end
DEADLINE = 2.0          # seconds of a proposal, if its caller does not say

Change = Callable[[int, Command | None, Answer | None], None]


class Reading(msgspec.Struct, frozen=True):
    """The state as applied here, not to be changed; `fresh`: it was the newest when asked.

    Else it is as of `index`, and a leader was last heard `age` seconds ago (inf: never); one that was cut off itself
    goes on for an election time-out.
    """

    state: State
    index: int
    fresh: bool
    age: float


class Alarm:
    """Wakes one task by a time of the loop's clock, or before."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self._event = loop, asyncio.Event()

    def set(self) -> None:
        self._event.set()

    async def wait(self, due: float) -> None:
        handle = self._loop.call_at(min(due, self._loop.time() + LONGEST_WAIT), self._event.set)
        try:
            await self._event.wait()
        finally:
            handle.cancel()
        self._event.clear()


class Node:
    """Owner of the cluster's folder, sockets, tasks and thread. Made by `open_node`; given back by `close`."""

    def __init__(self, settings: ClusterSettings, name: str, folder: Path, loop: asyncio.AbstractEventLoop,
                 files: Files | None = None) -> None:
        """Raises OptionError for a key that cannot be read. All else that is wrong is `failed`, and said once."""
        self.settings, self.name, self._folder, self._loop, self._files = settings, name, folder, loop, files
        self.clock = loop.time
        self._key, self._random = key_of(settings), Random(os.urandom(16))
        self.state, self._leases = State(), LeaseClock(settings.drift)
        self.id = ""
        self.failed: ClusterError | None = None
        self.core: Core | None = None
        self.members: Swim | None = None
        self.links: Links | None = None
        self._storage: Storage | None = None
        self._thread = ThreadPoolExecutor(1, "cluster-disk")
        self._tasks: set[asyncio.Task] = set()
        self._stirred, self._gossip_due, self._steer_due = Alarm(loop), Alarm(loop), Alarm(loop)
        self._watchers: list[Change] = []
        self._applied = self._applied_term = 0
        self._heard = float("-inf")               # when a leader was
        self._known: tuple[str | None, int] = (None, -1)
        self._closing = self._said_busy = False
        self.writes, self.longest_write = 0, 0.0
        self._proposals = self.holding = None

    # --- The start.

    def start(self) -> None:
        """Take part, at once or as soon as the folder and the port are free."""
        if self._closing:
            return
        try:
            storage = Storage(self._folder, int(self.settings.disk_mb * 1e6), self._files)
        except FolderInUse as bad:
            self._later(bad)
            return
        except (Torn, StorageFailed) as bad:
            self._fail(bad)
            return
        try:
            sockets = bind(*address(self.settings.listen))
        except OSError as bad:
            storage.close()
            self._later(bad)
            return
        try:
            self._take_part(storage, sockets)
        except (ValueError, Torn) as bad:
            self._storage = storage
            self._fail(bad if isinstance(bad, Torn) else Torn(str(bad)))

    def _later(self, bad: Exception) -> None:
        if not self._said_busy:
            log.warning("the cluster waits for its folder and its port: %s", bad)
        self._said_busy = True
        self._loop.call_later(TRY_AGAIN, self.start)

    def _take_part(self, storage: Storage, sockets: tuple) -> None:
        told, now = self.settings, self.clock()
        self._storage, self.id = storage, f"{self.name}~{storage.life}"
        host, port = sockets[0].getsockname()[:2]
        if told.advertise:
            host, port = address(told.advertise)
        me = self.me = Peer(self.id, told.zone, told.region, host, port)
        self._routes = {name: address(where) for name, where in told.routes.items()}
        probe = told.probe_ms / 1000
        self.members = Swim(me, MembersSettings(probe_s=probe, answer_s=0.4 * probe, nack_s=0.3 * probe,
                                                join_s=min(0.5, probe), retry_s=5 * probe),
                            self._random.getrandbits(32), int(time.time()))
        self.links = Links(Seal(self._key, told.cluster, self.id), sockets, self._where, self._on_frame,
                           self._on_packet, self.spawn, self.clock, self._random)
        election = told.election_ms / 1000
        self._log_settings = LogSettings(heartbeat=told.heartbeat_ms / 1000, election=election, span=election,
                                         drift=told.drift)
        self._begin(storage.stored, now)
        storage.stored = Stored()   # the log holds it from now on
        self._proposals = Proposals(f"{self.id}#{os.urandom(8).hex()}", lambda: self.core, self.links.send,
                                    self._stirred.set, self.clock, election)
        self.holding = Holding(self.id, told.drift, self.propose, self.spawn, self.clock)
        self.steering = Steering(self)
        self.spawn(self.links.run())
        self.spawn(self._pump())
        self.spawn(self._gossip())
        self.spawn(self.steering.run(self._steer_due))

    def _begin(self, stored: Stored, now: float) -> None:
        if stored.image is not None:
            self.state.restore(stored.image.data)
            self._applied, self._applied_term = stored.image.index, stored.image.term
        self.core = Core(self.id, stored, self._log_settings, self._random.getrandbits(32), now)

    async def found(self) -> None:
        """Begin the log with this process alone as its voter; only where there is none."""
        stored = founded((self.id,))
        await self._on_disk(self._storage.write, None, (), stored.image)
        if self.core.config.voters:
            raise ValueError("there is a log")   # it came meanwhile; what was written is void beside it
        self._begin(stored, self.clock())
        self._stirred.set()
        log.info("%s has founded the log", self.id)

    def wake(self) -> None:
        """The log has something to do."""
        self._stirred.set()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task of the cluster failed", exc_info=task.exception())
            self._fail(StorageFailed(f"a task failed: {task.exception()!r}"))

    def _fail(self, bad: ClusterError) -> None:
        """Take no part any more, for good: what was promised may be lost, or cannot be kept."""
        if self.failed is not None:
            return
        self.failed = bad
        log.error("%s: %s: %s; %s", bad.code, bad.what, bad, bad.remedy)
        if self._proposals is not None:
            self._proposals.fail(bad)
            self.holding.lose_all()
        if self.links is not None:
            self.links.close()
        for task in list(self._tasks):
            task.cancel()

    # --- The log.

    async def _on_disk(self, work: Callable, *given: object) -> None:
        """One write at a time, on the thread, so that the loop goes on. Raises StorageFailed."""
        began = self.clock()
        await asyncio.wrap_future(self._thread.submit(work, *given), loop=self._loop)
        self.writes += 1
        self.longest_write = max(self.longest_write, self.clock() - began)

    async def _pump(self) -> None:
        """Carry out what the log says, in its order, until there is nothing; then wait for what comes or is due."""
        try:
            while True:
                now, core = self.clock(), self.core
                if core.next_due() <= now:
                    core.tick(now)
                for expire in self._leases.expire(now):
                    self._expire(now, expire)
                ready = core.ready()
                self._leader_is()
                if ready is not None:
                    await self._carry_out(ready)
                    if self._storage.wants_image and self._applied_term:
                        await self._compact()
                else:
                    await self._stirred.wait(min(core.next_due(), self._leases.next_due()))
        except StorageFailed as bad:
            self._fail(bad)

    async def _carry_out(self, ready: Ready) -> None:
        if ready.vote is not None or ready.entries or ready.image is not None:
            await self._on_disk(self._storage.write, ready.vote, ready.entries, ready.image)
        for to, message in ready.messages:
            self.links.send(to, message)
        if ready.image is not None:
            try:
                self.state.restore(ready.image.data)
            except ValueError as bad:
                raise StorageFailed(f"the image that came cannot be read: {bad}") from None
            self._applied, self._applied_term = ready.image.index, ready.image.term
            self._tell(ready.image.index, None, None)
        for number, entry in enumerate(ready.committed, 1):
            self._apply(entry)
            if number % APPLY == 0:
                await asyncio.sleep(0)

    def _apply(self, entry: Entry) -> None:
        self._applied, self._applied_term = entry.index, entry.term
        if entry.kind == Kind.CONFIG:
            self._steer_due.set()
        if entry.kind != Kind.COMMAND:
            return
        answer = self.state.apply(entry.index, entry.data)
        asked = read_request(entry.data)
        if asked is None:
            return
        name = getattr(asked.command, "name", None)
        if self.core.leading and name is not None:
            self._leases.applied(self.clock(), name, self.state.leases.get(name))
        self._proposals.applied(asked, answer)
        if not isinstance(answer, Refused):
            self._tell(entry.index, asked.command, answer)

    def _tell(self, index: int, command: Command | None, answer: Answer | None) -> None:
        for watcher in list(self._watchers):
            try:
                watcher(index, command, answer)
            except Exception:
                log.exception("a watcher of the cluster's state failed")

    def _leader_is(self) -> None:
        core = self.core
        known = core.leader, core.term
        if known == self._known:
            return
        self._known = known
        if core.leading:
            self._leases.lead(self.clock(), self.state.leases)
            self._steer_due.set()
        else:
            self._leases.quit()
        self._proposals.leader_changed()

    def _expire(self, now: float, expire: Command) -> None:
        try:
            self.core.propose(now, request("", 0, expire))
        except (NotLeading, TooBusy):
            pass   # the next leader gives the lease its whole time; or it is proposed again

    async def _compact(self) -> None:
        """Danger: the image is of what is applied now, and so must its Config be; the log may go on meanwhile."""
        image = Image(self._applied, self._applied_term, self.core.config_at(self._applied), self.state.image())
        await self._on_disk(self._storage.compact, image)
        self.core.compact(image)

    # --- The others.

    def _where(self, peer_id: str) -> tuple[str, int] | None:
        route = self._routes.get(peer_id.rpartition("~")[0])
        if route is not None:
            return route
        rumour = self.members.view().get(peer_id)
        return None if rumour is None else (rumour.peer.host, rumour.peer.port)

    def _on_frame(self, sender: str, message: AnyFrame) -> None:
        now = self.clock()
        if isinstance(message, Message):
            self.core.step(now, sender, message)
            if isinstance(message, Append | Install) and self.core.leader == sender:
                self._heard = now
            self._stirred.set()
        elif isinstance(message, Forward):
            self._proposals.forwarded(sender, message)
        elif isinstance(message, Answered):
            self._proposals.answered(message)
        elif isinstance(message, AskFresh):
            self.links.send(sender, Fresh(not self.core.config.voters))
        elif isinstance(message, Fresh):
            self.steering.told(sender, message.fresh)

    def _on_packet(self, packet: AnyPacket) -> None:
        self._post(self.members.receive(self.clock(), packet))
        self._gossip_due.set()

    def _post(self, out: list) -> None:
        for one in out:
            if not isinstance(one, Post):
                self.steering.heard(one)
                continue
            where = address(one.to) if one.seed else self._where(one.to)
            if where is not None:
                self.links.post(where, one.packet)

    async def _gossip(self) -> None:
        self._post(self.members.join(self.clock(), list(self.settings.seeds)))
        while True:
            await self._gossip_due.wait(self.members.next_due())
            self._post(self.members.tick(self.clock()))

    # --- What the other packages call.

    async def propose(self, command: Command, deadline: float = DEADLINE) -> Answer:
        """The state's answer, carried out once, within `deadline` seconds.

        Raises NoQuorum (in doubt: it may still take effect), TooBusy, TooLarge, or what this node has failed by.
        """
        if self.failed is not None:
            raise self.failed
        if self.core is None or self._closing:
            raise NoQuorum("this process does not take part now")
        return await self._proposals.propose(command, deadline)

    async def acquire(self, name: str, ttl: float, deadline: float = DEADLINE) -> Held | Answer:
        """A lease of `ttl` seconds, renewed until released; or why not (Taken, Refused, Lost). Raises like `propose`.

        Whatever is done under it goes by `held.holds(clock())` and carries `held.token` to the resource's Fence.
        """
        if self.core is None:
            raise self.failed or NoQuorum("this process does not take part now")
        return await self.holding.acquire(name, ttl, deadline)

    async def renew(self, held: Held) -> bool:
        """At once, beside the renewals at a third of its time. Whether it is held on. Raises like `propose`."""
        return await self.holding.renew(held)

    async def release(self, held: Held, deadline: float = DEADLINE) -> bool:
        """Whether it was still held. Nothing may be done under it from the call on. Raises like `propose`."""
        return await self.holding.release(held, deadline)

    def read(self) -> Reading:
        """The state as it is known here, and how old it may be. Never waits."""
        now, core = self.clock(), self.core
        fresh = core is not None and self.failed is None and self._applied == core.commit and core.may_read(now)
        return Reading(self.state, self._applied, fresh, 0.0 if fresh else now - self._heard)

    def watch(self, callback: Change) -> None:
        """Call it after each applied change with (index, command, answer); with (index, None, None) all may have."""
        self._watchers.append(callback)

    def view(self) -> dict[str, Rumour]:
        """The members as this process sees them, by id; empty while it takes no part."""
        return {} if self.members is None else self.members.view()

    def stats(self) -> dict:
        """Figures, as plain values."""
        core, failed = self.core, self.failed
        told = {"id": self.id, "failed": None if failed is None else failed.code, "applied": self._applied,
                "leases": len(self.state.leases), "keys": len(self.state.register), "writes": self.writes,
                "longest_write_ms": round(1000 * self.longest_write, 3)}
        if core is None:
            return told
        standings = [rumour.standing.name.lower() for rumour in self.members.view().values()]
        return {**told, "term": core.term, "leader": core.leader, "leading": core.leading, "commit": core.commit,
                "voters": list(core.config.voters), "learners": len(core.config.learners), "open": len(self._proposals),
                "held": len(self.holding.held), "disk_bytes": self._storage.used, "health": self.members.health(),
                **{f"members_{name}": standings.count(name) for name in set(standings)}, **self.links.count}

    # --- The end.

    async def close(self) -> None:
        """Hand over, say good-bye, and give back folder, sockets, tasks and thread; within `stop_s` and some."""
        if self._closing:
            return
        self._closing = True
        if self.core is not None and self.failed is None:
            until = self.clock() + self.settings.stop_s
            self.holding.lose_all()
            if self.core.leading and self.core.hand_over(self.clock()) is not None:
                self._stirred.set()
                while self.core.leading and self.clock() < until and self.failed is None:
                    await asyncio.sleep(0.01)
            self._post(self.members.leave(self.clock()))
        if self._proposals is not None:
            self._proposals.fail(NoQuorum("this process ends"))
        if self.links is not None:
            self.links.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._storage is not None:
            try:
                await asyncio.wait_for(asyncio.wrap_future(self._thread.submit(self._storage.close)), CLOSE)
            except TimeoutError:
                log.warning("the cluster's folder does not answer")
        self._thread.shutdown(wait=False)


def open_node(text: bytes, config: object, loop: asyncio.AbstractEventLoop) -> Node:
    """The node that `deploy/cluster.json`'s text describes, taking part. `config`: the sender's, with name and state.

    Raises OptionError for a file that cannot be right; what is wrong with disk or port is the node's, never raised.
    """
    told = read(text)
    zone = getattr(config, "zone", "")   # where RELAY_CONFIG says it
    if zone:
        told = msgspec.structs.replace(told, zone=zone)
    node = Node(told, config.name, Path(config.state) / "cluster", loop)
    node.start()
    return node
