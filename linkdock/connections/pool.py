"""Connections to backend servers: at most so many, idle ones given up before the other side closes them."""

from __future__ import annotations

import socket
from asyncio import Future

from tornado.iostream import IOStream

from ..errors import LinkdockError
from ..facade import Peer
from ..state.wheel import Timer, Wheel
from ..streams import seen, silent
from . import FRESH

BUFFER = 256 * 1024  # of one connection: an answer holds at most a body of 64 KiB and its head
BEHIND = 0.01  # seconds after an answer in which more than belongs to it may still come


class PoolFull(LinkdockError):
    """Every connection that this process may open is in use, or the system has no descriptor for one."""

    code = "LD-POOL-FULL"
    what = "every connection to backend servers that may be open is in use, or no descriptor is left"
    remedy = "Raise limits.sockets and the system's limit of open files with it, or spread the load over more senders"


class Connection:
    """One connection to a backend server, owned by the pool while idle and by one call while in use."""

    __slots__ = (
        "server",
        "kind",
        "peer",
        "stream",
        "timer",
        "first",
        "rested_at",
        "idle_since",
        "age",
        "uses",
        "last_answer",
        "repeated",
    )

    def __init__(self, server: str, kind: int, peer: Peer, stream: IOStream) -> None:
        """A connection over `stream` that has just been opened to `peer`, by the row of `server`."""
        self.server, self.kind, self.peer, self.stream = server, kind, peer, stream
        self.idle_since, self.age, self.uses = 0.0, FRESH, 0  # the manager's, where there is one
        self.timer: Timer | None = None
        self.first = None  # the read that waits for the next answer
        self.rested_at = 0.0  # on the wheel's clock: until then more may come behind the last answer
        self.last_answer: int | None = None  # the hash of the last whole answer, by which a copy of it is known
        # Whether an answer was the same as the one before: a copy, perhaps, and those behind it one call late.
        self.repeated = False

    def repeats(self, status: int, headers: dict[str, str], body: bytes) -> bool:
        """Whether an answer is the same as the last one that came on it; it is the last from now on."""
        before, self.last_answer = self.last_answer, hash((status, tuple(headers.items()), body))
        repeats = before == self.last_answer
        self.repeated = self.repeated or repeats
        return repeats


def new_stream() -> IOStream:
    """A stream that is not connected yet. Raises PoolFull where no descriptor is left."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as bad:
        raise PoolFull(f"no descriptor: {bad.strerror}") from None
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return IOStream(sock, max_buffer_size=BUFFER)


class ConnectionPool:
    """Owner of every connection to a backend server; `give_back` and `discard` end their use."""

    def __init__(self, wheel: Wheel, idle_for: float, most: int) -> None:
        """Hold `most` connections at once, each idle for `idle_for` seconds at the longest."""
        self._wheel, self._idle_for, self._most = wheel, idle_for, most
        self._idle: dict[str, list[Connection]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Connections that are up or being opened."""
        return self._count

    def hold_at_most(self, most: int) -> None:
        """So many from now on; idle ones beyond it are closed."""
        self._most = most
        while self._count > most and self._make_room():
            pass

    def take(self, server: str, peer: Peer) -> Connection | None:
        """An idle connection to `peer` that is alive, the freshest first, with its first read begun."""
        while kept := self._idle.get(server):
            connection = kept[-1]
            self._remove(connection)
            # Danger: the other side closed it, or spoke out of turn. A request written now would be reset,
            # which an unsafe one does not survive, or get a stray answer. Or the row names another process by now.
            if connection.peer == peer and silent(connection.stream, connection.first):
                return connection
            self.discard(connection)
        return None

    def open(self, server: str, kind: int, peer: Peer) -> Connection:
        """A new connection, not yet connected. The oldest idle one makes room when all are taken."""
        if self._count >= self._most and not self._make_room():
            raise PoolFull("every connection that this process may open is in use")
        try:
            stream = new_stream()
        except PoolFull:
            if not self._make_room():
                raise
            stream = new_stream()  # by the descriptor that has just come free
        self._count += 1  # Danger: counted before, it would be counted for good where there is no descriptor
        return Connection(server, kind, peer, stream)

    def _make_room(self) -> bool:
        """Close the idle connection that would be retired first; whether there was one."""
        idle = [kept[0] for kept in self._idle.values()]
        if idle:
            self._drop_idle(min(idle, key=lambda c: c.timer.turn))
        return bool(idle)

    def give_back(self, connection: Connection) -> None:
        """The call is over and the connection can carry another, while it lies idle in silence."""
        try:
            if connection.first is None:
                connection.first = connection.stream.read_bytes(BUFFER, partial=True)
        except OSError:  # a closed stream's among them
            return self.discard(connection)
        connection.rested_at = self._wheel.now + BEHIND
        connection.timer = self._wheel.after(self._idle_for, lambda: self._drop_idle(connection))
        self._idle.setdefault(connection.server, []).append(connection)
        connection.first.add_done_callback(lambda read: self._spoke(connection, read))

    def _spoke(self, connection: Connection, read: Future) -> None:
        """Danger: a server that sends more than it was asked for, on and on, while nobody reads it."""
        seen(read)
        self._drop_idle(connection)

    def discard(self, connection: Connection) -> None:
        """The call is over and so is the connection."""
        connection.stream.close()
        self._count -= 1

    def _remove(self, connection: Connection) -> None:
        """It is not idle any more; a server without idle connections leaves nothing behind."""
        kept = self._idle[connection.server]
        kept.remove(connection)
        if not kept:
            del self._idle[connection.server]
        connection.timer.cancel()

    def _drop_idle(self, connection: Connection) -> None:
        if connection in self._idle.get(connection.server, ()):
            self._remove(connection)
            self.discard(connection)

    def retire(self, server: str) -> None:
        """Close the idle connections to one server."""
        for connection in list(self._idle.get(server, ())):
            self._drop_idle(connection)

    def close(self) -> None:
        """Close every idle connection."""
        for server in list(self._idle):
            self.retire(server)
