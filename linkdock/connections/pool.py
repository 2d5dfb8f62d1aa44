"""Connections to backend servers: at most so many, idle ones given up before the other side closes them."""

from __future__ import annotations

import socket
from asyncio import Future
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from ..protocol.streams import seen, silent
from ..state.wheel import Timer, Wheel

if TYPE_CHECKING:
    from .choice import Choice

BUFFER = 256 * 1024   # of one connection: an answer holds at most a body of 64 KiB and its head
FRESH = -1.0          # the idle age of a connection that is new
BEHIND = 0.01         # seconds after an answer in which more than belongs to it may still come


class PoolFull(Exception):
    """Every connection that this process may open is in use."""


class Connection:
    """One connection to a backend server, owned by the pool while idle and by one call while in use."""

    __slots__ = ("server", "kind", "dial", "stream", "timer", "first", "rested_at", "idle_since", "age")

    def __init__(self, server: str, kind: int, dial: tuple[str, int], stream: IOStream) -> None:
        self.server, self.kind, self.dial, self.stream = server, kind, dial, stream
        self.idle_since, self.age = 0.0, FRESH   # and for how long it had been idle when it was taken
        self.timer: Timer | None = None
        self.first = None       # the read that waits for the next answer
        self.rested_at = 0.0    # on the wheel's clock: until then more may come behind the last answer


class ConnectionPool:
    """Owner of every connection to a backend server; `give_back` and `discard` end their use."""

    def __init__(self, wheel: Wheel, idle_for: float, most: int) -> None:
        self._wheel, self._idle_for, self._most = wheel, idle_for, most
        self._idle: dict[str, list[Connection]] = {}
        self._count = 0
        self.choice: Choice | None = None   # what is learned of idle connections, where that is on

    def take(self, server: str, dial: tuple[str, int], careful: bool = False) -> Connection | None:
        """An idle connection that is alive, the freshest first, with its first read begun.

        With a choice, None where even that is too likely dead for what is to be sent: `careful` if that may not be
        repeated.
        """
        while kept := self._idle.get(server):
            connection = kept[-1]
            connection.age = self._wheel.now - connection.idle_since
            if self.choice is not None and not self.choice.may_use(server, connection.kind, connection.age, careful):
                if not careful:
                    self.retire(server)   # the others are older still
                return None
            self._remove(connection)
            # Danger: the other side closed it, or spoke out of turn. A request written now would be reset,
            # which an unsafe one does not survive, or get a stray answer.
            if connection.dial == dial and silent(connection.stream, connection.first):
                return connection
            self.discard(connection)
        return None

    def used(self, connection: Connection, alive: bool) -> None:
        """The server has answered on it, or it broke before anything came."""
        if self.choice is not None:
            self.choice.used(self._wheel.now, connection.server, connection.kind, connection.age, alive)

    def open(self, server: str, kind: int, dial: tuple[str, int]) -> Connection:
        """A new connection, not yet connected. The oldest idle one makes room when all are taken."""
        if self._count >= self._most:
            idle = [kept[0] for kept in self._idle.values()]
            if not idle:
                raise PoolFull
            self._drop_idle(min(idle, key=lambda c: c.timer.turn))
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._count += 1
        return Connection(server, kind, dial, IOStream(sock, max_buffer_size=BUFFER))

    def give_back(self, connection: Connection) -> None:
        """The call is over and the connection can carry another, while it lies idle in silence."""
        try:
            if connection.first is None:
                connection.first = connection.stream.read_bytes(BUFFER, partial=True)
        except StreamClosedError:
            return self.discard(connection)
        connection.rested_at = self._wheel.now + BEHIND
        connection.idle_since = self._wheel.now
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
        for server in list(self._idle):
            self.retire(server)
