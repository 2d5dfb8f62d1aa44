"""What hundreds of clients take of the memory: one account of all bytes of all their commands, in every state."""

import asyncio
import contextlib
import random
import re
import select
import socket
import time
import tracemalloc

import pytest
from peers import Backend
from test_races_close import Rig, command, message, played

from linkdock.protocol import client_session, enqueue
from linkdock.protocol.client_session import READ_CHUNK
from linkdock.protocol.connection_table import ConnectionState, ConnectionTable
from linkdock.protocol.resp import MOST_WORD, CommandParser, MalformedError
from linkdock.state.requests import Refused, Taken

LARGE = 30_000  # bytes of a body
MOST = 100_000  # bytes that the clients of a test may hold together
SHORT_PAIRS = b"a=1," * 14_000


def large(name, size=LARGE, pairs=b"c=preview,d=6000,dest=1"):
    return command(b"ENQUEUE", b"0", name, pairs, b"z" * size)


async def until(holds):
    while not holds():
        await asyncio.sleep(0)


def test_what_is_answered_and_what_is_read_count_together_and_only_the_latter_is_closed():
    # Only what was being read counted: hundreds of whole commands took the process over its memory.
    async def story(rig: Rig):
        answers = []
        rig.ask = lambda cls, destination, left, request, *rest, **more: answers.append(request.answer)
        asking = [rig.client() for _ in range(2)]
        for n, sock in enumerate(asking):
            await rig.loop.sock_sendall(sock, large(b"aa%02d" % n))
        await until(lambda: len(answers) == 2)
        assert rig.front._table.held_bytes > 2 * LARGE
        reading = [rig.client() for _ in range(3)]
        for sock in reading:
            await rig.loop.sock_sendall(sock, large(b"bb01")[: LARGE - 5000])
        await until(lambda: len(rig.front._sessions) == 3)
        assert 2 * LARGE < rig.front._table.held_bytes <= MOST
        for answer in answers:
            assert answer(Taken())
        for sock in asking:
            assert await rig.heard(sock, 1) == [b"+OK"]
        await until(lambda: rig.front._table.held_bytes < LARGE)

    played(story, most_held=MOST)


def test_a_lower_bound_closes_those_that_hold_most_until_it_is_kept():
    # In an upgrade each of the two processes held as much as one may alone.
    async def story(rig: Rig):
        socks = [rig.client() for _ in range(3)]
        for n, sock in enumerate(socks):
            await rig.loop.sock_sendall(sock, large(b"aa01")[: LARGE - 8000 * n])
        reading, entries = ConnectionState.READING, rig.front._sessions
        most = 3 * LARGE - 25_000
        await until(lambda: rig.front._table.held_bytes > most and all(entry.state == reading for entry in entries))
        rig.front.hold_bytes_at_most(40_000)
        assert len(rig.front._sessions) == 2 and rig.front._table.held_bytes <= 40_000
        assert await rig.heard(socks[0]) == []

    played(story, most_held=MOST)


def test_nothing_of_a_refused_command_is_kept_while_its_client_waits(monkeypatch):
    # Each kept its words, and by the exception's frames all that had been made of them, for up to half a second.
    monkeypatch.setattr(client_session, "ERROR_DELAY", 60.0)

    async def story(rig: Rig):
        socks = [rig.client() for _ in range(20)]
        await until(lambda: len(rig.front._sessions) == 20)
        tracemalloc.start()
        try:
            for sock in socks:
                await rig.loop.sock_sendall(sock, large(b"aa01", pairs=b"x=1"))
            penalised = ConnectionState.PENALISED
            await until(lambda: all(entry.state == penalised for entry in rig.front._sessions))
            assert tracemalloc.get_traced_memory()[0] < 20 * LARGE / 4 and not rig.front._table.held_bytes
        finally:
            tracemalloc.stop()

    played(story)


def test_a_client_that_sends_ahead_of_its_answer_is_read_by_a_small_piece():
    # 64 KB of each of hundreds were read while they waited, counted nowhere.
    async def story(rig: Rig):
        answers, sock = [], rig.client()
        rig.ask = lambda cls, destination, left, request, *rest, **more: answers.append(request.answer)
        await rig.loop.sock_sendall(sock, message(b"aa01"))
        await until(lambda: answers)
        await rig.loop.sock_sendall(sock, large(b"aa02"))
        (session,) = rig.front._sessions.values()
        await until(session.next_read.done)
        assert len(session.next_read.result()) <= READ_CHUNK
        assert answers[0](Taken()) and await rig.heard(sock, 1) == [b"+OK"]
        await until(lambda: len(answers) == 2)

    played(story)


def test_the_account_is_the_sum_of_what_is_open_after_any_steps():
    luck, table, entries = random.Random(1), ConnectionTable(64, 64), []
    for _ in range(3000):
        match luck.randrange(4):
            case 0 if len(entries) < 64:
                entries.append(table.add(0.0))
            case 1 if entries:
                table.remove(entries.pop(luck.randrange(len(entries))))
            case 2 if entries:
                table.set_held(luck.choice(entries), luck.randrange(70_000))
            case 3 if entries:
                table.set_state(luck.choice(entries), luck.choice(list(ConnectionState)), 0.0)
        assert table.held_bytes == sum(entry.held_bytes for entry in entries)


def test_many_short_pairs_are_refused_before_anything_is_made_of_them():
    words = [b"ENQUEUE", b"0", b"aa01", SHORT_PAIRS, b"x"]
    tracemalloc.start()
    try:
        with pytest.raises(Refused):
            enqueue.parse(words)
        assert tracemalloc.get_traced_memory()[1] < len(SHORT_PAIRS)
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("size", [0, 1, 4095, 4096, 4097, MOST_WORD])
@pytest.mark.parametrize("piece", [1, 2, 4095, 4096, 8192, 1 << 20])
def test_a_command_is_the_same_however_its_bytes_come(size, piece):
    if piece < 3 and size > 5000:
        return  # two hundred thousand steps say no more
    body = random.Random(size).randbytes(size)
    whole = b"*2\r\n$1\r\nx\r\n$%d\r\n%s\r\n" % (size, body)
    parser, found, data = CommandParser(), [], whole + whole + b"*1\r\n$4\r\nPI"
    for at in range(0, len(data), piece):
        parser.feed(data[at : at + piece])
        while (words := parser.next()) is not None:
            found.append(words)
        assert parser.held <= 2 * len(whole) + piece
    assert found == [[b"x", body]] * 2 and parser.partial


def test_a_long_word_that_does_not_end_where_it_should_cannot_be_read():
    parser = CommandParser()
    parser.feed(b"*1\r\n$5000\r\n" + b"x" * 4000)
    assert parser.next() is None and parser.held >= 4000
    parser.feed(b"x" * 1002)
    with pytest.raises(MalformedError):
        parser.next()


# --- A process.

OF_ITS_OWN = re.compile(r"^(?:RssAnon|RssShmem):\s+(\d+) kB", re.MULTILINE)  # of /proc/PID/status
MEMORY_MB = 32.0  # the least that a deployment tells
COUNT = 300  # clients at once
AT_ONCE = 65536  # bytes that a client writes or reads


def memory_mb(pid):
    with open(f"/proc/{pid}/status") as file:
        return sum(map(int, OF_ITS_OWN.findall(file.read()))) * 1024 / 1e6


SENT = {
    "short pairs": command(b"ENQUEUE", b"0", b"aa01", SHORT_PAIRS, b"x"),
    "more words than may be": b"*20000\r\n" + b"$1\r\nx\r\n" * 9000,
    "half a large request": large(b"aa01", 60_000)[:-1000],
    "large requests on end": 6 * large(b"aa01", 60_000),
}


@pytest.mark.parametrize("data", SENT.values(), ids=SENT)
def test_a_process_keeps_within_its_memory_whatever_hundreds_of_clients_send(start, data):
    # It took 45 to 89 MB of 32, and is killed for that.
    program = start([Backend("s1")], limits={"memory_mb": MEMORY_MB})
    with contextlib.ExitStack() as stack:
        left = {}
        for _ in range(COUNT):
            sock = stack.enter_context(socket.create_connection(("127.0.0.1", program.port)))
            sock.setblocking(False)
            left[sock] = data
        until_s, peak = time.monotonic() + 20.0, 0.0
        while left and time.monotonic() < until_s:
            readable, writable, _ = select.select(left, [sock for sock in left if left[sock]], [], 0.01)
            for sock in writable:
                with contextlib.suppress(OSError):
                    left[sock] = left[sock][sock.send(left[sock][:AT_ONCE]) :]
            for sock in readable:
                try:
                    over = not sock.recv(AT_ONCE)
                except OSError:
                    over = True
                if over:
                    del left[sock]
            peak = max(peak, memory_mb(program.process.pid))
    assert peak < MEMORY_MB
    assert program.client().ask("PING") == "+PONG"
