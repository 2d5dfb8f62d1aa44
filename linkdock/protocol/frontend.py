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
from .door import BAD, BEGUN, BUSY, IDLE, Door, Place
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
        self._door, self._gate = Door(most, usual), gate  # the gate where `deploy/admission.json` is on
        self._reads: dict[IOStream, asyncio.Future] = {}  # every connection, with its next read
        self._places: dict[IOStream, Place] = {}  # and its place at the door,
        self._streams: dict[Place, IOStream] = {}  # both ways
        self._waits: dict[IOStream, asyncio.Future] = {}  # done with the read, or once the connection is given back
        self._closing_streams = ClosingStreams(wheel.after, spawn)  # those given back and not closed yet
        self._closing = self._ending = False
        self._early = 0  # number of the last place that may have waited for the start
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
            or not self._at_most(self._door.most - 1, host)
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
        place = self._places[stream] = self._door.enter(now)
        place.address, self._streams[place] = host, stream
        if self._listener.catching_up:
            self._early = place.number
        if gate is not None:
            gate.enter(now, place)
        if self.observer is not None:
            self.observer.joined(place.number, f"{address[0]}:{address[1]}", len(self._door))
        self._spawn(self._serve(stream, place))

    def __len__(self) -> int:
        """Connections of clients."""
        return len(self._door) + len(self._closing_streams)

    def hold_at_most(self, most: int) -> None:
        """There are so many places from now on; the least missed leave, none while it is answered."""
        self._door.most = most
        if self._gate is not None:
            self._gate.hold_at_most(most)
        self._at_most(most, "")

    def _at_most(self, most: int, host: str) -> bool:
        """Whether no more than so many have a place now; a few that were given back may not be closed yet."""
        while len(self._door) > most:
            if not self._make_room(host):
                return False
        while len(self) > most + self._door.bulk() and self._closing_streams.close_oldest():
            pass
        return True

    @staticmethod
    def _read(stream: IOStream) -> asyncio.Future:
        read = stream.read_bytes(BUFFER // 2, partial=True)
        read.add_done_callback(seen)
        return read

    def _silent(self, place: Place) -> bool:
        """Whether no command may just have come on it."""
        stream = self._streams[place]
        return silent(stream, self._reads[stream])

    def _make_room(self, host: str) -> bool:
        """Close what is least missed; not a connection on which a command may just have come."""
        useless, rest = self._door.least_missed(self._wheel.now)
        if self._gate is not None:
            useless, rest = (self._gate.may_make_room(self._wheel.now, part, host) for part in (useless, rest))
        room = 0
        for place in useless:
            if room >= self._door.bulk():
                break
            if place.state == BAD or self._silent(place):
                self._drop(self._streams[place], "room")
                room += 1
        if not room:
            place = next((p for p in rest if self._silent(p)), None)
            if place is None:
                return False
            self._drop(self._streams[place], "room")
        return True

    def _drop(self, stream: IOStream, why: str) -> None:
        """The one place where a connection is given back; its `_serve` ends by it, or with it."""
        place = self._places.pop(stream, None)
        if place is None:
            return
        if not stream.closed():
            self._closing_streams.add(stream, self._reads[stream] if stream.reading() else None)
        del self._reads[stream], self._streams[place]
        if (wait := self._waits.pop(stream, None)) is not None and not wait.done():
            wait.set_result(None)
        self._door.leave(place)
        if self._gate is not None:
            self._gate.leave(self._wheel.now, place, place.uselessness())
        if self.observer is not None:
            now = self._wheel.now
            if stream.error is not None:
                why = f"{why}: {stream.error}"
            self.observer.left(
                place.number,
                why,
                place.taken,
                place.commands,
                now - place.since,
                now - place.last if place.state == IDLE else 0.0,
            )

    async def _serve(self, stream: IOStream, place: Place) -> None:
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
                        if self._sent_away(place, parser):
                            why = "stopping"
                            return
                        data = await self._more(stream, place, parser, due)
                        due = due or self._wheel.now + WHOLE
                        parser.feed(data)
                        continue
                    due = None
                    place.commands += 1
                    if parser.partial:
                        parser.behind()
                    if not await self._command(stream, place, parser, words):
                        why = "told to"
                        return
                except (Refused, resp.OversizeError) as bad:
                    place.errors += 1
                    await self._written(stream, resp.error(f"ERR {bad}"))
                    if place.errors >= MOST_ERRORS:
                        why = "errors"
                        return
                    self._put(place, BAD)
                    await self._wheel.pause(PENALTY * place.errors)
                    self._put(place, BUSY)
        except resp.MalformedError as bad:
            why = "malformed"
            if not stream.closed():
                stream.write(resp.error(f"ERR Protocol error: {bad}"))
        except OSError:  # of a closed stream, or of a client that cannot be reached any more
            pass
        finally:
            self._drop(stream, why)

    def _sent_away(self, place: Place, parser: resp.CommandParser) -> bool:
        """Whether a connection between commands is to be closed now, because this process takes no more clients.

        Danger: one whose first command is on its way, or on which the next has just come. They are answered first.
        At the very end nothing more is waited for, and what has not been read comes again elsewhere.
        """
        if self._ending:
            return not self._reads[self._streams[place]].done()
        if not self._closing and (self.duty is None or self.duty.taking):
            return False
        return place.commands > 0 and not parser.partial and self._silent(place)

    def _put(self, place: Place, state: int) -> None:
        if place in self._streams:
            self._door.put(place, state, self._wheel.now)

    async def _written(self, stream: IOStream, data: bytes | asyncio.Future) -> None:
        """Danger: a client that sends and never reads; its answers must neither wait for ever nor pile up."""
        timer = self._wheel.after(STALLED, stream.close)
        try:
            await (stream.write(data) if isinstance(data, bytes) else data)
        finally:
            timer.cancel()

    async def _more(self, stream: IOStream, place: Place, parser: resp.CommandParser, due: float | None) -> bytes:
        """The next bytes. Danger: a trickle must not put off the deadline of a command that has begun."""
        if due is None:
            self._put(place, IDLE)
            for other in self._door.too_many(self._wheel.now):
                self._close_silent(self._streams[other], "too many idle")
            seconds, why = IDLE_FOR if place.taken else UNUSED_FOR, "idle"
        else:
            seconds, why = due - self._wheel.now, "command not whole"
            place.held = parser.held
            self._put(place, BEGUN)
            while sum(p.held for p in self._door.begun()) > self._most_held:
                self._drop(self._streams[max(self._door.begun(), key=lambda p: p.held)], "memory")
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
            self._put(place, BUSY)

    def _close_silent(self, stream: IOStream, why: str) -> None:
        """Danger: a request that has just come must not be met by a close, be it at the end of its time."""
        if stream in self._places and self._silent(self._places[stream]):
            self._drop(stream, why)

    async def _command(self, stream: IOStream, place: Place, parser: resp.CommandParser, words: list[bytes]) -> bool:
        """Answer one command; whether the connection goes on."""
        name = words[0].upper()
        if name == b"ENQUEUE":
            await self._written(stream, await self._enqueue(stream, place, parser, words))
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
        self, stream: IOStream, place: Place, parser: resp.CommandParser, words: list[bytes]
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
                if isinstance(said, Taken) and not said.known and place in self._streams:
                    self._door.took(place)
                    if self._gate is not None:
                        self._gate.took(self._wheel.now, place)
            told()
            return there

        self._ask(words, answer, place)
        read.add_done_callback(gone)
        await answered  # its deadline is the desk's: every request is answered at its next tick
        if not writes:
            await read  # raises if the client has gone
            raise resp.MalformedError("too much behind one command")
        return writes[0]

    def _ask(self, words: list[bytes], answer: Callable, place: Place) -> None:
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
            client=place.number,
        )
        self._desk.ask(
            told["c"],
            int(told["dest"]),
            int(told["d"]) / 1000,
            request,
            told.get("r") == "1",
            told.get("again") == "1",
            early=place.commands == 1 and place.number <= self._early,
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
        for place in list(self._door.idle()):
            self._close_silent(self._streams[place], "stopping")

    def end(self) -> None:
        """Close every connection, also in the middle of a command. What has come whole is still answered."""
        self._ending = True
        for stream, place in list(self._places.items()):
            if place.state != BUSY:
                self._close_silent(stream, "the end")

    def close(self) -> None:
        self._listener.close()
        for stream in list(self._places):
            self._drop(stream, "the end")
        while self._closing_streams.close_oldest():
            pass
