"""What both sides, clients and backend servers, need of a stream beyond Tornado's own."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable

from tornado.iostream import IOStream

PEEK = 64 * 1024  # bytes that are looked at; a client that has sent more floods
LINGER_S = 0.5  # seconds for a peer to read what was written last and to close,
LINGER_BYTES = 512 * 1024  # and for so many bytes of what it sends meanwhile
TCP_INFO = struct.Struct("=44xI4xI88xI")  # of `struct tcp_info` (linux/tcp.h): last_data_sent, last_data_recv, notsent
CLOCK_MONOTONIC_COARSE = 6  # of clock_gettime(2); it moves on with the kernel's timer, by which a socket keeps time


def silent(stream: IOStream, read: asyncio.Future) -> bool:
    """Whether nothing has come on a stream whose next read is `read`: neither bytes nor its end.

    Looks past the loop, which may not have come to it yet.
    """
    if read.done() or stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def answer_lag(stream: IOStream) -> float:
    """At least how many seconds after the last byte that was sent on a stream the last one came that was read.

    By the times that the kernel keeps, which do not depend on when a process came to write and to read. 0.0 where they
    tell nothing: more has come since, something is unsent yet, or the kernel has none.
    """
    if stream.closed():
        return 0.0
    try:
        tick = time.clock_getres(CLOCK_MONOTONIC_COARSE)
        info = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        sent, received, unsent = TCP_INFO.unpack(info)  # ms ago, ms ago, bytes
        if unsent or stream.socket.recv(1, socket.MSG_PEEK):
            return 0.0
    except BlockingIOError:
        pass  # nothing more has come
    except (OSError, struct.error):
        return 0.0
    return max(0.0, (sent - received) / 1000 - tick)


def waiting(stream: IOStream, read: asyncio.Future) -> bytes | None:
    """What has come on a stream whose next read is `read`, without taking it; None if its peer has gone.

    A stream may be closed though its read has brought bytes: its peer's end came with them, or right behind.
    """
    if stream.closed():
        return None
    if read.done() and (read.cancelled() or read.exception() is not None):
        return None
    data = read.result() if read.done() else b""
    try:
        more = stream.socket.recv(PEEK, socket.MSG_PEEK)
    except BlockingIOError:
        return data
    except OSError:
        return None
    return data + more if more else data or None


def shut(stream: IOStream) -> None:
    """End what is sent on a stream now, unless some of it still waits to be written."""
    try:
        if not stream.closed() and not stream.writing():
            stream.socket.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # its peer has gone


async def lingering_close(stream: IOStream, read: asyncio.Future | None, after: Callable) -> None:
    """Close a stream whose next read is `read`, if there is one. What still comes is thrown away, whatever it is.

    Closing over bytes that were not read would reset the connection, and the last answer would be lost with it.
    """
    timer, left = after(LINGER_S, stream.close), LINGER_BYTES
    try:
        await stream.write(b"")  # behind all that is to be written
        shut(stream)
        while left > 0:
            left -= len(await (read or stream.read_bytes(PEEK, partial=True)))
            read = None
            await asyncio.sleep(0)
    except OSError:  # a closed stream's among them
        pass  # its peer has closed too, or took too long
    finally:
        timer.cancel()
        stream.close()


class ClosingStreams:
    """Owner of streams that are being closed by `lingering_close`; each holds a descriptor until that is over."""

    def __init__(self, after: Callable, spawn: Callable) -> None:
        """`after` sets a timer in seconds, `spawn` starts a task."""
        self._after, self._spawn = after, spawn
        self._streams: dict[IOStream, None] = {}  # the oldest first

    def __len__(self) -> int:
        """Streams that are not closed yet."""
        return len(self._streams)

    def add(self, stream: IOStream, read: asyncio.Future | None) -> None:
        """Nothing more is sent on it; its next read is `read`, if there is one."""
        shut(stream)
        self._streams[stream] = None
        self._spawn(self._close(stream, read))

    async def _close(self, stream: IOStream, read: asyncio.Future | None) -> None:
        try:
            await lingering_close(stream, read, self._after)
        finally:
            self._streams.pop(stream, None)

    def close_oldest(self) -> bool:
        """Close the oldest at once; whether there was one."""
        stream = next(iter(self._streams), None)
        if stream is None:
            return False
        del self._streams[stream]
        stream.close()
        return True


def seen(future: asyncio.Future) -> None:
    """For reads and writes whose failure is no news: a peer that went."""
    if not future.cancelled():
        future.exception()
