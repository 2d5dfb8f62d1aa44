"""The pool that the manager's orders are carried out by, on sockets: on by `deploy/connections.json`.

It has the plain pool's face for what ends a connection's use, and `ask` in place of `take` and `open`.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path

from tornado.iostream import StreamClosedError

from ..errors import log_line
from ..facade import Peer
from ..state.wheel import Wheel
from ..streams import seen, silent
from . import view
from .choice import Choice, ConnectionsSettings
from .manager import ConnectionManager
from .orders import ROUND, Action, Close, Fail, Open, Ticket, Use
from .pool import BEHIND, BUFFER, Connection, PoolFull, new_stream

log = logging.getLogger(__name__)


class Asked(Ticket):
    """A call's ticket, and the future that its connection comes by."""

    __slots__ = ("got",)

    def __init__(self, server: str, kind: int, peer: Peer, careful: bool) -> None:
        """A request for a connection to `peer`, by the row of `server`; `careful`: its call must not be repeated."""
        super().__init__(server, kind, peer, careful)
        self.got: asyncio.Future[Connection] = asyncio.get_running_loop().create_future()
        self.got.add_done_callback(seen)  # its call may be over before it comes


class KeptPool:
    """Owner of every connection to a backend server."""

    def __init__(
        self,
        settings: ConnectionsSettings,
        wheel: Wheel,
        spawn: Callable[[Coroutine], None],
        blocked: Callable[[str], str | None],
        most: int,
        idle_for: float,
        connect_timeout: float,
        cold_share: float,
        cold_time: float,
        folder: Path,
    ) -> None:
        """`blocked` says why a server may not be dialled now, if so; `most` connections are held at once."""
        self._wheel, self._spawn, self._blocked, self._connect_timeout = wheel, spawn, blocked, connect_timeout
        self.manager = ConnectionManager(
            settings, Choice(settings), most, idle_for, connect_timeout, cold_share, cold_time
        )
        self._opening: set[Connection] = set()
        self._resting: set[Connection] = set()
        self._idle: set[Connection] = set()
        self._file = view.StateFile(folder / settings.file) if settings.file else None
        self._file_s, self._written_at = settings.file_s, wheel.now
        self._closed = self._carrying = False
        self._ordered: deque[Action] = deque()
        self._round()

    # --- What a call says.

    def ask(self, server: str, kind: int, peer: Peer, careful: bool) -> Asked:
        """A wish for a connection. Its future `got` gives a Connection whose peer is silent.

        It fails with PoolFull if none is to be had in time, with StreamClosedError if the server cannot be reached.
        """
        asked = Asked(server, kind, peer, careful)
        self._do(self.manager.ask(self._wheel.now, asked))
        return asked

    def give_up(self, asked: Asked) -> None:
        """The call is over before it was given a connection; one that it was given just now goes back."""
        if not asked.got.done():
            self.manager.give_up(self._wheel.now, asked)
            asked.got.set_exception(StreamClosedError())

    def __len__(self) -> int:
        """Connections that are up or being opened."""
        return len(self.manager)

    def hold_at_most(self, most: int) -> None:
        """So many from now on; idle ones beyond it are closed."""
        self._do(self.manager.hold_at_most(self._wheel.now, most))

    def serves(self, server: str) -> bool:
        """Whether a connection to it is up, so that a call which got none was only not served in time."""
        return self.manager.serves(server)

    def used(self, connection: Connection, alive: bool, seconds: float = 0.0) -> None:
        """The server has begun to answer on it, so long after the request, or it broke before anything came."""
        if alive:
            self.manager.answered(self._wheel.now, connection, seconds)
        else:
            self.manager.reset(self._wheel.now, connection)

    def told_full(self, connection: Connection, seconds: float) -> None:
        """The server answered, so fast, that it takes no more."""
        self.manager.told_full(self._wheel.now, connection, seconds)

    def give_back(self, connection: Connection) -> None:
        """The call is over and the connection can carry another, once it has lain in silence."""
        if self._closed or not self._listen(connection):
            return self.discard(connection)
        self._resting.add(connection)
        self.manager.rests(connection)
        connection.timer = self._wheel.after(BEHIND, partial(self._rested, connection))

    def _rested(self, connection: Connection) -> None:
        """Danger: what still comes behind the last answer would pass for the answer to the next call."""
        connection.timer = None
        self._resting.discard(connection)
        if not silent(connection.stream, connection.first):
            return self.discard(connection)
        self._idle.add(connection)
        self._do(self.manager.give_back(self._wheel.now, connection))

    def discard(self, connection: Connection) -> None:
        """The call is over and so is the connection."""
        connection.stream.close()
        self._do(self.manager.ended(self._wheel.now, connection))

    def retire(self, server: str) -> None:
        """Close the idle connections to one server."""
        for connection in [c for c in self._resting if c.server == server]:
            connection.timer.cancel()
            self._resting.discard(connection)
            self.discard(connection)
        self._do(self.manager.retire(server))

    # --- What the manager orders.

    def _do(self, actions: list[Action]) -> None:
        """Danger: an action's own consequences come after those that were ordered before it, and do not pile up calls
        in calls where hundreds of kept connections are found dead one after another."""
        self._ordered.extend(actions)
        if self._carrying:
            return
        self._carrying = True
        try:
            while self._ordered:
                self._carry_out(self._ordered.popleft())
        finally:
            self._carrying = False

    def _carry_out(self, action: Action) -> None:
        match action:
            case Use(asked, connection):
                self._idle.discard(connection)
                self._use(asked, connection)
            case Open() if self._closed:
                pass  # the end: what is ordered by calls that are given up is not begun any more
            case Open(server, kind, peer):
                try:
                    connection = Connection(server, kind, peer, new_stream())
                except PoolFull as bad:
                    log.info("backend server %s: %s", server, log_line(bad))
                    return self._do(self.manager.no_descriptor(self._wheel.now, server))
                self._opening.add(connection)
                self._spawn(self._open(connection))
            case Close(connection):
                self._idle.discard(connection)
                connection.stream.close()
            case Fail(asked, full):
                if not asked.got.done():
                    asked.got.set_exception(PoolFull() if full else StreamClosedError())

    def _use(self, asked: Asked, connection: Connection) -> None:
        if asked.got.done():  # given up while the orders were carried out
            self._idle.add(connection)
            self._do(self.manager.unused(self._wheel.now, connection))
        elif not silent(connection.stream, connection.first):
            # Danger: the other side closed it, or spoke out of turn. A request written now would be reset, which an
            # unsafe one does not survive, or get a stray answer.
            connection.stream.close()
            self._do(self.manager.again(self._wheel.now, asked, connection))
        else:
            asked.got.set_result(connection)

    async def _open(self, connection: Connection) -> None:
        began, up = self._wheel.now, False
        timer = self._wheel.after(self._connect_timeout, connection.stream.close)
        try:
            if not self._closed:
                await connection.stream.connect(connection.peer.address)
                up = self._listen(connection)
        except (StreamClosedError, OSError):
            pass
        finally:
            timer.cancel()
            self._opening.discard(connection)
            if not up or self._closed:
                connection.stream.close()
                self._do(self.manager.failed(self._wheel.now, connection.server, connection.peer))
        if up and not self._closed:
            self._idle.add(connection)
            self._do(self.manager.ready(self._wheel.now, connection, self._wheel.now - began))

    def _listen(self, connection: Connection) -> bool:
        """Begin the read by which the server's closing, or its talk out of turn, is seen."""
        try:
            if connection.first is None:
                connection.first = connection.stream.read_bytes(BUFFER, partial=True)
        except OSError:  # a closed stream's among them
            return False
        connection.first.add_done_callback(partial(self._spoke, connection))
        return True

    def _spoke(self, connection: Connection, read: asyncio.Future) -> None:
        """Danger: a server that sends more than it was asked for, on and on, while nobody reads it."""
        seen(read)
        if connection in self._idle:
            self._idle.discard(connection)
            self.discard(connection)

    # --- What time does.

    def _round(self) -> None:
        if self._closed:
            return
        self._wheel.after(ROUND, self._round)
        self._do(self.manager.round(self._wheel.now, self._blocked))
        if self._file is not None and self._wheel.now - self._written_at >= self._file_s:
            self._written_at = self._wheel.now
            self._file.write(view.rows(self.manager, self._wheel.now))

    def close(self) -> None:
        """Every connection is closed. Calls have ended before."""
        self._closed = True
        for connection in (*self._opening, *self._resting, *self._idle):
            connection.stream.close()
        if self._file is not None:
            self._file.write(view.rows(self.manager, self._wheel.now))
