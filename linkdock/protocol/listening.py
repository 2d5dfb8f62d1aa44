"""The listening sockets of a front: connections are taken in batches, and descriptors may run out.

With no descriptor left a connection stays at the head of the queue, the socket stays readable, and a loop that
only tries again takes the whole core. So one spare descriptor is kept, by which those that wait are refused, and then
nobody is let in for a moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import socket
import stat
from collections.abc import Callable

from ..state.wheel import Wheel

log = logging.getLogger(__name__)

BACKLOG = 512  # connections that may wait for this process,
BATCH = 64  # and that are taken in one turn
PAUSE = 0.05  # seconds without looking after descriptors had run out
SAY_EVERY = 5.0  # seconds between two lines about it
# The system or this process has none left, of descriptors or of memory for them.
NO_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


def inherited(number: int) -> socket.socket:
    """The listening socket that this process was started with, to be shared with others. Raises OSError."""
    if not stat.S_ISSOCK(os.fstat(number).st_mode):
        raise OSError(errno.ENOTSOCK, "is no socket")
    sock = socket.socket(fileno=number)
    try:
        if sock.family != socket.AF_INET or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(errno.EINVAL, "is no listening TCP socket")
        sock.setblocking(False)
        os.set_inheritable(number, False)
    except OSError:
        sock.detach()
        raise
    return sock


class Listener:
    """Owner of listening sockets and of the spare descriptor. `taken` is called with each socket and its address."""

    def __init__(
        self, sockets: list[socket.socket], wheel: Wheel, taken: Callable[[socket.socket, tuple], None]
    ) -> None:
        """Accept on `sockets`; each connection is given to `taken` with its client's address."""
        self._sockets, self._wheel, self._taken = sockets, wheel, taken
        self._loop = asyncio.get_running_loop()
        self._spare: int | None = None
        self._said_at = -SAY_EVERY
        self._closed = False
        self._unseen = set(sockets)  # not found empty yet
        self.refused = 0  # for want of descriptors, since the start
        self._keep_spare()
        self._look()
        self._loop.call_soon(self._first)

    @property
    def catching_up(self) -> bool:
        """Whether what is taken now may have waited in the queue for this process to start."""
        return bool(self._unseen)

    def _first(self) -> None:
        """Look once unasked: a queue empty at the start is never readable, and its first client would seem early."""
        for sock in list(self._unseen):
            self._readable(sock)

    def _keep_spare(self) -> None:
        if self._spare is None:
            with contextlib.suppress(OSError):
                self._spare = os.open(os.devnull, os.O_RDONLY)

    def _look(self) -> None:
        """Take part in the loop, again after a pause."""
        if not self._closed:
            self._keep_spare()
            for sock in self._sockets:
                self._loop.add_reader(sock, self._readable, sock)

    def _readable(self, sock: socket.socket) -> bool:
        """Take a batch; whether more may wait."""
        for _ in range(BATCH):
            if self._closed:  # by what the last one brought about
                return False
            try:
                connection, address = sock.accept()
            except (BlockingIOError, InterruptedError):
                self._unseen.discard(sock)
                return False
            except OSError as bad:
                if bad.errno in NO_ROOM:
                    self._refuse(sock, bad)
                    return False
                continue  # its client has gone already, or was never whole
            self._taken(connection, address)  # which looks at what is cheap first: a flood comes this way
        return True

    def _refuse(self, sock: socket.socket, bad: OSError) -> None:
        """Those that wait hear a close; then there is a pause, in which others may give theirs back."""
        refused = 0
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None
            with contextlib.suppress(OSError):
                while refused < BATCH:
                    sock.accept()[0].close()
                    refused += 1
            self._keep_spare()
        self.refused += refused
        if self._wheel.now - self._said_at >= SAY_EVERY:
            self._said_at = self._wheel.now
            log.error("no descriptor for a client: %s; %d refused so far", bad.strerror, self.refused)
        for other in self._sockets:
            self._loop.remove_reader(other)
        self._wheel.after(PAUSE, self._look)

    def take_waiting(self) -> None:
        """Take all that wait: closed with the socket they are reset, and their requests get no answer."""
        for sock in self._sockets:
            for _ in range(BACKLOG // BATCH):  # and no more: a flood must not keep it open
                if not self._readable(sock):
                    break

    def close(self) -> None:
        """Stop accepting, and give back the sockets and the spare descriptor."""
        if self._closed:
            return
        self._closed = True
        for sock in self._sockets:
            self._loop.remove_reader(sock)
            sock.close()
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None
