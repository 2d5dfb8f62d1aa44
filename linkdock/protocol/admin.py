"""The operators' address: one line to a connection, one answer, then the connection closes.

Danger: callers that connect and say nothing, or half a line, or a line without end. They hold one of a few places for
a few seconds at most, and a full house lets the oldest of them go for whoever comes: every whole call is answered at
once, so that whoever holds a place has not made one.
"""

from __future__ import annotations

import logging
import re
import socket
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from ..errors import LinkdockError, log_line
from ..state.wheel import Wheel
from ..streams import lingering_close
from .listening import Listener

log = logging.getLogger(__name__)

MOST = 24  # connections at once
MOST_LINE = 512  # bytes
WHOLE = 5.0  # seconds for a line to come whole
ID = re.compile(r"[!-~]{1,200}\Z")


class RefusalError(LinkdockError):
    """A call that is answered with a no, and its cause."""

    code = "LD-OPERATOR-NO"
    what = "an operator's call was answered with a no; nothing has changed"
    remedy = "Do what the answer says is wanting, and call again; `status` tells the duty and `stats` the figures"


class Desk(Protocol):
    """Who carries the calls out. Each raises RefusalError for a no, and returns what the yes says."""

    def status(self) -> str: ...

    def stats(self) -> list[str]: ...

    def maint_on(self, name: str) -> str: ...

    def maint_off(self, name: str) -> str: ...

    def standby(self) -> str: ...

    def active(self) -> str: ...


# Each call's method, and whether it names an endpoint.
CALLS = {
    "status": ("status", False),
    "stats": ("stats", False),
    "maint-on": ("maint_on", True),
    "maint-off": ("maint_off", True),
    "standby": ("standby", False),
    "active": ("active", False),
}


def answer(desk: Desk, line: bytes) -> bytes:
    """The answer to one line. Whatever it holds, there is one."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return b"-ERR a call is printable ASCII\n"
    if not words:
        return b"-ERR an empty line is no call\n"
    name, *rest = words
    if name not in CALLS:
        shown = name[:40] if ID.match(name) else "that"
        return f"-ERR unknown call {shown}; there are {', '.join(CALLS)}\n".encode()
    method, wants_id = CALLS[name]
    if len(rest) != wants_id:
        return f"-ERR {name} takes {'one id' if wants_id else 'no argument'}\n".encode()
    if wants_id and not ID.match(rest[0]):
        return b"-ERR an id is printable ASCII, at most 200 bytes\n"
    try:
        said = getattr(desk, method)(*rest)
    except RefusalError as why:
        if name != "status":  # Danger: on standby it says no as often as anybody looks
            log.info("the call %s: %s", name, log_line(why))
        return f"-ERR {why}\n".encode()
    except Exception:
        log.exception("the call %s failed", name)
        return b"-ERR the call failed; the log says why\n"
    if isinstance(said, list):
        return "".join(f"{part}\n" for part in [*said, "."]).encode()
    return f"+OK {said}\n".encode()


class Admin:
    """Owner of the operators' listening socket and of their connections."""

    def __init__(self, desk: Desk, listen: tuple[str, int], wheel: Wheel, spawn: Callable) -> None:
        self._desk, self._wheel, self._spawn = desk, wheel, spawn
        self._streams: dict[IOStream, None] = {}  # the oldest first
        sockets = bind_sockets(listen[1], listen[0], family=socket.AF_INET, backlog=128)
        self.port = sockets[0].getsockname()[1]
        self._listener = Listener(sockets, wheel, self._accepted)

    def __len__(self) -> int:
        return len(self._streams)

    def _accepted(self, sock: socket.socket, address: object) -> None:
        while len(self._streams) >= MOST:
            self._drop(next(iter(self._streams)))
        stream = IOStream(sock, max_buffer_size=2 * MOST_LINE, max_write_buffer_size=1 << 20)
        self._streams[stream] = None
        self._spawn(self._serve(stream))

    def _drop(self, stream: IOStream) -> None:
        """The one place where a connection is given back."""
        self._streams.pop(stream, None)
        stream.close()

    async def _serve(self, stream: IOStream) -> None:
        timer = self._wheel.after(WHOLE, lambda: self._drop(stream))
        try:
            data = b""
            while b"\n" not in data and len(data) <= MOST_LINE:
                data += await stream.read_bytes(MOST_LINE, partial=True)
            timer.cancel()
            line, end, _ = data.partition(b"\n")
            whole = end and len(line) <= MOST_LINE
            stream.write(answer(self._desk, line) if whole else b"-ERR the line is too long\n")
            await lingering_close(stream, None, self._wheel.after)
        except OSError:  # a closed stream's among them
            pass  # its caller has gone, or its time is over
        finally:
            timer.cancel()
            self._drop(stream)

    def close(self) -> None:
        self._listener.close()
        for stream in list(self._streams):
            self._drop(stream)
