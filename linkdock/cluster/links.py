"""Connections and datagrams between the processes: kept, dialled again, bounded, and closed once they are silent.

One outgoing connection a peer carries all frames to it; what comes back on it is Keep alone. So a cut of one direction
is found by the side that talks. A sweep closes what is late: each wait on a socket ends by it, or by its own deadline.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable, Coroutine
from random import Random

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from .errors import Foreign
from .interface import MOST_FRAME, AnyPacket
from .wire import LENGTH, MOST_HELLO, AnyFrame, Keep, Seal, Session, size_of

log = logging.getLogger(__name__)

MOST_QUEUE = 256  # frames that wait for one peer; the oldest go first
MOST_LINKS = 1024  # peers with an outgoing connection, or one being dialled
MOST_ACCEPTED = 1024  # connections that others opened and that have shown the key
MOST_STRANGERS = 64  # and that have not yet; the oldest is closed for a new one
MOST_BATCH = 128 << 10  # bytes that are written at once, one frame at least
CONNECT = 1.0  # seconds until a connection is there, and until it is greeted
KEEP = 1.0  # seconds between two Keeps on a connection
SILENCE = 3.5  # seconds without a frame after which a connection is closed
WRITE = 2.0  # seconds in which what was written must have left
IDLE = 30.0  # seconds without a frame to send after which a connection is given up
FIRST_PAUSE, LONGEST_PAUSE = 0.05, 1.0
FAIR = 16  # frames of one connection that are read before others have their turn

Where = Callable[[str], tuple[str, int] | None]


def bind(host: str, port: int) -> tuple[socket.socket, socket.socket]:
    """A listening socket and one for datagrams, of the same port; any free one for 0. Raises OSError."""
    for _ in range(16):
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            tcp.bind((host, port))
            udp.bind((host, tcp.getsockname()[1]))
            tcp.listen(128)
            return tcp, udp
        except OSError as bad:
            tcp.close()
            udp.close()
            if port:
                raise
            failed = bad
    raise failed


async def _read(stream: IOStream, most: int) -> bytes:
    return await stream.read_bytes(size_of(await stream.read_bytes(LENGTH), most))


class _Link:
    """Owner of the outgoing connection to one peer, and of what waits for it."""

    def __init__(self, links: Links, peer: str) -> None:
        self._links, self._peer = links, peer
        self.queue: deque[AnyFrame] = deque(maxlen=MOST_QUEUE)
        self.wake = asyncio.Event()
        self.stream: IOStream | None = None
        self.heard = self.used = links.clock()

    async def run(self) -> None:
        pause = FIRST_PAUSE
        try:
            while not self._links.closed:
                began = self._links.clock()
                try:
                    await self._connection()
                    return  # idle
                except (OSError, StreamClosedError, TimeoutError):
                    self._links.count["broken"] += 1
                except Foreign as bad:
                    self._links.foreign(bad)
                finally:
                    if self.stream is not None:
                        self.stream.close()
                        self.stream = None
                now = self._links.clock()
                if now - self.used > IDLE or self._links.where(self._peer) is None:
                    return
                if now - began > SILENCE:
                    pause = FIRST_PAUSE
                await asyncio.sleep(pause * (0.5 + self._links.random.random()))
                pause = min(2 * pause, LONGEST_PAUSE)
        finally:
            self._links.over(self._peer)

    async def _connection(self) -> None:
        links, where = self._links, self._links.where(self._peer)
        if where is None:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        stream = self.stream = IOStream(sock, max_buffer_size=2 * MOST_FRAME)
        self.heard = links.clock()  # of what was before it this connection is not to be closed
        stream.set_nodelay(True)
        await asyncio.wait_for(stream.connect(where), CONNECT)
        session = links.seal.dial(self._peer)
        stream.write(session.hello())
        session.greeted(await asyncio.wait_for(_read(stream, MOST_HELLO), CONNECT))
        self.heard = links.clock()
        reader = links.spawn(self._listen(stream, session))
        try:
            await self._talk(stream, session)
        finally:
            reader.cancel()

    async def _listen(self, stream: IOStream, session: Session) -> None:
        try:
            while True:
                if not isinstance(session.read(await _read(stream, MOST_HELLO)), Keep):
                    raise Foreign("a message where only Keep belongs")
                self.heard = self._links.clock()
        except Foreign as bad:
            self._links.foreign(bad)
        except StreamClosedError:
            pass
        finally:
            stream.close()

    async def _talk(self, stream: IOStream, session: Session) -> None:
        links, kept = self._links, float("-inf")
        while True:
            now = links.clock()
            frames = []
            if now - kept >= KEEP:  # the first frame too: before it the other side takes no large one
                frames, kept = [session.frame(Keep())], now
            size = 0
            while self.queue and size < MOST_BATCH:
                try:
                    frames.append(session.frame(self.queue.popleft()))
                except ValueError as bad:
                    links.complain("a frame could not be sent: %s", bad)
                    continue
                size += len(frames[-1])
            if frames:
                links.count["frames_out"] += len(frames)
                links.count["bytes_out"] += sum(map(len, frames))
                await asyncio.wait_for(stream.write(b"".join(frames)), WRITE)
            if self.queue:
                continue
            if now - self.used > IDLE:
                return
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.01, kept + KEEP - now))
            except TimeoutError:
                pass


class _Accepted:
    """A connection that another process opened."""

    def __init__(self, stream: IOStream, session: Session, now: float) -> None:
        self.stream, self.session, self.heard, self.proven = stream, session, now, False


class _Server(TCPServer):
    def __init__(self, links: Links) -> None:
        super().__init__(max_buffer_size=2 * MOST_FRAME)
        self._links = links

    def handle_stream(self, stream: IOStream, address: tuple) -> Coroutine:
        return self._links.accepted(stream)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, links: Links) -> None:
        self._links = links

    def datagram_received(self, data: bytes, address: tuple) -> None:
        self._links.datagram(data)

    def error_received(self, bad: OSError) -> None:
        self._links.count["unreachable"] += 1


class Links:
    """Owner of the sockets.

    `where` gives a peer's address now; `heard` and `packet` take what comes in, and may not wait; `spawn` runs a
    coroutine as a task of the owner's.
    """

    def __init__(
        self,
        seal: Seal,
        sockets: tuple[socket.socket, socket.socket],
        where: Where,
        heard: Callable[[str, AnyFrame], None],
        packet: Callable[[AnyPacket], None],
        spawn: Callable[[Coroutine], asyncio.Task],
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """`sockets` are those of `bind`, owned from now on; `clock` gives seconds that only grow."""
        self.seal, self.where, self.spawn, self.clock, self.random = seal, where, spawn, clock, random
        self._heard, self._packet = heard, packet
        self._tcp, self._udp = sockets
        self.closed = False
        self.count = dict.fromkeys(
            (
                "frames_in",
                "bytes_in",
                "frames_out",
                "bytes_out",
                "datagrams_in",
                "datagram_bytes_in",
                "datagrams_out",
                "datagram_bytes_out",
                "foreign",
                "broken",
                "dropped",
                "unreachable",
                "refused",
            ),
            0,
        )
        self._links: dict[str, _Link] = {}
        self._accepted: dict[_Accepted, None] = {}
        self._said, self._unsaid = float("-inf"), 0
        self._server = _Server(self)
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self) -> None:
        """Take what comes in from now on."""
        self._server.add_socket(self._tcp)
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Datagrams(self), sock=self._udp
        )

    async def sweep(self) -> None:
        """Close what is late, until all is closed."""
        while not self.closed:
            await asyncio.sleep(KEEP / 4)
            self._sweep()

    def _sweep(self) -> None:
        now = self.clock()
        for one in list(self._accepted):
            if now - one.heard > (SILENCE if one.proven else CONNECT):
                one.stream.close()
        for link in self._links.values():
            if link.stream is not None and now - link.heard > SILENCE:
                link.stream.close()

    # --- Out.

    def send(self, to: str, message: AnyFrame) -> None:
        """Put it in line; it may get lost."""
        link = self._links.get(to)
        if link is None:
            if self.closed or self.where(to) is None or len(self._links) >= MOST_LINKS:
                self.count["dropped"] += 1
                return
            link = self._links[to] = _Link(self, to)
            self.spawn(link.run())
        self.count["dropped"] += len(link.queue) == MOST_QUEUE
        link.queue.append(message)
        link.used = self.clock()
        link.wake.set()

    def over(self, peer: str) -> None:
        """Forget the link to `peer`: its task ends."""
        self._links.pop(peer, None)

    def post(self, where: tuple[str, int], packet: AnyPacket) -> None:
        """One datagram; it may get lost."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            data = self.seal.datagram(packet)
            self._transport.sendto(data, where)
        except (ValueError, OSError) as bad:
            self.complain("a datagram could not be sent: %s", bad)
            return
        self.count["datagrams_out"] += 1
        self.count["datagram_bytes_out"] += len(data)

    # --- In.

    def datagram(self, data: bytes) -> None:
        """Hand on the packet in a datagram that has come; what is not of this fleet is counted and dropped."""
        self.count["datagrams_in"] += 1
        self.count["datagram_bytes_in"] += len(data)
        try:
            packet = self.seal.read_datagram(data)
        except Foreign as bad:
            self.foreign(bad)
            return
        self._packet(packet)

    async def accepted(self, stream: IOStream) -> None:
        """Read the frames of a connection that another process opened, until it closes or breaks the protocol."""
        strangers = [one for one in self._accepted if not one.proven]
        if len(strangers) >= MOST_STRANGERS:
            strangers[0].stream.close()
        if self.closed or len(self._accepted) - len(strangers) >= MOST_ACCEPTED:
            self.count["refused"] += 1
            stream.close()
            return
        one = _Accepted(stream, self.seal.accept(), self.clock())
        self._accepted[one] = None
        try:
            stream.set_nodelay(True)
            one.session.greeted(await _read(stream, MOST_HELLO))
            stream.write(one.session.hello())
            frames = 0
            while True:
                data = await _read(stream, MOST_FRAME if one.proven else MOST_HELLO)
                message = one.session.read(data)
                self._prove(one)
                self.count["frames_in"] += 1
                self.count["bytes_in"] += LENGTH + len(data)
                if not isinstance(message, Keep):
                    self._heard(one.session.peer, message)
                elif not stream.writing():  # else a peer that never reads would fill the write buffer without end
                    stream.write(one.session.frame(message))
                frames += 1
                if frames % FAIR == 0:
                    await asyncio.sleep(0)
        except Foreign as bad:
            self.foreign(bad)
        except (StreamClosedError, OSError):
            pass
        finally:
            del self._accepted[one]
            stream.close()

    def _prove(self, one: _Accepted) -> None:
        one.heard = self.clock()
        if not one.proven:
            one.proven = True
            for other in list(self._accepted):
                if other is not one and other.proven and other.session.peer == one.session.peer:
                    other.stream.close()  # it has dialled anew

    # --- What is wrong.

    def foreign(self, bad: Foreign) -> None:
        """Count and log what came from a process without the fleet's key or protocol."""
        self.count["foreign"] += 1
        self.complain("dropped what is not of this fleet: %s", bad)

    def complain(self, text: str, bad: Exception) -> None:
        """At most one line a second, whoever sends what."""
        now = self.clock()
        if now - self._said < 1.0:
            self._unsaid += 1
            return
        log.warning(text + " (and %d more such)", bad, self._unsaid)
        self._said, self._unsaid = now, 0

    def close(self) -> None:
        """Close all sockets; the owner cancels the tasks that it spawned for them."""
        if self.closed:
            return
        self.closed = True
        self._server.stop()
        self._tcp.close()
        if self._transport is None:
            self._udp.close()
        else:
            self._transport.close()
        for stream in [one.stream for one in self._accepted] + [link.stream for link in self._links.values()]:
            if stream is not None:
                stream.close()
