"""The RESP2 frontend: clients hand in messages with ENQUEUE, and each is answered once.

It knows RESP and the words of a command, nothing of decisions; another front would call the same desk.
"""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from tornado.iostream import IOStream, StreamClosedError

from ..state.requests import Answer, Refused, Request, Taken
from ..state.wheel import Wheel
from ..streams import ClosingStreams, seen, silent, waiting
from . import resp
from .connection_table import ConnectionEntry, ConnectionState, ConnectionTable
from .listening import Listener

if TYPE_CHECKING:
    from ..admission.gate import Gate
    from ..records.observer import Observer
    from ..state.duty import Duty

log = logging.getLogger(__name__)

BUFFER = 128 * 1024  # of one connection: one command, and the start of a next
WHOLE = 2.0  # seconds from connecting, or from a later command's first byte, to the command's last
IDLE_FOR = 5.0  # seconds without a command before a connection is closed,
UNUSED_FOR = 2.0  # and before one that never handed in a message is
STALLED = 2.0  # seconds for a client to read an answer
PENALTY = 0.05  # seconds that a connection waits after its first error; each further one adds as much
MOST_ERRORS = 10  # of one connection
WORD = re.compile(rb"[0-9A-Za-z_.:-]{1,64}\Z")


class Desk(Protocol):
    """What a front needs."""

    def ask(
        self, cls: str, destination: int, left: float, request: Request, again: bool, held: bool, early: bool = False
    ) -> None:
        """Hand a request in; its `answer` is called once. Raises Refused if it can never be taken.

        `early`: it may have lain in the socket until this process had started.
        """


class Frontend:
    """Owner of the listening socket and of every client's connection.

    Danger: bad clients, which connect by hundreds, say nothing or half a command, or send at full speed
    what cannot be read. Each hears an error or a close in time, and what they may take of sockets, memory and
    turns is bounded: the usual clients, which send one whole command and wait for its answer, come first.
    """

    def __init__(
        self,
        desk: Desk,
        sockets: list[socket.socket],
        wheel: Wheel,
        spawn: Callable,
        most: int,
        usual: int,
        most_held: int,
        gate: Gate | None = None,
    ) -> None:
        self._desk, self._wheel, self._spawn, self._most_held = desk, wheel, spawn, most_held
        self._table, self._gate = ConnectionTable(most, usual), gate  # the gate where `deploy/admission.json` is on
        self._reads: dict[IOStream, asyncio.Future] = {}  # every connection, with its next read
        self._entries: dict[IOStream, ConnectionEntry] = {}  # and its entry,
        self._streams: dict[ConnectionEntry, IOStream] = {}  # both ways
        self._waits: dict[IOStream, asyncio.Future] = {}  # done with the read, or once the connection is given back
        self._closing_streams = ClosingStreams(wheel.after, spawn)  # those given back and not closed yet
        self._closing = self._ending = False
        self._early = 0  # number of the last connection that may have waited for the start
        self.observer: Observer | None = None  # of the records, where they are on
        self.duty: Duty | None = None  # whether clients are taken, where there are operators
        self.port = sockets[0].getsockname()[1]
        self._listener = Listener(sockets, wheel, self._accepted)

    def _accepted(self, sock: socket.socket, address: object) -> None:
        now, gate, host = self._wheel.now, self._gate, address[0]
        if gate is not None and gate.arrives(now, host) is not None:
            sock.close()
            return
        if (
            gate is not None
            and gate.crowded(now, host)
            and not self._make_room(host)
            or not self._at_most(self._table.limit - 1, host)
        ):
            sock.close()  # all are in the middle of a request; its client has not been read, and comes again
            if gate is not None:
                gate.no_room(now, host)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = IOStream(sock, max_buffer_size=BUFFER, max_write_buffer_size=BUFFER)
        try:
            self._reads[stream] = self._read(stream)
        except OSError:
            return
        entry = self._entries[stream] = self._table.add(now)
        entry.address, self._streams[entry] = host, stream
        if self._listener.catching_up:
            self._early = entry.number
        if gate is not None:
            gate.enter(now, entry)
        if self.observer is not None:
            self.observer.joined(entry.number, f"{address[0]}:{address[1]}", len(self._table))
        self._spawn(self._serve(stream, entry))

    def __len__(self) -> int:
        """Connections of clients."""
        return len(self._table) + len(self._closing_streams)

    def hold_at_most(self, most: int) -> None:
        """There may be so many connections from now on; the least missed leave, none while it is answered."""
        self._table.limit = most
        if self._gate is not None:
            self._gate.hold_at_most(most)
        self._at_most(most, "")

    def _at_most(self, most: int, host: str) -> bool:
        """Whether no more than so many are open now; a few that were given back may not be closed yet."""
        while len(self._table) > most:
            if not self._make_room(host):
                return False
        while len(self) > most + self._table.bulk_size() and self._closing_streams.close_oldest():
            pass
        return True

    @staticmethod
    def _read(stream: IOStream) -> asyncio.Future:
        read = stream.read_bytes(BUFFER // 2, partial=True)
        read.add_done_callback(seen)
        return read

    def _silent(self, entry: ConnectionEntry) -> bool:
        """Whether no command may just have come on it."""
        stream = self._streams[entry]
        return silent(stream, self._reads[stream])

    def _make_room(self, host: str) -> bool:
        """Close what is least missed; not a connection on which a command may just have come."""
        useless, rest = self._table.eviction_candidates(self._wheel.now)
        if self._gate is not None:
            useless, rest = (self._gate.may_make_room(self._wheel.now, part, host) for part in (useless, rest))
        room = 0
        for entry in useless:
            if room >= self._table.bulk_size():
                break
            if entry.state == ConnectionState.PENALISED or self._silent(entry):
                self._drop(self._streams[entry], "room")
                room += 1
        if not room:
            entry = next((p for p in rest if self._silent(p)), None)
            if entry is None:
                return False
            self._drop(self._streams[entry], "room")
        return True

    def _drop(self, stream: IOStream, why: str) -> None:
        """The one place where a connection is given back; its `_serve` ends by it, or with it."""
        entry = self._entries.pop(stream, None)
        if entry is None:
            return
        if not stream.closed():
            self._closing_streams.add(stream, self._reads[stream] if stream.reading() else None)
        del self._reads[stream], self._streams[entry]
        if (wait := self._waits.pop(stream, None)) is not None and not wait.done():
            wait.set_result(None)
        self._table.remove(entry)
        if self._gate is not None:
            self._gate.leave(self._wheel.now, entry, entry.uselessness())
        if self.observer is not None:
            now = self._wheel.now
            if stream.error is not None:
                why = f"{why}: {stream.error}"
            self.observer.left(
                entry.number,
                why,
                entry.messages,
                entry.commands,
                now - entry.connected_at,
                now - entry.state_since if entry.state == ConnectionState.IDLE else 0.0,
            )

    async def _serve(self, stream: IOStream, entry: ConnectionEntry) -> None:
        parser, why = resp.CommandParser(), "its client left"
        due: float | None = self._wheel.now + WHOLE  # the command's end; none between commands
        try:
            while True:
                # Danger: a client that sends without pause. What is there already is answered without
                # waiting, so that nobody else and no tick would get a turn.
                await asyncio.sleep(0)
                if stream not in self._reads:
                    return
                try:
                    words = parser.next()
                    if words is None:
                        if self._sent_away(entry, parser):
                            why = "stopping"
                            return
                        data = await self._more(stream, entry, parser, due)
                        due = due or self._wheel.now + WHOLE
                        parser.feed(data)
                        continue
                    due = None
                    entry.commands += 1
                    if parser.partial:
                        parser.behind()
                    if not await self._command(stream, entry, parser, words):
                        why = "told to"
                        return
                except (Refused, resp.OversizeError) as bad:
                    entry.errors += 1
                    await self._written(stream, resp.error(f"ERR {bad}"))
                    if entry.errors >= MOST_ERRORS:
                        why = "errors"
                        return
                    self._put(entry, ConnectionState.PENALISED)
                    await self._wheel.pause(PENALTY * entry.errors)
                    self._put(entry, ConnectionState.ANSWERING)
        except resp.MalformedError as bad:
            why = "malformed"
            if not stream.closed():
                stream.write(resp.error(f"ERR Protocol error: {bad}"))
        except OSError:  # of a closed stream, or of a client that cannot be reached any more
            pass
        finally:
            self._drop(stream, why)

    def _sent_away(self, entry: ConnectionEntry, parser: resp.CommandParser) -> bool:
        """Whether a connection between commands is to be closed now, because this process takes no more clients.

        Danger: one whose first command is on its way, or on which the next has just come. They are answered first.
        At the very end nothing more is waited for, and what has not been read comes again elsewhere.
        """
        if self._ending:
            return not self._reads[self._streams[entry]].done()
        if not self._closing and (self.duty is None or self.duty.taking):
            return False
        return entry.commands > 0 and not parser.partial and self._silent(entry)

    def _put(self, entry: ConnectionEntry, state: ConnectionState) -> None:
        if entry in self._streams:
            self._table.set_state(entry, state, self._wheel.now)

    async def _written(self, stream: IOStream, data: bytes | asyncio.Future) -> None:
        """Danger: a client that sends and never reads; its answers must neither wait for ever nor pile up."""
        timer = self._wheel.after(STALLED, stream.close)
        try:
            await (stream.write(data) if isinstance(data, bytes) else data)
        finally:
            timer.cancel()

    async def _more(
        self, stream: IOStream, entry: ConnectionEntry, parser: resp.CommandParser, due: float | None
    ) -> bytes:
        """The next bytes. Danger: a trickle must not put off the deadline of a command that has begun."""
        if due is None:
            self._put(entry, ConnectionState.IDLE)
            for other in self._table.excess_idle(self._wheel.now):
                self._close_silent(self._streams[other], "too many idle")
            seconds, why = IDLE_FOR if entry.messages else UNUSED_FOR, "idle"
        else:
            seconds, why = due - self._wheel.now, "command not whole"
            entry.partial_bytes = parser.held
            self._put(entry, ConnectionState.READING)
            while sum(p.partial_bytes for p in self._table.reading()) > self._most_held:
                self._drop(self._streams[max(self._table.reading(), key=lambda p: p.partial_bytes)], "memory")
            if due <= self._wheel.now and stream in self._reads and not self._reads[stream].done():
                self._drop(stream, why)  # what had come by then has been looked at
        timer = self._wheel.after(seconds, lambda: self._close_silent(stream, why))
        try:
            read = self._reads.get(stream)
            if read is not None and not read.done():
                # Danger: what is held of a command is let go of with its connection, which may be read for a while yet.
                wait = self._waits[stream] = asyncio.get_running_loop().create_future()
                read.add_done_callback(lambda _: wait.done() or wait.set_result(None))
                await wait
            if stream not in self._reads:  # given back, also while this waited
                raise StreamClosedError
            data = read.result()
            # Danger: who sends before it has its answer has always sent more; at the very end no more is read.
            self._reads[stream] = asyncio.get_running_loop().create_future() if self._ending else self._read(stream)
            return data
        finally:
            timer.cancel()
            # From here on a command may have come, and nobody may close over it.
            self._put(entry, ConnectionState.ANSWERING)

    def _close_silent(self, stream: IOStream, why: str) -> None:
        """Danger: a request that has just come must not be met by a close, be it at the end of its time."""
        if stream in self._entries and self._silent(self._entries[stream]):
            self._drop(stream, why)

    async def _command(
        self, stream: IOStream, entry: ConnectionEntry, parser: resp.CommandParser, words: list[bytes]
    ) -> bool:
        """Answer one command; whether the connection goes on."""
        name = words[0].upper()
        if name == b"ENQUEUE":
            await self._written(stream, await self._enqueue(stream, entry, parser, words))
            return True
        if name == b"PING":
            why = None if self.duty is None else self.duty.sends_away()
            reply = resp.simple("PONG") if why is None else resp.error(f"ERR {why}")
        elif name == b"QUIT":
            reply = resp.simple("OK")
        else:
            raise Refused(f"unknown command '{words[0][:32].decode('ascii', 'replace')}'")
        await self._written(stream, reply)
        return name != b"QUIT"

    async def _enqueue(
        self, stream: IOStream, entry: ConnectionEntry, parser: resp.CommandParser, words: list[bytes]
    ) -> asyncio.Future:
        """Hand a message in; the write of its answer."""
        answered, writes, read = asyncio.get_running_loop().create_future(), [], self._reads[stream]

        def told() -> None:
            if not answered.done():
                answered.set_result(None)

        def gone(read: asyncio.Future) -> None:
            if read.cancelled() or read.exception() is not None:
                told()

        def answer(said: Answer) -> bool:
            """Write at once, so that the client hears it before any dispatch; False if it was not for it."""
            # Danger: a client that has gone, or floods before its answer, must not be held to be taken on. One that
            # sends a few whole commands behind its first is answered each in turn.
            try:
                behind = waiting(stream, read)
                there = behind is not None
                if there and (behind or parser.partial):
                    parser.behind(behind)
            except resp.MalformedError:
                there = False
            if there:
                writes.append(stream.write(resp.answer(said)))
                writes[0].add_done_callback(seen)
                there = not stream.closed()  # by a client that has gone since it was looked at
            if there:
                if isinstance(said, Taken) and not said.known and entry in self._streams:
                    self._table.count_message(entry)
                    if self._gate is not None:
                        self._gate.took(self._wheel.now, entry)
            told()
            return there

        self._ask(words, answer, entry)
        read.add_done_callback(gone)
        await answered  # its deadline is the desk's: every request is answered at its next tick
        if not writes:
            await read  # raises if the client has gone
            raise resp.MalformedError("too much behind one command")
        return writes[0]

    def _ask(self, words: list[bytes], answer: Callable, entry: ConnectionEntry) -> None:
        if len(words) != 5:
            raise Refused("wrong number of arguments for 'enqueue'")
        _, key, name, pairs, body = words
        if not WORD.match(key) or not WORD.match(name):
            raise Refused("malformed key or id")
        told = {}
        for pair in pairs.decode("utf-8", "replace").split(","):
            what, equals, value = pair.partition("=")
            if not equals or what in told:
                raise Refused("malformed list of names and values")
            told[what] = value
        for what in ("c", "d", "dest"):
            if what not in told:
                raise Refused(f"{what} is missing")
        if not WORD.match(told.get("k", "none").encode()):
            raise Refused("malformed idempotency key")
        for what in ("d", "dest"):
            if not (told[what].isascii() and told[what].isdigit()) or len(told[what]) > 9:
                raise Refused(f"{what} is not a whole number")
        request = Request(
            name.decode(),
            key.decode(),
            0,
            int(told["dest"]),
            0.0,
            body,
            answer=answer,
            tenant=told.get("t", ""),
            idempotency_key=told.get("k", ""),
            client=entry.number,
        )
        self._desk.ask(
            told["c"],
            int(told["dest"]),
            int(told["d"]) / 1000,
            request,
            told.get("r") == "1",
            told.get("again") == "1",
            early=entry.commands == 1 and entry.number <= self._early,
        )

    # --- The end.

    def stop_accepting(self, shared: bool) -> None:
        """Close the listening socket and every connection between requests; the others after their answer.

        `shared`: the socket stays open elsewhere, and who waits in its queue will be served there.
        """
        if not shared:
            self._listener.take_waiting()
        self._closing = True
        self._listener.close()
        self.empty()

    def empty(self) -> None:
        """Close the connections between requests."""
        for entry in list(self._table.idle()):
            self._close_silent(self._streams[entry], "stopping")

    def end(self) -> None:
        """Close every connection, also in the middle of a command. What has come whole is still answered."""
        self._ending = True
        for stream, entry in list(self._entries.items()):
            if entry.state != ConnectionState.ANSWERING:
                self._close_silent(stream, "the end")

    def close(self) -> None:
        self._listener.close()
        for stream in list(self._entries):
            self._drop(stream, "the end")
        while self._closing_streams.close_oldest():
            pass
