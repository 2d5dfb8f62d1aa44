"""The program on a machine whose system calls fail as Linux documents and whose wall clock is stepped.

    LINKDOCK_FAULTS=clock,sockets,disk LINKDOCK_FAULT_SEED=7 python -m linkdock.lab.restart_soak.system_faults

`clock`: the file that LINKDOCK_CLOCK names holds the seconds by which `time.time` is off. `sockets`: socket, accept,
connect, recv and send on IPv4 fail or do a part, and waits return early. `disk`: writes and syncs of files fail or do
a part. EINTR is not among the errors: Python calls again by itself (PEP 475).
"""

from __future__ import annotations

import errno
import os
import selectors
import socket
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

from ...service import run as process

CLOCK, SOCKETS, DISK = "clock", "sockets", "disk"
KINDS = (CLOCK, SOCKETS, DISK)

# Shares of the calls.
SOCKET_FAILS = 0.02
ACCEPT_FAILS = 0.02
CONNECT_FAILS = 0.02
TRANSFER_FAILS = 0.001
TRANSFER_SHORT = 0.05
WAIT_INTERRUPTED = 0.02
WRITE_FAILS = 0.01
WRITE_SHORT = 0.01
SYNC_FAILS = 0.05

SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ECONNREFUSED)
RECEIVE_ERRORS = (errno.ETIMEDOUT, errno.ECONNRESET, errno.EHOSTUNREACH, errno.ENOMEM)
SEND_ERRORS = (errno.ETIMEDOUT, errno.ECONNRESET, errno.EPIPE, errno.EHOSTUNREACH, errno.ENOBUFS)
WRITE_ERRORS = (errno.ENOSPC, errno.EIO, errno.EDQUOT)


def _error(number: int) -> OSError:
    return OSError(number, os.strerror(number))


def _step_clock(luck: Random) -> None:
    path, real = Path(os.environ["LINKDOCK_CLOCK"]), time.time
    time.time = lambda: real() + float(path.read_text())


def _fail_sockets(luck: Random) -> None:
    def failing(name: str, share: float, errors: tuple[int, ...]) -> None:
        real = getattr(socket.socket, name)

        def call(self: socket.socket, *given: object) -> object:
            if self.family == socket.AF_INET and luck.random() < share:
                raise _error(luck.choice(errors))
            return real(self, *given)

        setattr(socket.socket, name, call)

    failing("accept", ACCEPT_FAILS, ACCEPT_ERRORS)
    failing("connect", CONNECT_FAILS, CONNECT_ERRORS)
    _fail_socket(luck)
    failing("recv", TRANSFER_FAILS, RECEIVE_ERRORS)
    failing("recv_into", TRANSFER_FAILS, RECEIVE_ERRORS)
    failing("send", TRANSFER_FAILS, SEND_ERRORS)
    _shorten_transfers(luck)
    wait = selectors.EpollSelector.select

    def interrupted(self: selectors.EpollSelector, timeout: float | None = None) -> list:
        return [] if luck.random() < WAIT_INTERRUPTED else wait(self, timeout)

    selectors.EpollSelector.select = interrupted


def _fail_socket(luck: Random) -> None:
    real, connect, started = socket.socket.__init__, socket.socket.connect, []

    def begin(
        self: socket.socket, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
    ) -> None:
        if started and fileno is None and family == socket.AF_INET and luck.random() < SOCKET_FAILS:
            raise _error(luck.choice(SOCKET_ERRORS))
        real(self, family, type, proto, fileno)

    def first_connect(self: socket.socket, address: tuple[str, int]) -> None:
        started.append(True)  # a process that cannot listen at its start serves nobody
        socket.socket.connect = connect
        connect(self, address)

    socket.socket.__init__, socket.socket.connect = begin, first_connect


def _shorten_transfers(luck: Random) -> None:
    receive, send = socket.socket.recv_into, socket.socket.send

    def short(size: int) -> int:
        return luck.randint(1, size) if size > 1 and luck.random() < TRANSFER_SHORT else size

    def short_receive(self: socket.socket, buffer: bytearray, size: int = 0, flags: int = 0) -> int:
        if self.family != socket.AF_INET:
            return receive(self, buffer, size, flags)
        return receive(self, buffer, short(size or len(buffer)), flags)

    def short_send(self: socket.socket, data: bytes, flags: int = 0) -> int:
        size = len(data)
        return send(self, data if self.family != socket.AF_INET else memoryview(data)[: short(size)], flags)

    socket.socket.recv_into, socket.socket.send = short_receive, short_send


def _fail_disk(luck: Random) -> None:
    write, sync = os.write, os.fsync

    def failing_write(file: int, data: bytes) -> int:
        drawn = luck.random()
        if drawn < WRITE_FAILS:
            raise _error(luck.choice(WRITE_ERRORS))
        if drawn < WRITE_FAILS + WRITE_SHORT and len(data) > 1:
            return write(file, memoryview(data)[: luck.randint(1, len(data) - 1)])
        return write(file, data)

    def failing_sync(file: int) -> None:
        if luck.random() < SYNC_FAILS:
            raise _error(errno.EIO)
        sync(file)

    os.write, os.fsync = failing_write, failing_sync


INSTALL: dict[str, Callable[[Random], None]] = {CLOCK: _step_clock, SOCKETS: _fail_sockets, DISK: _fail_disk}

if __name__ == "__main__":
    for kind in os.environ["LINKDOCK_FAULTS"].split(","):
        INSTALL[kind](Random(f"{kind} {os.environ['LINKDOCK_FAULT_SEED']}"))
    process.leave(process.main())
