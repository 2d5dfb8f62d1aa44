"""One client's connection: its commands are read in turn, and each is answered once.

Bad clients connect by hundreds, say nothing or half a command, or send at full speed what cannot be read. Each hears an
error or a close in time, and what it may take of memory and of the loop's turns is bounded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from tornado.iostream import IOStream, StreamClosedError

from ..state.requests import Answer, Busy, Refused, Request, Taken
from ..state.wheel import Wheel
from ..streams import seen, silent, waiting
from . import enqueue, resp
from .connection_table import ConnectionEntry, ConnectionState

if TYPE_CHECKING:
    from ..state.serving_mode import ServingMode

BUFFER = 128 * 1024  # bytes of one connection that wait to be written, at the most
READ_CHUNK = 4 * 1024  # bytes that are read at once: so much each of hundreds of clients may have sent ahead
COMMAND_TIMEOUT = 2.0  # seconds from connecting, or from a later command's first byte, to the command's last
IDLE_TIMEOUT = 5.0  # seconds without a command before a connection is closed,
UNUSED_TIMEOUT = 2.0  # and before one that never handed in a message is
WRITE_TIMEOUT = 2.0  # seconds for a client to read an answer
ERROR_DELAY = 0.05  # seconds that a connection waits after its first error; each further one adds as much
MOST_ERRORS = 10  # of one connection
MOST_REFUSING = 16  # connections whose floods are refused at once; more of them would have each turn of the loop,
REFUSING_WAIT = 2.0  # and wait for so many seconds at the most
REFUSED_AT_ONCE = 8  # commands of a flood in one turn of the loop; hundreds of connections may flood at once
MOST_REFUSED = 512 * 1024  # bytes of a flood that are read, so that each whole command in them is answered


class Sender(Protocol):
    """What takes the messages."""

    def ask(
        self, cls: str, destination: int, left: float, request: Request, again: bool, held: bool, early: bool = False
    ) -> None:
        """Hand a request in; its `answer` is called once. Raises Refused if it can never be taken.

        `early`: it may have lain in the socket until this process had started.
        """


class Owner(Protocol):
    """What a session needs of whoever holds all of them."""

    serving_mode: ServingMode | None
    refusing: asyncio.Semaphore  # held by each of `MOST_REFUSING` sessions that refuse a flood
    ending: bool  # nothing more is read

    def drop(self, session: ClientSession, why: str) -> None:
        """Give its connection back."""

    def drop_if_silent(self, session: ClientSession, why: str) -> None:
        """Give its connection back unless a command may just have come on it."""

    def turns_away(self, session: ClientSession) -> bool:
        """Whether one that is between commands is to be closed now."""

    def is_early(self, entry: ConnectionEntry) -> bool:
        """Whether it may have waited in the socket's queue until this process had started."""

    def set_state(self, session: ClientSession, state: ConnectionState) -> None:
        """It does something else from now on; what is too much of that is closed, itself perhaps."""

    def hold(self, session: ClientSession, held_bytes: int) -> None:
        """Its commands take so many bytes from now on; who holds too much is closed, itself perhaps."""

    def message_taken(self, session: ClientSession) -> None:
        """A message that came on it was taken on."""


def begin_read(stream: IOStream) -> asyncio.Future:
    """A read of what comes next. Raises OSError if the stream is closed already."""
    read = stream.read_bytes(READ_CHUNK, partial=True)
    read.add_done_callback(seen)
    return read


class ClientSession:
    """The conversation with one client. `run` is its task; it ends with the connection."""

    __slots__ = (
        "stream",
        "next_read",
        "entry",
        "dropped",
        "_owner",
        "_sender",
        "_wheel",
        "_parser",
        "_refusal",
        "_woken",
    )

    def __init__(
        self,
        stream: IOStream,
        first_read: asyncio.Future,
        entry: ConnectionEntry,
        owner: Owner,
        sender: Sender,
        wheel: Wheel,
    ) -> None:
        """`first_read` is under way on `stream`, by `begin_read`."""
        self.stream, self.next_read, self.entry = stream, first_read, entry
        self.dropped = False  # set by the owner once the connection is given back
        self._owner, self._sender, self._wheel = owner, sender, wheel
        self._parser = resp.CommandParser()
        self._refusal: resp.MalformedError | None = None  # why a client that is there was not told the answer
        self._woken: asyncio.Future | None = None  # done with the read, or once the connection is given back

    def silent(self) -> bool:
        """Whether no command may just have come on it."""
        return silent(self.stream, self.next_read)

    def between_commands(self) -> bool:
        """Whether a command was answered, none has begun and none may just have come."""
        return self.entry.commands > 0 and not self._parser.partial and self.silent()

    def wake(self) -> None:
        """The connection was given back: `run` is to end now, not with the next read."""
        if self._woken is not None and not self._woken.done():
            self._woken.set_result(None)

    # --- Commands.

    async def run(self) -> None:
        """Answer commands until the client leaves, errs too often or is sent away."""
        why = "its client left"
        try:
            why = await self._converse()
        except resp.MalformedError as bad:
            why = "malformed"
            if not self.stream.closed():
                self.stream.write(resp.error(f"ERR Protocol error: {bad}"))
        except OSError:  # of a closed stream, or of a client that cannot be reached any more
            pass
        finally:
            self._owner.drop(self, why)

    async def _converse(self) -> str:
        """Why the connection is to be closed; a client that leaves raises OSError."""
        due: float | None = self._wheel.now + COMMAND_TIMEOUT  # the command's end; none between commands
        while True:
            # A client may send without pause. What is there already is answered without waiting, and without this
            # turn of the loop nobody else and no tick would get one.
            await asyncio.sleep(0)
            if self.dropped:
                return ""  # whoever dropped it has said why
            refusal = flood = ""
            try:
                whole = self._parser.next()
                if whole is None:
                    if due is None and self._parser.partial:
                        due = self._wheel.now + COMMAND_TIMEOUT  # it began behind the command before it
                    if self._owner.turns_away(self):
                        return "stopping"
                    self._parser.feed(await self._more(due))
                    due = due or self._wheel.now + COMMAND_TIMEOUT
                    self._owner.hold(self, self._parser.held)
                    continue
                due = None
                self.entry.commands += 1
                self._owner.hold(self, self._parser.held + sum(map(len, whole)))
                if self._parser.partial:
                    self._parser.check_behind()
                if not await self._command(whole):
                    return "told to"
            except resp.FloodError as bad:
                flood = str(bad)
            except (Refused, resp.OversizeError) as bad:
                refusal = str(bad)
            # Out here neither the command nor, by an exception's frames, what was made of it is kept any longer.
            whole = None
            self._owner.hold(self, self._parser.held)
            if flood:
                await self._refuse_all(flood)
                return "flood"
            if refusal:
                self.entry.errors += 1
                await self._write(resp.error(f"ERR {refusal}"))
                if self.entry.errors >= MOST_ERRORS:
                    return "errors"
                await self._penalise()

    async def _penalise(self) -> None:
        self._owner.set_state(self, ConnectionState.PENALISED)
        await self._wheel.pause(ERROR_DELAY * self.entry.errors)
        self._owner.set_state(self, ConnectionState.ANSWERING)

    async def _refuse_all(self, flood: str) -> None:
        """Answer the command in hand and each whole one behind it with an error.

        Usual clients do not wait for their answers either, and a process that was held up finds many of their commands
        at once. One that was read and is not answered is lost.
        """
        refusal = resp.error(f"ERR Protocol error: {flood}")
        await self._write(refusal)
        turn = self._owner.refusing
        try:
            async with asyncio.timeout(REFUSING_WAIT):
                await turn.acquire()
        except TimeoutError:
            return await self._refuse_rest(refusal)
        try:
            await self._refuse_rest(refusal)
        finally:
            turn.release()

    async def _refuse_rest(self, refusal: bytes) -> None:
        left = MOST_REFUSED
        while left > 0 and not self.dropped:
            if count := self._parser.skip(REFUSED_AT_ONCE):
                await self._write(refusal * count)
            elif waiting(self.stream, self.next_read):
                data = await self._next_bytes()
                left -= len(data)
                self._parser.feed(data)
            else:
                break
            await asyncio.sleep(0)

    def deny_rest(self) -> None:
        """Nothing is handed in any more: deny each whole command that was read, so that none is without an answer."""
        count, read = 0, self.next_read
        try:
            if read.done() and not read.cancelled() and read.exception() is None:
                self._parser.feed(read.result())
            while self._parser.skip(1):
                count += 1
        except resp.MalformedError:
            pass  # what follows cannot be read
        if count and not self.stream.closed():
            self.stream.write(resp.answer(Busy(0.0)) * count).add_done_callback(seen)

    async def _command(self, words: list[bytes]) -> bool:
        """Answer one command; whether the connection goes on."""
        name = words[0].upper()
        if name == b"ENQUEUE":
            await self._write(await self._enqueue(words))
            return True
        if name == b"PING":
            mode = self._owner.serving_mode
            why = None if mode is None else mode.sends_away()
            reply = resp.simple("PONG") if why is None else resp.error(f"ERR {why}")
        elif name == b"QUIT":
            reply = resp.simple("OK")
        else:
            raise Refused(f"unknown command '{words[0][:32].decode('ascii', 'replace')}'")
        await self._write(reply)
        return name != b"QUIT"

    async def _write(self, data: bytes | asyncio.Future) -> None:
        """Wait for a write, of `data` or begun before. A client that never reads must not be waited for for ever."""
        timer = self._wheel.after(WRITE_TIMEOUT, self.stream.close)
        try:
            await (self.stream.write(data) if isinstance(data, bytes) else data)
        finally:
            timer.cancel()

    # --- What the client sends.

    async def _more(self, due: float | None) -> bytes:
        """The next bytes. The deadline of a command that has begun stays, however its bytes trickle in."""
        if due is None:
            self._owner.set_state(self, ConnectionState.IDLE)
            seconds, why = IDLE_TIMEOUT if self.entry.messages else UNUSED_TIMEOUT, "idle"
        else:
            seconds, why = due - self._wheel.now, "command not whole"
            self._owner.set_state(self, ConnectionState.READING)
            if due <= self._wheel.now and not self.dropped and not self.next_read.done():
                self._owner.drop(self, why)  # what had come by then has been looked at
        timer = self._wheel.after(seconds, lambda: self._owner.drop_if_silent(self, why))
        try:
            return await self._next_bytes()
        finally:
            timer.cancel()
            # From here on a command may have come, and nobody may close over it.
            self._owner.set_state(self, ConnectionState.ANSWERING)

    async def _next_bytes(self) -> bytes:
        """What the read brings that is under way; the next one is begun. Raises OSError if there is none."""
        read = self.next_read
        if not self.dropped and not read.done():
            # Not the read itself is waited for: the connection may be given back and read for a while yet, and what is
            # held of a command is let go of with the connection.
            woken = self._woken = asyncio.get_running_loop().create_future()
            read.add_done_callback(lambda _: woken.done() or woken.set_result(None))
            await woken
        if self.dropped:  # also while this waited
            raise StreamClosedError
        data = read.result()
        # Who sends before it has its answer has always sent more, so that at the very end no more is read.
        self.next_read = asyncio.get_running_loop().create_future() if self._owner.ending else begin_read(self.stream)
        return data

    # --- Messages.

    async def _enqueue(self, words: list[bytes]) -> asyncio.Future:
        """Hand a message in; the write of its answer."""
        read = self.next_read
        answered: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        writes: list[asyncio.Future] = []

        def settle() -> None:
            if not answered.done():
                answered.set_result(None)

        def answer(said: Answer) -> bool:
            """Write at once, so that the client hears it before any dispatch; False if it was not for it."""
            there = self._listens(read)
            if there:
                writes.append(self.stream.write(resp.answer(said)))
                writes[0].add_done_callback(seen)
                there = not self.stream.closed()  # by a client that has gone since it was looked at
            if there and isinstance(said, Taken) and not said.known and not self.dropped:
                self._owner.message_taken(self)
            settle()
            return there

        self._hand_in(enqueue.parse(words), answer)
        read.add_done_callback(lambda read: settle() if read.cancelled() or read.exception() is not None else None)
        await answered  # its deadline is the sender's: every request is answered at its next tick
        if not writes:
            raise self._refusal or StreamClosedError()
        return writes[0]

    def _listens(self, read: asyncio.Future) -> bool:
        """Whether the client is there and waits for its answer; `read` is what it sends behind its command.

        One that has gone, or floods before its answer, must not be held to be taken on. One that sends further commands
        behind its first is answered each in turn.
        """
        behind = waiting(self.stream, read)
        if behind is None:
            return False
        try:
            if behind or self._parser.partial:
                self._parser.check_behind(behind)
        except resp.MalformedError as bad:
            self._refusal = bad
            return False
        return True

    def _hand_in(self, command: enqueue.EnqueueCommand, answer: Callable[[Answer], bool]) -> None:
        request = Request(
            command.id,
            command.key,
            0,
            command.destination,
            0.0,
            command.body,
            answer=answer,
            tenant=command.tenant,
            idempotency_key=command.idempotency_key,
            client=self.entry.number,
        )
        self._sender.ask(
            command.cls,
            command.destination,
            command.seconds,
            request,
            command.again,
            command.held,
            early=self.entry.commands == 1 and self._owner.is_early(self.entry),
        )
