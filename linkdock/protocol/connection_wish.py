"""How one call gets its connection: a kept one, one that comes free, or a new one."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..connections.pool import Connection, PoolFull
from ..facade import Peer, Server
from ..streams import silent
from .backend import Backend

if TYPE_CHECKING:
    from ..connections.kept import Asked

NO_ROOM_PAUSE = 0.05  # seconds until a connection is tried again that there was no room for


class ConnectionWish:
    """One call's wish for a connection to a row's process. The call owns the connection that it gets."""

    def __init__(self, backend: Backend, server: str, row: Server | None, wanted: Callable[[], bool]) -> None:
        """`row` is the server's in the list; `wanted` says whether the call still has anything to send."""
        self._backend, self._server, self._row, self._wanted = backend, server, row, wanted
        self.connection: Connection | None = None
        self._asked: Asked | None = None  # where the keeper is on
        self._short = False  # whether it waits for a connection that this process has no room for

    async def fulfil(self, careful: bool) -> None:
        """Get one, unless the wish is given up meanwhile; `careful`: what is to be sent may not be repeated.

        Raises PoolFull where there is none to be had in time, and OSError where the server cannot be reached.
        """
        await (self._connect() if self._backend.kept is None else self._ask(careful))

    def give_up(self) -> None:
        """The call is over: close its connection, or wait for none any more."""
        if self.connection is not None:
            self.connection.stream.close()
        elif self._asked is not None:
            self._backend.kept.give_up(self._asked)

    def not_served(self) -> bool:
        """Whether there was no room for it, or it waited for one to come free and others were served."""
        if self.connection is None and self._asked is not None and self._backend.kept.serves(self._server):
            return True
        return self._short

    def replaced(self) -> bool:
        """Whether the row names another process by now than the one that the connection leads to."""
        row = self._backend.table.row(self._server)
        return row is not None and row.peer != self.connection.peer

    async def _connect(self) -> None:
        """A kept connection that is alive and silent, or a new one."""
        backend, peer = self._backend, self._row.peer
        self.connection = backend.pool.take(self._server, peer)
        while self.connection is not None and (rest := self.connection.rested_at - backend.wheel.now) > 0:
            # Danger: what still comes behind the last answer would pass for the answer to this call.
            await backend.wheel.pause(rest)
            if silent(self.connection.stream, self.connection.first):
                break
            backend.pool.discard(self.connection)
            self.connection = backend.pool.take(self._server, peer)
        if self.connection is None and self._wanted():
            self.connection = await self._open(peer)
            stream = self.connection.stream
            timer = backend.wheel.after(backend.connect_timeout, stream.close)
            try:
                await stream.connect(peer.address)
            finally:
                timer.cancel()

    async def _open(self, peer: Peer) -> Connection:
        """A connection to be made. Raises PoolFull where there is none to be had in time.

        Danger: descriptors that have run out. A call that failed at once would go through its requests' attempts in no
        time, and they would be lost for what is no fault of any server.
        """
        backend, until = self._backend, self._backend.wheel.now + self._backend.connect_timeout
        while True:
            try:
                return backend.pool.open(self._server, self._row.kind, peer)
            except PoolFull:
                if backend.wheel.now >= until:
                    raise
            self._short = True
            await backend.wheel.pause(NO_ROOM_PAUSE)
            if not self._wanted():
                raise PoolFull("given up")
            self._short = False

    async def _ask(self, careful: bool) -> None:
        """The keeper's: one that it trusts for what is to be sent, or the first that comes free or comes up."""
        while self.connection is None:
            self._asked = self._backend.kept.ask(self._server, self._row.kind, self._row.peer, careful)
            connection = await self._asked.got
            # Danger: a turn of the loop after the keeper's look. Its server may have closed it, or spoken, since.
            if silent(connection.stream, connection.first) or not self._wanted():
                self.connection = connection
            else:
                self._backend.kept.discard(connection)
