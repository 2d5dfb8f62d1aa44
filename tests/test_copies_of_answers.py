"""A second copy of an answer that is on its way while the next call is written: it is no answer to that call."""

import asyncio
import contextlib
import select
import socket
import time

import pytest
from test_races_answers import begun, pass_time, say, told
from test_races_endpoints import OK, kept_pool, rig
from tornado.iostream import IOStream

from linkdock.connections import first_bytes
from linkdock.connections.first_bytes import (
    CROSSING,
    CROSSING_PART,
    FEW,
    FEW_PART,
    LEAST_SAMPLES,
    MOST_CROSSING,
    SAMPLES,
    SLOW,
    WINDOW,
    FirstBytes,
)
from linkdock.facade import DELIVERED, ERROR, NOT_SENT, RESET, TURNED_AWAY
from linkdock.streams import CLOCK_MONOTONIC_COARSE, answer_lag

ROUND_TRIP = 0.15  # seconds of a slow network, both ways
REFUSED = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
WORK = 0.05  # seconds that the server works on a call
OUTCOMES = {OK: DELIVERED, REFUSED: TURNED_AWAY}


async def answered(calls, text=OK, bodies=(b"x",), after=WORK):
    """A first call, whose server answers it after its work, as some before; the server's socket."""
    for _ in range(LEAST_SAMPLES):
        calls.backend.first_bytes.note("s1", after)
        calls.backend.first_bytes.note_sure("s1", after)
    call, run, sock = await begun(calls, *bodies)
    call._lag = lambda: 0.0  # the kernel knows nothing of time that a test passes over
    await pass_time(calls, after)
    await calls.loop.sock_sendall(sock, text)
    await run
    return sock


async def next_call(calls, sock, *bodies, looks=False):
    """The next call on that connection, which the server has read; `looks`: a timer sees whether it stays silent."""
    call, run = calls.call(*(bodies or (b"x",)))
    if not looks:
        call._look, call._lag = lambda: None, lambda: 0.0  # else on a busy machine a copy may come later than one does
    assert await calls.request(sock)
    return call, run


@pytest.mark.parametrize("pool", ["plain", "kept"])
@pytest.mark.parametrize("answer", [OK, REFUSED])
def test_a_copy_that_crosses_the_next_call_is_not_the_answer_to_it(tmp_path, pool, answer):
    # An order was held to be delivered on the 200 of the one before, or called again on its 503.
    async def story():
        async with rig() as r:
            if pool == "kept":
                kept_pool(r, tmp_path)
            sock = await answered(r, answer)
            _, run = await next_call(r, sock)
            await r.loop.sock_sendall(sock, answer)
            await run
            assert r.desk.ends == [OUTCOMES[answer], ERROR]  # it may have run
            assert not len(r.pool)  # and what comes on the connection from now on is no answer to anything
            sock.close()

    asyncio.run(story())


@pytest.mark.parametrize("answer", [OK, REFUSED])
def test_an_answer_like_the_one_before_counts_once_the_time_of_a_copy_is_over(answer):
    async def story():
        async with rig() as r:
            sock = await answered(r, answer)
            _, run = await next_call(r, sock, looks=True)
            await pass_time(r, WORK)
            await r.loop.sock_sendall(sock, answer)
            await run
            assert r.desk.ends == [OUTCOMES[answer]] * 2 and len(r.pool) == 1
            sock.close()

    asyncio.run(story())


@pytest.mark.parametrize("answer", [OK, REFUSED])
@pytest.mark.parametrize("behind", [0.003, ROUND_TRIP / 2.5])
def test_a_copy_that_takes_its_time_over_a_slow_network_is_not_the_answer(answer, behind):
    # Orders were lost, or ran twice: a copy that came over 2.5 ms after the next call was believed.
    async def story():
        async with rig() as r:
            sock = await answered(r, answer, after=ROUND_TRIP)
            call, run = await next_call(r, sock, looks=True)
            call._lag = lambda: 0.0  # on a busy machine the test itself may be late
            await pass_time(r, behind)
            await r.loop.sock_sendall(sock, answer)
            await r.until(lambda: call._ambiguous is not None or not call.items)
            await pass_time(r, ROUND_TRIP)
            await r.loop.sock_sendall(sock, NOT_FOUND)
            await run
            assert r.desk.ends == [OUTCOMES[answer], ERROR] and not len(r.pool)
            sock.close()

    asyncio.run(story())


@pytest.mark.parametrize("answer", [OK, REFUSED])
def test_an_answer_over_a_slow_network_counts_once_the_way_there_and_back_has_passed(answer):
    async def story():
        async with rig() as r:
            sock = await answered(r, answer, after=ROUND_TRIP)
            _, run = await next_call(r, sock, looks=True)
            await pass_time(r, ROUND_TRIP)
            await r.loop.sock_sendall(sock, answer)
            await run
            assert r.desk.ends == [OUTCOMES[answer]] * 2 and len(r.pool) == 1
            sock.close()

    asyncio.run(story())


def test_another_answer_than_the_one_before_counts_however_soon_it_comes():
    async def story():
        async with rig() as r:
            sock = await answered(r)
            _, run = await next_call(r, sock)
            await r.loop.sock_sendall(sock, REFUSED)
            await run
            assert r.desk.ends == [DELIVERED, TURNED_AWAY] and len(r.pool) == 1
            sock.close()

    asyncio.run(story())


def test_a_copy_that_is_read_late_by_a_process_that_was_held_up_is_none_either():
    # By the clock it came as late as an answer; it had lain in the socket.
    async def story():
        async with rig() as r:
            sock = await answered(r)
            call, run = r.call(b"x")
            encode = call._encode
            call._encode = lambda: (sock.send(OK), encode())[1]  # it comes while the call is written
            assert await r.request(sock)
            await r.until(lambda: call._last_byte_at > 0)
            r.skip += WORK  # nothing of the loop has run meanwhile
            await run
            assert r.desk.ends == [DELIVERED, ERROR]
            sock.close()

    asyncio.run(story())


@pytest.mark.parametrize("answer", [OK, REFUSED])
def test_an_answer_that_is_read_late_by_a_process_that_was_held_up_is_no_copy(answer):
    # Its connection was not seen silent, and a delivery ended by a notice; the kernel knows when it came.
    async def story():
        async with rig() as r:
            sock = await answered(r, answer)
            call, run = await next_call(r, sock, looks=True)
            await r.until(lambda: call._last_byte_at > 0)
            time.sleep(WORK)  # nothing of the loop runs meanwhile, and the server works
            sock.send(answer)
            select.select([call._connection.stream.socket], [], [], 20)
            call._look()
            await run
            assert r.desk.ends == [OUTCOMES[answer]] * 2 and len(r.pool) == 1
            sock.close()

    asyncio.run(story())


@pytest.mark.parametrize("behind", [NOT_FOUND, NOT_FOUND[:30]])
def test_the_kernel_tells_nothing_of_a_copy_that_has_the_answer_behind_it(behind):
    async def story():
        async with rig() as r:
            sock = await answered(r)
            call, run = await next_call(r, sock, looks=True)
            await r.until(lambda: call._last_byte_at > 0)
            sock.send(OK)
            time.sleep(WORK)
            sock.send(behind)
            sock.close()
            call._look()
            await run
            assert r.desk.ends[1] in (ERROR, RESET)

    asyncio.run(story())


@contextlib.asynccontextmanager
async def tcp_pair():
    """A stream and the socket at its other end."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        stream = IOStream(socket.socket())
        await stream.connect(listening.getsockname())
        sock, _ = listening.accept()
    with contextlib.closing(stream), sock:
        yield stream, sock


def test_how_late_an_answer_came_is_known_whenever_it_is_read():
    async def story():
        async with tcp_pair() as (stream, sock):
            tick = time.clock_getres(CLOCK_MONOTONIC_COARSE)
            for work in (0.0, WORK):
                began = time.monotonic()
                await stream.write(b"call")
                written = time.monotonic()
                time.sleep(work)
                answered_from = time.monotonic()
                sock.send(b"answer")
                answered_by = time.monotonic()
                time.sleep(WORK)
                assert answer_lag(stream) == 0.0  # something is unread
                assert await stream.read_bytes(100, partial=True) == b"answer"
                lag = answer_lag(stream)
                assert answered_from - written - 2 * tick <= lag <= answered_by - began

    asyncio.run(story())


def test_a_copy_that_is_cut_behind_its_first_line_delivers_nothing():
    async def story():
        async with rig() as r:
            sock = await answered(r)
            call, run = await next_call(r, sock)
            await say(r, call, sock, OK[:20])
            assert r.desk.ends == [DELIVERED]
            sock.close()
            await run
            assert r.desk.ends == [DELIVERED, RESET]

    asyncio.run(story())


def test_what_comes_while_a_call_is_put_on_record_is_found_before_its_first_byte():
    # The last look at the connection came before the record of each message, up to 20 of them.
    async def story():
        async with rig() as r:
            sock = await answered(r)

            def looked():
                sock.send(OK)
                select.select([call._connection.stream.socket], [], [], 20)
                return True

            r.desk.looked = looked
            call, run = r.call(b"x")
            await run
            assert r.desk.ends == [DELIVERED, NOT_SENT] and not len(r.pool)
            with contextlib.suppress(ConnectionResetError):  # a close over what was not read
                assert await r.request(sock) == b""
            sock.close()

    asyncio.run(story())


@pytest.mark.parametrize(
    "answer", [told(("aa77", "done"), ("aa78", "done")), told(("aa00", "done")), OK, b"HTTP/1.1 200 OK\r\n\r\n"[:-2]]
)
def test_an_answer_to_other_messages_ends_the_use_of_its_connection(answer):
    # The connection stayed one answer behind, and each later call met the answer of the one before.
    async def story():
        async with rig() as r:
            call, run, sock = await begun(r, b"x", b"y")
            await pass_time(r, WORK)
            await say(r, call, sock, answer)
            await pass_time(r, 0.6)
            await run
            assert ERROR in r.desk.ends and len(r.desk.ends) == 2 and not len(r.pool)
            sock.close()

    asyncio.run(story())


def test_a_server_that_is_quick_by_nature_keeps_its_connection():
    async def story():
        async with rig() as r:
            _, run, sock = await begun(r)
            await r.loop.sock_sendall(sock, OK)
            await run
            for _ in range(5):
                _, run = await next_call(r, sock, looks=True)
                await pass_time(r, 0.001)
                await r.loop.sock_sendall(sock, OK)
                await run
            assert r.desk.ends == [DELIVERED] * 6 and len(r.pool) == 1
            sock.close()

    asyncio.run(story())


# --- How soon servers answer.


def known(*seconds, server="s1"):
    found = FirstBytes()
    for one in seconds:
        found.note(server, one)
    return found


def test_a_copy_makes_no_server_quick():
    assert known(*[WORK] * 7, 0.0003).is_slow("s1")


def test_a_server_that_became_quick_is_believed_from_its_third_answer_on():
    found, doubted = known(*[10.0] * SAMPLES), 0
    while found.is_slow("s1"):
        found.note("s1", 0.001)
        doubted += 1
    assert doubted == 2


def test_a_server_is_believed_until_it_is_known_to_be_slow():
    assert not FirstBytes().is_slow("s1")
    assert not known(WORK, WORK).is_slow("s1") and known(WORK, WORK, WORK).is_slow("s1")
    assert not known(SLOW / 2, SLOW / 2, WORK).is_slow("s1")


def test_a_copy_that_was_held_back_tells_nothing_of_how_soon_a_server_answers():
    # Two copies among the last eight answers made a server quick, and the next copy was believed.
    async def story():
        async with rig() as r:
            for _ in range(SAMPLES):
                sock = await answered(r)
                call, run = await next_call(r, sock)
                await r.loop.sock_sendall(sock, OK)
                await r.until(lambda call=call: call._ambiguous is not None or not call.items)
                await r.loop.sock_sendall(sock, REFUSED)
                await run
                sock.close()
            assert r.desk.ends == [DELIVERED, TURNED_AWAY] * SAMPLES
            assert r.backend.first_bytes.is_slow("s1") and r.backend.first_bytes.crossing("s1") > CROSSING

    asyncio.run(story())


def test_the_time_of_a_copy_follows_the_soonest_answer_and_is_bounded():
    found = FirstBytes()
    for count in range(WINDOW):
        part = 0.0 if count == 0 else FEW_PART if count < FEW else CROSSING_PART
        assert found.crossing("s1") == max(CROSSING, part * ROUND_TRIP)
        found.note_sure("s1", ROUND_TRIP)
    found.note("s1", 0.0005)  # it may be a copy
    assert found.crossing("s1") == CROSSING_PART * ROUND_TRIP
    found.note_sure("s1", 0.0005)  # a refusal, of a server that works long on a delivery
    assert found.crossing("s1") == CROSSING
    for _ in range(2 * WINDOW):
        found.note_sure("s1", 9.0)  # what was learned grows old
    assert found.crossing("s1") == MOST_CROSSING


def test_servers_are_forgotten_beyond_a_bound(monkeypatch):
    monkeypatch.setattr(first_bytes, "MOST_SERVERS", 2)
    found = known(*[WORK] * 3)
    found.note("s2", WORK)
    found.note("s1", WORK)
    found.note("s3", WORK)
    assert len(found) == 2 and found.is_slow("s1")
