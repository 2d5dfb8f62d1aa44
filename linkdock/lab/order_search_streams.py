"""Connections to backend servers without sockets: a stream whose connect, answer and loss are events of a search.

`ScriptedStream` has the part of Tornado's `IOStream` that a call and the connection pool use. A write is whole at
once. Which process and which call a stream belongs to is read from two context variables, which tasks inherit.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from enum import Enum
from typing import Protocol

from tornado.iostream import StreamClosedError

PROCESS: ContextVar[int] = ContextVar("process", default=0)  # the number of the process whose code runs,
MESSAGES: ContextVar[tuple[str, ...]] = ContextVar("messages")  # and the messages of the call whose code runs


class StreamState(Enum):
    """What the world knows of one connection."""

    CONNECTING = "connecting"
    OUT = "out"  # the first byte has gone, and no whole answer has come back
    CLOSING = "closing"  # the sender closed it over a call; the server has not seen that yet
    ENDED = "ended"


class Observer(Protocol):
    """Who hears of what a sender does with a connection."""

    def opened(self, stream: ScriptedStream) -> None:
        """A connection is being made."""

    def first_byte(self, stream: ScriptedStream) -> None:
        """A call goes out on it."""

    def closed(self, stream: ScriptedStream) -> None:
        """The sender has closed it over a call."""


class _SilentSocket:
    """What `streams.silent` asks: nothing has come beside what the stream was given."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        raise BlockingIOError


class ScriptedStream:
    """One connection, and the call on it."""

    def __init__(self, observer: Observer) -> None:
        """`observer` hears what becomes of it."""
        self._observer = observer
        self.process, self.messages = PROCESS.get(), MESSAGES.get(())
        self.state = StreamState.CONNECTING
        self.closing_since = 0.0
        self.socket = _SilentSocket()
        self._closed = False
        self._connect: asyncio.Future | None = None
        self._read: asyncio.Future | None = None
        observer.opened(self)

    # --- What the program calls.

    def connect(self, dial: tuple[str, int]) -> asyncio.Future:
        """Begin to connect; the search says how that ends."""
        self._connect = asyncio.get_running_loop().create_future()
        return self._connect

    def write(self, data: bytes) -> asyncio.Future:
        """Raises StreamClosedError."""
        if self._closed:
            raise StreamClosedError
        self.state = StreamState.OUT
        self._observer.first_byte(self)
        done = asyncio.get_running_loop().create_future()
        done.set_result(None)
        return done

    def read_bytes(self, most: int, partial: bool = False) -> asyncio.Future:
        """Raises StreamClosedError, also where no call is out: each connection carries one call at the most."""
        if self._closed or self.state is not StreamState.OUT:
            self.close()
            raise StreamClosedError
        self._read = asyncio.get_running_loop().create_future()
        return self._read

    def writing(self) -> bool:
        """Whether bytes wait for the kernel: never."""
        return False

    def closed(self) -> bool:
        """Whether the sender has closed it, or it broke."""
        return self._closed

    def close(self) -> None:
        """The sender closes it."""
        if self._closed:
            return
        if self.state is StreamState.OUT:
            self.state = StreamState.CLOSING
            self._observer.closed(self)
        elif self.state is StreamState.CONNECTING:
            self.state = StreamState.ENDED
        self._fail()

    # --- What the world does.

    def connected(self) -> None:
        """The connection is up; the call goes out when the loop runs."""
        self._settle(self._connect, lambda future: future.set_result(None))

    def answer(self, data: bytes) -> None:
        """A whole answer comes, and the server closes the connection behind it."""
        self.state = StreamState.ENDED
        self._settle(self._read, lambda future: future.set_result(data))

    def lose(self) -> None:
        """It breaks, or is refused while it comes up."""
        self.state = StreamState.ENDED
        self._fail()

    def server_closed(self) -> None:
        """The server has seen the sender's close."""
        self.state = StreamState.ENDED

    def close_behind(self) -> None:
        """The server closes after its answer."""
        self._fail()

    def _fail(self) -> None:
        self._closed = True
        for future in (self._connect, self._read):
            self._settle(future, lambda future: future.set_exception(StreamClosedError()))

    @staticmethod
    def _settle(future: asyncio.Future | None, how: Callable[[asyncio.Future], None]) -> None:
        if future is not None and not future.done():
            how(future)
            future.add_done_callback(lambda done: done.cancelled() or done.exception())
