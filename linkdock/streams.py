"""What both sides, clients and backend servers, need of a stream beyond Tornado's own."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream

PEEK = 64 * 1024   # bytes that are looked at; a client that has sent more floods


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


def waiting(stream: IOStream, read: asyncio.Future) -> bytes | None:
    """What has come on a stream whose next read is `read`, without taking it; None if its peer has gone."""
    if read.done():
        return None if read.cancelled() or read.exception() is not None else read.result()
    if stream.closed():
        return None
    try:
        return stream.socket.recv(PEEK, socket.MSG_PEEK) or None
    except BlockingIOError:
        return b""
    except OSError:
        return None


def seen(future: asyncio.Future) -> None:
    """For reads and writes whose failure is no news: a peer that went."""
    if not future.cancelled():
        future.exception()
