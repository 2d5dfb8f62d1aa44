"""What the frontend and the calls need of a stream beyond Tornado's own."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream


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


def seen(future: asyncio.Future) -> None:
    """For reads and writes whose failure is no news: a peer that went."""
    if not future.cancelled():
        future.exception()
