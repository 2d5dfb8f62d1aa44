"""Whatever closes a client's connection: bytes that come in that very moment cost nobody an answer."""

import asyncio
import contextlib
import errno
import random
import socket
import struct
import threading
import time
import types

import pytest
from peers import PATIENCE, Backend, settled
from tornado.iostream import IOStream

from linkdock.protocol import client_session, frontend
from linkdock.protocol.admin import Admin
from linkdock.protocol.frontend import Frontend
from linkdock.state.requests import Taken
from linkdock.state.wheel import Wheel

TICK = 0.005


def command(*words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


def message(name):
    return command(b"ENQUEUE", b"0", name, b"c=preview,d=6000,dest=1", b"x")


BAD = command(b"NONSENSE")


class Rig:
    """A real frontend on a loopback socket, its wheel turned, before a desk that takes on whatever it is asked."""

    def __init__(self, most=64, usual=64, most_held=1 << 20):
        self.loop = asyncio.get_running_loop()
        self.wheel, self.asked, self.late, self.tasks = Wheel(TICK, self.loop.time(), self.loop.time), [], {}, []
        listening = self.listening = socket.create_server(("127.0.0.1", 0), backlog=256)
        listening.setblocking(False)
        self.front = Frontend(self, [listening], self.wheel, self.spawn, most, usual, most_held)
        self.turning = self.loop.create_task(self._turn())
        drop = self.front.drop

        def hooked(session, why):
            # In the very moment of the close: between whatever was looked at before it, and what it does.
            if not session.dropped and not session.stream.closed():
                for sock, data in self.late.items():
                    if sock.getsockname() == session.stream.socket.getpeername():
                        with contextlib.suppress(ConnectionError):
                            sock.sendall(data)
            drop(session, why)

        self.front.drop = hooked

    async def _turn(self):
        while True:
            self.wheel.advance(self.loop.time())
            await asyncio.sleep(TICK)

    def spawn(self, work):
        self.tasks.append(self.loop.create_task(work))

    def ask(self, cls, destination, left, request, again, held, early=False):
        self.asked.append(request.id)
        request.answer(Taken())

    def client(self, late=b""):
        """A connection, and what it sends in the moment in which it is closed."""
        sock = socket.create_connection(("127.0.0.1", self.front.port))
        sock.setblocking(False)
        if late:
            self.late[sock] = late
        return sock

    async def heard(self, sock, lines=None):
        """So many lines, by default all up to the end of the connection."""
        data = b""
        while lines is None or data.count(b"\r\n") < lines:
            more = await asyncio.wait_for(self.loop.sock_recv(sock, 65536), 20)
            if not more:
                assert lines is None, data
                break
            data += more
        return data.split(b"\r\n")[:-1]

    async def close(self):
        self.front.close()
        self.turning.cancel()
        for task in self.tasks:
            task.cancel()
        for done in await asyncio.gather(*self.tasks, return_exceptions=True):
            assert done is None or isinstance(done, asyncio.CancelledError), done


def played(story, **more):
    async def whole():
        rig = Rig(**more)
        try:
            await asyncio.wait_for(story(rig), 60)
        finally:
            await rig.close()

    asyncio.run(whole())


LATE = message(b"late")


async def quits(rig, sock):
    sock.sendall(command(b"QUIT"))
    return [b"+OK"]


async def errs(rig, sock):
    sock.sendall(BAD)
    for _ in range(client_session.MOST_ERRORS - 1):
        await rig.heard(sock, 1)
        sock.sendall(BAD)
    return [b"-ERR unknown command 'NONSENSE'"]


async def garbles(rig, sock):
    sock.sendall(b"GET / HTTP/1.1\r\n")
    return [b"-ERR Protocol error: expected '*'"]


async def rests(rig, sock):
    sock.sendall(message(b"first"))  # and then nothing, up to the idle limit
    return [b"+OK"]


async def stays_unused(rig, sock):
    return []


async def halves(rig, sock):
    sock.sendall(message(b"first"))
    await rig.heard(sock, 1)
    sock.sendall(b"*5\r\n$7\r\nENQ")  # and no more
    return []


async def is_stopped(rig, sock):
    sock.sendall(message(b"first"))
    while not rig.asked:
        await asyncio.sleep(0)
    rig.front.stop_accepting(shared=False)  # right after the answer was written, which nobody has read
    return [b"+OK"]


async def is_one_too_many(rig, sock):
    sock.sendall(message(b"first"))
    while not rig.asked:
        await asyncio.sleep(0)
    others = [rig.client() for _ in range(4)]  # as many as are kept
    await asyncio.sleep(2 * client_session.IDLE_TIMEOUT / 5)
    for n, other in enumerate(others):
        other.sendall(message(b"other%d" % n))
        await rig.heard(other, 1)
    return [b"+OK"]


async def makes_room(rig, sock):
    sock.sendall(command(b"PING"))
    await rig.heard(sock, 1)
    rig.front.hold_at_most(0)
    return []


async def is_too_large(rig, sock):
    sock.sendall(b"*5\r\n$7\r\nENQUEUE\r\n$60000\r\n" + b"x" * 50000)
    return []


WAYS = {
    quits: {},
    errs: {},
    garbles: {},
    rests: {"IDLE_TIMEOUT": 0.1},
    stays_unused: {"COMMAND_TIMEOUT": 0.1},
    halves: {"COMMAND_TIMEOUT": 0.1},
    is_stopped: {},
    is_one_too_many: {"IDLE_TIMEOUT": 0.5},
    makes_room: {},
    is_too_large: {},
}


@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
def test_bytes_in_the_moment_of_a_close_reset_nothing_and_are_never_sent_on(way, monkeypatch):
    """Without a half-close the client's next read after the answer ends in a reset, and the answer may go with it."""
    for name, value in WAYS[way].items():
        monkeypatch.setattr(client_session, name, value)

    async def story(rig):
        sock = rig.client(late=LATE)
        expected = await way(rig, sock)
        heard = await rig.heard(sock)  # raises ConnectionResetError where the connection was reset
        assert heard == expected
        with contextlib.suppress(BrokenPipeError):
            sock.sendall(message(b"later"))  # also after the close
        sock.close()
        while len(rig.front):
            await asyncio.sleep(TICK)
        assert not {"late", "later"} & set(rig.asked)

    played(story, usual=16, most_held=40_000 if way is is_too_large else 1 << 20)


def test_who_goes_on_byte_by_byte_after_its_error_still_reads_it():
    """What comes is thrown away by its bytes: counted by reads, eight bytes on their own were as good as a flood."""

    async def story(rig):
        sock = rig.client()
        sock.sendall(b"GET / HTTP/1.1\r\n")
        for _ in range(30):
            sock.sendall(b"x")
            await asyncio.sleep(TICK)
        assert await rig.heard(sock) == [b"-ERR Protocol error: expected '*'"]

    played(story)


class Unreachable(IOStream):
    """A stream on which, once something has come, the system reports that its peer cannot be reached."""

    came = 0
    after = 0

    def read_from_fd(self, buffer):
        if Unreachable.came > Unreachable.after:
            raise OSError(errno.EHOSTUNREACH, "No route to host")
        got = super().read_from_fd(buffer)
        Unreachable.came += bool(got)
        return got


@pytest.mark.parametrize("after", [-1, 0, 1])
def test_a_client_that_cannot_be_reached_any_more_is_one_that_left(after, monkeypatch, caplog):
    """Found out by a read that is made at once: as it is taken, for the next command, while it is parting."""
    monkeypatch.setattr(frontend, "IOStream", Unreachable)
    monkeypatch.setattr(Unreachable, "came", 0)
    monkeypatch.setattr(Unreachable, "after", after)

    async def story(rig):
        sock = rig.client()
        sock.sendall(BAD if after < 1 else b"GET / HTTP/1.1\r\n")
        await asyncio.sleep(4 * TICK)
        with contextlib.suppress(ConnectionError):
            sock.sendall(b"more")
        with contextlib.suppress(ConnectionError):
            await rig.heard(sock)
        while len(rig.front):
            await asyncio.sleep(TICK)

    played(story)
    assert "Traceback" not in caplog.text


def test_an_operator_who_goes_on_behind_his_line_still_reads_its_answer():
    async def story(rig):
        desk = types.SimpleNamespace(status=lambda: "taking clients")
        admin = Admin(desk, ("127.0.0.1", 0), rig.wheel, rig.spawn)
        sock = socket.create_connection(("127.0.0.1", admin.port))
        sock.setblocking(False)
        sock.sendall(b"status\n")
        for _ in range(30):
            sock.sendall(b"x")
            await asyncio.sleep(TICK)
        data = b""
        while more := await asyncio.wait_for(rig.loop.sock_recv(sock, 4096), 20):
            data += more
        assert data == b"+OK taking clients\n"
        admin.close()

    played(story)


def test_descriptors_of_connections_that_are_being_closed_are_bounded():
    async def story(rig):
        clients = []
        for _ in range(60):  # each is told its error and stays
            clients.append(rig.client())
            clients[-1].sendall(b"GET / HTTP/1.1\r\n")
            await rig.heard(clients[-1], 1)
            assert len(rig.front) <= 20 + rig.front._table.bulk_size()
        assert await rig.heard(clients[0]) == []

    played(story, most=20)


def bad_inputs():
    """Each kind of bytes that are no message, by the words of the pages."""
    pairs = b"c=preview,d=6000,dest=1"
    told = {
        "unreadable": b"\x16\x03\x01\x02\x00",
        "a line without end": b"*" + b"1" * 5000,
        "no line": b"*5",
        "a wrong length": b"*5\r\n$3\r\nENQUEUE\r\n",
        "a negative length": b"*5\r\n$-7\r\n",
        "a huge length": b"*5\r\n$7\r\nENQUEUE\r\n$99999999999\r\n",
        "negative words": b"*-5\r\n",
        "nothing": b"",
        "60 MB": b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$3\r\nbad\r\n$%d\r\n%s\r\n$60000000\r\n" % (len(pairs), pairs)
        + b"x" * 900_000,
        "half a command": message(b"bad")[:40],
        "many at once": message(b"bad") * 300,
    }
    wrong = {
        "no class": b"d=6000,dest=1",
        "an unknown class": b"c=none,d=6000,dest=1",
        "no number": b"c=preview,d=x,dest=1",
        "an unknown destination": b"c=preview,d=6000,dest=77",
        "twice": pairs + b",d=1",
        "no list": b"preview",
    }
    for kind, words in wrong.items():
        told[kind] = command(b"ENQUEUE", b"0", b"bad", words, b"x")
    told["no id"] = command(b"ENQUEUE", b"0", b"", pairs, b"x")
    told["too few words"] = command(b"ENQUEUE", b"0", b"bad", pairs)
    return told


def test_bad_input_of_each_kind_hears_an_error_or_a_close_in_time_while_good_clients_are_served(start):
    """Hundreds at once: of each kind some stay, some go at once by a reset and some by an end, some come again."""
    server, kinds, rng = Backend("s1"), bad_inputs(), random.Random(5)
    program = start([server], limits={"sockets": 96, "memory_mb": 32}, limits__max_open=500)
    names, late, kept = set(), [], program.client()

    def serve():
        with contextlib.suppress(OSError):
            while True:
                line, call = server.take()
                names.add(call[1]["x-trace-id"])
                line.answer(200, Connection="close")
                line.close()

    def stays(kind):
        began = time.monotonic()
        with socket.create_connection(("127.0.0.1", program.port), PATIENCE) as sock:
            heard = b""
            with contextlib.suppress(ConnectionError):  # a close as well
                sock.sendall(kinds[kind])
                heard = sock.recv(4096)
            took = time.monotonic() - began
            if heard[:1] not in (b"", b"-") or took > 3.0 + 1.0:  # on a machine with much else to do
                late.append((kind, heard, took))

    threading.Thread(target=serve, daemon=True).start()
    order = [(kind, way) for kind in kinds for way in ("stays", "resets", "ends", "again")] * 4
    rng.shuffle(order)
    threads = []
    for n, (kind, way) in enumerate(order):
        if way == "stays":
            threads.append(threading.Thread(target=stays, args=(kind,)))
            threads[-1].start()
        else:
            for _ in range(3 if way == "again" else 1):
                sock = socket.create_connection(("127.0.0.1", program.port), PATIENCE)
                with contextlib.suppress(ConnectionError):
                    sock.setblocking(False)
                    sock.send(kinds[kind])
                if way == "resets":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
        if n % 10 == 0:
            assert kept.enqueue(f"aa{n:03}") == "+OK" and program.client().enqueue(f"ab{n:03}") == "+OK"
    for thread in threads:
        thread.join()
    assert not late
    settled(program.client())
    assert len(threads) == 4 * len(kinds) and "bad" not in names
