"""One process's log at work: what the machine asks for is written, sent and applied, in its order."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from random import Random

from msgspec.structs import replace

from .disk import StorageFailed
from .errors import NotLeading, TooBusy
from .interface import Append, Entry, Image, Install, Kind, Message, Ready, Stored
from .leases import Answer, Asked, Command, Done, Granted, LeaseClock, State, read_request, request
from .log.core import Core, founded
from .log.settings import LogSettings
from .points import point
from .storage import Storage

log = logging.getLogger(__name__)

APPLY = 64  # entries that are applied before others in the loop have their turn
LONGEST_WAIT = 1.0  # seconds without a look at what is due
EACH = 32  # bytes that an entry takes on disk besides its data, at the most
CLOSE = 0.5  # seconds that a write which is under way may take at the end

Change = Callable[[int, Command | None, Answer | None], None]


class Alarm:
    """Wakes one task by a time of the loop's clock, or before."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Not set."""
        self._loop, self._event = loop, asyncio.Event()

    def set(self) -> None:
        """Wake whoever waits."""
        self._event.set()

    async def wait(self, due: float) -> None:
        """Wait until it is set, or until `due` on the loop's clock, but not longer than `LONGEST_WAIT`."""
        handle = self._loop.call_at(min(due, self._loop.time() + LONGEST_WAIT), self._event.set)
        try:
            await self._event.wait()
        finally:
            handle.cancel()
        self._event.clear()


class Engine:
    """Owner of the machine, the state, the storage and its thread.

    `send` takes messages for others. `applied` is told each request that was carried out, `led` each change of leader,
    `changed` each change of the Config; none of them may wait.
    """

    def __init__(
        self,
        me: str,
        storage: Storage,
        settings: LogSettings,
        drift: float,
        random: Random,
        loop: asyncio.AbstractEventLoop,
        send: Callable[[str, Message], None],
    ) -> None:
        """Raises ValueError or Torn where what the folder holds cannot be right."""
        self.me, self.storage, self._settings, self._random = me, storage, settings, random
        self._loop, self.clock, self._send = loop, loop.time, send
        self.applied: Callable[[Asked, Answer], None] = lambda asked, answer: None
        self.led: Callable[[], None] = lambda: None
        self.changed: Callable[[], None] = lambda: None
        self.watchers: list[Change] = []
        self.state, self._leases = State(), LeaseClock(drift)
        self.index = self._term = 0  # of the last entry applied
        self.heard = float("-inf")  # when a leader was
        self._known: tuple[str | None, int] = (None, -1)
        self._stirred = Alarm(loop)
        self._founding = False
        self._unwritten_bytes = 0  # bytes of entries given to the machine that the folder does not count yet
        self.writes, self.longest_write = 0, 0.0
        self._begin(storage.stored)
        storage.stored = Stored()  # the log holds it from now on
        self._thread = ThreadPoolExecutor(1, "cluster-disk")

    def _begin(self, stored: Stored) -> None:
        if stored.image is not None:
            self.state.restore(stored.image.data)
            self.index, self._term = stored.image.index, stored.image.term
        self.core = Core(self.me, stored, self._settings, self._random.getrandbits(32), self.clock())

    def wake(self) -> None:
        """The machine was given something to do."""
        self._stirred.set()

    def propose(self, data: bytes) -> int:
        """The term that the entry belongs to. Raises NotLeading, TooBusy, TooLarge."""
        if self._unwritten_bytes + len(data) > self.storage.room:
            raise TooBusy
        term, _ = self.core.propose(self.clock(), data)
        self._unwritten_bytes += len(data)
        self.wake()
        return term

    def step(self, sender: str, message: Message) -> None:
        """Take a message of the log's protocol from `sender`."""
        if self._founding:
            return  # another's log must not be taken in while this one's first entry is being written
        now = self.clock()
        if isinstance(message, Append) and message.entries:
            size = sum(len(entry.data) + EACH for entry in message.entries)
            if self._unwritten_bytes + size > self.storage.room:
                # A full folder ends this node's part for good, and the leader knows the room of its own folder only.
                # What does not fit comes again; what is here is committed meanwhile, and its image gives room back.
                message = replace(message, entries=())
            else:
                self._unwritten_bytes += size
        self.core.step(now, sender, message)
        if isinstance(message, Append | Install) and self.core.leader == sender:
            self.heard = now
        self.wake()

    def found(self) -> None:
        """Begin the log with this process alone as its voter; only where it knows of none."""
        self._founding = not self.core.config.voters
        self.wake()

    async def _found(self) -> None:
        stored = founded((self.me,))
        await self._on_disk(self.storage.write, None, (), stored.image)
        self._begin(stored)
        self._founding = False
        self.core.fire(self.clock())  # there is nobody else to wait for
        log.info("%s has founded the log", self.me)

    async def _on_disk(self, work: Callable, *given: object) -> None:
        """One write at a time, on the thread, so that the loop goes on. Raises StorageFailed."""
        began = self.clock()
        await asyncio.wrap_future(self._thread.submit(work, *given), loop=self._loop)
        self.writes += 1
        self.longest_write = max(self.longest_write, self.clock() - began)

    async def run(self) -> None:
        """Carry out what the log says, in its order, until there is nothing; then wait for what comes or is due.

        Raises StorageFailed: then it must not be run again.
        """
        while True:
            if self._founding:
                await self._found()
            now, core = self.clock(), self.core
            if core.next_due() <= now:
                core.tick(now)
            for expire in self._leases.expire(now):
                self._expire(expire)
            ready = core.ready()
            being_written = self._unwritten_bytes  # read before a change of leader, at which more is proposed
            self._leader_is()
            if ready is not None:
                await self._carry_out(ready)
                self._unwritten_bytes -= being_written
                if self.storage.wants_image(self.index):
                    await self._compact()
            else:
                await self._stirred.wait(min(core.next_due(), self._leases.next_due()))

    async def _carry_out(self, ready: Ready) -> None:
        if ready.vote is not None or ready.entries or ready.image is not None:
            point("write")
            await self._on_disk(self.storage.write, ready.vote, ready.entries, ready.image)
            point("written")
        for to, message in ready.messages:
            self._send(to, message)
        if ready.image is not None:
            try:
                self.state.restore(ready.image.data)
            except ValueError as bad:
                raise StorageFailed(f"the image that came cannot be read: {bad}") from None
            self.index, self._term = ready.image.index, ready.image.term
            self._tell(ready.image.index, None, None)
        for number, entry in enumerate(ready.committed, 1):
            self._apply(entry)
            if number % APPLY == 0:
                await asyncio.sleep(0)

    def _apply(self, entry: Entry) -> None:
        self.index, self._term = entry.index, entry.term
        if entry.kind == Kind.CONFIG:
            self.changed()
        if entry.kind != Kind.COMMAND:
            return
        answer = self.state.apply(entry.index, entry.data)
        point("apply")
        asked = read_request(entry.data)
        if asked is None:
            return
        name = getattr(asked.command, "name", None)
        if self.core.leading and name is not None:
            self._leases.applied(self.clock(), name, self.state.leases.get(name))
        self.applied(asked, answer)
        if isinstance(answer, Granted | Done):
            self._tell(entry.index, asked.command, answer)

    def _tell(self, index: int, command: Command | None, answer: Answer | None) -> None:
        for watcher in list(self.watchers):
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
            self.changed()
        else:
            self._leases.quit()
        self.led()

    def _expire(self, expire: Command) -> None:
        try:
            self.propose(request("", 0, expire))
        except (NotLeading, TooBusy):
            pass  # the next leader gives the lease its whole time; or it is proposed again

    async def _compact(self) -> None:
        """Write an image of the state as applied now, with the Config of the same entry; the log may go on."""
        point("compact")
        image = Image(self.index, self._term, self.core.config_at(self.index), self.state.image())
        await self._on_disk(self.storage.compact, image)
        self.core.compact(image)

    async def close(self) -> None:
        """Give back the folder and the thread; `run` has ended. A disk that does not answer is left behind."""
        try:
            await asyncio.wait_for(asyncio.wrap_future(self._thread.submit(self.storage.close)), CLOSE)
        except TimeoutError:
            log.warning("the cluster's folder does not answer")
        self._thread.shutdown(wait=False)
